"""Requests under which servers end."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class ServerEnded(Event):
    """A server has ended with requests of this node in progress."""

    LEVEL: ClassVar[int] = logging.WARNING

    server: str
    had: int
    requests: str


@event
class RequestQuarantined(Event):
    """Servers ended under a request: it is sent to none any more."""

    LEVEL: ClassVar[int] = logging.WARNING

    fingerprint: str
    servers: str | None
    source: str


@event
class QuarantineLifted(Event):
    """A request may reach servers again."""

    fingerprint: str
    cause: str
