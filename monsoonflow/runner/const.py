"""Constants of a runner: half-lives, limits and states."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

USAGE_HALF_LIFE_MS: Final = 60_000
MAX_USAGE_SCORES: Final = 1_024
LOAD_BACKOFF_START_MS: Final = 500
LOAD_BACKOFF_MAX_MS: Final = 15_000
MAX_LOAD_FAILURES: Final = 4
STALL_HALF_LIFE_MS: Final = 10_000


class SlotState(StrEnum):
    """The states of an adapter slot.

    A closing slot accepts no new requests; it is unloaded once its running requests have ended.
    """

    LOADING = "loading"
    RESIDENT = "resident"
    CLOSING = "closing"
    UNLOADING = "unloading"


class Permission(StrEnum):
    """What the owner of a runner may currently order.

    After a takeover, evictions may be forbidden while an earlier owner can still be active.
    """

    ALL = "all"
    NO_EVICTION = "no_eviction"
    NOTHING = "nothing"
