"""Every event that entry nodes log, with its fields; the one place that knows them.

Times are in milliseconds. ``cause`` tells in words why; ``left_ms`` is the time that a request
still has, ``took_ms`` the time since it arrived.
"""

from __future__ import annotations

import logging
from typing import ClassVar

import attrs

# Only what a log line needs is generated: nobody compares or prints events, and each
# method costs time at every start.
_event = attrs.frozen(slots=True, eq=False, repr=False, order=False)


class Event:
    """Something that happened."""

    __slots__ = ()
    LEVEL: ClassVar[int] = logging.INFO


@_event
class RequestAccepted(Event):
    """A caller's request was read whole and has a route."""

    request: str
    route: str
    service: str
    adapter: str | None
    config: int
    priority: int
    deadline_ms: int | None
    left_ms: int
    tried_before_ms: int = 0


@_event
class RequestSent(Event):
    """A request goes to a server."""

    # At a model runner ``version`` is the adapter's that it is believed to hold, ``expect_version``
    # the one without which it shall refuse; ``unread_tokens`` are to be read there before the
    # request's own, and ``expected_ms`` is the time until its first event.

    request: str
    server: str
    attempt: int
    why: str
    left_ms: int
    rank: int | None = None
    version: int | None = None
    expect_version: int | None = None
    unread_tokens: int | None = None
    expected_ms: int | None = None
    after_event: str | None = None


@_event
class ServerRefused(Event):
    """A server said that it did not run a request."""

    request: str
    server: str
    cause: str
    moved: bool
    retry_after_ms: int | None = None


@_event
class TryFailed(Event):
    """A try of a request did not end well."""

    request: str
    server: str
    cause: str
    may_have_run: bool
    again: bool
    took_ms: int


@_event
class RequestWaited(Event):
    """A request has waited for a place for its adapter."""

    request: str
    adapter: str
    holder: str | None
    result: str
    waited_ms: int


@_event
class RequestEnded(Event):
    """A request's story here is over."""

    request: str
    outcome: str
    route: str
    adapter: str | None
    status: int | None
    bytes: int
    first_ms: int | None
    took_ms: int
    left_ms: int
    tried: str | None = None
    cause: str | None = None


@_event
class LinesSuppressed(Event):
    """Lines of one kind were left out at overload."""

    kind: str
    cause: str
    count: int


@_event
class BadMessage(Event):
    """A caller's bytes were refused; nothing of them was passed on."""

    status: int
    cause: str


@_event
class ServerCame(Event):
    """A backend server is new."""

    server: str
    service: str
    address: str


@_event
class ServerLeaves(Event):
    """A backend server gets nothing new."""

    server: str
    cause: str


@_event
class EarlierLife(Event):
    """A word of a life that began before the known one; it is left aside unless it goes on."""

    server: str
    known: str


@_event
class UnusableReport(Event):
    """A runner's answer about itself can't be read; it is asked again."""

    server: str
    cause: str


@_event
class AddressTaken(Event):
    """A server registered an address that another had; that one gets nothing more."""

    address: str
    server: str
    before: str


@_event
class AdapterVersion(Event):
    """The operator named a version of an adapter, so long ago at the longest."""

    adapter: str
    source: str
    age_ms: int | None = None


@_event
class Order(Event):
    """An order was sent to a runner."""

    server: str
    operation: str
    name: str
    version: int | None
    sequence: int
    fence: int
    answer: str
    cause: str | None = None


@_event
class Seats(Event):
    """How full the runners' places are, once a second at the holder."""

    cell: str
    runners: int
    known: int
    places: int
    taken: int
    in_use: int
    loading: int
    dropping: int
    doubtful: int
    waiting: int
    oldest_ms: int
    requests: int
    unread: int
    loads: int
    cold: int
    copies: int
    fetch_limit: int = 0
    fetch_ms: int | None = None


@_event
class DutyWon(Event):
    """The node gives the orders to a cell's runners from here on."""

    cell: str
    epoch: int
    before: str | None = None


@_event
class DutyInherited(Event):
    """The node goes on in a silent holder's place while the store is lost."""

    LEVEL: ClassVar[int] = logging.WARNING
    cell: str
    epoch: int
    before: str


@_event
class DutyLost(Event):
    """The node gives no more orders."""

    cell: str
    epoch: int
    cause: str


@_event
class DutyReleased(Event):
    """The duty was given up in the store."""

    cell: str
    epoch: int
    result: str


@_event
class RenewalFailed(Event):
    """The duty could not be renewed."""

    LEVEL: ClassVar[int] = logging.WARNING
    cell: str
    cause: str


@_event
class Started(Event):
    """The process serves."""

    node: str
    boot: str
    callers: str
    peer: str
    cores: float


@_event
class Stopping(Event):
    """The word to stop has come."""

    in_progress: int


@_event
class Stopped(Event):
    """The process ends."""

    in_progress: int
    took_ms: int


@_event
class Reloaded(Event):
    """Changed settings are in force."""

    seeds: str


@_event
class UnusableSettings(Event):
    """Changed settings can't be used; the last good ones stay in force."""

    LEVEL: ClassVar[int] = logging.ERROR
    cause: str


@_event
class NotBound(Event):
    """An address can't be listened at."""

    LEVEL: ClassVar[int] = logging.ERROR
    address: str
    cause: str


@_event
class HandlerFailed(Event):
    """A fault of this program ended a request."""

    LEVEL: ClassVar[int] = logging.ERROR
    address: str
    cause: str


@_event
class WasFrozen(Event):
    """The process did not run for a while."""

    LEVEL: ClassVar[int] = logging.WARNING
    for_ms: int


@_event
class PeerHeard(Event):
    """Another node is heard, for the first time or again."""

    peer: str
    boot: str


@_event
class CallersNamed(Event):
    """Other nodes than before are named to the callers of a data centre."""

    data_centre: str
    named: int
    of: int
    came: int
    gone: int


@_event
class PeerSilent(Event):
    """Another node is not heard any more."""

    peer: str
    age_ms: int | None


@_event
class CardWritten(Event):
    """The node's card is in the store."""

    node: str


@_event
class CardRemoved(Event):
    """The card of a node that is long gone was removed."""

    node: str


@_event
class LearntFromPeer(Event):
    """Another node told what the store can't tell now."""

    address: str


@_event
class ReportTooLarge(Event):
    """The node's report does not fit a datagram."""

    LEVEL: ClassVar[int] = logging.WARNING
    bytes: int


@_event
class ReportUnsent(Event):
    """A report could not be sent."""

    LEVEL: ClassVar[int] = logging.DEBUG
    to: str
    cause: str


@_event
class ReportUnread(Event):
    """A datagram could not be received."""

    LEVEL: ClassVar[int] = logging.DEBUG
    cause: str


@_event
class Configuration(Event):
    """A configuration is in force."""

    version: int
    routes: int
    source: str


@_event
class UnusablePeerConfiguration(Event):
    """A configuration from another node can't be used."""

    LEVEL: ClassVar[int] = logging.ERROR
    cause: str


@_event
class UnusableRow(Event):
    """A row can't be used; what was known before stays in force."""

    LEVEL: ClassVar[int] = logging.ERROR
    row: str
    cause: str | None = None


@_event
class MalformedRow(Event):
    """A row of the store is malformed and was skipped."""

    LEVEL: ClassVar[int] = logging.WARNING
    row: str
    cause: str


@_event
class HistoryLost(Event):
    """The store no longer knows what changed; everything is read again."""

    collection: str


@_event
class StaleRead(Event):
    """A read was older than what is known and was not taken."""

    collection: str
    version: int
    known: int


@_event
class UnreadableDatagram(Event):
    """A datagram from another node could not be read; told once for each sender."""

    LEVEL: ClassVar[int] = logging.WARNING
    sender: str
    bytes: int


@_event
class StoreLost(Event):
    """The store does not answer this node."""

    LEVEL: ClassVar[int] = logging.WARNING
    collection: str
    cause: str
    answered_ago_ms: int | None = None


@_event
class StoreReturned(Event):
    """The store answers again."""

    collection: str
    after_ms: int


@_event
class CommitUnclear(Event):
    """A write got no answer; it may have taken effect."""

    LEVEL: ClassVar[int] = logging.WARNING
    operation: str


@_event
class LogLinesDropped(Event):
    """The log's reader was too slow."""

    LEVEL: ClassVar[int] = logging.WARNING
    lines: int
    levels: str
