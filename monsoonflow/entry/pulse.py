"""Tells whether this process has been running all the while."""

from __future__ import annotations

import logging
from typing import Final

from ..core.clock import Clock
from ..core.tasks import Tasks
from ..logs import events, log

_LOGGER = logging.getLogger(__name__)
EVERY_MS: Final = 50
GAP_MS: Final = 400
"""A pause longer than this is no ordinary delay: the process was frozen or its VM suspended."""

LAG_STEP: Final = 0.05
"""Weight of one beat in the usual delay: the last second counts."""


class Pulse:
    """Beats while the process runs; after a freeze, what was believed before counts for nothing.

    :param thaw_ms: how long after a freeze nothing is ordered: by then news has come in.
    :ivar lag_ms: how late this process usually runs what is due: the sign of a busy or slow one.
    """

    def __init__(self, clock: Clock, tasks: Tasks, thaw_ms: int) -> None:
        self._clock = clock
        self._tasks = tasks
        self._thaw_ms = thaw_ms
        self._beat_ms = clock.now_ms()
        self._thawed_until_ms = 0
        self.lag_ms = 0.0

    def run(self) -> None:
        """Beat for good."""
        while True:
            self.beat()
            self._tasks.sleep(EVERY_MS)

    def beat(self) -> None:
        """Note that the process runs."""
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._beat_ms
        if gap_ms > GAP_MS:
            self._thawed_until_ms = now_ms + self._thaw_ms
            log(_LOGGER, events.WasFrozen(for_ms=gap_ms))
        self.lag_ms += (max(0, gap_ms - EVERY_MS) - self.lag_ms) * LAG_STEP
        self._beat_ms = now_ms

    def steady(self) -> bool:
        """Tell whether the process runs and has not just been frozen."""
        now_ms = self._clock.now_ms()
        return now_ms - self._beat_ms <= GAP_MS and now_ms >= self._thawed_until_ms
