"""Chooses among the servers of a plain service, which has no model runners."""

from __future__ import annotations

import random
from typing import Final

import attrs

from ..discovery.models import BackendServer
from ..discovery.registry import ServerRegistry
from ..fleet.view import FleetView
from ..routing.health import HealthTracker
from ..routing.in_flight import InFlight
from ..routing.routes import Route, Service
from .job import Job
from .limited_servers import no_open_server, no_server_of_version, open_servers
from .models import (
    AttemptResult,
    Call,
    Chosen,
    Cut,
    NoServer,
    Rejected,
    TimedOut,
    Unclear,
    Unsent,
    Whole,
)
from .protocols import ServerLimiter

TYPICAL_ANSWER_MS: Final = 80.0
"""Assumed time of an answer from a server that has not answered yet."""

MIN_SUCCESS_SHARE: Final = 0.1
"""Lowest success share that is assumed of a failing server: it still gets a few requests, so that
its recovery is noticed."""

RESPONSE_TIMEOUT_FACTOR: Final = 5
MIN_RESPONSE_TIMEOUT_MS: Final = 300
"""A server counts as unresponsive to one request after this many times its typical answer time, but
not before the minimum. The slowest of a hundred answers takes about five times the typical time."""

UNRESPONSIVE_FACTOR: Final = 2
"""A server counts as unresponsive to all requests if it has answered none of them within this many
response timeouts. A server that has only become slow still answers some of them."""

NO_SERVER_RETRY_AFTER_MS: Final = 400
QUEUE_RETRY_AFTER_SHARE: Final = 0.5
"""A caller may retry after this share of the expected wait, because the queue drains meanwhile."""


@attrs.define(slots=True)
class PlainServerChooser:
    """Chooses the server that is expected to answer first, given what all nodes have in progress.

    The results of requests decide about a server's health. There are no health checks: a server
    that fails requests may still report itself as healthy.
    """

    registry: ServerRegistry
    in_flight: InFlight
    view: FleetView
    health: HealthTracker
    server_limits: ServerLimiter
    rng: random.Random
    data_centre: str

    def choose(
        self, call: Call, route: Route, service: Service, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return the server with the shortest expected time to a successful answer."""
        registered = job.usable_servers(self.registry.servers_of(service.name))
        if not registered and job.needs_software_version():
            return no_server_of_version(job)
        servers = open_servers(registered, self.server_limits, job)
        if registered and not servers:
            return no_open_server(registered, self.server_limits, job)
        reachable = [s for s in servers if not self.health.is_paused(s.life, now_ms)]
        untried = [s for s in reachable or servers if s.life not in job.tried_lives]
        candidates = untried or [s for s in servers if s.life not in job.avoided_lives] or servers
        if not candidates:
            return NoServer("no server takes work", job.retry_after_ms or NO_SERVER_RETRY_AFTER_MS)
        expected_ms_by_life = {s.life: self._expected_ms(s, now_ms) for s in candidates}
        # After its refusals a server is expected to be slower than any other: while the others
        # have room it would get no request that could show the opposite.
        candidates = [
            s for s in candidates if self.server_limits.awaits_return(s.life)
        ] or candidates
        best = min(candidates, key=lambda s: (expected_ms_by_life[s.life], self.rng.random()))
        expected_ms = expected_ms_by_life[best.life]
        if expected_ms > 2 * (job.answer_deadline_ms - now_ms) and self._is_full(best, now_ms):
            return NoServer(
                "the queue is longer than the time left",
                max(NO_SERVER_RETRY_AFTER_MS, int(expected_ms * QUEUE_RETRY_AFTER_SHARE)),
            )
        return Chosen(
            best.life,
            best.address,
            why=f"expected_ms={expected_ms:.0f}",
            software_version=best.software_version,
        )

    def response_timeout_ms(self, chosen: Chosen, route: Route) -> int:
        """Return how long a server may take to respond before it counts as unresponsive."""
        typical_ms = self.health.latency_ms(chosen.life, TYPICAL_ANSWER_MS)
        return max(MIN_RESPONSE_TIMEOUT_MS, int(typical_ms * RESPONSE_TIMEOUT_FACTOR))

    def start_deadline_ms(self, chosen: Chosen) -> int | None:
        """Return ``None``: a plain service has no adapter versions."""
        return None

    def may_send(self, chosen: Chosen) -> bool:
        """Return whether a server that was chosen still accepts requests."""
        return self.registry.is_accepting_work(chosen.life)

    def record_sent(self, chosen: Chosen, request_id: str, route: Route, now_ms: int) -> None:
        """Record that a request is being sent to its server."""
        respond_within_ms = UNRESPONSIVE_FACTOR * self.response_timeout_ms(chosen, route)
        self.health.record_sent(chosen.life, request_id, now_ms, respond_within_ms)

    def record_activity(self, chosen: Chosen, now_ms: int) -> None:
        """Record that a server sent a part of an answer."""
        self.health.record_response(chosen.life, now_ms)

    def record_result(
        self, chosen: Chosen, request_id: str, result: AttemptResult, took_ms: int, now_ms: int
    ) -> None:
        """Record how an attempt ended."""
        self.health.record_finished(chosen.life, request_id, now_ms)
        match result:
            case Whole(head=head):
                self.health.record_result(chosen.life, head.status < 500, took_ms, now_ms)
            case Unsent():
                self.health.record_unreachable(chosen.life, now_ms)
            case Unclear(silent=True) | Cut(silent=True):
                self.health.record_unreachable(chosen.life, now_ms)
            case Unclear() | Cut() | TimedOut() | Rejected(misrouted=False):
                self.health.record_result(chosen.life, False, took_ms, now_ms)

    def _expected_ms(self, server: BackendServer, now_ms: int) -> float:
        in_progress = self._requests_in_progress(server, now_ms)
        rounds = max(1.0, (in_progress + 1) / max(1, server.max_concurrent_requests))
        typical_ms = self.health.latency_ms(server.life, TYPICAL_ANSWER_MS)
        success_share = 1.0 - self.health.failure_share(server.life, now_ms)
        # The utilisation counts a little even below the limit, so that equal servers share the
        # load.
        utilisation_factor = 1.0 + 0.1 * in_progress / max(1, server.max_concurrent_requests)
        return typical_ms * rounds * utilisation_factor / max(MIN_SUCCESS_SHARE, success_share) ** 2

    def _requests_in_progress(self, server: BackendServer, now_ms: int) -> int:
        own = self.in_flight.work_at(server.life).requests
        return own + self.view.work_at(server.life, now_ms).requests

    def _is_full(self, server: BackendServer, now_ms: int) -> bool:
        return self._requests_in_progress(server, now_ms) >= server.max_concurrent_requests
