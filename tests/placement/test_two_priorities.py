"""Replays of two kinds of requests that together need more slots than there are."""

from __future__ import annotations

import pytest

from monsoonflow.placement.queue_policy import QueuePolicy
from monsoonflow.placement.request_queue import NoSlot
from tests.placement.load_replay import LoadReplay, Stream

FOR_MS = 20_000
SEEDS = (1, 2, 3)
DISTINCT = (1.0,) * 2_000
"""Hardly any two requests name the same adapter, so each needs a load."""

SHARED = (1.0,) * 120


def two_kinds(weights):
    return [
        Stream("urgent", 15, None, 0, 1_000, 2_500, weights),
        Stream("patient", 15, None, 1, 2_000, 10_000, weights),
    ]


def served_per_s(replay):
    return sum(tally.served for tally in replay.tally_by_stream.values()) * 1000 / FOR_MS


@pytest.mark.parametrize("seed", SEEDS)
def test_patient_requests_are_served_from_the_capacity_that_urgent_ones_leave(seed):
    """Nine slots, each used for 0.45 s with the load, serve 20 adapters per second.

    Loads of which the requests had been refused meanwhile took 2.5 of them.
    """
    replay = LoadReplay(two_kinds(DISTINCT), seed, run_ms=100)
    tallies = replay.run(FOR_MS)
    assert tallies["urgent"].share >= 0.86
    assert tallies["patient"].share >= 0.25
    assert not replay.refused_with_free_slot
    single = LoadReplay([Stream("single", 30, None, 0, 1_000, 3_000, DISTINCT)], seed, run_ms=100)
    single.run(FOR_MS)
    assert served_per_s(replay) >= 0.95 * served_per_s(single)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("weights", [SHARED, DISTINCT], ids=["shared", "distinct"])
def test_fewer_refusals_take_nothing_from_urgent_requests(seed, weights):
    """Requests that use a slot for 0.45 s after the load: urgent ones need all the capacity."""
    replays = [
        LoadReplay(two_kinds(weights), seed, policy=QueuePolicy(keeps_loading_requests=keeps))
        for keeps in (False, True)
    ]
    before, after = (replay.run(FOR_MS) for replay in replays)
    assert after["urgent"].share >= before["urgent"].share - 0.05
    assert after["urgent"].share >= after["patient"].share - 0.05
    assert served_per_s(replays[1]) >= 0.98 * served_per_s(replays[0])


def test_a_request_whose_adapter_is_being_loaded_is_not_refused(make_cell):
    """Such a request became late during its load and was refused; the load served nobody."""
    cell = make_cell()
    cell.request("loading", on_time_until_ms=cell.now_ms + 300)
    cell.run(100)
    for number in range(60):
        cell.request(f"b{number}", on_time_until_ms=cell.now_ms, first_attempt_ms=0)
    cell.run(60)
    assert any(isinstance(result, NoSlot) for result in cell.results.values())
    assert "loading" not in cell.results
    cell.run(150)
    assert cell.runner_of("loading") == "i-0"
