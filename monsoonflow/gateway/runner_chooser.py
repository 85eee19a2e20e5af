"""Chooses a model runner, by which runners hold the adapter and how long their queues are."""

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
from .limited_servers import no_open_server, no_server_of_version, open_servers
from .models import (
    Abandoned,
    AttemptResult,
    Call,
    Chosen,
    Cut,
    EndUnknown,
    NoServer,
    Passed,
    Rejected,
    TimedOut,
    Unclear,
    Unsent,
    Whole,
)
from .pace_choice import choose_life, is_faster_elsewhere
from .protocols import ServerLimiter
from .runner_memory import HOLDER_RESERVE_SHARE, RunnerMemory

NO_SERVER_RETRY_AFTER_MS: Final = 400
UNBOUNDED_MS: Final = 3_600_000
"""Stands for no timeout: longer than any request may take."""

MIN_BACKLOG_TOKENS: Final = 10_000
"""Pending prefill, about 0.5 s of processing, above which a late first event is normal."""

RESPONSE_TIMEOUT_OBJECTIVES: Final = 2
"""A runner without a backlog counts as unresponsive after this many times the route's latency
objective."""

DECODE_COST_TOKENS: Final = 60
"""What generating for one running request costs a runner, in tokens of prefill."""


class Placement(Protocol):
    """Knows which runners hold an adapter, and has it loaded on another one if necessary."""

    def runners_with_adapter(
        self, adapter: str, among: Collection[ServerLife] | None = None
    ) -> dict[str, int]:
        """Return the adapter's version on each runner that can serve it now.

        :param among: the runners that may be used; ``None`` for all.
        """

    def wanted_version(self, adapter: str) -> int | None:
        """Return the version that the operator requested; ``None`` if there is none."""

    def request_slot(
        self,
        call: Call,
        route: Route,
        service: Service,
        job: Job,
        overloaded: Collection[ServerLife] = (),
    ) -> Chosen | NoServer:
        """Have the adapter loaded on a runner, and wait until it is.

        :param overloaded: the runners that hold the adapter but can't process the request in time.
        """

    def start_deadline_ms(self, adapter: str, version: int) -> int | None:
        """Return until when a request may begin on a version; ``None`` while it is the newest."""

    def mark_adapter_missing(self, adapter: str, life: ServerLife) -> None:
        """Record that a runner has stated that it does not hold an adapter."""


@attrs.define(slots=True)
class RunnerChooser:
    """Chooses the runner that processes a generation.

    Among the runners that can process the prompt in time and have room for it in their KV cache, it
    is the one with the least work.
    """

    registry: ServerRegistry
    backlog: Backlog
    health: HealthTracker
    server_limits: ServerLimiter
    placement: Placement
    clock: Clock
    rng: random.Random
    data_centre: str
    memory: RunnerMemory = attrs.field(
        default=attrs.Factory(
            lambda chooser: RunnerMemory(chooser.backlog, is_enabled=False), takes_self=True
        )
    )

    def choose(
        self, call: Call, route: Route, service: Service, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return a runner that holds the adapter; if there is none in time, have it loaded."""
        runners = job.usable_servers(self.registry.servers_of(service.name))
        if not runners and job.needs_software_version():
            return no_server_of_version(job)
        among = {runner.life for runner in runners} if job.needs_software_version() else None
        version_by_life = (
            self.placement.runners_with_adapter(call.adapter, among)
            if call.adapter is not None
            else {}
        )
        holders = self._holders(call, version_by_life, runners)
        usable = self._usable_runners(open_servers(holders, self.server_limits, job), job, now_ms)
        if call.adapter is None:
            if not holders:
                return NoServer("no runner holds the model", NO_SERVER_RETRY_AFTER_MS)
            if not usable:
                return no_open_server(holders, self.server_limits, job)
            return self._choose_for_base_model(usable, call, job, now_ms)
        holding = [runner for runner in usable if runner.life in version_by_life]
        in_time = [
            runner
            for runner in holding
            if self._can_prefill_in_time(runner.life, version_by_life[runner.life], job, now_ms)
        ]
        fitting = self.memory.with_room(in_time, job, now_ms, HOLDER_RESERVE_SHARE)
        if not fitting:
            # A runner without room is not excluded: the request may wait until it has some.
            overloaded = [runner.life for runner in holding if runner not in in_time]
            return self.placement.request_slot(call, route, service, job, overloaded)
        best = self._choose_best(fitting, now_ms)
        if is_faster_elsewhere(
            self.backlog, best.life, [runner.life for runner in usable], job, now_ms
        ):
            faster = self.placement.request_slot(call, route, service, job)
            now_ms = self.clock.now_ms()
            # A refusal does not count while the runner that holds the adapter can serve it.
            if isinstance(faster, Chosen) or not self._can_still_serve(
                best, version_by_life[best.life], job, now_ms
            ):
                return faster
        return self._build_chosen(best, call, version_by_life[best.life], job, now_ms)

    def _can_still_serve(self, runner: BackendServer, version: int, job: Job, now_ms: int) -> bool:
        """Return whether a runner that was chosen before a wait can serve the request now."""
        held = self.placement.runners_with_adapter(job.call.adapter, {runner.life})
        return (
            held.get(runner.life) == version
            and self.registry.is_accepting_work(runner.life)
            and bool(self.memory.with_room([runner], job, now_ms))
            and self._can_prefill_in_time(runner.life, version, job, now_ms)
        )

    def _can_prefill_in_time(self, life: ServerLife, version: int, job: Job, now_ms: int) -> bool:
        start_deadline_ms = self.placement.start_deadline_ms(job.call.adapter, version)
        return self.backlog.can_prefill_in_time(life, job, now_ms, start_deadline_ms)

    def _choose_for_base_model(
        self, runners: list[BackendServer], call: Call, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return a runner for a request that needs no adapter."""
        in_time = [r for r in runners if self.backlog.can_prefill_in_time(r.life, job, now_ms)]
        if not in_time:
            queue_drain_ms = self.backlog.queue_drain_ms([r.life for r in runners], job, now_ms)
            return NoServer("every queue is longer than the time left", queue_drain_ms)
        fitting = self.memory.with_room(in_time, job, now_ms)
        if not fitting:
            return self.memory.refusal(in_time, job, now_ms)
        best = self._choose_best(fitting, now_ms)
        return self._build_chosen(best, call, None, job, now_ms)

    @staticmethod
    def _holders(
        call: Call, version_by_life: dict[ServerLife, int], runners: list[BackendServer]
    ) -> list[BackendServer]:
        """Return the runners that hold the adapter or the base model of a request."""
        return [
            runner
            for runner in runners
            # What the lease holder announces about an adapter is newer than the registry entry's
            # base models.
            if runner.life in version_by_life
            or any(model.name == call.model for model in runner.models)
        ]

    def _usable_runners(
        self, runners: list[BackendServer], job: Job, now_ms: int
    ) -> list[BackendServer]:
        reachable = [runner for runner in runners if not self.health.is_paused(runner.life, now_ms)]
        # A stream that broke off is resumed at another runner, since it would probably break off
        # again at the same one.
        preferred = [runner for runner in reachable if runner.life not in job.avoided_lives]
        return preferred or reachable or runners

    def _build_chosen(
        self, runner: BackendServer, call: Call, version: int | None, job: Job, now_ms: int
    ) -> Chosen:
        wanted = self.placement.wanted_version(call.adapter) if call.adapter else None
        is_current = wanted is not None and version is not None and version >= wanted
        return Chosen(
            runner.life,
            runner.address,
            call.adapter,
            version,
            call.prompt_tokens,
            self.memory.need_tokens(job),
            # Requests may begin on an older version for a short time after a newer one was
            # requested.
            wanted if is_current else None,
            why="held",
            queue=self.backlog.queue_ahead(runner.life, job, now_ms),
            software_version=runner.software_version,
        )

    def response_timeout_ms(self, chosen: Chosen, route: Route) -> int:
        """Return how long a runner may take for the first event before it counts as unresponsive.

        A runner with a backlog may use all the time that the request has.
        """
        runner = self.registry.server_by_life.get(chosen.life)
        if (
            runner is None
            or self._pending_prefill_tokens(runner, self.clock.now_ms()) > MIN_BACKLOG_TOKENS
        ):
            return UNBOUNDED_MS
        return route.objective_ms * RESPONSE_TIMEOUT_OBJECTIVES

    def start_deadline_ms(self, chosen: Chosen) -> int | None:
        """Return until when the request may begin at the runner; ``None`` without a limit."""
        if chosen.adapter is None or chosen.version is None:
            return None
        return self.placement.start_deadline_ms(chosen.adapter, chosen.version)

    def may_send(self, chosen: Chosen) -> bool:
        """Return whether a runner that was chosen still accepts requests."""
        return self.registry.is_accepting_work(chosen.life)

    def record_sent(self, chosen: Chosen, request_id: str, route: Route, now_ms: int) -> None:
        """Record that a request is being sent to its runner."""
        queue_ms = chosen.queue.expected_ms if chosen.queue is not None else 0
        respond_within_ms = int(route.objective_ms * RESPONSE_TIMEOUT_OBJECTIVES + queue_ms)
        self.health.record_sent(chosen.life, request_id, now_ms, respond_within_ms)

    def record_activity(self, chosen: Chosen, now_ms: int) -> None:
        """Record that a runner sent a part of an answer."""
        self.health.record_response(chosen.life, now_ms)

    def record_result(
        self, chosen: Chosen, request_id: str, result: AttemptResult, took_ms: int, now_ms: int
    ) -> None:
        """Record how an attempt ended."""
        self.health.record_finished(chosen.life, request_id, now_ms)
        match result:
            case Passed() | EndUnknown():
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

    def _cost(self, runner: BackendServer, now_ms: int) -> float:
        work = self.backlog.work_at(runner.life, runner.service, now_ms)
        running, queued = work.requests, work.pending_prefill_tokens
        success = 1.0 - self.health.failure_share(runner.life, now_ms)
        pace = self.backlog.pace_of(runner.life, now_ms)
        tokens = (queued + DECODE_COST_TOKENS * (running + 1)) * pace
        return tokens / max(0.1, success) + self.rng.random()

    def _choose_best(self, runners: list[BackendServer], now_ms: int) -> BackendServer:
        runner_by_life = {runner.life: runner for runner in runners}
        cost_by_life = {life: self._cost(runner, now_ms) for life, runner in runner_by_life.items()}
        pace_by_life = {life: self.backlog.pace_of(life, now_ms) for life in runner_by_life}
        return runner_by_life[choose_life(cost_by_life, pace_by_life, self.rng)]

    def _pending_prefill_tokens(self, runner: BackendServer, now_ms: int) -> int:
        """Return the prompt tokens that a runner still has to process."""
        return self.backlog.work_at(runner.life, runner.service, now_ms).pending_prefill_tokens
