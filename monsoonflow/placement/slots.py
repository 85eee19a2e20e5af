"""The adapter slots of one runner, as known to the lease holder of its cell."""

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
"""Number of unloaded adapters of which a runner is expected to keep a cached copy."""

MAX_CONCURRENT_LOADS: Final = 4
"""Number of adapters that one runner loads concurrently; it refuses more."""


def slot_count(traits: EngineTraits) -> int:
    """Return how many adapters a runner can hold in addition to its base model."""
    largest_model_mb = max((model.memory_mb for model in traits.models), default=0.0)
    adapter_mb = max((model.adapter_mb for model in traits.models), default=0.0)
    if adapter_mb <= 0:
        return traits.adapter_slots
    fitting = math.floor((traits.weights_mb - largest_model_mb) / adapter_mb)
    return max(0, min(traits.adapter_slots, fitting))


class SlotState(enum.Enum):
    """State of an adapter on a runner."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "dropping"


@attrs.define(slots=True)
class Slot:
    """An adapter's slot on a runner.

    :param state_since_ms: when the load or unload was ordered, or the adapter was found ready.
    :param confirm_at_ms: when to ask the runner whether the load or unload is complete.
    :param last_used_ms: when the adapter was last seen in use.
    :param granted_until_ms: until when the slot is kept for a request to which it was just granted.
    :param is_cold: whether the adapter is fetched from the weight store, without a cached copy.
    :param concurrent_loads: number of fetches from the weight store in progress when its load
        started, including itself; 0 if unknown.
    :param draining_level: set while the slot drains; only requests of a lower level are sent there.
    """

    ref: AdapterRef
    state: SlotState
    state_since_ms: int
    confirm_at_ms: int = 0
    last_used_ms: int = 0
    granted_until_ms: int = 0
    is_cold: bool = True
    concurrent_loads: int = 0
    draining_level: int | None = None

    def accepts(self, level: int) -> bool:
        """Tell whether a request of a level may be sent there."""
        return self.draining_level is None or level < self.draining_level


@attrs.frozen(slots=True)
class OrderStep:
    """An order to send to a runner now.

    :param sequence: number of orders that the runner must have accepted before this one.
    :param is_confirmation: whether it only asks if an order accepted earlier is complete.
    """

    life: ServerLife
    operation: Operation
    name: str
    version: int | None
    sequence: int
    is_confirmation: bool = False


@attrs.define(slots=True)
class RunnerSlots:
    """The slots of one runner, its base model and the orders sent to it.

    :param slot_count: number of adapters that it can hold.
    :param model: base model that it holds.
    :param loading_model: base model that it was ordered to load.
    :param model_confirm_at_ms: when to ask whether the load of the base model is complete.
    :param sequence: number of orders that it has accepted; ``None`` until it has reported.
    :param has_call_in_progress: whether an order or a report request to it is in progress.
    :param unconfirmed_order: an order without a response; it is repeated until its result is known.
    :param report_due_ms: when to request a report; 0 if none is needed.
    :param sequence_updated_ms: when ``sequence`` was last updated.
    :param slots: its slots in use, by adapter name.
    :param cached_adapters: adapters that it held, newest last; loading them again takes a tenth of
        the time.
    :param cached_copies: index of the cached adapters of all runners.
    :param spare_slot_until_ms: until when one slot stays free on a restarted runner.
    :param software_version: of its program; ``None`` if unknown.
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
    software_version: str | None = None

    def is_known(self) -> bool:
        """Tell whether the runner has reported what it holds, so that it can be sent orders."""
        return self.sequence is not None

    def loading_count(self) -> int:
        """Return how many adapters are being loaded."""
        return len(self.loading_slots())

    def loading_slots(self) -> list[Slot]:
        """Return the slots of adapters that are being loaded."""
        loading = SlotState.LOADING
        return [slot for slot in self.slots.values() if slot.state is loading]

    def free_slots(self) -> int:
        """Return the number of slots not in use."""
        return self.slot_count - len(self.slots)

    def available_slots(self, now_ms: int) -> int:
        """Return the number of slots into which adapters may be loaded now.

        An order to the runner's previous process may be delayed and carried out by the restarted
        one: it has the same id, and its order sequence starts again at 0, so the order's condition
        may hold again. On a full runner this would be one adapter too many, and the runner would
        crash. One slot is therefore kept free until no such order can arrive.
        """
        return self.free_slots() - (now_ms < self.spare_slot_until_ms)

    def ready_slot(self, name: str) -> Slot | None:
        """Return the slot of an adapter if the adapter is ready."""
        slot = self.slots.get(name)
        return slot if slot is not None and slot.state is SlotState.READY else None

    def reserve_slot(self, ref: AdapterRef, now_ms: int) -> Slot:
        """Reserve a slot for an adapter before its load is ordered.

        The slot stays reserved while the result of the order is unknown: a runner that is ordered
        to hold more adapters than it can crashes with all its requests.
        """
        require(
            self.free_slots() > 0 or ref.name in self.slots,
            "a load has a slot on its runner",
        )
        is_cold = ref not in self.cached_adapters
        slot = Slot(ref, SlotState.LOADING, now_ms, is_cold=is_cold, last_used_ms=now_ms)
        self.slots[ref.name] = slot
        return slot

    def mark_loaded(self, name: str, now_ms: int) -> None:
        """Record that an adapter is ready."""
        slot = self.slots.get(name)
        if slot is None:
            return
        slot.state = SlotState.READY
        slot.last_used_ms = now_ms
        self.add_cached_copy(slot.ref)

    def mark_unloaded(self, name: str) -> None:
        """Record that an adapter was unloaded and its slot is free."""
        slot = self.slots.pop(name, None)
        if slot is not None:
            self.add_cached_copy(slot.ref)

    def add_cached_copy(self, ref: AdapterRef) -> None:
        """Record that the runner keeps a cached copy of an adapter."""
        self.cached_adapters[ref] = None
        self.cached_adapters.move_to_end(ref)
        self.cached_copies.add(ref, self.life)
        if len(self.cached_adapters) > MAX_CACHED_COPIES:
            dropped_ref, _ = self.cached_adapters.popitem(last=False)
            self.cached_copies.remove(dropped_ref, self.life)

    def remove_cached_copies(self) -> None:
        """Remove all cached copies, when the runner no longer exists."""
        for ref in self.cached_adapters:
            self.cached_copies.remove(ref, self.life)
        self.cached_adapters.clear()

    def apply_report(self, report: RunnerReport, now_ms: int) -> None:
        """Replace the assumed state of the runner by what it reports."""
        self.sequence = report.sequence
        self.sequence_updated_ms = now_ms
        self.unconfirmed_order = None
        self.model = report.models[0].name if report.models else None
        if self.model is not None and not report.is_changing_model:
            self.loading_model = None
        held = {ref.name: ref for model in report.models for ref in model.adapters}
        loading = {ref.name: ref for ref in report.loading_adapters}
        for name in [name for name in self.slots if name not in held and name not in loading]:
            del self.slots[name]
        for name, ref in held.items():
            slot = self.slots.get(name)
            if slot is None or slot.ref != ref or slot.state is not SlotState.READY:
                last_used_ms = slot.last_used_ms if slot is not None else now_ms
                self.slots[name] = Slot(ref, SlotState.READY, now_ms, last_used_ms=last_used_ms)
            self.add_cached_copy(ref)
        for name, ref in loading.items():
            if name not in held:
                slot = self.slots.get(name)
                if slot is None or slot.state is not SlotState.LOADING:
                    self.slots[name] = Slot(ref, SlotState.LOADING, now_ms, confirm_at_ms=now_ms)
