"""What the platform's rows and answers hold, checked field by field and never coerced.

Rows may come from other writers. A number that stands where an address is due, taken for a text,
would become a server that nobody can reach; so a field of another type makes the whole row
unusable, and so does one that is missing.
"""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta, Struct

MAX_COUNT: Final = 2**53
"""Beyond this a JSON number is not exact with every writer."""

_OCTET: Final = r"(25[0-5]|2[0-4]\d|1?\d?\d)"
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
NonNegativeNumber = Annotated[float, Meta(ge=0)]
NonEmptyText = Annotated[str, Meta(min_length=1, max_length=1_000)]
IpAddressAndPort = Annotated[str, Meta(pattern=rf"^({_OCTET}\.){{3}}{_OCTET}:[1-9]\d{{0,4}}\Z")]


class HeldModelFields(Struct):
    """A base model that a runner holds; adapters are written NAME@VERSION."""

    name: NonEmptyText
    version: Count = 1
    adapters: list[NonEmptyText] = []


class ServerFields(Struct, rename="camel"):
    """A backend server's entry.

    :param sequence: counts the entry's writes, not the orders that a report's field counts.
    :param born: when the server started, in Unix milliseconds; not told on every deployment.
    """

    service: NonEmptyText
    address: IpAddressAndPort
    zone: str
    slots: PositiveCount
    state: Literal["ready", "draining"]
    sequence: Count
    version: str
    cold_remaining_ms: NonNegativeNumber
    born: Count | msgspec.UnsetType = msgspec.UNSET
    remaining_ms: NonNegativeNumber | None = None
    models: list[HeldModelFields] = []


class ReportFields(Struct, rename="camel"):
    """A runner's answer about itself.

    :param sequence: orders that it has accepted since its start.
    :param incoming: adapters on their way, MODEL/NAME@VERSION.
    """

    sequence: Count
    born: Count | msgspec.UnsetType = msgspec.UNSET
    busy: bool = False
    models: list[HeldModelFields] = []
    incoming: list[NonEmptyText] = []
    active: Count = 0
    queued: Count = 0
    kv_used: NonNegativeNumber = 0
    kv_total: NonNegativeNumber = 0


class AdapterVersionFields(Struct):
    """A version of an adapter that the operator names."""

    model: NonEmptyText
    adapter: NonEmptyText
    version: PositiveCount


class TrafficSplitFields(Struct):
    """A share of a route's requests."""

    service: NonEmptyText
    weight: NonNegativeNumber


class RouteFields(Struct, rename="camel"):
    """One route of the configuration."""

    host: NonEmptyText
    prefix: NonEmptyText
    kind: NonEmptyText
    timeout_ms: NonNegativeNumber
    name: str = ""
    service: NonEmptyText | None = None
    traffic_split: list[TrafficSplitFields] = []
    target_latency_ms: NonNegativeNumber | None = None
    gap_aim_ms: NonNegativeNumber = 1_000
    attempts: Count = 1
    priority: int = 0
    resumable: bool = False


class BaseModelFields(Struct, rename="camel"):
    """A base model: times in seconds, sizes in MB."""

    name: NonEmptyText
    weights_mb: NonNegativeNumber
    load_s: NonNegativeNumber = 2.0
    disk_s: NonNegativeNumber | None = None
    adapter_mb: NonNegativeNumber = 0.0
    adapters: Count = 0


class EngineFields(Struct, rename="camel"):
    """What the runners of a service can hold and do.

    :param slots: requests that one step takes.
    """

    slots: PositiveCount
    kv_capacity: Count
    weights_mb: NonNegativeNumber = 0.0
    adapter_slots: Count = 0
    load_per_s: NonNegativeNumber = 1.0
    models: list[BaseModelFields] = []


class ServiceFields(Struct, rename="camel"):
    """One service of the configuration."""

    name: NonEmptyText
    max_connections: Count = 100
    engine_kind: EngineFields | None = None


class LimitFields(Struct, rename="camel"):
    """Bounds on what callers send."""

    max_header_bytes: PositiveCount | None = None
    max_body_bytes: PositiveCount | None = None
    header_timeout_ms: PositiveCount | None = None
    idle_timeout_ms: PositiveCount | None = None


class ConfigurationFields(Struct):
    """The operator's whole configuration."""

    version: Count
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: LimitFields | None = None
