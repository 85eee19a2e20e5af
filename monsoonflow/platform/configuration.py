"""Decodes what the operator writes: routes, services, limits and adapter versions."""

from __future__ import annotations

from typing import Final

from ..core.adapter import AdapterRef
from ..helpers.strict import read
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
    ConfigurationFields,
    EngineFields,
    LimitFields,
    RouteFields,
    ServiceFields,
    VersionFields,
)

OPERATOR_TABLE = "op"
ROUTES_KEY = "config"
VERSION_PREFIX = "version/"
LEAST_WAIT_MS: Final = 2_000


def decode_routes(body: bytes) -> RouteTable | str:
    """Return the routes and services, or why they can't be used."""
    fields = read(body, ConfigurationFields)
    if isinstance(fields, str):
        return fields
    try:
        routes = [_route(entry) for entry in fields.routes]
        services = [_service(entry) for entry in fields.services]
        return RouteTable.build(fields.version, routes, services, _limits(fields.limits))
    except ValueError as error:
        return str(error)


def decode_adapter_version(body: bytes) -> AdapterRef | str:
    """Return the adapter version that the operator names, as ``MODEL/ADAPTER@VERSION``."""
    fields = read(body, VersionFields)
    if isinstance(fields, str):
        return fields
    return AdapterRef(f"{fields.model}/{fields.adapter}", fields.version)


def _route(entry: RouteFields) -> Route:
    """Return a route.

    :raises ValueError: when it names no service or no known kind.
    """
    targets = [Target(part.service, part.weight) for part in entry.traffic_split]
    if not targets:
        if entry.service is None:
            raise ValueError(f"the route {entry.name} names no service")
        targets = [Target(entry.service, 1.0)]
    told_ms = entry.target_latency_ms
    objective_ms = int(entry.timeout_ms if told_ms is None else told_ms)
    return Route(
        name=entry.name,
        host=entry.host,
        prefix=entry.prefix,
        kind=RouteKind(entry.kind),
        targets=tuple(target for target in targets if target.weight > 0) or tuple(targets),
        timeout_ms=int(entry.timeout_ms),
        objective_ms=objective_ms,
        first_event_timeout_ms=_first_event_by_ms(objective_ms, int(entry.gap_aim_ms)),
        max_event_gap_ms=int(entry.gap_aim_ms),
        max_attempts=max(1, entry.attempts),
        priority=entry.priority,
        is_resumable=entry.resumable,
    )


def _first_event_by_ms(objective_ms: int, pause_ms: int) -> int:
    """Return how long callers of a stream wait for its first event: the page's rule."""
    return max(LEAST_WAIT_MS, 4 * objective_ms, 8 * pause_ms)


def _service(entry: ServiceFields) -> Service:
    traits = entry.engine_kind
    return Service(
        name=entry.name,
        max_connections=entry.max_connections,
        engine=None if traits is None else _engine(traits),
    )


def _engine(traits: EngineFields) -> EngineTraits:
    models = [
        BaseModel(
            name=entry.name,
            memory_mb=entry.weights_mb,
            load_ms=round(entry.load_s * 1000),
            disk_load_ms=round((entry.load_s if entry.disk_s is None else entry.disk_s) * 1000),
            adapter_mb=entry.adapter_mb,
            adapters=entry.adapters,
        )
        for entry in traits.models
    ]
    return EngineTraits(
        max_batch_size=traits.slots,
        memory_tokens=traits.kv_capacity,
        weights_mb=traits.weights_mb,
        adapter_slots=traits.adapter_slots,
        loads_per_s=traits.load_per_s,
        models=tuple(models),
    )


def _limits(told: LimitFields | None) -> MessageLimits:
    usual = MessageLimits()
    if told is None:
        return usual
    return MessageLimits(
        head_bytes=told.max_header_bytes or usual.head_bytes,
        body_bytes=told.max_body_bytes or usual.body_bytes,
        head_ms=told.header_timeout_ms or usual.head_ms,
        idle_ms=told.idle_timeout_ms or usual.idle_ms,
    )
