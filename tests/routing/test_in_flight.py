"""Tests of counting work in progress."""

from __future__ import annotations

from monsoonflow.routing.in_flight import InFlight


def test_all_counts_return_to_nothing():
    changes = []
    work = InFlight(lambda: changes.append(True))
    one = work.begin("i", 0, "m/a", 100, 150)
    two = work.begin("i", 0, "m/a", 50, 80)
    assert work.at("i").unread_tokens == 150
    work.first_event(one)
    work.first_event(one)
    assert work.at("i").unread_tokens == 50
    work.end(one)
    work.end(one)
    assert work.at("i").by_adapter["m/a"] == 1
    work.end(two)
    assert work.by_server == {}
    assert len(changes) == 2
