"""Tests of runners that restart under the same id, at the scheduler."""

from __future__ import annotations

from monsoonflow.core.server_life import ServerLife
from monsoonflow.orders.models import Accepted, Operation, Unanswered
from monsoonflow.placement.scheduler import MAX_ORDER_DELAY_MS
from monsoonflow.placement.slots import OrderStep
from tests.placement.conftest import MODEL, FakeRunner

OLD, NEW = ServerLife.of("i-9", 1_000), ServerLife.of("i-9", 2_000)


def restart_runner(cell):
    """Restart the runner: it holds its base model and no adapters."""
    cell.runners[NEW] = FakeRunner(NEW)
    cell.scheduler.remove_runner(OLD)
    cell.scheduler.add_runner(NEW, restarted_ms=cell.now_ms)


def test_adapters_held_before_a_restart_are_loaded_again(make_cell):
    cell = make_cell(0)
    cell.runners[OLD] = FakeRunner(OLD)
    cell.scheduler.add_runner(OLD)
    cell.request("a1")
    cell.run(400)
    assert cell.runner_of("a1") == OLD
    restart_runner(cell)
    cell.request("a1", "again")
    cell.run(400)
    assert cell.runner_of("again") == NEW
    assert cell.runners[NEW].held == {f"{MODEL}/a1": 1}


def test_an_unanswered_order_takes_no_slot_after_a_restart(make_cell):
    """The response to a load is lost and the runner restarts: the ordered adapter is not there."""
    cell = make_cell(0)
    cell.runners[OLD] = FakeRunner(OLD)
    cell.scheduler.add_runner(OLD)
    cell.run(50)
    cell.orders_to_lose = 1
    cell.request("a1")
    cell.run_plan()
    assert cell.scheduler.runners[OLD].unconfirmed_order is not None
    restart_runner(cell)
    cell.delayed_orders.clear()
    cell.run(50)
    assert cell.scheduler.runners[NEW].unconfirmed_order is None
    assert cell.scheduler.runners[NEW].slots == {} or "m/a1" in cell.scheduler.runners[NEW].slots


def test_a_delayed_order_from_before_a_restart_finds_a_free_slot(make_cell):
    """An order is not answered, and its runner restarts under the same id and fills its slots.

    The condition of the delayed order, the number of orders before it, holds again once the new
    process has accepted as many. On a full runner it would be one adapter too many, and the runner
    would crash.
    """
    cell = make_cell(0)
    cell.runners[OLD] = FakeRunner(OLD)
    cell.scheduler.add_runner(OLD)
    restart_runner(cell)
    for number in range(12):
        cell.request(f"b{number}", deadline_ms=cell.now_ms + 20_000)
    cell.run(1_500)
    runner = cell.runners[NEW]
    assert len(runner.held) == runner.slot_count - 1
    delayed_order = OrderStep(OLD, Operation.LOAD, f"{MODEL}/late", None, runner.sequence)
    assert isinstance(runner.order(delayed_order, cell.now_ms), Accepted)
    assert not runner.crashed
    cell.run(1_500)
    assert not runner.crashed


def test_the_spare_slot_is_used_once_no_delayed_order_can_arrive(make_cell):
    cell = make_cell(0)
    cell.runners[OLD] = FakeRunner(OLD)
    cell.scheduler.add_runner(OLD)
    restart_runner(cell)
    for number in range(12):
        cell.request(f"b{number}", deadline_ms=cell.now_ms + 20_000)
    cell.run(MAX_ORDER_DELAY_MS + 1_000)
    cell.request("c")
    cell.run(400)
    assert len(cell.runners[NEW].held) == cell.runners[NEW].slot_count


def test_a_result_from_before_a_restart_changes_nothing(make_cell):
    """An order is in progress when its runner restarts, and then its response is lost."""
    cell = make_cell(0)
    cell.runners[OLD] = FakeRunner(OLD)
    cell.scheduler.add_runner(OLD)
    cell.run(50)
    restart_runner(cell)
    cell.run(50)
    step = OrderStep(OLD, Operation.LOAD, f"{MODEL}/a1", None, 0)
    assert cell.scheduler.handle_order_result(step, Unanswered("lost"), cell.now_ms)
    assert cell.scheduler.runners[NEW].unconfirmed_order is None


def test_an_adapter_that_its_runner_lacks_is_loaded_again(make_cell):
    """Guards against sending requests to a runner that no longer holds the adapter.

    A delayed unload of a former lease holder is carried out unnoticed by its successor. Each
    request sent there was refused and requested a slot again. Until the runner was asked what it
    holds, the holder sent a request back 41 times in 0.2 s, which used up the retry budget of the
    fleet.
    """
    cell = make_cell()
    cell.request("a1")
    cell.run(400)
    runner = cell.runners["i-0"]
    del runner.held[f"{MODEL}/a1"]
    runner.sequence += 1
    cell.scheduler.mark_unconfirmed("i-0", f"{MODEL}/a1", cell.now_ms)
    cell.request("a1", "again")
    assert "again" not in cell.results
    cell.run(700)
    assert cell.runner_of("again") == "i-0"
    assert f"{MODEL}/a1" in runner.held


def test_an_adapter_wrongly_marked_unconfirmed_is_not_loaded_again(make_cell):
    cell = make_cell()
    cell.request("a1")
    cell.run(400)
    load_count = cell.scheduler.load_count
    cell.scheduler.mark_unconfirmed("i-0", f"{MODEL}/a1", cell.now_ms)
    cell.request("a1", "again")
    cell.run(30)
    assert cell.runner_of("again") == "i-0"
    assert cell.scheduler.load_count == load_count
