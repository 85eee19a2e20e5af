"""Learns how many adapters the weight store sends at once at full speed.

The load that it is made for: a rush for rare adapters. Beyond its limit the store sends each one
more slowly, in proportion; what is urgent then waits for what is not. The limit is told nowhere and
differs between deployments (8 beside 6 runners, 48 beside 45), but the time of a load shows it.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

FIRST_LIMIT: Final = 8.0
LEAST_LIMIT: Final = 4.0

SLOWED: Final = 1.3
SAMPLE: Final = 4
"""The store slows loads down when so many in a row all take so many times the shortest one. A
single one may be seen late: a runner is asked about one load after the other (330 ms for 250 on a
quiet day). Half too many at once make 1.5 for all of them."""

USED_SHARE: Final = 0.75
"""A load that is slow beside fewer than this share of the limit is slow for another reason (a lost
order, a slow runner)."""

STEP_UP: Final = 1.5
"""A limit that keeps somebody waiting while loads run at full speed is raised by half: from 8 to 48
in 1.3 s. A store that is full already gets half too many once, and those take half longer."""

RUSH_MS: Final = 500
"""Requests come in clumps; a limit that binds for less than two loads is not tried out, since half
too many at once make each load of a clump take half longer."""

KEPT_MS: Final = 60_000
"""How long a bound that was found is kept before a higher one is tried again."""

GROWTH: Final = 0.5
"""What one load at full speed adds on the way there."""


class LoadLimit:
    """How many adapters may be fetched at once over all runners.

    >>> limit = LoadLimit()
    >>> limit.allows(7, now_ms=0), limit.allows(8, now_ms=0)
    (True, False)
    >>> for _ in range(9):
    ...     limit.complete(took_ms=250, among=8, now_ms=1_000)
    >>> limit.allows(11, now_ms=1_000), limit.allows(12, now_ms=1_000)
    (True, False)
    >>> for _ in range(4):
    ...     limit.complete(took_ms=375, among=12, now_ms=1_400)
    >>> limit.allows(7, now_ms=1_400), limit.allows(8, now_ms=1_400)
    (True, False)
    >>> limit.complete(took_ms=900, among=2, now_ms=1_500)
    >>> limit.allows(7, now_ms=1_500)
    True
    """

    def __init__(self) -> None:
        self._limit = FIRST_LIMIT
        self._target = FIRST_LIMIT
        self._shortest_ms: int | None = None
        self._recent: deque[tuple[float, int]] = deque(maxlen=SAMPLE)
        self._refused_since_ms: int | None = None
        self._found_until_ms = 0

    @property
    def limit(self) -> int:
        """Return how many may be fetched at once now."""
        return int(self._limit)

    @property
    def full_speed_ms(self) -> int | None:
        """Return how long a load takes at full speed; ``None`` before the first."""
        return self._shortest_ms

    def allows(self, in_progress: int, now_ms: int) -> bool:
        """Tell whether one more may begin."""
        if in_progress < int(self._limit):
            return True
        if self._refused_since_ms is None:
            self._refused_since_ms = now_ms
        return False

    def complete(self, took_ms: int, among: int, now_ms: int) -> None:
        """Take how long a load took.

        :param among: how many were in progress when it began, itself among them.
        """
        if self._shortest_ms is None or took_ms < self._shortest_ms:
            self._shortest_ms = max(1, took_ms)
        if among >= self._limit * USED_SHARE:
            self._recent.append((took_ms / self._shortest_ms, among))
        ratio = min((ratio for ratio, _ in self._recent), default=1.0)
        if len(self._recent) == SAMPLE and ratio > SLOWED:
            found = math.ceil(max(among for _, among in self._recent) / ratio)
            self._limit = self._target = max(LEAST_LIMIT, min(self._limit, found))
            self._found_until_ms = now_ms + KEPT_MS
            self._recent.clear()
            return
        if now_ms < self._found_until_ms:
            return
        # Only a load beside as many as are allowed shows that there may be more.
        full = self._limit >= self._target and among >= int(self._limit) - 1
        if full and self._rushed(now_ms):
            self._target = self._limit * STEP_UP
        if self._limit < self._target:
            self._limit = min(self._target, self._limit + GROWTH)

    def calm(self) -> None:
        """Take that nobody waits because of the limit."""
        self._refused_since_ms = None

    def _rushed(self, now_ms: int) -> bool:
        since_ms = self._refused_since_ms
        return since_ms is not None and now_ms - since_ms >= RUSH_MS
