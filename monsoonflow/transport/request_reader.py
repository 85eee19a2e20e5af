"""Strict parser of HTTP/1.1 requests: rejects what two parsers could interpret differently."""

from __future__ import annotations

import re
from collections.abc import Callable
from io import BytesIO
from typing import Final

import httptools

from .const import MIN_BODY_BYTES_PER_S
from .models import BadMessage, HeaderLines, MessageLimits, Request

HEAD_END: Final = b"\r\n\r\n"
LAST_CHUNK_START: Final = b"\r\n0"
LINE_ENDS: Final = re.compile(rb"[\r\n]*")
"""May stand before a request."""

CHECKED_HEADERS: Final = frozenset(
    {b"host", b"transfer-encoding", b"content-length", b"upgrade", b"expect"}
)
REQUEST_FRAME_BYTES: Final = 32
"""Room for the method, the version and the blank line, which the limit of a head leaves out."""


class RequestReader:
    """Parses a caller's bytes into requests, one at a time.

    What follows a complete request is kept as it was received until that request has been taken: a
    parsed request takes many times the size of a short one.

    The library rejects conflicting lengths, folded headers, bare line ends and the like. This class
    also rejects what the library accepts (two ``Host`` headers, transfer codings other than
    ``chunked``, absolute targets) and enforces the limits.

    :param may_hold: returns whether the bytes that were received and not yet released may be held.
    """

    def __init__(
        self, limits: MessageLimits, may_hold: Callable[[int], bool] = lambda _bytes: True
    ) -> None:
        self.limits = limits
        self.has_begun = False
        self.wants_continue = False
        self._may_hold = may_hold
        self._request: Request | None = None
        self._is_busy = False
        self._unparsed = b""
        self._last_bytes = b""
        self._may_be_last_chunk = False
        self._taken_bytes = 0
        self._now_ms = 0
        self._head_bytes = 0
        self._is_head_complete = False
        self._error: BadMessage | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target: list[bytes] = []
        self._headers = BytesIO()
        self._body = BytesIO()
        self._body_bytes = 0
        self._declared_bytes = 0
        self._framing_bytes = 0
        self._arrived_ms = 0

    @property
    def has_request(self) -> bool:
        """Return whether a request is complete and has not been taken."""
        return self._request is not None

    @property
    def unparsed_bytes(self) -> int:
        """Return how many bytes wait behind a complete request."""
        return len(self._unparsed)

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held: of requests taken, complete or begun, and behind them."""
        begun_bytes = self._head_bytes + self._body_bytes if self.has_begun else 0
        complete_bytes = self._request.size if self._request is not None else 0
        return self._taken_bytes + complete_bytes + begun_bytes + len(self._unparsed)

    def deadline_ms(self) -> int:
        """Return when the request that has begun must be complete, as far as it has arrived."""
        if not self._is_head_complete:
            return self._arrived_ms + self.limits.head_ms
        body_ms = self._body_bytes * 1000 // MIN_BODY_BYTES_PER_S
        return self._arrived_ms + self.limits.head_ms + self.limits.idle_ms + body_ms

    def feed(self, data: bytes, now_ms: int) -> None:
        """Take received bytes and parse them up to the end of a request.

        :raises BadMessage: when they are rejected; the reader must not be fed again.
        """
        # What was parsed last comes first, so that a line end is found across two reads.
        window = self._last_bytes + self._unparsed + data
        position = len(self._last_bytes)
        self._unparsed = b""
        while position < len(window) and not self._is_busy:
            if not self.has_begun:
                position = LINE_ENDS.match(window, position).end()
            end = self._end_of_part(window, position)
            if end > position:
                self._parse(window[position:end], now_ms)
            position = end
        self._last_bytes = window[max(0, position - len(HEAD_END) + 1) : position]
        self._unparsed = window[position:]

    def take_request(self) -> Request:
        """Return the complete request; no other is parsed until it is released."""
        request, self._request = self._request, None
        self._taken_bytes = request.size
        return request

    def release_request(self) -> None:
        """Let the next request be parsed: the one that was taken has been answered."""
        self._is_busy = False
        self._taken_bytes = 0

    def close(self) -> None:
        """Drop all that was received; the reader must not be used again.

        The parser and this object refer to each other: what they hold would stay in memory until a
        full garbage collection.
        """
        self._parser = self._request = None
        self._may_hold = lambda _bytes: False
        self._unparsed = b""
        self._target, self._headers, self._body = [], BytesIO(), BytesIO()

    def _end_of_part(self, window: bytes, position: int) -> int:
        """Return up to where bytes can be parsed without those of a next request."""
        left_bytes = self._declared_bytes - self._body_bytes
        if self._is_head_complete and left_bytes > 0:
            return min(len(window), position + left_bytes)
        if self._is_head_complete:
            return self._end_of_chunks(window, position)
        found = window.find(HEAD_END, max(0, position - len(HEAD_END) + 1))
        end = found + len(HEAD_END) if found >= 0 else len(window)
        most_bytes = self.limits.head_bytes + REQUEST_FRAME_BYTES + 1
        begun_bytes = self._head_bytes if self.has_begun else 0
        return min(end, position + most_bytes - begun_bytes)

    def _end_of_chunks(self, window: bytes, position: int) -> int:
        """Return where a chunked body may end: at the first blank line after a chunk without data.

        What looks like one inside a chunk only divides the bytes once more than needed.
        """
        search_from = max(0, position - len(HEAD_END) + 1)
        if not self._may_be_last_chunk:
            found = window.find(LAST_CHUNK_START, max(0, position - len(LAST_CHUNK_START) + 1))
            if found < 0:
                return len(window)
            self._may_be_last_chunk = True
            search_from = found + len(LAST_CHUNK_START)
        found = window.find(HEAD_END, search_from)
        if found < 0:
            return len(window)
        self._may_be_last_chunk = False
        return found + len(HEAD_END)

    def _parse(self, data: bytes, now_ms: int) -> None:
        self._now_ms = now_ms
        was_in_head = not self._is_head_complete
        body_bytes = self._body_bytes
        if was_in_head:
            self._head_bytes = len(data) + (self._head_bytes if self.has_begun else 0)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrades are not offered")
        except httptools.HttpParserError as error:
            self._refuse(400, str(error))
        if was_in_head and self.has_begun:
            self._check_head_size()
        has_progressed = was_in_head or self._body_bytes != body_bytes or not self.has_begun
        self._framing_bytes = 0 if has_progressed else self._framing_bytes + len(data)
        if self._framing_bytes > self.limits.head_bytes:
            self._refuse(431, "too many bytes beside the body")
        if self._error is None and not self._may_hold(self.held_bytes):
            self._refuse(503, "too many bytes of requests are held")
        if self._error is not None:
            raise self._error

    def on_message_begin(self) -> None:
        """Handle the start of a request."""
        self.has_begun = True
        self._is_head_complete = False
        self._arrived_ms = self._now_ms
        self._target = []
        self._headers = BytesIO()
        self._body = BytesIO()
        self._body_bytes = 0
        self._declared_bytes = 0
        self._may_be_last_chunk = False

    def on_url(self, piece: bytes) -> None:
        """Handle a part of the request target."""
        self._target.append(piece)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header."""
        # Trailers are also reported here, after the body. They concern one connection only.
        if not self._is_head_complete:
            self._headers.write(b"%s:%s\n" % (name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        self._is_head_complete = True
        self._check_head_size()
        self._check_head()

    def on_body(self, piece: bytes) -> None:
        """Handle a part of the body."""
        self._body_bytes += len(piece)
        if self._body_bytes > self.limits.body_bytes:
            self._refuse(413, "the body is too large")
            return
        # One buffer: an object for each piece would take many times the size of small pieces.
        self._body.write(piece)

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        self.has_begun = False
        self._is_head_complete = False
        self.wants_continue = False
        if self._error is not None:
            return
        self._is_busy = True
        self._request = Request(
            self._parser.get_method(),
            b"".join(self._target),
            self._parser.get_http_version(),
            HeaderLines(self._headers.getvalue()),
            self._body.getvalue(),
            self._parser.should_keep_alive(),
            self._arrived_ms,
        )
        self._target, self._headers, self._body = [], BytesIO(), BytesIO()

    def _refuse(self, status: int, reason: str) -> None:
        self._error = self._error or BadMessage(status, reason)

    def _check_head_size(self) -> None:
        if self._head_bytes > self.limits.head_bytes + REQUEST_FRAME_BYTES:
            self._refuse(431, "the head is too large")

    def _check_head(self) -> None:
        values_by_name: dict[bytes, list[bytes]] = {}
        for name, value in HeaderLines(self._headers.getvalue()):
            key = name.lower()
            if key in CHECKED_HEADERS:
                values_by_name.setdefault(key, []).append(value)
        target = b"".join(self._target)
        hosts = values_by_name.get(b"host", [])
        codings = [value.lower() for value in values_by_name.get(b"transfer-encoding", [])]
        self._declared_bytes = self._declared_length(values_by_name)
        if len(hosts) != 1 or not hosts[0]:
            self._refuse(400, "exactly one Host header is needed")
        elif not target.startswith(b"/") or b"#" in target:
            self._refuse(400, "the target must be a path")
        elif codings and (codings != [b"chunked"] or self._parser.get_http_version() != "1.1"):
            self._refuse(400, "the only coding taken is chunked")
        elif b"upgrade" in values_by_name:
            self._refuse(400, "upgrades are not offered")
        elif self._declared_bytes > self.limits.body_bytes:
            self._refuse(413, "the body is too large")
        self.wants_continue = b"100-continue" in [
            value.lower() for value in values_by_name.get(b"expect", [])
        ]

    @staticmethod
    def _declared_length(values_by_name: dict[bytes, list[bytes]]) -> int:
        declared = values_by_name.get(b"content-length", [b"0"])[0]
        return int(declared) if declared.isdigit() else 0
