"""Events of requests that crash servers."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class ServerEnded(Event):
    """A server crashed while ``had`` requests of this node were in progress there."""

    LEVEL: ClassVar[int] = logging.WARNING

    server: str
    had: int
    requests: str


@event
class RequestQuarantined(Event):
    """A request is quarantined: servers crashed while processing it, so it is not sent again."""

    # A ``fingerprint`` that begins with ``part:`` names parts of prompts instead.

    LEVEL: ClassVar[int] = logging.WARNING

    fingerprint: str
    servers: str | None
    source: str


@event
class QuarantineLifted(Event):
    """A request left quarantine and may be sent to servers again."""

    fingerprint: str
    cause: str
