"""HTTP server that passes complete requests to a handler, one at a time per connection."""

from __future__ import annotations

import logging
import ssl
from collections.abc import Callable
from typing import TypeAlias

import gevent
from gevent import socket
from gevent.server import StreamServer

from ..core.clock import Clock
from ..logs import events, log
from ..logs.sampling import Sampler
from .caller_connection import CallerConnection
from .connection_limit import ConnectionLimit, callers_limit, default_max_sockets
from .const import LISTEN_BACKLOG
from .held_bytes import DEFAULT_MEMORY_BYTES, HeldBytes
from .models import BadMessage, MessageLimits, Request
from .reply import Reply
from .sockets import split_address

_LOGGER = logging.getLogger(__name__)
IDLE_CHECK_INTERVAL_S = 0.02

Handler: TypeAlias = Callable[[Request, Reply], None]
RefusalFormatter: TypeAlias = Callable[[BadMessage], tuple[bytes, bytes]]


def plain_text_refusal(error: BadMessage) -> tuple[bytes, bytes]:
    """Return content type and body of the answer to a rejected message."""
    return b"text/plain", error.reason.encode()


class HttpServer:
    """HTTP server that listens at one address.

    :param limits: returns the limits for the next request.
    :param tls: the TLS context, or ``None`` for plain TCP.
    :param ends_with_caller: whether a handler is ended when its caller closes the connection.
    :param refusal: returns content type and body of the answer to a rejected message.
    :param held: bounds the bytes that are held for all callers; ``None`` for a bound of its own.
    :param connections: bounds the open connections; ``None`` for a bound of its own.
    :param line_bytes: what the handler keeps beside the request for each header of more than
        usual.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], MessageLimits],
        clock: Clock,
        tls: ssl.SSLContext | None = None,
        ends_with_caller: bool = True,
        refusal: RefusalFormatter = plain_text_refusal,
        held: HeldBytes | None = None,
        connections: ConnectionLimit | None = None,
        line_bytes: int = 0,
    ) -> None:
        self.address = address
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.refusal = refusal
        self.held = held or HeldBytes()
        if connections is None:
            connections = ConnectionLimit(
                callers_limit(DEFAULT_MEMORY_BYTES, default_max_sockets())
            )
        self.connections = connections
        self.ends_with_caller = ends_with_caller
        self.line_bytes = line_bytes
        self.keeps_alive = True
        self._sampler = Sampler()
        self.active_count = 0
        self.idle_connections: set[CallerConnection] = set()
        self.tls = tls
        self._server = StreamServer(
            split_address(address), self._serve_connection, backlog=LISTEN_BACKLOG
        )

    def log_refusal(self, error: BadMessage) -> None:
        """Log that a message was refused; a crowd must not fill the log with one cause."""
        now_ms = self.clock.now_ms()
        for kind, cause, count in self._sampler.left_out(now_ms):
            log(_LOGGER, events.LinesSuppressed(kind, cause, count))
        if self._sampler.allows("bad_message", error.reason, now_ms):
            log(_LOGGER, events.BadMessage(status=error.status, cause=error.reason))

    def start(self) -> bool:
        """Start to listen; return whether the address could be bound."""
        try:
            self._server.start()
        except OSError as error:
            log(_LOGGER, events.NotBound(address=self.address, cause=error))
            return False
        return True

    def stop_keep_alive(self) -> None:
        """Close each connection after its next answer, which announces this."""
        self.keeps_alive = False

    def stop_listening(self) -> None:
        """Accept no new connections and close the idle ones."""
        self._server.close()
        for connection in list(self.idle_connections):
            connection.close_idle()

    def wait_until_idle(self, timeout_ms: int) -> None:
        """Wait until no request is being served, or until the timeout."""
        deadline_ms = self.clock.now_ms() + timeout_ms
        while self.active_count and self.clock.now_ms() < deadline_ms:
            gevent.sleep(IDLE_CHECK_INTERVAL_S)

    def _serve_connection(self, sock: socket.socket, _peer: tuple) -> None:
        CallerConnection(sock, self).serve()
