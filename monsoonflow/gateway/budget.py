"""Counts requests and retries together with the other nodes."""

from __future__ import annotations

from ..core.clock import Clock
from ..fleet.view import FleetView
from ..routing.budget import FleetRetryBudget, Headroom


class SharedRetries:
    """The retry budget of all nodes, as this one knows it."""

    def __init__(self, budget: FleetRetryBudget, view: FleetView, clock: Clock) -> None:
        self._budget = budget
        self._view = view
        self._clock = clock

    def first(self, service: str) -> None:
        """Count a request for a service."""
        self._budget.first(service, self._clock.now_ms())

    def may_retry(self, service: str) -> Headroom:
        """Return whether the budget allows one more arrival, and count it if so."""
        now_ms = self._clock.now_ms()
        others = self._view.spent(service, now_ms)
        view = self._view
        headroom = self._budget.headroom(service, others, view.nodes(), now_ms, view.idle())
        if headroom.allowed:
            self._budget.retried(service, now_ms)
        return headroom
