"""Chooses among model runners: by who holds the adapter and how much is waiting there."""

from __future__ import annotations

import random
from collections.abc import Collection
from typing import Final, Protocol

import attrs

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..discovery.models import BackendServer
from ..discovery.registry import ServerRegistry
from ..routing.health import HealthTracker
from ..routing.routes import Route, Service
from .backlog import Backlog
from .job import Job
from .models import (
    Abandoned,
    AttemptResult,
    Call,
    Chosen,
    Cut,
    NoServer,
    Passed,
    Rejected,
    TimedOut,
    Unclear,
    Unsent,
    Whole,
)

NO_SERVER_RETRY_AFTER_MS: Final = 400
UNBOUNDED_MS: Final = 3_600_000
MIN_BACKLOG_TOKENS: Final = 10_000
"""Prompt tokens ahead, some half a second of reading, from which a late first event is expected."""

RESPONSE_TIMEOUT_OBJECTIVES: Final = 2
"""A runner without a backlog seems to hang after so many latency objectives without a sign."""

DECODE_COST_TOKENS: Final = 60
"""Tokens of prompt reading that one running request's generation costs its runner in a while."""


class Placement(Protocol):
    """Knows which runners hold an adapter and gets it loaded where none does."""

    def runners_with_adapter(self, adapter: str) -> dict[str, int]:
        """Return the version of an adapter by the id of the runner that can serve it now."""

    def wanted_version(self, adapter: str) -> int | None:
        """Return the version that the operator named; ``None`` where none was."""

    def request_slot(
        self,
        call: Call,
        route: Route,
        service: Service,
        job: Job,
        overloaded: Collection[ServerLife] = (),
    ) -> Chosen | NoServer:
        """Have the adapter loaded somewhere; waits until it is there.

        :param crowded: runners that hold it and can't read the request in time.
        """

    def start_deadline_ms(self, adapter: str, version: int) -> int | None:
        """Return until when a request may begin on a version; ``None`` while it is the newest."""

    def mark_adapter_missing(self, adapter: str, life: ServerLife) -> None:
        """Take the word of a runner that it does not hold an adapter."""


@attrs.define(slots=True)
class RunnerChooser:
    """Picks a runner for a generation."""

    registry: ServerRegistry
    backlog: Backlog
    health: HealthTracker
    placement: Placement
    clock: Clock
    rng: random.Random
    data_centre: str

    def choose(
        self, call: Call, route: Route, service: Service, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return a runner that holds what the request needs, or have it loaded."""
        held = self.placement.runners_with_adapter(call.adapter) if call.adapter is not None else {}
        usable = self._usable_runners(call, held, service, job, now_ms)
        if call.adapter is None:
            if not usable:
                return NoServer("no runner holds the model", NO_SERVER_RETRY_AFTER_MS)
            return self._choose_for_base_model(usable, call, job, now_ms)
        holding = [server for server in usable if server.life in held]
        timely = [
            s for s in holding if self._can_prefill_in_time(s.life, held[s.life], job, now_ms)
        ]
        if not timely:
            crowded = [server.life for server in holding]
            return self.placement.request_slot(call, route, service, job, crowded)
        best = min(timely, key=lambda s: self._cost(s, now_ms))
        return self._build_chosen(best, call, held[best.life], job, now_ms)

    def _can_prefill_in_time(self, life: ServerLife, version: int, job: Job, now_ms: int) -> bool:
        begins_until_ms = self.placement.start_deadline_ms(job.call.adapter, version)
        return self.backlog.can_prefill_in_time(life, job, now_ms, begins_until_ms)

    def _choose_for_base_model(
        self, runners: list[BackendServer], call: Call, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return a runner for a request that needs no adapter."""
        timely = [s for s in runners if self.backlog.can_prefill_in_time(s.life, job, now_ms)]
        if not timely:
            drained_ms = self.backlog.queue_drain_ms([s.life for s in runners], job, now_ms)
            return NoServer("every queue is longer than the time left", drained_ms)
        best = min(timely, key=lambda s: self._cost(s, now_ms))
        return self._build_chosen(best, call, None, job, now_ms)

    def _usable_runners(
        self,
        call: Call,
        version_by_life: dict[ServerLife, int],
        service: Service,
        job: Job,
        now_ms: int,
    ) -> list[BackendServer]:
        servers = [
            server
            for server in self.registry.servers_of(service.name)
            # The holder's word on an adapter is newer than the entry's on the base model.
            if server.life in version_by_life
            or any(model.name == call.model for model in server.models)
        ]
        reached = [s for s in servers if not self.health.is_paused(s.life, now_ms)]
        # A stream that broke off goes on elsewhere: where it broke it would break again.
        fresh = [s for s in reached if s.life not in job.avoided_lives]
        return fresh or reached or servers

    def _build_chosen(
        self, server: BackendServer, call: Call, version: int | None, job: Job, now_ms: int
    ) -> Chosen:
        wanted = self.placement.wanted_version(call.adapter) if call.adapter else None
        current = wanted is not None and version is not None and version >= wanted
        return Chosen(
            server.life,
            server.address,
            call.adapter,
            version,
            call.prompt_tokens,
            call.prompt_tokens + call.max_output_tokens,
            # An older version may still begin for a moment after a newer one was named.
            wanted if current else None,
            why="held",
            queue=self.backlog.queue_ahead(server.life, job, now_ms),
        )

    def response_timeout_ms(self, chosen: Chosen, route: Route) -> int:
        """Return how long a runner may take to the first event before it seems to hang.

        A backlog is no sign of hanging: where much is to be read, all the time.
        """
        server = self.registry.server_by_life.get(chosen.life)
        if (
            server is None
            or self._pending_prefill_tokens(server, self.clock.now_ms()) > MIN_BACKLOG_TOKENS
        ):
            return UNBOUNDED_MS
        return route.objective_ms * RESPONSE_TIMEOUT_OBJECTIVES

    def start_deadline_ms(self, chosen: Chosen) -> int | None:
        """Return until when a request may begin where it was sent; ``None`` without a bound."""
        if chosen.adapter is None or chosen.version is None:
            return None
        return self.placement.start_deadline_ms(chosen.adapter, chosen.version)

    def may_send(self, chosen: Chosen) -> bool:
        """Tell whether a server that was chosen still takes work."""
        return self.registry.is_accepting_work(chosen.life)

    def record_sent(self, chosen: Chosen, request_id: str, route: Route, now_ms: int) -> None:
        """Take that a request goes out to its server."""
        queue_ms = chosen.queue.expected_ms if chosen.queue is not None else 0
        sign_within_ms = int(route.objective_ms * RESPONSE_TIMEOUT_OBJECTIVES + queue_ms)
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
            case Passed():
                self.health.record_result(chosen.life, True, took_ms, now_ms)
            case Whole(head=head):
                self.health.record_result(chosen.life, head.status < 500, took_ms, now_ms)
            case Rejected(misrouted=True) if chosen.adapter is not None:
                self.placement.mark_adapter_missing(chosen.adapter, chosen.life)
            case Unsent():
                self.health.record_unreachable(chosen.life, now_ms)
            case Unclear(silent=True) | Cut(silent=True):
                self.health.record_unreachable(chosen.life, now_ms)
            case Unclear() | Cut() | TimedOut(silent=True) | Abandoned(silent=True) | Rejected():
                self.health.record_result(chosen.life, False, took_ms, now_ms)

    def _cost(self, server: BackendServer, now_ms: int) -> float:
        work = self.backlog.work_at(server.life, server.service, now_ms)
        running, waiting = work.requests, work.pending_prefill_tokens
        success = 1.0 - self.health.failure_share(server.life, now_ms)
        return (waiting + DECODE_COST_TOKENS * (running + 1)) / max(
            0.1, success
        ) + self.rng.random()

    def _pending_prefill_tokens(self, server: BackendServer, now_ms: int) -> int:
        """Return the prompt tokens that are still to be read at a runner."""
        return self.backlog.work_at(server.life, server.service, now_ms).pending_prefill_tokens
