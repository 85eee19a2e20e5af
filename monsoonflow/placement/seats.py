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
from .kept_copies import KeptCopies

MAX_REMEMBERED: Final = 64
"""Adapters that a runner is thought to keep copies of after they were unloaded."""

MAX_INCOMING: Final = 4
"""Adapters that may be on their way to one runner at the same time; it refuses more."""


def places(traits: EngineTraits) -> int:
    """Return how many adapters a runner holds beside its base model."""
    largest = max((model.memory_mb for model in traits.models), default=0.0)
    adapter_mb = max((model.adapter_mb for model in traits.models), default=0.0)
    if adapter_mb <= 0:
        return traits.adapter_slots
    room = math.floor((traits.weights_mb - largest) / adapter_mb)
    return max(0, min(traits.adapter_slots, room))


class SeatState(enum.Enum):
    """How far an adapter is on a runner."""

    LOADING = "loading"
    READY = "ready"
    DROPPING = "dropping"


@attrs.define(slots=True)
class Seat:
    """An adapter's place on a runner.

    :param check_at_ms: when to ask whether it is loaded.
    :param used_ms: when it was last seen in use.
    :param granted_until_ms: how long a request that was just sent here keeps it.
    :param among: adapters on their way from the weight store when its load began; 0 unknown.
    """

    ref: AdapterRef
    state: SeatState
    since_ms: int
    check_at_ms: int = 0
    used_ms: int = 0
    granted_until_ms: int = 0
    cold: bool = True
    among: int = 0


@attrs.frozen(slots=True)
class Step:
    """One order that should be sent now.

    :param confirms: it only asks whether an order that was accepted is complete.
    """

    life: ServerLife
    operation: Operation
    name: str
    version: int | None
    sequence: int
    confirms: bool = False


@attrs.define(slots=True)
class RunnerSeats:
    """The seats of one runner.

    :param sequence: orders that it has accepted; ``None`` until it was asked.
    :param doubtful: an order without an answer; it is sent again until it is settled.
    :param remembered: adapters that it held, newest last; they load again in a tenth of the time.
    :param kept: the same of all runners, by adapter.
    :param spare_until_ms: until when one place stays free on a runner that has started again.
    """

    life: ServerLife
    slots: int
    model: str | None = None
    model_loading: str | None = None
    model_check_at_ms: int = 0
    model_since_ms: int = 0
    sequence: int | None = None
    ordering: bool = False
    doubtful: Step | None = None
    report_at_ms: int = 0
    sequence_at_ms: int = 0
    seats: dict[str, Seat] = attrs.Factory(dict)
    remembered: OrderedDict[AdapterRef, None] = attrs.Factory(OrderedDict)
    kept: KeptCopies = attrs.field(factory=KeptCopies, repr=False, eq=False)
    spare_until_ms: int = 0

    def known(self) -> bool:
        """Tell whether orders can be given: the runner was asked what it holds."""
        return self.sequence is not None

    def incoming(self) -> int:
        """Return how many adapters are on their way."""
        return len(self.loading())

    def loading(self) -> list[Seat]:
        """Return the seats of adapters that are on their way."""
        loading = SeatState.LOADING
        return [seat for seat in self.seats.values() if seat.state is loading]

    def free(self) -> int:
        """Return how many more adapters fit."""
        return self.slots - len(self.seats)

    def room(self, now_ms: int) -> int:
        """Return how many more adapters may be ordered there now.

        An order to the life before may be carried out late by this one: it bears the same id, and
        the numbers of its orders begin anew, so the order's condition may hold again. On a full
        runner it would be one adapter too many, and the runner would crash; a place kept free until
        no such order can come takes it.
        """
        return self.free() - (now_ms < self.spare_until_ms)

    def ready(self, name: str) -> Seat | None:
        """Return an adapter's seat when it can serve."""
        seat = self.seats.get(name)
        return seat if seat is not None and seat.state is SeatState.READY else None

    def begin_load(self, ref: AdapterRef, now_ms: int) -> Seat:
        """Take a place for an adapter before its order is sent.

        The place stays taken while the order's fate is unknown: a runner that is ordered to hold
        more than it can crashes with all its requests.
        """
        require(self.free() > 0 or ref.name in self.seats, "a load has a place on its runner")
        cold = ref not in self.remembered
        seat = Seat(ref, SeatState.LOADING, now_ms, cold=cold, used_ms=now_ms)
        self.seats[ref.name] = seat
        return seat

    def loaded(self, name: str, now_ms: int) -> None:
        """Note that an adapter can serve."""
        seat = self.seats.get(name)
        if seat is None:
            return
        seat.state = SeatState.READY
        seat.used_ms = now_ms
        self.remember(seat.ref)

    def dropped(self, name: str) -> None:
        """Note that an adapter's place is free."""
        seat = self.seats.pop(name, None)
        if seat is not None:
            self.remember(seat.ref)

    def remember(self, ref: AdapterRef) -> None:
        """Note that the runner keeps a copy of an adapter."""
        self.remembered[ref] = None
        self.remembered.move_to_end(ref)
        self.kept.add(ref, self.life)
        if len(self.remembered) > MAX_REMEMBERED:
            forgotten, _ = self.remembered.popitem(last=False)
            self.kept.remove(forgotten, self.life)

    def forget_all(self) -> None:
        """Note that the runner is gone, with its copies."""
        for ref in self.remembered:
            self.kept.remove(ref, self.life)
        self.remembered.clear()

    def adopt(self, report: RunnerReport, now_ms: int) -> None:
        """Take what the runner says it holds in place of what was believed."""
        self.sequence = report.sequence
        self.sequence_at_ms = now_ms
        self.doubtful = None
        self.model = report.models[0].name if report.models else None
        if self.model is not None and not report.busy:
            self.model_loading = None
        held = {ref.name: ref for model in report.models for ref in model.adapters}
        coming = {ref.name: ref for ref in report.incoming}
        for name in [name for name in self.seats if name not in held and name not in coming]:
            del self.seats[name]
        for name, ref in held.items():
            seat = self.seats.get(name)
            if seat is None or seat.ref != ref or seat.state is not SeatState.READY:
                used_ms = seat.used_ms if seat is not None else now_ms
                self.seats[name] = Seat(ref, SeatState.READY, now_ms, used_ms=used_ms)
            self.remember(ref)
        for name, ref in coming.items():
            if name not in held:
                seat = self.seats.get(name)
                if seat is None or seat.state is not SeatState.LOADING:
                    self.seats[name] = Seat(ref, SeatState.LOADING, now_ms, check_at_ms=now_ms)
