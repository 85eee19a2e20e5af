"""Requests that wait for a place: in which order they get one, and who is refused at once.

The load that it is made for: a rush in which more is asked for than there are places.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, TypeAlias

import attrs

from ..core.server_life import ServerLife
from ..routing.first_event import BASE_LATENCY_MS
from ..routing.in_flight import ServerWork
from ..routing.prefill_rate import INITIAL_TOKENS_PER_MS

RATE_WINDOW_MS: Final = 2_000
"""Window in which places given are counted: longer than a load, shorter than a rush."""

USUAL_USE_MS: Final = 4_000
"""A place is assumed to be free again after so long at the latest: a load, a prompt and a long
answer. After a quiet time no rate has been measured, and nobody may be refused for that."""

LEAST_LATE_SHARE: Final = 1 / 3
"""Share of the places that those who are late already are taken to get at least; more made them
wait until their time was over (price on one day of rushes 0.009, 0.007 with a third; one run
each)."""

FEW: Final = 4
"""So many adapters may always wait, whatever the rate says."""

PATIENCE: Final = 0.5
"""Share of the time left that a request is let wait; the rest is for its answer."""

MIN_RETRY_MS: Final = 250


Turn: TypeAlias = tuple[int, int]
"""Priority and time of coming: the order among those on time, and among those who are late."""


@attrs.define(slots=True, eq=False)
class Waiter:
    """A request that waits for an adapter.

    :param version: the oldest version that may serve it.
    :param on_time_until_ms: until when a place still lets it meet its latency objective.
    :param until_ms: when its time is over.
    :param load_ms: how long its adapter takes to load.
    :param session: the last part of its prompt, by which a caller that comes back is known.
    :param tried_ms: how long its caller had tried before, as far as that is known; ``since_ms`` and
        ``on_time_until_ms`` count it.
    :param rank: that it will have at its runner, 0 first.
    :param read_by_ms: until when its prompt must have been read; ``None`` where a queue does not
        matter to it.
    :param tokens_per_ms: the pace at which its node sees runners read.
    :param settle: called once; with ``None`` when another node must be asked.
    """

    name: str
    version: int
    priority: int
    since_ms: int
    on_time_until_ms: int
    until_ms: int
    avoid: frozenset[str]
    settle: Callable[[Placed | NoPlace | None], None]
    load_ms: int = 0
    session: str | None = None
    tried_ms: int = 0
    rank: int = 0
    prompt_tokens: int = 0
    read_by_ms: int | None = None
    tokens_per_ms: float = INITIAL_TOKENS_PER_MS

    def read_in_time(self, at: ServerWork, granted_tokens: int, now_ms: int) -> bool:
        """Tell whether a runner will have read its prompt before its caller leaves.

        :param granted_tokens: on their way there from others, that no report tells of yet.
        """
        if self.read_by_ms is None:
            return True
        if not at.pending_prefill_ahead(self.rank) + granted_tokens:
            # Refused before an idle runner, nobody would show that it reads quicker than believed.
            return now_ms < self.read_by_ms
        return self.read_at_ms(at, granted_tokens, now_ms) <= self.read_by_ms

    def read_at_ms(self, at: ServerWork, granted_tokens: int, now_ms: int) -> int:
        """Return when a runner will have read its prompt, were it sent there now."""
        tokens = at.pending_prefill_ahead(self.rank) + granted_tokens + self.prompt_tokens
        return now_ms + BASE_LATENCY_MS + int(tokens / self.tokens_per_ms)

    def late(self, now_ms: int) -> bool:
        """Tell whether the first event would be late even if the adapter were loaded from now."""
        return now_ms + self.load_ms > self.on_time_until_ms

    def urgency(self, now_ms: int) -> tuple[bool, int, int]:
        """Return the order in which places are given.

        Who can still be on time goes first. In the order of arrival a rush would make everybody
        late: the oldest, whose answer is late already, would take the place of one that is not.
        """
        return (self.late(now_ms), self.priority, self.since_ms)

    def turn(self) -> Turn:
        """Return the order among those who are on time, or late, as this one is."""
        return (self.priority, self.since_ms)


def in_order(waiters: Iterable[Waiter], now_ms: int) -> list[Waiter]:
    """Return requests by :meth:`Waiter.urgency`: those on time first, then those who are late."""
    on_time: list[Waiter] = []
    late: list[Waiter] = []
    for waiter in waiters:
        (late if waiter.late(now_ms) else on_time).append(waiter)
    on_time.sort(key=Waiter.turn)
    late.sort(key=Waiter.turn)
    return on_time + late


@dataclass(frozen=True, slots=True)
class Placed:
    """A runner can serve the adapter.

    :param tried_ms: how long the caller had tried before.
    """

    life: ServerLife
    version: int
    tried_ms: int = 0


@dataclass(frozen=True, slots=True)
class NoPlace:
    """No runner will be able to in time.

    :param retry_after_ms: when the queue has drained.
    """

    retry_after_ms: int


class _Ahead:
    """The adapters that are waited for, each at the turn of the first who waits for it."""

    def __init__(self) -> None:
        self._turns: list[Turn] = []
        self._turn_by_name: dict[str, Turn] = {}

    def all(self) -> int:
        """Return how many adapters there are."""
        return len(self._turns)

    def count(self, waiter: Waiter) -> int:
        """Return how many adapters come before a request has its turn."""
        return bisect_right(self._turns, waiter.turn())

    def add_last(self, waiter: Waiter) -> None:
        """Count the adapter of a request whose turn comes after all that are counted."""
        if waiter.name not in self._turn_by_name:
            turn = self._turn_by_name[waiter.name] = waiter.turn()
            self._turns.append(turn)

    def add(self, waiter: Waiter) -> None:
        """Count a request's adapter."""
        turn = waiter.turn()
        known = self._turn_by_name.get(waiter.name)
        if known is not None:
            if known <= turn:
                return
            del self._turns[bisect_left(self._turns, known)]
        self._turn_by_name[waiter.name] = turn
        insort(self._turns, turn)


class Pace:
    """How fast places were given lately, and from it who will not get one in time."""

    def __init__(self) -> None:
        self._placed_ms: deque[int] = deque()
        self._placed_late_ms: deque[int] = deque()
        self._places = 0
        self._idle = 0
        self._ahead = {False: _Ahead(), True: _Ahead()}

    def placed(self, waiter: Waiter, now_ms: int) -> None:
        """Count a place that was given."""
        self._placed_ms.append(now_ms)
        if now_ms > waiter.on_time_until_ms:
            self._placed_late_ms.append(now_ms)

    def hopeless(
        self, waiters: list[Waiter], places: int, idle: int, now_ms: int
    ) -> list[tuple[Waiter, NoPlace]]:
        """Return who is too far back, with a time to come back.

        Holding a request that will not be served costs its caller the time in which it could have
        come back. Those who are late already only get what those on time leave.

        :param waiters: in the order in which they get places.
        :param places: all places for adapters.
        :param idle: places that nothing uses: so many need not wait for any end.
        """
        self._places, self._idle = places, idle
        self._ahead = {False: _Ahead(), True: _Ahead()}
        rates = self._rates(now_ms)
        refused = []
        for waiter in waiters:
            late = waiter.late(now_ms)
            ahead = self._ahead[late]
            refusal = self._refusal(waiter, ahead.all(), rates[late], now_ms)
            if refusal is None:
                ahead.add_last(waiter)
            else:
                refused.append((waiter, refusal))
        return refused

    def newcomer(self, waiter: Waiter, now_ms: int) -> NoPlace | None:
        """Return the refusal of one more request; ``None`` when it may wait.

        It is judged by who was ahead when all were last looked at, and by who has come since. A
        look at all of 300 who wait, for each of 280 questions a second, took half of a core.
        """
        late = waiter.late(now_ms)
        ahead = self._ahead[late]
        rate = self._rates(now_ms)[late]
        refusal = self._refusal(waiter, ahead.count(waiter), rate, now_ms)
        if refusal is None:
            ahead.add(waiter)
        return refusal

    def _rates(self, now_ms: int) -> dict[bool, float]:
        """Return places a second for those on time, and for those who are late."""
        least = 1000 * self._places / USUAL_USE_MS
        return {
            False: max(least, _rate(self._placed_ms, now_ms)),
            True: max(least * LEAST_LATE_SHARE, _rate(self._placed_late_ms, now_ms)),
        }

    def _refusal(self, waiter: Waiter, ahead: int, rate: float, now_ms: int) -> NoPlace | None:
        queued = max(0, ahead - self._idle - FEW)
        wait_ms = 1000 * queued / max(1.0, rate)
        left_ms = waiter.until_ms - now_ms
        if left_ms <= 0 or wait_ms > left_ms * PATIENCE:
            return NoPlace(max(MIN_RETRY_MS, int(wait_ms)))
        return None


def _rate(times_ms: deque[int], now_ms: int) -> float:
    """Return events a second over the last while."""
    while times_ms and now_ms - times_ms[0] > RATE_WINDOW_MS:
        times_ms.popleft()
    return len(times_ms) * 1000 / RATE_WINDOW_MS
