"""Randomised runs of the orders to a cell's runners, in virtual time.

Answers of orders are lost and the orders carried out seconds later, runners crash and come back
empty under another name, holders change in the middle of orders, new versions are named. Checked at
the runners, as their operator would: none is ordered to hold more than it can, none loads base
models faster than the store allows, nothing in use is dropped, and who asks is served once it is
calm.
"""

from __future__ import annotations

import random
from typing import Final

import attrs

from monsoonflow.core.server_life import ServerLife
from monsoonflow.orders.models import Operation, OrderResult, Superseded, Unanswered
from monsoonflow.placement.request_queue import Placed, QueuedRequest
from monsoonflow.placement.scheduler import AdapterScheduler
from monsoonflow.placement.slots import OrderStep
from monsoonflow.routing.in_flight import ServerWork
from tests.placement.conftest import MODEL, TRAITS, FakeRunner

STEP_MS: Final = 10
TROUBLE_MS: Final = 20_000
CALM_MS: Final = 6_000
LOAD_WINDOW_MS: Final = 5_000


@attrs.define
class Runner(FakeRunner):
    """A runner that refuses orders of a holder that has been replaced."""

    fence: int = 0

    def take(self, step: OrderStep, fence: int, now_ms: int) -> OrderResult:
        """Carry out an order, unless a newer holder has spoken."""
        if fence < self.fence:
            return Superseded()
        self.fence = fence
        return self.order(step, now_ms)


@attrs.define
class Use:
    """A request that runs at a runner."""

    life: ServerLife
    name: str
    until_ms: int


class OrdersRun:
    """One randomised run of a cell."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 1_000
        self.slots = self.rng.randint(2, 6)
        self.newest: dict[str, int] = {}
        self.runners: dict[str, Runner] = {}
        self.uses: list[Use] = []
        self.late: list[tuple[int, str, OrderStep, int]] = []
        self.model_loads: list[int] = []
        self.broken: list[str] = []
        self.fence = 1
        self.count = 0
        self.served = 0
        loads_per_s = self.rng.choice((0.2, 0.5, 2.8))
        self.traits = attrs.evolve(TRAITS, adapter_slots=self.slots, loads_per_s=loads_per_s)
        self.desk = AdapterScheduler(self.traits, self.newest, LOAD_WINDOW_MS)
        for _ in range(self.rng.randint(2, 8)):
            self._add_runner(MODEL)

    def run(self) -> list[str]:
        """Run and return what was broken."""
        end_ms = self.now_ms + TROUBLE_MS
        while self.now_ms < end_ms:
            self._trouble()
            self._turn(0.12, self.rng.choice((0.0, 0.1, 0.4)))
        for _ in range(CALM_MS // STEP_MS):
            self._turn(0.02, 0.0)
        before = self.served
        for _ in range(2_000 // STEP_MS):
            self._turn(0.05, 0.0)
        if self.served == before:
            self.broken.append("nobody is served once it is calm")
        return self.broken

    def _trouble(self) -> None:
        draw = self.rng.random()
        if draw < 0.002 and len(self.runners) > 1:
            self._crash(self.rng.choice(list(self.runners)))
        elif draw < 0.0025:
            for life in list(self.runners):
                self._crash(life)
        elif draw < 0.0035:
            self._change_holder()
        elif draw < 0.0065:
            name = f"{MODEL}/a{self._popular()}"
            self.newest[name] = self.newest.get(name, 1) + 1

    def _add_runner(self, model: str | None) -> None:
        self.count += 1
        life = ServerLife(f"i-{self.count}")
        self.runners[life] = Runner(life, self.slots, model)
        self.desk.add_runner(life)

    def _crash(self, life: ServerLife) -> None:
        del self.runners[life]
        self.desk.remove_runner(life)
        self.uses = [use for use in self.uses if use.life != life]
        self._add_runner(None)

    def _change_holder(self) -> None:
        self.desk.close()
        self.fence += 1
        self.desk = AdapterScheduler(
            self.traits, self.newest, LOAD_WINDOW_MS, holder_since_ms=self.now_ms
        )
        for life in self.runners:
            self.desk.add_runner(life)

    def _turn(self, asks: float, lost: float) -> None:
        self.now_ms += STEP_MS
        self._carry_out_late()
        self.uses = [use for use in self.uses if use.until_ms > self.now_ms]
        work = self._work()
        if self.rng.random() < asks:
            self._ask(work)
        for waiter in [w for w in self.desk.queued_requests if w.deadline_ms <= self.now_ms]:
            self.desk.remove_request(waiter, self.now_ms)
        for life in self.desk.runners_needing_report(self.now_ms):
            runner = self.runners[life]
            runner.settle(self.now_ms)
            self.desk.handle_report(life, runner.report(), self.now_ms)
        self.desk.process_queue(self.now_ms, work)
        for step in self.desk.plan(self.now_ms, self._work()):
            self._send(step, lost)

    def _ask(self, work: dict[str, ServerWork]) -> None:
        name = f"{MODEL}/a{self._popular()}"
        waiter = QueuedRequest(
            adapter_name=name,
            min_version=self.newest.get(name, 1),
            priority=self.rng.randint(0, 2),
            first_attempt_ms=self.now_ms,
            on_time_until_ms=self.now_ms + 700,
            deadline_ms=self.now_ms + 3_000,
            excluded_runners=frozenset(),
            on_result=lambda result: self._settled(name, result),
        )
        self.desk.request_slot(waiter, self.now_ms, work)

    def _popular(self) -> int:
        return min(500, int(self.rng.paretovariate(0.6)))

    def _settled(self, name: str, result: object) -> None:
        if isinstance(result, Placed):
            self.served += 1
            took_ms = self.rng.randint(100, 2_000)
            self.uses.append(Use(result.life, name, self.now_ms + took_ms))

    def _work(self) -> dict[str, ServerWork]:
        work: dict[str, ServerWork] = {}
        for use in self.uses:
            at = work.setdefault(use.life, ServerWork())
            at.requests += 1
            at.requests_by_adapter[use.name] += 1
        return work

    def _send(self, step: OrderStep, lost: float) -> None:
        self._check(step)
        runner = self.runners[step.life]
        if not step.is_confirmation and self.rng.random() < lost:
            if self.rng.random() < 0.6:
                due_ms = self.now_ms + self.rng.randint(200, 4_000)
                self.late.append((due_ms, step.life, step, self.fence))
            self.desk.handle_order_result(step, Unanswered("lost"), self.now_ms)
            return
        self._apply(runner, step, self.fence, answered=True)

    def _apply(self, runner: Runner, step: OrderStep, fence: int, answered: bool) -> None:
        sequence = runner.sequence
        answer = runner.take(step, fence, self.now_ms)
        if step.name == MODEL and runner.sequence > sequence:
            self._model_load()
        if runner.crashed:
            self.broken.append(f"{runner.life} was ordered to hold more than it can")
            runner.crashed = False
        if answered:
            self.desk.handle_order_result(step, answer, self.now_ms)

    def _carry_out_late(self) -> None:
        due = [entry for entry in self.late if entry[0] <= self.now_ms]
        self.late = [entry for entry in self.late if entry[0] > self.now_ms]
        for _, life, step, fence in due:
            if life in self.runners:
                self._apply(self.runners[life], step, fence, answered=False)

    def _check(self, step: OrderStep) -> None:
        used = any(u.life == step.life and u.name == step.name for u in self.uses)
        if step.operation is Operation.UNLOAD and used and not step.is_confirmation:
            self.broken.append(f"{step.name} is dropped at {step.life} while in use")

    def _model_load(self) -> None:
        self.model_loads.append(self.now_ms)
        lately = [at for at in self.model_loads if self.now_ms - at < LOAD_WINDOW_MS]
        if len(lately) > self.traits.loads_per_s * LOAD_WINDOW_MS / 1_000 * 1.1 + 3:
            self.broken.append(f"{len(lately)} base models are loaded within 5 s")
