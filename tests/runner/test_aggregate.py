"""Tests which requests a runner dispatches and which adapters it loads and evicts."""

from __future__ import annotations

import pytest

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.runner.aggregate import Runner
from monsoonflow.runner.const import MAX_LOAD_FAILURES, Permission, SlotState
from monsoonflow.runner.models import (
    Dispatch,
    Load,
    LoadWeights,
    RunnerLimits,
    Unload,
    WaitingRequest,
)

ALL = Permission.ALL
A, B, C = (AdapterRef(name, 1) for name in "abc")


@pytest.fixture
def runner():
    return Runner("m1", RunnerLimits(2, 4), LoadWeights(), "boot-1")


def enqueue(runner, request_id, adapter, now_ms=0, customer="acme", priority=1):
    runner.enqueue(WaitingRequest(request_id, adapter, customer, now_ms, priority))


def load(runner, adapter, now_ms=0):
    for order in runner.start_load(adapter, now_ms, ALL):
        if isinstance(order, Unload):
            runner.handle_unloaded(order.adapter)
    runner.handle_loaded(adapter, now_ms)
    runner.check_invariants()


def test_request_waits_for_its_adapter_then_pins_it(runner):
    enqueue(runner, "r1", A)
    assert runner.dispatch_ready(0, ALL) == []
    load(runner, A)
    assert runner.dispatch_ready(5, ALL) == [Dispatch("r1", A)]
    assert runner.slot_by_adapter[A].pins == {"r1"}
    runner.check_invariants()


def test_one_load_serves_all_requests_that_wait_for_it(runner):
    for number in range(3):
        enqueue(runner, f"r{number}", A)
    load(runner, A)
    assert len(runner.dispatch_ready(0, ALL)) == 3


def test_adapter_with_highest_waiting_cost_is_loaded_first(runner):
    enqueue(runner, "r1", A, 0)
    enqueue(runner, "r2", B, 10)
    enqueue(runner, "r3", B, 10)
    assert runner.load_options(20, ALL)[0].adapter == B


def test_overdue_request_is_loaded_before_higher_scores(runner):
    enqueue(runner, "r1", A, 0)
    for number in range(100):
        enqueue(runner, f"b{number}", B, 10_500)
    assert runner.load_options(10_600, ALL)[0].adapter == A


def test_pinned_adapters_are_never_evicted(runner):
    """All slots serve requests while a request for another adapter waits.

    Evicting an adapter in use would abort its request or let it run on other weights. Instead, the
    least used adapter is closed after ``close_after_ms`` and unloaded once it is idle.
    """
    enqueue(runner, "r1", A)
    enqueue(runner, "r2", B)
    load(runner, A)
    load(runner, B)
    runner.dispatch_ready(0, ALL)
    enqueue(runner, "r3", C, 100)
    assert runner.load_options(200, ALL) == []
    assert runner.start_load(C, 200, ALL) == []
    assert runner.load_options(5_000, ALL) == []
    closing = [s.adapter for s in runner.slot_by_adapter.values() if s.state is SlotState.CLOSING]
    assert len(closing) == 1
    run_id = next(run for run, adapter in runner.adapter_by_run_id.items() if adapter in closing)
    assert runner.handle_run_end(run_id, 5_100) == [Unload(closing[0])]
    runner.handle_unloaded(closing[0])
    assert runner.start_load(C, 5_100, ALL) == [Load(C)]


def test_closed_adapter_reopens_when_its_slot_is_no_longer_needed(runner):
    """Requests wait for a closed adapter, and the request that needed its slot is withdrawn.

    If it stayed closed, it would be neither loaded again nor used, and its requests would wait
    until their deadline.
    """
    enqueue(runner, "r1", A)
    enqueue(runner, "r2", B)
    load(runner, A)
    load(runner, B)
    runner.dispatch_ready(0, ALL)
    enqueue(runner, "r3", C, 100)
    runner.load_options(5_000, ALL)
    closing = next(s for s in runner.slot_by_adapter.values() if s.state is SlotState.CLOSING)
    enqueue(runner, "r4", closing.adapter, 5_000)
    assert runner.dispatch_ready(5_000, ALL) == []
    runner.withdraw("r3")
    runner.load_options(5_100, ALL)
    assert runner.dispatch_ready(5_100, ALL) == [Dispatch("r4", closing.adapter)]


def test_nothing_is_evicted_without_permission(runner):
    load(runner, A)
    load(runner, B)
    enqueue(runner, "r1", C)
    assert runner.load_options(0, Permission.NO_EVICTION) == []
    assert runner.start_load(C, 0, Permission.NO_EVICTION) == []
    assert runner.dispatch_ready(0, Permission.NOTHING) == []


def test_dispatches_never_exceed_max_batch(runner):
    for number in range(9):
        enqueue(runner, f"r{number}", A)
    load(runner, A)
    assert len(runner.dispatch_ready(0, ALL)) == 4


def test_most_urgent_priority_is_dispatched_first(runner):
    for number in range(4):
        enqueue(runner, f"tile{number}", A, number, priority=3)
    enqueue(runner, "lookup", A, 10, priority=0)
    load(runner, A)
    assert runner.dispatch_ready(20, ALL)[0] == Dispatch("lookup", A)


def test_customers_share_the_batch(runner):
    for number in range(8):
        enqueue(runner, f"x{number}", A, 0, customer="busy")
    enqueue(runner, "y0", B, 1, customer="small")
    load(runner, A)
    load(runner, B)
    assert Dispatch("y0", B) in runner.dispatch_ready(2, ALL)[:2]


def test_customer_with_higher_weight_gets_larger_share():
    runner = Runner("m1", RunnerLimits(2, 9), LoadWeights(), "boot-1")
    for number in range(9):
        runner.enqueue(WaitingRequest(f"x{number}", A, "light", 0, weight=1.0))
        runner.enqueue(WaitingRequest(f"y{number}", B, "heavy", 0, weight=2.0))
    load(runner, A)
    load(runner, B)
    picked = [dispatch.adapter for dispatch in runner.dispatch_ready(1, ALL)]
    assert picked.count(B) == 6


def test_failed_load_is_retried_after_backoff_then_abandoned(runner):
    enqueue(runner, "r1", A)
    now_ms = 0
    for attempt in range(MAX_LOAD_FAILURES):
        assert runner.start_load(A, now_ms, ALL) == [Load(A)]
        refused = runner.handle_load_failure(A, now_ms)
        assert bool(refused) == (attempt == MAX_LOAD_FAILURES - 1)
        assert runner.load_options(now_ms, ALL) == []
        now_ms += 60_000


def test_reconcile_after_engine_restart_keeps_pinned_adapters(runner):
    """The engine restarts, loads an adapter and runs a request before its owner notices.

    Clearing all slots would drop the pin of the run on the new boot, and its adapter could be
    evicted during the run. Pinned adapters stay until their streams have ended.
    """
    enqueue(runner, "r1", A)
    load(runner, A)
    load(runner, B)
    runner.dispatch_ready(0, ALL)
    assert runner.reconcile("boot-2", {A})
    assert list(runner.slot_by_adapter) == [A]
    assert runner.slot_by_adapter[A].pins == {"r1"}
    runner.check_invariants()


def test_reconcile_finds_adapter_whose_load_answers_were_lost(runner):
    """A load succeeds, but all its answers are lost and the owner counts it as failed.

    The owner would see a free slot that the engine does not have, and the engine would refuse every
    further load.
    """
    enqueue(runner, "r1", A)
    runner.start_load(A, 0, ALL)
    runner.handle_load_failure(A, 10)
    assert runner.reconcile("boot-1", {A})
    assert runner.dispatch_ready(20, ALL) == [Dispatch("r1", A)]
    assert not runner.reconcile("boot-1", {A})


def test_adopted_runs_pin_their_adapters(runner):
    """A new owner finds a run of the earlier owner on the engine.

    Without a pin, its adapter could be evicted during the run. The pin stays until the engine
    confirms that the run has ended.
    """
    runner.adopt({A: {"old-run"}, B: set()}, 0)
    enqueue(runner, "r1", C)
    orders = runner.start_load(C, 0, ALL)
    assert orders == [Unload(B)]
    runner.check_invariants()
