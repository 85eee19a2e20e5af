"""Sends requests to servers over keep-alive connections; never retries a request by itself."""

from __future__ import annotations

import logging
import ssl
from collections import deque
from collections.abc import Callable
from io import BytesIO
from typing import Final

import attrs
import gevent
from gevent import socket

from ..core.clock import Clock
from ..helpers.tcp import unacknowledged_bytes
from ..logs import events, log
from .answer_reader import AnswerReader
from .const import CONNECT_TIMEOUT_MS, MAX_CALL_BYTES, READ_BYTES
from .models import AnswerHead, BrokenAnswer, Header, Lost, TooManyBytes
from .sockets import Turns, connect, is_readable, split_address

_LOGGER = logging.getLogger(__name__)
DEFAULT_MAX_IDLE_MS: Final = 4_000
"""Longest idle time where the server states none: less than the typical timeout of 5 s."""

MAX_TIMEOUT_DIGITS: Final = 6
"""A stated keep-alive timeout of more digits is ignored; ``int`` refuses thousands of them."""

KEEP_ALIVE_SHARE: Final = 0.85
"""Share of a server's keep-alive timeout that is used: no request may be sent as the server closes.

An idle connection may have been lost without a reset, and so would be a request on it. Keep-alive
probes end such a connection within three seconds, so a longer idle time does not add to this risk.
"""

BACKGROUND_BODY_BYTES: Final = 32_768
"""Larger bodies are sent in the background: a server may answer before it has read them."""

MAX_BODY_TIME_MS: Final = 8_000
"""How long the body of an answer may take in all, however steadily it is received: a configuration
of two thousand routes takes about a second on a link of 5 Mbit/s, and several times that on one
which is shared with streams."""


MAX_REQUESTS_PER_CONNECTION: Final = 512
"""After this many requests with an id a connection is replaced, since it remembers all of them."""


class ServerConnection:
    """A connection to a server that carries one request at a time.

    :param number: counts the connections of a pool, for the log.
    :param on_too_many_bytes: called when the server sends more than a bound allows.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        number: int = 0,
        on_too_many_bytes: Callable[[TooManyBytes], None] = lambda _error: None,
    ) -> None:
        self.number = number
        self._on_too_many_bytes = on_too_many_bytes
        self._sock = sock
        self._clock = clock
        self._reader = AnswerReader()
        self._turns = Turns()
        self._sender: gevent.Greenlet | None = None
        self._eof = False
        self.idle_since_ms = clock.now_ms()
        self.max_idle_ms = float(DEFAULT_MAX_IDLE_MS)
        self.request_count = 0
        self._carried_ids: set[int] = set()

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id was sent on the connection before.

        A server may send its answer once more when the next one is due. The id tells whose answer
        it is, not to which attempt: on the same connection, the second copy of a refusal would be
        taken for the answer to the next attempt, which the server runs.
        """
        return hash(request_id) in self._carried_ids

    def send(
        self,
        head: bytes,
        body: bytes,
        is_head_request: bool = False,
        request_id: str | None = None,
    ) -> None:
        """Send a request.

        :param request_id: the id that the answer repeats, if any.
        :param is_head_request: whether the answer has no body although it states a length.
        :raises OSError: when it can't be sent completely; the server may still have received it.
        """
        if is_head_request:
            self._reader.expect_no_body()
        self.request_count += 1
        if request_id is not None:
            self._carried_ids.add(hash(request_id))
        if len(body) > BACKGROUND_BODY_BYTES:
            self._sender = gevent.spawn(self._send_in_background, head, body)
            return
        self._sock.settimeout(2.0)
        self._sock.sendall(head + body)

    def _send_in_background(self, head: bytes, body: bytes) -> bool:
        # Not joined: a server that reads slowly would make the node hold the body twice.
        try:
            self._sock.sendall(head)
            self._sock.sendall(body)
        except OSError:
            return False
        return True

    def read_head(self, deadline_ms: int) -> AnswerHead:
        """Return the head of the next answer.

        :raises TimeoutError: when it is incomplete at the deadline.
        :raises OSError: when the connection fails.
        :raises BrokenAnswer: when the bytes are not a valid answer.
        """
        while not self._reader.answers:
            self._receive(deadline_ms)
        return self._reader.answers[0].head

    def read_piece(self, deadline_ms: int) -> bytes | None:
        """Return the next bytes of the body as they are received; ``None`` at its end.

        :raises TimeoutError: when nothing is received before the deadline.
        :raises OSError: when the connection fails.
        :raises BrokenAnswer: when the connection ends before the body is complete.
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

    def check_size(self, size: int, max_bytes: int, bound: str) -> None:
        """Check the size of what has been read so far.

        :param bound: what is bounded; only logged.
        :raises TooManyBytes: when it is larger than the server may send.
        """
        if size > max_bytes:
            error = TooManyBytes(bound, max_bytes)
            self._on_too_many_bytes(error)
            raise error

    def _receive(self, deadline_ms: int) -> None:
        if self._eof:
            raise BrokenAnswer("the connection ended inside the answer")
        remaining_ms = deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise TimeoutError
        self._sock.settimeout(remaining_ms / 1000)
        data = self._sock.recv(READ_BYTES)
        if data:
            try:
                self._reader.feed(data)
            except TooManyBytes as error:
                self._on_too_many_bytes(error)
                raise
            self._turns.record_read(len(data))
            return
        self._eof = True
        # The kernel reports a reset once, maybe to the task that sends. Even without an error, an
        # end before the server has the whole request does not say that the answer is whole.
        if self._is_request_sent() and unacknowledged_bytes(self._sock.fileno()) == 0:
            self._reader.handle_eof()
        if not self._reader.answers or not self._reader.answers[0].is_complete:
            raise BrokenAnswer("the connection ended inside the answer")

    def _is_request_sent(self) -> bool:
        """Return whether the kernel has taken the whole request without an error."""
        return self._sender is None or (self._sender.ready() and self._sender.value is True)

    @property
    def has_answer_begun(self) -> bool:
        """Return whether the head of an answer has been received."""
        return bool(self._reader.answers)

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on this connection.

        A connection with unread bytes is never reused: they belong to no request, and the next
        caller would get them as its answer.
        """
        is_worn = len(self._carried_ids) >= MAX_REQUESTS_PER_CONNECTION
        return (
            self._is_request_sent()
            and not self._eof
            and not is_worn
            and self._reader.keep_alive
            and self._reader.is_clean
        )

    def is_stale(self, now_ms: int) -> bool:
        """Return whether the connection was idle for too long or received something while idle."""
        idle_ms = now_ms - self.idle_since_ms
        return idle_ms > self.max_idle_ms or is_readable(self._sock)

    def mark_idle(self, head: AnswerHead) -> None:
        """Record the start of the idle time and the keep-alive timeout that the server states."""
        self.idle_since_ms = self._clock.now_ms()
        self._sender = None
        keep_alive = head.value(b"keep-alive")
        if keep_alive is None:
            return
        for part in keep_alive.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit() and len(value) <= MAX_TIMEOUT_DIGITS:
                self.max_idle_ms = int(value) * 1000 * KEEP_ALIVE_SHARE

    def close(self) -> None:
        """Close the connection immediately, even while a request is in progress."""
        if self._sender is not None:
            self._sender.kill(block=False)
        self._sock.close()


@attrs.define(slots=True)
class ConnectionPools:
    """Idle connections by server.

    :param max_idle: maximum number of idle connections per server.
    :param opened_count: connections opened since the start.
    :param too_many_bytes_count: answers that exceeded a bound since the start.
    """

    clock: Clock
    max_idle: int = 64
    opened_count: int = 0
    too_many_bytes_count: int = 0
    _idle_by_key: dict[str, deque[ServerConnection]] = attrs.Factory(dict)

    def acquire(
        self,
        key: str,
        address: str,
        timeout_ms: int = CONNECT_TIMEOUT_MS,
        request_id: str | None = None,
    ) -> ServerConnection | Lost:
        """Return an idle connection to the server, or a new one.

        :param key: identifies the server's process; another one may get its address later.
        :param request_id: no connection that has carried this request before is returned.
        """
        now_ms = self.clock.now_ms()
        idle = self._idle_by_key.get(key, deque())
        unsuitable = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if connection.is_stale(now_ms):
                connection.close()
            elif request_id is not None and connection.has_carried(request_id):
                unsuitable.append(connection)
            else:
                found = connection
        idle.extend(reversed(unsuitable))
        return found if found is not None else self.open(address, timeout_ms)

    def open(
        self,
        address: str,
        timeout_ms: int = CONNECT_TIMEOUT_MS,
        tls: ssl.SSLContext | None = None,
    ) -> ServerConnection | Lost:
        """Return a new connection: unlike an idle one, it can't have been lost unnoticed.

        :param tls: the TLS context, or ``None`` for plain TCP.
        """
        try:
            sock = connect(address, timeout_ms)
            if tls is not None:
                sock = tls.wrap_socket(
                    sock,
                    server_hostname=split_address(address)[0],
                    # The end of the TCP connection alone is not the end of an answer.
                    suppress_ragged_eofs=False,
                )
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return Lost(False, f"no connection: {type(error).__name__}", is_refused)
        self.opened_count += 1
        return ServerConnection(
            sock,
            self.clock,
            self.opened_count,
            lambda error: self._record_too_many_bytes(address, error),
        )

    def _record_too_many_bytes(self, address: str, error: TooManyBytes) -> None:
        self.too_many_bytes_count += 1
        log(
            _LOGGER,
            events.TooManyBytes(address=address, bound=error.bound, max_bytes=error.max_bytes),
        )

    def release(self, key: str, connection: ServerConnection, head: AnswerHead) -> None:
        """Keep a connection whose answer was read completely for reuse, or close it."""
        idle = self._idle_by_key.setdefault(key, deque())
        if not connection.is_reusable() or len(idle) >= self.max_idle:
            connection.close()
            return
        connection.mark_idle(head)
        idle.append(connection)

    def has_idle(self, key: str) -> bool:
        """Return whether an idle connection to a server can be reused."""
        now_ms = self.clock.now_ms()
        return any(not c.is_stale(now_ms) for c in self._idle_by_key.get(key, ()))

    def add_idle(self, key: str, connection: ServerConnection) -> None:
        """Keep a new connection that has carried no request yet, or close it."""
        idle = self._idle_by_key.setdefault(key, deque())
        if len(idle) >= self.max_idle:
            connection.close()
        else:
            idle.append(connection)

    def close_idle(self, key: str) -> None:
        """Close the idle connections to a server that was removed."""
        for connection in self._idle_by_key.pop(key, ()):
            connection.close()

    def close_stale(self) -> None:
        """Close idle connections that can no longer be reused."""
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
    """The complete answer to a control call."""

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
    body_gap_ms: int | None = None,
    max_bytes: int = MAX_CALL_BYTES,
) -> Answer | Lost:
    """Send one control request and return its complete answer.

    :param on_acquired: called with the connection; another task may close it to abort the call.
    :param body_gap_ms: how long nothing of the answer's body may be received; the call then takes
        longer than its timeout while a large body is still being received, up to
        ``MAX_BODY_TIME_MS``. ``None``: the timeout is for the whole answer.
    :param max_bytes: largest body that is read.
    """
    deadline_ms = pools.clock.now_ms() + timeout_ms
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
        head = connection.read_head(deadline_ms)
        body = _read_body(connection, deadline_ms, body_gap_ms, pools.clock, max_bytes)
    except (OSError, BrokenAnswer) as error:
        connection.close()
        return Lost(True, f"{type(error).__name__}: {error}")
    except BaseException:
        connection.close()
        raise
    pools.release(address, connection, head)
    return Answer(head, body)


def _read_body(
    connection: ServerConnection,
    deadline_ms: int,
    gap_ms: int | None,
    clock: Clock,
    max_bytes: int,
) -> bytes:
    """Return the body of an answer whose head was read."""
    body = BytesIO()
    last_deadline_ms = clock.now_ms() + MAX_BODY_TIME_MS
    while (piece := connection.read_piece(deadline_ms)) is not None:
        body.write(piece)
        connection.check_size(body.tell(), max_bytes, "the body")
        if gap_ms is not None:
            deadline_ms = max(deadline_ms, min(clock.now_ms() + gap_ms, last_deadline_ms))
    return body.getvalue()
