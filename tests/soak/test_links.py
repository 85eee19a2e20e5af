"""Tests of links: what a server does to its connection reaches the caller."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from monsoonflow.transport.sockets import RESET_AT_CLOSE
from script.ports import free_port
from stand_ins.links import Link

WAIT_S = 2.0


@pytest.mark.parametrize("resets", [False, True])
def test_a_link_passes_on_how_a_connection_ends(resets):
    """Guards against resets that turn into closes, which complete answers without a length."""

    def serve(sock, _address):
        sock.recv(10)
        sock.sendall(b"answer")
        gevent.sleep(0.05)
        if resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    port = free_port()
    Link(f"127.0.0.1:{port}", f"127.0.0.1:{server.server_port}")
    caller = socket.create_connection(("127.0.0.1", port))
    caller.settimeout(WAIT_S)
    caller.sendall(b"request")
    assert caller.recv(10) == b"answer"
    if resets:
        with pytest.raises(ConnectionResetError):
            caller.recv(10)
    else:
        assert caller.recv(10) == b""
    caller.close()
    server.stop()
