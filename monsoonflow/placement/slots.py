"""What one runner holds, as the holder of its duty knows it."""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from typing import Final

import attrs

from ..core.adapter import AdapterRef
from ..core.invariant import require
from ..core.server_life import ServerLife
from ..orders.models import Operation, RunnerReport
from ..routing.routes import EngineTraits
from .cached_copies import CachedCopies

MAX_CACHED_COPIES: Final = 64
"""Adapters that a runner is thought to keep copies of after they were unloaded."""

MAX_CONCURRENT_LOADS: Final = 4
"""Adapters that may be on their way to one runner at the same time; it refuses more."""


def slot_count(traits: EngineTraits) -> int:
    """Return how many adapters a runner holds beside its base model."""
    largest = max((model.memory_mb for model in traits.models), default=0.0)
    adapter_mb = max((model.adapter_mb for model in traits.models), default=0.0)
    if adapter_mb <= 0:
        return traits.adapter_slots
    room = math.floor((traits.weights_mb - largest) / adapter_mb)
    return max(0, min(traits.adapter_slots, room))


class SlotState(enum.Enum):
    """How far an adapter is on a runner."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "dropping"


@attrs.define(slots=True)
class Slot:
    """An adapter's place on a runner.

    :param check_at_ms: when to ask whether it is loaded.
    :param used_ms: when it was last seen in use.
    :param granted_until_ms: how long a request that was just sent here keeps it.
    :param among: adapters on their way from the weight store when its load began; 0 unknown.
    """

    ref: AdapterRef
    state: SlotState
    state_since_ms: int
    confirm_at_ms: int = 0
    last_used_ms: int = 0
    granted_until_ms: int = 0
    is_cold: bool = True
    concurrent_loads: int = 0


@attrs.frozen(slots=True)
class OrderStep:
    """One order that should be sent now.

    :param confirms: it only asks whether an order that was accepted is complete.
    """

    life: ServerLife
    operation: Operation
    name: str
    version: int | None
    sequence: int
    is_confirmation: bool = False


@attrs.define(slots=True)
class RunnerSlots:
    """The seats of one runner.

    :param sequence: orders that it has accepted; ``None`` until it was asked.
    :param doubtful: an order without an answer; it is sent again until it is settled.
    :param remembered: adapters that it held, newest last; they load again in a tenth of the time.
    :param kept: the same of all runners, by adapter.
    :param spare_until_ms: until when one place stays free on a runner that has started again.
    """

    life: ServerLife
    slot_count: int
    model: str | None = None
    loading_model: str | None = None
    model_confirm_at_ms: int = 0
    model_load_started_ms: int = 0
    sequence: int | None = None
    has_call_in_progress: bool = False
    unconfirmed_order: OrderStep | None = None
    report_due_ms: int = 0
    sequence_updated_ms: int = 0
    slots: dict[str, Slot] = attrs.Factory(dict)
    cached_adapters: OrderedDict[AdapterRef, None] = attrs.Factory(OrderedDict)
    cached_copies: CachedCopies = attrs.field(factory=CachedCopies, repr=False, eq=False)
    spare_slot_until_ms: int = 0

    def is_known(self) -> bool:
        """Tell whether orders can be given: the runner was asked what it holds."""
        return self.sequence is not None

    def loading_count(self) -> int:
        """Return how many adapters are on their way."""
        return len(self.loading_slots())

    def loading_slots(self) -> list[Slot]:
        """Return the seats of adapters that are on their way."""
        loading = SlotState.LOADING
        return [seat for seat in self.slots.values() if seat.state is loading]

    def free_slots(self) -> int:
        """Return how many more adapters fit."""
        return self.slot_count - len(self.slots)

    def available_slots(self, now_ms: int) -> int:
        """Return how many more adapters may be ordered there now.

        An order to the life before may be carried out late by this one: it bears the same id, and
        the numbers of its orders begin anew, so the order's condition may hold again. On a full
        runner it would be one adapter too many, and the runner would crash; a place kept free until
        no such order can come takes it.
        """
        return self.free_slots() - (now_ms < self.spare_slot_until_ms)

    def ready_slot(self, name: str) -> Slot | None:
        """Return an adapter's seat when it can serve."""
        seat = self.slots.get(name)
        return seat if seat is not None and seat.state is SlotState.READY else None

    def reserve_slot(self, ref: AdapterRef, now_ms: int) -> Slot:
        """Take a place for an adapter before its order is sent.

        The place stays taken while the order's fate is unknown: a runner that is ordered to hold
        more than it can crashes with all its requests.
        """
        require(self.free_slots() > 0 or ref.name in self.slots, "a load has a place on its runner")
        cold = ref not in self.cached_adapters
        seat = Slot(ref, SlotState.LOADING, now_ms, is_cold=cold, last_used_ms=now_ms)
        self.slots[ref.name] = seat
        return seat

    def mark_loaded(self, name: str, now_ms: int) -> None:
        """Note that an adapter can serve."""
        seat = self.slots.get(name)
        if seat is None:
            return
        seat.state = SlotState.READY
        seat.last_used_ms = now_ms
        self.add_cached_copy(seat.ref)

    def mark_unloaded(self, name: str) -> None:
        """Note that an adapter's place is free."""
        seat = self.slots.pop(name, None)
        if seat is not None:
            self.add_cached_copy(seat.ref)

    def add_cached_copy(self, ref: AdapterRef) -> None:
        """Note that the runner keeps a copy of an adapter."""
        self.cached_adapters[ref] = None
        self.cached_adapters.move_to_end(ref)
        self.cached_copies.add(ref, self.life)
        if len(self.cached_adapters) > MAX_CACHED_COPIES:
            forgotten, _ = self.cached_adapters.popitem(last=False)
            self.cached_copies.remove(forgotten, self.life)

    def remove_cached_copies(self) -> None:
        """Note that the runner is gone, with its copies."""
        for ref in self.cached_adapters:
            self.cached_copies.remove(ref, self.life)
        self.cached_adapters.clear()

    def apply_report(self, report: RunnerReport, now_ms: int) -> None:
        """Take what the runner says it holds in place of what was believed."""
        self.sequence = report.sequence
        self.sequence_updated_ms = now_ms
        self.unconfirmed_order = None
        self.model = report.models[0].name if report.models else None
        if self.model is not None and not report.is_changing_model:
            self.loading_model = None
        held = {ref.name: ref for model in report.models for ref in model.adapters}
        coming = {ref.name: ref for ref in report.loading_adapters}
        for name in [name for name in self.slots if name not in held and name not in coming]:
            del self.slots[name]
        for name, ref in held.items():
            seat = self.slots.get(name)
            if seat is None or seat.ref != ref or seat.state is not SlotState.READY:
                used_ms = seat.last_used_ms if seat is not None else now_ms
                self.slots[name] = Slot(ref, SlotState.READY, now_ms, last_used_ms=used_ms)
            self.add_cached_copy(ref)
        for name, ref in coming.items():
            if name not in held:
                seat = self.slots.get(name)
                if seat is None or seat.state is not SlotState.LOADING:
                    self.slots[name] = Slot(ref, SlotState.LOADING, now_ms, confirm_at_ms=now_ms)
