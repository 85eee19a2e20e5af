"""Constants of the node's daemon."""

from __future__ import annotations

from typing import Final

TICK_MS: Final = 20
IDLE_TICK_MS: Final = 500
RESUME_PAUSE_MS: Final = 50
HEALTH_EVERY_MS: Final = 1_000
FAILURES_TO_LEAVE: Final = 3
MAX_KEYS: Final = 200_000
RETRY_SHARE: Final = 0.1
RETRY_RESERVE: Final = 20.0
SUCCESSORS: Final = 2
KEEP_ALIVE_MS: Final = 1_000
HEAD_WAIT_MS: Final = 800
VM_LIST_EVERY_MS: Final = 2_000
PLACE_PAUSE_MS: Final = 100
NO_RUNNER_WAIT_MS: Final = 5_000
