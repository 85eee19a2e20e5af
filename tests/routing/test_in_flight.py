"""Tests of counting work in progress."""

from __future__ import annotations

from monsoonflow.routing.in_flight import InFlight


def test_what_is_ahead_goes_by_rank_and_returns_to_nothing():
    work = InFlight()
    urgent = work.begin("i", 0, "m/a", 100, 150, 0)
    late = work.begin("i", 0, "m/a", 30, 80, 6)
    assert [work.work_at("i").pending_prefill_ahead(rank) for rank in (0, 1, 6)] == [100, 100, 130]
    work.record_first_event(urgent)
    assert work.work_at("i").pending_prefill_ahead(1) == 0
    work.end(urgent)
    work.end(late)
    assert work.work_by_server == {}


def test_all_counts_return_to_nothing():
    changes = []
    work = InFlight(lambda: changes.append(True))
    one = work.begin("i", 0, "m/a", 100, 150)
    two = work.begin("i", 0, "m/a", 50, 80)
    assert work.work_at("i").pending_prefill_tokens == 150
    work.record_first_event(one)
    work.record_first_event(one)
    assert work.work_at("i").pending_prefill_tokens == 50
    work.end(one)
    work.end(one)
    assert work.work_at("i").requests_by_adapter["m/a"] == 1
    work.end(two)
    assert work.work_by_server == {}
    assert len(changes) == 2
