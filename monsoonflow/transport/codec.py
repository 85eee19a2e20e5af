"""Reads HTTP/1.1 messages strictly; what two readers could understand differently is refused."""

from __future__ import annotations

from collections import deque
from typing import Final

import httptools

from .const import MAX_ANSWER_HEAD_BYTES, MAX_INTERIM_ANSWERS
from .models import (
    AnswerHead,
    BadMessage,
    BrokenAnswer,
    Header,
    Incoming,
    MessageLimits,
    Request,
)

BODILESS: Final = frozenset({204, 304})


class RequestReader:
    """Turns a caller's bytes into whole requests.

    The library refuses conflicting lengths, folded headers, bare line ends and the like; this class
    adds what it lets through (two ``Host`` headers, codings other than ``chunked``, absolute
    targets) and the limits.
    """

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self.ready: deque[Request] = deque()
        self.begun = False
        self.wants_continue = False
        self._now_ms = 0
        self._head_bytes = 0
        self._head_done = False
        self._problem: BadMessage | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target: list[bytes] = []
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._arrived_ms = 0

    @property
    def head_pending(self) -> bool:
        """Tell whether a request has begun whose head is not complete."""
        return self.begun and not self._head_done

    def feed(self, data: bytes, now_ms: int) -> None:
        """Take bytes.

        :raises BadMessage: when they are refused; nothing more may be fed then.
        """
        self._now_ms = now_ms
        was_in_head = not self._head_done
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._problem = self._problem or BadMessage(400, "upgrades are not offered")
        except httptools.HttpParserError as error:
            self._problem = self._problem or BadMessage(400, str(error))
        if self._problem is None and was_in_head and not self._head_done and self.begun:
            self._head_bytes += len(data)
            if self._head_bytes > self.limits.head_bytes:
                self._problem = BadMessage(431, "the head is too large")
        if self._problem is not None:
            raise self._problem

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.begun = True
        self._head_done = False
        self._head_bytes = 0
        self._arrived_ms = self._now_ms
        self._target = []
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_url(self, piece: bytes) -> None:
        """Take a part of the target."""
        self._target.append(piece)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        # Trailers come the same way after the body; they concern one connection only.
        if not self._head_done:
            self._headers.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Take the end of the head."""
        self._head_done = True
        head_bytes = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if head_bytes + sum(map(len, self._target)) > self.limits.head_bytes:
            self._refuse(431, "the head is too large")
        self._check_head()

    def on_body(self, piece: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(piece)
        if self._body_bytes > self.limits.body_bytes:
            self._refuse(413, "the body is too large")
            return
        self._body.append(piece)

    def on_message_complete(self) -> None:
        """Take the end of a message."""
        self.begun = False
        self._head_done = False
        self.wants_continue = False
        if self._problem is not None:
            return
        self.ready.append(
            Request(
                self._parser.get_method(),
                b"".join(self._target),
                self._parser.get_http_version(),
                self._headers,
                b"".join(self._body),
                self._parser.should_keep_alive(),
                self._arrived_ms,
            )
        )

    def _refuse(self, status: int, reason: str) -> None:
        self._problem = self._problem or BadMessage(status, reason)

    def _check_head(self) -> None:
        named: dict[bytes, list[bytes]] = {}
        for name, value in self._headers:
            named.setdefault(name.lower(), []).append(value)
        target = b"".join(self._target)
        hosts = named.get(b"host", [])
        codings = [value.lower() for value in named.get(b"transfer-encoding", [])]
        if len(hosts) != 1 or not hosts[0]:
            self._refuse(400, "exactly one Host header is needed")
        elif not target.startswith(b"/") or b"#" in target:
            self._refuse(400, "the target must be a path")
        elif codings and (codings != [b"chunked"] or self._parser.get_http_version() != "1.1"):
            self._refuse(400, "the only coding taken is chunked")
        elif b"upgrade" in named:
            self._refuse(400, "upgrades are not offered")
        elif self._told_length(named) > self.limits.body_bytes:
            self._refuse(413, "the body is too large")
        self.wants_continue = b"100-continue" in [
            value.lower() for value in named.get(b"expect", [])
        ]

    @staticmethod
    def _told_length(named: dict[bytes, list[bytes]]) -> int:
        told = named.get(b"content-length", [b"0"])[0]
        return int(told) if told.isdigit() else 0


class AnswerReader:
    """Turns a server's bytes into answers, in the order in which they come."""

    def __init__(self) -> None:
        self.messages: deque[Incoming] = deque()
        self.begun = False
        self.keep_alive = False
        self.broken: str | None = None
        self._bodiless = False
        self._interim = 0
        self._head_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: list[Header] = []
        self._head_done = False

    def expect_no_body(self) -> None:
        """Say that the next answer is to a HEAD request."""
        self._bodiless = True

    def feed(self, data: bytes) -> None:
        """Take bytes.

        :raises BrokenAnswer: when they are no answer; what was complete before stays so.
        """
        if self.broken is not None:
            raise BrokenAnswer(self.broken)
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.broken = "the server switched protocols"
        except httptools.HttpParserError as error:
            self.broken = str(error)
        if not self._head_done and self._head_bytes > MAX_ANSWER_HEAD_BYTES + len(data):
            self.broken = "the head never ends"
        if self.broken is not None and not (self.messages and self.messages[0].complete):
            raise BrokenAnswer(self.broken)

    def closed(self) -> None:
        """Take the orderly end of the connection; it completes an answer without a length."""
        if not self.messages:
            return
        last = self.messages[-1]
        if not last.complete and last.head.length is None and not last.head.chunked:
            last.complete = True

    @property
    def clean(self) -> bool:
        """Tell whether nothing came after the answers that were read."""
        return self.broken is None and not self.begun and not self.messages

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.begun = True
        self._head_done = False
        self._reason = b""
        self._headers = []

    def on_status(self, reason: bytes) -> None:
        """Take a part of the reason."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if not self._head_done:
            self._headers.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Take the end of the head."""
        self._head_done = True
        self._head_bytes = 0
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        lengths = [value for name, value in self._headers if name.lower() == b"content-length"]
        codings = [value for name, value in self._headers if name.lower() == b"transfer-encoding"]
        if codings and [coding.lower() for coding in codings] != [b"chunked"]:
            # The head is not taken: no answer begins, and feed reports what is wrong.
            self.broken = "a coding other than chunked"
            return
        length = int(lengths[0]) if lengths and lengths[0].isdigit() else None
        if status in BODILESS or self._bodiless:
            length = 0
        head = AnswerHead(status, self._reason, self._headers, length, bool(codings))
        self.messages.append(Incoming(head, complete=self._bodiless))

    def on_body(self, piece: bytes) -> None:
        """Take a part of the body."""
        if self.messages and not self.messages[-1].complete:
            self.messages[-1].pieces.append(piece)

    def on_message_complete(self) -> None:
        """Take the end of a message."""
        self.begun = False
        self._head_done = False
        if 100 <= self._parser.get_status_code() < 200:
            self._interim += 1
            if self._interim > MAX_INTERIM_ANSWERS:
                self.broken = "too many informational answers"
            return
        if not self.messages:
            return
        self.keep_alive = self._parser.should_keep_alive() and not self._bodiless
        self.messages[-1].complete = True
