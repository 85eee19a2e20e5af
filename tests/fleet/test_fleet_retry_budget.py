"""The retries of all nodes together, as servers see them arrive."""

from __future__ import annotations

import random

import pytest

from .retry_fleet import RetryFleet

WARM_MS = 12_000
NODES = (2, 6, 7)


def test_a_quiet_fleet_gets_its_retries():
    """A budget that keeps its bound by granting nothing serves nobody."""
    fleet = RetryFleet(6, fails=0.1)
    fleet.run(40_000)
    assert fleet.judge.excess() < 0
    assert len(fleet.judge.again_ms) >= 0.08 * len(fleet.judge.requests_ms)


def test_one_node_that_needs_retries_gets_most_of_them():
    """Bounded shares would leave nearly all of the allowance to those that need none."""
    fleet = RetryFleet(6)
    fleet.run(WARM_MS)
    begun_ms = fleet.clock.now_ms()
    for _ in range(400):
        fleet.run(20)
        if fleet.nodes[0].process.retries.reserve_retry("s").is_allowed:
            fleet.nodes[0].process.retries.record_retry_sent("s")
            fleet.judge.again_ms.append(fleet.clock.now_ms())
    allowed = 0.2 * sum(at_ms >= begun_ms - 2_000 for at_ms in fleet.judge.requests_ms) + 52
    assert 0.6 * allowed <= len(fleet.judge.again_ms) <= allowed


@pytest.mark.parametrize("nodes", NODES)
def test_streams_that_break_off_at_all_nodes_at_once(nodes):
    """Each node spends what the others spend in the same moment."""
    fleet = RetryFleet(nodes, seed=nodes)
    fleet.run(WARM_MS)
    fleet.break_off(60)
    fleet.run(3_000)
    fleet.break_off(60)
    fleet.run(WARM_MS)
    assert fleet.judge.excess() <= 0


@pytest.mark.parametrize("nodes", NODES)
def test_retries_that_wait_for_a_place_count_when_they_are_sent(nodes):
    """Those of two windows wait, and go out together."""
    fleet = RetryFleet(nodes, seed=nodes, wait_ms=9_000)
    fleet.run(WARM_MS)
    fleet.fails = 1.0
    fleet.run(9_000)
    fleet.wait_ms = 0
    fleet.release()
    fleet.run(9_000)
    assert fleet.judge.excess() <= 0


@pytest.mark.parametrize("killed", [1, 3, 6])
@pytest.mark.parametrize("seed", [1, 2])
def test_processes_that_start_again_do_not_spend_the_budget_again(killed, seed):
    """A process that ends takes its count with it."""
    fleet = RetryFleet(6, seed=seed)
    fleet.run(WARM_MS)
    fleet.fails = 1.0
    for _ in range(4):
        fleet.run(1_500)
        fleet.kill(range(killed))
    fleet.run(WARM_MS)
    assert fleet.judge.excess() <= 0


@pytest.mark.parametrize("sides", [[0, 0, 0, 1, 1, 1], [0, 1, 1, 1, 1, 1], [0, 1, 2, 3, 4, 5]])
@pytest.mark.parametrize("for_ms", [3_000, 8_000, 16_000])
def test_nodes_that_do_not_hear_each_other_share_the_budget(sides, for_ms):
    """Each side of a cut spends by the other's last word."""
    fleet = RetryFleet(6, seed=for_ms)
    fleet.run(WARM_MS)
    fleet.cut(sides)
    fleet.fails = 1.0
    fleet.run(for_ms)
    fleet.cut([0] * 6)
    fleet.run(WARM_MS)
    assert fleet.judge.excess() <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nodes_that_wake_from_a_freeze_do_not_spend_by_what_they_heard_before_it(seed):
    """Their picture is old, and the reports that wait for them are as well."""
    fleet = RetryFleet(6, seed=seed)
    fleet.run(WARM_MS)
    fleet.freeze(range(3), 4_000)
    fleet.fails = 1.0
    fleet.run(WARM_MS)
    assert fleet.judge.excess() <= 0


@pytest.mark.parametrize("seed", range(1, 13))
def test_several_disruptions_at_once_keep_the_retries_inside_the_budget(seed):
    """Kills, cuts, freezes and servers that fail overlap; more retries arrived than allowed."""
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
            fleet.freeze(some, rng.randint(500, 5_000))
        elif draw < 0.7:
            fleet.cut([rng.randint(0, 1) for _ in range(nodes)])
        elif draw < 0.8:
            fleet.cut([0] * nodes)
        else:
            fleet.break_off(rng.randint(1, 30))
        fleet.run(rng.randint(300, 4_000))
    assert fleet.judge.excess() <= 0


@pytest.mark.parametrize("seed", [1, 2])
def test_ninety_nodes_share_one_budget(seed):
    """Sixty have no callers; thirty hear of each other's retries about once a second."""
    fleet = RetryFleet(90, seed=seed, per_s=4.0, idle=60)
    fleet.run(14_000)
    fleet.break_off(20)
    fleet.fails = 1.0
    fleet.run(4_000)
    fleet.kill(range(60, 80))
    fleet.run(8_000)
    assert fleet.judge.excess() <= 0
