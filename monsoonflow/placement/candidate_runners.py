"""What a plan has to give: one look at all runners, for all who wait."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final, TypeAlias

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from .idle_slots import IdleSlots
from .slots import MAX_CONCURRENT_LOADS, RunnerSlots, Slot, SlotState

OVERLOADED_TOKENS: Final = 6_000
"""Unread prompt tokens at a runner beyond which others are preferred: some 300 ms of reading."""

_NO_WORK: Final = ServerWork()

SlotOnRunner: TypeAlias = tuple[RunnerSlots, Slot]


@attrs.define(slots=True, eq=False)
class CandidateRunner:
    """A runner that takes orders.

    :param room: it has a free place, or can make one.
    """

    runner: RunnerSlots
    work: ServerWork
    has_room: bool
    is_overloaded: bool


class CandidateRunners:
    """The runners that take orders, and what is on its way.

    Looked at again for each of 64 who wait, 45 runners with 5 places made a plan take three times
    as long.

    :param on_its_way: tells whether a load that began so long ago may still be on its way.
    :param now_ms: of the plan.
    :param idle_places: places that nothing used, over all runners, when the plan began.
    :param cold_incoming: adapters on their way from the weight store.
    """

    def __init__(
        self,
        idle: IdleSlots,
        now_ms: int,
        work: Mapping[ServerLife, ServerWork],
        on_its_way: Callable[[int], bool],
    ) -> None:
        self._on_its_way = on_its_way
        self._idle = idle
        self.now_ms = now_ms
        self._work = work
        self._taker_by_life: dict[ServerLife, CandidateRunner] = {}
        self._roomy: dict[ServerLife, CandidateRunner] = {}
        self._cold_by_life: dict[ServerLife, int] = {}
        self._loading: dict[str, list[SlotOnRunner]] = {}
        self._lives_by_ready: dict[str, list[ServerLife]] = {}
        self.idle_slot_count = 0
        self.cold_loads_in_progress = 0
        for runner in idle.runners.values():
            self._note_seats(runner)
            self.idle_slot_count += self._look_at(runner)

    def refresh(self, runner: RunnerSlots) -> None:
        """Look anew at a runner that has just been given an order."""
        self._taker_by_life.pop(runner.life, None)
        self._roomy.pop(runner.life, None)
        self.cold_loads_in_progress -= self._cold_by_life.pop(runner.life, 0)
        self._look_at(runner)

    def loading_slots(self, name: str) -> list[SlotOnRunner]:
        """Return where an adapter was on its way when the plan began."""
        return self._loading.get(name, [])

    def candidates_among(self, lives: Iterable[ServerLife]) -> list[CandidateRunner]:
        """Return those of some runners that take orders."""
        known = self._taker_by_life
        return [taker for life in lives if (taker := known.get(life)) is not None]

    def candidates_for(self, name: str) -> Iterable[CandidateRunner]:
        """Return the runners with room, and those that hold another version of an adapter."""
        holders = self._lives_by_ready.get(name)
        if not holders:
            return self._roomy.values()
        return {
            **self._roomy,
            **{t.runner.life: t for t in self.candidates_among(holders)},
        }.values()

    def _note_seats(self, runner: RunnerSlots) -> None:
        life, ready = runner.life, SlotState.READY
        lives_by_ready = self._lives_by_ready
        for name, seat in runner.slots.items():
            if seat.state is ready:
                known = lives_by_ready.get(name)
                if known is None:
                    lives_by_ready[name] = [life]
                else:
                    known.append(life)
            elif seat.state is SlotState.LOADING:
                self._loading.setdefault(name, []).append((runner, seat))

    def _look_at(self, runner: RunnerSlots) -> int:
        """Note what a runner can take; return how many of its places nothing uses."""
        life = runner.life
        room = runner.available_slots(self.now_ms)
        idle = self._idle.idle_slots_of(runner, self.now_ms, self._work)
        loading = runner.loading_slots()
        if loading:
            cold = self._cold_by_life[life] = sum(
                seat.is_cold and self._on_its_way(self.now_ms - seat.state_since_ms)
                for seat in loading
            )
            self.cold_loads_in_progress += cold
        if len(loading) < MAX_CONCURRENT_LOADS and _can_be_ordered(runner):
            work = self._work.get(life, _NO_WORK)
            has_room = room > 0 or bool(idle)
            taker = CandidateRunner(
                runner, work, has_room, work.pending_prefill_tokens > OVERLOADED_TOKENS
            )
            self._taker_by_life[life] = taker
            if has_room:
                self._roomy[life] = taker
        return room + len(idle)


def _can_be_ordered(runner: RunnerSlots) -> bool:
    return runner.is_known() and not runner.report_due_ms and runner.unconfirmed_order is None
