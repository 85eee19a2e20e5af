"""Runners that start again under their id, as the desk that orders them sees it."""

from __future__ import annotations

from monsoonflow.core.server_life import ServerLife
from monsoonflow.orders.models import Accepted, Operation, Unanswered
from monsoonflow.placement.scheduler import MAX_ORDER_DELAY_MS
from monsoonflow.placement.slots import OrderStep
from tests.placement.conftest import MODEL, FakeRunner

OLD, NEW = ServerLife.of("i-9", 1_000), ServerLife.of("i-9", 2_000)


def start_again(world):
    """Let the runner start again: it holds its base model and nothing else."""
    world.runners[NEW] = FakeRunner(NEW)
    world.desk.remove_runner(OLD)
    world.desk.add_runner(NEW, restarted_ms=world.now_ms)


def test_a_new_life_is_asked_what_it_holds_and_nothing_of_before_is_believed(make_world):
    world = make_world(0)
    world.runners[OLD] = FakeRunner(OLD)
    world.desk.add_runner(OLD)
    world.ask("a1")
    world.run(400)
    assert world.placed("a1") == OLD
    start_again(world)
    world.ask("a1", "again")
    world.run(400)
    assert world.placed("again") == NEW
    assert world.runners[NEW].held == {f"{MODEL}/a1": 1}


def test_an_order_without_answer_takes_no_place_of_the_next_life(make_world):
    """The answer to a load is lost and its runner starts again: what it was ordered is gone."""
    world = make_world(0)
    world.runners[OLD] = FakeRunner(OLD)
    world.desk.add_runner(OLD)
    world.run(50)
    world.lose = 1
    world.ask("a1")
    world.turn()
    assert world.desk.runners[OLD].unconfirmed_order is not None
    start_again(world)
    world.late.clear()
    world.run(50)
    assert world.desk.runners[NEW].unconfirmed_order is None
    assert world.desk.runners[NEW].slots == {} or "m/a1" in world.desk.runners[NEW].slots


def test_a_late_order_to_the_life_before_finds_a_place_on_the_next_one(make_world):
    """An order is unanswered, its runner starts again under the same id and fills up.

    The late order's condition, the number of orders before it, holds again for the new life when
    that has taken as many. On a full runner it would be one adapter too many: the runner crashes.
    """
    world = make_world(0)
    world.runners[OLD] = FakeRunner(OLD)
    world.desk.add_runner(OLD)
    start_again(world)
    for number in range(12):
        world.ask(f"b{number}", deadline_ms=world.now_ms + 20_000)
    world.run(1_500)
    runner = world.runners[NEW]
    assert len(runner.held) == runner.slots - 1
    late = OrderStep(OLD, Operation.LOAD, f"{MODEL}/late", None, runner.sequence)
    assert isinstance(runner.order(late, world.now_ms), Accepted)
    assert not runner.crashed
    world.run(1_500)
    assert not runner.crashed


def test_the_spare_place_is_used_once_no_order_of_before_can_come(make_world):
    world = make_world(0)
    world.runners[OLD] = FakeRunner(OLD)
    world.desk.add_runner(OLD)
    start_again(world)
    for number in range(12):
        world.ask(f"b{number}", deadline_ms=world.now_ms + 20_000)
    world.run(MAX_ORDER_DELAY_MS + 1_000)
    world.ask("c")
    world.run(400)
    assert len(world.runners[NEW].held) == world.runners[NEW].slots


def test_an_answer_of_the_life_before_changes_nothing(make_world):
    """An order is on its way when its runner starts again; then its answer is lost."""
    world = make_world(0)
    world.runners[OLD] = FakeRunner(OLD)
    world.desk.add_runner(OLD)
    world.run(50)
    start_again(world)
    world.run(50)
    step = OrderStep(OLD, Operation.LOAD, f"{MODEL}/a1", None, 0)
    assert world.desk.handle_order_result(step, Unanswered("lost"), world.now_ms)
    assert world.desk.runners[NEW].unconfirmed_order is None


def test_a_runner_that_lacks_what_is_believed_there_is_ordered_to_load_it_again(make_world):
    """An unload of a former holder is carried out late, unseen by the one that took over.

    Each request sent there is refused and asks again: until the runner was asked what it holds, the
    holder sent it back, 41 times in 0.2 s, and the fleet had spent its retry budget.
    """
    world = make_world()
    world.ask("a1")
    world.run(400)
    runner = world.runners["i-0"]
    del runner.held[f"{MODEL}/a1"]
    runner.sequence += 1
    world.desk.mark_unconfirmed("i-0", f"{MODEL}/a1", world.now_ms)
    world.ask("a1", "again")
    assert "again" not in world.settled
    world.run(700)
    assert world.placed("again") == "i-0"
    assert f"{MODEL}/a1" in runner.held


def test_a_doubt_without_cause_costs_one_order(make_world):
    world = make_world()
    world.ask("a1")
    world.run(400)
    loads = world.desk.load_count
    world.desk.mark_unconfirmed("i-0", f"{MODEL}/a1", world.now_ms)
    world.ask("a1", "again")
    world.run(30)
    assert world.placed("again") == "i-0"
    assert world.desk.load_count == loads
