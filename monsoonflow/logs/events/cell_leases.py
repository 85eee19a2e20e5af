"""Who holds the duty of a cell."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class DutyWon(Event):
    """The node gives the orders to a cell's runners from here on."""

    cell: str
    epoch: int
    before: str | None = None


@event
class DutyInherited(Event):
    """The node goes on in a silent holder's place while the store is lost."""

    LEVEL: ClassVar[int] = logging.WARNING
    cell: str
    epoch: int
    before: str


@event
class DutyLost(Event):
    """The node gives no more orders."""

    cell: str
    epoch: int
    cause: str


@event
class DutyReleased(Event):
    """The duty was given up in the store."""

    cell: str
    epoch: int
    result: str


@event
class RenewalFailed(Event):
    """The duty could not be renewed."""

    LEVEL: ClassVar[int] = logging.WARNING
    cell: str
    cause: str
