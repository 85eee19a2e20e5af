"""Sends requests to servers over kept connections; never sends one twice by itself."""

from __future__ import annotations

import ssl
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs
import gevent
from gevent import socket

from ..core.clock import Clock
from .codec import AnswerReader
from .const import CONNECT_TIMEOUT_MS, READ_BYTES
from .models import AnswerHead, BrokenAnswer, Header, Lost
from .sockets import connect, is_readable, split_address

DEFAULT_MAX_IDLE_MS: Final = 4_000
"""Longest rest of a kept connection where the server names none: under the usual five seconds."""

KEEP_ALIVE_SHARE: Final = 0.85
"""Share of the rest that a server grants which is used: a request must not cross its close.

A connection that rested may have gone silent, and a request on it would be lost. Probes end a
silent one within three seconds, so a longer rest adds nothing to that.
"""

BACKGROUND_BODY_BYTES: Final = 32_768
"""Bodies above this are sent beside reading: a server may answer before it has read them."""


class ServerConnection:
    """A connection to a server; one request at a time."""

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self._sock = sock
        self._clock = clock
        self._reader = AnswerReader()
        self._sender: gevent.Greenlet | None = None
        self._eof = False
        self.idle_since_ms = clock.now_ms()
        self.max_idle_ms = float(DEFAULT_MAX_IDLE_MS)
        self.request_count = 0

    def send(self, head: bytes, body: bytes, is_head_request: bool = False) -> None:
        """Send a request.

        :raises OSError: when it can't be sent whole; the server may still have received it.
        """
        if is_head_request:
            self._reader.expect_no_body()
        self.request_count += 1
        if len(body) > BACKGROUND_BODY_BYTES:
            self._sender = gevent.spawn(self._send_in_background, head + body)
            return
        self._sock.settimeout(2.0)
        self._sock.sendall(head + body)

    def _send_in_background(self, data: bytes) -> bool:
        try:
            self._sock.sendall(data)
        except OSError:
            return False
        return True

    def read_head(self, deadline_ms: int) -> AnswerHead:
        """Return the head of the next answer.

        :raises TimeoutError: when it is not there in time.
        :raises OSError: when the connection broke.
        :raises BrokenAnswer: when the bytes are no answer.
        """
        while not self._reader.answers:
            self._receive(deadline_ms)
        return self._reader.answers[0].head

    def read_piece(self, deadline_ms: int) -> bytes | None:
        """Return the next bytes of the body, as they come; ``None`` at its end.

        :raises TimeoutError: when nothing comes in time.
        :raises OSError: when the connection broke.
        :raises BrokenAnswer: when the body ends before its end.
        """
        incoming = self._reader.answers[0]
        while not incoming.pieces:
            if incoming.is_complete:
                self._reader.answers.popleft()
                return None
            self._receive(deadline_ms)
        pieces = incoming.pieces
        data = pieces.popleft() if len(pieces) == 1 else b"".join(pieces)
        pieces.clear()
        return data

    def _receive(self, deadline_ms: int) -> None:
        if self._eof:
            raise BrokenAnswer("the connection ended inside the answer")
        left_ms = deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise TimeoutError
        self._sock.settimeout(left_ms / 1000)
        data = self._sock.recv(READ_BYTES)
        if data:
            self._reader.feed(data)
            return
        self._eof = True
        self._reader.handle_eof()
        if not self._reader.answers or not self._reader.answers[0].is_complete:
            raise BrokenAnswer("the connection ended inside the answer")

    def is_reusable(self) -> bool:
        """Tell whether another request may follow on this connection.

        A connection with bytes left over is never used again: they belong to no request, and the
        next caller would get them for its answer.
        """
        sent = self._sender is None or (self._sender.ready() and bool(self._sender.value))
        return sent and not self._eof and self._reader.keep_alive and self._reader.is_clean

    def is_stale(self, now_ms: int) -> bool:
        """Tell whether the connection rested too long or something came while it rested."""
        rest_ms = now_ms - self.idle_since_ms
        return rest_ms > self.max_idle_ms or is_readable(self._sock)

    def mark_idle(self, head: AnswerHead) -> None:
        """Note how long the server keeps the connection, before it goes back to its pool."""
        self.idle_since_ms = self._clock.now_ms()
        self._sender = None
        told = head.value(b"keep-alive")
        if told is None:
            return
        for part in told.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.max_idle_ms = int(value) * 1000 * KEEP_ALIVE_SHARE

    def close(self) -> None:
        """End the connection at once, whatever is in progress on it."""
        if self._sender is not None:
            self._sender.kill(block=False)
        self._sock.close()


@attrs.define(slots=True)
class ConnectionPools:
    """Keeps connections that rest, by server.

    :param max_idle: resting connections a server.
    """

    clock: Clock
    max_idle: int = 64
    opened_count: int = 0
    _idle_by_key: dict[str, deque[ServerConnection]] = attrs.Factory(dict)

    def acquire(
        self,
        key: str,
        address: str,
        timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> ServerConnection | Lost:
        """Return a connection that is good for one request.

        :param key: names the server's process; its address may be given to another one later.
        """
        now_ms = self.clock.now_ms()
        idle = self._idle_by_key.get(key)
        while idle:
            connection = idle.pop()
            if not connection.is_stale(now_ms):
                return connection
            connection.close()
        return self.open(address, timeout_ms)

    def open(
        self,
        address: str,
        timeout_ms: int = CONNECT_TIMEOUT_MS,
        tls: ssl.SSLContext | None = None,
    ) -> ServerConnection | Lost:
        """Return a new connection; no resting one can have gone silent under the request.

        :param tls: a context, where the server speaks TLS.
        """
        try:
            sock = connect(address, timeout_ms)
            if tls is not None:
                sock = tls.wrap_socket(sock, server_hostname=split_address(address)[0])
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            return Lost(False, f"no connection: {type(error).__name__}", refused)
        self.opened_count += 1
        return ServerConnection(sock, self.clock)

    def release(self, key: str, connection: ServerConnection, head: AnswerHead) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        idle = self._idle_by_key.setdefault(key, deque())
        if not connection.is_reusable() or len(idle) >= self.max_idle:
            connection.close()
            return
        connection.mark_idle(head)
        idle.append(connection)

    def close_idle(self, key: str) -> None:
        """Close the resting connections to a server that is gone."""
        for connection in self._idle_by_key.pop(key, ()):
            connection.close()

    def close_stale(self) -> None:
        """Close what rested too long."""
        now_ms = self.clock.now_ms()
        for key, idle in list(self._idle_by_key.items()):
            kept = deque(c for c in idle if not c.is_stale(now_ms))
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle_by_key[key] = kept
            else:
                del self._idle_by_key[key]


@attrs.frozen(slots=True)
class Answer:
    """An answer to a control call, read whole."""

    head: AnswerHead
    body: bytes


def call(
    pools: ConnectionPools,
    address: str,
    method: str,
    target: str,
    body: bytes,
    timeout_ms: int,
    headers: tuple[Header, ...] = (),
    host: str | None = None,
    on_acquired: Callable[[ServerConnection], None] = lambda _: None,
) -> Answer | Lost:
    """Make one control call and read its whole answer.

    :param on_acquired: takes the connection, which another task may close to end the call.
    """
    until_ms = pools.clock.now_ms() + timeout_ms
    connection = pools.acquire(address, address, timeout_ms=min(timeout_ms, CONNECT_TIMEOUT_MS))
    if isinstance(connection, Lost):
        return connection
    on_acquired(connection)
    lines = [f"{method} {target} HTTP/1.1".encode(), b"Host: " + (host or address).encode()]
    lines += [b"%s: %s" % header for header in headers]
    if body or method in ("POST", "PUT"):
        lines.append(b"Content-Length: %d" % len(body))
    try:
        connection.send(b"\r\n".join(lines) + b"\r\n\r\n", body)
        head = connection.read_head(until_ms)
        pieces = []
        while (piece := connection.read_piece(until_ms)) is not None:
            pieces.append(piece)
    except (OSError, BrokenAnswer) as error:
        connection.close()
        return Lost(True, f"{type(error).__name__}: {error}")
    except BaseException:
        connection.close()
        raise
    pools.release(address, connection, head)
    return Answer(head, b"".join(pieces))
