"""Runs one workload under one policy in virtual time, on the product's own runner aggregate."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import attrs

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.placement.load_priority import LoadPrioritizer
from monsoonflow.placement.models import RunnerView
from monsoonflow.placement.runner_selection import build_runner_view
from monsoonflow.placement.spread import Spread, demand_of, runners_in_use
from monsoonflow.runner.aggregate import Runner
from monsoonflow.runner.const import Permission
from monsoonflow.runner.models import Load, Order, RunnerLimits, Unload, WaitingRequest

from .policies import Policy
from .workloads import Place, Request, Workload

ALL = Permission.ALL
TAIL_MS = 60_000


@attrs.define(slots=True)
class Job:
    """A request on its way.

    :param stalled_ms: how long it waited for its adapter.
    """

    request: Request
    runner_id: str
    left: int
    resident_at_ms: int | None = None
    first_ms: int | None = None
    ended_ms: int | None = None

    @property
    def stalled_ms(self) -> int:
        """Return the time that it waited for its adapter to be loaded."""
        if self.resident_at_ms is None:
            return TAIL_MS
        return self.resident_at_ms - self.request.at_ms


class PolicyWorld:
    """One run."""

    def __init__(self, place: Place, workload: Workload, policy: Policy, seed: int = 1) -> None:
        self.place, self.workload, self.policy = place, workload, policy
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.steps = self.filled = self.loads = self.failed_loads = 0
        limits = RunnerLimits(place.slots, place.max_batch)
        names = [f"m{number}" for number in range(place.runners)]
        self.runner_by_id = {
            name: policy.runner(name, limits, policy.weights, "b") for name in names
        }
        self.view_by_id = {
            name: RunnerView(name, "base", place.slots, place.max_batch) for name in names
        }
        self.order = LoadPrioritizer(policy.background_every)
        self.spread = Spread(policy.spread)
        self.in_use = list(names)
        self.jobs: dict[str, Job] = {}
        self.loading: dict[tuple[str, AdapterRef], float] = {}
        self.used: set[tuple[str, AdapterRef]] = set()
        self.wasted = 0
        self._stepping: set[str] = set()
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._store_at_ms = 0

    def run(self) -> list[Job]:
        """Run the workload to its end and return every job."""
        for request in self.workload.requests:
            self._at(request.at_ms, lambda request=request: self._arrive(request))
        end_ms = self.workload.requests[-1].at_ms + TAIL_MS
        self._at(self.workload.lag_ms, self._report)
        if self.workload.restart_at_ms is not None:
            self._at(self.workload.restart_at_ms, self._restart)
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()
        return list(self.jobs.values())

    def _at(self, at_ms: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (at_ms, self._sequence, action))

    def _arrive(self, request: Request) -> None:
        views = {name: self.view_by_id[name] for name in self.in_use}
        runner_id = self.policy.choose(request.adapter, views, self.rng)
        self.view_by_id[runner_id].sent_since_report += 1
        runner = self.runner_by_id[runner_id]
        job = Job(request, runner_id, request.tokens)
        if request.adapter in runner.resident():
            job.resident_at_ms = self.now_ms
            self.used.add((runner_id, request.adapter))
        name = str(request.number)
        self.jobs[name] = job
        runner.enqueue(
            WaitingRequest(
                name,
                request.adapter,
                request.customer,
                self.now_ms,
                request.priority,
                request.customer == "newcomer" and self.policy.background_every > 1,
            )
        )
        self._decide(runner_id)

    def _decide(self, runner_id: str) -> None:
        runner = self.runner_by_id[runner_id]
        for dispatch in runner.dispatch_ready(self.now_ms, ALL):
            self.jobs[dispatch.request_id].first_ms = self.now_ms + self.place.step_ms
        if runner.running and runner_id not in self._stepping:
            self._stepping.add(runner_id)
            self._at(self.now_ms + self.place.step_ms, lambda: self._step(runner_id))
        self._start_loads()

    def _step(self, runner_id: str) -> None:
        self._stepping.discard(runner_id)
        runner = self.runner_by_id[runner_id]
        running = list(runner.adapter_by_run_id)
        self.steps += 1
        self.filled += len(running)
        for name in running:
            job = self.jobs[name]
            job.left -= 1
            if job.left <= 0:
                job.ended_ms = self.now_ms
                self._carry_out(runner, runner.handle_run_end(name, self.now_ms))
        self._decide(runner_id)

    def _start_loads(self) -> None:
        if self.policy.ordered:
            self._start_one(list(self.runner_by_id.values()), len(self.loading))
            return
        for runner in self.runner_by_id.values():
            under_way = sum(1 for name, _ in self.loading if name == runner.runner_id)
            if not under_way:
                self._start_one([runner], 0)

    def _start_one(self, runners: list[Runner], under_way: int) -> None:
        if under_way:
            return
        candidates = [
            entry for runner in runners for entry in runner.load_options(self.now_ms, ALL)
        ]
        if not candidates:
            return
        chosen = self.order.pick(candidates)
        assert chosen is not None
        self.order.record_grant(chosen)
        runner = self.runner_by_id[chosen.runner_id]
        self._carry_out(runner, runner.start_load(chosen.adapter, self.now_ms, ALL))

    def _carry_out(self, runner: Runner, orders: list[Order]) -> None:
        for order in orders:
            match order:
                case Unload(adapter=adapter):
                    self._note_unload(runner.runner_id, adapter)
                    self._carry_out(runner, runner.handle_unloaded(adapter))
                case Load(adapter=adapter):
                    self._advance_store()
                    self.loading[(runner.runner_id, adapter)] = 1.0
                    self._plan_store()

    def _note_unload(self, runner_id: str, adapter: AdapterRef) -> None:
        if (runner_id, adapter) in self.used:
            self.used.discard((runner_id, adapter))
        else:
            self.wasted += 1

    def _rate(self) -> float:
        slow_from = self.workload.slow_from_ms
        slow = slow_from is not None and self.now_ms >= slow_from
        return self.place.loads_per_second * (0.5 if slow else 1.0)

    def _advance_store(self) -> None:
        """Let the loads under way share the store's rate up to now."""
        passed_ms = self.now_ms - self._store_at_ms
        self._store_at_ms = self.now_ms
        for key in self.loading:
            self.loading[key] -= passed_ms / 1000 * self._rate() / len(self.loading)

    def _plan_store(self) -> None:
        if self.loading:
            least = max(0.0, min(self.loading.values()))
            wait_ms = least * len(self.loading) / self._rate() * 1000
            self._at(self.now_ms + max(1, round(wait_ms)), self._store_event)

    def _store_event(self) -> None:
        self._advance_store()
        done = [key for key, left in self.loading.items() if left <= 1e-3]
        for runner_id, adapter in done:
            del self.loading[(runner_id, adapter)]
            self._end_load(runner_id, adapter)
        if done:
            self._plan_store()

    def _end_load(self, runner_id: str, adapter: AdapterRef) -> None:
        runner = self.runner_by_id[runner_id]
        if self.rng.random() < self.workload.fail_loads:
            self.failed_loads += 1
            runner.handle_load_failure(adapter, self.now_ms)
            self._at(self.now_ms + 520, lambda: self._decide(runner_id))
            return
        self.loads += 1
        runner.handle_loaded(adapter, self.now_ms)
        queue = runner.queue_by_adapter.get(adapter)
        for waiting in queue.waiting_requests() if queue else []:
            job = self.jobs[waiting.request_id]
            if job.resident_at_ms is None:
                job.resident_at_ms = self.now_ms
                self.used.add((runner_id, adapter))
        self._decide(runner_id)

    def _report(self) -> None:
        """Let every runner's state be known, as old as the workload says."""
        for name, runner in self.runner_by_id.items():
            self.view_by_id[name] = build_runner_view(runner, "base", self.now_ms, True)
        self._respread()
        if self.now_ms < self.workload.requests[-1].at_ms + TAIL_MS:
            self._at(self.now_ms + self.workload.lag_ms, self._report)

    def _respread(self) -> None:
        demand = demand_of(list(self.view_by_id.values()))
        count = self.spread.update(demand, self.now_ms)
        self.in_use = runners_in_use("base", list(self.runner_by_id), count)

    def _restart(self) -> None:
        """Let a runner restart empty: its runs begin again as waiting requests."""
        runner = self.runner_by_id["m0"]
        lost = list(runner.adapter_by_run_id)
        for name in lost:
            runner.handle_run_end(name, self.now_ms)
        runner.reconcile("b2", set())
        for name in lost:
            job = self.jobs[name]
            job.left, job.resident_at_ms = job.request.tokens, None
            request = job.request
            runner.enqueue(WaitingRequest(name, request.adapter, request.customer, self.now_ms))
        self._decide("m0")
