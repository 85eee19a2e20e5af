"""A simulated cell whose runners carry out orders in virtual time."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import HeldModel
from monsoonflow.orders.models import (
    Accepted,
    Operation,
    OrderResult,
    RunnerReport,
    Stale,
    Unanswered,
)
from monsoonflow.placement.request_queue import Placed, QueuedRequest
from monsoonflow.placement.scheduler import AdapterScheduler
from monsoonflow.placement.slots import OrderStep
from monsoonflow.routing.in_flight import ServerWork
from monsoonflow.routing.routes import BaseModel, EngineTraits

MODEL = "m"
TRAITS = EngineTraits(
    max_batch_size=96,
    memory_tokens=100_000,
    weights_mb=35_200,
    adapter_slots=6,
    loads_per_s=2.8,
    models=(BaseModel(MODEL, 34_300, 2_000, 1_000, 40, 3_000),),
)


@attrs.define
class FakeRunner:
    """A runner that follows the runner protocol and crashes if ordered to hold too many adapters.

    :param held: version by name of the adapters that it holds.
    :param loading: version and completion time by name of the adapters that it is loading.
    :param cached: name and version of the adapters of which it keeps a cached copy.
    :param model_loaded_at_ms: when the load of its base model completes.
    :param shared_store: concurrent fetches that the weight store carries at full speed; ``None``
        for no limit.
    :param in_progress: end times of the fetches of all runners that share the store.
    :param has_pending_unloads: whether unloads stay in progress, waiting for running requests.
    """

    life: ServerLife
    slot_count: int = 6
    model: str | None = MODEL
    sequence: int = 0
    held: dict[str, int] = attrs.Factory(dict)
    loading: dict[str, tuple[int, int]] = attrs.Factory(dict)
    cached: set = attrs.Factory(set)
    model_loaded_at_ms: int | None = None
    crashed: bool = False
    shared_store: int | None = None
    in_progress: list[int] = attrs.Factory(list)
    has_pending_unloads: bool = False

    def settle(self, now_ms: int) -> None:
        """Complete the loads that are due."""
        for name, (version, completed_ms) in list(self.loading.items()):
            if now_ms >= completed_ms:
                self.held[name] = version
                self.cached.add((name, version))
                del self.loading[name]
        if self.model_loaded_at_ms is not None and now_ms >= self.model_loaded_at_ms:
            self.model, self.model_loaded_at_ms = MODEL, None

    def order(self, step: OrderStep, now_ms: int) -> OrderResult:
        """Carry out an order."""
        self.settle(now_ms)
        if step.sequence != self.sequence:
            return Stale("sequence")
        if "/" not in step.name:
            return self._load_model(now_ms)
        if step.operation is Operation.UNLOAD and self.has_pending_unloads:
            self.sequence += not step.is_confirmation
            return Accepted(complete=False)
        if step.operation is Operation.UNLOAD:
            self.sequence += self.held.pop(step.name, None) is not None
            return Accepted(complete=True)
        version = step.version or 1
        if self.held.get(step.name) == version:
            return Accepted(complete=True)
        if step.name in self.loading:
            return Accepted(complete=False)
        if len(self.loading) >= 4:
            return Stale("four loads in progress")
        self.held.pop(step.name, None)
        if len(self.held) + len(self.loading) >= self.slot_count:
            self.crashed = True
        self.sequence += 1
        took_ms = 25 if (step.name, version) in self.cached else self._fetch_ms(now_ms)
        self.loading[step.name] = (version, now_ms + took_ms)
        return Accepted(complete=False)

    def _fetch_ms(self, now_ms: int) -> int:
        """Return how long a fetch takes, proportionally longer beyond the store's limit."""
        if self.shared_store is None:
            return 250
        self.in_progress[:] = [end_ms for end_ms in self.in_progress if end_ms > now_ms]
        took_ms = int(250 * max(1.0, (len(self.in_progress) + 1) / self.shared_store))
        self.in_progress.append(now_ms + took_ms)
        return took_ms

    def _load_model(self, now_ms: int) -> OrderResult:
        if self.model is not None:
            return Accepted(complete=True)
        if self.model_loaded_at_ms is None:
            self.sequence += 1
            self.model_loaded_at_ms = now_ms + 2_000
        return Accepted(complete=False)

    def report(self) -> RunnerReport:
        """Return a report of its state."""
        adapters = tuple(AdapterRef(name, version) for name, version in self.held.items())
        models = (HeldModel(MODEL, 1, adapters),) if self.model else ()
        loading_adapters = tuple(
            AdapterRef(name, version) for name, (version, _) in self.loading.items()
        )
        return RunnerReport(self.life, self.sequence, False, models, loading_adapters)


@attrs.define
class SimulatedCell:
    """A scheduler with its runners and requests.

    :param work: requests in progress, by runner.
    :param results: result of each request that was placed or refused, by tag.
    :param newest: newest version by adapter.
    :param orders_to_lose: number of further orders whose response is lost; they are carried out
        three seconds later.
    :param delayed_orders: due time and step of the lost orders not carried out yet.
    :param steps: all orders sent so far.
    """

    scheduler: AdapterScheduler
    runners: dict[str, FakeRunner]
    now_ms: int = 1_000
    work: dict[str, ServerWork] = attrs.Factory(dict)
    results: dict[str, object] = attrs.Factory(dict)
    newest: dict[str, int] = attrs.Factory(dict)
    orders_to_lose: int = 0
    delayed_orders: list = attrs.Factory(list)
    steps: list[OrderStep] = attrs.Factory(list)

    def request(self, name: str, tag: str = "", **changes: object) -> QueuedRequest:
        """Request a slot with an adapter; return the request."""
        tag = tag or name
        request = QueuedRequest(
            adapter_name=f"{MODEL}/{name}",
            min_version=1,
            priority=1,
            first_attempt_ms=self.now_ms,
            on_time_until_ms=self.now_ms + 700,
            deadline_ms=self.now_ms + 3_000,
            excluded_runners=frozenset(),
            on_result=lambda result: self.results.__setitem__(tag, result),
        )
        request = attrs.evolve(request, **changes)
        self.scheduler.request_slot(request, self.now_ms, self.work)
        return request

    def run(self, for_ms: int, every_ms: int = 10) -> None:
        """Let time pass, with a plan at each step."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += every_ms
            self.run_plan()

    def run_plan(self) -> None:
        """Let the scheduler plan once, and carry out its orders."""
        for due_ms, step in list(self.delayed_orders):
            if self.now_ms >= due_ms:
                self.delayed_orders.remove((due_ms, step))
                self.runners[step.life].order(step, self.now_ms)
        for life in self.scheduler.runners_needing_report(self.now_ms):
            runner = self.runners[life]
            runner.settle(self.now_ms)
            self.scheduler.handle_report(life, runner.report(), self.now_ms)
        self.scheduler.process_queue(self.now_ms, self.work)
        for step in self.scheduler.plan(self.now_ms, self.work):
            self.steps.append(step)
            if self.orders_to_lose > 0 and not step.is_confirmation:
                self.orders_to_lose -= 1
                self.delayed_orders.append((self.now_ms + 3_000, step))
                self.scheduler.handle_order_result(step, Unanswered("lost"), self.now_ms)
                continue
            result = self.runners[step.life].order(step, self.now_ms)
            self.scheduler.handle_order_result(step, result, self.now_ms)
        self.scheduler.process_queue(self.now_ms, self.work)
        assert not any(runner.crashed for runner in self.runners.values())

    def start_requests(
        self, life: ServerLife, name: str, requests: int = 1, pending_prefill_tokens: int = 0
    ) -> None:
        """Add requests in progress at a runner."""
        work = self.work.setdefault(life, ServerWork())
        work.requests += requests
        work.pending_prefill_tokens += pending_prefill_tokens
        work.requests_by_adapter[f"{MODEL}/{name}"] += requests

    def end_requests(self, life: ServerLife, name: str) -> None:
        """End all requests for an adapter at a runner."""
        self.work[life].requests_by_adapter.pop(f"{MODEL}/{name}")

    def runner_of(self, tag: str) -> str | None:
        """Return the runner where a request was placed; ``None`` if it was not."""
        result = self.results.get(tag)
        return result.life if isinstance(result, Placed) else None


@pytest.fixture
def make_cell():
    """Return a function that creates a cell with some runners."""

    def make(
        count: int = 1, traits: EngineTraits = TRAITS, **runner_fields: object
    ) -> SimulatedCell:
        newest: dict[str, int] = {}
        cell = SimulatedCell(AdapterScheduler(traits, newest), {}, newest=newest)
        in_progress: list[int] = []
        for number in range(count):
            life = ServerLife(f"i-{number}")
            cell.runners[life] = FakeRunner(life, in_progress=in_progress, **runner_fields)
            cell.scheduler.add_runner(life)
        return cell

    return make
