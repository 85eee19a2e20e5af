"""Servers that shed load while they are full, and ask the nodes that they turn away for rest."""

from __future__ import annotations

import pytest

from tests.routing.rest_fleet import FullReturn, Load, RestFleet, Server, SuddenReturn

MAX_IN_REST = 2
WORK_MS = 150
SLOTS = 6
SERVERS = 3
CAPACITY_PER_S = SERVERS * SLOTS * 1000 / WORK_MS


def rush(at_s):
    """Return the requests a second in a rush of one and a half times the capacity."""
    return CAPACITY_PER_S * (1.5 if 4 < at_s < 9 else 0.7)


def play(nodes, seed, **policy):
    servers = [Server(f"i-{n}", SLOTS, 2, WORK_MS, 3_000) for n in range(SERVERS)]
    return RestFleet(nodes, servers, Load(rush, run_s=15.0), seed, **policy).run()


@pytest.mark.parametrize("nodes", [1, 7, 30])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_resting_server_gets_no_more_requests_of_a_node_than_allowed(nodes, seed):
    assert play(nodes, seed).most_in_rest <= MAX_IN_REST


def test_servers_shed_less_if_nodes_have_fewer_requests_there_than_before():
    """Nodes that returned to as many requests as before were turned away at each return."""
    fewer = [play(7, seed) for seed in range(1, 6)]
    full = [play(7, seed, new_rests=FullReturn) for seed in range(1, 6)]
    assert sum(run.served for run in fewer) > sum(run.served for run in full)
    assert sum(run.sheds for run in fewer) < sum(run.sheds for run in full)


def test_servers_shed_less_if_nodes_return_slowly():
    """All that came back at the end of a rest made servers shed again."""
    slow = [play(7, seed, new_rests=FullReturn) for seed in range(1, 6)]
    sudden = [play(7, seed, new_rests=SuddenReturn) for seed in range(1, 6)]
    assert sum(run.served for run in slow) > sum(run.served for run in sudden)
    assert sum(run.sheds for run in slow) < sum(run.sheds for run in sudden)
