"""Keeps the list of backend servers; a server that leaves gets no new work."""

from __future__ import annotations

import logging
from typing import Final

from ..logs import events, log
from .models import BackendServer

_LOGGER = logging.getLogger(__name__)
MISSING_GRACE_MS: Final = 2_500
"""How long after an outage of the store a server whose entry is missing stays in use: entries of
living servers are back within two seconds; without the wait the end of an outage would leave no
server at all."""

REMEMBER_GONE_MS: Final = 60_000
"""How long the name of a server that left is kept, so that an old list can't bring it back."""


class ServerBook:
    """The backend servers by id, and which of them take new work."""

    def __init__(self) -> None:
        self.by_id: dict[str, BackendServer] = {}
        self._doubtful_until_by_id: dict[str, int] = {}
        self._left_at_by_id: dict[str, int] = {}
        self._grace_until_ms = 0
        self.version = 0

    def put(self, server: BackendServer, now_ms: int) -> None:
        """Take a server's entry as the store holds it now."""
        known = self.by_id.get(server.server_id)
        self._doubtful_until_by_id.pop(server.server_id, None)
        if known == server:
            return
        self.by_id[server.server_id] = server
        self.version += 1
        if server.leaving:
            self.left(server.server_id, now_ms, "said so")
        elif known is None:
            log(
                _LOGGER,
                events.ServerCame(
                    server=server.server_id, service=server.service, address=server.address
                ),
            )

    def removed(self, server_id: str, now_ms: int) -> None:
        """Take the word that a server's entry is gone."""
        if server_id not in self.by_id:
            return
        if now_ms < self._grace_until_ms:
            self._doubtful_until_by_id.setdefault(server_id, self._grace_until_ms)
            return
        self._drop(server_id, now_ms, "entry removed")

    def replace_all(self, servers: list[BackendServer], now_ms: int) -> None:
        """Take a whole list; what is missing in it is gone."""
        present = {server.server_id for server in servers}
        for server in servers:
            self.put(server, now_ms)
        for server_id in [known for known in self.by_id if known not in present]:
            self.removed(server_id, now_ms)

    def store_returned(self, now_ms: int) -> None:
        """Note the end of an outage: entries may be missing for a moment."""
        self._grace_until_ms = now_ms + MISSING_GRACE_MS

    def left(self, server_id: str, now_ms: int, cause: str) -> None:
        """Take the word, from whomever, that a server takes no new work."""
        if server_id not in self._left_at_by_id:
            self._left_at_by_id[server_id] = now_ms
            self.version += 1
            log(_LOGGER, events.ServerLeaves(server=server_id, cause=cause))

    def settle(self, now_ms: int) -> list[str]:
        """Drop what stayed missing; return the ids that are gone."""
        gone = [
            server_id for server_id, until in self._doubtful_until_by_id.items() if now_ms >= until
        ]
        for server_id in gone:
            self._drop(server_id, now_ms, "entry still missing")
        for server_id, at_ms in list(self._left_at_by_id.items()):
            if now_ms - at_ms > REMEMBER_GONE_MS and server_id not in self.by_id:
                del self._left_at_by_id[server_id]
        return gone

    def takes_work(self, server_id: str) -> bool:
        """Tell whether a server may get new requests."""
        return server_id in self.by_id and server_id not in self._left_at_by_id

    def of_service(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that take new work."""
        return [
            server
            for server in self.by_id.values()
            if server.service == service and server.server_id not in self._left_at_by_id
        ]

    def recently_left(self, now_ms: int, within_ms: int) -> list[str]:
        """Return who left lately, for other nodes."""
        return [
            server_id
            for server_id, at_ms in self._left_at_by_id.items()
            if now_ms - at_ms <= within_ms
        ]

    def _drop(self, server_id: str, now_ms: int, cause: str) -> None:
        self._doubtful_until_by_id.pop(server_id, None)
        self.left(server_id, now_ms, cause)
        self.by_id.pop(server_id, None)
        self.version += 1
