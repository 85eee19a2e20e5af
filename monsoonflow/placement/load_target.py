"""Chooses the runner that loads an adapter for somebody who waits."""

from __future__ import annotations

import attrs

from ..core.adapter import AdapterRef
from ..helpers.hashing import weight
from .cached_copies import CachedCopies
from .candidate_runners import CandidateRunner, CandidateRunners
from .request_queue import QueuedRequest
from .slots import RunnerSlots, SlotState


@attrs.define(slots=True)
class LoadTargetSelector:
    """Picks among the runners of a cell."""

    cached_copies: CachedCopies

    def select(
        self, waiter: QueuedRequest, ref: AdapterRef, takers: CandidateRunners, cold_allowed: bool
    ) -> RunnerSlots | None:
        """Return where an adapter is loaded best; ``None`` when nothing can be ordered now.

        A runner that held it keeps a copy: a tenth of the time and nothing from the weight store.
        Then comes the adapter's home by hash, so that it is found there again; a crowded runner
        comes after all that are not.

        :param ref: the adapter at the version that is to be loaded.
        :param cold_allowed: whether one more may be fetched from the weight store now.
        """
        warm = self.cached_copies.runners_with(ref)
        found = (
            takers.candidates_for(waiter.adapter_name)
            if cold_allowed
            else takers.candidates_among(warm)
        )
        least: tuple[bool, bool, bool] | None = None
        equals: list[RunnerSlots] = []
        for taker in found:
            if not _takes(taker, waiter, ref):
                continue
            if not waiter.can_prefill_in_time(taker.work, 0, takers.now_ms):
                continue
            runner = taker.runner
            # A replacement waits for the runs on the old version, and new ones wait with it.
            in_use = (
                waiter.adapter_name in runner.slots
                and taker.work.requests_by_adapter.get(waiter.adapter_name, 0) > 0
            )
            rank = (in_use, taker.is_overloaded, runner.life not in warm)
            if least is None or rank < least:
                least, equals = rank, []
            if rank == least:
                equals.append(runner)
        if not equals:
            return None
        best = max(equals, key=lambda runner: weight(waiter.adapter_name, runner.life))
        # An order takes a few milliseconds. Passed over for that, the runner that has a copy would
        # lose the adapter to one that must fetch it: a seventh of all fetches were such.
        return None if best.has_call_in_progress else best


def _takes(taker: CandidateRunner, waiter: QueuedRequest, ref: AdapterRef) -> bool:
    runner = taker.runner
    if (
        runner.life in waiter.excluded_runners
        or runner.model != waiter.adapter_name.partition("/")[0]
    ):
        return False
    own = runner.slots.get(waiter.adapter_name)
    if own is None:
        return taker.has_room
    # Where it is there already, who still waits does so for the runner's queue.
    return own.state is SlotState.READY and own.ref.version < ref.version
