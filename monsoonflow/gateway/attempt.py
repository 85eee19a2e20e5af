"""Sends a request to one server and reads what comes back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeVar

from ..transport.client import Pools, ServerConnection
from ..transport.const import CONNECT_TIMEOUT_MS, REPLY_BUFFER_BYTES
from ..transport.models import AnswerHead, BrokenAnswer, Lost, Request
from ..transport.server import Reply
from .event_splitter import EventSplitter, first_event_id
from .models import (
    AnswerTerms,
    AttemptResult,
    Call,
    Chosen,
    Cut,
    Dialect,
    Passed,
    Recalled,
    Rejected,
    TimedOut,
    Unclear,
    Unsent,
    Whole,
)

MAX_STALE_ANSWERS: Final = 2
"""Late answers to other requests that are skipped before a connection is given up."""

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request did not run and never will."""


START_CHECK_INTERVAL_MS: Final = 250
"""How often a request that waits for a first sign is looked at: a newer version of its adapter may
have been named, and it must not begin on the old one."""

ReadResult = TypeVar("ReadResult")


class SilentServer(Exception):
    """No event of a stream has come in time."""


class BeginsTooLate(Exception):
    """The request waits for an adapter version that may no longer begin."""


class Attempt:
    """One try of a request at one server.

    :param until_ms: when the request's time is over.
    :param sign_until_ms: until when the server must have given a sign: an answer, or the first
        event of a stream.
    :param on_sign: called at the first sign of work (the first event of a stream).
    :param begins_until: returns until when the request may begin, as it is known at that moment;
        ``None`` without a bound.
    :param may_send: tells whether the server still takes work.
    :param on_send: called just before the request goes out.
    :param on_alive: called at each part of an answer that shows that the server is at work.
    """

    def __init__(
        self,
        pools: Pools,
        dialect: Dialect,
        request: Request,
        call: Call,
        answer_deadline_ms: int,
        response_deadline_ms: int,
        on_first_event: Callable[[], None] = lambda: None,
        start_deadline: Callable[[], int | None] = lambda: None,
        may_send: Callable[[], bool] = lambda: True,
        on_send: Callable[[], None] = lambda: None,
        on_activity: Callable[[], None] = lambda: None,
    ) -> None:
        self._pools = pools
        self._dialect = dialect
        self._request = request
        self._call = call
        self._answer_deadline_ms = answer_deadline_ms
        self._response_deadline_ms = response_deadline_ms
        self._on_first_event = on_first_event
        self._start_deadline = start_deadline
        self._may_send = may_send
        self._on_send = on_send
        self._on_activity = on_activity

    def send(
        self,
        chosen: Chosen,
        build_head: Callable[[], bytes],
        reply: Reply,
        splitter: EventSplitter | None,
    ) -> AttemptResult:
        """Send the request and pass its answer on.

        :param head: returns the request's head as of the moment of the send.
        :param cutter: for a stream; holds what was passed on by earlier tries.
        """
        # A machine without power answers no connection: waited for beyond the request's own time,
        # its caller was answered 115 ms after the route's timeout.
        left_ms = self._answer_deadline_ms - self._pools.clock.now_ms()
        connect_ms = max(1, min(CONNECT_TIMEOUT_MS, left_ms))
        connection = self._pools.take(chosen.life, chosen.address, connect_ms)
        if isinstance(connection, Lost):
            return Unsent(connection.reason, connection.refused)
        clean = False
        answer_head = None
        try:
            # After a pause of the process, the connection that was waited for may be taken before
            # the end of the caller's: the request would be sent for nobody.
            reply.check_caller()
            # The wait for the connection may be long: a server that was chosen 1.9 s after its word
            # that it leaves was sent to 0.4 s beyond the bound of 2 s.
            if not self._may_send():
                return Unsent("the server leaves")
            self._on_send()
            # Made now: a server that was told the time left before a connection of half a second
            # would work on for a caller that has gone.
            connection.send(build_head(), self._request.body, self._request.method == b"HEAD")
            answer_head, terms = self._read_matching_head(connection)
            if splitter is None or answer_head.status != 200:
                result = self._read_whole(connection, answer_head, terms, reply, splitter)
            else:
                result = self._forward_stream(connection, answer_head, terms, reply, splitter)
            clean = True
            return result
        except SilentServer:
            return TimedOut(silent=True)
        except BeginsTooLate:
            return Recalled()
        except TimeoutError:
            return TimedOut(silent=answer_head is None)
        except (OSError, BrokenAnswer) as error:
            reason = f"{type(error).__name__}: {error}"
            silent = answer_head is None
            return Cut(reason, silent) if reply.started else Unclear(reason, silent)
        finally:
            # On every other way out, also when the caller leaves, the connection is closed at once:
            # the server stops its work, and no bytes of it can reach another request.
            if clean and answer_head is not None:
                self._pools.give_back(chosen.life, connection, answer_head)
            else:
                connection.close()

    def _read_matching_head(self, connection: ServerConnection) -> tuple[AnswerHead, AnswerTerms]:
        """Return the head of the answer to this request.

        A late answer to an earlier request can stand where this one's is due; its id tells, and it
        is read and dropped.
        """
        for _ in range(MAX_STALE_ANSWERS):
            head = self._await_response(connection.read_head)
            self._on_activity()
            terms = self._dialect.read_answer(head)
            if terms.request_id == self._call.request_id:
                return head, terms
            if terms.request_id is None:
                break
            while connection.read_piece(self._response_deadline_ms) is not None:
                pass
        raise BrokenAnswer("the answer belongs to another request")

    def _read_whole(
        self,
        connection: ServerConnection,
        head: AnswerHead,
        terms: AnswerTerms,
        reply: Reply,
        splitter: EventSplitter | None,
    ) -> AttemptResult:
        """Read an answer to its end before a byte of it is passed on.

        One that breaks off can then be tried again, or be told as a failure rather than be cut.
        """
        self._check_head(head, terms)
        pieces: list[bytes] = []
        size = 0
        while (piece := connection.read_piece(self._answer_deadline_ms)) is not None:
            pieces.append(piece)
            size += len(piece)
            if size > REPLY_BUFFER_BYTES and not reply.started and splitter is None:
                return self._forward_large(connection, head, b"".join(pieces), reply)
        if terms.not_run:
            return Rejected(f"status {head.status}", terms.retry_after_ms, head.status == 421)
        return Whole(head, terms, b"".join(pieces))

    def _forward_large(
        self, connection: ServerConnection, head: AnswerHead, received: bytes, reply: Reply
    ) -> AttemptResult:
        headers = self._dialect.forwarded_headers(head)
        reply.begin(head.status, headers, head.length, head.reason, received)
        while (piece := connection.read_piece(self._answer_deadline_ms)) is not None:
            reply.write(piece)
        reply.finish()
        return Passed()

    def _check_head(self, head: AnswerHead, terms: AnswerTerms) -> None:
        if 200 <= head.status < 300 and not terms.is_signed:
            raise BrokenAnswer("a success without the server's signature")
        if head.value(b"content-encoding") is not None:
            raise BrokenAnswer("an encoded body that the caller did not ask for")

    def _forward_stream(
        self,
        connection: ServerConnection,
        head: AnswerHead,
        terms: AnswerTerms,
        reply: Reply,
        splitter: EventSplitter,
    ) -> AttemptResult:
        self._check_head(head, terms)
        splitter.incomplete = b""
        resumed_after = splitter.last_event_id
        first = True
        while (piece := self._next_piece(connection, first)) is not None:
            self._on_activity()
            whole = splitter.feed(piece)
            if not whole:
                continue
            if first:
                first = False
                self._check_resume_position(whole, resumed_after)
                self._on_first_event()
            self._forward_events(head, whole, reply)
        if not reply.started:
            reply.begin(head.status, self._dialect.forwarded_headers(head), None, head.reason)
        # The server ended its answer properly: what is left over is the end of its body.
        reply.write(splitter.incomplete)
        reply.finish()
        return Passed()

    def _next_piece(self, connection: ServerConnection, first: bool) -> bytes | None:
        if not first:
            return connection.read_piece(self._answer_deadline_ms)
        try:
            return self._await_response(connection.read_piece)
        except TimeoutError:
            raise SilentServer from None

    def _await_response(self, read: Callable[[int], ReadResult]) -> ReadResult:
        """Read what shows that the server works on the request.

        :raises TimeoutError: when the server is silent for too long.
        :raises BeginsTooLate: when the request would begin on a version that is no longer wanted.
        """
        while True:
            now_ms = self._pools.clock.now_ms()
            begins_until_ms = self._start_deadline()
            if begins_until_ms is not None and now_ms >= begins_until_ms:
                raise BeginsTooLate
            try:
                return read(min(self._response_deadline_ms, now_ms + START_CHECK_INTERVAL_MS))
            except TimeoutError:
                if self._pools.clock.now_ms() >= self._response_deadline_ms:
                    raise

    def _forward_events(self, head: AnswerHead, whole: bytes, reply: Reply) -> None:
        if reply.started:
            reply.write(whole)
            return
        reply.begin(head.status, self._dialect.forwarded_headers(head), None, head.reason, whole)

    def _check_resume_position(self, whole: bytes, after: bytes | None) -> None:
        """Refuse a run that begins anew where it should go on: its text would come twice."""
        begins = first_event_id(whole)
        if after is None or begins is None or not (after.isdigit() and begins.isdigit()):
            return
        if int(begins) <= int(after):
            raise BrokenAnswer("the stream did not go on after the last event")
