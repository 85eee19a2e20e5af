"""Tells which places nothing uses, and which of them is worth least."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from .slots import RunnerSlots, Slot, SlotState
from .usage_scores import UsageScores

USE_REPORT_DELAY_MS: Final = 100
"""A use that began so lately may not have been heard of: nodes tell the holder within 20 ms when a
use begins or ends. One that is missed all the same is refused by the runner and comes back."""

_NOTHING: Final[Mapping[str, int]] = {}


@attrs.define(slots=True)
class IdleSlots:
    """The places of a cell's runners that could be given to other adapters.

    :param newest: the newest version by adapter, where the operator named one.
    """

    runners: Mapping[ServerLife, RunnerSlots]
    usage_scores: UsageScores
    newest_by_adapter: Mapping[str, int]

    def least_valuable(
        self, runner: RunnerSlots, now_ms: int, work: Mapping[ServerLife, ServerWork]
    ) -> Slot | None:
        """Return the least valuable seat that nothing uses, or may use unheard."""
        idle = self.idle_slots_of(runner, now_ms, work)
        return min(idle, key=lambda seat: self.value_of(seat, now_ms), default=None)

    def has_room(
        self, runner: RunnerSlots, now_ms: int, work: Mapping[ServerLife, ServerWork]
    ) -> bool:
        """Tell whether a runner has a free place, or can make one."""
        return runner.available_slots(now_ms) > 0 or bool(self.idle_slots_of(runner, now_ms, work))

    def count(self, now_ms: int, work: Mapping[ServerLife, ServerWork]) -> int:
        """Return how many places nothing uses."""
        runners = self.runners.values()
        return sum(
            r.available_slots(now_ms) + len(self.idle_slots_of(r, now_ms, work)) for r in runners
        )

    def value_of(self, seat: Slot, now_ms: int) -> float:
        """Return what a seat is worth: the use of its adapter, shared by its copies."""
        name = seat.ref.name
        if seat.ref.version < self.newest_by_adapter.get(name, 1):
            return 0.0
        copies = sum(runner.ready_slot(name) is not None for runner in self.runners.values())
        return self.usage_scores.score_of(name, now_ms) / max(1, copies)

    def idle_slots_of(
        self, runner: RunnerSlots, now_ms: int, work: Mapping[ServerLife, ServerWork]
    ) -> list[Slot]:
        """Return the seats of a runner that nothing uses, or may use unheard."""
        at = work.get(runner.life)
        used = at.requests_by_adapter if at is not None else _NOTHING
        unseen_ms = now_ms - USE_REPORT_DELAY_MS
        ready = SlotState.READY
        return [
            seat
            for name, seat in runner.slots.items()
            if seat.last_used_ms <= unseen_ms
            and seat.state is ready
            and seat.granted_until_ms <= now_ms
            and not used.get(name)
        ]
