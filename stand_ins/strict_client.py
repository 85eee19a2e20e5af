"""Reads answers as a strict HTTP client does, and tells how each of them ended."""

from __future__ import annotations

import contextlib
import socket as native
import time
from collections.abc import Iterable
from enum import StrEnum
from typing import Final

import attrs
from gevent import socket

from monsoonflow.transport.sockets import RESET_AT_CLOSE, connect, is_readable

CONNECT_TIMEOUT_MS: Final = 1_000
READ_BYTES: Final = 65_536
MAX_LINE_BYTES: Final = 65_536
MAX_IDLE_S: Final = 4.0
KEEP_ALIVE_SHARE: Final = 0.85
"""Share of a stated keep-alive timeout that is used, so that no request crosses a close."""

BODILESS_STATUSES: Final = frozenset({204, 304})


class Ending(StrEnum):
    """How an answer ended.

    ``CLOSE``: whole, by an orderly close after a head with neither length nor chunks. ``CUT``: an
    orderly close before the end that the head states.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    CUT = "cut"
    RESET = "reset"
    TIMEOUT = "timeout"
    INVALID = "invalid"
    NO_CONNECTION = "no connection"


COMPLETE: Final = frozenset({Ending.LENGTH, Ending.CHUNKS, Ending.CLOSE})


@attrs.define(slots=True)
class StrictAnswer:
    """What came of a request.

    :ivar status: 0 until the head is complete.
    :ivar headers: by their names in lower case.
    """

    status: int = 0
    headers: dict[bytes, list[bytes]] = attrs.Factory(dict)
    body: bytes = b""
    ending: Ending = Ending.NO_CONNECTION

    @property
    def is_complete(self) -> bool:
        """Return whether the answer is complete by its framing."""
        return self.ending in COMPLETE


class _Cut(Exception):
    """The connection was closed."""


class _Invalid(Exception):
    """The bytes are no answer."""


class StrictConnection:
    """A connection that carries one request at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._unread = b""
        self._until = 0.0
        self._usable_until = 0.0

    def is_usable(self) -> bool:
        """Return whether another request may be sent on it."""
        return time.monotonic() < self._usable_until and not is_readable(self._sock)

    def close(self) -> None:
        """Close it."""
        self._sock.close()

    def reset(self) -> None:
        """Reset it; the answer that is being read ends so."""
        with contextlib.suppress(OSError):
            self._sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, RESET_AT_CLOSE)
        self._sock.close()

    def exchange(self, request: bytes, timeout_ms: int) -> StrictAnswer:
        """Send a request and read its answer as far as it comes."""
        self._until = time.monotonic() + timeout_ms / 1000
        self._usable_until = 0.0
        answer = StrictAnswer()
        try:
            self._sock.settimeout(timeout_ms / 1000)
            self._sock.sendall(request)
            self._read(answer)
        except TimeoutError:
            answer.ending = Ending.TIMEOUT
        except OSError:
            answer.ending = Ending.RESET
        except _Cut:
            answer.ending = Ending.CUT
        except (_Invalid, ValueError):
            answer.ending = Ending.INVALID
        self._note_reuse(answer)
        return answer

    def _read(self, answer: StrictAnswer) -> None:
        while answer.status < 200:
            answer.headers = {}
            status = self._read_head(answer.headers)
            answer.status = status
        lengths = answer.headers.get(b"content-length", [])
        codings = answer.headers.get(b"transfer-encoding", [])
        if answer.status in BODILESS_STATUSES:
            answer.ending = Ending.LENGTH
        elif codings:
            if lengths or [coding.lower() for coding in codings] != [b"chunked"]:
                raise _Invalid
            self._read_chunks(answer)
            answer.ending = Ending.CHUNKS
        elif lengths:
            if len(lengths) != 1 or not lengths[0].isdigit():
                raise _Invalid
            self._read_bytes(int(lengths[0]), answer)
            answer.ending = Ending.LENGTH
        else:
            self._read_until_close(answer)
            answer.ending = Ending.CLOSE

    def _read_head(self, headers: dict[bytes, list[bytes]]) -> int:
        version, status, *_ = self._read_line().split(b" ", 2)
        if version != b"HTTP/1.1" or len(status) != 3:
            raise _Invalid
        while line := self._read_line():
            name, colon, value = line.partition(b":")
            if not colon or not name or name != name.strip():
                raise _Invalid
            headers.setdefault(name.lower(), []).append(value.strip())
        return int(status)

    def _read_chunks(self, answer: StrictAnswer) -> None:
        while length := int(self._read_line().partition(b";")[0], 16):
            self._read_bytes(length, answer)
            if self._read_line():
                raise _Invalid
        while self._read_line():
            pass

    def _read_bytes(self, count: int, answer: StrictAnswer) -> None:
        while count:
            if not self._unread:
                self._receive()
            data, self._unread = self._unread[:count], self._unread[count:]
            answer.body += data
            count -= len(data)

    def _read_until_close(self, answer: StrictAnswer) -> None:
        while True:
            answer.body += self._unread
            self._unread = b""
            try:
                self._receive()
            except _Cut:
                return

    def _read_line(self) -> bytes:
        while b"\r\n" not in self._unread:
            if len(self._unread) > MAX_LINE_BYTES:
                raise _Invalid
            self._receive()
        line, _, self._unread = self._unread.partition(b"\r\n")
        return line

    def _receive(self) -> None:
        self._sock.settimeout(max(0.001, self._until - time.monotonic()))
        data = self._sock.recv(READ_BYTES)
        if not data:
            raise _Cut
        self._unread += data

    def _note_reuse(self, answer: StrictAnswer) -> None:
        closes = b"close" in [v.lower() for v in answer.headers.get(b"connection", [])]
        keeps = answer.ending in (Ending.LENGTH, Ending.CHUNKS) and not closes
        if not keeps or self._unread:
            self.close()
            return
        idle_s = MAX_IDLE_S
        for value in answer.headers.get(b"keep-alive", []):
            name, _, seconds = value.partition(b"=")
            if name.strip().lower() == b"timeout" and seconds.isdigit():
                idle_s = int(seconds) * KEEP_ALIVE_SHARE
        self._usable_until = time.monotonic() + idle_s


@attrs.define
class StrictClient:
    """Sends requests over connections that are kept open."""

    _idle: dict[str, list[StrictConnection]] = attrs.Factory(dict)
    _active: dict[StrictConnection, str] = attrs.Factory(dict)

    def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        timeout_ms: int,
    ) -> StrictAnswer:
        """Send a request; it is never repeated."""
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
        lines.append(f"Content-Length: {len(body)}")
        try:
            connection = self._connection(address, min(timeout_ms, CONNECT_TIMEOUT_MS))
        except OSError:
            return StrictAnswer()
        self._active[connection] = address
        try:
            answer = connection.exchange(
                "\r\n".join(lines).encode() + b"\r\n\r\n" + body, timeout_ms
            )
        except BaseException:
            connection.close()
            raise
        finally:
            del self._active[connection]
        if connection.is_usable():
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.close()
        return answer

    def reset(self, ip: str) -> None:
        """Reset the connections to a host on which answers are due."""
        for connection, address in list(self._active.items()):
            if address.rpartition(":")[0] == ip:
                connection.reset()

    def _connection(self, address: str, timeout_ms: int) -> StrictConnection:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return StrictConnection(connect(address, timeout_ms))
