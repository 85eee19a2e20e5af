"""Bounds how many connections callers may have open, and chooses which of them to close."""

from __future__ import annotations

import resource
from collections.abc import Iterator
from enum import Enum, auto
from typing import Final, Protocol

CONNECTION_BYTES: Final = 12_288
"""What an idle connection takes: its task, reader, parser and socket."""

CONNECTIONS_SHARE: Final = 1 / 8
"""Share of the memory for the connections of callers."""

CALLERS_SHARE: Final = 1 / 2
"""Share of the sockets for callers: each of their requests may need another one for a
connection to a server, and the node needs some for peers and the store."""

PEERS_SHARE: Final = 1 / 8
"""Share of the sockets for connections of peers, which callers must not take."""

FILE_DESCRIPTORS: Final = 200
"""Descriptors that are left for what is no socket."""

CONTROL_SHARE: Final = 1 / 16
"""Share of the sockets for the listeners that answer without a server: readiness, addresses and
metrics. They must answer while all connections of callers wait for servers."""

MIN_CONNECTIONS: Final = 16
"""Connections that each group of listeners may have, however few sockets there are."""

GRACE_MS: Final = 1_000
"""How long a new connection has for its first bytes before others are preferred to it. A caller
that connects sends its request within a round trip."""


class Phase(Enum):
    """What a connection does."""

    NEW = auto()
    IDLE = auto()
    RECEIVING = auto()
    SERVING = auto()
    CLOSING = auto()


class LimitedConnection(Protocol):
    """A connection that can be closed to make room for another one."""

    def end_for_room(self) -> None:
        """Close the connection soon, with an answer if a request has begun."""


class ConnectionLimit:
    """The connections of callers to one or several listeners.

    Whoever connects is accepted as long as another connection can be closed instead. Callers that
    send nothing, or never the end of their request, keep nobody out. A connection whose request is
    being served is never closed.

    :param max_connections: how many may be open.

    >>> class Connection:
    ...     def end_for_room(self): print("closed")
    >>> limit, idle, serving = ConnectionLimit(2), Connection(), Connection()
    >>> limit.admit(idle, 0), limit.admit(serving, 0)
    (True, True)
    >>> limit.move(idle, Phase.IDLE, 5); limit.move(serving, Phase.SERVING, 5)
    >>> limit.admit(Connection(), 10)
    closed
    True
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._since_ms_by_phase: dict[Phase, dict[LimitedConnection, int]] = {
            phase: {} for phase in Phase
        }
        self._phase_by_connection: dict[LimitedConnection, Phase] = {}
        self.closed_count = 0
        self.refused_count = 0

    def __len__(self) -> int:
        return len(self._phase_by_connection)

    def admit(self, connection: LimitedConnection, now_ms: int) -> bool:
        """Count a new connection, and close another one for it if needed.

        :returns: whether it may be served.
        """
        if len(self) >= self.max_connections and not self._make_room(now_ms):
            self.refused_count += 1
            return False
        self._enter(connection, Phase.NEW, now_ms)
        return True

    def move(self, connection: LimitedConnection, phase: Phase, now_ms: int) -> None:
        """Record what a connection does from now on; does nothing for one that was closed."""
        if self._phase_by_connection.get(connection, phase) is not phase:
            self.remove(connection)
            self._enter(connection, phase, now_ms)

    def remove(self, connection: LimitedConnection) -> None:
        """Count a connection no longer."""
        phase = self._phase_by_connection.pop(connection, None)
        if phase is not None:
            del self._since_ms_by_phase[phase][connection]

    def _enter(self, connection: LimitedConnection, phase: Phase, now_ms: int) -> None:
        self._phase_by_connection[connection] = phase
        self._since_ms_by_phase[phase][connection] = now_ms

    def _make_room(self, now_ms: int) -> bool:
        for connection in self._candidates(now_ms):
            self.remove(connection)
            self.closed_count += 1
            connection.end_for_room()
            return True
        return False

    def _candidates(self, now_ms: int) -> Iterator[LimitedConnection]:
        """Return connections to close, first those whose end costs ordinary callers the least."""
        before_ms = now_ms - GRACE_MS
        yield from self._oldest(Phase.CLOSING, now_ms)
        yield from self._oldest(Phase.NEW, before_ms)
        yield from self._oldest(Phase.IDLE, now_ms)
        yield from self._oldest(Phase.RECEIVING, before_ms)
        yield from self._oldest(Phase.NEW, now_ms)
        yield from self._oldest(Phase.RECEIVING, now_ms)

    def _oldest(self, phase: Phase, until_ms: int) -> Iterator[LimitedConnection]:
        for connection, since_ms in self._since_ms_by_phase[phase].items():
            if since_ms <= until_ms:
                yield connection
            return


def default_max_sockets() -> int:
    """Return how many sockets a process may have open that is told no limit."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, descriptors - FILE_DESCRIPTORS)


def callers_limit(memory_bytes: int, max_sockets: int) -> int:
    """Return how many connections callers may have to a process.

    :param max_sockets: how many sockets the process may have open.

    >>> callers_limit(300 << 20, 3_900), callers_limit(160 << 20, 1 << 20)
    (1950, 1706)
    """
    by_memory = int(CONNECTIONS_SHARE * memory_bytes / CONNECTION_BYTES)
    return max(MIN_CONNECTIONS, min(by_memory, int(CALLERS_SHARE * max_sockets)))


def peers_limit(max_sockets: int) -> int:
    """Return how many connections peers may have to a process."""
    return max(MIN_CONNECTIONS, int(PEERS_SHARE * max_sockets))


def control_limit(max_sockets: int) -> int:
    """Return how many connections there may be to listeners that answer without a server."""
    return max(MIN_CONNECTIONS, int(CONTROL_SHARE * max_sockets))
