"""The aggregate of one model runner: slots, pins, queues, loads and evictions."""

from __future__ import annotations

from ..core.adapter import AdapterRef
from ..core.invariant import require
from .const import (
    LOAD_BACKOFF_MAX_MS,
    LOAD_BACKOFF_START_MS,
    MAX_HEAT_ENTRIES,
    MAX_LOAD_FAILURES,
    Permission,
    SlotState,
)
from .models import (
    AdapterQueue,
    Dispatch,
    Heat,
    Load,
    LoadCandidate,
    Order,
    RunnerLimits,
    Slot,
    Stalls,
    Unload,
    Waiting,
    Weights,
    best_of_each_kind,
)


class Runner:
    """Holds exact knowledge of one runner, kept by its owner only.

    Rules kept here:

    * a request is dispatched only to a resident adapter, and pins it until it ends;
    * a pinned adapter is never unloaded;
    * slots in use never exceed what the engine has.
    """

    def __init__(
        self, runner_id: str, limits: RunnerLimits, weights: Weights, boot_id: str
    ) -> None:
        self.runner_id = runner_id
        self.limits = limits
        self.weights = weights
        self.boot_id = boot_id
        self.slot_by_adapter: dict[AdapterRef, Slot] = {}
        self.queue_by_adapter: dict[AdapterRef, AdapterQueue] = {}
        self.adapter_by_running: dict[str, AdapterRef] = {}
        self.heat_by_adapter: dict[AdapterRef, Heat] = {}
        self.served_by_customer: dict[str, float] = {}
        self.stall = Stalls()
        self.loads = 0
        self.evictions = 0
        self._failures_by_adapter: dict[AdapterRef, int] = {}
        self._retry_at_by_adapter: dict[AdapterRef, int] = {}

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return sum(queue.count for queue in self.queue_by_adapter.values())

    @property
    def ready(self) -> int:
        """Return how many requests wait for a place in the batch only, not for their adapter."""
        return sum(
            queue.count
            for adapter in self.resident()
            if (queue := self.queue_by_adapter.get(adapter)) is not None
        )

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self.adapter_by_running)

    def oldest_wait_ms(self, now_ms: int) -> int:
        """Return how long the longest waiter has waited."""
        oldest = min(
            (queue.oldest_ms() for queue in self.queue_by_adapter.values()), default=now_ms
        )
        return now_ms - oldest

    def loads_under_way(self) -> int:
        """Return how many slots are being loaded or cleared for a load."""
        return sum(
            1
            for slot in self.slot_by_adapter.values()
            if slot.state is SlotState.LOADING or slot.successor is not None
        )

    def resident(self) -> list[AdapterRef]:
        """Return the adapters that serve new requests."""
        return [
            slot.adapter
            for slot in self.slot_by_adapter.values()
            if slot.state is SlotState.RESIDENT
        ]

    def enqueue(self, waiting: Waiting) -> None:
        """Add a request to the queue of its adapter."""
        self._heat(waiting.adapter).add(waiting.enqueued_ms)
        self._join_customer(waiting.customer)
        self.queue_by_adapter.setdefault(waiting.adapter, AdapterQueue()).add(waiting)

    def withdraw(self, request_id: str) -> bool:
        """Take a waiting request out of its queue.

        :returns: whether it was waiting.
        """
        for adapter, queue in self.queue_by_adapter.items():
            for waiting in queue.all():
                if waiting.request_id == request_id:
                    self._dequeue(adapter, waiting)
                    return True
        return False

    def dispatches(self, now_ms: int, permission: Permission) -> list[Dispatch]:
        """Pick the requests to send now and pin their adapters."""
        picked: list[Dispatch] = []
        if permission is Permission.NOTHING:
            return picked
        while self.running < self.limits.max_batch:
            waiting = self._next_waiting()
            if waiting is None:
                return picked
            self._dequeue(waiting.adapter, waiting)
            self._pin(waiting, now_ms)
            picked.append(Dispatch(waiting.request_id, waiting.adapter))
        return picked

    def load_options(self, now_ms: int, permission: Permission) -> list[LoadCandidate]:
        """Return the loads that help most: one for customers in service, one for newcomers.

        :returns: only loads that could start now.
        """
        if permission is Permission.NOTHING:
            return []
        candidates = [
            self._candidate(adapter, queue, now_ms)
            for adapter, queue in self.queue_by_adapter.items()
            if adapter not in self.slot_by_adapter
            and self._retry_at_by_adapter.get(adapter, 0) <= now_ms
        ]
        if not candidates:
            self._reopen()
            return []
        options = best_of_each_kind(candidates)
        if self._has_free_slot():
            return options
        if permission is not Permission.ALL:
            return []
        if self._victim(now_ms) is None:
            self._close_for(options[0].adapter, now_ms)
        return options if self._victim(now_ms) is not None else []

    def start_load(self, adapter: AdapterRef, now_ms: int, permission: Permission) -> list[Order]:
        """Begin a load that was granted; may begin with an eviction.

        :returns: the orders to send, none when the state changed since the grant was asked for.
        """
        if adapter in self.slot_by_adapter or permission is Permission.NOTHING:
            return []
        if self._has_free_slot():
            self._occupy(adapter)
            return [Load(adapter)]
        victim = self._victim(now_ms) if permission is Permission.ALL else None
        if victim is None:
            return []
        require(not victim.pins, "a pinned adapter is never unloaded")
        victim.state = SlotState.UNLOADING
        victim.successor = adapter
        self.evictions += 1
        return [Unload(victim.adapter)]

    def loaded(self, adapter: AdapterRef, now_ms: int) -> None:
        """Take the engine's word that a load is complete."""
        slot = self.slot_by_adapter.get(adapter)
        if slot is None or slot.state is not SlotState.LOADING:
            return
        slot.state = SlotState.RESIDENT
        slot.last_used_ms = slot.resident_since_ms = now_ms
        self.loads += 1
        self._failures_by_adapter.pop(adapter, None)
        self._retry_at_by_adapter.pop(adapter, None)

    def load_failed(self, adapter: AdapterRef, now_ms: int) -> list[Waiting]:
        """Take a failed load; it is tried again later, a bounded number of times.

        :returns: the waiters to give up on, once the adapter has failed too often.
        """
        slot = self.slot_by_adapter.get(adapter)
        if slot is None or slot.state is not SlotState.LOADING:
            return []
        del self.slot_by_adapter[adapter]
        failures = self._failures_by_adapter.get(adapter, 0) + 1
        self._failures_by_adapter[adapter] = failures
        backoff = min(LOAD_BACKOFF_START_MS * 2 ** (failures - 1), LOAD_BACKOFF_MAX_MS)
        self._retry_at_by_adapter[adapter] = now_ms + backoff
        if failures < MAX_LOAD_FAILURES:
            return []
        queue = self.queue_by_adapter.pop(adapter, None)
        return queue.all() if queue else []

    def unloaded(self, adapter: AdapterRef) -> list[Order]:
        """Take the engine's word that an adapter is gone; its slot passes on."""
        slot = self.slot_by_adapter.get(adapter)
        if slot is None or slot.state is not SlotState.UNLOADING:
            return []
        require(not slot.pins, "an adapter that serves a request is never unloaded")
        del self.slot_by_adapter[adapter]
        if slot.successor is None or slot.successor in self.slot_by_adapter:
            return []
        self._occupy(slot.successor)
        return [Load(slot.successor)]

    def ended(self, request_id: str, now_ms: int) -> list[Order]:
        """Release the pin of a request that no longer runs on the engine."""
        adapter = self.adapter_by_running.pop(request_id, None)
        if adapter is None:
            return []
        slot = self.slot_by_adapter.get(adapter)
        if slot is None:
            return []
        slot.pins.discard(request_id)
        slot.last_used_ms = now_ms
        return self._unload_if_idle(slot) if slot.state is SlotState.CLOSING else []

    def adopt(self, resident: dict[AdapterRef, set[str]], now_ms: int) -> None:
        """Take over what an engine holds, with the running requests as pins."""
        for adapter, pins in resident.items():
            slot = self.slot_by_adapter.setdefault(adapter, Slot(adapter, SlotState.RESIDENT))
            slot.pins |= pins
            slot.last_used_ms = now_ms
            for request_id in pins:
                self.adapter_by_running[request_id] = adapter

    def reconcile(self, boot_id: str, resident: set[AdapterRef]) -> bool:
        """Take the engine's own word on what it holds, given while no order was under way.

        Two failures make the owner's memory differ: an engine that restarted empty, and a load
        whose answers were all lost, which counts as failed while its adapter is in place. Pinned
        slots stay: after a restart, runs of the new boot may already use them, and evicting their
        adapters would cut them. Runs that the restart ended lose their pins with their streams.

        :returns: whether anything differed.
        """
        gone = [
            slot.adapter
            for slot in self.slot_by_adapter.values()
            if slot.adapter not in resident
            and not slot.pins
            and slot.state in (SlotState.RESIDENT, SlotState.CLOSING)
        ]
        for adapter in gone:
            del self.slot_by_adapter[adapter]
        unknown = [adapter for adapter in sorted(resident) if adapter not in self.slot_by_adapter]
        taken = unknown[: max(0, self.limits.slots - len(self.slot_by_adapter))]
        for adapter in taken:
            self.slot_by_adapter[adapter] = Slot(adapter, SlotState.RESIDENT)
        restarted = boot_id != self.boot_id
        self.boot_id = boot_id
        return bool(gone or taken or restarted)

    def drop_queue(self) -> list[Waiting]:
        """Empty all queues, for handing the runner over.

        :returns: every request that waited.
        """
        waiting = [entry for queue in self.queue_by_adapter.values() for entry in queue.all()]
        self.queue_by_adapter.clear()
        return waiting

    def check(self) -> None:
        """Assert the rules that hold between any two events."""
        require(len(self.slot_by_adapter) <= self.limits.slots, "slots never exceed the engine's")
        for request_id, adapter in self.adapter_by_running.items():
            slot = self.slot_by_adapter.get(adapter)
            require(slot is not None, "a running request's adapter is in a slot")
            require(request_id in slot.pins, "a running request pins its adapter")
            require(slot.state is not SlotState.UNLOADING, "a pinned adapter is not unloading")

    def _next_waiting(self) -> Waiting | None:
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

    def _dequeue(self, adapter: AdapterRef, waiting: Waiting) -> None:
        queue = self.queue_by_adapter[adapter]
        queue.remove(waiting)
        if not queue.count:
            del self.queue_by_adapter[adapter]

    def _pin(self, waiting: Waiting, now_ms: int) -> None:
        slot = self.slot_by_adapter[waiting.adapter]
        require(slot.state is SlotState.RESIDENT, "only a resident adapter serves")
        slot.pins.add(waiting.request_id)
        slot.last_used_ms = now_ms
        self.stall.add(max(0, slot.resident_since_ms - waiting.enqueued_ms), now_ms)
        self.adapter_by_running[waiting.request_id] = waiting.adapter
        self.served_by_customer[waiting.customer] += 1.0 / waiting.weight

    def _join_customer(self, customer: str) -> None:
        """Start a customer at the least served one's count, so that idling earns no credit."""
        active = {
            head.customer for queue in self.queue_by_adapter.values() if (head := queue.head())
        }
        if customer in active:
            return
        floor = min((self.served_by_customer[name] for name in active), default=0.0)
        self.served_by_customer[customer] = max(self.served_by_customer.get(customer, 0.0), floor)

    def _candidate(self, adapter: AdapterRef, queue: AdapterQueue, now_ms: int) -> LoadCandidate:
        waited_s = queue.total_wait_ms(now_ms) / 1000
        score = self.weights.stall * waited_s + self.weights.batch * queue.count
        background = queue.background_count == queue.count
        overdue = now_ms - queue.oldest_ms() > self.weights.wait_bound_ms
        return LoadCandidate(self.runner_id, adapter, score, overdue, queue.count, background)

    def _has_free_slot(self) -> bool:
        return len(self.slot_by_adapter) < self.limits.slots

    def _occupy(self, adapter: AdapterRef) -> None:
        require(self._has_free_slot(), "a load needs a free slot")
        self.slot_by_adapter[adapter] = Slot(adapter, SlotState.LOADING)

    def _victim(self, now_ms: int) -> Slot | None:
        """Choose the idle adapter that is least likely to be asked for again."""
        idle = [slot for slot in self.slot_by_adapter.values() if self._may_go(slot)]
        return min(
            idle,
            key=lambda slot: (self._heat(slot.adapter).now(now_ms), slot.last_used_ms),
            default=None,
        )

    def _may_go(self, slot: Slot) -> bool:
        if slot.pins:
            return False
        if slot.state is SlotState.CLOSING:
            return True
        return slot.state is SlotState.RESIDENT and slot.adapter not in self.queue_by_adapter

    def _reopen(self) -> None:
        """Let adapters that were closed to make room serve again, once nobody needs the room.

        One that stayed closed would leave its own waiters neither served nor loaded.
        """
        for slot in self.slot_by_adapter.values():
            if slot.state is SlotState.CLOSING:
                slot.state = SlotState.RESIDENT

    def _close_for(self, adapter: AdapterRef, now_ms: int) -> None:
        """Drain the least valuable adapter when a waiter finds every slot pinned."""
        queue = self.queue_by_adapter[adapter]
        if now_ms - queue.oldest_ms() < self.weights.close_after_ms:
            return
        states = [slot.state for slot in self.slot_by_adapter.values()]
        if SlotState.CLOSING in states or SlotState.UNLOADING in states:
            return
        open_slots = [
            slot for slot in self.slot_by_adapter.values() if slot.state is SlotState.RESIDENT
        ]
        if open_slots:
            least = min(open_slots, key=lambda slot: self._heat(slot.adapter).now(now_ms))
            least.state = SlotState.CLOSING

    def _unload_if_idle(self, slot: Slot) -> list[Order]:
        if slot.pins:
            return []
        slot.state = SlotState.UNLOADING
        self.evictions += 1
        return [Unload(slot.adapter)]

    def _heat(self, adapter: AdapterRef) -> Heat:
        heat = self.heat_by_adapter.get(adapter)
        if heat is None:
            heat = self.heat_by_adapter[adapter] = Heat()
            if len(self.heat_by_adapter) > MAX_HEAT_ENTRIES:
                self._forget_cold()
        return heat

    def _forget_cold(self) -> None:
        """Drop the colder half of the adapters that were asked for, so that memory is bounded."""
        latest_ms = max(heat.at_ms for heat in self.heat_by_adapter.values())
        order = sorted(
            self.heat_by_adapter, key=lambda name: self.heat_by_adapter[name].now(latest_ms)
        )
        for adapter in order[: len(order) // 2]:
            if adapter not in self.slot_by_adapter:
                del self.heat_by_adapter[adapter]
