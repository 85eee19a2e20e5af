"""Tests of the runner aggregate."""

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


def wait(runner, request_id, adapter, now_ms=0, customer="acme", priority=1):
    runner.enqueue(WaitingRequest(request_id, adapter, customer, now_ms, priority))


def load(runner, adapter, now_ms=0):
    for order in runner.start_load(adapter, now_ms, ALL):
        if isinstance(order, Unload):
            runner.handle_unloaded(order.adapter)
    runner.handle_loaded(adapter, now_ms)
    runner.check_invariants()


def test_waits_for_its_adapter_and_pins_it(runner):
    wait(runner, "r1", A)
    assert runner.dispatch_ready(0, ALL) == []
    load(runner, A)
    assert runner.dispatch_ready(5, ALL) == [Dispatch("r1", A)]
    assert runner.slot_by_adapter[A].pins == {"r1"}
    runner.check_invariants()


def test_one_load_serves_all_that_wait(runner):
    for number in range(3):
        wait(runner, f"r{number}", A)
    load(runner, A)
    assert len(runner.dispatch_ready(0, ALL)) == 3


def test_most_waiting_cost_is_loaded_first(runner):
    wait(runner, "r1", A, 0)
    wait(runner, "r2", B, 10)
    wait(runner, "r3", B, 10)
    assert runner.load_options(20, ALL)[0].adapter == B


def test_oldest_goes_first_past_the_bound(runner):
    wait(runner, "r1", A, 0)
    for number in range(100):
        wait(runner, f"b{number}", B, 10_500)
    assert runner.load_options(10_600, ALL)[0].adapter == A


def test_pinned_adapters_are_never_evicted(runner):
    """All slots serve requests and another adapter's request waits.

    Evicting a serving adapter would cut its request or let it run on other weights. The waiter
    waits; after the bound the least valuable adapter takes no more and goes once it is idle.
    """
    wait(runner, "r1", A)
    wait(runner, "r2", B)
    load(runner, A)
    load(runner, B)
    runner.dispatch_ready(0, ALL)
    wait(runner, "r3", C, 100)
    assert runner.load_options(200, ALL) == []
    assert runner.start_load(C, 200, ALL) == []
    assert runner.load_options(5_000, ALL) == []
    closing = [s.adapter for s in runner.slot_by_adapter.values() if s.state is SlotState.CLOSING]
    assert len(closing) == 1
    busy = next(run for run, adapter in runner.adapter_by_run_id.items() if adapter in closing)
    assert runner.handle_run_end(busy, 5_100) == [Unload(closing[0])]
    runner.handle_unloaded(closing[0])
    assert runner.start_load(C, 5_100, ALL) == [Load(C)]


def test_closed_adapter_with_waiters_serves_again(runner):
    """An adapter closed for room keeps waiters of its own while the other's waiter gives up.

    Left closed, it would be neither a candidate to load nor a server: its waiters would wait for
    their deadline. It reopens once nobody needs the room.
    """
    wait(runner, "r1", A)
    wait(runner, "r2", B)
    load(runner, A)
    load(runner, B)
    runner.dispatch_ready(0, ALL)
    wait(runner, "r3", C, 100)
    runner.load_options(5_000, ALL)
    closing = next(s for s in runner.slot_by_adapter.values() if s.state is SlotState.CLOSING)
    wait(runner, "r4", closing.adapter, 5_000)
    assert runner.dispatch_ready(5_000, ALL) == []
    runner.withdraw("r3")
    runner.load_options(5_100, ALL)
    assert runner.dispatch_ready(5_100, ALL) == [Dispatch("r4", closing.adapter)]


def test_without_permission_to_evict_only_free_slots_are_used(runner):
    load(runner, A)
    load(runner, B)
    wait(runner, "r1", C)
    assert runner.load_options(0, Permission.NO_EVICTION) == []
    assert runner.start_load(C, 0, Permission.NO_EVICTION) == []
    assert runner.dispatch_ready(0, Permission.NOTHING) == []


def test_batch_is_never_overfilled(runner):
    for number in range(9):
        wait(runner, f"r{number}", A)
    load(runner, A)
    assert len(runner.dispatch_ready(0, ALL)) == 4


def test_urgent_class_goes_first(runner):
    for number in range(4):
        wait(runner, f"tile{number}", A, number, priority=3)
    wait(runner, "lookup", A, 10, priority=0)
    load(runner, A)
    assert runner.dispatch_ready(20, ALL)[0] == Dispatch("lookup", A)


def test_customers_share_the_batch(runner):
    for number in range(8):
        wait(runner, f"x{number}", A, 0, customer="busy")
    wait(runner, "y0", B, 1, customer="small")
    load(runner, A)
    load(runner, B)
    assert Dispatch("y0", B) in runner.dispatch_ready(2, ALL)[:2]


def test_weight_gives_a_larger_share():
    runner = Runner("m1", RunnerLimits(2, 9), LoadWeights(), "boot-1")
    for number in range(9):
        runner.enqueue(WaitingRequest(f"x{number}", A, "light", 0, weight=1.0))
        runner.enqueue(WaitingRequest(f"y{number}", B, "heavy", 0, weight=2.0))
    load(runner, A)
    load(runner, B)
    picked = [dispatch.adapter for dispatch in runner.dispatch_ready(1, ALL)]
    assert picked.count(B) == 6


def test_failing_load_is_tried_again_later_then_given_up(runner):
    wait(runner, "r1", A)
    now_ms = 0
    for attempt in range(MAX_LOAD_FAILURES):
        assert runner.start_load(A, now_ms, ALL) == [Load(A)]
        waiters = runner.handle_load_failure(A, now_ms)
        assert bool(waiters) == (attempt == MAX_LOAD_FAILURES - 1)
        assert runner.load_options(now_ms, ALL) == []
        now_ms += 60_000


def test_restart_is_taken_from_the_engine_but_pins_stay(runner):
    """The engine restarts, loads again, runs a request, and only then its owner learns of it.

    Forgetting everything would drop the pin of the run on the new boot, and its adapter could be
    evicted under it (seen in randomised runs). What is pinned stays until its stream has ended.
    """
    wait(runner, "r1", A)
    load(runner, A)
    load(runner, B)
    runner.dispatch_ready(0, ALL)
    assert runner.reconcile("boot-2", {A})
    assert list(runner.slot_by_adapter) == [A]
    assert runner.slot_by_adapter[A].pins == {"r1"}
    runner.check_invariants()


def test_load_with_lost_answers_is_found_on_the_engine(runner):
    """A load takes effect, all its answers are lost, and the owner counts it as failed.

    The slot looks free while the engine has none: every further load would be refused for good.
    """
    wait(runner, "r1", A)
    runner.start_load(A, 0, ALL)
    runner.handle_load_failure(A, 10)
    assert runner.reconcile("boot-1", {A})
    assert runner.dispatch_ready(20, ALL) == [Dispatch("r1", A)]
    assert not runner.reconcile("boot-1", {A})


def test_adopted_runs_pin_their_adapters(runner):
    """A new owner finds a run of the earlier owner on the engine.

    Unpinned, its adapter could be evicted under the run; it stays until the engine says it ended.
    """
    runner.adopt({A: {"old-run"}, B: set()}, 0)
    wait(runner, "r1", C)
    orders = runner.start_load(C, 0, ALL)
    assert orders == [Unload(B)]
    runner.check_invariants()
