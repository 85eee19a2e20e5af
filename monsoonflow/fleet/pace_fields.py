"""Reads and writes the paces of runners in heartbeats."""

from __future__ import annotations

import math
from typing import Any

from ..core.server_life import ServerLife
from ..routing.runner_pace import MAX_ANNOUNCED_PACES, MAX_PACE, MIN_PACE


def pace_fields(pace_by_server: dict[ServerLife, float] | None) -> dict[str, float] | None:
    """Return the field of a heartbeat."""
    if pace_by_server is None:
        return None
    return {str(life): pace for life, pace in pace_by_server.items()}


def read_paces(fields: object) -> tuple[dict[ServerLife, float] | None, bool]:
    """Return the valid paces of a heartbeat, and whether some part of the field was not valid.

    A wrong value only concerns the choice among runners. It is left out, and the heartbeat that
    contains it stays valid.

    >>> read_paces({"i-1": 1.5, "i-2": -1, "i-3": True, "i-4": "2", "i-5": 10**400})
    ({'i-1': 1.5}, True)
    >>> read_paces(None)
    (None, False)
    """
    if fields is None:
        return None, False
    if not isinstance(fields, dict):
        return None, True
    paces = {ServerLife(life): float(pace) for life, pace in fields.items() if _is_valid(pace)}
    is_malformed = len(paces) < len(fields) or len(paces) > MAX_ANNOUNCED_PACES
    return dict(list(paces.items())[:MAX_ANNOUNCED_PACES]), is_malformed


def _is_valid(pace: Any) -> bool:
    if isinstance(pace, bool) or not isinstance(pace, int | float):
        return False
    return MIN_PACE <= pace <= MAX_PACE and math.isfinite(pace)
