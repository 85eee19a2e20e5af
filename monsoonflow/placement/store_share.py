"""Shares the weight store's load rate among runners and nodes."""

from __future__ import annotations

from ..runner.models import LoadCandidate
from .load_priority import LoadPrioritizer


class StoreShare:
    """Lets loads start at a bounded rate and one at a time.

    The weight store runs at full speed for one load at a time; two at once make both slow. A node
    that has the fleet's grant uses the whole rate, one without falls back to its share of it, so
    losing or doubling the grant-giver costs speed, never safety.

    :param loads_per_second: the rate this share allows.
    """

    def __init__(self, loads_per_second: float) -> None:
        self._interval_ms = 1000.0 / loads_per_second
        self._next_ms = 0.0
        self._order = LoadPrioritizer()

    def set_rate(self, loads_per_second: float) -> None:
        """Change the rate, as nodes come and go."""
        self._interval_ms = 1000.0 / loads_per_second

    def pick(
        self, candidates: list[LoadCandidate], loads_in_progress: int, now_ms: int
    ) -> LoadCandidate | None:
        """Return the load to start now, if one may start: the most urgent of all runners'.

        :param under_way: how many loads are going on. Counted anew from the slots each time: a
            counter of its own once stayed raised when a runner changed hands between an unload and
            the load after it, and no load ever started again.
        """
        if loads_in_progress or now_ms < self._next_ms or not candidates:
            return None
        return self._order.pick(candidates)

    def record_start(self, load: LoadCandidate, now_ms: int) -> None:
        """Note the start of a load."""
        self._order.record_grant(load)
        self._next_ms = max(self._next_ms + self._interval_ms, float(now_ms))
