"""Orders the loads of the whole fleet under the weight store's one rate.

The grant-giver is whichever node all agree on; it holds nothing that must last. Without it, each
node falls back to its share of the rate, so its loss or doubling costs speed and never safety.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.clock import Clock
from ..placement.load_priority import LoadPrioritizer
from ..rpc import control_pb2 as pb

FRESH_MS: Final = 400
HOLD_MS: Final = 3_000


@attrs.frozen(slots=True)
class _Wish:
    process: str
    number: int
    overdue: bool
    score: float
    background: bool
    asked_ms: int

    def urgency(self) -> tuple[bool, float, str]:
        """Return the sort key: overdue first, then the score."""
        return (self.overdue, self.score, self.process)


class GrantGiver:
    """Gives one load at a time to the most urgent wish that was renewed lately."""

    def __init__(self, clock: Clock, loads_per_second: float) -> None:
        self._clock = clock
        self._interval_ms = 1000.0 / loads_per_second
        self._next_ms = 0.0
        self._granted_to: str | None = None
        self._granted_ms = 0
        self._order = LoadPrioritizer()
        self._wishes_by_process: dict[str, list[_Wish]] = {}

    def ask(self, request: pb.GrantRequest) -> int | None:
        """Take wishes, or word of a granted load.

        :returns: the number of the wish that is granted, if one is.
        """
        now_ms = self._clock.now_ms()
        if request.finished or request.holding:
            self._take_word(request, now_ms)
            return None
        self._wishes_by_process[request.process] = [
            _Wish(request.process, number, wish.overdue, wish.score, wish.background, now_ms)
            for number, wish in enumerate(request.wishes)
        ]
        wish = self._first(now_ms) if self._idle(now_ms) else None
        if wish is None or wish.process != request.process:
            return None
        self._order.record_grant(wish)
        del self._wishes_by_process[request.process]
        self._granted_to = request.process
        self._granted_ms = now_ms
        self._next_ms = max(self._next_ms + self._interval_ms, float(now_ms))
        return wish.number

    def _take_word(self, request: pb.GrantRequest, now_ms: int) -> None:
        if self._granted_to != request.process:
            return
        if request.finished:
            self._granted_to = None
        else:
            self._granted_ms = now_ms

    def _idle(self, now_ms: int) -> bool:
        if now_ms < self._next_ms:
            return False
        # A node that was lost with its grant would stop all loads: a holder says now and then that
        # it still loads, and a grant that nobody speaks for ends by itself.
        return self._granted_to is None or now_ms - self._granted_ms > HOLD_MS

    def _first(self, now_ms: int) -> _Wish | None:
        self._wishes_by_process = {
            process: wishes
            for process, wishes in self._wishes_by_process.items()
            if wishes and now_ms - wishes[0].asked_ms <= FRESH_MS
        }
        return self._order.pick(
            wish for wishes in self._wishes_by_process.values() for wish in wishes
        )
