"""Tells whether this node is active: whether other nodes need its word fresh."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock
from ..fleet.view import FleetView
from ..routing.budget import FleetRetryBudget
from ..routing.in_flight import InFlight


class NodeActivity:
    """Whether a node has callers or a part in duties; in a small fleet all count as such.

    :param watches: tells whether the others rely on this node to ask for servers.
    :ivar active: as it was told to the others last.
    :param on_begin: called when a node that had none gets callers: it was told of no servers that
        came meanwhile.
    """

    def __init__(
        self,
        view: FleetView,
        in_flight: InFlight,
        budget: FleetRetryBudget,
        clock: Clock,
        watches_servers: Callable[[], bool],
        on_activated: Callable[[], None],
    ) -> None:
        self._view = view
        self._in_flight = in_flight
        self._budget = budget
        self._clock = clock
        self._watches_servers = watches_servers
        self._on_activated = on_activated
        self.active = False

    def refresh(self) -> bool:
        """Return whether this node is active now."""
        before, self.active = self.active, self._is_active()
        if self.active and not before:
            self._on_activated()
        return self.active

    def _is_active(self) -> bool:
        return (
            self._view.is_small()
            or bool(self._in_flight.work_by_server)
            or self._budget.is_busy(self._clock.now_ms())
            or self._watches_servers()
            or self._view.name in self._view.holder_and_standby_names()
        )
