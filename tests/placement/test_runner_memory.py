"""Tests that the lease holder assigns slots only at runners with room in their KV cache."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.placement.memory_grants import GRANT_EXPIRY_MS
from monsoonflow.placement.request_queue import NoSlot
from monsoonflow.placement.scheduler import AdapterScheduler
from tests.placement.conftest import TRAITS, SimulatedCell

KV_TOKENS = 100_000
NEED = 2_400
FITTING = KV_TOKENS // NEED


def load(cell: SimulatedCell, name: str) -> ServerLife:
    """Have an adapter loaded, and return its runner, which then has no requests."""
    cell.request(name, "load")
    cell.run(600)
    return cell.runner_of("load")


def set_memory(cell: SimulatedCell, life: ServerLife, name: str, tokens: int) -> None:
    """Report requests in progress at a runner that need some KV cache."""
    cell.start_requests(life, name)
    cell.work[life].memory_tokens = tokens


def place_burst(cell: SimulatedCell, count: int, need: int = NEED) -> int:
    """Request slots for one adapter at once; return how many were placed."""
    for number in range(count):
        cell.request("a", f"burst{number}", memory_tokens=need)
    return sum(cell.runner_of(f"burst{number}") is not None for number in range(count))


def test_a_burst_between_two_reports_fills_a_runner_and_not_more(make_cell):
    """Without counting its own grants, the holder would give every request of a burst a slot."""
    cell = make_cell()
    load(cell, "a")
    assert place_burst(cell, 2 * FITTING) == FITTING


def test_a_report_replaces_the_grants_that_it_shows(make_cell):
    """If grants counted for a fixed time besides the report, a burst would count twice."""
    cell = make_cell()
    life = load(cell, "a")
    assert place_burst(cell, FITTING // 2) == FITTING // 2
    cell.start_requests(life, "a", FITTING // 2)
    cell.work[life].memory_tokens = NEED * (FITTING // 2)
    assert place_burst(cell, 2 * FITTING) == FITTING - FITTING // 2


def test_a_grant_that_is_never_used_expires(make_cell):
    """Its node stalled or its caller left: the runner must not stay closed for others."""
    cell = make_cell()
    load(cell, "a")
    place_burst(cell, FITTING)
    cell.request("a", "later", memory_tokens=NEED)
    assert cell.runner_of("later") is None
    cell.run(GRANT_EXPIRY_MS + 50)
    assert cell.runner_of("later") is not None


def test_a_full_runner_is_left_out_and_the_adapter_is_loaded_where_there_is_room(make_cell):
    """A request that is sent to a full runner preempts another in the middle of its stream."""
    cell = make_cell(3)
    full = load(cell, "a")
    set_memory(cell, full, "a", KV_TOKENS - NEED + 1)
    request = cell.request("a", "next", memory_tokens=NEED)
    cell.run(600)
    assert cell.runner_of("next") not in (None, full)
    assert request.full_runner_count > 0


def test_a_load_goes_to_a_runner_with_room(make_cell):
    """The adapter's hash alone would choose the full runner, where the request can't be served."""
    for name in map(str, range(12)):
        cell = make_cell(2)
        cell.run(50)
        full, other = cell.runners
        set_memory(cell, full, "x", KV_TOKENS)
        cell.request(name, memory_tokens=NEED)
        cell.run(600)
        assert cell.runner_of(name) == other


def test_while_all_runners_are_full_a_request_waits_and_is_loaded_once(make_cell):
    """Without the rule for full runners, each plan would load one more replica."""
    cell = make_cell(4)
    cell.run(50)
    for life in cell.runners:
        set_memory(cell, life, "x", KV_TOKENS)
    cell.request("a", memory_tokens=NEED)
    cell.run(1_000)
    assert "a" not in cell.results
    assert cell.scheduler.load_count == 1
    for work in cell.work.values():
        work.memory_tokens = 0
    cell.run(50)
    assert cell.runner_of("a") is not None


def test_a_request_that_waits_for_room_until_its_deadline_is_refused(make_cell):
    """It is refused like a request without a slot, with the time of a retry."""
    cell = make_cell()
    life = load(cell, "a")
    set_memory(cell, life, "a", KV_TOKENS)
    cell.request("a", "late", memory_tokens=NEED)
    cell.run(3_500)
    assert isinstance(cell.results["late"], NoSlot)
    assert cell.results["late"].retry_after_ms > 0


@pytest.mark.parametrize("memory_tokens", [0, -5])
def test_a_request_of_a_node_that_sends_no_need_is_placed_as_before(make_cell, memory_tokens):
    """A node of the previous release sends no ``memory_tokens``."""
    cell = make_cell()
    life = load(cell, "a")
    set_memory(cell, life, "a", 3 * KV_TOKENS)
    cell.request("a", "old", memory_tokens=memory_tokens)
    assert cell.runner_of("old") == life


def test_the_prompt_of_a_request_without_a_need_counts_for_others(make_cell):
    """In a mixed fleet, the requests of old nodes fill the memory as well."""
    cell = make_cell()
    load(cell, "a")
    for number in range(FITTING):
        cell.request("a", f"old{number}", prompt_tokens=NEED)
    cell.request("a", "new", memory_tokens=NEED)
    assert cell.runner_of("new") is None


@pytest.mark.parametrize("capacity", [0, -1])
def test_without_a_known_capacity_nothing_is_checked(make_cell, capacity):
    """0 or less means that the size is unknown."""
    cell = make_cell(traits=attrs.evolve(TRAITS, memory_tokens=capacity))
    life = load(cell, "a")
    set_memory(cell, life, "a", 3 * KV_TOKENS)
    assert place_burst(cell, 60) == 60


def test_the_check_can_be_switched_off(make_cell):
    """Ablation measurements need the decisions without it."""
    cell = make_cell()
    cell.scheduler = AdapterScheduler(TRAITS, {}, checks_memory=False)
    cell.scheduler.add_runner(ServerLife("i-0"))
    load(cell, "a")
    assert place_burst(cell, 60) == 60


def test_a_huge_need_is_placed_at_an_idle_runner_and_does_not_delay_others(make_cell):
    """Values of peers are untrusted: a need above the cache counts as the whole cache."""
    cell = make_cell()
    life = load(cell, "a")
    set_memory(cell, life, "a", 1)
    cell.request("a", "huge", memory_tokens=10**30)
    cell.request("a", "small", memory_tokens=NEED)
    assert (cell.runner_of("huge"), cell.runner_of("small")) == (None, life)
    cell.work.clear()
    cell.run(GRANT_EXPIRY_MS + 50)
    assert cell.runner_of("huge") == life


def test_a_removed_runner_leaves_no_grants(make_cell):
    """A process that returns with the same life starts with an empty cache."""
    cell = make_cell()
    life = load(cell, "a")
    place_burst(cell, FITTING)
    cell.scheduler.remove_runner(life)
    cell.scheduler.add_runner(life)
    cell.run(600)
    cell.request("a", "again", memory_tokens=NEED)
    cell.run(100)
    assert cell.runner_of("again") == life
