"""HTTP servers on loopback that record the requests passed to their handlers."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs
import gevent
import pytest
from gevent import socket

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.models import MessageLimits, Request
from monsoonflow.transport.reply import Reply
from monsoonflow.transport.server import HttpServer
from script.ports import free_port


@attrs.define
class RunningServer:
    """A server with the requests that reached its handler."""

    server: HttpServer
    port: int
    requests: list[Request]

    def connect(self) -> socket.socket:
        """Return a raw connection to the server."""
        return socket.create_connection(("127.0.0.1", self.port), timeout=3)

    def exchange(self, data: bytes) -> bytes:
        """Send raw bytes and return everything received until the server closes."""
        sock = self.connect()
        sock.sendall(data)
        sock.settimeout(3)
        received = b""
        try:
            while piece := sock.recv(65_536):
                received += piece
        except OSError:
            pass
        sock.close()
        return received


Handler = Callable[[Request, Reply], None]


def echo(request: Request, reply: Reply) -> None:
    """Answer with the raw target and body."""
    reply.send_whole(200, [], request.target + b"|" + request.body)


@pytest.fixture
def listen() -> Iterator[Callable[..., RunningServer]]:
    """Return a function that starts a server; limits in a list may be changed later."""
    servers: list[HttpServer] = []

    def start(
        handler: Handler = echo, limits: MessageLimits | list[MessageLimits] | None = None
    ) -> RunningServer:
        port = free_port()
        requests: list[Request] = []

        def handle(request: Request, reply: Reply) -> None:
            requests.append(request)
            handler(request, reply)

        current = limits if isinstance(limits, list) else [limits or MessageLimits()]
        server = HttpServer(f"127.0.0.1:{port}", handle, lambda: current[0], MonotonicClock())
        assert server.start()
        servers.append(server)
        return RunningServer(server, port, requests)

    with gevent.Timeout(20):
        yield start
    for server in servers:
        server.stop_listening()
