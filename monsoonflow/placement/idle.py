"""Tells which places nothing uses, and which of them is worth least."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from .heat import Heat
from .seats import RunnerSeats, Seat, SeatState

UNSEEN_MS: Final = 100
"""A use that began so lately may not have been heard of: nodes tell the holder within 20 ms when a
use begins or ends. One that is missed all the same is refused by the runner and comes back."""

_NOTHING: Final[Mapping[str, int]] = {}


@attrs.define(slots=True)
class IdlePlaces:
    """The places of a cell's runners that could be given to other adapters.

    :param newest: the newest version by adapter, where the operator named one.
    """

    runners: Mapping[ServerLife, RunnerSeats]
    heat: Heat
    newest: Mapping[str, int]

    def least_valuable(
        self, runner: RunnerSeats, now_ms: int, work: Mapping[ServerLife, ServerWork]
    ) -> Seat | None:
        """Return the least valuable seat that nothing uses, or may use unheard."""
        idle = self.of(runner, now_ms, work)
        return min(idle, key=lambda seat: self.value(seat, now_ms), default=None)

    def has_room(
        self, runner: RunnerSeats, now_ms: int, work: Mapping[ServerLife, ServerWork]
    ) -> bool:
        """Tell whether a runner has a free place, or can make one."""
        return runner.room(now_ms) > 0 or bool(self.of(runner, now_ms, work))

    def count(self, now_ms: int, work: Mapping[ServerLife, ServerWork]) -> int:
        """Return how many places nothing uses."""
        runners = self.runners.values()
        return sum(r.room(now_ms) + len(self.of(r, now_ms, work)) for r in runners)

    def value(self, seat: Seat, now_ms: int) -> float:
        """Return what a seat is worth: the use of its adapter, shared by its copies."""
        name = seat.ref.name
        if seat.ref.version < self.newest.get(name, 1):
            return 0.0
        copies = sum(runner.ready(name) is not None for runner in self.runners.values())
        return self.heat.of(name, now_ms) / max(1, copies)

    def of(
        self, runner: RunnerSeats, now_ms: int, work: Mapping[ServerLife, ServerWork]
    ) -> list[Seat]:
        """Return the seats of a runner that nothing uses, or may use unheard."""
        at = work.get(runner.life)
        used = at.requests_by_adapter if at is not None else _NOTHING
        unseen_ms = now_ms - UNSEEN_MS
        ready = SeatState.READY
        return [
            seat
            for name, seat in runner.seats.items()
            if seat.used_ms <= unseen_ms
            and seat.state is ready
            and seat.granted_until_ms <= now_ms
            and not used.get(name)
        ]
