"""Constants of configuration."""

from __future__ import annotations

from typing import Final

HEAD_KEY: Final = "config/head"
DELTA_PREFIX: Final = "config/delta/"
PLAN_PREFIX: Final = "plan/"
SNAPSHOT_EVERY: Final = 200


def delta_key(version: int) -> str:
    """Return the row of the change that leads to a version.

    >>> delta_key(42)
    'config/delta/0000000042'
    """
    return f"{DELTA_PREFIX}{version:010d}"
