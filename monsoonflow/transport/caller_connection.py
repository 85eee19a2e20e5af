"""A connection that a caller opened: receives its requests and passes them to a handler."""

from __future__ import annotations

import logging
import socket as native
import ssl
from typing import TYPE_CHECKING, Final, NoReturn

import gevent
from gevent import socket

from ..logs import events, log
from .connection_limit import Phase
from .const import (
    LINGER_MS,
    MAX_LINGER_BYTES,
    MAX_LINGER_MS,
    MAX_PENDING_BYTES,
    READ_BYTES,
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    WRITE_TIMEOUT_MS,
)
from .models import BadMessage, CallerLeft, Request
from .reply import Reply
from .request_reader import RequestReader
from .sockets import FLUSH_AT_CLOSE, RESET_AT_CLOSE, Turns, set_socket_options

if TYPE_CHECKING:
    from .server import HttpServer

_LOGGER = logging.getLogger(__name__)
FULL_RETRY_AFTER_S: Final = 1
"""When a caller may retry whose request could not be held: others are released as they end,
typically within a second."""

USUAL_LINES: Final = 64
"""Headers of a request whose copies in a handler are not counted."""


class CallerConnection:
    """A connection that a caller opened."""

    def __init__(self, sock: socket.socket, server: HttpServer) -> None:
        self._sock = sock
        self._http_server = server
        self._reader = RequestReader(server.limits(), self._may_hold)
        self._sender: gevent.Greenlet | None = None
        self._close_after_answer = False
        self._turns = Turns()
        self._is_closed = False
        self._is_receiving = False
        self._makes_room = False
        self._end_cause: BaseException | None = None

    def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        connections = self._http_server.connections
        if not connections.admit(self, self._http_server.clock.now_ms()):
            self._sock.close()
            return
        try:
            set_socket_options(self._sock)
            self._sock.setsockopt(native.SOL_SOCKET, native.SO_SNDBUF, SEND_BUFFER_BYTES)
            self._sock.setsockopt(native.SOL_SOCKET, native.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            if self._http_server.tls is not None:
                self._shake_hands(self._http_server.tls)
            while self._serve_one():
                pass
        except BadMessage as error:
            self._refuse(error)
        except (OSError, CallerLeft):
            pass
        finally:
            self._http_server.held.answers.release(self)
            self._release_requests()
            connections.remove(self)
            self._sock.close()

    def _shake_hands(self, tls: ssl.SSLContext) -> None:
        """Begin TLS, in the time that a request's head may take.

        :raises OSError: when the handshake fails or does not end in time.
        """
        self._sock = tls.wrap_socket(self._sock, server_side=True, do_handshake_on_connect=False)
        timeout = TimeoutError("the handshake did not end in time")
        with gevent.Timeout(self._reader.limits.head_ms / 1000, timeout):
            self._sock.do_handshake()

    def connection_header(self) -> bytes:
        """Return the header that states whether and how long the connection stays open."""
        if self._close_after_answer or not self._http_server.keeps_alive:
            self._close_after_answer = True
            return b"Connection: close"
        return b"Keep-Alive: timeout=%d" % (self._reader.limits.idle_ms // 1000)

    def end_with_answer(self) -> None:
        """Let the end of the connection mark the end of the answer that begins now.

        Until the answer is complete, any other end of the connection is a reset, also if this
        process is killed: an orderly close would make the answer look complete.
        """
        self._close_after_answer = True
        self._sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, RESET_AT_CLOSE)

    def send(self, data: bytes) -> None:
        """Send bytes to the caller.

        :raises CallerLeft: when the caller has closed the connection or does not read.
        """
        self._sock.settimeout(WRITE_TIMEOUT_MS / 1000)
        answers = self._http_server.held.answers
        self._sender = gevent.getcurrent()
        answers.begin_send(self, len(data))
        unsent = memoryview(data)
        try:
            # Each part has the whole timeout: a slow caller that goes on reading is not cut off.
            while unsent:
                unsent = unsent[self._sock.send(unsent) :]
        except OSError as error:
            raise CallerLeft(str(error)) from None
        finally:
            answers.end_send(self)

    def end_slow_send(self) -> None:
        """End a send whose caller reads too slowly, since the node holds too many bytes."""
        answers = self._http_server.held.answers
        log(
            _LOGGER,
            events.SlowCallerEnded(self._http_server.address, answers.total, answers.ended_count),
        )
        if self._sender is not None:
            self._sender.kill(CallerLeft("reads too slowly"), block=False)

    def keep(self, size: int) -> bool:
        """Count the bytes of an answer that are kept for the caller."""
        return self._http_server.held.answers.keep(self, size)

    def end_receive(self) -> None:
        """Refuse the request that is being received: others need the memory that it takes."""
        self._end_soon(BadMessage(503, "others need the memory of this incomplete request"))

    def end_for_room(self) -> None:
        """Close the connection: there are too many, and it is the one that matters least."""
        self._makes_room = True
        if self._is_receiving:
            self._end_soon(BadMessage(503, "others need the connection of this request"))
        else:
            self._end_soon(CallerLeft("others need the connection"))

    def _move(self, phase: Phase) -> None:
        self._http_server.connections.move(self, phase, self._http_server.clock.now_ms())

    def _end_soon(self, cause: BaseException) -> None:
        """Raise an exception where the connection waits for bytes, or before it reads on."""
        self._end_cause = cause
        gevent.get_hub().cancel_wait(self._sock._read_event, cause)  # noqa: SLF001

    def _raise_end_cause(self) -> NoReturn:
        """End the connection; a request that came at the last moment is told that it has not run.

        :raises BadMessage: when a request has begun.
        :raises CallerLeft: when none has.
        """
        has_begun = self._reader.has_begun or self._reader.has_request
        if has_begun and not isinstance(self._end_cause, BadMessage):
            raise BadMessage(503, "others need the connection of this request")
        raise self._end_cause

    def _set_receiving(self, is_receiving: bool) -> None:
        if is_receiving is self._is_receiving:
            return
        self._is_receiving = is_receiving
        requests = self._http_server.held.requests
        if is_receiving:
            requests.begin_receive(self)
            self._move(Phase.RECEIVING)
        else:
            requests.end_receive(self)

    def _release_requests(self) -> None:
        self._set_receiving(False)
        self._http_server.held.requests.hold(self, 0)
        self._reader.close()

    def _may_hold(self, size: int) -> bool:
        return self._http_server.held.requests.hold(self, size)

    def _serve_one(self) -> bool:
        request = self._next_request()
        if request is None:
            return False
        unusual_lines = max(0, len(request.headers) - USUAL_LINES)
        handler_bytes = self._http_server.line_bytes * unusual_lines
        if handler_bytes and not self._may_hold(self._reader.held_bytes + handler_bytes):
            raise BadMessage(503, "too many bytes of requests are held")
        self._close_after_answer = not request.keep_alive
        reply = Reply(self, request.method == b"HEAD")
        self._http_server.active_count += 1
        self._move(Phase.SERVING)
        try:
            self._handle(request, reply)
        finally:
            self._http_server.active_count -= 1
            self._http_server.held.answers.keep(self, 0)
            self._reader.release_request()
            self._may_hold(self._reader.held_bytes)
        if not reply.finished:
            # Closing without the proper end shows the caller that the answer is incomplete.
            return False
        if self._close_after_answer:
            self._close_gracefully()
            return False
        self._move(Phase.IDLE)
        return True

    def _handle(self, request: Request, reply: Reply) -> None:
        if request.version != "1.1":
            self._close_after_answer = True
            reply.send_whole(505, [])
            return
        if not self._http_server.ends_with_caller:
            self._call_handler(request, reply)
            return
        watcher = gevent.get_hub().loop.io(self._sock.fileno(), 1)
        watcher.start(self._on_readable, gevent.getcurrent(), watcher)
        try:
            self._call_handler(request, reply)
        finally:
            watcher.stop()
            watcher.close()

    def _call_handler(self, request: Request, reply: Reply) -> None:
        try:
            self._http_server.handler(request, reply)
        except Exception as error:
            # A bug in this program must not look like an error of a caller or server: it is
            # logged, and the 500 tells the caller nothing about whether the request ran.
            log(_LOGGER, events.HandlerFailed(self._http_server.address, repr(error)))
            _LOGGER.exception("event=handler_trace")
            if not reply.started:
                self._close_after_answer = True
                reply.send_whole(500, [])

    def _on_readable(self, handler: gevent.Greenlet, watcher: object) -> None:
        """Buffer what a caller sends while its request is served; end the handler if it closes."""
        try:
            data = self._sock._sock.recv(READ_BYTES, native.MSG_DONTWAIT)  # noqa: SLF001
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._reader.feed(data, self._http_server.clock.now_ms())
            may_hold = self._may_hold(self._reader.held_bytes)
            if self._reader.unparsed_bytes > MAX_PENDING_BYTES or not may_hold:
                watcher.stop()  # type: ignore[attr-defined]
            return
        watcher.stop()  # type: ignore[attr-defined]
        self._is_closed = True
        handler.kill(CallerLeft("closed"), block=False)

    def is_closed_by_caller(self) -> bool:
        """Return whether the caller has closed the connection, without reading or blocking."""
        if self._is_closed:
            return True
        try:
            return not self._sock._sock.recv(  # noqa: SLF001
                1, native.MSG_PEEK | native.MSG_DONTWAIT
            )
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _next_request(self) -> Request | None:
        reader = self._reader
        data = b""
        while True:
            if not reader.has_begun:
                # The configuration may have changed while the connection was idle.
                reader.limits = self._http_server.limits()
            read_ms = self._http_server.clock.now_ms()
            # Before they are parsed: many connections whose bytes came at once would each parse
            # them before any other task runs.
            self._turns.record_read(len(data), data.count(b"\n"))
            reader.feed(data, read_ms)
            # The bytes that were read must not stay while more are awaited.
            data = b""
            if self._end_cause is not None:
                self._raise_end_cause()
            if reader.has_request:
                self._set_receiving(False)
                return reader.take_request()
            if reader.has_begun:
                self._set_receiving(True)
            if reader.wants_continue:
                reader.wants_continue = False
                self.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            data = self._read()
            if not data:
                return None

    def _read(self) -> bytes:
        reader = self._reader
        has_begun = reader.has_begun
        timeout_ms = reader.limits.idle_ms + 1_000
        if has_begun:
            left_ms = reader.deadline_ms() - self._http_server.clock.now_ms()
            timeout_ms = max(1, min(left_ms, reader.limits.head_ms))
        self._sock.settimeout(timeout_ms / 1000)
        if not has_begun:
            self._http_server.idle_connections.add(self)
        try:
            return self._sock.recv(READ_BYTES)
        except TimeoutError:
            if has_begun:
                raise BadMessage(408, "the request did not come in time") from None
            return b""
        finally:
            self._http_server.idle_connections.discard(self)

    def _refuse(self, error: BadMessage) -> None:
        """Answer a rejected message and close; nothing of it reaches the handler."""
        self._close_after_answer = True
        # What was received must not stay until the caller has read its answer.
        self._release_requests()
        self._http_server.log_refusal(error)
        try:
            content_type, body = self._http_server.refusal(error)
            headers = [(b"Content-Type", content_type)]
            if error.status == 503:
                headers.append((b"Retry-After", b"%d" % FULL_RETRY_AFTER_S))
            Reply(self).send_whole(error.status, headers, body)
            self._close_gracefully()
        except (CallerLeft, OSError):
            return

    def _close_gracefully(self) -> None:
        """Close for writing and read what remains, so that the caller can read the last answer.

        Closing with unread bytes resets the connection, and the reset may overtake the answer.
        """
        self._sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, FLUSH_AT_CLOSE)
        self._sock.shutdown(native.SHUT_WR)
        if self._makes_room:
            return
        self._move(Phase.CLOSING)
        clock = self._http_server.clock
        until_ms = clock.now_ms() + MAX_LINGER_MS
        left_bytes = MAX_LINGER_BYTES
        try:
            while (left_ms := until_ms - clock.now_ms()) > 0 and left_bytes > 0:
                self._sock.settimeout(min(left_ms, LINGER_MS) / 1000)
                data = self._sock.recv(READ_BYTES)
                if not data:
                    return
                left_bytes -= len(data)
                self._turns.record_read(len(data))
        except OSError:
            return

    def close_idle(self) -> None:
        """Close a connection that waits for its next request."""
        try:
            self._sock.shutdown(native.SHUT_WR)
        except OSError:
            return
