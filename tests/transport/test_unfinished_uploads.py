"""Answers whose connection ends while the request is still being sent.

The kernel reports a reset once, to whichever call asks first: a task that sends may get the error,
and the one that reads then finds what looks like an orderly close.
"""

from __future__ import annotations

import re
import socket as native
from collections.abc import Callable
from enum import StrEnum

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.client import (
    BACKGROUND_BODY_BYTES,
    Answer,
    ConnectionPools,
    ServerConnection,
    call,
)
from monsoonflow.transport.models import BrokenAnswer, Lost
from monsoonflow.transport.sockets import RESET_AT_CLOSE

LARGE_BODY = b"x" * (16 << 20)
HALF = b"half of the body"
ANSWERS = {
    "no length": b"HTTP/1.1 200 OK\r\n\r\n" + HALF,
    "a length": b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + HALF,
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + HALF + b"\r\n",
}
TIMEOUT_MS = 5_000
RECEIVE_BUFFER_BYTES = 65_536


class Ending(StrEnum):
    """How a server that has not read the upload ends the connection after half an answer."""

    RESET = "reset at once"
    LATE_RESET = "reset later"
    CLOSE_UNREAD = "close with unread bytes"
    HALF_CLOSE = "end of the sending side alone"


def end_connection(sock: socket.socket, ending: Ending) -> None:
    match ending:
        case Ending.RESET | Ending.LATE_RESET:
            if ending is Ending.LATE_RESET:
                gevent.sleep(0.3)
            sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, RESET_AT_CLOSE)
        case Ending.HALF_CLOSE:
            sock.shutdown(native.SHUT_WR)
            gevent.sleep(1)
    sock.close()


def read_request(sock: socket.socket, with_body: bool) -> None:
    """Read a request's head byte by byte, so that nothing of its body is read, and maybe that."""
    received = b""
    while not received.endswith(b"\r\n\r\n"):
        received += sock.recv(1)
    left = int(re.search(rb"Content-Length: (\d+)", received)[1]) if with_body else 0
    while left:
        left -= len(sock.recv(min(left, 65_536)))


@pytest.fixture
def serve():
    """Return a function that starts a server with a connection handler."""
    servers = []

    def start(handle: Callable[[socket.socket], None]) -> str:
        server = StreamServer(("127.0.0.1", 0), lambda sock, _: handle(sock))
        server.start()
        # Otherwise the kernel might receive a whole upload that nobody reads.
        server.socket.setsockopt(native.SOL_SOCKET, native.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    with gevent.Timeout(30):
        yield start
    for server in servers:
        server.close()


def answer_early(answer: bytes, ending: Ending) -> Callable[[socket.socket], None]:
    """Return a connection handler that answers without reading the upload."""

    def handle(sock: socket.socket) -> None:
        read_request(sock, with_body=False)
        sock.sendall(answer)
        end_connection(sock, ending)

    return handle


def upload(address: str, body: bytes = LARGE_BODY) -> Answer | Lost:
    return call(ConnectionPools(MonotonicClock()), address, "PUT", "/x", body, TIMEOUT_MS)


@pytest.mark.parametrize("ending", Ending)
@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize("size", [BACKGROUND_BODY_BYTES + 1, 1 << 20, len(LARGE_BODY)])
def test_a_part_of_an_answer_is_not_whole_while_its_request_is_being_sent(
    serve, size, answer, ending
):
    """The part that was sent before a reset reached the caller as a complete answer."""
    # The server's kernel receives a small upload without its process.
    size = max(size, 1 << 20) if ending is Ending.HALF_CLOSE else size
    result = upload(serve(answer_early(ANSWERS[answer], ending)), LARGE_BODY[:size])
    assert isinstance(result, Lost)
    assert result.sent


class ResetSocket:
    """A socket whose connection is reset after a part of an answer, while a task sends on it.

    :param is_known: whether the sending task has been told by the time of the next read.
    :param has_run: whether it has also run.
    """

    def __init__(self, is_known: bool, has_run: bool) -> None:
        self._is_known = is_known
        self._has_run = has_run
        self._is_reset = Event()
        self._received = [ANSWERS["no length"]]

    def settimeout(self, _timeout_s: float) -> None:
        """Accept any timeout."""

    def sendall(self, _data: bytes) -> None:
        """Get the error of the reset."""
        self._is_reset.wait()
        raise ConnectionResetError

    def recv(self, _size: int) -> bytes:
        """Return a part of the answer, then nothing, as the sender has got the error."""
        gevent.sleep(0)
        if self._received:
            return self._received.pop()
        if self._is_known:
            self._is_reset.set()
        if self._has_run:
            gevent.sleep(0.01)
        return b""

    def close(self) -> None:
        """Close the socket."""


@pytest.mark.parametrize(("is_known", "has_run"), [(True, True), (True, False), (False, False)])
def test_it_does_not_matter_when_the_sender_learns_of_a_reset(is_known, has_run):
    """A reader that comes before the sender must not take the end for that of the answer."""
    clock = MonotonicClock()
    connection = ServerConnection(ResetSocket(is_known, has_run), clock)
    connection.send(b"PUT /x HTTP/1.1\r\n\r\n", LARGE_BODY)
    deadline_ms = clock.now_ms() + TIMEOUT_MS
    connection.read_head(deadline_ms)
    assert connection.read_piece(deadline_ms) == HALF
    with pytest.raises(BrokenAnswer):
        connection.read_piece(deadline_ms)
    connection.close()


@pytest.mark.parametrize("size", [0, 100, BACKGROUND_BODY_BYTES + 1, 1 << 20, len(LARGE_BODY)])
def test_an_answer_without_length_to_a_request_that_was_read_ends_with_its_connection(serve, size):
    def handle(sock: socket.socket) -> None:
        read_request(sock, with_body=True)
        sock.sendall(ANSWERS["no length"])
        sock.close()

    result = upload(serve(handle), LARGE_BODY[:size])
    assert isinstance(result, Answer)
    assert result.body == HALF


def test_an_answer_with_a_length_to_a_request_that_was_not_read_is_complete(serve):
    """A server may refuse an upload by its head."""
    refusal = b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 3\r\n\r\nbig"
    result = upload(serve(answer_early(refusal, Ending.HALF_CLOSE)))
    assert isinstance(result, Answer)
    assert (result.head.status, result.body) == (413, b"big")
