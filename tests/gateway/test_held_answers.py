"""Tests of what an attempt holds of an answer before it is forwarded."""

from __future__ import annotations

from collections import deque

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.gateway.attempt import Attempt
from monsoonflow.gateway.event_splitter import MAX_EVENT_BYTES, EventSplitter
from monsoonflow.gateway.models import AttemptResult, Call, Chosen, Cut, Passed, Unclear, Whole
from monsoonflow.platform.headers import HeaderDialect
from monsoonflow.transport.const import REPLY_BUFFER_BYTES
from monsoonflow.transport.models import AnswerHead, Request

PIECE = b"x" * 65_536
LIMIT_BYTES = 1 << 20


@attrs.define
class ServerAnswer:
    """A connection over which an answer arrives, and the pool that it is from."""

    content_type: bytes
    pieces: deque[bytes]
    clock: ManualClock = attrs.Factory(lambda: ManualClock(1_000))
    is_closed: bool = False

    def acquire(self, *_: object, **__: object) -> ServerAnswer:
        """Return the connection."""
        return self

    def release(self, *_: object) -> None:
        """Take the connection back."""

    def send(self, *_: object) -> None:
        """Accept the request."""

    def read_head(self, _deadline_ms: int) -> AnswerHead:
        """Return a signed head."""
        headers = [
            (b"X-Request-Id", b"r"),
            (b"X-Server-Signature", b"s"),
            (b"Content-Type", self.content_type),
        ]
        return AnswerHead(200, b"OK", headers, None, True)

    def read_piece(self, _deadline_ms: int) -> bytes | None:
        """Return the next piece."""
        return self.pieces.popleft() if self.pieces else None

    def close(self) -> None:
        """Record that the connection was closed."""
        self.is_closed = True


@attrs.define
class CallerReply:
    """A reply that counts what is kept for the caller.

    :param limit_bytes: how much may be kept.
    """

    limit_bytes: int = LIMIT_BYTES
    started: bool = False
    ends_with_connection: bool = False
    max_kept: int = 0
    sent_bytes: int = 0

    def raise_if_caller_left(self) -> None:
        """Do nothing: the caller is still connected."""

    def keep(self, size: int) -> bool:
        """Record what is kept."""
        self.max_kept = max(self.max_kept, size)
        return size <= self.limit_bytes

    def begin(self, _status: int, _headers: list, _length: None, _reason: bytes, body: bytes, _end):
        """Record the first bytes."""
        self.started = True
        self.sent_bytes += len(body)

    def write(self, data: bytes) -> None:
        """Record further bytes."""
        self.sent_bytes += len(data)

    def finish(self) -> None:
        """Complete the answer."""


def receive(
    reply: CallerReply, content_type: bytes, pieces: list[bytes], is_stream: bool = True
) -> AttemptResult:
    """Return the result of an attempt whose server answers with these pieces."""
    answer = ServerAnswer(content_type, deque(pieces))
    request = Request(b"GET", b"/a/", "1.1", [], b"", True, 0)
    attempt = Attempt(answer, HeaderDialect(), request, Call("r", "h", "/a/"), 4_000, 4_000)
    splitter = EventSplitter() if is_stream else None
    return attempt.send(Chosen(ServerLife("i"), "a"), lambda: b"head", reply, splitter)


@pytest.mark.parametrize("is_stream", [False, True])
def test_a_large_answer_is_forwarded_while_it_arrives(is_stream):
    """On routes of streams, an answer that is no stream of events was held whole, without bound."""
    reply = CallerReply()
    result = receive(reply, b"application/json", [PIECE] * 200, is_stream)
    assert isinstance(result, Passed)
    assert reply.sent_bytes == 200 * len(PIECE)
    assert reply.max_kept <= REPLY_BUFFER_BYTES


@pytest.mark.parametrize("is_stream", [False, True])
def test_a_small_answer_is_read_completely_before_it_is_forwarded(is_stream):
    """If it breaks off, the request can be sent to another server."""
    result = receive(CallerReply(), b"application/json", [PIECE] * 2, is_stream)
    assert isinstance(result, Whole)
    assert len(result.body) == 2 * len(PIECE)


def test_a_large_answer_does_not_follow_a_part_of_a_stream():
    """The caller has events of another server, so nothing of the answer can be forwarded."""
    reply = CallerReply(started=True)
    assert isinstance(receive(reply, b"application/json", [PIECE] * 200), Cut)
    assert reply.sent_bytes == 0


def test_an_incomplete_event_counts_as_kept_and_is_bounded():
    """A server that never ends an event would make the node hold all that it sends."""
    reply = CallerReply(limit_bytes=10 * LIMIT_BYTES)
    result = receive(reply, b"text/event-stream", [b"data: ", *[PIECE] * 200])
    assert isinstance(result, Unclear)
    assert reply.max_kept <= MAX_EVENT_BYTES


@pytest.mark.parametrize("content_type", [b"text/event-stream", b"application/json"])
def test_an_answer_that_may_not_be_kept_ends_the_attempt(content_type):
    """With too many bytes held for all callers, one more answer must not add to them."""
    reply = CallerReply(limit_bytes=len(PIECE))
    result = receive(reply, content_type, [PIECE] * 3)
    assert isinstance(result, Unclear)
    assert result.reason.endswith("too many bytes of answers are held")
