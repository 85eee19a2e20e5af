"""Events of backend servers: added, leaving, unresponsive, and orders to model runners."""

from __future__ import annotations

import logging
from typing import ClassVar

from .event import Event, event


@event
class ServerCame(Event):
    """A backend server was added."""

    server: str
    service: str
    address: str
    software_version: str | None = None


@event
class ServerLeaves(Event):
    """A backend server is leaving and gets no new requests."""

    server: str
    cause: str


@event
class DepartedServerRegistered(Event):
    """The entry of a server that counts as left, for ``cause``, was written again."""

    server: str
    cause: str
    ago_ms: int


@event
class ServerReturned(Event):
    """A server that counted as left, for ``cause``, stays registered and is used again."""

    server: str
    cause: str
    after_ms: int


@event
class ServerRests(Event):
    """A server refused a request and gets no others from this node for ``rest_ms``."""

    server: str
    rest_ms: int


@event
class ServerSilent(Event):
    """A server is unresponsive; until it responds, it gets only single probe requests."""

    # It did not respond within ``within_ms`` with ``waiting`` requests pending; the first probe is
    # due in ``trial_in_ms``.

    LEVEL: ClassVar[int] = logging.WARNING
    server: str
    within_ms: int
    waiting: int
    trial_in_ms: int


@event
class ServerAnswers(Event):
    """An unresponsive server responds again; ``missed`` responses in a row were missing."""

    server: str
    missed: int


@event
class ServiceUnreachable(Event):
    """None of ``servers`` servers of a service accepts a connection from this node."""

    LEVEL: ClassVar[int] = logging.WARNING
    service: str
    servers: int


@event
class ServiceReachable(Event):
    """A server of a service accepts connections from this node again, after ``after_ms``."""

    service: str
    after_ms: int


@event
class ServerLimited(Event):
    """A server's limit for requests of all nodes has changed; without ``per_s`` it has none."""

    # ``source`` is ``answer`` or the peer that announced it.

    server: str
    per_s: float | None
    before_per_s: float | None
    source: str


@event
class BrittleServerFull(Event):
    """A brittle server rejected a request; it had ``requests`` of all nodes, as far as is known."""

    server: str
    tolerated_per_s: float
    requests: int


@event
class UnusableServerLimit(Event):
    """A server named a limit that can't be read; it is ignored."""

    LEVEL: ClassVar[int] = logging.WARNING
    server: str
    value: str


@event
class RunnerPaceChanged(Event):
    """A runner has become slower or faster than the median of its cell, or equal to it (1.0)."""

    # ``pace`` is relative, larger is slower; ``observations`` count less with age, and the last of
    # them, of this node or a peer, is ``age_ms`` old.

    server: str
    pace: float
    before: float
    observations: float
    age_ms: int


@event
class MalformedPaces(Event):
    """A peer announced paces that can't be used; they are ignored. Logged once per peer."""

    LEVEL: ClassVar[int] = logging.WARNING
    peer: str


@event
class EarlierLife(Event):
    """An update names an earlier life (run of the server's process) than the known one."""

    # It is ignored unless such updates continue.

    server: str
    known: str


@event
class UnusableReport(Event):
    """A runner report can't be decoded; the report is requested again."""

    server: str
    cause: str


@event
class AddressTaken(Event):
    """A server registered the address of another, ``before``, which gets no more requests."""

    address: str
    server: str
    before: str


@event
class AdapterVersion(Event):
    """The operator published a version of an adapter, at most ``age_ms`` ago."""

    adapter: str
    source: str
    age_ms: int | None = None


@event
class Order(Event):
    """An order was sent to a runner."""

    # ``fence`` is the epoch, the fencing token of the cell lease.

    server: str
    operation: str
    name: str
    version: int | None
    sequence: int
    fence: int
    answer: str
    cause: str | None = None


@event
class Seats(Event):
    """Summary of the slots of a cell's runners, logged once a second by the lease holder."""

    # ``known`` runners have sent a runner report, ``doubtful`` ones have an unconfirmed order.
    # ``places`` counts all slots, ``taken`` the reserved or occupied ones, ``in_use`` those with
    # requests, ``loading`` and ``dropping`` those whose adapter is being loaded or unloaded.
    # ``waiting`` counts the queued requests, of which the oldest is ``oldest_ms`` old; ``requests``
    # are in progress at the runners, with ``unread`` pending prefill tokens. ``loads`` counts all
    # loads so far, ``cold`` those from the weight store, ``copies`` those of further replicas.
    # ``fetch_limit`` is how many adapters may be fetched from the weight store at once and
    # ``fetch_ms`` how long one takes at full speed.

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


@event
class SoftwareVersionsChanged(Event):
    """A service has servers of several software versions, or has had only one for long enough."""

    service: str
    versions: str
    several: bool


@event
class SoftwareVersionsRecorded(Event):
    """The versions that a service has, and those that left lately, were written to the store."""

    service: str
    present: str
    left: str


@event
class StreamVersionSearched(Event):
    """It was looked up at which software version a stream began that is taken up again."""

    # ``resumes`` is the attempt that brought its first event. ``found``: ``own``, ``peer``,
    # ``any`` (of a peer, of the store), or ``unknown`` because of ``cause``. Of the peers ``asked``
    # were asked, and ``answered`` answered before the search ended.

    resumes: str
    service: str
    found: str
    version: str | None
    cause: str | None
    asked: int
    answered: int
    took_ms: int
