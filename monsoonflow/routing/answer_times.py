"""How long whole answers take, by route, as this node observes it."""

from __future__ import annotations

from collections import deque
from typing import Final

MAX_SAMPLES: Final = 64
LONG_SHARE: Final = 0.9
"""Share of the answers that take no longer than the estimate."""


class AnswerTimes:
    """Time from sending a request to the end of its answer.

    >>> times = AnswerTimes()
    >>> times.expected_ms("r", 400)
    400
    >>> for took_ms in range(100, 200, 10):
    ...     times.record("r", took_ms)
    >>> times.expected_ms("r", 400)
    190
    """

    def __init__(self) -> None:
        self._took_ms_by_route: dict[str, deque[int]] = {}

    def record(self, route: str, took_ms: int) -> None:
        """Record a complete answer."""
        samples = self._took_ms_by_route.setdefault(route, deque(maxlen=MAX_SAMPLES))
        samples.append(took_ms)

    def expected_ms(self, route: str, default_ms: int) -> int:
        """Return how long most answers take.

        :param default_ms: returned for a route without observations.
        """
        samples = self._took_ms_by_route.get(route)
        if not samples:
            return default_ms
        return sorted(samples)[int(LONG_SHARE * len(samples))]
