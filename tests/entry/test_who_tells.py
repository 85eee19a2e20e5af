"""How nodes of a large fleet announce a draining server to each other."""

from __future__ import annotations

import pytest

from monsoonflow.entry.store_follower import SERVER_WATCHERS
from tests.entry.silent_store import Fleet, has_stopped_using

DRAIN_MS = 2_000


def test_each_server_watcher_broadcasts_a_draining_server_once():
    """A draining server continues to write its entry every second for many seconds.

    Each of the six nodes that watch servers notified all 89 others at each of these writes: among
    ninety nodes some 500 datagrams a second for each draining server, with nothing new in them.
    """
    fleet = Fleet(90, DRAIN_MS)
    fleet.run(12_000)
    fleet.broadcasts = 0
    assert fleet.drain("i-1")
    fleet.run(8_000)
    assert all(has_stopped_using("i-1")(node) for node in fleet.nodes)
    assert 1 <= fleet.broadcasts <= SERVER_WATCHERS


@pytest.mark.parametrize("after_ms", [0, 1_000, 3_000])
def test_a_node_that_receives_no_heartbeats_polls_the_store_itself(after_ms: int):
    """One of ninety nodes receives no heartbeats any more, but reaches the store.

    It relied on its peers for 4.8 s, as long as a peer with rare heartbeats may stay silent.
    """
    fleet = Fleet(90, DRAIN_MS)
    fleet.run(12_000)
    fleet.nodes_not_receiving = {
        node.record.name for node in fleet.nodes if polls_as_last_resort(node)
    }
    fleet.run(after_ms)
    assert fleet.drain("i-1")
    assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) < DRAIN_MS


def polls_as_last_resort(node) -> bool:
    """Return whether a node polls for servers only as a last resort."""
    return node.store_watches.servers.pause_ms() > DRAIN_MS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_draining_server_is_known_in_time_though_half_of_all_heartbeats_are_lost(seed: int):
    fleet = Fleet(90, DRAIN_MS, seed)
    fleet.run(12_000)
    fleet.loss_share = 0.5
    assert fleet.drain("i-1")
    assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) < DRAIN_MS


@pytest.mark.parametrize("after_ms", [100, 500, 1_500])
def test_a_just_started_node_learns_of_a_draining_server_in_time(after_ms: int):
    fleet = Fleet(90, DRAIN_MS)
    fleet.run(12_000)
    fleet.add_node()
    fleet.run(after_ms)
    assert fleet.drain("i-1")
    assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) < DRAIN_MS
