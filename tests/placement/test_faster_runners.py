"""Tests that the lease holder prefers fast runners, and when a request waits for one."""

from __future__ import annotations

import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.placement.request_queue import NoSlot
from monsoonflow.placement.scheduler import AdapterScheduler
from monsoonflow.routing.in_flight import ServerWork
from tests.placement.conftest import MODEL, TRAITS

SLOW, FAST = ServerLife("i-0"), ServerLife("i-1")
PACE = 6.0
PROMPT_TOKENS = 2_000


@pytest.fixture
def make_paced_cell(make_cell):
    """Return a function that creates a cell of a slow and a fast runner."""

    def make(pace_by_life, count=2):
        cell = make_cell(count)
        cell.scheduler = AdapterScheduler(
            TRAITS, cell.newest, pace_of=lambda life, _now_ms: pace_by_life.get(life, 1.0)
        )
        for life in cell.runners:
            cell.scheduler.add_runner(life)
        return cell

    return make


@pytest.fixture
def cell(make_paced_cell):
    """Return a cell whose slow runner holds the adapter ``a1``."""
    pace_by_life = {}
    paced_cell = make_paced_cell(pace_by_life)
    paced_cell.runners[SLOW].held[f"{MODEL}/a1"] = 1
    paced_cell.run(50)
    pace_by_life[SLOW] = PACE
    return paced_cell


def request(cell, tag="r", **changes):
    fields = {"prompt_tokens": PROMPT_TOKENS, "read_by_ms": cell.now_ms + 3_000, **changes}
    return cell.request("a1", tag, **fields)


def test_request_waits_for_a_load_on_a_faster_runner(cell):
    request(cell)
    assert "r" not in cell.results
    cell.run(350)
    assert cell.runner_of("r") == FAST


def test_slow_slot_is_granted_if_no_faster_runner_has_room(cell):
    """A request must not wait, nor be refused, while a slot is free that could serve it."""
    for number in range(6):
        cell.request(f"b{number}", excluded_runners=frozenset({SLOW}))
        cell.run(300)
        cell.start_requests(FAST, f"b{number}")
    request(cell)
    assert cell.runner_of("r") == SLOW


def test_slow_slot_is_granted_if_the_load_takes_longer_than_it_saves(cell):
    cell.scheduler.load_limit.allows = lambda *_: False
    request(cell)
    cell.run(600)
    assert cell.runner_of("r") == SLOW


def test_slow_slot_is_granted_to_a_request_that_would_be_late(cell):
    request(cell, on_time_until_ms=cell.now_ms + 100)
    assert cell.runner_of("r") == SLOW


def test_slow_slot_is_granted_to_a_returning_caller(cell):
    request(cell, tried_ms=900)
    assert cell.runner_of("r") == SLOW


def test_slow_slot_is_granted_to_a_stream_that_is_resumed(cell):
    """Its caller has a part of the answer and waits for the rest."""
    request(cell, read_by_ms=None)
    assert cell.runner_of("r") == SLOW


def test_slow_slot_is_granted_if_the_fast_runner_must_not_be_used(cell):
    request(cell, excluded_runners=frozenset({FAST}))
    assert cell.runner_of("r") == SLOW


def test_a_small_difference_is_not_worth_a_load(make_paced_cell):
    pace_by_life = {}
    cell = make_paced_cell(pace_by_life)
    cell.runners[SLOW].held[f"{MODEL}/a1"] = 1
    cell.run(50)
    pace_by_life[SLOW] = 1.5
    request(cell)
    assert cell.runner_of("r") == SLOW


def test_waiting_requests_are_not_refused(cell):
    """More requests than idle slots: the others get the slow slot instead of a refusal."""
    for number in range(30):
        request(cell, f"r{number}")
    cell.run(700)
    assert len(cell.results) == 30
    assert not any(isinstance(result, NoSlot) for result in cell.results.values())


def test_fast_runners_are_preferred_as_load_targets(make_paced_cell):
    cell = make_paced_cell({ServerLife("i-0"): 2.4, ServerLife("i-1"): 2.4}, count=4)
    for number in range(8):
        cell.request(f"a{number}", prompt_tokens=PROMPT_TOKENS)
        cell.run(300)
    placed = {cell.runner_of(f"a{number}") for number in range(8)}
    assert placed == {ServerLife("i-2"), ServerLife("i-3")}


def test_grants_go_to_the_runner_with_the_shortest_time(make_paced_cell):
    """Both hold the adapter; the slow one has less work, but needs longer for it."""
    cell = make_paced_cell({SLOW: 2.4})
    for life in (SLOW, FAST):
        cell.runners[life].held[f"{MODEL}/a1"] = 1
        cell.work[life] = ServerWork(1, 3_000 if life == SLOW else 5_000)
    cell.run(50)
    request(cell, excluded_runners=frozenset())
    assert cell.runner_of("r") == FAST


def test_slow_runner_that_misses_the_time_of_a_caller_is_left_out(make_paced_cell):
    """5,000 tokens are prefilled within a second at a normal runner, but not at this one."""
    cell = make_paced_cell({SLOW: 6.0}, count=1)
    cell.runners[SLOW].held[f"{MODEL}/a1"] = 1
    cell.work[SLOW] = ServerWork(1, 5_000)
    cell.run(50)
    request(cell, read_by_ms=cell.now_ms + 1_000)
    assert isinstance(cell.results["r"], NoSlot)
