"""Tests of replicas of an adapter that overloads its runner."""

from __future__ import annotations

from monsoonflow.orders.models import Operation
from tests.placement.conftest import MODEL


def runners_holding(cell, name: str) -> list[str]:
    """Return the runners that hold an adapter."""
    return [r.life for r in cell.runners.values() if f"{MODEL}/{name}" in r.held]


def test_an_adapter_that_overloads_its_runner_gets_a_replica(make_cell):
    """Guards against one runner serving all requests for the most popular adapter, a fifth of all.

    Its events took 250 ms, compared to 50 at other runners, and answers were cut off at their
    deadlines.
    """
    cell = make_cell(3)
    cell.request("a1")
    cell.run(400)
    overloaded = cell.runner_of("a1")
    cell.start_requests(overloaded, "a1", requests=12, pending_prefill_tokens=16_000)
    cell.run(1_500)
    assert len(runners_holding(cell, "a1")) == 2
    assert cell.scheduler.replica_load_count == 1


def test_evenly_loaded_runners_get_no_replicas(make_cell):
    cell = make_cell(3)
    for number, life in enumerate(cell.runners):
        cell.request(f"a{number}", excluded_runners=frozenset(cell.runners) - {life})
    cell.run(400)
    for number, life in enumerate(cell.runners):
        cell.start_requests(life, f"a{number}", requests=12, pending_prefill_tokens=16_000)
    cell.run(1_500)
    assert cell.scheduler.replica_load_count == 0


def test_a_replica_takes_no_slot_from_a_request_without_one(make_cell):
    """In a rush all slots are in use, and the requests that wait for one come first."""
    cell = make_cell(2)
    for life in cell.runners:
        for number in range(6):
            cell.request(f"{life}-{number}", excluded_runners=frozenset(cell.runners) - {life})
            cell.run(300)
            cell.start_requests(life, f"{life}-{number}")
    cell.start_requests("i-0", "i-0-0", requests=10, pending_prefill_tokens=20_000)
    cell.end_requests("i-1", "i-1-3")
    cell.request("waits", deadline_ms=cell.now_ms + 60_000)
    cell.run(1_000)
    assert cell.runner_of("waits") == "i-1"
    assert cell.scheduler.replica_load_count == 0


def test_a_more_valuable_adapter_is_not_unloaded_for_a_replica(make_cell):
    cell = make_cell(2)
    for number in range(6):
        cell.request(f"b{number}", excluded_runners=frozenset({"i-0"}))
        cell.run(300)
        cell.start_requests("i-1", f"b{number}", requests=40)
    cell.request("a1", excluded_runners=frozenset({"i-1"}))
    cell.run(3_000)
    for number in range(6):
        cell.end_requests("i-1", f"b{number}")
    cell.work["i-1"].requests = 0
    cell.start_requests("i-0", "a1", requests=5, pending_prefill_tokens=9_000)
    cell.run(300)
    assert not [s for s in cell.steps if s.operation is Operation.UNLOAD]
