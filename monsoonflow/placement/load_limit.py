"""Learns how many adapters the weight store sends at once at full speed.

The load that it is made for: a rush for rare adapters. Beyond its limit the store sends each one
more slowly, in proportion; what is urgent then waits for what is not. The limit is told nowhere and
differs between deployments (8 beside 6 runners, 48 beside 45), but the times of loads show it.

Loads end late for other reasons too: lost orders, slow runners, ends that are seen late. Those
delay some; a full store delays all. So loads are judged in groups, by the quicker ones of each.
Too high a limit makes loads wait for each other; too low a one leaves places idle.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

INITIAL_LIMIT: Final = 8
"""First guess. One that grew with the runners was eleven times too high before a slow store, and no
load ever showed what full speed is."""

MIN_LIMIT: Final = 4

MIN_GROUP_SIZE: Final = 8
"""Fewest loads that are judged together, and never fewer than the limit: a round of them or two."""

GROUP_QUANTILE: Final = 0.375
"""The load that stands for its group comes after this share, quickest first: a full store delays
even that one; lost orders and slow runners delayed a third."""

SATURATION_FACTOR: Final = 1.35
"""The store is full when even the quicker loads take so many times what they take at full speed."""

SLOW_GROUPS_TO_LOWER: Final = 2
"""Groups in a row that must be slow before the limit falls: one may be so by chance."""

STALLED_FACTOR: Final = 3
"""A load that has taken so many times as long as one at full speed is not on its way: its order was
lost, or its runner is gone. It takes nothing of what the store sends, and tells nothing of it."""

MAX_STALLED_IN_A_ROW: Final = 16
"""So many loads in a row that took too long mean a store that has become slower, not lost orders.
Neither counted nor judged, they let 178 come at once before a store that carries 24."""

MIN_USED_SHARE: Final = 0.75
"""A load beside fewer than this share of the limit tells nothing about it."""

GROUP_HISTORY: Final = 32
"""Groups of which the second quickest tells what full speed is: in the quickest several runners may
have had adapters at hand."""

RAISE_FACTOR: Final = 1.5
"""A limit that keeps somebody waiting while loads run at full speed is raised by half. A store that
is full already gets half too many once, and those take half longer."""

MIN_CONSTRAINED_MS: Final = 500
"""Requests come in clumps; a limit that binds for less than two loads is not tried out, since half
too many at once make each load of a clump take half longer."""

HOLD_MS: Final = 5_000
"""How long a bound that was found is kept before a higher one is tried again: a trial delays two
rounds of loads by half, a bound that is too low all who wait."""


class LoadLimit:
    """How many adapters may be fetched at once over all runners.

    >>> limit = LoadLimit()
    >>> limit.allows(7, now_ms=0), limit.allows(8, now_ms=0)
    (True, False)
    >>> for _ in range(8):
    ...     limit.record_load(took_ms=250, concurrent_loads=8, now_ms=1_000)
    >>> limit.allows(11, now_ms=1_000), limit.allows(12, now_ms=1_000)
    (True, False)
    >>> for _ in range(24):
    ...     limit.record_load(took_ms=375, concurrent_loads=12, now_ms=1_400)
    >>> limit.allows(7, now_ms=1_400), limit.allows(8, now_ms=1_400)
    (True, False)
    """

    def __init__(self) -> None:
        self._limit = float(INITIAL_LIMIT)
        self._group: list[tuple[int, int]] = []
        self._quick_ms: deque[int] = deque(maxlen=GROUP_HISTORY)
        self._full_speed_ms: int | None = None
        self._slow_groups = 0
        self._late = 0
        self._lowered_ms = 0
        self._refused_since_ms: int | None = None
        self._kept_until_ms = 0

    @property
    def limit(self) -> int:
        """Return how many may be fetched at once now."""
        return int(self._limit)

    @property
    def full_speed_ms(self) -> int | None:
        """Return how long a load takes at full speed; ``None`` before it was seen."""
        return self._full_speed_ms

    def may_be_in_progress(self, for_ms: int) -> bool:
        """Tell whether a load that began so long ago may still be on its way from the store."""
        return self._full_speed_ms is None or for_ms <= self._full_speed_ms * STALLED_FACTOR

    def allows(self, in_progress: int, now_ms: int) -> bool:
        """Tell whether one more may begin."""
        if in_progress < self.limit:
            return True
        if self._refused_since_ms is None:
            self._refused_since_ms = now_ms
        return False

    def mark_unconstrained(self) -> None:
        """Take that nobody waits because of the limit."""
        self._refused_since_ms = None

    def record_load(self, took_ms: int, concurrent_loads: int, now_ms: int) -> None:
        """Take how long a load took.

        :param among: how many were in progress when it began, itself among them.
        """
        if not self.may_be_in_progress(took_ms):
            # What began under a higher limit waited for what it let come.
            self._late += now_ms - took_ms >= self._lowered_ms
            if self._late >= MAX_STALLED_IN_A_ROW:
                self._begin_anew(now_ms)
            return
        self._late = 0
        if concurrent_loads < self._limit * MIN_USED_SHARE:
            return
        self._group.append((max(1, took_ms), concurrent_loads))
        if len(self._group) < max(MIN_GROUP_SIZE, self.limit):
            return
        quick_ms = sorted(took for took, _ in self._group)[int(len(self._group) * GROUP_QUANTILE)]
        concurrent_loads = max(among for _, among in self._group)
        self._group.clear()
        self._judge(quick_ms, concurrent_loads, now_ms)

    def _begin_anew(self, now_ms: int) -> None:
        """Forget what full speed is, and begin with less: nearly no load takes that any more."""
        self._late = 0
        self._group.clear()
        self._quick_ms.clear()
        self._full_speed_ms = None
        self._limit = max(MIN_LIMIT, self._limit / STALLED_FACTOR)
        self._lowered_ms = now_ms
        self._kept_until_ms = now_ms + HOLD_MS

    def _judge(self, quick_ms: int, among: int, now_ms: int) -> None:
        """Take a group of loads."""
        self._quick_ms.append(quick_ms)
        passed_over = min(1, len(self._quick_ms) * 4 // GROUP_HISTORY)
        self._full_speed_ms = sorted(self._quick_ms)[passed_over]
        slower = quick_ms / self._full_speed_ms
        if slower <= SATURATION_FACTOR:
            self._slow_groups = 0
            if now_ms >= self._kept_until_ms and self._rushed(now_ms):
                self._limit *= RAISE_FACTOR
            return
        self._slow_groups += 1
        if self._slow_groups >= SLOW_GROUPS_TO_LOWER:
            self._slow_groups = 0
            self._limit = max(MIN_LIMIT, min(self._limit, math.ceil(among / slower)))
            self._lowered_ms = now_ms
            self._kept_until_ms = now_ms + HOLD_MS

    def _rushed(self, now_ms: int) -> bool:
        since_ms = self._refused_since_ms
        return since_ms is not None and now_ms - since_ms >= MIN_CONSTRAINED_MS
