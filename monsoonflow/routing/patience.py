"""Tells how long a caller has been trying, from what is left of its usual deadline."""

from __future__ import annotations

from collections import deque
from typing import Final

REMEMBERED: Final = 64
"""Deadlines remembered of each route: some seconds of a busy one."""

USUAL_QUANTILE: Final = 0.9
"""Callers that come back name shorter deadlines; even in a rush, a tenth are first tries. Above it
a few callers with a much longer deadline would make all others look as if they had come back."""


class UsualDeadlines:
    """The deadlines that callers of each route name when they come first.

    A latency objective counts from a caller's first try. One that was refused and comes back names
    what is left of its deadline; taken for new, it would get a place before callers that can still
    be answered in time.

    >>> usual = UsualDeadlines()
    >>> [usual.waited_ms("r", 4_000), usual.waited_ms("r", 3_990), usual.waited_ms("r", 900)]
    [0, 10, 3100]
    """

    def __init__(self) -> None:
        self._by_route: dict[str, deque[int]] = {}

    def waited_ms(self, route: str, deadline_ms: int) -> int:
        """Take a request's deadline; return how long its caller seems to have tried before."""
        known = self._by_route.setdefault(route, deque(maxlen=REMEMBERED))
        known.append(deadline_ms)
        ordered = sorted(known)
        usual_ms = ordered[int((len(ordered) - 1) * USUAL_QUANTILE + 0.5)]
        return max(0, usual_ms - deadline_ms)
