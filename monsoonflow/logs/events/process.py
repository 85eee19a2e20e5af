"""Events of this process: start, stop, settings and suspension."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class Started(Event):
    """The process started and accepts requests."""

    node: str
    boot: str
    callers: str
    peer: str
    cores: float


@event
class Stopping(Event):
    """The process was asked to stop; ``in_progress`` counts the callers' active requests."""

    in_progress: int


@event
class Stopped(Event):
    """The process exits."""

    in_progress: int
    took_ms: int


@event
class Reloaded(Event):
    """Changed settings were loaded."""

    seeds: str


@event
class UnusableSettings(Event):
    """Changed settings are invalid; the last valid ones stay in use."""

    LEVEL: ClassVar[int] = logging.ERROR
    cause: str


@event
class WasFrozen(Event):
    """The process was suspended for ``for_ms`` milliseconds."""

    LEVEL: ClassVar[int] = logging.WARNING
    for_ms: int
