"""TLS handshakes that never end."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket, ssl

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.models import MessageLimits
from monsoonflow.transport.server import HttpServer
from script.ports import free_port
from tests.processes.test_tls import Authority

HEAD_MS = 400
HELLO_START = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path)


@pytest.fixture
def tls_port(authority):
    """Return the port of a server that speaks TLS."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(*authority.issue("s"))
    port = free_port()
    server = HttpServer(
        f"127.0.0.1:{port}",
        lambda _request, reply: reply.send_whole(200, [], b"ok"),
        lambda: MessageLimits(head_ms=HEAD_MS),
        MonotonicClock(),
        context,
    )
    assert server.start()
    with gevent.Timeout(20):
        yield port
    server.stop_listening()


@pytest.mark.parametrize("sent", [b"", HELLO_START])
def test_a_handshake_that_does_not_go_on_is_given_up(tls_port, sent):
    """A caller that never ended its handshake kept its connection for ever."""
    with socket.create_connection(("127.0.0.1", tls_port), timeout=5) as connection:
        connection.sendall(sent)
        assert connection.recv(1) == b""


def test_requests_over_tls_are_served_beside_handshakes_that_do_not_go_on(tls_port, authority):
    crowd = [socket.create_connection(("127.0.0.1", tls_port)) for _ in range(20)]
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(str(authority.path))
    with socket.create_connection(("127.0.0.1", tls_port), timeout=5) as plain:
        connection = context.wrap_socket(plain, server_hostname="127.0.0.1")
        connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert connection.recv(1_000).startswith(b"HTTP/1.1 200")
    for other in crowd:
        other.close()
