"""Tests of counting requests in progress."""

from __future__ import annotations

from monsoonflow.routing.in_flight import InFlight


def test_pending_prefill_ahead_depends_on_rank_and_returns_to_zero():
    in_flight = InFlight()
    urgent = in_flight.begin("i", 0, "m/a", 100, 150, 0)
    late = in_flight.begin("i", 0, "m/a", 30, 80, 6)
    assert [in_flight.work_at("i").pending_prefill_ahead(rank) for rank in (0, 1, 6)] == [
        100,
        100,
        130,
    ]
    in_flight.record_first_event(urgent)
    assert in_flight.work_at("i").pending_prefill_ahead(1) == 0
    in_flight.end(urgent)
    in_flight.end(late)
    assert in_flight.work_by_server == {}


def test_all_counts_return_to_zero():
    changes = []
    in_flight = InFlight(lambda: changes.append(True))
    first = in_flight.begin("i", 0, "m/a", 100, 150)
    second = in_flight.begin("i", 0, "m/a", 50, 80)
    assert in_flight.work_at("i").pending_prefill_tokens == 150
    in_flight.record_first_event(first)
    in_flight.record_first_event(first)
    assert in_flight.work_at("i").pending_prefill_tokens == 50
    in_flight.end(first)
    in_flight.end(first)
    assert in_flight.work_at("i").requests_by_adapter["m/a"] == 1
    in_flight.end(second)
    assert in_flight.work_by_server == {}
    assert len(changes) == 2
