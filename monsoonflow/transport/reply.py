"""Writes the answer to a request of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..helpers.http_syntax import FINAL_STATUSES, NAME, TEXT
from .const import BODILESS_STATUSES
from .models import CallerLeft, Header

if TYPE_CHECKING:
    from .caller_connection import CallerConnection

REASON_PHRASES: Final = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


class Reply:
    """Writes the answer to one request.

    No body follows the head of an answer to a HEAD request, or with status 204 or 304: its bytes
    would be taken for the next answer on the connection.

    :param is_head_request: whether the answer is to a HEAD request.
    """

    def __init__(self, connection: CallerConnection, is_head_request: bool = False) -> None:
        self._connection = connection
        self._is_head_request = is_head_request
        self._has_no_body = False
        self._chunked = False
        self._remaining_bytes: int | None = None
        self.ends_with_connection = False
        self.started = False
        self.finished = False
        self.status = 0
        self.sent_bytes = 0

    def has_caller_left(self) -> bool:
        """Return whether the caller has closed its connection since it sent the request."""
        return self._connection.is_closed_by_caller()

    def send_whole(
        self,
        status: int,
        headers: list[Header],
        body: bytes = b"",
        reason: bytes | None = None,
        ends_with_connection: bool = False,
    ) -> None:
        """Send a complete answer in one write."""
        self.begin(status, headers, len(body), reason, body, ends_with_connection)
        self.finish()

    def begin(
        self,
        status: int,
        headers: list[Header],
        length: int | None,
        reason: bytes | None = None,
        body: bytes = b"",
        ends_with_connection: bool = False,
    ) -> None:
        """Send the head and the first bytes of the body, if any.

        :raises ValueError: when the status, the reason or a header is not valid; nothing is sent.
        :param length: length of the whole body; ``None`` uses chunked transfer coding.
        :param ends_with_connection: send neither a length nor chunks: only the end of the
            connection marks the end of the body.
        """
        if self._is_head_request or status in BODILESS_STATUSES:
            self._has_no_body = True
            # The length of a server's answer to HEAD is not known here.
            self._send_head_alone(status, headers, length or None, reason)
            return
        phrase = REASON_PHRASES.get(status, b"") if reason is None else reason
        all_headers = list(headers)
        self.ends_with_connection = ends_with_connection
        self._chunked = length is None and not ends_with_connection
        self._remaining_bytes = None if ends_with_connection else length
        if ends_with_connection:
            self._connection.end_with_answer()
        elif length is None:
            all_headers.append((b"Transfer-Encoding", b"chunked"))
        else:
            all_headers.append((b"Content-Length", b"%d" % length))
        self._send_head(status, phrase, all_headers, self._frame(body))

    def send_without_body(
        self, status: int, headers: list[Header], length: int | None, reason: bytes | None = None
    ) -> None:
        """Send an answer without a body: to a HEAD request, or with status 204 or 304.

        :param length: length of the body that a GET request would get, if known.
        """
        self._send_head_alone(status, headers, length, reason)
        self.finished = True

    def _send_head_alone(
        self, status: int, headers: list[Header], length: int | None, reason: bytes | None
    ) -> None:
        phrase = REASON_PHRASES.get(status, b"") if reason is None else reason
        all_headers = list(headers)
        if length is not None and status not in BODILESS_STATUSES:
            all_headers.append((b"Content-Length", b"%d" % length))
        self._send_head(status, phrase, all_headers)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data and not self._has_no_body:
            self._send(self._frame(data))

    def keep(self, size: int) -> bool:
        """Count the bytes of the answer that are kept and not sent; return whether they may be."""
        return self._connection.keep(size)

    def finish(self) -> None:
        """Complete the answer.

        :raises ValueError: when fewer body bytes were sent than stated.
        """
        if self._has_no_body:
            self.finished = True
            return
        if self._chunked:
            self._send(b"0\r\n\r\n")
        elif self._remaining_bytes:
            raise ValueError("the answer is shorter than its stated length")
        self.finished = True

    def raise_if_caller_left(self) -> None:
        """Check the connection for a close that has not been noticed yet.

        :raises CallerLeft: when the caller has closed its connection.
        """
        if self._connection.is_closed_by_caller():
            raise CallerLeft("closed")

    def _send_head(
        self, status: int, reason: bytes, headers: list[Header], first_body_bytes: bytes = b""
    ) -> None:
        _check_head(status, reason, headers)
        lines = [b"HTTP/1.1 %d %s" % (status, reason)]
        lines += [b"%s: %s" % header for header in headers]
        lines.append(self._connection.connection_header())
        self.started = True
        self.status = status
        self._send(b"\r\n".join(lines) + b"\r\n\r\n" + first_body_bytes)

    def _frame(self, data: bytes) -> bytes:
        self.sent_bytes += len(data)
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(data)
        if self._chunked and data:
            return b"%x\r\n%s\r\n" % (len(data), data)
        return data

    def _send(self, data: bytes) -> None:
        self._connection.send(data)


def _check_head(status: int, reason: bytes, headers: list[Header]) -> None:
    """Check what a handler gives, which it may have from anybody.

    :raises ValueError: when a caller's parser would refuse it or take it for something else.
    """
    if status not in FINAL_STATUSES:
        raise ValueError(f"no status of an answer: {status}")
    if TEXT.fullmatch(reason) is None:
        raise ValueError(f"invalid reason: {reason!r}")
    for name, value in headers:
        if NAME.fullmatch(name) is None or TEXT.fullmatch(value) is None:
            raise ValueError(f"invalid header: {name!r}")
