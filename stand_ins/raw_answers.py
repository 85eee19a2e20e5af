"""Writes answers piece by piece: with any framing, whole or broken off anywhere."""

from __future__ import annotations

import contextlib
import random
import socket as native
from enum import StrEnum
from typing import Final

import gevent

from monsoonflow.transport.models import CallerLeft, Framing, Header
from monsoonflow.transport.reply import REASON_PHRASES, Reply
from monsoonflow.transport.sockets import RESET_AT_CLOSE

START: Final = b"HTTP/1.1 200 OK\r\n"
INVALID_STARTS: Final = {
    "status 000": START.replace(b"200", b"000"),
    "status 700": START.replace(b"200", b"700"),
    "another protocol": START.replace(b"HTTP/1.1", b"RTSP/1.0"),
    "another version": START.replace(b"HTTP/1.1", b"HTTP/2.0"),
    "a control byte in the reason": START.replace(b"OK", b"O\x07K"),
    "a blank in a name": START + b"X Name: x\r\n",
    "a control byte in a name": START + b"X\x01Name: x\r\n",
    "a control byte in a value": START + b"X-Name: \x01\r\n",
}
"""How heads begin that are not valid HTTP."""


def invalid_answer(kind: str, headers: list[Header], body: bytes) -> bytes:
    """Return an answer that lacks nothing but a valid head.

    :param kind: a key of ``INVALID_STARTS``.
    """
    lines = [
        b"%s: %s\r\n" % header for header in [*headers, (b"Content-Length", b"%d" % len(body))]
    ]
    return INVALID_STARTS[kind] + b"".join(lines) + b"\r\n" + body


class BreakPlace(StrEnum):
    """Where an answer breaks off; ``FIRST``: after the head, ``BETWEEN``: after some pieces."""

    HEAD = "head"
    FIRST = "first"
    BETWEEN = "between"
    PIECE = "piece"


def reset_at_close(reply: Reply) -> None:
    """Have the connection of an answer reset rather than closed in order."""
    sock = reply._connection._sock  # noqa: SLF001
    sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, RESET_AT_CLOSE)


class RawAnswer:
    """Writes one answer with status 200.

    :param shows_halves: whether half a piece shows that the answer is not complete.
    """

    def __init__(self, reply: Reply, framing: Framing, shows_halves: bool) -> None:
        self._reply = reply
        self._connection = reply._connection  # noqa: SLF001
        self._framing = framing
        self._shows_halves = shows_halves
        self._unsent: list[bytes] = []

    def send(self, headers: list[Header], pieces: list[bytes], pause_s: float = 0.0) -> None:
        """Send the whole answer, with a pause after each piece."""
        self._begin(headers, pieces)
        self._send_pieces(len(pieces), pause_s)
        if self._framing is Framing.CHUNKED:
            self._connection.send(b"0\r\n\r\n")
        # The server closes the connection after an answer that its reply has not finished.
        self._reply.finished = self._framing is not Framing.CONNECTION

    def break_off(
        self,
        headers: list[Header],
        pieces: list[bytes],
        place: BreakPlace,
        resets: bool,
        rng: random.Random,
        pause_s: float = 0.0,
    ) -> None:
        """Send a part of the answer; then close the connection, or reset it.

        An orderly close that would look like the end of the answer becomes a reset.
        """
        if place is BreakPlace.HEAD:
            head = self._head(headers, pieces)
            self._reply.started = True
            self._connection.send(head[: rng.randrange(1, len(head) - 4)])
        else:
            self._begin(headers, pieces)
            whole = 0 if place is BreakPlace.FIRST else rng.randrange(len(pieces))
            if place is BreakPlace.BETWEEN:
                whole = max(whole, min(1, len(pieces) - 1))
            self._send_pieces(whole, pause_s)
            if place is BreakPlace.PIECE:
                self.send_half_a_piece()
            shows = place is BreakPlace.PIECE and self._shows_halves
            resets = resets or (self._framing is Framing.CONNECTION and not shows)
        if resets:
            reset_at_close(self._reply)

    def send_half_a_piece(self) -> None:
        """Send half of the next piece, so that a close does not look like the end."""
        if self._unsent:
            piece = self._unsent.pop(0)
            framed = self._framed(piece)
            with contextlib.suppress(CallerLeft):
                self._connection.send(framed[: len(framed) - (len(piece) + 1) // 2])

    def _begin(self, headers: list[Header], pieces: list[bytes]) -> None:
        self._unsent = list(pieces)
        self._reply.started = True
        self._reply.status = 200
        self._connection.send(self._head(headers, pieces))

    def _head(self, headers: list[Header], pieces: list[bytes]) -> bytes:
        match self._framing:
            case Framing.LENGTH:
                marks = [(b"Content-Length", b"%d" % sum(map(len, pieces)))]
            case Framing.CHUNKED:
                marks = [(b"Transfer-Encoding", b"chunked")]
            case Framing.CONNECTION:
                marks = []
        lines = [b"HTTP/1.1 200 " + REASON_PHRASES[200]]
        lines += [b"%s: %s" % header for header in [*headers, *marks]]
        keeps = self._framing is not Framing.CONNECTION
        lines.append(self._connection.connection_header() if keeps else b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _send_pieces(self, count: int, pause_s: float) -> None:
        for _ in range(count):
            self._connection.send(self._framed(self._unsent.pop(0)))
            if pause_s:
                gevent.sleep(pause_s)

    def _framed(self, piece: bytes) -> bytes:
        if self._framing is Framing.CHUNKED:
            return b"%x\r\n%s\r\n" % (len(piece), piece)
        return piece
