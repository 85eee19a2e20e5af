"""Tests of the bound on open connections, and of which connection is closed for another one."""

from __future__ import annotations

import attrs
import gevent
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.connection_limit import GRACE_MS, ConnectionLimit, Phase
from monsoonflow.transport.models import MessageLimits
from monsoonflow.transport.server import HttpServer
from script.ports import free_port
from tests.transport.conftest import RunningServer

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
CLOSE_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
MAX_CONNECTIONS = 4


@attrs.define(eq=False)
class RecordedConnection:
    """A connection that records whether it was closed."""

    closed: bool = False

    def end_for_room(self) -> None:
        """Record it."""
        self.closed = True


OLD_MS = 0
NOW_MS = 10 * GRACE_MS


@pytest.mark.parametrize(
    ("others", "closed"),
    [
        # Each: what the connections do and since when, in the order in which they began it.
        ([(Phase.SERVING, OLD_MS), (Phase.IDLE, 1), (Phase.NEW, 2), (Phase.CLOSING, 3)], 3),
        ([(Phase.RECEIVING, OLD_MS), (Phase.IDLE, 1), (Phase.NEW, 2)], 2),
        ([(Phase.RECEIVING, OLD_MS), (Phase.IDLE, 1), (Phase.IDLE, 2), (Phase.NEW, NOW_MS)], 1),
        ([(Phase.RECEIVING, OLD_MS), (Phase.RECEIVING, 1), (Phase.NEW, NOW_MS)], 0),
        ([(Phase.RECEIVING, NOW_MS), (Phase.NEW, NOW_MS), (Phase.NEW, NOW_MS)], 1),
        ([(Phase.SERVING, OLD_MS), (Phase.RECEIVING, NOW_MS)], 1),
    ],
)
def test_the_connection_whose_end_costs_ordinary_callers_the_least_is_closed(others, closed):
    """Idle callers took all descriptors, and ordinary ones waited for a timeout of others."""
    limit = ConnectionLimit(len(others))
    connections = [RecordedConnection() for _ in others]
    for connection, (phase, since_ms) in zip(connections, others, strict=True):
        assert limit.admit(connection, since_ms)
        limit.move(connection, phase, since_ms)
    assert limit.admit(RecordedConnection(), NOW_MS)
    assert [connection.closed for connection in connections] == [
        number == closed for number in range(len(others))
    ]
    assert len(limit) == len(others)


def test_connections_with_requests_at_servers_are_not_closed():
    limit = ConnectionLimit(1)
    connection = RecordedConnection()
    assert limit.admit(connection, OLD_MS)
    limit.move(connection, Phase.SERVING, OLD_MS)
    assert not limit.admit(RecordedConnection(), NOW_MS)
    assert not connection.closed
    limit.remove(connection)
    assert limit.admit(RecordedConnection(), NOW_MS)


@pytest.fixture
def limited():
    """Return a server that accepts few connections."""
    port = free_port()
    server = HttpServer(
        f"127.0.0.1:{port}",
        lambda _request, reply: reply.send_whole(200, [], b"ok"),
        MessageLimits,
        MonotonicClock(),
        connections=ConnectionLimit(MAX_CONNECTIONS),
    )
    assert server.start()
    with gevent.Timeout(20):
        yield RunningServer(server, port, [])
    server.stop_listening()


@pytest.mark.parametrize(
    ("sent", "answer"),
    [(b"", b""), (REQUEST, b"HTTP/1.1 200"), (REQUEST[:-4], b"HTTP/1.1 503")],
)
def test_callers_are_served_beside_a_crowd_that_keeps_its_connections(limited, sent, answer):
    """Callers that send nothing, are idle or never end their request took every connection."""
    crowd = []
    for _ in range(5 * MAX_CONNECTIONS):
        crowd.append(limited.connect())
        crowd[-1].sendall(sent)
        gevent.sleep(0.01)
    for _ in range(3):
        assert limited.exchange(CLOSE_REQUEST).startswith(b"HTTP/1.1 200")
    assert len(limited.server.connections) <= MAX_CONNECTIONS
    # The first one was closed; where a request had begun, with an answer that names a status.
    first = b""
    while piece := crowd[0].recv(1_000):
        first += piece
    assert first.startswith(answer)
