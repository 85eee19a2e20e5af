"""Counts requests and retries together with the other nodes."""

from __future__ import annotations

from ..core.clock import Clock
from ..fleet.view import FleetView
from ..routing.budget import FleetRetryBudget


class SharedRetries:
    """The retry budget of all nodes, as this one knows it."""

    def __init__(self, budget: FleetRetryBudget, view: FleetView, clock: Clock) -> None:
        self._budget = budget
        self._view = view
        self._clock = clock

    def first(self, service: str) -> None:
        """Count a request for a service."""
        self._budget.first(service, self._clock.now_ms())

    def may_retry(self, service: str) -> bool:
        """Tell whether the budget allows one more arrival, and count it."""
        now_ms = self._clock.now_ms()
        others = self._view.spent(service, now_ms)
        if not self._budget.allows(service, others, self._view.nodes(), now_ms, self._view.idle()):
            return False
        self._budget.retried(service, now_ms)
        return True
