"""What every fleet of the soak has in common."""

from __future__ import annotations

from typing import Any, Final

HEARTBEAT_MS: Final = 1_200
DRAIN_MS: Final = 2_000
"""How soon nothing may reach a server that leaves."""

CONTACT_MS: Final = 3_000
"""A node or a store that was disturbed is held to its bounds so long after the disturbance."""

HOST: Final = "soak.example"
MODEL: Final = "base"
PLAIN: Final = "plain"
ENGINES: Final = "engines"
ZONES: Final = ("zone-a", "zone-b", "zone-c")
ADAPTERS: Final = tuple(f"{MODEL}/a{number}" for number in range(6))


def _route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1_100,
        "targetLatencyMs": 400,
        "service": service,
        "attempts": 2,
    }
    return {**fields, **changes}


CONFIGURATION: Final[dict[str, Any]] = {
    "version": 1,
    "routes": [
        _route("look", "idempotent", PLAIN),
        _route("write", "non_idempotent", PLAIN, attempts=1),
        _route(
            "read",
            "stream",
            ENGINES,
            timeoutMs=4_000,
            targetLatencyMs=800,
            resumable=True,
            gapAimMs=400,
        ),
    ],
    "services": [
        {"name": PLAIN, "healthPath": "/health", "maxConnections": 100},
        {
            "name": ENGINES,
            "maxConnections": 400,
            "engineKind": {
                "slots": 96,
                "kvCapacity": 100_000,
                "weightsMb": 35_200,
                "adapterSlots": 3,
                "loadPerS": 2.8,
                "models": [{"name": MODEL, "weightsMb": 34_300, "loadS": 2.0, "adapterMb": 40}],
            },
        },
    ],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 100_000,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
}

CALLER_ROUTES: Final[list[dict[str, Any]]] = [
    {"path": "/look/x", "deadline_ms": 1_500, "headers": {}},
    {"path": "/write/x", "deadline_ms": 1_500, "headers": {}},
    {
        "path": "/read/x",
        "deadline_ms": 4_000,
        "headers": {"X-Token-Count": "100,20"},
        "adapters": list(ADAPTERS),
    },
]
