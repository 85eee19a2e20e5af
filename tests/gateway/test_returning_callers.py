"""Tests of how a caller that comes back after a refusal is told from one that comes first."""

from __future__ import annotations

import random

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.entry.metrics import EntryMetrics
from monsoonflow.fleet.view import FleetView
from monsoonflow.gateway.backlog import Backlog
from monsoonflow.gateway.handler import Gateway
from monsoonflow.gateway.job import Job
from monsoonflow.gateway.models import NoServer
from monsoonflow.gateway.request_log import RequestLog
from monsoonflow.platform.headers import HeaderDialect
from monsoonflow.routing.caller_timeouts import TypicalCallerTimeouts
from monsoonflow.routing.in_flight import InFlight
from monsoonflow.routing.routes import Route, RouteKind, RouteTable, Service, Target
from monsoonflow.transport.client import Pools
from monsoonflow.transport.models import MessageLimits, Request

ROUTE = Route("r", "h", "/a/", RouteKind.STREAM, (Target("s", 1),), objective_ms=800)


@attrs.define
class NoPlaces:
    """A chooser that refuses all and keeps what it was asked for."""

    jobs: list[Job] = attrs.Factory(list)

    def choose(self, call, route, service, job, now_ms) -> NoServer:
        """Refuse a request."""
        self.jobs.append(job)
        return NoServer("no place", 300)


class NoAnswer:
    """A caller that drops its answer."""

    started = False
    status = 0
    sent_bytes = 0

    def whole(self, *_: object) -> None:
        """Take an answer."""


class NoRetries:
    """A budget that counts nothing."""

    def record_request(self, service: str) -> None:
        """Count a request."""


class NoQuarantine:
    """A quarantine that holds nothing."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Refuse nothing."""
        return False


@pytest.fixture
def chooser() -> NoPlaces:
    """Return a chooser that refuses all."""
    return NoPlaces()


@pytest.fixture
def gateway(chooser: NoPlaces) -> Gateway:
    """Return a gateway at time 10,000."""
    clock = ManualClock(10_000)
    in_flight = InFlight()
    table = RouteTable.build(1, [ROUTE], [Service("s")], MessageLimits())
    return Gateway(
        clock,
        HeaderDialect(),
        lambda: table,
        Pools(clock),
        in_flight,
        Backlog(in_flight, FleetView("n")),
        NoRetries(),
        NoQuarantine(),
        chooser,
        chooser,
        random.Random(1),
        RequestLog(clock, EntryMetrics()),
    )


def ask(gateway: Gateway, deadline_ms: int) -> None:
    """Send a request that arrives now."""
    headers = [
        (b"Host", b"h"),
        (b"X-Request-Id", b"r1"),
        (b"X-Deadline-Ms", b"%d" % deadline_ms),
    ]
    request = Request(b"POST", b"/a/", "1.1", headers, b"", True, 10_000)
    gateway.handle(request, NoAnswer())


def test_a_caller_that_comes_back_is_not_taken_for_new(gateway: Gateway, chooser: NoPlaces):
    """Refused in a rush, a caller comes back with 1 s left of its 4 s: its answer is late already.

    Its latency objective counts from its first try. Counted from its arrival here, it would get a
    place before callers that can still be answered in time, and they would be late as well.
    """
    for _ in range(20):
        ask(gateway, 4_000)
    ask(gateway, 1_000)
    assert [job.objective_deadline_ms() for job in chooser.jobs[-2:]] == [10_800, 7_800]


def test_many_that_come_back_do_not_pass_for_first_ones():
    """In a rush nine of ten requests are repetitions: the tenth still tells the usual deadline."""
    usual = TypicalCallerTimeouts()
    waited = [usual.estimate_waited_ms("r", 4_000 if i % 8 == 0 else 1_500) for i in range(200)]
    assert waited[-1] == 2_500


def test_one_caller_with_a_long_deadline_does_not_age_the_others():
    """A batch job names a minute where all others name 4 s: they are not 56 s old."""
    usual = TypicalCallerTimeouts()
    for i in range(100):
        waited_ms = usual.estimate_waited_ms("r", 60_000 if i % 25 == 24 else 4_000)
    assert usual.estimate_waited_ms("r", 4_000) == 0 and waited_ms == 0


def test_callers_that_wait_differently_long_are_all_new(gateway: Gateway, chooser: NoPlaces):
    """Callers of one route wait between 12.7 and 15 s; none has tried before.

    Told by its deadline, one that waits 12.7 s seems to have tried for 2.3 s: late already, it gets
    a place after all others.
    """
    for number in range(80):
        ask(gateway, 15_000 - 29 * (number * 37 % 80))
    assert {job.objective_deadline_ms() for job in chooser.jobs[16:]} == {10_800}
