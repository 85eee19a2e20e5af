"""Tests that a runner that becomes slow gets fewer requests, and more once it has recovered."""

from __future__ import annotations

import pytest

from monsoonflow.core.server_life import ServerLife
from tests.gateway.runner_simulation import FixedPlacement, RunnerSimulation
from tests.gateway.test_overloaded_runners import arrivals

LIVES = tuple(ServerLife(f"i-{number}") for number in range(12))
SLOW_LIVES = LIVES[:3]
SLOWDOWN = 5.0
REQUESTS_PER_S = 110
"""Generations in a rush, of which twelve runners process 97."""


def simulate_slow_runners(node_count: int, seed: int) -> tuple[RunnerSimulation, int]:
    """Return a simulation in which three runners have been slow for 2.5 s.

    Its counters start at that time. The second value is the number of requests that these runners
    had processed before they became slow.
    """
    simulation = RunnerSimulation(FixedPlacement({"a": dict.fromkeys(LIVES, 1)}), node_count, LIVES)
    simulation.rng.seed(seed)
    simulation.run(6_000, arrivals(simulation, "a", REQUESTS_PER_S))
    processed_before = sum(simulation.processed_by_life[life] for life in SLOW_LIVES)
    simulation.slowdown_by_life = dict.fromkeys(SLOW_LIVES, SLOWDOWN)
    simulation.run(2_500, arrivals(simulation, "a", REQUESTS_PER_S))
    simulation.caller_left_by_life.clear()
    simulation.sent = simulation.lost = 0
    return simulation, processed_before


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_do_not_leave_while_they_wait_at_a_runner_that_has_turned_slow(seed: int):
    """Three of twelve runners process prompts at a fifth of their normal rate for seven seconds.

    With ninety nodes, each node sends a request to each of them once a second or less. It learns
    their rate only from a first event, or from its absence when the caller has left after 4 s: it
    expected 815 ms where a request waited 3.2 s until its caller left. 10 of 14 callers left while
    a slow runner still had their requests, and the runner goes on with these for a while.
    """
    simulation, _ = simulate_slow_runners(89, seed)
    simulation.run(4_500, arrivals(simulation, "a", REQUESTS_PER_S))
    assert simulation.lost <= simulation.sent * 0.02, (
        simulation.sent,
        simulation.lost,
        simulation.caller_left_by_life,
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_runner_that_has_recovered_is_used_again(seed: int):
    """The low rate of a slow runner is soon forgotten; otherwise it would be idle in a rush."""
    simulation, processed_before = simulate_slow_runners(89, seed)
    simulation.run(4_500, arrivals(simulation, "a", REQUESTS_PER_S))
    simulation.slowdown_by_life = {}
    simulation.run(5_000, arrivals(simulation, "a", REQUESTS_PER_S))
    simulation.processed_by_life.clear()
    simulation.run(6_000, arrivals(simulation, "a", REQUESTS_PER_S))
    assert sum(simulation.processed_by_life[life] for life in SLOW_LIVES) >= 0.6 * processed_before
