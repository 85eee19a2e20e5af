"""Provides the one clock type of the project, in milliseconds."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Tells a monotonic time in milliseconds."""

    def now_ms(self) -> int:
        """Return the time in milliseconds since an arbitrary start."""


class MonotonicClock:
    """Reads the time since boot, which a change of the wall clock leaves alone.

    The steady clock stands still while a VM is suspended: a lease holder would wake up and believe
    that its lease still holds, while another node has long taken over. The time since boot goes on.
    """

    def now_ms(self) -> int:
        """Return the time since boot in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock:
    """Tells a time that only its holder advances; for tests and measurements.

    >>> clock = ManualClock()
    >>> clock.advance(250)
    >>> clock.now_ms()
    250
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the virtual time in milliseconds."""
        return self._now_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward.

        :param by_ms: milliseconds, not negative.
        """
        if by_ms < 0:
            raise ValueError("a monotonic clock never goes back")
        self._now_ms += by_ms
