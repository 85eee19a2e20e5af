"""Connections of the HTTP library that refuse answers which are not valid.

The library passes over a header that it can't read and all that follow it, the length among them.
It ignores that the connection broke while a request was being sent, and reads without bounds.
"""

from __future__ import annotations

from http.client import HTTPException, HTTPResponse
from typing import Any, Final

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.exceptions import HeaderParsingError
from urllib3.util.response import assert_header_parsing

from .http_syntax import FINAL_STATUSES, NAME, TEXT
from .tcp import unacknowledged_bytes

VERSIONS: Final = (b"HTTP/1.1 ", b"HTTP/1.0 ")
VERSION_WITHOUT_CODINGS: Final = 10
"""How the library writes HTTP/1.0."""

INFORMATIONAL_STATUSES: Final = range(102, 200)
"""Statuses of answers that another one follows, but for those that the library knows."""

SUCCESSES: Final = range(200, 300)

MAX_ANSWER_BYTES: Final = 64 << 20
"""Maximum size of an answer: a list of 180,000 adapters takes some 30 MB."""

MAX_FRAMING_BYTES: Final = 65_536
"""Maximum bytes of heads, chunk extensions or trailer fields in a row; nobody needs more."""

LINE_BYTES: Final = 64
"""What a line counts beside its bytes: each chunk is an object, however short it is."""


class InvalidAnswer(HTTPException):
    """Raised for an answer that is not valid HTTP."""


class UnreadRequest(HTTPException):
    """Raised for a success that is stated before the server can have read the whole request."""


class _BoundedFile:
    """What is received on a connection, up to the bounds of an answer.

    The library reads lines and bodies to their end, which a faulty server may never send.

    :ivar first_line: the status line; the library does not tell all versions from each other.
    """

    def __init__(self, file: Any) -> None:
        self._file = file
        self._answer_bytes = 0
        self._framing_bytes = 0
        self.first_line = b""

    def __getattr__(self, name: str) -> Any:
        """Return what does not read."""
        return getattr(self._file, name)

    def readline(self, limit: int = -1) -> bytes:
        """Read a line of a head, of a chunk's size or of the trailer."""
        most = MAX_FRAMING_BYTES + 1
        line = self._file.readline(most if limit < 0 else min(limit, most))
        self.first_line = self.first_line or line
        self._framing_bytes += len(line)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise InvalidAnswer(f"more than {MAX_FRAMING_BYTES} bytes beside the body")
        self._count(len(line) + LINE_BYTES)
        return line

    def read(self, size: int | None = -1) -> bytes:
        """Read a part of the body, or all of it."""
        most = MAX_ANSWER_BYTES + 1 - self._answer_bytes
        data = self._file.read(most if size is None or size < 0 else min(size, most))
        self._framing_bytes = 0
        self._count(len(data))
        return data

    def read1(self, size: int = -1) -> bytes:
        """Read what has been received of the body."""
        data = self._file.read1(size)
        self._framing_bytes = 0
        self._count(len(data))
        return data

    def readinto(self, buffer: Any) -> int:
        """Read a part of the body into a buffer."""
        size = self._file.readinto(buffer)
        self._framing_bytes = 0
        self._count(size)
        return size

    def _count(self, size: int) -> None:
        self._answer_bytes += size
        if self._answer_bytes > MAX_ANSWER_BYTES:
            raise InvalidAnswer(f"an answer of more than {MAX_ANSWER_BYTES} bytes")


class _Response(HTTPResponse):
    """An answer whose head is checked.

    :param is_request_sent: whether the kernel has taken the whole request without an error.
    """

    def __init__(self, *arguments: Any, is_request_sent: bool, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.fp = _BoundedFile(self.fp)
        self._is_request_sent = is_request_sent

    def begin(self) -> None:
        """Read and check the head.

        :raises InvalidAnswer: when it is not valid.
        :raises UnreadRequest: when it states a success of a request that can't have been read.
        """
        super().begin()
        while self.status in INFORMATIONAL_STATUSES:
            # The library passes over 100 alone. It reads a head only where it has none yet.
            self.headers = None
            super().begin()
        error = self._status_line_error() or self._headers_error() or self._framing_error()
        if error is not None:
            raise InvalidAnswer(error)
        is_read = self._is_request_sent and unacknowledged_bytes(self.fileno()) == 0
        if self.status in SUCCESSES and not is_read:
            raise UnreadRequest(f"status {self.status} before the whole request was received")

    def _status_line_error(self) -> str | None:
        if not self.fp.first_line.startswith(VERSIONS):
            return f"not an answer of HTTP/1.1: {self.fp.first_line[:20]!r}"
        if self.status not in FINAL_STATUSES:
            return f"no status of an answer: {self.status}"
        if TEXT.fullmatch(self.reason.encode("latin-1")) is None:
            return "a control byte in the reason"
        return None

    def _headers_error(self) -> str | None:
        try:
            assert_header_parsing(self.headers)
        except HeaderParsingError as error:
            return str(error)
        if self.headers.get_unixfrom() is not None:
            return "a line of a mailbox"
        for name, value in self.headers.items():
            if NAME.fullmatch(name.encode("latin-1")) is None:
                return f"invalid name: {name!r}"
            if TEXT.fullmatch(value.encode("latin-1")) is None:
                return f"invalid value of {name}"
        return None

    def _framing_error(self) -> str | None:
        lengths = set(self.headers.get_all("content-length", ()))
        codings = [coding.lower() for coding in self.headers.get_all("transfer-encoding", ())]
        if len(lengths) > 1 or not all(one.isascii() and one.isdigit() for one in lengths):
            return "no length of a body"
        if codings and (codings != ["chunked"] or lengths):
            return "the transfer coding is not chunked alone"
        if codings and self.version == VERSION_WITHOUT_CODINGS:
            return "a transfer coding that this version does not have"
        return None


class _CheckedConnection:
    """Makes a connection of the library check the answers that it reads."""

    _is_request_sent = True

    def request(self, *arguments: Any, **options: Any) -> None:
        """Send a request; the library reads its answer also if that fails."""
        self._is_request_sent = False
        super().request(*arguments, **options)
        self._is_request_sent = True

    def response_class(self, *arguments: Any, **options: Any) -> _Response:
        """Return the object that reads the answer; called by the library."""
        return _Response(*arguments, is_request_sent=self._is_request_sent, **options)


class _PlainConnection(_CheckedConnection, HTTPConnection):
    """A checked connection over TCP."""


class _TlsConnection(_CheckedConnection, HTTPSConnection):
    """A checked connection over TLS."""


class _PlainPool(urllib3.HTTPConnectionPool):
    """Checked connections over TCP to one server."""

    ConnectionCls = _PlainConnection


class _TlsPool(urllib3.HTTPSConnectionPool):
    """Checked connections over TLS to one server."""

    ConnectionCls = _TlsConnection


def new_pool_manager(**options: Any) -> urllib3.PoolManager:
    """Return pools of connections that refuse invalid answers."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": _PlainPool, "https": _TlsPool}
    return manager
