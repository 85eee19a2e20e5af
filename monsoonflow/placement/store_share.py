"""Shares the weight store's load rate among runners and nodes."""

from __future__ import annotations

from ..runner.models import LoadCandidate


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
        self._running = 0

    def set_rate(self, loads_per_second: float) -> None:
        """Change the rate, as nodes come and go."""
        self._interval_ms = 1000.0 / loads_per_second

    def pick(self, candidates: list[LoadCandidate], now_ms: int) -> LoadCandidate | None:
        """Return the load to start now, if one may start: the most urgent of all runners'."""
        if self._running or now_ms < self._next_ms or not candidates:
            return None
        return max(candidates, key=lambda entry: (entry.urgency(), entry.runner_id))

    def started(self, now_ms: int) -> None:
        """Count a load as started."""
        self._running += 1
        self._next_ms = max(self._next_ms + self._interval_ms, float(now_ms))

    def finished(self) -> None:
        """Count a load as ended, well or not."""
        self._running = max(0, self._running - 1)

    def loading(self) -> bool:
        """Tell whether a load is under way."""
        return self._running > 0

    def next_start_ms(self) -> float:
        """Return when the next load may start at the earliest."""
        return self._next_ms
