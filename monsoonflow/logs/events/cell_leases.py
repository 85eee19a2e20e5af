"""Events of cell leases: a lease holder schedules the runners of one cell.

The names of the events call a cell lease a duty.
"""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class PlanFailed(Event):
    """A bug made a plan fail: waiting requests are sent again, and the scheduler starts anew."""

    LEVEL: ClassVar[int] = logging.ERROR
    cell: str
    cause: str


@event
class DutyWon(Event):
    """The node acquired a cell lease; ``before`` is the previous holder."""

    cell: str
    epoch: int
    before: str | None = None


@event
class DutyInherited(Event):
    """The node, a standby, continues for a silent lease holder while the store is unreachable."""

    LEVEL: ClassVar[int] = logging.WARNING
    cell: str
    epoch: int
    before: str


@event
class DutyLost(Event):
    """The node lost a cell lease and sends no more orders to the cell's runners."""

    cell: str
    epoch: int
    cause: str


@event
class DutyReleased(Event):
    """The node wrote the release of a cell lease to the store; ``result`` is the outcome."""

    cell: str
    epoch: int
    result: str
    cause: str | None = None


@event
class RenewalFailed(Event):
    """A cell lease could not be renewed in the store."""

    LEVEL: ClassVar[int] = logging.WARNING
    cell: str
    cause: str
