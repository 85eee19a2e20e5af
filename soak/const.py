"""What every fleet of the soak has in common."""

from __future__ import annotations

from typing import Any, Final

from stand_ins.configuration import SERVICES, configuration, route

HEARTBEAT_MS: Final = 1_200
LAPSE_S: Final = HEARTBEAT_MS * 3 / 1_000
"""How long the entry of a silent server lasts."""

DRAIN_MS: Final = 2_000
"""How soon nothing may reach a server that leaves."""

SERVES_MS: Final = 6_000
"""How long a server that leaves goes on."""

USUAL_WORK_MS: Final = 45
"""What a request takes at a server."""

CONTACT_MS: Final = 3_000
"""A node or a store that was disturbed is held to its bounds so long after the disturbance."""

HOST: Final = "soak.example"
MODEL: Final = "base"
PLAIN, ENGINES = SERVICES
ZONES: Final = ("zone-a", "zone-b", "zone-c")
ADAPTERS: Final = tuple(f"{MODEL}/a{number}" for number in range(6))

CUSTOMER_BY_KEY: Final[dict[str, str | None]] = {
    **{f"key-{number}": "large" for number in range(6)},
    **{f"other-key-{number}": "small" for number in range(3)},
    "unknown-key": None,
}
"""The API keys that callers send, each with its customer."""

_ROUTES_CONFIGURATION: Final[dict[str, Any]] = configuration(
    [
        route("look", HOST, "idempotent", PLAIN, timeoutMs=1_100, targetLatencyMs=400),
        route("write", HOST, "non_idempotent", PLAIN, timeoutMs=1_100, attempts=1),
        route(
            "read",
            HOST,
            "stream",
            ENGINES,
            timeoutMs=4_000,
            targetLatencyMs=800,
            resumable=True,
            gapAimMs=400,
        ),
    ],
    MODEL,
)

CONFIGURATION: Final[dict[str, Any]] = {
    **_ROUTES_CONFIGURATION,
    "tenants": [
        {"name": name, "apiKeys": [key for key, of in CUSTOMER_BY_KEY.items() if of == name]}
        for name in ("large", "small")
    ],
}

RUSH_ADAPTERS: Final = tuple(f"{MODEL}/r{number}" for number in range(40))
"""The additional requests of a rush name these, more than there are slots, and not the adapters of
the other requests: otherwise those would stay resident for the customers that send little."""

ONCE_PATH: Final = "/write/x"
"""Requests to it may run once at most."""

FIRST_PART: Final = "first"
"""The part with which all prompts begin."""

BAD_PARTS: Final = tuple(f"bad-{number}" for number in range(3))
"""Parts of prompts that may turn bad."""

SHARED_PARTS: Final = tuple(f"shared-{number}" for number in range(30))
BAD_SHARE: Final = 0.15
"""Share of the prompts with a part that may turn bad."""

CALLER_ROUTES: Final[list[dict[str, Any]]] = [
    {"path": "/look/x", "deadline_ms": 1_500, "headers": {}},
    {"path": ONCE_PATH, "deadline_ms": 1_500, "headers": {}},
    {
        "path": "/read/x",
        "deadline_ms": 4_000,
        "headers": {"X-Token-Count": "100,20"},
        "adapters": list(ADAPTERS),
        "is_stream": True,
        "parts": {
            "first": FIRST_PART,
            "shared": list(SHARED_PARTS),
            "bad": list(BAD_PARTS),
            "bad_share": BAD_SHARE,
        },
    },
]
