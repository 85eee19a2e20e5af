"""The aggregate of what one node knows of the others."""

from __future__ import annotations

import attrs

from ..ownership.models import LeaseRow


@attrs.define(slots=True)
class Peer:
    """Another node as last heard of.

    :param heard_ms: when its heartbeat or a new lease counter last arrived, on our clock.
    """

    row: LeaseRow
    last_seen_ms: int
    is_leaving: bool = False
    config_version: int = 0


class Membership:
    """Holds the other nodes; liveness is judged by progress, never by a socket's state."""

    def __init__(self, own_row: LeaseRow, silent_after_ms: int) -> None:
        self.own_row = own_row
        self.peer_by_incarnation: dict[str, Peer] = {}
        self._silent_after_ms = silent_after_ms

    def apply_rows(self, rows: list[LeaseRow], now_ms: int) -> None:
        """Take all lease rows as read from the table; rows that are gone end their peers."""
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
        """Take a heartbeat; what it says of leaving is final for that incarnation."""
        peer = self.peer_by_incarnation.get(incarnation)
        if peer is None:
            return
        peer.last_seen_ms = now_ms
        peer.is_leaving = peer.is_leaving or is_leaving
        peer.config_version = max(peer.config_version, config_version)

    def live_peers(self, now_ms: int) -> list[Peer]:
        """Return the peers that were heard of within the bound, leaving ones included."""
        return [
            peer
            for peer in self.peer_by_incarnation.values()
            if now_ms - peer.last_seen_ms <= self._silent_after_ms
        ]

    def serving_peers(self, now_ms: int) -> list[Peer]:
        """Return the peers that take new work."""
        return [peer for peer in self.live_peers(now_ms) if not peer.is_leaving]


class LeavingServers:
    """Collects the ways of learning that a backend server leaves; the first one counts.

    The VM list lags, a server's own answer comes only when it is asked, and a crashed one says
    nothing; each way alone would let new work through for too long.
    """

    def __init__(self, max_failed_checks: int) -> None:
        self._max_failed_checks = max_failed_checks
        self._listed_servers: set[str] = set()
        self._leaving_boot_by_server: dict[str, str] = {}
        self._failed_checks_by_server: dict[str, int] = {}

    def update_vm_list(self, leaving_servers: set[str]) -> None:
        """Take the VM list's leaving servers."""
        self._listed_servers = set(leaving_servers)

    def record_answer(self, server: str, boot_id: str, is_leaving: bool) -> None:
        """Take a server's own answer to a health check.

        A server that comes back under the same address has another boot id and starts afresh.
        """
        self._failed_checks_by_server.pop(server, None)
        if is_leaving:
            self._leaving_boot_by_server[server] = boot_id
        elif self._leaving_boot_by_server.get(server) not in (None, boot_id):
            del self._leaving_boot_by_server[server]

    def record_failed_check(self, server: str) -> None:
        """Count a failed health check."""
        self._failed_checks_by_server[server] = self._failed_checks_by_server.get(server, 0) + 1

    def takes_new_work(self, server: str) -> bool:
        """Tell whether new work may go to a server."""
        return self.leave_reason(server) is None

    def leave_reason(self, server: str) -> str | None:
        """Return why a server gets no new work, or ``None``."""
        if server in self._leaving_boot_by_server:
            return "it says that it leaves"
        if server in self._listed_servers:
            return "the VM list says that it leaves"
        if self._failed_checks_by_server.get(server, 0) >= self._max_failed_checks:
            return "its health checks fail"
        return None
