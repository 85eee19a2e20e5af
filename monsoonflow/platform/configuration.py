"""Decodes the operator's rows: routes, services, limits and adapter versions."""

from __future__ import annotations

from typing import Final

from ..core.adapter import AdapterRef
from ..helpers.strict import read
from ..routing.customers import Customer, Quota, index_keys
from ..routing.routes import (
    BaseModel,
    EngineTraits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Target,
)
from ..transport.models import MessageLimits
from .schema import (
    AdapterVersionFields,
    ConfigurationFields,
    CustomerFields,
    EngineFields,
    LimitFields,
    RouteFields,
    ServiceFields,
)

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
ADAPTER_VERSION_PREFIX = "version/"
MIN_FIRST_EVENT_TIMEOUT_MS: Final = 2_000
DEFAULT_BURST_S: Final = 0.5
"""Burst of a quota that states none, in seconds of its rate: without one, nothing is admitted."""


def decode_route_table(body: bytes) -> RouteTable | str:
    """Return the routes, services, limits and customers, or why the configuration is invalid.

    One invalid customer makes the whole configuration invalid, so the last valid one stays in
    force: without that customer, its requests would be refused for good.
    """
    fields = read(body, ConfigurationFields)
    if isinstance(fields, str):
        return fields
    try:
        routes = [_to_route(route) for route in fields.routes]
        services = [_to_service(service) for service in fields.services]
        limits = _to_message_limits(fields.limits)
        keys = None if fields.tenants is None else _index_customers(fields.tenants)
        return RouteTable.build(fields.version, routes, services, limits, keys)
    except ValueError as error:
        return str(error)


def decode_adapter_version(body: bytes) -> AdapterRef | str:
    """Return the operator's adapter version ``MODEL/ADAPTER@VERSION``, or why it is invalid."""
    fields = read(body, AdapterVersionFields)
    if isinstance(fields, str):
        return fields
    return AdapterRef(f"{fields.model}/{fields.adapter}", fields.version)


def _to_route(fields: RouteFields) -> Route:
    """Return a route.

    :raises ValueError: if it has no service or an unknown kind.
    """
    targets = [Target(split.service, split.weight) for split in fields.traffic_split]
    if not targets:
        if fields.service is None:
            raise ValueError(f"route {fields.name} has no service")
        targets = [Target(fields.service, 1.0)]
    target_latency_ms = fields.target_latency_ms
    objective_ms = int(fields.timeout_ms if target_latency_ms is None else target_latency_ms)
    return Route(
        name=fields.name,
        host=fields.host,
        prefix=fields.prefix,
        kind=RouteKind(fields.kind),
        targets=tuple(target for target in targets if target.weight > 0) or tuple(targets),
        timeout_ms=int(fields.timeout_ms),
        objective_ms=objective_ms,
        first_event_timeout_ms=_first_event_timeout_ms(objective_ms, int(fields.gap_aim_ms)),
        max_event_gap_ms=int(fields.gap_aim_ms),
        max_attempts=max(1, fields.attempts),
        priority=fields.priority,
        is_resumable=fields.resumable,
        is_public=fields.public,
    )


def _first_event_timeout_ms(objective_ms: int, max_event_gap_ms: int) -> int:
    """Return how long callers of a stream wait for its first event, as the platform defines it."""
    return max(MIN_FIRST_EVENT_TIMEOUT_MS, 4 * objective_ms, 8 * max_event_gap_ms)


def _index_customers(rows: list[CustomerFields]) -> dict[str, Customer]:
    return index_keys([(_to_customer(fields), fields.api_keys) for fields in rows])


def _to_customer(fields: CustomerFields) -> Customer:
    quota = Quota(
        rate_per_s=fields.rate_per_s,
        burst=fields.burst or max(1.0, fields.rate_per_s * DEFAULT_BURST_S),
        counts_tokens=fields.billing_unit == "token_stream",
        plain_cost=fields.plain_tokens,
    )
    return Customer(fields.name, fields.priority, quota if quota.rate_per_s > 0 else None)


def _to_service(fields: ServiceFields) -> Service:
    engine_fields = fields.engine_kind
    return Service(
        name=fields.name,
        max_connections=fields.max_connections,
        engine=None if engine_fields is None else _to_engine_traits(engine_fields),
    )


def _to_engine_traits(fields: EngineFields) -> EngineTraits:
    models = [
        BaseModel(
            name=model.name,
            memory_mb=model.weights_mb,
            load_ms=round(model.load_s * 1000),
            disk_load_ms=round((model.load_s if model.disk_s is None else model.disk_s) * 1000),
            adapter_mb=model.adapter_mb,
            adapters=model.adapters,
        )
        for model in fields.models
    ]
    return EngineTraits(
        max_batch_size=fields.slots,
        memory_tokens=fields.kv_capacity,
        weights_mb=fields.weights_mb,
        adapter_slots=fields.adapter_slots,
        loads_per_s=fields.load_per_s,
        models=tuple(models),
    )


def _to_message_limits(fields: LimitFields | None) -> MessageLimits:
    defaults = MessageLimits()
    if fields is None:
        return defaults
    return MessageLimits(
        head_bytes=fields.max_header_bytes or defaults.head_bytes,
        body_bytes=fields.max_body_bytes or defaults.body_bytes,
        head_ms=fields.header_timeout_ms or defaults.head_ms,
        idle_ms=fields.idle_timeout_ms or defaults.idle_ms,
    )
