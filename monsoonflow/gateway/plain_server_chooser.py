"""Chooses among the servers of a plain service."""

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

TYPICAL_ANSWER_MS: Final = 80.0
"""Time of an answer while none was seen yet."""

MIN_SUCCESS_SHARE: Final = 0.1
"""A failing server keeps this share of its weight, so that its recovery is noticed."""

RESPONSE_TIMEOUT_FACTOR: Final = 5
MIN_RESPONSE_TIMEOUT_MS: Final = 300
"""A server seems to hang after so many of its usual times, and never sooner than this: the longest
of a hundred answers takes some five times the usual one."""

UNRESPONSIVE_FACTOR: Final = 2
"""A server gives no sign of life at all when none comes for so many times its patience: one that
has turned slow still answers somebody."""

NO_SERVER_RETRY_AFTER_MS: Final = 400
QUEUE_RETRY_AFTER_SHARE: Final = 0.5
"""Come back after half of the expected wait: the queue drains meanwhile."""


@attrs.define(slots=True)
class PlainServerChooser:
    """Picks the server whose answer is expected first, by what all nodes have in progress there.

    Health answers are not asked for: a server that fails requests may call itself healthy. How its
    requests end tells.
    """

    registry: ServerRegistry
    in_flight: InFlight
    view: FleetView
    health: HealthTracker
    rng: random.Random
    data_centre: str

    def choose(
        self, call: Call, route: Route, service: Service, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return the server with the least expected time to a good answer."""
        servers = self.registry.servers_of(service.name)
        reached = [s for s in servers if not self.health.is_paused(s.life, now_ms)]
        fresh = [s for s in reached or servers if s.life not in job.tried_lives]
        candidates = fresh or [s for s in servers if s.life not in job.avoided_lives] or servers
        if not candidates:
            return NoServer("no server takes work", job.retry_after_ms or NO_SERVER_RETRY_AFTER_MS)
        costs = {s.life: self._expected_ms(s, now_ms) for s in candidates}
        best = min(candidates, key=lambda s: (costs[s.life], self.rng.random()))
        expected_ms = costs[best.life]
        if expected_ms > 2 * (job.answer_deadline_ms - now_ms) and self._is_full(best, now_ms):
            return NoServer(
                "the queue is longer than the time left",
                max(NO_SERVER_RETRY_AFTER_MS, int(expected_ms * QUEUE_RETRY_AFTER_SHARE)),
            )
        return Chosen(best.life, best.address, why=f"expected_ms={expected_ms:.0f}")

    def response_timeout_ms(self, chosen: Chosen, route: Route) -> int:
        """Return how long a server may take before it seems to hang."""
        usual_ms = self.health.latency_ms(chosen.life, TYPICAL_ANSWER_MS)
        return max(MIN_RESPONSE_TIMEOUT_MS, int(usual_ms * RESPONSE_TIMEOUT_FACTOR))

    def start_deadline_ms(self, chosen: Chosen) -> int | None:
        """Return ``None``: a plain service has no versions."""
        return None

    def may_send(self, chosen: Chosen) -> bool:
        """Tell whether a server that was chosen still takes work."""
        return self.registry.is_accepting_work(chosen.life)

    def record_sent(self, chosen: Chosen, request_id: str, route: Route, now_ms: int) -> None:
        """Take that a request goes out to its server."""
        sign_within_ms = UNRESPONSIVE_FACTOR * self.response_timeout_ms(chosen, route)
        self.health.record_sent(chosen.life, request_id, now_ms, sign_within_ms)

    def record_activity(self, chosen: Chosen, now_ms: int) -> None:
        """Take a part of an answer of a server."""
        self.health.record_response(chosen.life, now_ms)

    def record_result(
        self, chosen: Chosen, request_id: str, result: AttemptResult, took_ms: int, now_ms: int
    ) -> None:
        """Take how a try ended."""
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
        busy = self._requests_in_progress(server, now_ms)
        rounds = max(1.0, (busy + 1) / max(1, server.max_concurrent_requests))
        usual_ms = self.health.latency_ms(server.life, TYPICAL_ANSWER_MS)
        success = 1.0 - self.health.failure_share(server.life, now_ms)
        # The share of a server that is not full also counts a little, so that equal servers share.
        crowd = 1.0 + 0.1 * busy / max(1, server.max_concurrent_requests)
        return usual_ms * rounds * crowd / max(MIN_SUCCESS_SHARE, success) ** 2

    def _requests_in_progress(self, server: BackendServer, now_ms: int) -> int:
        own = self.in_flight.work_at(server.life).requests
        return own + self.view.work_at(server.life, now_ms).requests

    def _is_full(self, server: BackendServer, now_ms: int) -> bool:
        return self._requests_in_progress(server, now_ms) >= server.max_concurrent_requests
