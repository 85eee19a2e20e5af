"""Applies customers' quotas, which this node shares with its peers."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Final

from ..core.clock import Clock
from ..core.tasks import Tasks
from ..fleet.heartbeat_rounds import SILENT_AFTER_MISSED
from ..fleet.models import Heartbeat, QuotaDelta
from ..fleet.view import FleetView
from ..routing.customers import Customer
from ..routing.quota import (
    CustomerUsage,
    FleetQuota,
    OverQuota,
    QuotaPeers,
    UsageAnnouncement,
    WithinQuota,
)
from ..routing.routes import RouteTable

PEERS_REFRESH_MS: Final = 50
"""How often this node checks which peers are up to date: too costly for each request."""

REMEMBER_SILENT_WINDOWS: Final = 2
"""For how many windows a silent peer keeps its share, since it may still have callers."""

DELIVERY_MS: Final = 50
"""Added to the interval of heartbeats: their delay, and the time until they are processed."""

LATE_MS: Final = 100
"""How much later than usual a peer is heard before it counts as late."""

ISOLATED_MS: Final = 300
"""A node that hears none of its peers for this long may be cut off: each of them sends heartbeats,
and no more than a few are lost in a row."""

MAX_LATE_SHARE: Final = 0.25
"""With more late peers than this share, a network partition is likely; single heartbeats get lost
at any time."""

MIN_DELTA_INTERVAL_MS: Final = 20
DELTA_INTERVAL_PER_PEER_MS: Final = 5
"""Limits the datagrams with changed usage that a node sends to 200 a second."""

STARTUP_MS: Final = 1_500
"""How long it takes after the start until all peers with callers have sent a heartbeat."""


def delta_interval_ms(peers: int) -> int:
    """Return how often a node announces changed usage to its peers with callers.

    >>> delta_interval_ms(2), delta_interval_ms(17)
    (20, 85)
    """
    return max(MIN_DELTA_INTERVAL_MS, DELTA_INTERVAL_PER_PEER_MS * peers)


def late_after_ms(cycle_ms: int) -> int:
    """Return after which silence an active peer is late."""
    return cycle_ms + LATE_MS


def late_peers(ages_ms: Collection[tuple[str, int]], cycle_ms: int) -> set[str]:
    """Return the peers that a network partition has probably cut off from this node, if any.

    :param ages_ms: the active peers, each with the time since its last message.
    :param cycle_ms: how often a peer sends a heartbeat.
    """
    ages = [age_ms for _, age_ms in ages_ms]
    if ages and min(ages) > ISOLATED_MS:
        return {name for name, _ in ages_ms}
    late = {name for name, age_ms in ages_ms if age_ms > late_after_ms(cycle_ms)}
    return late if len(late) > MAX_LATE_SHARE * len(ages) else set()


class SharedQuota:
    """The quotas that all nodes share, as far as this node knows their use.

    :param route_table: returns the configuration in force, or ``None`` while there is none.
    :param send_usage: sends usage that has changed to the peers with callers.
    :param is_active: returns whether this node has announced to its peers that it has callers.
    """

    def __init__(
        self,
        quota: FleetQuota,
        view: FleetView,
        clock: Clock,
        route_table: Callable[[], RouteTable | None],
        tasks: Tasks,
        send_usage: Callable[[dict[str, CustomerUsage]], None],
        is_active: Callable[[], bool],
    ) -> None:
        self._quota = quota
        self._view = view
        self._clock = clock
        self._route_table = route_table
        self._tasks = tasks
        self._send_usage = send_usage
        self._is_active = is_active
        self._active_since_ms: int | None = None
        self._is_delta_scheduled = False
        self._started_ms = clock.now_ms()
        self._peers = QuotaPeers()
        self._peers_ms: int | None = None

    def admit(self, customer: Customer, tokens: int) -> WithinQuota | OverQuota | None:
        """Return whether a request is within its customer's quota; ``None`` without a quota.

        :param tokens: of prompt and output together; 0 if the request states none.
        """
        quota = customer.quota
        if quota is None:
            return None
        now_ms = self._clock.now_ms()
        peers = self.peers(now_ms)
        self._schedule_delta(peers)
        return self._quota.admit(customer, quota, quota.cost(tokens), peers, now_ms)

    def give_back(self, customer: Customer, cost: int) -> None:
        """Return the units of a request that no server has run."""
        self._quota.give_back(customer.name, cost, self._clock.now_ms())
        self._schedule_delta(self._peers)

    def _schedule_delta(self, peers: QuotaPeers) -> None:
        """Schedule the announcement of what is admitted, which collects more until then."""
        if not self._is_delta_scheduled and peers.active:
            self._is_delta_scheduled = True
            self._tasks.spawn(self._send_delta, delta_interval_ms(peers.active))

    def _send_delta(self, after_ms: int) -> None:
        self._tasks.sleep(after_ms)
        self._is_delta_scheduled = False
        usage = self._quota.pop_changed_usage(self._clock.now_ms())
        if usage:
            self._send_usage(usage)

    def usage_by_customer(self) -> dict[str, CustomerUsage]:
        """Return what this node announces to its peers."""
        return self._quota.usage_by_customer(self._clock.now_ms())

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the usage that a peer announces."""
        window_ms = self._quota.tolerance.window_ms
        is_older = heartbeat.retry_history.counted_ms >= window_ms
        usage = heartbeat.quota_usage_by_customer
        self._receive(UsageAnnouncement(heartbeat.name, heartbeat.boot, usage, is_older=is_older))

    def handle_delta(self, delta: QuotaDelta) -> None:
        """Apply the usage that has changed at a peer."""
        self._receive(
            UsageAnnouncement(delta.name, delta.boot, delta.usage_by_customer, is_complete=False)
        )

    def _receive(self, announcement: UsageAnnouncement) -> None:
        route_table = self._route_table()
        if route_table is None or not route_table.quota_by_customer:
            return
        now_ms = self._clock.now_ms()
        self._quota.receive(announcement, route_table.quota_by_customer, self.peers(now_ms), now_ms)

    def peers(self, now_ms: int) -> QuotaPeers:
        """Return which peers' usage is up to date."""
        if self._peers_ms is None or now_ms - self._peers_ms >= PEERS_REFRESH_MS:
            self._peers = self._find_peers(now_ms)
            self._peers_ms = now_ms
        return self._peers

    def _find_peers(self, now_ms: int) -> QuotaPeers:
        view = self._view
        max_age_ms = {is_active: view.max_age_ms(is_active) for is_active in (True, False)}
        remember_ms = REMEMBER_SILENT_WINDOWS * self._quota.tolerance.window_ms
        received = view.received_heartbeats(now_ms, max(remember_ms, max_age_ms[False]))
        fresh = {
            one.heartbeat.name
            for one in received
            if one.age_ms <= max_age_ms[one.heartbeat.is_active]
        }
        alive = {heartbeat.name for heartbeat in view.heartbeats(now_ms)}
        silent = {
            one.heartbeat.name
            for one in received
            if one.heartbeat.name not in fresh
            and one.heartbeat.name not in alive
            and not one.heartbeat.is_leaving
            and not view.has_refused(one.heartbeat.name)
        }
        cycle_ms = max_age_ms[True] // SILENT_AFTER_MISSED
        active = [
            one.heartbeat.name
            for one in received
            if one.heartbeat.is_active and one.heartbeat.name in fresh
        ]
        ages = [(name, view.heartbeat_age_ms(name, now_ms) or 0) for name in active]
        late = late_peers(ages, cycle_ms)
        return QuotaPeers(
            frozenset(fresh - late),
            frozenset(silent | late),
            len(active),
            self._count_unknown(alive, now_ms),
            self._is_newcomer(cycle_ms, now_ms),
            cycle_ms + DELIVERY_MS,
            late_after_ms(cycle_ms) + cycle_ms // 2,
        )

    def _count_unknown(self, alive: set[str], now_ms: int) -> int:
        """Return the number of peers that this node has not heard since its start."""
        if now_ms - self._started_ms >= STARTUP_MS:
            return 0
        return len(self._view.record_by_name.keys() - alive - {self._view.name})

    def _is_newcomer(self, cycle_ms: int, now_ms: int) -> bool:
        """Return whether peers may not have announced to this node what they admit.

        They announce it to nodes with callers only.
        """
        if not self._is_active():
            self._active_since_ms = None
            return True
        if self._active_since_ms is None:
            self._active_since_ms = now_ms
        return now_ms - self._active_since_ms < cycle_ms + DELIVERY_MS
