"""Tests of callers that were refused and retry, at the scheduler."""

from __future__ import annotations

from monsoonflow.placement.request_queue import NoSlot, Placed
from monsoonflow.placement.returning_callers import RETENTION_MS
from tests.placement.conftest import MODEL


def use_all_slots(cell):
    """Fill all slots with requests that do not end."""
    for number in range(6):
        cell.request(f"a{number}")
        cell.run(300)
        cell.start_requests("i-0", f"a{number}")


def test_a_returning_caller_is_not_treated_as_new(make_cell):
    """A caller refused in a rush retries with the same prompt, and its answer is already late.

    Its latency objective counts from its first attempt. If it counted from the retry, the caller
    would get a slot before callers that can be answered in time, and they would be late as well.
    """
    cell = make_cell()
    use_all_slots(cell)
    first_attempt_ms = cell.now_ms
    cell.request("b", "first", session_key="5c1e", deadline_ms=cell.now_ms + 100)
    cell.run(200)
    assert isinstance(cell.results["first"], NoSlot)
    returning = cell.request("b", "back", session_key="5c1e")
    assert returning.first_attempt_ms == first_attempt_ms
    assert returning.tried_ms == 200
    new = cell.request("b", "new", session_key="77aa")
    assert new.tried_ms == 0
    assert new.on_time_until_ms - returning.on_time_until_ms == 200


def test_returning_callers_get_slots_after_requests_that_can_be_on_time(make_cell):
    cell = make_cell()
    use_all_slots(cell)
    cell.request("b", "first", session_key="5c1e", deadline_ms=cell.now_ms + 100)
    cell.run(500)
    cell.request("b", "back", session_key="5c1e")
    cell.request("c", "new", session_key="77aa")
    cell.end_requests("i-0", "a3")
    cell.run(400)
    assert cell.runner_of("new") == "i-0"
    assert "back" not in cell.results


def test_a_placed_request_tells_how_long_its_caller_has_tried(make_cell):
    """Its node derives the rank at the runner from this: requests already late come last."""
    cell = make_cell()
    use_all_slots(cell)
    cell.request("b", "first", session_key="5c1e", deadline_ms=cell.now_ms + 100)
    cell.run(200)
    cell.request("b", "back", session_key="5c1e")
    cell.end_requests("i-0", "a3")
    cell.run(600)
    result = cell.results["back"]
    assert isinstance(result, Placed)
    assert result.tried_ms == 200


def test_callers_without_session_key_or_with_an_old_refusal_are_new(make_cell):
    cell = make_cell()
    use_all_slots(cell)
    cell.request("b", "none", deadline_ms=cell.now_ms + 100)
    cell.request("c", "old", session_key="5c1e", deadline_ms=cell.now_ms + 100)
    cell.run(200)
    assert cell.request("b", "none again").tried_ms == 0
    cell.now_ms += RETENTION_MS + 1_000
    assert cell.request("c", "old again", session_key="5c1e").tried_ms == 0
    assert f"{MODEL}/c" in {request.adapter_name for request in cell.scheduler.queued_requests}


def test_earlier_attempts_known_from_two_sources_are_counted_once(make_cell):
    """Its node knows the first attempt by the deadline, the scheduler by the prompt."""
    cell = make_cell()
    use_all_slots(cell)
    first_attempt_ms = cell.now_ms
    cell.request("b", "first", session_key="5c1e", deadline_ms=cell.now_ms + 100)
    cell.run(200)
    returning = cell.request(
        "b", "back", session_key="5c1e", first_attempt_ms=first_attempt_ms, tried_ms=200
    )
    assert (returning.tried_ms, returning.on_time_until_ms) == (200, cell.now_ms + 700)
