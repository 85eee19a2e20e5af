"""Applies customers' quotas, which this node shares with its peers."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock
from ..fleet.models import Heartbeat, UsageDelta
from ..routing.customers import Customer
from ..routing.quota import FleetQuota, OverQuota, QuotaUsage, UsageAnnouncement, WithinQuota
from ..routing.routes import RouteTable
from .quota_peers import QuotaPeerTracker
from .usage_announcer import UsageAnnouncer


class SharedQuota:
    """The quotas that all nodes share, as far as this node knows their use.

    :param route_table: returns the configuration in force, or ``None`` while there is none.
    """

    def __init__(
        self,
        quota: FleetQuota,
        peer_tracker: QuotaPeerTracker,
        announcer: UsageAnnouncer,
        clock: Clock,
        route_table: Callable[[], RouteTable | None],
    ) -> None:
        self._quota = quota
        self._peer_tracker = peer_tracker
        self._announcer = announcer
        self._clock = clock
        self._route_table = route_table

    def admit(self, customer: Customer, tokens: int) -> WithinQuota | OverQuota | None:
        """Return whether a request is within its customer's quota; ``None`` without a quota.

        :param tokens: of prompt and output together; 0 if the request states none.
        """
        quota = customer.quota
        if quota is None:
            return None
        now_ms = self._clock.now_ms()
        peers = self._peer_tracker.peers(now_ms)
        self._announcer.schedule(peers.active)
        return self._quota.admit(customer.name, quota, quota.cost(tokens), peers, now_ms)

    def give_back(self, customer: Customer, cost: int) -> None:
        """Return the units of a request that no server has run."""
        now_ms = self._clock.now_ms()
        self._quota.give_back(customer.name, cost, now_ms)
        self._announcer.schedule(self._peer_tracker.peers(now_ms).active)

    def pop_changed_usage(self) -> dict[str, QuotaUsage]:
        """Return the usage by customer that has changed since the last call."""
        return self._quota.pop_changed_usage(self._clock.now_ms())

    def usage_by_customer(self) -> dict[str, QuotaUsage]:
        """Return what this node announces to its peers."""
        return self._quota.usage_by_key(self._clock.now_ms())

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the usage that a peer announces."""
        window_ms = self._quota.tolerance.window_ms
        is_older = heartbeat.retry_history.counted_ms >= window_ms
        usage = heartbeat.quota_usage_by_customer
        self._receive(UsageAnnouncement(heartbeat.name, heartbeat.boot, usage, is_older=is_older))

    def handle_delta(self, delta: UsageDelta) -> None:
        """Apply the usage that has changed at a peer."""
        self._receive(
            UsageAnnouncement(delta.name, delta.boot, delta.usage_by_customer, is_complete=False)
        )

    def _receive(self, announcement: UsageAnnouncement) -> None:
        route_table = self._route_table()
        if route_table is None or not route_table.quota_by_customer:
            return
        now_ms = self._clock.now_ms()
        quotas = route_table.quota_by_customer
        peers = self._peer_tracker.peers_for(announcement.usage_by_key, quotas, now_ms)
        self._quota.receive(announcement, quotas, peers, now_ms)
