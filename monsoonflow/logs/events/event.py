"""The base class and the decorator of all events."""

from __future__ import annotations

import logging
from typing import ClassVar

import attrs

# Only the methods that a log line needs are generated: events are never compared or printed, and
# generating each method takes time at every start of the process.
event = attrs.frozen(slots=True, eq=False, repr=False, order=False)


class Event:
    """Base class of log events; ``LEVEL`` is the log level."""

    __slots__ = ()
    LEVEL: ClassVar[int] = logging.INFO
