"""The runners that a plan can order to load adapters, indexed once for all queued requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final, TypeAlias

import attrs

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from .idle_slots import IdleSlots
from .slots import MAX_CONCURRENT_LOADS, RunnerSlots, Slot, SlotState

OVERLOADED_TOKENS: Final = 6_000
"""Pending prefill tokens at a runner beyond which others are preferred: about 300 ms of prefill."""

_NO_WORK: Final = ServerWork()

SlotOnRunner: TypeAlias = tuple[RunnerSlots, Slot]


@attrs.define(slots=True, eq=False)
class CandidateRunner:
    """A runner that accepts orders.

    :param work: requests of all nodes in progress at the runner.
    :param has_room: whether it has a free slot or an idle one.
    :param is_overloaded: whether its pending prefill exceeds ``OVERLOADED_TOKENS``.
    """

    runner: RunnerSlots
    work: ServerWork
    has_room: bool
    is_overloaded: bool


class CandidateRunners:
    """The runners that accept orders, and the loads in progress.

    Examining 45 runners with 5 slots each again for each of 64 queued requests made a plan take
    three times as long.

    :param now_ms: time of the plan.
    :param work: requests of all nodes in progress, by runner.
    :param may_be_in_progress: tells whether a load that started this many milliseconds ago may
        still be in progress.

    ``idle_slot_count`` is the number of free and idle slots of all runners when the plan began, and
    ``cold_loads_in_progress`` the number of adapters being fetched from the weight store.
    """

    def __init__(
        self,
        idle: IdleSlots,
        now_ms: int,
        work: Mapping[ServerLife, ServerWork],
        may_be_in_progress: Callable[[int], bool],
    ) -> None:
        self._may_be_in_progress = may_be_in_progress
        self._idle = idle
        self.now_ms = now_ms
        self._work = work
        self._candidate_by_life: dict[ServerLife, CandidateRunner] = {}
        self._with_room_by_life: dict[ServerLife, CandidateRunner] = {}
        self._cold_loads_by_life: dict[ServerLife, int] = {}
        self._loading_by_name: dict[str, list[SlotOnRunner]] = {}
        self._ready_lives_by_name: dict[str, list[ServerLife]] = {}
        self.idle_slot_count = 0
        self.cold_loads_in_progress = 0
        for runner in idle.runners.values():
            self._index_slots(runner)
            self.idle_slot_count += self._add_runner(runner)

    def refresh(self, runner: RunnerSlots) -> None:
        """Update the entry of a runner that has just been given an order."""
        self._candidate_by_life.pop(runner.life, None)
        self._with_room_by_life.pop(runner.life, None)
        self.cold_loads_in_progress -= self._cold_loads_by_life.pop(runner.life, 0)
        self._add_runner(runner)

    def loading_slots(self, name: str) -> list[SlotOnRunner]:
        """Return where an adapter was being loaded when the plan began."""
        return self._loading_by_name.get(name, [])

    def has_ready(self, ref: AdapterRef) -> bool:
        """Return whether a runner holds this version of an adapter or a newer one."""
        return any(
            self._idle.runners[life].slots[ref.name].ref.version >= ref.version
            for life in self._ready_lives_by_name.get(ref.name, ())
        )

    def candidates_among(self, lives: Iterable[ServerLife]) -> list[CandidateRunner]:
        """Return those of the given runners that accept orders."""
        candidate_by_life = self._candidate_by_life
        return [
            candidate for life in lives if (candidate := candidate_by_life.get(life)) is not None
        ]

    def candidates_for(self, name: str) -> Iterable[CandidateRunner]:
        """Return the runners with room and those that hold any version of an adapter."""
        ready_lives = self._ready_lives_by_name.get(name)
        if not ready_lives:
            return self._with_room_by_life.values()
        return {
            **self._with_room_by_life,
            **{c.runner.life: c for c in self.candidates_among(ready_lives)},
        }.values()

    def _index_slots(self, runner: RunnerSlots) -> None:
        life, ready = runner.life, SlotState.READY
        ready_lives_by_name = self._ready_lives_by_name
        for name, slot in runner.slots.items():
            if slot.state is ready:
                ready_lives = ready_lives_by_name.get(name)
                if ready_lives is None:
                    ready_lives_by_name[name] = [life]
                else:
                    ready_lives.append(life)
            elif slot.state is SlotState.LOADING:
                self._loading_by_name.setdefault(name, []).append((runner, slot))

    def _add_runner(self, runner: RunnerSlots) -> int:
        """Add a runner if it accepts orders; return how many of its slots are free or idle."""
        life = runner.life
        available = runner.available_slots(self.now_ms)
        idle = self._idle.idle_slots_of(runner, self.now_ms, self._work)
        loading_slots = runner.loading_slots()
        if loading_slots:
            cold_loads = self._cold_loads_by_life[life] = sum(
                slot.is_cold and self._may_be_in_progress(self.now_ms - slot.state_since_ms)
                for slot in loading_slots
            )
            self.cold_loads_in_progress += cold_loads
        if len(loading_slots) < MAX_CONCURRENT_LOADS and _accepts_orders(runner):
            work = self._work.get(life, _NO_WORK)
            has_room = available > 0 or bool(idle)
            candidate = CandidateRunner(
                runner, work, has_room, work.pending_prefill_tokens > OVERLOADED_TOKENS
            )
            self._candidate_by_life[life] = candidate
            if has_room:
                self._with_room_by_life[life] = candidate
        return available + len(idle)


def _accepts_orders(runner: RunnerSlots) -> bool:
    return runner.is_known() and not runner.report_due_ms and runner.unconfirmed_order is None
