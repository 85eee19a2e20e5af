"""What a node knows of its peers, and which backend servers are leaving."""

from __future__ import annotations

import attrs

from ..ownership.models import LeaseRow


@attrs.define(slots=True)
class Peer:
    """Another node, as last known.

    :param last_seen_ms: when its heartbeat or a new lease counter last arrived, by this node's
        clock.
    """

    row: LeaseRow
    last_seen_ms: int
    is_leaving: bool = False
    config_version: int = 0


class Membership:
    """The peers of a node.

    Whether a peer is alive depends on its heartbeats and lease renewals, not on connections.

    :param own_row: this node's own lease row.
    :param silent_after_ms: after how long without a sign of activity a peer is not alive.
    """

    def __init__(self, own_row: LeaseRow, silent_after_ms: int) -> None:
        self.own_row = own_row
        self.peer_by_incarnation: dict[str, Peer] = {}
        self._silent_after_ms = silent_after_ms

    def apply_rows(self, rows: list[LeaseRow], now_ms: int) -> None:
        """Apply all lease rows as read from the table; peers without a row are removed."""
        present = {row.incarnation for row in rows}
        for incarnation in set(self.peer_by_incarnation) - present:
            del self.peer_by_incarnation[incarnation]
        for row in rows:
            if row.incarnation == self.own_row.incarnation:
                continue
            peer = self.peer_by_incarnation.get(row.incarnation)
            if peer is None:
                self.peer_by_incarnation[row.incarnation] = Peer(row, now_ms, row.leaving)
            elif row.counter > peer.row.counter:
                peer.row = row
                peer.last_seen_ms = now_ms
                peer.is_leaving = peer.is_leaving or row.leaving

    def record_heartbeat(
        self, incarnation: str, is_leaving: bool, config_version: int, now_ms: int
    ) -> None:
        """Record a heartbeat; an incarnation that was leaving once stays so."""
        peer = self.peer_by_incarnation.get(incarnation)
        if peer is None:
            return
        peer.last_seen_ms = now_ms
        peer.is_leaving = peer.is_leaving or is_leaving
        peer.config_version = max(peer.config_version, config_version)

    def live_peers(self, now_ms: int) -> list[Peer]:
        """Return the peers that were seen recently, including those that are leaving."""
        return [
            peer
            for peer in self.peer_by_incarnation.values()
            if now_ms - peer.last_seen_ms <= self._silent_after_ms
        ]

    def serving_peers(self, now_ms: int) -> list[Peer]:
        """Return the peers that take new work."""
        return [peer for peer in self.live_peers(now_ms) if not peer.is_leaving]


class LeavingServers:
    """Collects the indications that a backend server is leaving; any one of them is enough.

    The VM list is late, a server's own answer comes only with a health check, and a crashed server
    does not answer. With only one of these sources, servers that leave would get new work for too
    long.

    :param max_failed_checks: after how many failed health checks in a row a server gets no new
        work.
    """

    def __init__(self, max_failed_checks: int) -> None:
        self._max_failed_checks = max_failed_checks
        self._listed_servers: set[str] = set()
        self._leaving_boot_by_server: dict[str, str] = {}
        self._failed_checks_by_server: dict[str, int] = {}

    def update_vm_list(self, leaving_servers: set[str]) -> None:
        """Record which servers are leaving according to the VM list."""
        self._listed_servers = set(leaving_servers)

    def record_answer(self, server: str, boot_id: str, is_leaving: bool) -> None:
        """Record a server's answer to a health check.

        A restarted server with the same address has another boot id, and no longer counts as
        leaving.
        """
        self._failed_checks_by_server.pop(server, None)
        if is_leaving:
            self._leaving_boot_by_server[server] = boot_id
        elif self._leaving_boot_by_server.get(server) not in (None, boot_id):
            del self._leaving_boot_by_server[server]

    def record_failed_check(self, server: str) -> None:
        """Record a failed health check."""
        self._failed_checks_by_server[server] = self._failed_checks_by_server.get(server, 0) + 1

    def takes_new_work(self, server: str) -> bool:
        """Return whether new work may be sent to a server."""
        return self.leave_reason(server) is None

    def leave_reason(self, server: str) -> str | None:
        """Return why a server gets no new work, or ``None``."""
        if server in self._leaving_boot_by_server:
            return "the server reports that it is leaving"
        if server in self._listed_servers:
            return "the VM list marks it as leaving"
        if self._failed_checks_by_server.get(server, 0) >= self._max_failed_checks:
            return "its health checks fail"
        return None
