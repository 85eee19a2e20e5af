"""Tests of second copies of an adapter that crowds its runner."""

from __future__ import annotations

from monsoonflow.orders.models import Operation
from tests.placement.conftest import MODEL


def holders(world, name: str) -> list[str]:
    """Return the runners that hold an adapter."""
    return [r.life for r in world.runners.values() if f"{MODEL}/{name}" in r.held]


def test_an_adapter_that_crowds_its_runner_gets_a_second_one(make_world):
    """The most popular adapter gets a fifth of all requests, all of them at one runner.

    There an event took 250 ms, at the others 50, and answers were cut at the end of their time.
    """
    world = make_world(3)
    world.ask("a1")
    world.run(400)
    crowded = world.placed("a1")
    world.use(crowded, "a1", requests=12, unread=16_000)
    world.run(1_500)
    assert len(holders(world, "a1")) == 2
    assert world.desk.replica_load_count == 1


def test_runners_that_are_loaded_alike_need_no_copies(make_world):
    world = make_world(3)
    for number, life in enumerate(world.runners):
        world.ask(f"a{number}", excluded_runners=frozenset(world.runners) - {life})
    world.run(400)
    for number, life in enumerate(world.runners):
        world.use(life, f"a{number}", requests=12, unread=16_000)
    world.run(1_500)
    assert world.desk.replica_load_count == 0


def test_a_copy_takes_no_place_from_who_has_none(make_world):
    """In a rush all places are in use and others wait for one: they come first."""
    world = make_world(2)
    for life in world.runners:
        for number in range(6):
            world.ask(f"{life}-{number}", excluded_runners=frozenset(world.runners) - {life})
            world.run(300)
            world.use(life, f"{life}-{number}")
    world.use("i-0", "i-0-0", requests=10, unread=20_000)
    world.free("i-1", "i-1-3")
    world.ask("waits", deadline_ms=world.now_ms + 60_000)
    world.run(1_000)
    assert world.placed("waits") == "i-1"
    assert world.desk.replica_load_count == 0


def test_what_is_worth_more_is_not_dropped_for_a_copy(make_world):
    world = make_world(2)
    for number in range(6):
        world.ask(f"b{number}", excluded_runners=frozenset({"i-0"}))
        world.run(300)
        world.use("i-1", f"b{number}", requests=40)
    world.ask("a1", excluded_runners=frozenset({"i-1"}))
    world.run(3_000)
    for number in range(6):
        world.free("i-1", f"b{number}")
    world.work["i-1"].requests = 0
    world.use("i-0", "a1", requests=5, unread=9_000)
    world.run(300)
    assert not [s for s in world.steps if s.operation is Operation.UNLOAD]
