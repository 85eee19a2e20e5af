"""Events of peers, node records, heartbeats and the nodes advertised to callers."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class PeerHeard(Event):
    """Heartbeats of a peer arrive, for the first time or again."""

    peer: str
    boot: str


@event
class PeerSilent(Event):
    """Heartbeats of a peer no longer arrive; the last one is ``age_ms`` old."""

    peer: str
    age_ms: int | None


@event
class CallersNamed(Event):
    """The set of nodes advertised to the callers of a data centre changed."""

    # Of ``of`` nodes, ``named`` are advertised now; ``came`` were added and ``gone`` removed.

    data_centre: str
    named: int
    of: int
    came: int
    gone: int


@event
class CardWritten(Event):
    """The node wrote its node record to the store."""

    node: str


@event
class CardRemoved(Event):
    """The record of a node that departed long ago was removed from the store."""

    node: str


@event
class LearntFromPeer(Event):
    """A peer sent its snapshot of the store's rows while the store was unreachable."""

    address: str


@event
class ReportTooLarge(Event):
    """The node's heartbeat does not fit into a datagram and was not sent."""

    LEVEL: ClassVar[int] = logging.WARNING
    bytes: int


@event
class ReportUnsent(Event):
    """A heartbeat datagram could not be sent."""

    LEVEL: ClassVar[int] = logging.DEBUG
    to: str
    cause: str


@event
class UnusableCustomerUsage(Event):
    """A peer announced an invalid or impossible usage of a customer; logged once for each peer."""

    LEVEL: ClassVar[int] = logging.WARNING
    peer: str


@event
class ReportUnread(Event):
    """Receiving a heartbeat datagram failed."""

    LEVEL: ClassVar[int] = logging.DEBUG
    cause: str


@event
class UnreadableDatagram(Event):
    """A datagram could not be decoded; logged once for each sender."""

    LEVEL: ClassVar[int] = logging.WARNING
    sender: str
    bytes: int
