"""Orders the loads of the whole fleet under the weight store's one rate.

The grant-giver is whichever node all agree on; it holds nothing that must last. Without it, each
node falls back to its share of the rate, so its loss or doubling costs speed and never safety.
"""

from __future__ import annotations

import attrs

from ..core.clock import Clock
from ..rpc import control_pb2 as pb

FRESH_MS = 400
HOLD_MS = 3_000


@attrs.frozen(slots=True)
class _Wish:
    urgency: tuple[bool, float]
    asked_ms: int


class GrantGiver:
    """Gives one load at a time to the most urgent wish that was renewed lately."""

    def __init__(self, clock: Clock, loads_per_second: float) -> None:
        self._clock = clock
        self._interval_ms = 1000.0 / loads_per_second
        self._next_ms = 0.0
        self._granted_to: str | None = None
        self._granted_ms = 0
        self._wish_by_incarnation: dict[str, _Wish] = {}

    def ask(self, request: pb.GrantRequest) -> bool:
        """Take a wish, or the end of a granted load; return whether the load may start."""
        now_ms = self._clock.now_ms()
        if request.finished:
            if self._granted_to == request.incarnation:
                self._granted_to = None
            return False
        if request.holding:
            if self._granted_to == request.incarnation:
                self._granted_ms = now_ms
            return False
        wish = _Wish((request.overdue, request.score), now_ms)
        self._wish_by_incarnation[request.incarnation] = wish
        if not self._idle(now_ms) or not self._first(request.incarnation, now_ms):
            return False
        del self._wish_by_incarnation[request.incarnation]
        self._granted_to = request.incarnation
        self._granted_ms = now_ms
        self._next_ms = max(self._next_ms + self._interval_ms, float(now_ms))
        return True

    def _idle(self, now_ms: int) -> bool:
        if now_ms < self._next_ms:
            return False
        # A node that was lost with its grant would stop all loads: a holder says now and then that
        # it still loads, and a grant that nobody speaks for ends by itself.
        return self._granted_to is None or now_ms - self._granted_ms > HOLD_MS

    def _first(self, incarnation: str, now_ms: int) -> bool:
        fresh = {
            name: wish
            for name, wish in self._wish_by_incarnation.items()
            if now_ms - wish.asked_ms <= FRESH_MS
        }
        self._wish_by_incarnation = fresh
        first = max(fresh, key=lambda name: (fresh[name].urgency, name))
        return first == incarnation
