"""Limits the rate at which a node loads adapters from the weight store."""

from __future__ import annotations

from ..runner.models import LoadCandidate
from .load_priority import LoadPrioritizer


class StoreShare:
    """Starts loads one at a time and at a limited rate.

    The weight store runs at full speed for one load at a time; two concurrent loads slow each other
    down. A node that holds the fleet's load grant uses the whole rate, and a node without it falls
    back to its share of the rate. Without a node that gives grants, or with two of them, loads are
    slower but still safe.

    :param loads_per_second: the rate that this share allows.
    """

    def __init__(self, loads_per_second: float) -> None:
        self._interval_ms = 1000.0 / loads_per_second
        self._next_start_ms = 0.0
        self._prioritizer = LoadPrioritizer()

    def set_rate(self, loads_per_second: float) -> None:
        """Change the rate, when nodes are added or removed."""
        self._interval_ms = 1000.0 / loads_per_second

    def pick(
        self, candidates: list[LoadCandidate], loads_in_progress: int, now_ms: int
    ) -> LoadCandidate | None:
        """Return the most urgent load of all runners, or ``None`` if none may start now.

        :param loads_in_progress: number of loads in progress, counted from the slots at each call.
            A separate counter stayed too high when a runner changed its owner between an unload and
            the load after it, and no load ever started again.
        """
        if loads_in_progress or now_ms < self._next_start_ms or not candidates:
            return None
        return self._prioritizer.pick(candidates)

    def record_start(self, load: LoadCandidate, now_ms: int) -> None:
        """Record that a load was started."""
        self._prioritizer.record_grant(load)
        self._next_start_ms = max(self._next_start_ms + self._interval_ms, float(now_ms))
