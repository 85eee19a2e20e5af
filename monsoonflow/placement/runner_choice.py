"""Chooses the runner that loads an adapter for somebody who waits."""

from __future__ import annotations

import attrs

from ..core.adapter import AdapterRef
from ..helpers.hashing import weight
from .kept_copies import KeptCopies
from .seats import RunnerSeats, SeatState
from .takers import Taker, Takers
from .waiting import Waiter


@attrs.define(slots=True)
class RunnerChoice:
    """Picks among the runners of a cell."""

    kept: KeptCopies

    def best(
        self, waiter: Waiter, ref: AdapterRef, takers: Takers, cold_allowed: bool
    ) -> RunnerSeats | None:
        """Return where an adapter is loaded best; ``None`` when nothing can be ordered now.

        A runner that held it keeps a copy: a tenth of the time and nothing from the weight store.
        Then comes the adapter's home by hash, so that it is found there again; a crowded runner
        comes after all that are not.

        :param ref: the adapter at the version that is to be loaded.
        :param cold_allowed: whether one more may be fetched from the weight store now.
        """
        warm = self.kept.of(ref)
        found = takers.for_adapter(waiter.name) if cold_allowed else takers.of(warm)
        least: tuple[bool, bool, bool] | None = None
        equals: list[RunnerSeats] = []
        for taker in found:
            if not _takes(taker, waiter, ref):
                continue
            if not waiter.read_in_time(taker.work, 0, takers.now_ms):
                continue
            runner = taker.runner
            # A replacement waits for the runs on the old version, and new ones wait with it.
            in_use = (
                waiter.name in runner.seats
                and taker.work.requests_by_adapter.get(waiter.name, 0) > 0
            )
            rank = (in_use, taker.crowded, runner.life not in warm)
            if least is None or rank < least:
                least, equals = rank, []
            if rank == least:
                equals.append(runner)
        if not equals:
            return None
        best = max(equals, key=lambda runner: weight(waiter.name, runner.life))
        # An order takes a few milliseconds. Passed over for that, the runner that has a copy would
        # lose the adapter to one that must fetch it: a seventh of all fetches were such.
        return None if best.ordering else best


def _takes(taker: Taker, waiter: Waiter, ref: AdapterRef) -> bool:
    runner = taker.runner
    if runner.life in waiter.avoid or runner.model != waiter.name.partition("/")[0]:
        return False
    own = runner.seats.get(waiter.name)
    if own is None:
        return taker.room
    # Where it is there already, who still waits does so for the runner's queue.
    return own.state is SeatState.READY and own.ref.version < ref.version
