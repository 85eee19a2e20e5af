"""Partitions a node from all servers; callers, the store and its peers still reach it."""

from __future__ import annotations

from enum import Enum

import gevent

from monsoonflow.transport.client import ConnectionPools, ServerConnection
from monsoonflow.transport.models import Lost


class Cut(Enum):
    """What becomes of a node's connections to servers.

    ``HANG``: open ones and new ones get no answer. ``RESET``: open ones are reset, new ones are
    refused. ``REFUSE_NEW``: open ones live on, new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


class SilentSocket:
    """A socket whose peer no packet reaches."""

    def __init__(self, sock) -> None:
        self._replaced = sock
        self._timeout_s = None
        self._sock = self

    def settimeout(self, timeout_s):
        """Set how long to wait for bytes."""
        self._timeout_s = timeout_s

    def sendall(self, data):
        """Accept bytes, which the kernel keeps."""

    def recv(self, size, flags=0):
        """Wait for bytes that never come."""
        if flags:
            raise BlockingIOError
        gevent.sleep(self._timeout_s)
        raise TimeoutError

    def close(self):
        """Close the connection."""
        self._replaced.close()


class PartitionablePools(ConnectionPools):
    """Connections of one node to servers, which a test can cut."""

    def __init__(self, *arguments, **named) -> None:
        super().__init__(*arguments, **named)
        self.cut = None
        self.connections: list[ServerConnection] = []

    def open(self, address, timeout_ms=500, tls=None):
        """Open a connection, unless there is no path."""
        if self.cut is Cut.HANG:
            gevent.sleep(timeout_ms / 1000)
            return Lost(False, "no connection: TimeoutError")
        if self.cut is not None:
            return Lost(False, "no connection: ConnectionRefusedError", True)
        connection = super().open(address, timeout_ms, tls)
        if isinstance(connection, ServerConnection):
            self.connections.append(connection)
        return connection

    def partition(self, cut: Cut) -> None:
        """Cut all connections."""
        self.cut = cut
        for connection in self.connections:
            if cut is Cut.HANG:
                connection._sock = SilentSocket(connection._sock)
            elif cut is Cut.RESET:
                connection.close()


def _pools_of(node) -> list[PartitionablePools]:
    return [node.daemon.connection_pools, node.daemon.cell_leases._runner_control._pools]


def make_partitionable(monkeypatch) -> None:
    """Let the nodes that start from now on use pools that can be cut."""
    for module in ("monsoonflow.entry.daemon", "monsoonflow.platform.engine"):
        monkeypatch.setattr(f"{module}.ConnectionPools", PartitionablePools)


def partition(node, cut: Cut) -> None:
    """Partition a node from all servers."""
    for pools in _pools_of(node):
        pools.partition(cut)


def heal(node) -> None:
    """End a partition."""
    for pools in _pools_of(node):
        pools.cut = None
