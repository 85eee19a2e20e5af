"""The operator's configuration in front of stand-in servers, as the platform's store holds it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

SERVICES: Final = ("plain", "llm")
"""A plain service and one of model runners."""

LIMITS: Final = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 100_000,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}


def route(name: str, host: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route to a service; its prefix is its name."""
    fields = {
        "name": name,
        "host": host,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3_000,
        "targetLatencyMs": 1_000,
        "service": service,
        "attempts": 2,
    }
    return {**fields, **changes}


def configuration(routes: Iterable[dict[str, Any]], model: str) -> dict[str, Any]:
    """Return a first configuration with some routes.

    :param model: the base model that runners may hold, with three adapters beside it.
    """
    plain, engines = SERVICES
    return {
        "version": 1,
        "routes": list(routes),
        "services": [
            {"name": plain, "healthPath": "/health", "maxConnections": 100},
            {
                "name": engines,
                "maxConnections": 400,
                "engineKind": {
                    "slots": 96,
                    "kvCapacity": 100_000,
                    "weightsMb": 35_200,
                    "adapterSlots": 3,
                    "loadPerS": 2.8,
                    "models": [{"name": model, "weightsMb": 34_300, "loadS": 2.0, "adapterMb": 40}],
                },
            },
        ],
        "limits": LIMITS,
    }
