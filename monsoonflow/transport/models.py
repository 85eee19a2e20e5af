"""Messages, results and exceptions of the transport."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

import attrs

Header: TypeAlias = tuple[bytes, bytes]


@attrs.frozen(slots=True)
class MessageLimits:
    """Limits for what a caller may send.

    :param head_bytes: maximum size of request line and headers together.
    :param body_bytes: maximum size of the body.
    :param head_ms: longest time from a request's first byte to the end of its head.
    :param idle_ms: longest time that a keep-alive connection may be idle.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_ms: int = 3_000
    idle_ms: int = 15_000


class HeaderLines:
    """The headers of a message in the order in which they were sent, kept as bytes.

    An object for each name and value would take up to a hundred times the size of short lines, for
    as long as the request waits. Names hold no colon and values no line end, as the parser checks.

    >>> lines = HeaderLines.of([(b"Host", b"h"), (b"a", b"")])
    >>> list(lines), len(lines), lines.size
    ([(b'Host', b'h'), (b'a', b'')], 2, 10)

    :param raw: the lines, each ``NAME:VALUE`` and a line feed.
    """

    __slots__ = ("_raw",)

    def __init__(self, raw: bytes) -> None:
        self._raw = raw

    @classmethod
    def of(cls, headers: Iterable[Header]) -> HeaderLines:
        """Return the lines of some headers."""
        return cls(b"".join(b"%s:%s\n" % header for header in headers))

    @property
    def size(self) -> int:
        """Return how many bytes are kept."""
        return len(self._raw)

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of a header.

        :param name: in lower case.
        """
        if name + b":" not in self._raw.lower():
            return []
        return [value for key, value in self if key.lower() == name]

    def __len__(self) -> int:
        return self._raw.count(b"\n")

    def __iter__(self) -> Iterator[Header]:
        for line in self._raw.split(b"\n")[:-1]:
            name, _, value = line.partition(b":")
            yield name, value


def _to_header_lines(headers: HeaderLines | Iterable[Header]) -> HeaderLines:
    return headers if isinstance(headers, HeaderLines) else HeaderLines.of(headers)


@attrs.define(slots=True)
class Request:
    """A caller's complete request.

    :param target: the raw target as sent; never decoded or normalised, because two parsers could
        then disagree on which resource it names.
    :param headers: names and values in the order in which they were sent.
    :param arrived_ms: when its first byte was received.
    """

    method: bytes
    target: bytes
    version: str
    headers: HeaderLines = attrs.field(converter=_to_header_lines)
    body: bytes
    keep_alive: bool
    arrived_ms: int

    @property
    def size(self) -> int:
        """Return how many bytes of memory the request takes, but for some fixed ones."""
        return len(self.target) + self.headers.size + len(self.body)

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of a header.

        :param name: in lower case.
        """
        return self.headers.values(name)

    def value(self, name: bytes) -> bytes | None:
        """Return the single value of a header; ``None`` when it is missing or repeated."""
        found = self.values(name)
        return found[0] if len(found) == 1 else None


class Framing(StrEnum):
    """How the end of an answer's body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


@attrs.frozen(slots=True)
class AnswerHead:
    """Status and headers of a server's answer.

    :param length: length of the body in bytes, if stated.
    :param chunked: whether the body uses chunked transfer coding.
    """

    status: int
    reason: bytes
    headers: HeaderLines = attrs.field(converter=_to_header_lines)
    length: int | None
    chunked: bool

    @property
    def framing(self) -> Framing:
        """Return how the end of the body is marked."""
        if self.chunked:
            return Framing.CHUNKED
        return Framing.LENGTH if self.length is not None else Framing.CONNECTION

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection marks the end of the body."""
        return self.framing is Framing.CONNECTION

    def value(self, name: bytes) -> bytes | None:
        """Return the first value of a header.

        :param name: in lower case.
        """
        return next(iter(self.headers.values(name)), None)

    def values(self, name: bytes) -> list[bytes]:
        """Return all values of a header.

        :param name: in lower case.
        """
        return self.headers.values(name)


@attrs.define(slots=True)
class IncomingAnswer:
    """An answer that is being received.

    :param pieces: parts of the body that were received and not yet read.
    """

    head: AnswerHead
    pieces: deque[bytes] = attrs.Factory(deque)
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """The result of a request without a complete answer.

    :param sent: whether the server may have received the request.
    :param refused: whether the connection was refused: no process listens at the address.
    """

    sent: bool
    reason: str
    refused: bool = False


class BadMessage(Exception):
    """Raised for a caller's bytes that are rejected; carries the status of the answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class BrokenAnswer(Exception):
    """Raised when a server's answer is invalid or incomplete."""


class TooManyBytes(BrokenAnswer):
    """Raised when a server sends more than a bound allows, maybe without end.

    :ivar bound: what was exceeded.
    """

    def __init__(self, bound: str, max_bytes: int) -> None:
        super().__init__(f"{bound} exceeds {max_bytes} bytes")
        self.bound = bound
        self.max_bytes = max_bytes


class CallerLeft(BaseException):
    """Raised in a handler whose caller has closed the connection.

    Derives from :class:`BaseException`, so that no ``except Exception`` catches it and continues to
    work on a request that nobody waits for.
    """
