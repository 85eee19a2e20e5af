"""The other nodes, and whom callers are sent to."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class PeerHeard(Event):
    """Another node is heard, for the first time or again."""

    peer: str
    boot: str


@event
class PeerSilent(Event):
    """Another node is not heard any more."""

    peer: str
    age_ms: int | None


@event
class CallersNamed(Event):
    """Other nodes than before are named to the callers of a data centre."""

    data_centre: str
    named: int
    of: int
    came: int
    gone: int


@event
class CardWritten(Event):
    """The node's card is in the store."""

    node: str


@event
class CardRemoved(Event):
    """The card of a node that is long gone was removed."""

    node: str


@event
class LearntFromPeer(Event):
    """Another node told what the store can't tell now."""

    address: str


@event
class ReportTooLarge(Event):
    """The node's report does not fit a datagram."""

    LEVEL: ClassVar[int] = logging.WARNING
    bytes: int


@event
class ReportUnsent(Event):
    """A report could not be sent."""

    LEVEL: ClassVar[int] = logging.DEBUG
    to: str
    cause: str


@event
class ReportUnread(Event):
    """A datagram could not be received."""

    LEVEL: ClassVar[int] = logging.DEBUG
    cause: str


@event
class UnreadableDatagram(Event):
    """A datagram from another node could not be read; told once for each sender."""

    LEVEL: ClassVar[int] = logging.WARNING
    sender: str
    bytes: int
