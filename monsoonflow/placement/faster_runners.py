"""Weighs the work at the runners of a cell by their pace."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from ..routing.runner_pace import EQUAL_PACE_FACTOR
from .cached_copies import CachedCopies
from .candidate_runners import SlotOnRunner
from .idle_slots import IdleSlots
from .load_times import COLD_LOAD_MS, WARM_LOAD_MS
from .request_queue import QueuedRequest
from .slots import MAX_CONCURRENT_LOADS, RunnerSlots

PACE_STEP: Final = 1.5
"""Load targets whose paces are in the same step count as equal, so that the adapter's hash still
decides among them and later loads find the cached copy."""

PACE_MAX_AGE_MS: Final = 40
"""How long a pace is kept: a plan reads the paces of 30 runners for each of 64 requests."""

MAX_WAIT_MS: Final = 400
"""Longest wait of a request for a load on a faster runner, about one and a half cold loads."""


_NO_WORK: Final = ServerWork()


def equal_pace(_life: ServerLife, _now_ms: int) -> float:
    """Return 1.0: all runners count as equal."""
    return 1.0


@attrs.define(slots=True)
class FasterRunners:
    """Decides whether a request waits for a load on a faster runner.

    :param runners: the runners of the cell.
    :param read_pace: returns the relative pace of a runner; larger is slower.
    """

    runners: Mapping[ServerLife, RunnerSlots]
    idle_slots: IdleSlots
    cached_copies: CachedCopies
    read_pace: Callable[[ServerLife, int], float] = equal_pace
    _pace_by_life: dict[ServerLife, float] = attrs.field(init=False, factory=dict)
    _read_ms: int = attrs.field(init=False, default=0)

    def pace_of(self, life: ServerLife, now_ms: int) -> float:
        """Return the pace of a runner, at most ``PACE_MAX_AGE_MS`` old."""
        if not 0 <= now_ms - self._read_ms < PACE_MAX_AGE_MS:
            self._pace_by_life.clear()
            self._read_ms = now_ms
        pace = self._pace_by_life.get(life)
        if pace is None:
            pace = self._pace_by_life[life] = self.read_pace(life, now_ms)
        return pace

    def stepped_pace_of(self, life: ServerLife, now_ms: int) -> float:
        """Return the pace of a runner, rounded towards 1.0 in steps of ``PACE_STEP``."""
        pace = self.pace_of(life, now_ms)
        return 1.0 if pace == 1.0 else PACE_STEP ** int(math.log(pace, PACE_STEP))

    def should_wait(
        self,
        request: QueuedRequest,
        best: SlotOnRunner,
        queued: Iterable[QueuedRequest],
        work: Mapping[ServerLife, ServerWork],
        now_ms: int,
    ) -> bool:
        """Return whether a request gains from a load on a faster runner than the one with a slot.

        A stream that is being resumed and a returning caller never wait. Any other request does not
        wait if it would be late, if others wait for the same idle slots, or once it has waited for
        as long as it could gain.

        :param best: the slot that could serve the request now.
        :param queued: the requests that wait for a slot.
        """
        life, ref = best[0].life, best[1].ref
        pace = self.pace_of(life, now_ms)
        if pace <= 1.0 or request.tried_ms or request.read_by_ms is None:
            return False
        faster = [
            (other_pace, runner)
            for runner in self.runners.values()
            if (other_pace := self.pace_of(runner.life, now_ms)) * EQUAL_PACE_FACTOR < pace
            and request.may_use(runner)
            and runner.model == best[0].model
            and _accepts_load(runner)
        ]
        if not faster:
            return False
        gain_ms = request.prefill_done_ms(work.get(life, _NO_WORK), 0, 0, pace) - min(
            request.prefill_done_ms(work.get(runner.life, _NO_WORK), 0, 0, other_pace)
            for other_pace, runner in faster
        )
        copies = self.cached_copies.runners_with(ref)
        has_copy = any(runner.life in copies for _, runner in faster)
        load_ms = WARM_LOAD_MS if has_copy else COLD_LOAD_MS
        waited_ms = now_ms - request.first_attempt_ms
        if waited_ms >= MAX_WAIT_MS or waited_ms + load_ms >= gain_ms:
            return False
        if now_ms + load_ms > min(request.on_time_until_ms, request.deadline_ms):
            return False
        waiting = len({other.adapter_name for other in queued} - {request.adapter_name})
        room = sum(
            max(0, runner.available_slots(now_ms))
            + sum(
                slot.draining_level is None
                for slot in self.idle_slots.idle_slots_of(runner, now_ms, work)
            )
            for _, runner in faster
        )
        return room > waiting


def _accepts_load(runner: RunnerSlots) -> bool:
    return (
        runner.is_known()
        and not runner.report_due_ms
        and runner.unconfirmed_order is None
        and runner.loading_count() < MAX_CONCURRENT_LOADS
    )
