"""The peers that share quotas, found only when a quota is used."""

from __future__ import annotations

from monsoonflow.core.clock import ManualClock
from monsoonflow.fleet.view import FleetView
from monsoonflow.gateway.quota_peers import QuotaPeerTracker


def test_a_node_that_has_long_been_active_is_no_newcomer_when_the_first_quota_is_used():
    # If the time since which it is active were only tracked with the first quota, the node would
    # admit no more than its share for a cycle.
    clock = ManualClock(1_000)
    tracker = QuotaPeerTracker(FleetView("n1"), clock, lambda: True)
    tracker.peers_for((), {"gold": 1}, clock.now_ms())
    clock.advance(5_000)
    assert not tracker.peers_for(("gold",), {"gold": 1}, clock.now_ms()).is_newcomer


def test_a_node_that_has_just_become_active_is_a_newcomer():
    # Its peers have not announced to it what they admitted before.
    clock = ManualClock(1_000)
    is_active = False
    tracker = QuotaPeerTracker(FleetView("n1"), clock, lambda: is_active)
    tracker.peers_for((), {}, clock.now_ms())
    clock.advance(5_000)
    is_active = True
    tracker.peers_for(("unknown",), {"gold": 1}, clock.now_ms())
    clock.advance(50)
    assert tracker.peers_for(("gold",), {"gold": 1}, clock.now_ms()).is_newcomer
    clock.advance(5_000)
    assert not tracker.peers(clock.now_ms()).is_newcomer
