"""Ports on loopback that note what they hand on."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs
import gevent
import pytest
from gevent import socket

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.models import MessageLimits, Request
from monsoonflow.transport.server import HttpServer, Reply
from script.ports import free_port


@attrs.define
class Listening:
    """A port with what it handed on."""

    port: HttpServer
    number: int
    taken: list[Request]

    def connect(self) -> socket.socket:
        """Return a raw connection to it."""
        return socket.create_connection(("127.0.0.1", self.number), timeout=3)

    def exchange(self, data: bytes) -> bytes:
        """Send raw bytes and return all that comes until the port closes."""
        sock = self.connect()
        sock.sendall(data)
        sock.settimeout(3)
        got = b""
        try:
            while piece := sock.recv(65_536):
                got += piece
        except OSError:
            pass
        sock.close()
        return got


Handler = Callable[[Request, Reply], None]


def echo(request: Request, reply: Reply) -> None:
    """Answer with the raw target and body."""
    reply.send_whole(200, [], request.target + b"|" + request.body)


@pytest.fixture
def listen() -> Iterator[Callable[..., Listening]]:
    """Return a function that opens a port."""
    opened: list[HttpServer] = []

    def open_port(handler: Handler = echo, limits: MessageLimits | None = None) -> Listening:
        number = free_port()
        taken: list[Request] = []

        def handle(request: Request, reply: Reply) -> None:
            taken.append(request)
            handler(request, reply)

        port = HttpServer(
            f"127.0.0.1:{number}", handle, lambda: limits or MessageLimits(), MonotonicClock()
        )
        assert port.start()
        opened.append(port)
        return Listening(port, number, taken)

    with gevent.Timeout(20):
        yield open_port
    for port in opened:
        port.stop_listening()
