"""Tests that a caller that retries after a refusal is told apart from one that comes first."""

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
from monsoonflow.quarantine.models import RequestTraits
from monsoonflow.routing.caller_timeouts import TypicalCallerTimeouts
from monsoonflow.routing.in_flight import InFlight
from monsoonflow.routing.routes import Route, RouteKind, RouteTable, Service, Target
from monsoonflow.transport.client import ConnectionPools
from monsoonflow.transport.models import MessageLimits, Request
from tests.gateway.open_paths import OpenPaths
from tests.gateway.unlimited_servers import UnlimitedServers

ROUTE = Route("r", "h", "/a/", RouteKind.STREAM, (Target("s", 1),), objective_ms=800)


@attrs.define
class RefusingChooser:
    """A chooser that refuses all requests and records them."""

    jobs: list[Job] = attrs.Factory(list)

    def choose(self, call, route, service, job, now_ms) -> NoServer:
        """Refuse a request."""
        self.jobs.append(job)
        return NoServer("no slot", 300)


class DiscardedReply:
    """A reply that discards its answer."""

    started = False
    status = 0
    sent_bytes = 0

    def send_whole(self, *_: object) -> None:
        """Discard an answer."""


class NoRetryBudget:
    """A retry budget that counts nothing."""

    def record_request(self, service: str) -> None:
        """Do nothing."""


class NoQuarantine:
    """A quarantine without requests."""

    def refusal_cause(self, traits: RequestTraits) -> None:
        """Return ``None``."""


@pytest.fixture
def chooser() -> RefusingChooser:
    """Return a chooser that refuses all requests."""
    return RefusingChooser()


class NoStreamVersions:
    """Is never asked: no request takes a stream up."""


@pytest.fixture
def gateway(chooser: RefusingChooser) -> Gateway:
    """Return a gateway at time 10,000."""
    clock = ManualClock(10_000)
    in_flight = InFlight()
    table = RouteTable.build(1, [ROUTE], [Service("s")], MessageLimits())
    return Gateway(
        clock,
        HeaderDialect(),
        lambda: table,
        ConnectionPools(clock),
        in_flight,
        Backlog(in_flight, FleetView("n")),
        NoRetryBudget(),
        NoQuarantine(),
        chooser,
        chooser,
        random.Random(1),
        RequestLog(clock, EntryMetrics()),
        UnlimitedServers(),
        OpenPaths(),
        OpenPaths(),
        NoStreamVersions(),
    )


def send_request(gateway: Gateway, deadline_ms: int) -> None:
    """Let a request with a deadline arrive now."""
    headers = [
        (b"Host", b"h"),
        (b"X-Request-Id", b"r1"),
        (b"X-Deadline-Ms", b"%d" % deadline_ms),
    ]
    request = Request(b"POST", b"/a/", "1.1", headers, b"", True, 10_000)
    gateway.handle(request, DiscardedReply())


def test_a_returning_caller_does_not_count_as_new(gateway: Gateway, chooser: RefusingChooser):
    """A caller that was refused in a rush retries with 1 s left of its 4 s, so it is already late.

    Its latency objective counts from its first attempt. If it counted from the arrival of the
    retry, the caller would get a slot before callers that can still be answered in time, and those
    would be late as well.
    """
    for _ in range(20):
        send_request(gateway, 4_000)
    send_request(gateway, 1_000)
    assert [job.objective_deadline_ms() for job in chooser.jobs[-2:]] == [10_800, 7_800]


def test_retries_are_recognised_even_if_most_requests_are_retries():
    """In a rush nine of ten requests are retries; the tenth still shows the typical deadline."""
    deadlines = TypicalCallerTimeouts()
    waited_ms = [
        deadlines.estimate_waited_ms("r", 4_000 if i % 8 == 0 else 1_500) for i in range(200)
    ]
    assert waited_ms[-1] == 2_500


def test_one_caller_with_a_long_deadline_does_not_make_others_look_late():
    """A batch job has a deadline of 60 s, all others of 4 s: they have not been trying for 56 s."""
    deadlines = TypicalCallerTimeouts()
    for i in range(100):
        waited_ms = deadlines.estimate_waited_ms("r", 60_000 if i % 25 == 24 else 4_000)
    assert deadlines.estimate_waited_ms("r", 4_000) == 0 and waited_ms == 0


def test_callers_with_different_deadlines_all_count_as_new(
    gateway: Gateway, chooser: RefusingChooser
):
    """Callers of one route have deadlines between 12.7 and 15 s, and none has tried before.

    Judged by its deadline alone, a caller with 12.7 s would seem to have been trying for 2.3 s. It
    would count as late and get a slot after all others.
    """
    for number in range(80):
        send_request(gateway, 15_000 - 29 * (number * 37 % 80))
    assert {job.objective_deadline_ms() for job in chooser.jobs[16:]} == {10_800}
