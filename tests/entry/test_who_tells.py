"""Who learns from whom that a server leaves, in a large fleet."""

from __future__ import annotations

import pytest

from monsoonflow.entry.store_follower import SERVER_WATCHERS
from tests.entry.silent_store import Fleet, left

DRAIN_MS = 2_000


def test_a_leave_is_told_to_everybody_once_by_each_that_reads_it():
    """A server that leaves goes on writing its entry, every second for many seconds.

    Each of the six nodes that watch told all 89 others at each of these writes: among ninety nodes
    some 500 datagrams a second for each server that leaves, with nothing new in them.
    """
    fleet = Fleet(90, DRAIN_MS)
    fleet.run(12_000)
    fleet.told_everybody = 0
    assert fleet.leave("i-1")
    fleet.run(8_000)
    assert all(left("i-1")(node) for node in fleet.nodes)
    assert 1 <= fleet.told_everybody <= SERVER_WATCHERS


@pytest.mark.parametrize("after_ms", [0, 1_000, 3_000])
def test_a_node_that_nobody_tells_any_more_asks_for_itself(after_ms: int):
    """A node of ninety hears no reports any more, and reaches the store.

    It relied on the others for as long as one that is told now and then may be unheard, 4.8 s.
    """
    fleet = Fleet(90, DRAIN_MS)
    fleet.run(12_000)
    fleet.mute = {node.card.name for node in fleet.nodes if resting(node)}
    fleet.run(after_ms)
    assert fleet.leave("i-1")
    assert fleet.last_after_ms(left("i-1"), 30_000) < DRAIN_MS


def resting(node) -> bool:
    """Tell whether a node asks for servers as a last resort only."""
    return node.followed.servers.pause_ms() > DRAIN_MS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_half_of_all_reports_may_be_lost(seed: int):
    fleet = Fleet(90, DRAIN_MS, seed)
    fleet.run(12_000)
    fleet.lost = 0.5
    assert fleet.leave("i-1")
    assert fleet.last_after_ms(left("i-1"), 30_000) < DRAIN_MS


@pytest.mark.parametrize("after_ms", [100, 500, 1_500])
def test_a_node_that_has_just_started_learns_of_a_leave_in_time(after_ms: int):
    fleet = Fleet(90, DRAIN_MS)
    fleet.run(12_000)
    fleet.add_node()
    fleet.run(after_ms)
    assert fleet.leave("i-1")
    assert fleet.last_after_ms(left("i-1"), 30_000) < DRAIN_MS
