"""Callers that were sent away and come back, as the desk sees them."""

from __future__ import annotations

from monsoonflow.placement.request_queue import NoSlot, Placed
from monsoonflow.placement.returning_callers import RETENTION_MS
from tests.placement.conftest import MODEL


def crowd(world):
    """Let all places be in use for good."""
    for number in range(6):
        world.ask(f"a{number}")
        world.run(300)
        world.use("i-0", f"a{number}")


def test_a_caller_that_comes_back_is_not_taken_for_new(make_world):
    """Refused in a rush, a caller comes back with the same prompt: its answer is late already.

    Its latency objective counts from its first try. Counted from its return, it would get a place
    before callers that can still be answered in time, and they would be late as well.
    """
    world = make_world()
    crowd(world)
    first_ms = world.now_ms
    world.ask("b", "first", session_key="5c1e", deadline_ms=world.now_ms + 100)
    world.run(200)
    assert isinstance(world.settled["first"], NoSlot)
    back = world.ask("b", "back", session_key="5c1e")
    assert back.first_attempt_ms == first_ms
    assert back.tried_ms == 200
    new = world.ask("b", "new", session_key="77aa")
    assert new.tried_ms == 0
    assert new.on_time_until_ms - back.on_time_until_ms == 200


def test_who_comes_back_gets_its_place_after_who_can_still_be_on_time(make_world):
    world = make_world()
    crowd(world)
    world.ask("b", "first", session_key="5c1e", deadline_ms=world.now_ms + 100)
    world.run(500)
    world.ask("b", "back", session_key="5c1e")
    world.ask("c", "new", session_key="77aa")
    world.free("i-0", "a3")
    world.run(400)
    assert world.placed("new") == "i-0"
    assert "back" not in world.settled


def test_a_caller_is_told_how_long_it_has_tried(make_world):
    """Its node ranks it at the runner by that: who is late already goes behind."""
    world = make_world()
    crowd(world)
    world.ask("b", "first", session_key="5c1e", deadline_ms=world.now_ms + 100)
    world.run(200)
    world.ask("b", "back", session_key="5c1e")
    world.free("i-0", "a3")
    world.run(600)
    result = world.settled["back"]
    assert isinstance(result, Placed)
    assert result.tried_ms == 200


def test_a_prompt_without_parts_and_an_old_refusal_tell_nothing(make_world):
    world = make_world()
    crowd(world)
    world.ask("b", "none", deadline_ms=world.now_ms + 100)
    world.ask("c", "old", session_key="5c1e", deadline_ms=world.now_ms + 100)
    world.run(200)
    assert world.ask("b", "none again").tried_ms == 0
    world.now_ms += RETENTION_MS + 1_000
    assert world.ask("c", "old again", session_key="5c1e").tried_ms == 0
    assert f"{MODEL}/c" in {waiter.adapter_name for waiter in world.desk.queued_requests}


def test_a_caller_known_twice_to_have_come_back_is_aged_once(make_world):
    """Its node tells it by its deadline, the desk by its prompt: both mean the same first try."""
    world = make_world()
    crowd(world)
    first_ms = world.now_ms
    world.ask("b", "first", session_key="5c1e", deadline_ms=world.now_ms + 100)
    world.run(200)
    back = world.ask("b", "back", session_key="5c1e", first_attempt_ms=first_ms, tried_ms=200)
    assert (back.tried_ms, back.on_time_until_ms) == (200, world.now_ms + 700)
