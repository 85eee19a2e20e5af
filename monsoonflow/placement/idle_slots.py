"""Finds the slots that no request uses, and the least valuable of them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from .slots import RunnerSlots, Slot, SlotState
from .usage_scores import UsageScores

USE_REPORT_DELAY_MS: Final = 100
"""A request that started this recently may not be reported yet: nodes notify the lease holder
within 20 ms when they start or stop using an adapter. If one is missed all the same, the runner
refuses the request, which is then retried."""

_NO_REQUESTS: Final[Mapping[str, int]] = {}


@attrs.define(slots=True)
class IdleSlots:
    """The slots of a cell's runners that could be given to other adapters.

    :param newest_by_adapter: newest version by adapter, for adapters with one set by the operator.
    """

    runners: Mapping[ServerLife, RunnerSlots]
    usage_scores: UsageScores
    newest_by_adapter: Mapping[str, int]

    def least_valuable(
        self, runner: RunnerSlots, now_ms: int, work: Mapping[ServerLife, ServerWork]
    ) -> Slot | None:
        """Return the least valuable idle slot of a runner; those that drain come first."""
        idle = self.idle_slots_of(runner, now_ms, work)
        return min(
            idle,
            key=lambda slot: (slot.draining_level is None, self.value_of(slot, now_ms)),
            default=None,
        )

    def has_room(
        self, runner: RunnerSlots, now_ms: int, work: Mapping[ServerLife, ServerWork]
    ) -> bool:
        """Tell whether a runner has a free slot or an idle one."""
        return runner.available_slots(now_ms) > 0 or bool(self.idle_slots_of(runner, now_ms, work))

    def count(self, now_ms: int, work: Mapping[ServerLife, ServerWork]) -> int:
        """Return the number of free and idle slots of all runners."""
        runners = self.runners.values()
        return sum(
            r.available_slots(now_ms) + len(self.idle_slots_of(r, now_ms, work)) for r in runners
        )

    def value_of(self, slot: Slot, now_ms: int) -> float:
        """Return the value of a slot: its adapter's usage score per replica, 0 if outdated."""
        name = slot.ref.name
        if slot.ref.version < self.newest_by_adapter.get(name, 1):
            return 0.0
        replicas = sum(runner.ready_slot(name) is not None for runner in self.runners.values())
        return self.usage_scores.score_of(name, now_ms) / max(1, replicas)

    def idle_slots_of(
        self, runner: RunnerSlots, now_ms: int, work: Mapping[ServerLife, ServerWork]
    ) -> list[Slot]:
        """Return the idle slots of a runner: ready, not granted, and without requests in progress.

        A slot that was used within ``USE_REPORT_DELAY_MS`` is not idle, since a use of it may not
        be reported yet.
        """
        runner_work = work.get(runner.life)
        requests = runner_work.requests_by_adapter if runner_work is not None else _NO_REQUESTS
        reported_ms = now_ms - USE_REPORT_DELAY_MS
        ready = SlotState.READY
        return [
            slot
            for name, slot in runner.slots.items()
            if slot.last_used_ms <= reported_ms
            and slot.state is ready
            and slot.granted_until_ms <= now_ms
            and not requests.get(name)
        ]
