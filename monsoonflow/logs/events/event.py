"""What all events share."""

from __future__ import annotations

import logging
from typing import ClassVar

import attrs

# Only what a log line needs is generated: nobody compares or prints events, and each
# method costs time at every start.
event = attrs.frozen(slots=True, eq=False, repr=False, order=False)


class Event:
    """Something that happened."""

    __slots__ = ()
    LEVEL: ClassVar[int] = logging.INFO
