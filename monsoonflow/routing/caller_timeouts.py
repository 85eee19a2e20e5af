"""Estimates how long a caller has been retrying, from the typical timeout of its route."""

from __future__ import annotations

from collections import Counter, deque
from typing import Final

TIMEOUTS_KEPT_PER_ROUTE: Final = 64
"""Number of most recent timeouts kept per route: a few seconds of a busy route."""

MIN_TYPICAL_SHARE: Final = 0.1
"""A timeout is typical if at least this share of a route's requests give exactly it: even under
overload a tenth of the requests are first attempts. A few callers with a much longer timeout must
not make all other requests look like retries."""


class TypicalCallerTimeouts:
    """The timeouts that callers of each route give with their first attempt.

    A latency objective counts from a caller's first attempt. A caller that retries after a refusal
    gives the rest of its timeout. If its retry counted as a new request, it would get a slot before
    callers that can still be answered in time.

    If the callers of a route use many different timeouts, none is typical and the estimate is 0.
    Otherwise, with timeouts spread over the 15 % below 15 s, 70 of 100 first attempts would look
    like retries and get their slots last.

    >>> timeouts = TypicalCallerTimeouts()
    >>> [timeouts.estimate_waited_ms("r", timeout_ms) for timeout_ms in (4_000, 4_000, 900)]
    [0, 0, 3100]
    """

    def __init__(self) -> None:
        self._timeouts_by_route: dict[str, deque[int]] = {}

    def estimate_waited_ms(self, route: str, timeout_ms: int) -> int:
        """Record a request's timeout and return how long its caller has probably retried."""
        known = self._timeouts_by_route.setdefault(route, deque(maxlen=TIMEOUTS_KEPT_PER_ROUTE))
        known.append(timeout_ms)
        min_count = max(1.0, len(known) * MIN_TYPICAL_SHARE)
        counts = Counter(known)
        typical_ms = max((ms for ms, count in counts.items() if count >= min_count), default=0)
        return max(0, typical_ms - timeout_ms)
