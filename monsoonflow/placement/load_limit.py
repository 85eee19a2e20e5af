"""Learns how many adapters the weight store sends concurrently at full speed.

Beyond its limit the store sends each adapter more slowly, in proportion. In a rush for rare
adapters urgent loads then wait for less urgent ones. The limit is not published and differs between
deployments (8 beside 6 runners, 48 beside 45), but the durations of loads reveal it.

Loads also end late for other reasons: lost orders, slow runners, completions that are noticed late.
Those delay some loads, while a saturated store delays all. Loads are therefore evaluated in groups,
by the faster ones of each group. Too high a limit makes loads wait for each other; too low a limit
leaves slots idle.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

INITIAL_LIMIT: Final = 8
"""An initial limit that grew with the number of runners was eleven times too high for a slow store,
and no load ever showed how long one takes at full speed."""

MIN_LIMIT: Final = 4

MIN_GROUP_SIZE: Final = 8
"""Minimum number of loads that are evaluated together. A group also has at least as many loads as
the limit, which makes it one or two rounds of loads."""

GROUP_QUANTILE: Final = 0.375
"""A group is represented by the load at this quantile of its durations: a saturated store delays
even that one, while lost orders and slow runners delayed a third of the loads."""

SATURATION_FACTOR: Final = 1.35
"""The store is saturated when even the faster loads take this many times as long as at full
speed."""

SLOW_GROUPS_TO_LOWER: Final = 2
"""Number of consecutive slow groups before the limit is lowered: one may be slow by chance."""

STALLED_FACTOR: Final = 3
"""A load that has taken this many times as long as one at full speed is considered stalled: its
order was lost, or its runner no longer exists. It uses none of the store's capacity, and its
duration says nothing about the store."""

MAX_STALLED_IN_A_ROW: Final = 16
"""This many consecutive stalled loads mean that the store has become slower, not that orders were
lost. When such loads were neither counted nor evaluated, 178 loads ran concurrently on a store that
can carry 24."""

MIN_USED_SHARE: Final = 0.75
"""A load that started while less than this share of the limit was in use is not evaluated."""

GROUP_HISTORY: Final = 32
"""Number of groups from which the duration at full speed is derived. Once there are 8 groups, the
second fastest is used: in the fastest one several runners may have had cached copies."""

RAISE_FACTOR: Final = 1.5
"""Factor by which the limit is raised while it makes requests wait and loads run at full speed. If
the store is already saturated, one round of loads is half too large and takes half longer."""

MIN_CONSTRAINED_MS: Final = 500
"""How long the limit must make requests wait before it is raised. Requests arrive in bursts; a
limit that is reached for less than the duration of two loads is not raised, since half too many
concurrent loads make each load of a burst take half longer."""

HOLD_MS: Final = 5_000
"""How long a lowered limit is kept before a higher one is tried. A trial delays two rounds of loads
by half; a limit that is too low delays all waiting requests."""


MAX_RESUMED_LIMIT: Final = 4_096
MAX_RESUMED_MS: Final = 60_000


@attrs.frozen(slots=True)
class LearnedLoads:
    """What a lease holder has learned of the weight store, for its successor.

    :param limit: number of concurrent loads that the store sends at full speed.
    :param full_speed_ms: how long one of them takes; 0 if unknown.
    """

    limit: int
    full_speed_ms: int

    def is_plausible(self) -> bool:
        """Return whether a limit may start with these values, which another node has stored."""
        return (
            MIN_LIMIT <= self.limit <= MAX_RESUMED_LIMIT
            and 0 < self.full_speed_ms <= MAX_RESUMED_MS
        )


class LoadLimit:
    """Limits how many adapters all runners together may fetch from the store concurrently.

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
        self._group_times_ms: deque[int] = deque(maxlen=GROUP_HISTORY)
        self._full_speed_ms: int | None = None
        self._slow_groups = 0
        self._stalled_in_a_row = 0
        self._lowered_ms = 0
        self._constrained_since_ms: int | None = None
        self._hold_until_ms = 0

    @property
    def limit(self) -> int:
        """Return the current maximum number of concurrent fetches."""
        return int(self._limit)

    @property
    def full_speed_ms(self) -> int | None:
        """Return how long a load takes at full speed; ``None`` until this is known."""
        return self._full_speed_ms

    def learned(self) -> LearnedLoads:
        """Return what a successor can start with."""
        return LearnedLoads(self.limit, self._full_speed_ms or 0)

    def resume(self, learned: LearnedLoads) -> None:
        """Start with what the previous lease holder has learned.

        After a restart of all nodes the adapters of all waiting requests are loaded at once: with
        the initial limit they waited for four seconds, at a store that carries four times as many.
        """
        if learned.is_plausible():
            self._limit = float(learned.limit)
            self._full_speed_ms = learned.full_speed_ms
            # Twice, since the fastest of many groups is skipped.
            self._group_times_ms.extend([learned.full_speed_ms] * 2)

    def may_be_in_progress(self, for_ms: int) -> bool:
        """Tell whether a load that started this long ago may still be in progress at the store."""
        return self._full_speed_ms is None or for_ms <= self._full_speed_ms * STALLED_FACTOR

    def allows(self, in_progress: int, now_ms: int) -> bool:
        """Tell whether one more load may start."""
        if in_progress < self.limit:
            return True
        if self._constrained_since_ms is None:
            self._constrained_since_ms = now_ms
        return False

    def mark_unconstrained(self) -> None:
        """Record that no request currently waits because of the limit."""
        self._constrained_since_ms = None

    def record_load(self, took_ms: int, concurrent_loads: int, now_ms: int) -> None:
        """Record how long a load took.

        :param concurrent_loads: number of loads in progress when it started, including itself.
        """
        if not self.may_be_in_progress(took_ms):
            # Loads that started under a higher limit were delayed by the loads that it allowed.
            self._stalled_in_a_row += now_ms - took_ms >= self._lowered_ms
            if self._stalled_in_a_row >= MAX_STALLED_IN_A_ROW:
                self._reset_full_speed(now_ms)
            return
        self._stalled_in_a_row = 0
        if concurrent_loads < self._limit * MIN_USED_SHARE:
            return
        self._group.append((max(1, took_ms), concurrent_loads))
        if len(self._group) < max(MIN_GROUP_SIZE, self.limit):
            return
        group_ms = sorted(took for took, _ in self._group)[int(len(self._group) * GROUP_QUANTILE)]
        concurrent_loads = max(concurrent for _, concurrent in self._group)
        self._group.clear()
        self._evaluate_group(group_ms, concurrent_loads, now_ms)

    def _reset_full_speed(self, now_ms: int) -> None:
        """Forget the duration at full speed, which loads no longer reach, and lower the limit."""
        self._stalled_in_a_row = 0
        self._group.clear()
        self._group_times_ms.clear()
        self._full_speed_ms = None
        self._limit = max(MIN_LIMIT, self._limit / STALLED_FACTOR)
        self._lowered_ms = now_ms
        self._hold_until_ms = now_ms + HOLD_MS

    def _evaluate_group(self, group_ms: int, concurrent_loads: int, now_ms: int) -> None:
        """Raise or lower the limit according to the duration of a group of loads."""
        self._group_times_ms.append(group_ms)
        skipped = min(1, len(self._group_times_ms) * 4 // GROUP_HISTORY)
        self._full_speed_ms = sorted(self._group_times_ms)[skipped]
        slowdown = group_ms / self._full_speed_ms
        if slowdown <= SATURATION_FACTOR:
            self._slow_groups = 0
            if now_ms >= self._hold_until_ms and self._is_constrained(now_ms):
                self._limit *= RAISE_FACTOR
            return
        self._slow_groups += 1
        if self._slow_groups >= SLOW_GROUPS_TO_LOWER:
            self._slow_groups = 0
            self._limit = max(MIN_LIMIT, min(self._limit, math.ceil(concurrent_loads / slowdown)))
            self._lowered_ms = now_ms
            self._hold_until_ms = now_ms + HOLD_MS

    def _is_constrained(self, now_ms: int) -> bool:
        """Tell whether the limit has made requests wait for long enough to raise it."""
        since_ms = self._constrained_since_ms
        return since_ms is not None and now_ms - since_ms >= MIN_CONSTRAINED_MS
