"""Data types of the runner aggregate: limits, queues, slots, usage scores and orders."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TypeAlias

import attrs

from ..core.adapter import AdapterRef
from .const import STALL_HALF_LIFE_MS, USAGE_HALF_LIFE_MS, SlotState


@attrs.frozen(slots=True)
class RunnerLimits:
    """The limits that the engine reported about itself.

    :param slots: how many adapters it can hold at once.
    :param max_batch: the maximum number of requests in one engine step.
    """

    slots: int
    max_batch: int


@attrs.frozen(slots=True)
class LoadWeights:
    """Weights that balance load stalls against batch efficiency when loads are scored.

    :param stall: the score of one second of waiting.
    :param batch: the score of each request that a load would serve.
    :param max_wait_ms: the wait after which a load is overdue and precedes any higher score.
    :param close_after_ms: the wait after which a pinned slot is closed to make room for a request.
    """

    stall: float = 1.0
    batch: float = 1.0
    max_wait_ms: int = 10_000
    close_after_ms: int = 1_500


@attrs.frozen(slots=True)
class WaitingRequest:
    """A request that waits at a runner.

    :param priority: its class; 0 is the most urgent.
    :param background: whether its customer is a newcomer, whose loads get a bounded share.
    :param weight: the customer's relative share when customers compete.
    """

    request_id: str
    adapter: AdapterRef
    customer: str
    enqueued_ms: int
    priority: int = 1
    background: bool = False
    weight: float = 1.0


@attrs.define(slots=True)
class UsageScore:
    """Measures how often an adapter is requested; halves in each half-life."""

    score: float = 0.0
    updated_ms: int = 0

    def score_at(self, now_ms: int) -> float:
        """Return the score, decayed to the given time."""
        return self.score * math.exp2((self.updated_ms - now_ms) / USAGE_HALF_LIFE_MS)

    def record_use(self, now_ms: int) -> None:
        """Add one use."""
        self.score = self.score_at(now_ms) + 1.0
        self.updated_ms = now_ms


@attrs.define(slots=True)
class LoadStalls:
    """Sums and counts the waits of requests for a load of their adapter; both decay over time."""

    sum_ms: float = 0.0
    count: float = 0.0
    updated_ms: int = 0

    def record(self, stall_ms: int, now_ms: int) -> None:
        """Add one request, also one that did not wait for a load (0 ms)."""
        factor = self._decay_factor(now_ms)
        self.sum_ms = self.sum_ms * factor + stall_ms
        self.count = self.count * factor + 1.0
        self.updated_ms = now_ms

    def total_ms(self, now_ms: int) -> float:
        """Return the decayed sum."""
        return self.sum_ms * self._decay_factor(now_ms)

    def weight(self, now_ms: int) -> float:
        """Return the decayed number of requests."""
        return self.count * self._decay_factor(now_ms)

    def _decay_factor(self, now_ms: int) -> float:
        return math.exp2((self.updated_ms - now_ms) / STALL_HALF_LIFE_MS)


@attrs.define(slots=True)
class Slot:
    """An occupied adapter slot of a runner.

    :param pins: the requests that use the adapter now; a pinned adapter is never unloaded.
    :param next_adapter: the adapter to load into the slot once this one is unloaded.
    """

    adapter: AdapterRef
    state: SlotState
    pins: set[str] = attrs.field(factory=set)
    last_used_ms: int = 0
    resident_since_ms: int = 0
    next_adapter: AdapterRef | None = None


@attrs.define(slots=True)
class AdapterQueue:
    """The requests that wait for one adapter, by priority; running sums make scoring cheap."""

    queue_by_priority: dict[int, deque[WaitingRequest]] = attrs.field(factory=dict)
    count: int = 0
    background_count: int = 0
    enqueued_sum_ms: int = 0

    def add(self, waiting: WaitingRequest) -> None:
        """Append a request to the queue of its priority."""
        self.queue_by_priority.setdefault(waiting.priority, deque()).append(waiting)
        self.count += 1
        self.background_count += waiting.background
        self.enqueued_sum_ms += waiting.enqueued_ms

    def head(self) -> WaitingRequest | None:
        """Return the request to serve next: the oldest of the most urgent priority."""
        for priority in sorted(self.queue_by_priority):
            if self.queue_by_priority[priority]:
                return self.queue_by_priority[priority][0]
        return None

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request."""
        self.queue_by_priority[waiting.priority].remove(waiting)
        if not self.queue_by_priority[waiting.priority]:
            del self.queue_by_priority[waiting.priority]
        self.count -= 1
        self.background_count -= waiting.background
        self.enqueued_sum_ms -= waiting.enqueued_ms

    def oldest_enqueued_ms(self) -> int:
        """Return when the request that has waited longest was queued."""
        return min(queue[0].enqueued_ms for queue in self.queue_by_priority.values())

    def total_wait_ms(self, now_ms: int) -> int:
        """Return the sum of all waiting times, in milliseconds."""
        return self.count * now_ms - self.enqueued_sum_ms

    def waiting_requests(self) -> list[WaitingRequest]:
        """Return all waiting requests."""
        return [waiting for queue in self.queue_by_priority.values() for waiting in queue]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Order to send a request to the engine now; its adapter is resident and pinned."""

    request_id: str
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Load:
    """Order to load an adapter into a free slot."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Unload:
    """Order to unload an adapter that no request uses."""

    adapter: AdapterRef


Order: TypeAlias = Dispatch | Load | Unload


@attrs.frozen(slots=True)
class LoadCandidate:
    """A load that would serve waiting requests of a runner.

    :param score: the cost of the waiting that the load would end; higher goes first.
    :param overdue: whether a request has waited longer than the maximum wait, which precedes any
        score.
    :param waiting_count: how many requests wait for the adapter.
    :param background: whether only newcomers' requests wait for it.
    """

    runner_id: str
    adapter: AdapterRef
    score: float
    overdue: bool
    waiting_count: int
    background: bool = False

    def urgency(self) -> tuple[bool, float, str, AdapterRef]:
        """Return the sort key: overdue, then score; the ids only break ties."""
        return (self.overdue, self.score, self.runner_id, self.adapter)


def best_of_each_kind(candidates: list[LoadCandidate]) -> list[LoadCandidate]:
    """Return the most urgent candidate of established customers, then of newcomers."""
    groups = (
        [candidate for candidate in candidates if candidate.background is is_background]
        for is_background in (False, True)
    )
    return [max(group, key=LoadCandidate.urgency) for group in groups if group]
