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

ASSUMED_SLOT_USE_MS: Final = 4_000
"""A place is assumed to be free again after so long at the latest: a load, a prompt and a long
answer. After a quiet time no rate has been measured, and nobody may be refused for that."""

MIN_LATE_SHARE: Final = 1 / 3
"""Share of the places that those who are late already are taken to get at least; more made them
wait until their time was over (price on one day of rushes 0.009, 0.007 with a third; one run
each)."""

ALWAYS_QUEUED_ADAPTERS: Final = 4
"""So many adapters may always wait, whatever the rate says."""

MAX_WAIT_SHARE: Final = 0.5
"""Share of the time left that a request is let wait; the rest is for its answer."""

MIN_RETRY_AFTER_MS: Final = 250


GroupSortKey: TypeAlias = tuple[int, int]
"""Priority and time of coming: the order among those on time, and among those who are late."""


@attrs.define(slots=True, eq=False)
class QueuedRequest:
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

    adapter_name: str
    min_version: int
    priority: int
    first_attempt_ms: int
    on_time_until_ms: int
    deadline_ms: int
    excluded_runners: frozenset[str]
    on_result: Callable[[Placed | NoSlot | None], None]
    expected_load_ms: int = 0
    session_key: str | None = None
    tried_ms: int = 0
    rank: int = 0
    prompt_tokens: int = 0
    read_by_ms: int | None = None
    tokens_per_ms: float = INITIAL_TOKENS_PER_MS

    def can_prefill_in_time(self, at: ServerWork, granted_tokens: int, now_ms: int) -> bool:
        """Tell whether a runner will have read its prompt before its caller leaves.

        :param granted_tokens: on their way there from others, that no report tells of yet.
        """
        if self.read_by_ms is None:
            return True
        if not at.pending_prefill_ahead(self.rank) + granted_tokens:
            # Refused before an idle runner, nobody would show that it reads quicker than believed.
            return now_ms < self.read_by_ms
        return self.prefill_done_ms(at, granted_tokens, now_ms) <= self.read_by_ms

    def prefill_done_ms(self, at: ServerWork, granted_tokens: int, now_ms: int) -> int:
        """Return when a runner will have read its prompt, were it sent there now."""
        tokens = at.pending_prefill_ahead(self.rank) + granted_tokens + self.prompt_tokens
        return now_ms + BASE_LATENCY_MS + int(tokens / self.tokens_per_ms)

    def is_late(self, now_ms: int) -> bool:
        """Tell whether the first event would be late even if the adapter were loaded from now."""
        return now_ms + self.expected_load_ms > self.on_time_until_ms

    def sort_key(self, now_ms: int) -> tuple[bool, int, int]:
        """Return the order in which places are given.

        Who can still be on time goes first. In the order of arrival a rush would make everybody
        late: the oldest, whose answer is late already, would take the place of one that is not.
        """
        return (self.is_late(now_ms), self.priority, self.first_attempt_ms)

    def group_sort_key(self) -> GroupSortKey:
        """Return the order among those who are on time, or late, as this one is."""
        return (self.priority, self.first_attempt_ms)


def in_service_order(waiters: Iterable[QueuedRequest], now_ms: int) -> list[QueuedRequest]:
    """Return requests by :meth:`QueuedRequest.sort_key`: on time first, then late."""
    on_time: list[QueuedRequest] = []
    late: list[QueuedRequest] = []
    for waiter in waiters:
        (late if waiter.is_late(now_ms) else on_time).append(waiter)
    on_time.sort(key=QueuedRequest.group_sort_key)
    late.sort(key=QueuedRequest.group_sort_key)
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
class NoSlot:
    """No runner will be able to in time.

    :param retry_after_ms: when the queue has drained.
    """

    retry_after_ms: int


class _AdaptersAhead:
    """The adapters that are waited for, each at the turn of the first who waits for it."""

    def __init__(self) -> None:
        self._turns: list[GroupSortKey] = []
        self._turn_by_name: dict[str, GroupSortKey] = {}

    def all(self) -> int:
        """Return how many adapters there are."""
        return len(self._turns)

    def count(self, waiter: QueuedRequest) -> int:
        """Return how many adapters come before a request has its turn."""
        return bisect_right(self._turns, waiter.group_sort_key())

    def add_last(self, waiter: QueuedRequest) -> None:
        """Count the adapter of a request whose turn comes after all that are counted."""
        if waiter.adapter_name not in self._turn_by_name:
            turn = self._turn_by_name[waiter.adapter_name] = waiter.group_sort_key()
            self._turns.append(turn)

    def add(self, waiter: QueuedRequest) -> None:
        """Count a request's adapter."""
        turn = waiter.group_sort_key()
        known = self._turn_by_name.get(waiter.adapter_name)
        if known is not None:
            if known <= turn:
                return
            del self._turns[bisect_left(self._turns, known)]
        self._turn_by_name[waiter.adapter_name] = turn
        insort(self._turns, turn)


class QueueAdmission:
    """How fast places were given lately, and from it who will not get one in time."""

    def __init__(self) -> None:
        self._placed_ms: deque[int] = deque()
        self._placed_late_ms: deque[int] = deque()
        self._places = 0
        self._idle = 0
        self._ahead = {False: _AdaptersAhead(), True: _AdaptersAhead()}

    def record_assignment(self, waiter: QueuedRequest, now_ms: int) -> None:
        """Count a place that was given."""
        self._placed_ms.append(now_ms)
        if now_ms > waiter.on_time_until_ms:
            self._placed_late_ms.append(now_ms)

    def check_queue(
        self, waiters: list[QueuedRequest], places: int, idle: int, now_ms: int
    ) -> list[tuple[QueuedRequest, NoSlot]]:
        """Return who is too far back, with a time to come back.

        Holding a request that will not be served costs its caller the time in which it could have
        come back. Those who are late already only get what those on time leave.

        :param waiters: in the order in which they get places.
        :param places: all places for adapters.
        :param idle: places that nothing uses: so many need not wait for any end.
        """
        self._places, self._idle = places, idle
        self._ahead = {False: _AdaptersAhead(), True: _AdaptersAhead()}
        rates = self._rates(now_ms)
        refused = []
        for waiter in waiters:
            late = waiter.is_late(now_ms)
            ahead = self._ahead[late]
            refusal = self._refusal(waiter, ahead.all(), rates[late], now_ms)
            if refusal is None:
                ahead.add_last(waiter)
            else:
                refused.append((waiter, refusal))
        return refused

    def check_new_request(self, waiter: QueuedRequest, now_ms: int) -> NoSlot | None:
        """Return the refusal of one more request; ``None`` when it may wait.

        It is judged by who was ahead when all were last looked at, and by who has come since. A
        look at all of 300 who wait, for each of 280 questions a second, took half of a core.
        """
        late = waiter.is_late(now_ms)
        ahead = self._ahead[late]
        rate = self._rates(now_ms)[late]
        refusal = self._refusal(waiter, ahead.count(waiter), rate, now_ms)
        if refusal is None:
            ahead.add(waiter)
        return refusal

    def _rates(self, now_ms: int) -> dict[bool, float]:
        """Return places a second for those on time, and for those who are late."""
        least = 1000 * self._places / ASSUMED_SLOT_USE_MS
        return {
            False: max(least, _rate(self._placed_ms, now_ms)),
            True: max(least * MIN_LATE_SHARE, _rate(self._placed_late_ms, now_ms)),
        }

    def _refusal(
        self, waiter: QueuedRequest, ahead: int, rate: float, now_ms: int
    ) -> NoSlot | None:
        queued = max(0, ahead - self._idle - ALWAYS_QUEUED_ADAPTERS)
        wait_ms = 1000 * queued / max(1.0, rate)
        left_ms = waiter.deadline_ms - now_ms
        if left_ms <= 0 or wait_ms > left_ms * MAX_WAIT_SHARE:
            return NoSlot(max(MIN_RETRY_AFTER_MS, int(wait_ms)))
        return None


def _rate(times_ms: deque[int], now_ms: int) -> float:
    """Return events a second over the last while."""
    while times_ms and now_ms - times_ms[0] > RATE_WINDOW_MS:
        times_ms.popleft()
    return len(times_ms) * 1000 / RATE_WINDOW_MS
