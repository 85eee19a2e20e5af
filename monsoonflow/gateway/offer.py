"""Sends a request to one server and reads what comes back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeVar

from ..transport.client import Pools, ServerConnection
from ..transport.const import CONNECT_TIMEOUT_MS, REPLY_BUFFER_BYTES
from ..transport.models import AnswerHead, BrokenAnswer, Lost, Request
from ..transport.server import Reply
from .events import EventCutter, first_event_id
from .models import (
    AnswerTerms,
    Call,
    Chosen,
    Cut,
    Dialect,
    Passed,
    Recalled,
    Rejected,
    TimedOut,
    Try,
    Unclear,
    Unsent,
    Whole,
)

MAX_FOREIGN_ANSWERS: Final = 2
"""Late answers to other requests that are skipped before a connection is given up."""

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request did not run and never will."""


SIGN_CHECK_MS: Final = 250
"""How often a request that waits for a first sign is looked at: a newer version of its adapter may
have been named, and it must not begin on the old one."""

Read = TypeVar("Read")


class SilentServer(Exception):
    """No event of a stream has come in time."""


class BeginsTooLate(Exception):
    """The request waits for an adapter version that may no longer begin."""


class Offer:
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
        until_ms: int,
        sign_until_ms: int,
        on_sign: Callable[[], None] = lambda: None,
        begins_until: Callable[[], int | None] = lambda: None,
        may_send: Callable[[], bool] = lambda: True,
        on_send: Callable[[], None] = lambda: None,
        on_alive: Callable[[], None] = lambda: None,
    ) -> None:
        self._pools = pools
        self._dialect = dialect
        self._request = request
        self._call = call
        self._until_ms = until_ms
        self._sign_until_ms = sign_until_ms
        self._on_sign = on_sign
        self._begins_until = begins_until
        self._may_send = may_send
        self._on_send = on_send
        self._on_alive = on_alive

    def send(
        self,
        chosen: Chosen,
        head: Callable[[], bytes],
        reply: Reply,
        cutter: EventCutter | None,
    ) -> Try:
        """Send the request and pass its answer on.

        :param head: returns the request's head as of the moment of the send.
        :param cutter: for a stream; holds what was passed on by earlier tries.
        """
        # A machine without power answers no connection: waited for beyond the request's own time,
        # its caller was answered 115 ms after the route's timeout.
        left_ms = self._until_ms - self._pools.clock.now_ms()
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
            connection.send(head(), self._request.body, self._request.method == b"HEAD")
            answer_head, terms = self._own_answer(connection)
            if cutter is None or answer_head.status != 200:
                result = self._read_whole(connection, answer_head, terms, reply, cutter)
            else:
                result = self._stream(connection, answer_head, terms, reply, cutter)
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

    def _own_answer(self, connection: ServerConnection) -> tuple[AnswerHead, AnswerTerms]:
        """Return the head of the answer to this request.

        A late answer to an earlier request can stand where this one's is due; its id tells, and it
        is read and dropped.
        """
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = self._await_sign(connection.read_head)
            self._on_alive()
            terms = self._dialect.read_answer(head)
            if terms.request_id == self._call.request_id:
                return head, terms
            if terms.request_id is None:
                break
            while connection.read_piece(self._sign_until_ms) is not None:
                pass
        raise BrokenAnswer("the answer belongs to another request")

    def _read_whole(
        self,
        connection: ServerConnection,
        head: AnswerHead,
        terms: AnswerTerms,
        reply: Reply,
        cutter: EventCutter | None,
    ) -> Try:
        """Read an answer to its end before a byte of it is passed on.

        One that breaks off can then be tried again, or be told as a failure rather than be cut.
        """
        self._check(head, terms)
        pieces: list[bytes] = []
        size = 0
        while (piece := connection.read_piece(self._until_ms)) is not None:
            pieces.append(piece)
            size += len(piece)
            if size > REPLY_BUFFER_BYTES and not reply.started and cutter is None:
                return self._pass_large(connection, head, b"".join(pieces), reply)
        if terms.not_run:
            return Rejected(f"status {head.status}", terms.retry_after_ms, head.status == 421)
        return Whole(head, terms, b"".join(pieces))

    def _pass_large(
        self, connection: ServerConnection, head: AnswerHead, begun: bytes, reply: Reply
    ) -> Try:
        headers = self._dialect.passed_headers(head)
        reply.begin(head.status, headers, head.length, head.reason, begun)
        while (piece := connection.read_piece(self._until_ms)) is not None:
            reply.write(piece)
        reply.finish()
        return Passed()

    def _check(self, head: AnswerHead, terms: AnswerTerms) -> None:
        if 200 <= head.status < 300 and not terms.stamped:
            raise BrokenAnswer("a success without the server's signature")
        if head.value(b"content-encoding") is not None:
            raise BrokenAnswer("an encoded body that the caller did not ask for")

    def _stream(
        self,
        connection: ServerConnection,
        head: AnswerHead,
        terms: AnswerTerms,
        reply: Reply,
        cutter: EventCutter,
    ) -> Try:
        self._check(head, terms)
        cutter.held = b""
        resumed_after = cutter.last_event
        first = True
        while (piece := self._next_event(connection, first)) is not None:
            self._on_alive()
            whole = cutter.feed(piece)
            if not whole:
                continue
            if first:
                first = False
                self._check_resumed(whole, resumed_after)
                self._on_sign()
            self._pass(head, whole, reply)
        if not reply.started:
            reply.begin(head.status, self._dialect.passed_headers(head), None, head.reason)
        # The server ended its answer properly: what is left over is the end of its body.
        reply.write(cutter.held)
        reply.finish()
        return Passed()

    def _next_event(self, connection: ServerConnection, first: bool) -> bytes | None:
        if not first:
            return connection.read_piece(self._until_ms)
        try:
            return self._await_sign(connection.read_piece)
        except TimeoutError:
            raise SilentServer from None

    def _await_sign(self, read: Callable[[int], Read]) -> Read:
        """Read what shows that the server works on the request.

        :raises TimeoutError: when the server is silent for too long.
        :raises BeginsTooLate: when the request would begin on a version that is no longer wanted.
        """
        while True:
            now_ms = self._pools.clock.now_ms()
            begins_until_ms = self._begins_until()
            if begins_until_ms is not None and now_ms >= begins_until_ms:
                raise BeginsTooLate
            try:
                return read(min(self._sign_until_ms, now_ms + SIGN_CHECK_MS))
            except TimeoutError:
                if self._pools.clock.now_ms() >= self._sign_until_ms:
                    raise

    def _pass(self, head: AnswerHead, whole: bytes, reply: Reply) -> None:
        if reply.started:
            reply.write(whole)
            return
        reply.begin(head.status, self._dialect.passed_headers(head), None, head.reason, whole)

    def _check_resumed(self, whole: bytes, after: bytes | None) -> None:
        """Refuse a run that begins anew where it should go on: its text would come twice."""
        begins = first_event_id(whole)
        if after is None or begins is None or not (after.isdigit() and begins.isdigit()):
            return
        if int(begins) <= int(after):
            raise BrokenAnswer("the stream did not go on after the last event")
