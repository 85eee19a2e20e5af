"""Schemas of the platform's rows and answers: each field is checked and never coerced.

The field names are the platform's wire names (in camel case where the class says so). Rows may come
from other writers. A number in place of an address, coerced to text, would become a server that
nobody can reach; so a field of another type or a missing required one makes the whole row invalid.
"""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta, Struct

MAX_COUNT: Final = 2**53
"""Larger JSON numbers are not exact in every writer."""

_OCTET: Final = r"(25[0-5]|2[0-4]\d|1?\d?\d)"
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
NonNegativeNumber = Annotated[float, Meta(ge=0)]
NonEmptyText = Annotated[str, Meta(min_length=1, max_length=1_000)]
IpAddressAndPort = Annotated[str, Meta(pattern=rf"^({_OCTET}\.){{3}}{_OCTET}:[1-9]\d{{0,4}}\Z")]


class HeldModelFields(Struct):
    """A base model that a runner holds; adapters are written as NAME@VERSION."""

    name: NonEmptyText
    version: Count = 1
    adapters: list[NonEmptyText] = []


class ServerFields(Struct, rename="camel"):
    """The row of a backend server.

    :param slots: requests that it processes at once, not slots for adapters.
    :param sequence: number of writes of the row; in a report it is the number of orders.
    :param version: of the server's software, not of an adapter. A row without a usable one stays
        valid: the server can serve all requests but resumed streams.
    :param cold_remaining_ms: checked but not used.
    :param born: start of the server in Unix milliseconds; not sent in every deployment.
    :param remaining_ms: how long a draining server continues, if it says so.
    """

    service: NonEmptyText
    address: IpAddressAndPort
    zone: str
    slots: PositiveCount
    state: Literal["ready", "draining"]
    sequence: Count
    cold_remaining_ms: NonNegativeNumber
    version: object = None
    born: Count | msgspec.UnsetType = msgspec.UNSET
    remaining_ms: NonNegativeNumber | None = None
    models: list[HeldModelFields] = []


class ReportFields(Struct, rename="camel"):
    """The report of a model runner.

    :param sequence: number of orders that it has accepted since its start.
    :param born: start of the server in Unix milliseconds; not sent in every deployment.
    :param busy: whether it is loading or unloading a base model.
    :param incoming: adapters that are being loaded, written as MODEL/NAME@VERSION.
    :param active: running requests.
    :param queued: requests that wait at the runner.
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
    """A version of an adapter that the operator published."""

    model: NonEmptyText
    adapter: NonEmptyText
    version: PositiveCount


class TrafficSplitFields(Struct):
    """The share of a route's requests that goes to one service."""

    service: NonEmptyText
    weight: NonNegativeNumber


class RouteFields(Struct, rename="camel"):
    """One route of the configuration.

    :param gap_aim_ms: the longest gap between events of a stream that is still on time.
    :param target_latency_ms: the latency objective; ``timeout_ms`` if it is missing.
    :param attempts: the most servers that a request may be sent to.
    :param priority: 0 is the most urgent.
    :param resumable: whether an interrupted stream can be resumed at another server.
    :param public: whether a request needs no key.
    """

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
    public: bool = False


class BaseModelFields(Struct, rename="camel"):
    """A base model: times in seconds, sizes in MB.

    :param load_s: load time from the weight store; ``disk_s`` from the runner's own disk.
    :param adapter_mb: weights of one adapter.
    """

    name: NonEmptyText
    weights_mb: NonNegativeNumber
    load_s: NonNegativeNumber = 2.0
    disk_s: NonNegativeNumber | None = None
    adapter_mb: NonNegativeNumber = 0.0
    adapters: Count = 0


class EngineFields(Struct, rename="camel"):
    """Capacity of the model runners of a service.

    :param slots: largest batch of requests; ``adapter_slots`` are the slots for adapters.
    :param kv_capacity: tokens in the KV cache of one runner.
    :param weights_mb: memory of one runner for weights and adapters together.
    :param load_per_s: loads of base models that the weight store allows over all runners.
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
    """Limits for callers' messages; a missing one has its default."""

    max_header_bytes: PositiveCount | None = None
    max_body_bytes: PositiveCount | None = None
    header_timeout_ms: PositiveCount | None = None
    idle_timeout_ms: PositiveCount | None = None


class CustomerFields(Struct, rename="camel"):
    """A customer.

    :param billing_unit: what its quota counts.
    :param rate_per_s: units per second; 0 is no limit.
    :param plain_tokens: units of a request that states no number of tokens.
    """

    name: NonEmptyText
    api_keys: list[NonEmptyText] = []
    priority: Count = 0
    billing_unit: Literal["", "request", "token_stream"] = ""
    plain_tokens: PositiveCount = 1
    rate_per_s: NonNegativeNumber = 0.0
    burst: NonNegativeNumber = 0.0


class ConfigurationFields(Struct):
    """The operator's whole configuration; ``tenants`` are its customers."""

    version: Count
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: LimitFields | None = None
    tenants: list[CustomerFields] | None = None
