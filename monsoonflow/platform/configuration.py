"""Decodes what the operator writes: routes, services, limits and adapter versions."""

from __future__ import annotations

from typing import Any

import orjson

from ..core.adapter import AdapterRef
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

OPERATOR_TABLE = "op"
ROUTES_KEY = "config"
VERSION_PREFIX = "version/"


def decode_routes(body: bytes) -> RouteTable | str:
    """Return the routes and services, or why they can't be used."""
    try:
        data = orjson.loads(body)
        routes = [_route(entry) for entry in data["routes"]]
        services = [_service(entry) for entry in data["services"]]
        return RouteTable.build(int(data["version"]), routes, services, _limits(data))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return repr(error)


def decode_adapter_version(body: bytes) -> AdapterRef | str:
    """Return the adapter version that the operator names, as ``MODEL/ADAPTER@VERSION``."""
    try:
        data = orjson.loads(body)
        name = f"{data['model']}/{data['adapter']}"
        return AdapterRef(name, int(data["version"]))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return repr(error)


def _route(entry: dict[str, Any]) -> Route:
    targets = [
        Target(str(part["service"]), float(part["weight"]))
        for part in entry.get("trafficSplit") or ()
    ]
    if not targets:
        targets = [Target(str(entry["service"]), 1.0)]
    return Route(
        name=str(entry.get("name", "")),
        host=str(entry["host"]),
        prefix=str(entry["prefix"]),
        kind=RouteKind(entry["kind"]),
        targets=tuple(target for target in targets if target.weight > 0) or tuple(targets),
        timeout_ms=int(entry["timeoutMs"]),
        objective_ms=int(entry.get("targetLatencyMs", entry["timeoutMs"])),
        pause_ms=int(entry.get("gapAimMs", 1_000)),
        attempts=max(1, int(entry.get("attempts", 1))),
        priority=int(entry.get("priority", 0)),
        resumable=bool(entry.get("resumable", False)),
    )


def _service(entry: dict[str, Any]) -> Service:
    traits = entry.get("engineKind")
    return Service(
        name=str(entry["name"]),
        max_connections=int(entry.get("maxConnections", 100)),
        engine=_engine(traits) if isinstance(traits, dict) else None,
    )


def _engine(traits: dict[str, Any]) -> EngineTraits:
    models = [
        BaseModel(
            name=str(entry["name"]),
            memory_mb=float(entry["weightsMb"]),
            load_ms=round(float(entry.get("loadS", 2.0)) * 1000),
            disk_load_ms=round(float(entry.get("diskS", entry.get("loadS", 2.0))) * 1000),
            adapter_mb=float(entry.get("adapterMb", 0.0)),
            adapters=int(entry.get("adapters", 0)),
        )
        for entry in traits.get("models") or ()
    ]
    return EngineTraits(
        batch=int(traits["slots"]),
        memory_tokens=int(traits["kvCapacity"]),
        weights_mb=float(traits.get("weightsMb", 0.0)),
        adapter_slots=int(traits.get("adapterSlots", 0)),
        loads_per_s=float(traits.get("loadPerS", 1.0)),
        models=tuple(models),
    )


def _limits(data: dict[str, Any]) -> MessageLimits:
    told = data.get("limits") or {}
    usual = MessageLimits()
    return MessageLimits(
        head_bytes=int(told.get("maxHeaderBytes", usual.head_bytes)),
        body_bytes=int(told.get("maxBodyBytes", usual.body_bytes)),
        head_ms=int(told.get("headerTimeoutMs", usual.head_ms)),
        idle_ms=int(told.get("idleTimeoutMs", usual.idle_ms)),
    )
