"""The aggregate of one model runner: slots, pins, queues, loads and evictions."""

from __future__ import annotations

from ..core.adapter import AdapterRef
from ..core.invariant import require
from .const import (
    LOAD_BACKOFF_MAX_MS,
    LOAD_BACKOFF_START_MS,
    MAX_LOAD_FAILURES,
    MAX_USAGE_SCORES,
    Permission,
    SlotState,
)
from .models import (
    AdapterQueue,
    Dispatch,
    Load,
    LoadCandidate,
    LoadStalls,
    LoadWeights,
    Order,
    RunnerLimits,
    Slot,
    Unload,
    UsageScore,
    WaitingRequest,
    best_of_each_kind,
)


class Runner:
    """Holds the exact state of one runner; only its owner has it.

    Rules enforced here:

    * a request is dispatched only to a resident adapter, and pins it until it ends;
    * a pinned adapter is never unloaded;
    * slots in use never exceed the engine's slots.

    :param boot_id: the engine's current boot; another one in a report means that it restarted.
    """

    def __init__(
        self, runner_id: str, limits: RunnerLimits, weights: LoadWeights, boot_id: str
    ) -> None:
        self.runner_id = runner_id
        self.limits = limits
        self.weights = weights
        self.boot_id = boot_id
        self.slot_by_adapter: dict[AdapterRef, Slot] = {}
        self.queue_by_adapter: dict[AdapterRef, AdapterQueue] = {}
        self.adapter_by_run_id: dict[str, AdapterRef] = {}
        self.usage_by_adapter: dict[AdapterRef, UsageScore] = {}
        self.served_by_customer: dict[str, float] = {}
        self.stall = LoadStalls()
        self.load_count = 0
        self.eviction_count = 0
        self._failures_by_adapter: dict[AdapterRef, int] = {}
        self._retry_at_ms_by_adapter: dict[AdapterRef, int] = {}

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return sum(queue.count for queue in self.queue_by_adapter.values())

    @property
    def ready(self) -> int:
        """Return how many waiting requests have a resident adapter and wait only for the batch."""
        return sum(
            queue.count
            for adapter in self.resident()
            if (queue := self.queue_by_adapter.get(adapter)) is not None
        )

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self.adapter_by_run_id)

    def oldest_wait_ms(self, now_ms: int) -> int:
        """Return how long the oldest waiting request has waited, in milliseconds."""
        oldest = min(
            (queue.oldest_enqueued_ms() for queue in self.queue_by_adapter.values()), default=now_ms
        )
        return now_ms - oldest

    def loads_in_progress(self) -> int:
        """Return how many slots are loading, or unloading to be loaded with another adapter."""
        return sum(
            1
            for slot in self.slot_by_adapter.values()
            if slot.state is SlotState.LOADING or slot.next_adapter is not None
        )

    def resident(self) -> list[AdapterRef]:
        """Return the adapters that accept new requests."""
        return [
            slot.adapter
            for slot in self.slot_by_adapter.values()
            if slot.state is SlotState.RESIDENT
        ]

    def enqueue(self, waiting: WaitingRequest) -> None:
        """Add a request to the queue of its adapter."""
        self._usage_of(waiting.adapter).record_use(waiting.enqueued_ms)
        self._start_customer_share(waiting.customer)
        self.queue_by_adapter.setdefault(waiting.adapter, AdapterQueue()).add(waiting)

    def withdraw(self, request_id: str) -> bool:
        """Remove a waiting request from its queue.

        :returns: whether it was waiting.
        """
        for adapter, queue in self.queue_by_adapter.items():
            for waiting in queue.waiting_requests():
                if waiting.request_id == request_id:
                    self._dequeue(adapter, waiting)
                    return True
        return False

    def dispatch_ready(self, now_ms: int, permission: Permission) -> list[Dispatch]:
        """Pick the requests to send now and pin their adapters."""
        dispatches: list[Dispatch] = []
        if permission is Permission.NOTHING:
            return dispatches
        while self.running < self.limits.max_batch:
            waiting = self._next_waiting()
            if waiting is None:
                return dispatches
            self._dequeue(waiting.adapter, waiting)
            self._pin(waiting, now_ms)
            dispatches.append(Dispatch(waiting.request_id, waiting.adapter))
        return dispatches

    def load_options(self, now_ms: int, permission: Permission) -> list[LoadCandidate]:
        """Return the most urgent loads: one for established customers, one for newcomers.

        Also closes an adapter to new requests when no slot can be evicted, or reopens closed ones.

        :returns: only loads that could start now.
        """
        if permission is Permission.NOTHING:
            return []
        candidates = [
            self._load_candidate(adapter, queue, now_ms)
            for adapter, queue in self.queue_by_adapter.items()
            if adapter not in self.slot_by_adapter
            and self._retry_at_ms_by_adapter.get(adapter, 0) <= now_ms
        ]
        if not candidates:
            self._reopen_closing()
            return []
        options = best_of_each_kind(candidates)
        if self._has_free_slot():
            return options
        if permission is not Permission.ALL:
            return []
        if self._choose_victim(now_ms) is None:
            self._close_least_used(options[0].adapter, now_ms)
        return options if self._choose_victim(now_ms) is not None else []

    def start_load(self, adapter: AdapterRef, now_ms: int, permission: Permission) -> list[Order]:
        """Start a load that was granted, with an eviction first where no slot is free.

        :returns: the orders to send; none if the state changed since the grant was requested.
        """
        if adapter in self.slot_by_adapter or permission is Permission.NOTHING:
            return []
        if self._has_free_slot():
            self._reserve_slot(adapter)
            return [Load(adapter)]
        victim = self._choose_victim(now_ms) if permission is Permission.ALL else None
        if victim is None:
            return []
        require(not victim.pins, "a pinned adapter is never unloaded")
        victim.state = SlotState.UNLOADING
        victim.next_adapter = adapter
        self.eviction_count += 1
        return [Unload(victim.adapter)]

    def handle_loaded(self, adapter: AdapterRef, now_ms: int) -> None:
        """Handle the engine's confirmation that a load is complete."""
        slot = self.slot_by_adapter.get(adapter)
        if slot is None or slot.state is not SlotState.LOADING:
            return
        slot.state = SlotState.RESIDENT
        slot.last_used_ms = slot.resident_since_ms = now_ms
        self.load_count += 1
        self._failures_by_adapter.pop(adapter, None)
        self._retry_at_ms_by_adapter.pop(adapter, None)

    def handle_load_failure(self, adapter: AdapterRef, now_ms: int) -> list[WaitingRequest]:
        """Handle a failed load; it is retried after a backoff, a limited number of times.

        :returns: the waiting requests to refuse, once the adapter has failed too often.
        """
        slot = self.slot_by_adapter.get(adapter)
        if slot is None or slot.state is not SlotState.LOADING:
            return []
        del self.slot_by_adapter[adapter]
        failures = self._failures_by_adapter.get(adapter, 0) + 1
        self._failures_by_adapter[adapter] = failures
        backoff_ms = min(LOAD_BACKOFF_START_MS * 2 ** (failures - 1), LOAD_BACKOFF_MAX_MS)
        self._retry_at_ms_by_adapter[adapter] = now_ms + backoff_ms
        if failures < MAX_LOAD_FAILURES:
            return []
        queue = self.queue_by_adapter.pop(adapter, None)
        return queue.waiting_requests() if queue else []

    def handle_unloaded(self, adapter: AdapterRef) -> list[Order]:
        """Handle the engine's confirmation of an unload; the slot goes to its next adapter."""
        slot = self.slot_by_adapter.get(adapter)
        if slot is None or slot.state is not SlotState.UNLOADING:
            return []
        require(not slot.pins, "an adapter that serves a request is never unloaded")
        del self.slot_by_adapter[adapter]
        if slot.next_adapter is None or slot.next_adapter in self.slot_by_adapter:
            return []
        self._reserve_slot(slot.next_adapter)
        return [Load(slot.next_adapter)]

    def handle_run_end(self, request_id: str, now_ms: int) -> list[Order]:
        """Release the pin of a request that no longer runs on the engine.

        :returns: the unload of its adapter, if its slot is closing and has no other pins.
        """
        adapter = self.adapter_by_run_id.pop(request_id, None)
        if adapter is None:
            return []
        slot = self.slot_by_adapter.get(adapter)
        if slot is None:
            return []
        slot.pins.discard(request_id)
        slot.last_used_ms = now_ms
        return self._unload_if_idle(slot) if slot.state is SlotState.CLOSING else []

    def adopt(self, resident: dict[AdapterRef, set[str]], now_ms: int) -> None:
        """Record the adapters that an engine holds at takeover; running requests pin theirs."""
        for adapter, pins in resident.items():
            slot = self.slot_by_adapter.setdefault(adapter, Slot(adapter, SlotState.RESIDENT))
            slot.pins |= pins
            slot.last_used_ms = now_ms
            for request_id in pins:
                self.adapter_by_run_id[request_id] = adapter

    def reconcile(self, boot_id: str, resident: set[AdapterRef]) -> bool:
        """Correct the slots by the engine's report, made while no order was in progress.

        Two failures make the recorded slots differ from the engine's: the engine restarted empty,
        or all answers to a load were lost, so that it counts as failed although the adapter is
        resident. Pinned slots stay: after a restart, runs of the new boot may already use them, and
        evicting their adapters would abort those runs. Runs that the restart ended release their
        pins when their streams end.

        :returns: whether anything differed.
        """
        missing = [
            slot.adapter
            for slot in self.slot_by_adapter.values()
            if slot.adapter not in resident
            and not slot.pins
            and slot.state in (SlotState.RESIDENT, SlotState.CLOSING)
        ]
        for adapter in missing:
            del self.slot_by_adapter[adapter]
        unknown = [adapter for adapter in sorted(resident) if adapter not in self.slot_by_adapter]
        added = unknown[: max(0, self.limits.slots - len(self.slot_by_adapter))]
        for adapter in added:
            self.slot_by_adapter[adapter] = Slot(adapter, SlotState.RESIDENT)
        has_restarted = boot_id != self.boot_id
        self.boot_id = boot_id
        return bool(missing or added or has_restarted)

    def drop_queues(self) -> list[WaitingRequest]:
        """Empty all queues, before the requests are placed elsewhere.

        :returns: every request that waited.
        """
        waiting = [
            entry for queue in self.queue_by_adapter.values() for entry in queue.waiting_requests()
        ]
        self.queue_by_adapter.clear()
        return waiting

    def check_invariants(self) -> None:
        """Check the rules that hold between any two events."""
        require(len(self.slot_by_adapter) <= self.limits.slots, "slots never exceed the engine's")
        for request_id, adapter in self.adapter_by_run_id.items():
            slot = self.slot_by_adapter.get(adapter)
            require(slot is not None, "a running request's adapter is in a slot")
            require(request_id in slot.pins, "a running request pins its adapter")
            require(slot.state is not SlotState.UNLOADING, "a pinned adapter is not unloading")

    def _next_waiting(self) -> WaitingRequest | None:
        heads = [
            head
            for adapter in self.resident()
            if (queue := self.queue_by_adapter.get(adapter)) and (head := queue.head())
        ]
        return min(
            heads,
            key=lambda head: (
                head.priority,
                self.served_by_customer[head.customer],
                head.enqueued_ms,
                head.request_id,
            ),
            default=None,
        )

    def _dequeue(self, adapter: AdapterRef, waiting: WaitingRequest) -> None:
        queue = self.queue_by_adapter[adapter]
        queue.remove(waiting)
        if not queue.count:
            del self.queue_by_adapter[adapter]

    def _pin(self, waiting: WaitingRequest, now_ms: int) -> None:
        slot = self.slot_by_adapter[waiting.adapter]
        require(slot.state is SlotState.RESIDENT, "only a resident adapter serves requests")
        slot.pins.add(waiting.request_id)
        slot.last_used_ms = now_ms
        self.stall.record(max(0, slot.resident_since_ms - waiting.enqueued_ms), now_ms)
        self.adapter_by_run_id[waiting.request_id] = waiting.adapter
        self.served_by_customer[waiting.customer] += 1.0 / waiting.weight

    def _start_customer_share(self, customer: str) -> None:
        """Raise the served count of a customer with no waiting request to the lowest waiting one.

        Otherwise a customer that was idle would be served ahead of all others until it caught up.
        """
        waiting_customers = {
            head.customer for queue in self.queue_by_adapter.values() if (head := queue.head())
        }
        if customer in waiting_customers:
            return
        floor = min((self.served_by_customer[name] for name in waiting_customers), default=0.0)
        self.served_by_customer[customer] = max(self.served_by_customer.get(customer, 0.0), floor)

    def _load_candidate(
        self, adapter: AdapterRef, queue: AdapterQueue, now_ms: int
    ) -> LoadCandidate:
        total_wait_s = queue.total_wait_ms(now_ms) / 1000
        score = self.weights.stall * total_wait_s + self.weights.batch * queue.count
        background = queue.background_count == queue.count
        overdue = now_ms - queue.oldest_enqueued_ms() > self.weights.max_wait_ms
        return LoadCandidate(self.runner_id, adapter, score, overdue, queue.count, background)

    def _has_free_slot(self) -> bool:
        return len(self.slot_by_adapter) < self.limits.slots

    def _reserve_slot(self, adapter: AdapterRef) -> None:
        require(self._has_free_slot(), "a load needs a free slot")
        self.slot_by_adapter[adapter] = Slot(adapter, SlotState.LOADING)

    def _choose_victim(self, now_ms: int) -> Slot | None:
        """Choose the idle adapter that is least likely to be requested again.

        That is the one with the lowest usage score; of equal ones, the least recently used.
        """
        idle = [slot for slot in self.slot_by_adapter.values() if self._is_evictable(slot)]
        return min(
            idle,
            key=lambda slot: (self._usage_of(slot.adapter).score_at(now_ms), slot.last_used_ms),
            default=None,
        )

    def _is_evictable(self, slot: Slot) -> bool:
        if slot.pins:
            return False
        if slot.state is SlotState.CLOSING:
            return True
        return slot.state is SlotState.RESIDENT and slot.adapter not in self.queue_by_adapter

    def _reopen_closing(self) -> None:
        """Reopen closed adapters once no load needs their slots.

        The requests that wait for a closed adapter would otherwise never be served: it accepts no
        requests, and it is not loaded again since it is still in its slot.
        """
        for slot in self.slot_by_adapter.values():
            if slot.state is SlotState.CLOSING:
                slot.state = SlotState.RESIDENT

    def _close_least_used(self, adapter: AdapterRef, now_ms: int) -> None:
        """Close the least used adapter once a request has waited too long for a pinned slot.

        Its slot is unloaded when its running requests have ended. One slot at a time is closed.
        """
        queue = self.queue_by_adapter[adapter]
        if now_ms - queue.oldest_enqueued_ms() < self.weights.close_after_ms:
            return
        states = [slot.state for slot in self.slot_by_adapter.values()]
        if SlotState.CLOSING in states or SlotState.UNLOADING in states:
            return
        resident_slots = [
            slot for slot in self.slot_by_adapter.values() if slot.state is SlotState.RESIDENT
        ]
        if resident_slots:
            least_used = min(
                resident_slots, key=lambda slot: self._usage_of(slot.adapter).score_at(now_ms)
            )
            least_used.state = SlotState.CLOSING

    def _unload_if_idle(self, slot: Slot) -> list[Order]:
        if slot.pins:
            return []
        slot.state = SlotState.UNLOADING
        self.eviction_count += 1
        return [Unload(slot.adapter)]

    def _usage_of(self, adapter: AdapterRef) -> UsageScore:
        usage = self.usage_by_adapter.get(adapter)
        if usage is None:
            usage = self.usage_by_adapter[adapter] = UsageScore()
            if len(self.usage_by_adapter) > MAX_USAGE_SCORES:
                self._drop_least_used()
        return usage

    def _drop_least_used(self) -> None:
        """Drop the lower half of the usage scores, except of adapters in slots, to bound memory."""
        latest_ms = max(usage.updated_ms for usage in self.usage_by_adapter.values())
        by_score = sorted(
            self.usage_by_adapter, key=lambda name: self.usage_by_adapter[name].score_at(latest_ms)
        )
        for adapter in by_score[: len(by_score) // 2]:
            if adapter not in self.slot_by_adapter:
                del self.usage_by_adapter[adapter]
