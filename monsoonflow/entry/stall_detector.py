"""Detects that this process was suspended."""

from __future__ import annotations

import logging
from typing import Final

from ..core.clock import Clock
from ..core.tasks import Tasks
from ..logs import events, log

_LOGGER = logging.getLogger(__name__)
CHECK_INTERVAL_MS: Final = 50
STALL_THRESHOLD_MS: Final = 400
"""A longer gap is no ordinary delay: the process or its VM was suspended."""

LAG_SMOOTHING: Final = 0.05
"""Weight of one check in the typical delay: the last second counts."""


class StallDetector:
    """Checks periodically that the process runs; after a stall, earlier knowledge is not reliable.

    :param resume_delay_ms: how long after a stall no orders are sent: by then updates have arrived.
    :ivar lag_ms: how late this process typically runs tasks that are due: the sign of a busy or
        slow one.
    """

    def __init__(self, clock: Clock, tasks: Tasks, resume_delay_ms: int) -> None:
        self._clock = clock
        self._tasks = tasks
        self._resume_delay_ms = resume_delay_ms
        self._last_check_ms = clock.now_ms()
        self._resumes_at_ms = 0
        self.lag_ms = 0.0

    def run(self) -> None:
        """Check periodically."""
        while True:
            self.check()
            self._tasks.sleep(CHECK_INTERVAL_MS)

    def check(self) -> None:
        """Record that the process runs; log a stall since the last check."""
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._last_check_ms
        if gap_ms > STALL_THRESHOLD_MS:
            self._resumes_at_ms = now_ms + self._resume_delay_ms
            log(_LOGGER, events.WasFrozen(for_ms=gap_ms))
        self.lag_ms += (max(0, gap_ms - CHECK_INTERVAL_MS) - self.lag_ms) * LAG_SMOOTHING
        self._last_check_ms = now_ms

    def is_steady(self) -> bool:
        """Return whether the process runs and has not just been suspended."""
        now_ms = self._clock.now_ms()
        return now_ms - self._last_check_ms <= STALL_THRESHOLD_MS and now_ms >= self._resumes_at_ms
