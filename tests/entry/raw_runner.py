"""Servers whose answers are given as bytes, and a caller that tells how an answer is framed.

Their answers can be framed by the connection alone, and can end anywhere.
"""

from __future__ import annotations

import socket as native
from collections import deque
from collections.abc import Iterable
from enum import StrEnum
from typing import Any

import attrs
import gevent

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.client import ConnectionPools, ServerConnection
from monsoonflow.transport.models import BrokenAnswer, CallerLeft, Framing, Header, Request
from monsoonflow.transport.reply import Reply
from monsoonflow.transport.sockets import RESET_AT_CLOSE
from script.ports import free_port
from stand_ins.platform_runner import PlatformRunner, PlatformServer
from tests.entry.conftest import HOST, MODEL, Fleet, Node

PAUSE_S = 0.05


class End(StrEnum):
    """How a server ends an answer."""

    CLOSE = "close"
    RESET = "reset"
    KEEP = "keep"


@attrs.frozen
class RawAnswer:
    """Bytes that a server sends for one request.

    :param headers: besides the request id and the signature.
    :param sends_head: whether anything is sent before the end.
    :param pause_after_bytes: of the body, so that the rest arrives apart from them.
    :param status_line: in place of the usual one for the status.
    """

    body: bytes
    end: End = End.CLOSE
    headers: tuple[Header, ...] = ((b"Content-Type", b"text/event-stream"),)
    status: int = 200
    sends_head: bool = True
    pause_after_bytes: int | None = None
    status_line: bytes | None = None


class _RawAnswers:
    """Sends the next raw answer for each request, and the usual answer when none is left."""

    raw_answers: deque[RawAnswer]

    def _answer(self, request: Request, reply: Reply) -> None:
        if not self.raw_answers:
            super()._answer(request, reply)
            return
        raw = self.raw_answers.popleft()
        connection = reply._connection  # noqa: SLF001
        headers = [*self._headers(request, signed=True), *raw.headers]
        head = (raw.status_line or b"HTTP/1.1 %d OK" % raw.status) + b"\r\n"
        head += b"".join(b"%s: %s\r\n" % header for header in headers)
        if raw.sends_head:
            connection.send(head + b"\r\n" + raw.body[: raw.pause_after_bytes])
            if raw.pause_after_bytes is not None:
                gevent.sleep(PAUSE_S)
                connection.send(raw.body[raw.pause_after_bytes :])
        else:
            connection.send(head)
        if raw.end is End.KEEP:
            reply.started = reply.finished = True
            return
        if raw.end is End.RESET:
            connection._sock.setsockopt(  # noqa: SLF001
                native.SOL_SOCKET, native.SO_LINGER, RESET_AT_CLOSE
            )
        raise CallerLeft("ended")


class RawRunner(_RawAnswers, PlatformRunner):
    """A model runner with raw answers."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.raw_answers = deque()


class RawServer(_RawAnswers, PlatformServer):
    """A plain server with raw answers."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.raw_answers = deque()


def add_raw_runner(fleet: Fleet, name: str) -> RawRunner:
    """Add a model runner with raw answers."""
    return fleet._add(RawRunner(name, f"127.0.0.1:{free_port()}", "llm", MODEL, 3))  # noqa: SLF001


def add_raw_server(fleet: Fleet, name: str) -> RawServer:
    """Add a plain server with raw answers."""
    return fleet._add(RawServer(name, f"127.0.0.1:{free_port()}", "plain"))  # noqa: SLF001


def answer_in_order(servers: Iterable[RawRunner | RawServer], *answers: RawAnswer) -> None:
    """Let the servers give these answers to their next requests, whichever of them gets each."""
    shared = deque(answers)
    for server in servers:
        server.raw_answers = shared


def events(*numbers: int, name: str = "r") -> bytes:
    """Return the events that a runner generates."""
    return b"".join(b"id: %d\ndata: %s-%d v1\n\n" % (n, name.encode(), n) for n in numbers)


@attrs.frozen
class Received:
    """What a caller has received.

    :param is_complete: whether the answer is complete as far as its framing says.
    :param is_reusable: whether the caller may send another request on the connection.
    """

    status: int
    framing: Framing
    body: bytes
    is_complete: bool
    is_reusable: bool


def ask_raw(
    node: Node,
    target: str,
    request_id: str,
    deadline_ms: int = 3_000,
    body: bytes = b"prompt",
    **headers: str,
) -> Received | None:
    """Send a request; return what was received, ``None`` if no head was."""
    clock = MonotonicClock()
    connection = ConnectionPools(clock).open(node.address)
    assert isinstance(connection, ServerConnection)
    lines = [f"POST {target} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}"]
    lines += [f"X-Deadline-Ms: {deadline_ms}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    connection.send("\r\n".join(lines).encode() + b"\r\n\r\n", body)
    until_ms = clock.now_ms() + deadline_ms + 1_000
    received = b""
    try:
        head = connection.read_head(until_ms)
    except (OSError, BrokenAnswer):
        return None
    is_complete = False
    try:
        while (piece := connection.read_piece(until_ms)) is not None:
            received += piece
        is_complete = True
    except (OSError, BrokenAnswer):
        pass
    is_reusable = is_complete and connection.is_reusable()
    connection.close()
    return Received(head.status, head.framing, received, is_complete, is_reusable)


def generate_raw(node: Node, request_id: str, path: str = "read", **headers: str) -> Received:
    """Send a request for a generation with the base model."""
    return ask_raw(node, f"/{path}/x", request_id, X_Model=MODEL, X_Token_Count="100,20", **headers)
