"""Tests that all nodes together keep the retry budget, as counted at the servers."""

from __future__ import annotations

import random

import pytest

from .retry_fleet import RetryFleet

WARM_MS = 12_000
NODES = (2, 6, 7)


def test_undisturbed_fleet_gets_its_retries():
    """Guards against a budget that keeps its limit by granting hardly any retries."""
    fleet = RetryFleet(6, fails=0.1)
    fleet.run(40_000)
    assert fleet.counter.excess() < 0
    assert len(fleet.counter.retries_ms) >= 0.08 * len(fleet.counter.requests_ms)


def test_single_node_that_needs_retries_gets_most_of_the_allowance():
    """Fixed shares would reserve nearly all of the allowance for nodes that need no retries."""
    fleet = RetryFleet(6)
    fleet.run(WARM_MS)
    begun_ms = fleet.clock.now_ms()
    for _ in range(400):
        fleet.run(20)
        if fleet.nodes[0].process.retries.reserve_retry("s").is_allowed:
            fleet.nodes[0].process.retries.record_retry_sent("s")
            fleet.counter.retries_ms.append(fleet.clock.now_ms())
    allowed = 0.2 * sum(at_ms >= begun_ms - 2_000 for at_ms in fleet.counter.requests_ms) + 52
    assert 0.6 * allowed <= len(fleet.counter.retries_ms) <= allowed


@pytest.mark.parametrize("nodes", NODES)
def test_server_crash_that_affects_all_nodes_at_once_keeps_the_budget(nodes):
    """Each node sends retries at the same moment as its peers, before it knows of theirs."""
    fleet = RetryFleet(nodes, seed=nodes)
    fleet.run(WARM_MS)
    fleet.crash_server(60)
    fleet.run(3_000)
    fleet.crash_server(60)
    fleet.run(WARM_MS)
    assert fleet.counter.excess() <= 0


@pytest.mark.parametrize("nodes", NODES)
def test_retries_that_wait_for_a_slot_count_when_they_are_sent(nodes):
    """The retries of two windows wait for slots and are sent together."""
    fleet = RetryFleet(nodes, seed=nodes, wait_ms=9_000)
    fleet.run(WARM_MS)
    fleet.fails = 1.0
    fleet.run(9_000)
    fleet.wait_ms = 0
    fleet.send_waiting()
    fleet.run(9_000)
    assert fleet.counter.excess() <= 0


@pytest.mark.parametrize("killed", [1, 3, 6])
@pytest.mark.parametrize("seed", [1, 2])
def test_restarted_processes_do_not_use_the_budget_a_second_time(killed, seed):
    """The count of a process is lost when it ends."""
    fleet = RetryFleet(6, seed=seed)
    fleet.run(WARM_MS)
    fleet.fails = 1.0
    for _ in range(4):
        fleet.run(1_500)
        fleet.kill(range(killed))
    fleet.run(WARM_MS)
    assert fleet.counter.excess() <= 0


@pytest.mark.parametrize("sides", [[0, 0, 0, 1, 1, 1], [0, 1, 1, 1, 1, 1], [0, 1, 2, 3, 4, 5]])
@pytest.mark.parametrize("for_ms", [3_000, 8_000, 16_000])
def test_nodes_in_a_network_partition_share_the_budget(sides, for_ms):
    """Each side knows only the last heartbeats of the other."""
    fleet = RetryFleet(6, seed=for_ms)
    fleet.run(WARM_MS)
    fleet.partition(sides)
    fleet.fails = 1.0
    fleet.run(for_ms)
    fleet.partition([0] * 6)
    fleet.run(WARM_MS)
    assert fleet.counter.excess() <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_resumed_nodes_do_not_rely_on_outdated_heartbeats(seed):
    """After a suspension their view is outdated, and so are the heartbeats in their sockets."""
    fleet = RetryFleet(6, seed=seed)
    fleet.run(WARM_MS)
    fleet.suspend(range(3), 4_000)
    fleet.fails = 1.0
    fleet.run(WARM_MS)
    assert fleet.counter.excess() <= 0


@pytest.mark.parametrize("seed", range(1, 13))
def test_several_disruptions_at_once_keep_the_retries_inside_the_budget(seed):
    """Killed and suspended processes, partitions and failing servers overlap.

    Guards against more retries at the servers than allowed.
    """
    rng = random.Random(seed)
    nodes = rng.randint(2, 7)
    fleet = RetryFleet(nodes, seed, rng.choice((2.0, 4.0, 8.0)), rng.choice((0, 500, 5_000)))
    fleet.run(WARM_MS)
    for _ in range(12):
        fleet.fails = rng.choice((0.1, 0.6, 1.0))
        draw = rng.random()
        some = rng.sample(range(nodes), rng.randint(1, nodes))
        if draw < 0.3:
            fleet.kill(some, rng.choice((500, 2_000)))
        elif draw < 0.5:
            fleet.suspend(some, rng.randint(500, 5_000))
        elif draw < 0.7:
            fleet.partition([rng.randint(0, 1) for _ in range(nodes)])
        elif draw < 0.8:
            fleet.partition([0] * nodes)
        else:
            fleet.crash_server(rng.randint(1, 30))
        fleet.run(rng.randint(300, 4_000))
    assert fleet.counter.excess() <= 0


@pytest.mark.parametrize("seed", [1, 2])
def test_ninety_nodes_share_one_budget(seed):
    """Sixty have no callers; thirty learn of each other's retries about once a second."""
    fleet = RetryFleet(90, seed=seed, per_s=4.0, idle=60)
    fleet.run(14_000)
    fleet.crash_server(20)
    fleet.fails = 1.0
    fleet.run(4_000)
    fleet.kill(range(60, 80))
    fleet.run(8_000)
    assert fleet.counter.excess() <= 0
