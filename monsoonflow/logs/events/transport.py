"""Events of connections, malformed messages and log lines that were not written."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class BadMessage(Event):
    """A caller's message was malformed and refused; nothing of it was forwarded."""

    status: int
    cause: str


@event
class TooManyBytes(Event):
    """A server sent more than ``bound`` allows, maybe without end; the connection is closed."""

    address: str
    bound: str
    max_bytes: int


@event
class SlowCallerEnded(Event):
    """A caller that reads too slowly was cut off, since too many bytes of answers are held."""

    # ``held_bytes`` are those that are held for all other callers, ``ended`` counts such callers
    # since the process started.

    address: str
    held_bytes: int
    ended: int


@event
class NotBound(Event):
    """Binding a listening address failed."""

    LEVEL: ClassVar[int] = logging.ERROR
    address: str
    cause: str


@event
class HandlerFailed(Event):
    """An exception in a request handler ended a request."""

    LEVEL: ClassVar[int] = logging.ERROR
    address: str
    cause: str


@event
class LinesSuppressed(Event):
    """Repeated log lines of one kind and cause were left out."""

    kind: str
    cause: str
    count: int


@event
class LogLinesDropped(Event):
    """Log lines were dropped because standard output was read too slowly."""

    LEVEL: ClassVar[int] = logging.WARNING
    lines: int
    levels: str
