"""Data that the runner aggregate takes in and hands out."""

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
    """Tells what the engine reported about itself.

    :param slots: how many adapters fit.
    :param max_batch: how many requests one engine step serves at most.
    """

    slots: int
    max_batch: int


@attrs.frozen(slots=True)
class LoadWeights:
    """Balances load stalls against batch efficiency.

    :param stall: what a second of waiting counts.
    :param batch: what one more request to be served by a load counts.
    :param wait_bound_ms: the wait after which the oldest waiter goes first.
    :param close_after_ms: the wait after which a pinned slot is drained for a waiter.
    """

    stall: float = 1.0
    batch: float = 1.0
    max_wait_ms: int = 10_000
    close_after_ms: int = 1_500


@attrs.frozen(slots=True)
class WaitingRequest:
    """A request that waits at a runner.

    :param weight: the customer's share when customers compete.
    :param background: whether its customer is a newcomer, whose loads take a bounded share.
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
    """Measures how often something is asked for, decaying over time."""

    score: float = 0.0
    updated_ms: int = 0

    def score_at(self, now_ms: int) -> float:
        """Return the decayed value."""
        return self.score * math.exp2((self.updated_ms - now_ms) / USAGE_HALF_LIFE_MS)

    def record_use(self, now_ms: int) -> None:
        """Count one use."""
        self.score = self.score_at(now_ms) + 1.0
        self.updated_ms = now_ms


@attrs.define(slots=True)
class LoadStalls:
    """Sums how long requests waited for their adapter and counts them; both fade over time."""

    sum_ms: float = 0.0
    count: float = 0.0
    updated_ms: int = 0

    def record(self, stall_ms: int, now_ms: int) -> None:
        """Count one request."""
        fade = self._decay_factor(now_ms)
        self.sum_ms = self.sum_ms * fade + stall_ms
        self.count = self.count * fade + 1.0
        self.updated_ms = now_ms

    def total_ms(self, now_ms: int) -> float:
        """Return the faded sum."""
        return self.sum_ms * self._decay_factor(now_ms)

    def weight(self, now_ms: int) -> float:
        """Return the faded count."""
        return self.count * self._decay_factor(now_ms)

    def _decay_factor(self, now_ms: int) -> float:
        return math.exp2((self.updated_ms - now_ms) / STALL_HALF_LIFE_MS)


@attrs.define(slots=True)
class Slot:
    """One adapter slot of a runner that is not free.

    :param pins: the requests that use the adapter now.
    :param successor: the adapter that gets the slot once this one is unloaded.
    """

    adapter: AdapterRef
    state: SlotState
    pins: set[str] = attrs.field(factory=set)
    last_used_ms: int = 0
    resident_since_ms: int = 0
    next_adapter: AdapterRef | None = None


@attrs.define(slots=True)
class AdapterQueue:
    """The requests that wait for one adapter, by class; sums make scoring cheap."""

    queue_by_priority: dict[int, deque[WaitingRequest]] = attrs.field(factory=dict)
    count: int = 0
    background_count: int = 0
    enqueued_sum_ms: int = 0

    def add(self, waiting: WaitingRequest) -> None:
        """Append a request."""
        self.queue_by_priority.setdefault(waiting.priority, deque()).append(waiting)
        self.count += 1
        self.background_count += waiting.background
        self.enqueued_sum_ms += waiting.enqueued_ms

    def head(self) -> WaitingRequest | None:
        """Return the request to serve next: the most urgent class, then the oldest."""
        for priority in sorted(self.queue_by_priority):
            if self.queue_by_priority[priority]:
                return self.queue_by_priority[priority][0]
        return None

    def remove(self, waiting: WaitingRequest) -> None:
        """Take a request out."""
        self.queue_by_priority[waiting.priority].remove(waiting)
        if not self.queue_by_priority[waiting.priority]:
            del self.queue_by_priority[waiting.priority]
        self.count -= 1
        self.background_count -= waiting.background
        self.enqueued_sum_ms -= waiting.enqueued_ms

    def oldest_enqueued_ms(self) -> int:
        """Return when the longest waiter came."""
        return min(queue[0].enqueued_ms for queue in self.queue_by_priority.values())

    def total_wait_ms(self, now_ms: int) -> int:
        """Return the sum of all waiting times."""
        return self.count * now_ms - self.enqueued_sum_ms

    def waiting_requests(self) -> list[WaitingRequest]:
        """Return every waiter."""
        return [waiting for queue in self.queue_by_priority.values() for waiting in queue]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send this request to the engine now; its adapter is resident and pinned."""

    request_id: str
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Load:
    """Load an adapter into a slot that is free."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class Unload:
    """Unload an adapter that nothing uses."""

    adapter: AdapterRef


Order: TypeAlias = Dispatch | Load | Unload


@attrs.frozen(slots=True)
class LoadCandidate:
    """The load that helps a runner most.

    :param score: waiting cost per load; higher goes first.
    :param overdue: whether a waiter is past the bound, which goes before any score.
    """

    runner_id: str
    adapter: AdapterRef
    score: float
    overdue: bool
    waiting_count: int
    background: bool = False

    def urgency(self) -> tuple[bool, float, str, AdapterRef]:
        """Return the sort key: overdue first, then the score; the rest only breaks ties."""
        return (self.overdue, self.score, self.runner_id, self.adapter)


def best_of_each_kind(candidates: list[LoadCandidate]) -> list[LoadCandidate]:
    """Return the most urgent candidate in service, then the most urgent newcomer."""
    kinds = ([entry for entry in candidates if entry.background is kind] for kind in (False, True))
    return [max(kind, key=LoadCandidate.urgency) for kind in kinds if kind]
