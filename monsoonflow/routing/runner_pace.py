"""Keeps the relative pace of each runner, from own observations and announcements of peers."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

import attrs

from ..core.server_life import ServerLife
from .event_gaps import EventGaps
from .pace_average import PaceAverage

EQUAL_PACE_FACTOR: Final = 1.2
"""Paces within this factor of 1.0 count as 1.0, so that equal runners are chosen as without any
observation: their measured paces differ by some hundredths."""

MIN_PACE: Final = 0.1
MAX_PACE: Final = 20.0
"""Bounds of an announced pace."""

MAX_ANNOUNCED_PACES: Final = 64
"""Entries in one heartbeat, those that deviate most."""

PACE_HALF_LIFE_MS: Final = 4_000
"""Time in which the logarithm of a pace halves if nothing new is observed: a runner that is avoided
gets requests again, which show whether it has recovered."""

PACE_GRACE_MS: Final = 1_000
"""Time without observations in which a pace keeps its value: a node of a large fleet sends a runner
about one request per second."""

WEIGHT_HALF_LIFE_MS: Final = 8_000
ANNOUNCED_HALF_LIFE_MS: Final = 1_000
"""Time after which a value counts half in its average. Announcements repeat with each heartbeat."""

MAX_OWN_WEIGHT: Final = 12.0
MAX_ANNOUNCED_WEIGHT: Final = 6.0
"""Largest weights, in observations: a runner that changes is known after a few new observations,
and a peer whose link to a runner is slow counts less than this node's own observations."""

MIN_WEIGHT: Final = 0.7
"""Observations from which on a pace is used and announced."""

PRIOR_WEIGHT: Final = 0.5
"""Weight of the pace 1.0, in observations."""

UPDATE_INTERVAL_MS: Final = 50
"""How often the median of a cell is computed again: for 30 runners it takes 20 us."""

NOISE_LOG: Final = 0.25
"""Deviation of one time to the first event, as a logarithm: a pace with few observations is only
used if it differs by more than their noise. Announcements of noise added up: in a simulation of
equal runners, paces of 0.7 and 1.4 were used."""

GAP_WEIGHT_HALF_LIFE_MS: Final = 3_000
MAX_GAP_WEIGHT: Final = 10_000.0
MIN_GAP_WEIGHT: Final = 8.0
"""The average of the gaps between events: each stream has dozens. Fewer than eight say little."""

GAP_OBSERVATIONS: Final = 6.0
"""Weight of the gaps at a runner, in observations of the time to the first event."""

FIRST_EVENT_EXCESS_LOG: Final = 0.7
"""If the times to the first event exceed what the gaps tell by more than this (a factor of two), a
runner starts requests late although it generates at the usual rate, and the gaps do not count."""

_EQUAL_LOG: Final = math.log(EQUAL_PACE_FACTOR)
_MAX_RATIO: Final = 50.0


@attrs.define(slots=True)
class _Cell:
    """The medians of a cell's runners, as of ``updated_ms``."""

    updated_ms: int | None = None
    median_log: float = 0.0
    median_gap_log: float = 0.0
    gaps: EventGaps = attrs.Factory(EventGaps)


@attrs.frozen(slots=True)
class PaceCrossing:
    """A runner's pace has become different from 1.0, or equal to it again.

    :param weight: observations and announcements behind it, those from a while ago counting less.
    :param age_ms: time since the last one.
    """

    life: ServerLife
    pace: float
    before: float
    weight: float
    age_ms: int


class RunnerPace:
    """Relative pace of runners: 1.0 is the median of the cell, larger is slower.

    An observation is the ratio of a measured time to the time that a model expects, which accounts
    for the queue and is the same for all runners of a cell. Only the differences between runners
    count.

    >>> pace = RunnerPace()
    >>> for now_ms in range(0, 3_000, 100):
    ...     for life, took_ms in (("i-1", 200), ("i-2", 210), ("i-3", 500)):
    ...         pace.record_first_event(life, "s", 200, took_ms, now_ms)
    >>> [round(pace.pace_of(life, 3_000), 1) for life in ("i-1", "i-2", "i-3", "i-4")]
    [1.0, 1.0, 2.3, 1.0]
    """

    def __init__(self) -> None:
        self._own_by_life: dict[ServerLife, PaceAverage] = {}
        self._gaps_by_life: dict[ServerLife, PaceAverage] = {}
        self._announced_by_life: dict[ServerLife, PaceAverage] = {}
        self._announced_lives_by_peer: dict[str, frozenset[ServerLife]] = {}
        self._cell_by_life: dict[ServerLife, str] = {}
        self._cell_by_name: dict[str, _Cell] = {}
        self._reported_by_life: dict[ServerLife, float] = {}

    def record_first_event(
        self, life: ServerLife, cell: str, expected_ms: float, took_ms: float, now_ms: int
    ) -> None:
        """Record the time to the first event of a request.

        :param expected_ms: the time that the model expects at any runner of the cell.
        """
        ratio = max(1.0, took_ms) / max(1.0, expected_ms)
        log_ratio = math.log(min(_MAX_RATIO, max(1 / _MAX_RATIO, ratio)))
        self._cell_by_life[life] = cell
        own = self._own_by_life.get(life)
        if own is None:
            own = self._own_by_life[life] = PaceAverage(WEIGHT_HALF_LIFE_MS, MAX_OWN_WEIGHT)
        else:
            # Without this, a runner that was avoided and has recovered would be held back by the
            # observations from before.
            self._shrink(own, self._median_log(cell, now_ms), now_ms)
        own.add(log_ratio, now_ms)

    @staticmethod
    def _shrink(own: PaceAverage, median_log: float, now_ms: int) -> None:
        factor = _age_factor(now_ms - own.updated_ms)
        if factor < 1.0:
            own.mean = median_log + (own.mean - median_log) * factor

    def record_gap(
        self, life: ServerLife, cell: str, gap_ms: float, requests: int, now_ms: int
    ) -> None:
        """Record the time between two events of a stream.

        :param requests: requests of all nodes at the runner.
        """
        self._cell_by_life[life] = cell
        gaps = self._cell(cell).gaps
        gaps.add(gap_ms, requests, now_ms)
        log_ratio = gaps.log_ratio(gap_ms, requests)
        at_runner = self._gaps_by_life.get(life)
        if at_runner is None:
            at_runner = PaceAverage(GAP_WEIGHT_HALF_LIFE_MS, MAX_GAP_WEIGHT)
            self._gaps_by_life[life] = at_runner
        at_runner.add(log_ratio, now_ms)

    def receive(
        self, peer: str, pace_by_server: Mapping[ServerLife, float] | None, now_ms: int
    ) -> None:
        """Apply what a peer announces; runners that it no longer lists are at the median for it.

        :param pace_by_server: valid paces, see :func:`monsoonflow.fleet.pace_fields.read_paces`;
            ``None`` if the peer announces nothing new.
        """
        before = self._announced_lives_by_peer.get(peer)
        if pace_by_server is None or (not pace_by_server and not before):
            return
        for life, pace in pace_by_server.items():
            self._announced(life).add(math.log(pace), now_ms)
        for life in (before or frozenset()).difference(pace_by_server):
            if life in self._announced_by_life:
                self._announced(life).add(0.0, now_ms)
        if pace_by_server:
            self._announced_lives_by_peer[peer] = frozenset(pace_by_server)
        else:
            del self._announced_lives_by_peer[peer]

    def _announced(self, life: ServerLife) -> PaceAverage:
        average = self._announced_by_life.get(life)
        if average is None:
            average = PaceAverage(ANNOUNCED_HALF_LIFE_MS, MAX_ANNOUNCED_WEIGHT)
            self._announced_by_life[life] = average
        return average

    def announced_paces(
        self, now_ms: int, limit: int = MAX_ANNOUNCED_PACES
    ) -> dict[ServerLife, float]:
        """Return the runners that deviate by this node's own observations, for its heartbeat.

        :param limit: number of runners, those that deviate most.
        """
        log_by_life = {}
        for life in self._cell_by_life:
            weight, log_pace = self._own(life, now_ms)
            if weight >= MIN_WEIGHT and abs(log_pace) >= _min_log(weight):
                log_by_life[life] = log_pace
        largest = sorted(log_by_life, key=lambda life: -abs(log_by_life[life]))
        return {
            life: round(min(MAX_PACE, max(MIN_PACE, math.exp(log_by_life[life]))), 2)
            for life in largest[:limit]
        }

    def pace_of(self, life: ServerLife, now_ms: int) -> float:
        """Return the pace of a runner; exactly 1.0 if it is near the median or not known."""
        weight, own_log = self._own(life, now_ms)
        total = weight * own_log
        announced = self._announced_by_life.get(life)
        if announced is not None:
            announced_weight = announced.weight_at(now_ms)
            weight += announced_weight
            age_factor = _age_factor(now_ms - announced.updated_ms)
            total += announced_weight * announced.mean * age_factor
        if weight < MIN_WEIGHT:
            return 1.0
        log_pace = total / (weight + PRIOR_WEIGHT)
        return math.exp(log_pace) if abs(log_pace) >= _min_log(weight) else 1.0

    def level(self, cell: str, now_ms: int) -> float:
        """Return how many times the model's time the median runner of a cell takes."""
        return math.exp(self._median_log(cell, now_ms))

    def crossings(self, now_ms: int) -> list[PaceCrossing]:
        """Return the runners whose pace has left or reached 1.0 since the last call."""
        found = []
        for life in {**self._cell_by_life, **self._announced_by_life}:
            pace, before = self.pace_of(life, now_ms), self._reported_by_life.get(life, 1.0)
            if (pace > 1.0) - (pace < 1.0) == (before > 1.0) - (before < 1.0):
                continue
            self._reported_by_life[life] = pace
            averages = self._averages(life)
            weight = sum(average.weight_at(now_ms) for average in averages)
            age_ms = now_ms - max(average.updated_ms for average in averages)
            found.append(PaceCrossing(life, pace, before, weight, age_ms))
        return found

    def _averages(self, life: ServerLife) -> list[PaceAverage]:
        candidates = [
            self._own_by_life.get(life),
            self._announced_by_life.get(life),
            self._gaps_by_life.get(life),
        ]
        return [average for average in candidates if average is not None]

    def slow_count(self, now_ms: int) -> int:
        """Return the number of runners that are slower than the median."""
        return sum(
            self.pace_of(life, now_ms) > 1.0
            for life in {**self._cell_by_life, **self._announced_by_life}
        )

    def forget(self, life: ServerLife) -> None:
        """Drop a runner that was removed."""
        for by_life in (
            self._own_by_life,
            self._gaps_by_life,
            self._announced_by_life,
            self._cell_by_life,
            self._reported_by_life,
        ):
            by_life.pop(life, None)

    def keep_only(self, lives: frozenset[ServerLife]) -> None:
        """Drop runners that this node does not know, also those of peers' announcements.

        A stream may end, and be recorded, after its runner was removed.
        """
        for life in {*self._cell_by_life, *self._announced_by_life}.difference(lives):
            self.forget(life)
        self._announced_lives_by_peer = {
            peer: known
            for peer, announced in self._announced_lives_by_peer.items()
            if (known := announced & lives)
        }

    def _own(self, life: ServerLife, now_ms: int) -> tuple[float, float]:
        """Return weight and logarithm of a runner's pace by this node's own observations."""
        weight = gap_weight = log_pace = gap_log = 0.0
        first_events, gaps = self._own_by_life.get(life), self._gaps_by_life.get(life)
        if first_events is not None:
            weight = first_events.weight_at(now_ms)
            median_log = self._median_log(self._cell_by_life[life], now_ms)
            age_factor = _age_factor(now_ms - first_events.updated_ms)
            log_pace = (first_events.mean - median_log) * age_factor
        if gaps is not None:
            count = gaps.weight_at(now_ms)
            gap_weight = GAP_OBSERVATIONS * min(1.0, count / MIN_GAP_WEIGHT)
            age_factor = _age_factor(now_ms - gaps.updated_ms)
            gap_log = (
                gaps.mean - self._median_gap_log(self._cell_by_life[life], now_ms)
            ) * age_factor
        if weight >= MIN_WEIGHT and log_pace - gap_log > FIRST_EVENT_EXCESS_LOG:
            return weight, log_pace
        total = weight + gap_weight
        if not total:
            return 0.0, 0.0
        return total, (weight * log_pace + gap_weight * gap_log) / total

    def _cell(self, name: str) -> _Cell:
        cell = self._cell_by_name.get(name)
        if cell is None:
            cell = self._cell_by_name[name] = _Cell()
        return cell

    def _median_gap_log(self, name: str, now_ms: int) -> float:
        self._median_log(name, now_ms)
        return self._cell(name).median_gap_log

    def _median_log(self, name: str, now_ms: int) -> float:
        cell = self._cell(name)
        if cell.updated_ms is None or now_ms - cell.updated_ms >= UPDATE_INTERVAL_MS:
            cell.updated_ms = now_ms
            means = sorted(
                own.mean
                for life, own in self._own_by_life.items()
                if self._cell_by_life[life] == name and own.weight_at(now_ms) >= 1.0
            )
            if means:
                # With as many slow as fast runners, the fast ones are the reference.
                cell.median_log = means[(len(means) - 1) // 2]
            gap_means = sorted(
                gaps.mean
                for life, gaps in self._gaps_by_life.items()
                if self._cell_by_life[life] == name and gaps.weight_at(now_ms) >= MIN_GAP_WEIGHT
            )
            if gap_means:
                cell.median_gap_log = gap_means[(len(gap_means) - 1) // 2]
        return cell.median_log


def _min_log(weight: float) -> float:
    """Return from which logarithm on a pace differs from 1.0 by more than noise."""
    return _EQUAL_LOG + NOISE_LOG / math.sqrt(weight)


def _age_factor(age_ms: int) -> float:
    """Return which share of a logarithmic pace is left after a time without observations."""
    if age_ms <= PACE_GRACE_MS:
        return 1.0
    return 0.5 ** ((age_ms - PACE_GRACE_MS) / PACE_HALF_LIFE_MS)
