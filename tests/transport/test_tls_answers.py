"""Answers over TLS end with the TLS session, not with the TCP connection."""

from __future__ import annotations

import contextlib
import socket
import ssl
import threading

import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.client import ConnectionPools
from tests.processes.test_tls import Authority

HALF = b"HTTP/1.1 200 OK\r\n\r\nhalf"
WAIT_S = 5


@pytest.fixture
def contexts(tmp_path):
    authority = Authority(tmp_path)
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.load_cert_chain(*authority.issue("s"))
    return server, ssl.create_default_context(cafile=str(authority.path))


@pytest.mark.parametrize("ends_session", [True, False])
def test_an_answer_without_length_ends_with_its_tls_session(contexts, ends_session):
    """The end of the TCP connection alone, as after a crash, completed such an answer."""
    server_context, client_context = contexts
    listener = socket.create_server(("127.0.0.1", 0))
    is_read = threading.Event()

    def serve() -> None:
        sock, _ = listener.accept()
        tls = server_context.wrap_socket(sock, server_side=True)
        tls.recv(65_536)
        tls.sendall(HALF)
        is_read.wait(WAIT_S)
        if ends_session:
            # The client closes without an end of its own.
            with contextlib.suppress(ssl.SSLError):
                tls.unwrap()
            tls.close()
        else:
            socket.socket(fileno=tls.detach()).close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    pools = ConnectionPools(MonotonicClock())
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connection = pools.open(address, 2_000, client_context)
    connection.send(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", b"")
    until_ms = pools.clock.now_ms() + WAIT_S * 1_000
    connection.read_head(until_ms)
    assert connection.read_piece(until_ms) == b"half"
    is_read.set()
    if ends_session:
        assert connection.read_piece(until_ms) is None
    else:
        with pytest.raises(OSError, match="EOF"):
            connection.read_piece(until_ms)
    connection.close()
    thread.join(WAIT_S)
    listener.close()
