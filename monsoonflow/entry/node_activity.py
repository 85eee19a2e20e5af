"""Determines whether this node is active: whether its peers need fresh heartbeats from it."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock
from ..fleet.view import FleetView
from ..routing.budget import FleetRetryBudget
from ..routing.in_flight import InFlight


class NodeActivity:
    """Tracks whether a node has callers or a role in cell leases; in a small fleet all are active.

    A node that knows of a server with a limit is active as well. Others are not told what their
    peers send, and each of them would use the whole limit with a few requests.

    :param watches_servers: returns whether the peers rely on this node to ask the store for
        servers.
    :param knows_limits: returns whether this node knows of a server with a limit.
    :param on_activated: called when an idle node becomes active: while it was idle, it was not sent
        the servers that were added.
    :ivar active: the state that was last sent to the peers.
    """

    def __init__(
        self,
        view: FleetView,
        in_flight: InFlight,
        budget: FleetRetryBudget,
        clock: Clock,
        watches_servers: Callable[[], bool],
        knows_limits: Callable[[], bool],
        on_activated: Callable[[], None],
    ) -> None:
        self._view = view
        self._in_flight = in_flight
        self._budget = budget
        self._clock = clock
        self._watches_servers = watches_servers
        self._knows_limits = knows_limits
        self._on_activated = on_activated
        self.active = False

    def refresh(self) -> bool:
        """Update and return whether this node is active."""
        was_active, self.active = self.active, self._is_active()
        if self.active and not was_active:
            self._on_activated()
        return self.active

    def _is_active(self) -> bool:
        return (
            self._view.is_small()
            or bool(self._in_flight.work_by_server)
            or self._budget.is_busy(self._clock.now_ms())
            or self._watches_servers()
            or self._knows_limits()
            or self._view.name in self._view.holder_and_standby_names()
        )
