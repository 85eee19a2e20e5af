"""Messages of the transport and tagged outcomes of an exchange."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TypeAlias

import attrs

Header: TypeAlias = tuple[bytes, bytes]


@attrs.frozen(slots=True)
class MessageLimits:
    """Bounds on what a caller may send.

    :param head_bytes: request line and headers together.
    :param body_bytes: the body.
    :param head_ms: from a request's first byte to the end of its head.
    :param idle_ms: a kept connection without a byte.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_ms: int = 3_000
    idle_ms: int = 15_000


@attrs.define(slots=True)
class Request:
    """A caller's request, read whole.

    :param target: the raw target as sent; never decoded or normalised, or two readers of the same
        bytes could disagree on where they lead.
    :param headers: names and values in the order in which they came.
    :param arrived_ms: when its first byte came.
    """

    method: bytes
    target: bytes
    version: str
    headers: list[Header]
    body: bytes
    keep_alive: bool
    arrived_ms: int

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of a header.

        :param name: in lower case.
        """
        return [value for key, value in self.headers if key.lower() == name]

    def value(self, name: bytes) -> bytes | None:
        """Return the only value of a header; ``None`` when it is missing or given twice."""
        found = self.values(name)
        return found[0] if len(found) == 1 else None


@attrs.frozen(slots=True)
class AnswerHead:
    """Status and headers of a server's answer.

    :param length: of the body, where it was told.
    :param chunked: whether the body comes in chunks.
    """

    status: int
    reason: bytes
    headers: list[Header]
    length: int | None
    chunked: bool

    def value(self, name: bytes) -> bytes | None:
        """Return the first value of a header.

        :param name: in lower case.
        """
        return next((value for key, value in self.headers if key.lower() == name), None)


@attrs.define(slots=True)
class IncomingAnswer:
    """An answer as it comes in."""

    head: AnswerHead
    pieces: deque[bytes] = attrs.Factory(deque)
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """No whole answer came.

    :param sent: whether the server may have received the request.
    :param refused: whether the server's port refused the connection: no process listens there.
    """

    sent: bool
    reason: str
    refused: bool = False


class BadMessage(Exception):
    """A caller's bytes that are not taken; carries the status that fits."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class BrokenAnswer(Exception):
    """A server's answer that can't be read to its end."""


class CallerLeft(BaseException):
    """Ends a handler whose caller has closed its connection.

    Derives from :class:`BaseException`, so that no handler for ordinary errors swallows it and goes
    on to work for nobody.
    """
