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
Positive = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Amount = Annotated[float, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1, max_length=1_000)]
Address = Annotated[str, Meta(pattern=rf"^({_OCTET}\.){{3}}{_OCTET}:[1-9]\d{{0,4}}\Z")]


class HeldModelFields(Struct):
    """A base model that a runner holds; adapters are written NAME@VERSION."""

    name: Text
    version: Count = 1
    adapters: list[Text] = []


class ServerFields(Struct, rename="camel"):
    """A backend server's entry.

    :param sequence: counts the entry's writes, not the orders that a report's field counts.
    :param born: when the server started, in Unix milliseconds; not told on every deployment.
    """

    service: Text
    address: Address
    zone: str
    slots: Positive
    state: Literal["ready", "draining"]
    sequence: Count
    version: str
    cold_remaining_ms: Amount
    born: Count | msgspec.UnsetType = msgspec.UNSET
    remaining_ms: Amount | None = None
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
    incoming: list[Text] = []
    active: Count = 0
    queued: Count = 0
    kv_used: Amount = 0
    kv_total: Amount = 0


class VersionFields(Struct):
    """A version of an adapter that the operator names."""

    model: Text
    adapter: Text
    version: Positive


class SplitFields(Struct):
    """A share of a route's requests."""

    service: Text
    weight: Amount


class RouteFields(Struct, rename="camel"):
    """One route of the configuration."""

    host: Text
    prefix: Text
    kind: Text
    timeout_ms: Amount
    name: str = ""
    service: Text | None = None
    traffic_split: list[SplitFields] = []
    target_latency_ms: Amount | None = None
    gap_aim_ms: Amount = 1_000
    attempts: Count = 1
    priority: int = 0
    resumable: bool = False


class ModelFields(Struct, rename="camel"):
    """A base model: times in seconds, sizes in MB."""

    name: Text
    weights_mb: Amount
    load_s: Amount = 2.0
    disk_s: Amount | None = None
    adapter_mb: Amount = 0.0
    adapters: Count = 0


class EngineFields(Struct, rename="camel"):
    """What the runners of a service can hold and do.

    :param slots: requests that one step takes.
    """

    slots: Positive
    kv_capacity: Count
    weights_mb: Amount = 0.0
    adapter_slots: Count = 0
    load_per_s: Amount = 1.0
    models: list[ModelFields] = []


class ServiceFields(Struct, rename="camel"):
    """One service of the configuration."""

    name: Text
    max_connections: Count = 100
    engine_kind: EngineFields | None = None


class LimitFields(Struct, rename="camel"):
    """Bounds on what callers send."""

    max_header_bytes: Positive | None = None
    max_body_bytes: Positive | None = None
    header_timeout_ms: Positive | None = None
    idle_timeout_ms: Positive | None = None


class ConfigurationFields(Struct):
    """The operator's whole configuration."""

    version: Count
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: LimitFields | None = None
