"""Queue of requests that wait for a slot: their order, and which of them are refused at once.

It is designed for a rush, in which more adapters are requested than there are slots.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final, TypeAlias

import attrs

from ..core.server_life import ServerLife
from ..routing.first_event import BASE_LATENCY_MS
from ..routing.in_flight import ServerWork
from ..routing.prefill_rate import INITIAL_TOKENS_PER_MS
from .slots import RunnerSlots

RATE_WINDOW_MS: Final = 2_000
"""Window in which assigned slots are counted: longer than a load, shorter than a rush."""

ASSUMED_SLOT_USE_MS: Final = 4_000
"""A slot is assumed to be free again after this time at the latest: a load, a prompt and a long
answer. After a quiet period no rate is known yet, and no request may be refused because of that."""

MIN_LATE_SHARE: Final = 1 / 3
"""Minimum share of the slots that late requests are assumed to get. With a larger share they waited
until their deadlines (price on one day of rushes: 0.009 instead of 0.007, one run each)."""

ALWAYS_QUEUED_ADAPTERS: Final = 4
"""Number of adapters whose requests may always wait, regardless of the rate."""

ALWAYS_QUEUED_CUSTOMERS: Final = 16
"""Number of customers of which requests may always wait: the customers of a deployment. With
hundreds of customers most of such requests would wait in vain."""

ALWAYS_QUEUED_PER_CUSTOMER: Final = 2
"""With one, two of 45 requests of small customers were refused when all began at once."""

MAX_WAIT_SHARE: Final = 0.5
"""Share of the remaining time that a request may wait; the rest is for its answer."""

MIN_RETRY_AFTER_MS: Final = 250


GroupSortKey: TypeAlias = tuple[int, int, int]
"""Level, priority and first attempt: the order among requests on time, and among late requests."""


@attrs.define(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a slot with its adapter.

    :param min_version: oldest adapter version that may serve it.
    :param priority: smaller is more urgent.
    :param first_attempt_ms: when its caller made its first attempt, as far as that is known.
    :param on_time_until_ms: until when a slot lets it meet its latency objective.
    :param deadline_ms: when it can no longer be served.
    :param excluded_runners: runners that it must not be sent to.
    :param software_version: of the runners that may go on with its stream; ``None`` for any.
    :param on_result: called once; with ``None`` when another node must be asked.
    :param expected_load_ms: how long its adapter takes to load.
    :param session_key: last part of its prompt, which identifies a returning caller.
    :param tried_ms: how long its caller has tried before this attempt, as far as that is known.
        ``first_attempt_ms`` and ``on_time_until_ms`` take it into account.
    :param rank: its rank in the runner's queue, 0 first.
    :param read_by_ms: when the prefill of its prompt must be complete; ``None`` if a queue at the
        runner does not matter.
    :param tokens_per_ms: prefill rate of runners as observed by its node.
    :param memory_tokens: KV cache that it needs; 0 if its node does not say.
    :param full_runner_count: how often a runner was left out for it, since that had no room.
    :param customer: whose request it is; ``None`` without customers.
    :param level: how far its customer is above its share of the runners; 0 is served first.
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
    software_version: str | None = None
    memory_tokens: int = 0
    full_runner_count: int = 0
    customer: str | None = None
    level: int = 0

    def may_use(self, runner: RunnerSlots) -> bool:
        """Tell whether the request may be sent to a runner."""
        return runner.life not in self.excluded_runners and (
            self.software_version is None or runner.software_version == self.software_version
        )

    def can_prefill_in_time(
        self, work: ServerWork, granted_tokens: int, now_ms: int, pace: float = 1.0
    ) -> bool:
        """Tell whether a runner completes the prefill of the prompt before the caller leaves.

        :param granted_tokens: prompt tokens of requests that were granted a slot there and are not
            yet part of a report.
        :param pace: relative pace of the runner; larger is slower.
        """
        if self.read_by_ms is None:
            return True
        if not work.pending_prefill_ahead(self.rank) + granted_tokens:
            # An idle runner is not ruled out by its estimated prefill rate: without any request it
            # could never prove to be faster than estimated.
            return now_ms < self.read_by_ms
        return self.prefill_done_ms(work, granted_tokens, now_ms, pace) <= self.read_by_ms

    def prefill_done_ms(
        self, work: ServerWork, granted_tokens: int, now_ms: int, pace: float = 1.0
    ) -> int:
        """Return when a runner would complete the prefill if the request were sent there now."""
        tokens = work.pending_prefill_ahead(self.rank) + granted_tokens + self.prompt_tokens
        return now_ms + int((BASE_LATENCY_MS + tokens / self.tokens_per_ms) * pace)

    def is_late(self, now_ms: int) -> bool:
        """Tell whether the first event would be late even if the load started now."""
        return now_ms + self.expected_load_ms > self.on_time_until_ms

    def sort_key(self, now_ms: int) -> tuple[int, bool, int, int]:
        """Return the sort key for assigning slots, smallest first.

        Requests that can still be on time come first. In order of arrival a rush would make all
        requests late: the oldest one, which is already late, would take the slot of one that is
        not.
        """
        return (self.level, self.is_late(now_ms), self.priority, self.first_attempt_ms)

    def group_sort_key(self) -> GroupSortKey:
        """Return the sort key among the requests on time, or among the late ones."""
        return (self.level, self.priority, self.first_attempt_ms)


def in_service_order(requests: Iterable[QueuedRequest], now_ms: int) -> list[QueuedRequest]:
    """Return requests sorted by :meth:`QueuedRequest.sort_key`."""
    on_time: list[QueuedRequest] = []
    late: list[QueuedRequest] = []
    for request in requests:
        (late if request.is_late(now_ms) else on_time).append(request)
    on_time.sort(key=QueuedRequest.group_sort_key)
    late.sort(key=QueuedRequest.group_sort_key)
    ordered = on_time + late
    ordered.sort(key=attrgetter("level"))
    return ordered


@dataclass(frozen=True, slots=True)
class Placed:
    """A slot was assigned: a runner can serve the adapter now.

    :param life: the runner.
    :param version: version of the adapter that it holds.
    :param tried_ms: how long the caller had tried before this attempt.
    """

    life: ServerLife
    version: int
    tried_ms: int = 0


@attrs.frozen(slots=True)
class Forecast:
    """The forecast of a wait, and what it is derived from.

    :param adapters_ahead: adapters that are loaded before.
    :param idle_slots: free and idle slots.
    :param rate_per_s: slots assigned per second to such requests.
    """

    adapters_ahead: int
    idle_slots: int
    rate_per_s: float
    wait_ms: int


@dataclass(frozen=True, slots=True)
class NoSlot:
    """The request is refused: no runner can serve it in time.

    :param retry_after_ms: time until the queue will have drained.
    :param reason: "forecast", "prefill" if all runners' queues are too long, or "deadline".
    :param forecast: the inputs of the decision, for the log.
    """

    retry_after_ms: int
    reason: str = field(default="forecast", compare=False)
    forecast: Forecast | None = field(default=None, compare=False)


class _AdaptersAhead:
    """The adapters of queued requests, each with the sort key of the first request for it."""

    def __init__(self) -> None:
        self._sorted_keys: list[GroupSortKey] = []
        self._key_by_adapter: dict[str, GroupSortKey] = {}

    def count_all(self) -> int:
        """Return the number of adapters."""
        return len(self._sorted_keys)

    def count_before(self, request: QueuedRequest) -> int:
        """Return the number of adapters that are served before a request."""
        return bisect_right(self._sorted_keys, request.group_sort_key())

    def append(self, request: QueuedRequest) -> None:
        """Add the adapter of a request that sorts after all requests added so far."""
        if request.adapter_name not in self._key_by_adapter:
            key = self._key_by_adapter[request.adapter_name] = request.group_sort_key()
            self._sorted_keys.append(key)

    def insert(self, request: QueuedRequest) -> None:
        """Add the adapter of a request at its sorted position."""
        key = request.group_sort_key()
        known_key = self._key_by_adapter.get(request.adapter_name)
        if known_key is not None:
            if known_key <= key:
                return
            del self._sorted_keys[bisect_left(self._sorted_keys, known_key)]
        self._key_by_adapter[request.adapter_name] = key
        insort(self._sorted_keys, key)


class QueueAdmission:
    """Refuses requests that will not get a slot in time, from the recent rate of assigned slots.

    :param fair_shares: whether a few requests of each customer may always wait.
    """

    def __init__(self, fair_shares: bool = True) -> None:
        self._fair_shares = fair_shares
        self._waiting_by_customer: Counter[str] = Counter()
        self._assigned_ms: deque[int] = deque()
        self._assigned_late_ms: deque[int] = deque()
        self._slot_count = 0
        self._idle_count = 0
        self._ahead_by_lateness = {False: _AdaptersAhead(), True: _AdaptersAhead()}

    def record_assignment(self, request: QueuedRequest, now_ms: int) -> None:
        """Record that a request was assigned a slot."""
        self._assigned_ms.append(now_ms)
        if now_ms > request.on_time_until_ms:
            self._assigned_late_ms.append(now_ms)

    def check_queue(
        self, requests: list[QueuedRequest], slot_count: int, idle_count: int, now_ms: int
    ) -> list[tuple[QueuedRequest, NoSlot]]:
        """Return the requests too far back in the queue, each with its refusal.

        Holding a request that will not be served costs its caller time in which it could have
        retried. Late requests only get the slots that requests on time leave.

        :param requests: requests in the order in which they are assigned slots.
        :param slot_count: number of slots of all runners.
        :param idle_count: number of free and idle slots: this many adapters need not wait until a
            request ends.
        """
        self._slot_count, self._idle_count = slot_count, idle_count
        self._ahead_by_lateness = {False: _AdaptersAhead(), True: _AdaptersAhead()}
        self._waiting_by_customer = Counter()
        rates = self._slot_rates(now_ms)
        refused = []
        for request in requests:
            is_late = request.is_late(now_ms)
            ahead = self._ahead_by_lateness[is_late]
            refusal = self._refusal_if_too_late(request, ahead.count_all(), rates[is_late], now_ms)
            if refusal is None:
                ahead.append(request)
            else:
                refused.append((request, refusal))
        return refused

    def check_new_request(self, request: QueuedRequest, now_ms: int) -> NoSlot | None:
        """Return the refusal of a new request; ``None`` when it may wait.

        It is compared with the requests that were ahead in the last :meth:`check_queue` and those
        added since. Checking all of 300 queued requests for each of 280 new ones a second took half
        of a processor core.
        """
        is_late = request.is_late(now_ms)
        ahead = self._ahead_by_lateness[is_late]
        rate = self._slot_rates(now_ms)[is_late]
        refusal = self._refusal_if_too_late(request, ahead.count_before(request), rate, now_ms)
        if refusal is None:
            ahead.insert(request)
        return refusal

    def refusal_at_deadline(self, request: QueuedRequest, now_ms: int) -> NoSlot:
        """Return the refusal of a request that has waited for as long as it could."""
        is_late = request.is_late(now_ms)
        ahead = self._ahead_by_lateness[is_late].count_before(request)
        forecast = self._forecast(ahead, self._slot_rates(now_ms)[is_late])
        return NoSlot(max(MIN_RETRY_AFTER_MS, forecast.wait_ms), "deadline", forecast)

    def _slot_rates(self, now_ms: int) -> dict[bool, float]:
        """Return the slots assigned per second, by whether requests are late."""
        min_rate = 1000 * self._slot_count / ASSUMED_SLOT_USE_MS
        return {
            False: max(min_rate, _events_per_s(self._assigned_ms, now_ms)),
            True: max(min_rate * MIN_LATE_SHARE, _events_per_s(self._assigned_late_ms, now_ms)),
        }

    def _refusal_if_too_late(
        self, request: QueuedRequest, ahead: int, rate: float, now_ms: int
    ) -> NoSlot | None:
        forecast = self._forecast(ahead, rate)
        remaining_ms = request.deadline_ms - now_ms
        is_too_long = forecast.wait_ms > remaining_ms * MAX_WAIT_SHARE
        if remaining_ms <= 0 or (is_too_long and not self._may_always_wait(request)):
            retry_after_ms = max(MIN_RETRY_AFTER_MS, forecast.wait_ms)
            return NoSlot(retry_after_ms, forecast=forecast)
        if request.customer is not None:
            self._waiting_by_customer[request.customer] += 1
        return None

    def _may_always_wait(self, request: QueuedRequest) -> bool:
        """Tell whether a request may wait since its customer has hardly any that wait.

        Until usage is reported, a customer that begins to send would be refused because of the
        requests of another one that began at the same time.
        """
        return (
            self._fair_shares
            and request.customer is not None
            and self._waiting_by_customer[request.customer] < ALWAYS_QUEUED_PER_CUSTOMER
            and (
                request.customer in self._waiting_by_customer
                or len(self._waiting_by_customer) < ALWAYS_QUEUED_CUSTOMERS
            )
        )

    def _forecast(self, ahead: int, rate: float) -> Forecast:
        adapters_ahead = max(0, ahead - self._idle_count - ALWAYS_QUEUED_ADAPTERS)
        wait_ms = int(1000 * adapters_ahead / max(1.0, rate))
        return Forecast(ahead, self._idle_count, rate, wait_ms)


def _events_per_s(times_ms: deque[int], now_ms: int) -> float:
    """Return the number of events per second within ``RATE_WINDOW_MS``; drops older ones."""
    while times_ms and now_ms - times_ms[0] > RATE_WINDOW_MS:
        times_ms.popleft()
    return len(times_ms) * 1000 / RATE_WINDOW_MS
