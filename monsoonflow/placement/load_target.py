"""Selects the runner that loads an adapter for a queued request."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.adapter import AdapterRef
from ..helpers.hashing import weight
from ..routing.in_flight import ServerWork
from .cached_copies import CachedCopies
from .candidate_runners import CandidateRunner, CandidateRunners
from .faster_runners import FasterRunners
from .load_times import COLD_LOAD_MS, WARM_LOAD_MS
from .memory_grants import MemoryGrants
from .request_queue import QueuedRequest
from .slots import RunnerSlots, SlotState

_NO_WORK: Final = ServerWork()


@attrs.define(slots=True)
class LoadTargetSelector:
    """Selects among the runners of a cell."""

    cached_copies: CachedCopies
    memory: MemoryGrants
    faster: FasterRunners

    def select(
        self,
        request: QueuedRequest,
        ref: AdapterRef,
        candidates: CandidateRunners,
        is_cold_allowed: bool,
    ) -> RunnerSlots | None:
        """Return the best runner to load an adapter; ``None`` when no load can be ordered now.

        Runners without requests on an older version of the adapter come first, then those that have
        room for the request in their KV cache, those that are not overloaded, and those with the
        shortest load and first event: runners that keep a cached copy load the adapter in a tenth
        of the time and without the weight store. Among equal runners the adapter's hash decides, so
        that later loads find the copy there.

        A runner without room is only selected while no runner has the adapter. If none of them has
        room, the load goes on while the request waits for room; with the adapter in place, another
        load would not help.

        :param ref: the adapter version to load.
        :param is_cold_allowed: whether one more adapter may be fetched from the weight store now.
        """
        warm_lives = self.cached_copies.runners_with(ref)
        considered = (
            candidates.candidates_for(request.adapter_name)
            if is_cold_allowed
            else candidates.candidates_among(warm_lives)
        )
        first_event_ms = request.prefill_done_ms(_NO_WORK, 0, 0)
        best_rank: tuple[bool, bool, bool, float] | None = None
        best_runners: list[RunnerSlots] = []
        for candidate in considered:
            if not _can_load(candidate, request, ref):
                continue
            runner = candidate.runner
            pace = self.faster.pace_of(runner.life, candidates.now_ms)
            if not request.can_prefill_in_time(candidate.work, 0, candidates.now_ms, pace):
                continue
            # Replacing a version in use waits for its requests to finish, and so do new requests.
            is_in_use = (
                request.adapter_name in runner.slots
                and candidate.work.requests_by_adapter.get(request.adapter_name, 0) > 0
            )
            is_full = not self.memory.has_room(
                request, runner.life, candidate.work, candidates.now_ms
            )
            if is_full and candidates.has_ready(ref):
                continue
            load_ms = WARM_LOAD_MS if runner.life in warm_lives else COLD_LOAD_MS
            stepped_pace = self.faster.stepped_pace_of(runner.life, candidates.now_ms)
            cost_ms = load_ms + first_event_ms * stepped_pace
            rank = (is_in_use, is_full, candidate.is_overloaded, cost_ms)
            if best_rank is None or rank < best_rank:
                best_rank, best_runners = rank, []
            if rank == best_rank:
                best_runners.append(runner)
        if not best_runners:
            return None
        target = max(best_runners, key=lambda runner: weight(request.adapter_name, runner.life))
        # A runner with a call in progress is waited for, since a call takes a few milliseconds.
        # When another runner was chosen instead, it had to fetch an adapter of which the first one
        # had a copy; this caused a seventh of all fetches.
        return None if target.has_call_in_progress else target


def _can_load(candidate: CandidateRunner, request: QueuedRequest, ref: AdapterRef) -> bool:
    runner = candidate.runner
    if not request.may_use(runner) or runner.model != request.adapter_name.partition("/")[0]:
        return False
    slot = runner.slots.get(request.adapter_name)
    if slot is None:
        return candidate.has_room
    # If the required version is already there, the request only waits for the runner's queue.
    return slot.state is SlotState.READY and slot.ref.version < ref.version
