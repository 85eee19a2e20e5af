"""Chooses the runner that loads an adapter for somebody who waits."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..helpers.hashing import weight
from ..routing.in_flight import ServerWork
from .idle import IdlePlaces
from .seats import MAX_INCOMING, RunnerSeats, SeatState
from .waiting import Waiter

CROWDED_TOKENS: Final = 6_000
"""Unread prompt tokens at a runner beyond which others are preferred: some 300 ms of reading."""

_NO_WORK: Final = ServerWork()


@attrs.define(slots=True)
class RunnerChoice:
    """Picks among the runners of a cell."""

    runners: Mapping[ServerLife, RunnerSeats]
    idle: IdlePlaces

    def best(
        self,
        waiter: Waiter,
        ref: AdapterRef,
        now_ms: int,
        work: Mapping[ServerLife, ServerWork],
        cold_allowed: bool,
    ) -> RunnerSeats | None:
        """Return where an adapter is loaded best; ``None`` when nothing can be ordered now.

        A runner that held it keeps a copy: a tenth of the time and nothing from the weight store.
        Then comes the adapter's home by hash, so that it is found there again; a crowded runner
        comes after all that are not.

        :param ref: the adapter at the version that is to be loaded.
        :param cold_allowed: whether one more may be fetched from the weight store now.
        """
        choices = []
        for runner in self.runners.values():
            warm = ref in runner.remembered
            if not warm and not cold_allowed:
                continue
            if not self._takes(runner, waiter, ref):
                continue
            at = work.get(runner.life, _NO_WORK)
            if not waiter.read_in_time(at, 0, now_ms):
                continue
            own = runner.seats.get(waiter.name)
            if own is None and not self.idle.has_room(runner, now_ms, work):
                continue
            # A replacement waits for the runs on the old version, and new ones wait with it.
            in_use = own is not None and bool(at.by_adapter.get(waiter.name))
            crowded = at.unread_tokens > CROWDED_TOKENS
            home = -weight(waiter.name, runner.life)
            choices.append((in_use, crowded, not warm, home, runner))
        if not choices:
            return None
        best = min(choices, key=lambda choice: choice[:4])[4]
        # An order takes a few milliseconds. Passed over for that, the runner that has a copy would
        # lose the adapter to one that must fetch it: a seventh of all fetches were such.
        return None if best.ordering else best

    @staticmethod
    def _takes(runner: RunnerSeats, waiter: Waiter, ref: AdapterRef) -> bool:
        if runner.life in waiter.avoid or not runner.known() or runner.report_at_ms:
            return False
        if runner.model != waiter.name.partition("/")[0]:
            return False
        if runner.doubtful is not None or runner.incoming() >= MAX_INCOMING:
            return False
        own = runner.seats.get(waiter.name)
        # Where it is there already, who still waits does so for the runner's queue.
        return own is None or (own.state is SeatState.READY and own.ref.version < ref.version)
