"""Runners that carry out orders in virtual time."""

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
    """A runner as its protocol describes it; it crashes when it is ordered to hold too much."""

    life: ServerLife
    slots: int = 6
    model: str | None = MODEL
    sequence: int = 0
    held: dict[str, int] = attrs.Factory(dict)
    coming: dict[str, tuple[int, int]] = attrs.Factory(dict)
    known: set = attrs.Factory(set)
    model_at_ms: int | None = None
    crashed: bool = False
    shared_store: int | None = None
    in_progress: list[int] = attrs.Factory(list)
    unloads_wait: bool = False

    def settle(self, now_ms: int) -> None:
        """Let loads that are due complete."""
        for name, (version, at_ms) in list(self.coming.items()):
            if now_ms >= at_ms:
                self.held[name] = version
                self.known.add((name, version))
                del self.coming[name]
        if self.model_at_ms is not None and now_ms >= self.model_at_ms:
            self.model, self.model_at_ms = MODEL, None

    def order(self, step: OrderStep, now_ms: int) -> OrderResult:
        """Carry out an order."""
        self.settle(now_ms)
        if step.sequence != self.sequence:
            return Stale("sequence")
        if "/" not in step.name:
            return self._load_model(now_ms)
        if step.operation is Operation.UNLOAD and self.unloads_wait:
            self.sequence += not step.is_confirmation
            return Accepted(complete=False)
        if step.operation is Operation.UNLOAD:
            self.sequence += self.held.pop(step.name, None) is not None
            return Accepted(complete=True)
        version = step.version or 1
        if self.held.get(step.name) == version:
            return Accepted(complete=True)
        if step.name in self.coming:
            return Accepted(complete=False)
        if len(self.coming) >= 4:
            return Stale("four on their way")
        self.held.pop(step.name, None)
        if len(self.held) + len(self.coming) >= self.slots:
            self.crashed = True
        self.sequence += 1
        took_ms = 25 if (step.name, version) in self.known else self._fetch_ms(now_ms)
        self.coming[step.name] = (version, now_ms + took_ms)
        return Accepted(complete=False)

    def _fetch_ms(self, now_ms: int) -> int:
        """Return how long a fetch takes; beyond the store's limit longer in proportion."""
        if self.shared_store is None:
            return 250
        self.in_progress[:] = [end_ms for end_ms in self.in_progress if end_ms > now_ms]
        took_ms = int(250 * max(1.0, (len(self.in_progress) + 1) / self.shared_store))
        self.in_progress.append(now_ms + took_ms)
        return took_ms

    def _load_model(self, now_ms: int) -> OrderResult:
        if self.model is not None:
            return Accepted(complete=True)
        if self.model_at_ms is None:
            self.sequence += 1
            self.model_at_ms = now_ms + 2_000
        return Accepted(complete=False)

    def report(self) -> RunnerReport:
        """Return what it says of itself."""
        adapters = tuple(AdapterRef(name, version) for name, version in self.held.items())
        models = (HeldModel(MODEL, 1, adapters),) if self.model else ()
        incoming = tuple(AdapterRef(name, version) for name, (version, _) in self.coming.items())
        return RunnerReport(self.life, self.sequence, False, models, incoming)


@attrs.define
class World:
    """A desk with its runners and requests."""

    desk: AdapterScheduler
    runners: dict[str, FakeRunner]
    now_ms: int = 1_000
    work: dict[str, ServerWork] = attrs.Factory(dict)
    settled: dict[str, object] = attrs.Factory(dict)
    newest: dict[str, int] = attrs.Factory(dict)
    lose: int = 0
    late: list = attrs.Factory(list)
    steps: list[OrderStep] = attrs.Factory(list)

    def ask(self, name: str, tag: str = "", **changes: object) -> QueuedRequest:
        """Let a request ask for an adapter."""
        tag = tag or name
        waiter = QueuedRequest(
            adapter_name=f"{MODEL}/{name}",
            min_version=1,
            priority=1,
            first_attempt_ms=self.now_ms,
            on_time_until_ms=self.now_ms + 700,
            deadline_ms=self.now_ms + 3_000,
            excluded_runners=frozenset(),
            on_result=lambda result: self.settled.__setitem__(tag, result),
        )
        waiter = attrs.evolve(waiter, **changes)
        self.desk.request_slot(waiter, self.now_ms, self.work)
        return waiter

    def run(self, for_ms: int, every_ms: int = 10) -> None:
        """Let time pass."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += every_ms
            self.turn()

    def turn(self) -> None:
        """Let the desk plan once and its orders be answered."""
        for due_ms, step in list(self.late):
            if self.now_ms >= due_ms:
                self.late.remove((due_ms, step))
                self.runners[step.life].order(step, self.now_ms)
        for life in self.desk.runners_needing_report(self.now_ms):
            runner = self.runners[life]
            runner.settle(self.now_ms)
            self.desk.handle_report(life, runner.report(), self.now_ms)
        self.desk.process_queue(self.now_ms, self.work)
        for step in self.desk.plan(self.now_ms, self.work):
            self.steps.append(step)
            if self.lose > 0 and not step.is_confirmation:
                self.lose -= 1
                self.late.append((self.now_ms + 3_000, step))
                self.desk.handle_order_result(step, Unanswered("lost"), self.now_ms)
                continue
            answer = self.runners[step.life].order(step, self.now_ms)
            self.desk.handle_order_result(step, answer, self.now_ms)
        self.desk.process_queue(self.now_ms, self.work)
        assert not any(runner.crashed for runner in self.runners.values())

    def use(self, life: ServerLife, name: str, requests: int = 1, unread: int = 0) -> None:
        """Let requests be in progress."""
        work = self.work.setdefault(life, ServerWork())
        work.requests += requests
        work.pending_prefill_tokens += unread
        work.requests_by_adapter[f"{MODEL}/{name}"] += requests

    def free(self, life: ServerLife, name: str) -> None:
        """Let them end."""
        self.work[life].requests_by_adapter.pop(f"{MODEL}/{name}")

    def placed(self, tag: str) -> str | None:
        """Return where a request was placed."""
        result = self.settled.get(tag)
        return result.life if isinstance(result, Placed) else None


@pytest.fixture
def make_world():
    """Return a function that makes a world with some runners."""

    def make(count: int = 1, traits: EngineTraits = TRAITS, **runner: object) -> World:
        newest: dict[str, int] = {}
        world = World(AdapterScheduler(traits, newest), {}, newest=newest)
        in_progress: list[int] = []
        for number in range(count):
            life = ServerLife(f"i-{number}")
            world.runners[life] = FakeRunner(life, in_progress=in_progress, **runner)
            world.desk.add_runner(life)
        return world

    return make
