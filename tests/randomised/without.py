"""Runs the seeds with one safeguard at a time switched off, to see that each is needed."""

from __future__ import annotations

import argparse
import logging
import os
import subprocess
import sys
from collections.abc import Callable
from typing import Any

from monsoonflow.configuration import store
from monsoonflow.core import invariant
from monsoonflow.core.invariant import InvariantBroken
from monsoonflow.core.outcome import Done, NotRun
from monsoonflow.node import intake, stop, takeover
from monsoonflow.node.health import HealthLoop
from monsoonflow.node.lease_loop import LeaseLoop
from monsoonflow.orders.models import Unanswered
from monsoonflow.ownership.lease import HeldLease
from monsoonflow.ownership.takeover_guard import TakeoverGuard
from monsoonflow.placement.idle_slots import IdleSlots
from monsoonflow.placement.model_load_limit import ModelLoadLimit
from monsoonflow.placement.scheduler import AdapterScheduler
from monsoonflow.request import life as life_module
from monsoonflow.request.const import State
from monsoonflow.request.models import ChunkVerdict
from monsoonflow.routing.limits import RetryBudget
from monsoonflow.runner import aggregate
from monsoonflow.runner.const import Permission, SlotState
from monsoonflow.serving.core import ServingCore

from .orders import OrdersRun
from .scenario import Scenario


def replace(owner: Any, name: str, value: Any) -> None:
    """Put something else in a safeguard's place."""
    setattr(owner, name, value)


def _no_invariants() -> None:
    """Let broken rules pass, so that their effect shows at the stand-ins."""
    for module in (aggregate, life_module):
        replace(module, "require", lambda _holds, _rule: None)
    replace(invariant, "require", lambda _holds, _rule: None)


def pins() -> None:
    """Evict adapters whether or not requests use them."""
    _no_invariants()
    replace(
        aggregate.Runner, "_is_evictable", lambda _self, slot: slot.state is not SlotState.UNLOADING
    )
    replace(aggregate.Runner, "check_invariants", lambda _self: None)


def lease() -> None:
    """Act as owner whatever the lease and newer rows say, without a look before sends."""
    replace(HeldLease, "is_held", lambda self, _now_ms: self._valid_until_ms is not None)
    replace(LeaseLoop, "_drop_lost", lambda _self: None)
    send_check()
    quarantine()


def send_check() -> None:
    """Send orders without a last look at lease and fencing number."""
    replace(ServingCore, "may_send", lambda *_arguments: True)


def quarantine() -> None:
    """Evict at once after a takeover, whoever may still be sending."""
    replace(TakeoverGuard, "permission", lambda _self, _now_ms: Permission.ALL)


def adopted_runs() -> None:
    """Take a runner over without pinning what it still runs."""
    original = takeover.Takeover._adopt

    def adopt(self: Any, row: Any, state: Any, _runs: Any, claimed_ms: Any) -> None:
        state.running.clear()
        original(self, row, state, {}, claimed_ms)

    replace(takeover.Takeover, "_adopt", adopt)


def report_lag() -> None:
    """Release an earlier owner's pins by reports that are older than its last sends."""

    def end(self: Any, owned: Any, state: Any, asked_ms: int) -> None:
        for run_id in sorted(owned.foreign_runs - set(state.running)):
            self._context.core.handle_run_end(owned.runner.runner_id, run_id, asked_ms)

    replace(HealthLoop, "_end_foreign_runs", end)


def key_home() -> None:
    """Run a repeated key at whichever node it reaches."""
    replace(intake.Intake, "_home", lambda _self, _arrival, _served: intake._Home(None))


def offered_once() -> None:
    """Try again what may not be repeated, without a budget."""
    _no_invariants()
    replace(RetryBudget, "try_spend", lambda _self: True)
    original = life_module.RequestLife._after_loss

    def after_loss(self: Any, reason: str, ran: bool) -> Any:
        if not self.chunks and self.attempt < 3:
            self.state = State.ADMITTED
            self.resumes = 0
            return life_module.Retry(self.attempt + 1)
        return original(self, reason, ran)

    replace(life_module.RequestLife, "_after_loss", after_loss)


def not_run_is_true() -> None:
    """Say "not run" of whatever was given up."""
    _no_invariants()

    def give_up(self: Any, reason: str, retry_after_ms: Any = None, status: int = 503) -> Any:
        return self.outcome or self._end(NotRun(reason, retry_after_ms, status))

    replace(life_module.RequestLife, "give_up", give_up)


def echo() -> None:
    """Pass text on without a look at which adapter the engine says it runs."""

    def begin(self: Any, _attempt: int, _served: str) -> None:
        self.state = State.STREAMING

    replace(life_module.RequestLife, "begin", begin)


def chunk_order() -> None:
    """Take chunks as they come, and any end marker."""

    def chunk(self: Any, _attempt: int, _index: int, text: str) -> ChunkVerdict:
        self.chunks.append(text)
        self._digest.update(text.encode())
        return ChunkVerdict.ACCEPTED

    def finish(self: Any, _attempt: int, _count: int, _digest: str) -> Any:
        return life_module.End(self.outcome or self._end(Done(len(self.chunks), self.digest)))

    replace(life_module.RequestLife, "chunk", chunk)
    replace(life_module.RequestLife, "finish", finish)


def plan_condition() -> None:
    """Confirm plans without a condition on the head's version."""
    original = store.ConfigurationStore._advance

    def advance(self: Any, plan: Any, row: int, head: int, head_row: int, *rest: Any) -> Any:
        commit = self._table.commit

        def unbound(transaction: Any) -> Any:
            transaction.conditions.pop(store.HEAD_KEY, None)
            return commit(transaction)

        self._table.commit = unbound
        try:
            return original(self, plan, row, head, head_row, *rest)
        finally:
            self._table.commit = commit

    replace(store.ConfigurationStore, "_advance", advance)
    replace(store, "StalePlan", store.StalePlan)


def graceful_stop() -> None:
    """Leave without waiting for the requests in progress."""
    replace(stop.GracefulStop, "_active", lambda _self: 0)


def doubtful_orders() -> None:
    """Give the place of an order without an answer to another adapter."""
    original = AdapterScheduler.handle_order_result

    def answered(self: Any, step: Any, answer: Any, now_ms: int) -> bool:
        known = original(self, step, answer, now_ms)
        runner = self.runners.get(step.life)
        if isinstance(answer, Unanswered) and runner is not None:
            self._undo(runner, step)
            runner.sequence += 1
        return known

    replace(AdapterScheduler, "handle_order_result", answered)


def places_in_use() -> None:
    """Take places from requests that are in progress."""
    original = IdleSlots._idle

    def idle(self: Any, runner: Any, now_ms: int, _work: Any) -> Any:
        return original(self, runner, now_ms + 1_000, {})

    replace(IdleSlots, "_idle", idle)


def model_rate() -> None:
    """Load base models as soon as a runner lacks one."""
    replace(ModelLoadLimit, "allows", lambda _self, _now_ms: True)


ORDERS: frozenset[str] = frozenset({"doubtful_orders", "places_in_use", "model_rate"})
"""Safeguards that the runs of orders need; the others are needed by runs of whole nodes."""

SAFEGUARDS: dict[str, Callable[[], None]] = {
    function.__name__: function
    for function in (
        pins,
        lease,
        adopted_runs,
        report_lag,
        key_home,
        offered_once,
        not_run_is_true,
        echo,
        chunk_order,
        plan_condition,
        graceful_stop,
        doubtful_orders,
        places_in_use,
        model_rate,
    )
}


def _whole_nodes(seed: int) -> list[str]:
    return Scenario(seed, intensity=3.0).run()


def run_one(name: str, first: int, count: int) -> int:
    """Run seeds without one safeguard and print the first promise that breaks."""
    logging.disable(logging.CRITICAL)
    SAFEGUARDS[name]()
    failed = 0
    example = ""
    for seed in range(first, first + count):
        try:
            broken = OrdersRun(seed).run() if name in ORDERS else _whole_nodes(seed)
        except InvariantBroken as stopped:
            broken = [f"invariant in the product: {stopped}"]
        if broken:
            failed += 1
            example = example or f"seed {seed}: {broken[0][:150]}"
    print(f"{name:<16} off: {failed:>3} of {count} seeds break a promise; {example}", flush=True)
    return 0


def main() -> int:
    """Run all safeguards, each in a process of its own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--only", choices=sorted(SAFEGUARDS))
    given = parser.parse_args()
    if given.only:
        return run_one(given.only, given.seed, given.count)
    command = [sys.executable, "-m", "tests.randomised.without"]
    limits = ["--seed", str(given.seed), "--count", str(given.count)]
    running = [
        subprocess.Popen([*command, "--only", name, *limits], env=os.environ) for name in SAFEGUARDS
    ]
    return max(process.wait() for process in running)


if __name__ == "__main__":
    sys.exit(main())
