"""Finds out which peers' usage of shared quotas is up to date."""

from __future__ import annotations

from collections.abc import Callable, Collection, Container
from typing import Final

from ..core.clock import Clock
from ..fleet.heartbeat_rounds import SILENT_AFTER_MISSED
from ..fleet.view import FleetView
from ..routing.quota import QuotaPeers

PEERS_REFRESH_MS: Final = 50
"""How often this node checks which peers are up to date: too costly for each request."""

REMEMBER_SILENT_MS: Final = 16_000
"""For how long a silent peer keeps its share, since it may still have callers."""

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

STARTUP_MS: Final = 1_500
"""How long it takes after the start until all peers with callers have sent a heartbeat."""


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


class QuotaPeerTracker:
    """Tells which peers may use the same quotas, and which of them this node hears.

    :param is_active: returns whether this node has announced to its peers that it has callers.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        is_active: Callable[[], bool],
    ) -> None:
        self._view = view
        self._is_active = is_active
        self._active_since_ms: int | None = None
        self._started_ms = clock.now_ms()
        self._peers = QuotaPeers()
        self._peers_ms: int | None = None

    def peers(self, now_ms: int) -> QuotaPeers:
        """Return which peers' usage is up to date."""
        if self._peers_ms is None or now_ms - self._peers_ms >= PEERS_REFRESH_MS:
            self._peers = self._find_peers(now_ms)
            self._peers_ms = now_ms
        return self._peers

    def peers_for(
        self, used_keys: Collection[str], keys: Container[str], now_ms: int
    ) -> QuotaPeers:
        """Return which peers' usage is up to date if some usage counts for a quota.

        Otherwise the result may be outdated. Most heartbeats name no usage, and finding the peers
        for each of them took a tenth of an idle node's processor time.

        :param used_keys: the quotas that a peer has used.
        :param keys: the quotas that exist.
        """
        if any(key in keys for key in used_keys):
            return self.peers(now_ms)
        self._track_activity(now_ms)
        return self._peers

    def active_names(self) -> list[str]:
        """Return the peers that have announced that they have callers."""
        return self._view.active_peer_names()

    def peer_count(self) -> int:
        """Return the number of all peers, with and without callers."""
        return self._view.node_count() - 1

    def _find_peers(self, now_ms: int) -> QuotaPeers:
        view = self._view
        max_age_ms = {is_active: view.max_age_ms(is_active) for is_active in (True, False)}
        received = view.received_heartbeats(now_ms, max(REMEMBER_SILENT_MS, max_age_ms[False]))
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
        self._track_activity(now_ms)
        return (
            self._active_since_ms is None or now_ms - self._active_since_ms < cycle_ms + DELIVERY_MS
        )

    def _track_activity(self, now_ms: int) -> None:
        if not self._is_active():
            self._active_since_ms = None
        elif self._active_since_ms is None:
            self._active_since_ms = now_ms
