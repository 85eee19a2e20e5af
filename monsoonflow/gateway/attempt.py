"""Sends a request to one server and forwards the answer."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from io import BytesIO
from typing import Final, TypeVar

from ..transport.client import ConnectionPools, ServerConnection
from ..transport.const import CONNECT_TIMEOUT_MS, REPLY_BUFFER_BYTES
from ..transport.models import AnswerHead, BrokenAnswer, Header, Lost, Request
from ..transport.reply import Reply
from .event_splitter import MAX_EVENT_BYTES, EventSplitter
from .models import (
    AnswerTerms,
    AtLimit,
    AttemptResult,
    Call,
    Chosen,
    Cut,
    Dialect,
    EndUnknown,
    Passed,
    Recalled,
    Rejected,
    TimedOut,
    Unclear,
    Unsent,
    Whole,
    Withheld,
)

MAX_STALE_ANSWERS: Final = 2
"""Answers read on a connection before it is closed because all of them belong to other requests."""

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request did not run and never will."""

START_CHECK_INTERVAL_MS: Final = 250
"""How often a request that waits for its first response is checked: a newer version of its adapter
may have been requested, and the request must not begin on the old one."""

TOO_MANY_BYTES: Final = "too many bytes of answers are held"

EVENT_STREAM_TYPE: Final = b"text/event-stream"

ReadResult = TypeVar("ReadResult")


class SilentServer(Exception):
    """The first event of a stream has not arrived in time."""


class BeginsTooLate(Exception):
    """The request still waits at the server, but may no longer begin on its adapter version."""


class Attempt:
    """One attempt to have a request answered by one server.

    :param answer_deadline_ms: when the request's time is over.
    :param response_deadline_ms: when the server must have responded: with the head of an answer,
        or for a stream with the first event.
    :param on_first_event: called at the first event of a stream.
    :param start_deadline: returns the time until which the request may begin at the server, as
        known at that moment; ``None`` without a limit.
    :param may_send: returns whether the server still accepts requests.
    :param admit: called just before the request is sent; returns why it must not be sent.
    :param on_send: called just before the request is sent.
    :param on_activity: called for each part of an answer, which shows that the server is working.
    :param on_terms: called with what the head of the answer says.
    :param on_server_notices: called with what the head of any answer of the server says, also one
        that belongs to another request.
    :param stream_headers: added to the head of a stream.
    :param on_more_events: called when events of a stream after the first ones have arrived.
    """

    def __init__(
        self,
        pools: ConnectionPools,
        dialect: Dialect,
        request: Request,
        call: Call,
        answer_deadline_ms: int,
        response_deadline_ms: int,
        on_first_event: Callable[[], None] = lambda: None,
        start_deadline: Callable[[], int | None] = lambda: None,
        may_send: Callable[[], bool] = lambda: True,
        admit: Callable[[], AtLimit | Withheld | None] = lambda: None,
        on_send: Callable[[], None] = lambda: None,
        on_activity: Callable[[], None] = lambda: None,
        on_terms: Callable[[AnswerTerms], None] = lambda _terms: None,
        on_server_notices: Callable[[AnswerTerms], None] = lambda _terms: None,
        stream_headers: Sequence[Header] = (),
        on_more_events: Callable[[], None] = lambda: None,
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
        self._admit = admit
        self._on_send = on_send
        self._on_activity = on_activity
        self._on_terms = on_terms
        self._on_server_notices = on_server_notices
        self._stream_headers = stream_headers
        self._on_more_events = on_more_events

    def send(
        self,
        chosen: Chosen,
        build_head: Callable[[], bytes],
        reply: Reply,
        splitter: EventSplitter | None,
    ) -> AttemptResult:
        """Send the request and forward its answer to the caller.

        :param build_head: returns the request's head as of the moment of sending.
        :param splitter: knows which events of a stream earlier attempts have forwarded; ``None``
            if the request is no stream.
        """
        # A machine without power never answers a connection attempt. Without this limit, the caller
        # was answered 115 ms after the route's timeout.
        remaining_ms = self._answer_deadline_ms - self._pools.clock.now_ms()
        connect_ms = max(1, min(CONNECT_TIMEOUT_MS, remaining_ms))
        request_id = self._call.request_id
        connection = self._pools.acquire(chosen.life, chosen.address, connect_ms, request_id)
        if isinstance(connection, Lost):
            return Unsent(connection.reason, connection.refused)
        is_reusable = False
        answer_head = None
        try:
            # After the process was suspended, the connection to the server may be ready before the
            # end of the caller's connection was noticed: the request would be sent for nobody.
            reply.raise_if_caller_left()
            # Waiting for the connection may take long: a server that was chosen 1.9 s after it had
            # announced that it leaves got the request 0.4 s after the limit of 2 s.
            if not self._may_send():
                return Unsent("the server is leaving")
            if (refusal := self._admit()) is not None:
                return refusal
            self._on_send()
            # The head holds the remaining time, so it is built only now: with the time from before
            # a connection that took 0.5 s, the server would go on working after the caller left.
            is_head_request = self._request.method == b"HEAD"
            connection.send(build_head(), self._request.body, is_head_request, request_id)
            answer_head, terms = self._read_matching_head(connection)
            if splitter is None or not _is_event_stream(answer_head):
                result = self._read_whole(connection, answer_head, terms, reply)
            else:
                result = self._forward_stream(connection, answer_head, terms, reply, splitter)
            is_reusable = True
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
            # In all other cases, also when the caller leaves, the connection is closed at once: the
            # server stops working, and no late bytes can reach another request.
            if is_reusable and answer_head is not None:
                self._pools.release(chosen.life, connection, answer_head)
            else:
                connection.close()

    def _read_matching_head(self, connection: ServerConnection) -> tuple[AnswerHead, AnswerTerms]:
        """Return the head of the answer to this request.

        A late answer to an earlier request may arrive first on the connection. It is recognised by
        its request id, read and dropped.
        """
        for _ in range(MAX_STALE_ANSWERS):
            head = self._await_response(connection.read_head)
            self._on_activity()
            terms = self._dialect.read_answer(head)
            self._on_server_notices(terms)
            if terms.request_id == self._call.request_id:
                self._on_terms(terms)
                return head, terms
            if terms.request_id is None:
                break
            self._drop_body(connection)
        raise BrokenAnswer("the answer belongs to another request")

    def _drop_body(self, connection: ServerConnection) -> None:
        size = 0
        while (piece := connection.read_piece(self._response_deadline_ms)) is not None:
            size += len(piece)
            connection.check_size(size, REPLY_BUFFER_BYTES, "an answer to another request")

    def _read_whole(
        self,
        connection: ServerConnection,
        head: AnswerHead,
        terms: AnswerTerms,
        reply: Reply,
    ) -> AttemptResult:
        """Read an answer to its end before any byte of it is forwarded.

        If it breaks off, the request can be retried, or the caller gets an error rather than a
        truncated answer. An answer that is too large to buffer is forwarded while it arrives.
        """
        self._check_head(head, terms)
        body = BytesIO()
        while (piece := connection.read_piece(self._answer_deadline_ms)) is not None:
            body.write(piece)
            if body.tell() > REPLY_BUFFER_BYTES:
                if reply.started:
                    raise BrokenAnswer("the answer is too large to replace the rest of a stream")
                return self._forward_large(connection, head, body.getvalue(), reply)
            if not reply.keep(body.tell()):
                raise BrokenAnswer(TOO_MANY_BYTES)
        if terms.not_run:
            return Rejected(
                f"status {head.status}", terms.retry_after_ms, head.status == 421, connection.number
            )
        return Whole(head, terms, body.getvalue())

    def _forward_large(
        self, connection: ServerConnection, head: AnswerHead, received: bytes, reply: Reply
    ) -> AttemptResult:
        headers = self._dialect.forwarded_headers(head)
        reply.begin(
            head.status, headers, head.length, head.reason, received, head.ends_with_connection
        )
        while (piece := connection.read_piece(self._answer_deadline_ms)) is not None:
            reply.write(piece)
        reply.finish()
        return Passed()

    def _check_head(self, head: AnswerHead, terms: AnswerTerms) -> None:
        if 200 <= head.status < 300 and not terms.is_signed:
            raise BrokenAnswer("a successful answer without the server's signature")
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
        splitter.begin()
        earlier_count = splitter.event_count
        has_begun = False
        while (piece := self._next_piece(connection, not has_begun)) is not None:
            self._on_activity()
            events = splitter.feed(piece)
            if len(splitter.incomplete) > MAX_EVENT_BYTES:
                raise BrokenAnswer("an event is too long")
            if not reply.keep(len(splitter.incomplete)):
                raise BrokenAnswer(TOO_MANY_BYTES)
            if events:
                if has_begun:
                    self._on_more_events()
                elif splitter.event_count > earlier_count:
                    has_begun = True
                    self._on_first_event()
                self._forward_events(head, events, reply)
            if splitter.repeats:
                raise BrokenAnswer("the stream repeats an event")
        return self._end_stream(head, reply, splitter, has_begun)

    def _end_stream(
        self, head: AnswerHead, reply: Reply, splitter: EventSplitter, has_begun: bool
    ) -> AttemptResult:
        """End the caller's answer, unless the server's end may not be that of the stream."""
        if splitter.is_inside_event:
            raise BrokenAnswer("the stream ended inside an event")
        if head.ends_with_connection:
            if not has_begun:
                raise BrokenAnswer("the connection ended before the first event")
            # Only the end of the caller's own connection says no more than that of the server's.
            if not reply.ends_with_connection:
                return EndUnknown()
        if not reply.started:
            self._forward_events(head, b"", reply)
        reply.write(splitter.incomplete)
        reply.finish()
        return Passed()

    def _next_piece(self, connection: ServerConnection, is_first: bool) -> bytes | None:
        if not is_first:
            return connection.read_piece(self._answer_deadline_ms)
        try:
            return self._await_response(connection.read_piece)
        except TimeoutError:
            raise SilentServer from None

    def _await_response(self, read: Callable[[int], ReadResult]) -> ReadResult:
        """Read the first response, which shows that the server works on the request.

        :raises TimeoutError: when the server has not responded by the response deadline.
        :raises BeginsTooLate: when the request may no longer begin on its adapter version.
        """
        while True:
            now_ms = self._pools.clock.now_ms()
            start_deadline_ms = self._start_deadline()
            if start_deadline_ms is not None and now_ms >= start_deadline_ms:
                raise BeginsTooLate
            try:
                return read(min(self._response_deadline_ms, now_ms + START_CHECK_INTERVAL_MS))
            except TimeoutError:
                if self._pools.clock.now_ms() >= self._response_deadline_ms:
                    raise

    def _forward_events(self, head: AnswerHead, events: bytes, reply: Reply) -> None:
        if reply.started:
            reply.write(events)
            return
        headers = [*self._dialect.forwarded_headers(head), *self._stream_headers]
        reply.begin(head.status, headers, None, head.reason, events, head.ends_with_connection)


def _is_event_stream(head: AnswerHead) -> bool:
    content_type = head.value(b"content-type")
    is_other_type = content_type is not None and not content_type.strip().lower().startswith(
        EVENT_STREAM_TYPE
    )
    return head.status == 200 and not is_other_type
