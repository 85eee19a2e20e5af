"""The life of this process."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class Started(Event):
    """The process serves."""

    node: str
    boot: str
    callers: str
    peer: str
    cores: float


@event
class Stopping(Event):
    """The word to stop has come."""

    in_progress: int


@event
class Stopped(Event):
    """The process ends."""

    in_progress: int
    took_ms: int


@event
class Reloaded(Event):
    """Changed settings are in force."""

    seeds: str


@event
class UnusableSettings(Event):
    """Changed settings can't be used; the last good ones stay in force."""

    LEVEL: ClassVar[int] = logging.ERROR
    cause: str


@event
class WasFrozen(Event):
    """The process did not run for a while."""

    LEVEL: ClassVar[int] = logging.WARNING
    for_ms: int
