"""Strict parser of HTTP/1.1 answers."""

from __future__ import annotations

import re
from collections import deque
from io import BytesIO
from typing import Final

import httptools

from ..helpers.http_syntax import STATUSES, TEXT
from .const import (
    BODILESS_STATUSES,
    MAX_ANSWER_HEAD_BYTES,
    MAX_FRAMING_BYTES,
    MAX_INTERIM_ANSWERS,
)
from .models import AnswerHead, BrokenAnswer, HeaderLines, IncomingAnswer, TooManyBytes

PROTOCOL: Final = b"HTTP/"
VERSION_WITHOUT_CODINGS: Final = "1.0"
VERSIONS: Final = frozenset({VERSION_WITHOUT_CODINGS, "1.1"})
FINAL_START: Final = b"HTTP/1.1 2"
START_BYTES: Final = len(FINAL_START)
"""Up to the first digit of the status, which tells whether another answer follows."""

LINE_END: Final = b"\r\n"
LINE_ENDS: Final = re.compile(rb"[\r\n]*")
"""May stand before an answer."""


class AnswerReader:
    """Parses a server's bytes into answers, in the order of arrival.

    The library rejects invalid names and values of headers, conflicting lengths and the like. This
    class also rejects what the library accepts: other protocols, statuses that do not exist,
    control bytes in the reason, and chunks of HTTP/1.0.
    """

    def __init__(self) -> None:
        self.answers: deque[IncomingAnswer] = deque()
        self.has_begun = False
        self.keep_alive = False
        self.error: str | None = None
        self._too_many: TooManyBytes | None = None
        self._is_head_request = False
        self._interim_count = 0
        self._head_bytes = 0
        self._framing_bytes = 0
        self._has_progressed = False
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers = BytesIO()
        self._is_head_complete = False
        self._start = b""

    def expect_no_body(self) -> None:
        """Declare that the next answer is to a HEAD request and has no body."""
        self._is_head_request = True

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises BrokenAnswer: when they are not a valid answer and none was complete before them.
        """
        if self.error is not None:
            raise BrokenAnswer(self.error)
        if not self._is_head_complete:
            self._head_bytes += len(data)
        self._has_progressed = False
        try:
            self._parse(data)
        except httptools.HttpParserUpgrade:
            self.error = "the server switched protocols"
        except httptools.HttpParserError as error:
            self.error = str(error)
        if not self._is_head_complete and self._head_bytes > MAX_ANSWER_HEAD_BYTES + len(data):
            self._too_many = TooManyBytes("the head", MAX_ANSWER_HEAD_BYTES)
        is_framing = self._is_head_complete and not self._has_progressed
        self._framing_bytes = self._framing_bytes + len(data) if is_framing else 0
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._too_many = TooManyBytes("what is sent beside the body", MAX_FRAMING_BYTES)
        if self._too_many is not None:
            self.error = str(self._too_many)
        if self.error is not None and not (self.answers and self.answers[0].is_complete):
            raise self._too_many or BrokenAnswer(self.error)

    def _parse(self, data: bytes) -> None:
        """Parse bytes, those of informational answers apart from what is behind them."""
        position = 0
        while position < len(data) and self.error is None:
            if not self.has_begun:
                position = LINE_ENDS.match(data, position).end()
            end = self._end_of_part(data, position)
            if not self._start.startswith(PROTOCOL[: len(self._start)]):
                self.error = "not an answer of HTTP"
                return
            self._parser.feed_data(data[position:end])
            position = end

    def _end_of_part(self, data: bytes, position: int) -> int:
        """Return up to where bytes can be parsed without those of an answer behind them.

        The library does not tell the name of the protocol, nor where in the bytes an answer begins.
        """
        if len(self._start) < START_BYTES:
            self._start += data[position : position + START_BYTES - len(self._start)]
        if self._start[START_BYTES - 1 :] not in (b"", b"1"):
            return len(data)
        # The first line may have begun in earlier bytes, and the blank line may be split.
        if position == 0 or data.startswith(LINE_END, position):
            found, length = data.find(b"\n", position), 1
        else:
            found, length = data.find(2 * LINE_END, position), 2 * len(LINE_END)
        return found + length if found >= 0 else len(data)

    def handle_eof(self) -> None:
        """Handle an orderly close of the connection; it completes an answer without a length."""
        if not self.answers:
            return
        last = self.answers[-1]
        if not last.is_complete and last.head.length is None and not last.head.chunked:
            last.is_complete = True

    @property
    def is_clean(self) -> bool:
        """Return whether nothing was received after the answers that were read."""
        return self.error is None and not self.has_begun and not self.answers

    def on_message_begin(self) -> None:
        """Handle the start of an answer."""
        self.has_begun = True
        if not self._start:
            # Behind a final answer in the same bytes: its start can't be told from the other's end.
            self._start = FINAL_START
        self._is_head_complete = False
        self._reason = b""
        self._headers = BytesIO()

    def on_status(self, reason: bytes) -> None:
        """Handle a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header."""
        if not self._is_head_complete:
            self._headers.write(b"%s:%s\n" % (name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        self._is_head_complete = True
        self._has_progressed = True
        self._head_bytes = 0
        status = self._parser.get_status_code()
        self.error = self._status_line_error(status)
        if self.error is not None or status < 200:
            return
        headers = HeaderLines(self._headers.getvalue())
        lengths = [value for name, value in headers if name.lower() == b"content-length"]
        codings = [value for name, value in headers if name.lower() == b"transfer-encoding"]
        self.error = self._coding_error(codings)
        if self.error is not None:
            # No answer is added, so that feed() raises the error.
            return
        length = int(lengths[0]) if lengths and lengths[0].isdigit() else None
        if status in BODILESS_STATUSES or self._is_head_request:
            length = 0
        head = AnswerHead(status, self._reason, headers, length, bool(codings))
        self.answers.append(IncomingAnswer(head, is_complete=self._is_head_request))

    def _status_line_error(self, status: int) -> str | None:
        version = self._parser.get_http_version()
        if version not in VERSIONS:
            return f"the answer's version is {version}"
        if status not in STATUSES:
            return f"status {status:03d} does not exist"
        if TEXT.fullmatch(self._reason) is None:
            return "a control byte in the reason"
        return None

    def _coding_error(self, codings: list[bytes]) -> str | None:
        if not codings:
            return None
        if [coding.lower() for coding in codings] != [b"chunked"]:
            return "the transfer coding is not chunked"
        if self._parser.get_http_version() == VERSION_WITHOUT_CODINGS:
            return "a transfer coding that this version does not have"
        return None

    def on_body(self, piece: bytes) -> None:
        """Handle a part of the body."""
        self._has_progressed = True
        if self.answers and not self.answers[-1].is_complete:
            self.answers[-1].pieces.append(piece)

    def on_message_complete(self) -> None:
        """Handle the end of an answer."""
        self.has_begun = False
        self._start = b""
        self._is_head_complete = False
        if 100 <= self._parser.get_status_code() < 200:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_ANSWERS:
                self.error = "too many informational answers"
            return
        if not self.answers:
            return
        self.keep_alive = self._parser.should_keep_alive() and not self._is_head_request
        self.answers[-1].is_complete = True
