"""Serves WSGI applications with gevent."""

from __future__ import annotations

import socket
import ssl
from typing import Any, Final

from gevent.pywsgi import WSGIHandler, WSGIServer

IDLE_TIMEOUT_S: Final = 60
BACKLOG: Final = 1024


class _Handler(WSGIHandler):
    """Bounds how long a caller may keep a connection without a byte passing.

    A caller that stops in the middle of its request, or whose connection has gone silent, would
    otherwise hold a greenlet and a socket for good.
    """

    def handle(self) -> None:
        # Head and body leave in two writes; without this the second waits for the peer's delayed
        # acknowledgement, 40 ms on each answer of a kept connection.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(IDLE_TIMEOUT_S)
        try:
            super().handle()
        except TimeoutError:
            self.close_connection = True

    def log_request(self) -> None:
        """Leave access lines out: the product logs its own events."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``.

    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def start_server(address: str, app: Any, tls: ssl.SSLContext | None = None) -> WSGIServer | None:
    """Start to serve an application.

    :returns: the server, or ``None`` when the address can't be bound.
    """
    extra = {"ssl_context": tls} if tls is not None else {}
    server = WSGIServer(
        split_address(address),
        app,
        handler_class=_Handler,
        log=None,
        error_log=None,
        backlog=BACKLOG,
        **extra,
    )
    try:
        server.start()
    except OSError:
        return None
    return server
