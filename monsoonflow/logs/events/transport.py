"""Connections and what can not be read on them."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class BadMessage(Event):
    """A caller's bytes were refused; nothing of them was passed on."""

    status: int
    cause: str


@event
class NotBound(Event):
    """An address can't be listened at."""

    LEVEL: ClassVar[int] = logging.ERROR
    address: str
    cause: str


@event
class HandlerFailed(Event):
    """A fault of this program ended a request."""

    LEVEL: ClassVar[int] = logging.ERROR
    address: str
    cause: str


@event
class LinesSuppressed(Event):
    """Lines of one kind were left out at overload."""

    kind: str
    cause: str
    count: int


@event
class LogLinesDropped(Event):
    """The log's reader was too slow."""

    LEVEL: ClassVar[int] = logging.WARNING
    lines: int
    levels: str
