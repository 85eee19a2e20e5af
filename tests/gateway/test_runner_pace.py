"""Tests that runners of different speed get work by expected time; several nodes, virtual time."""

from __future__ import annotations

import pytest

from monsoonflow.gateway.models import Chosen, NoServer
from monsoonflow.routing.runner_pace import RunnerPace
from tests.gateway.pace_simulation import PaceSimulation, RunnerModel, lives, runners
from tests.gateway.runner_simulation import FixedPlacement, RunnerSimulation

SEEDS = (1, 2, 3)
WARM_UP_MS = 6_000
LATE_STARTS = [RunnerModel(1.0, 500 * (number >= 3)) for number in range(6)]
DEPLOYMENT = {
    "slot_count": 5,
    "adapters": 200,
    "zipf_exponent": 1.2,
    "prompt_tokens": 2_368,
    "events": 20,
    "event_gap_ms": 30,
    "objective_ms": 1_000,
}


def late_starts(seed: int, node_count: int, is_pace_used: bool = True) -> PaceSimulation:
    """Return the load of observation 7: three of six runners start each request 0.5 s late."""
    simulation = PaceSimulation(
        runners(*LATE_STARTS), node_count, seed=seed, is_pace_used=is_pace_used
    )
    simulation.run(WARM_UP_MS, 12)
    simulation.reset_counts()
    simulation.run(20_000, 12)
    return simulation


def deployment(
    factors: list[float], seed: int, rate: float, mode: str = "on", duration_ms: int = 20_000
) -> PaceSimulation:
    """Return six runners with some speed factors after a load of full-size prompts.

    :param mode: ``on``, ``off`` (all runners treated as equal) or ``oracle`` (factors known).
    """
    models = [RunnerModel(factor) for factor in factors]
    simulation = PaceSimulation(
        runners(*models), 7, seed=seed, is_pace_used=mode != "off", **DEPLOYMENT
    )
    if mode == "oracle":
        reference = sorted(factors)[(len(factors) - 1) // 2]
        for node in simulation.nodes:
            node.backlog.pace = Oracle(simulation, reference)
    simulation.run(WARM_UP_MS, rate)
    simulation.reset_counts()
    simulation.run(duration_ms, rate)
    return simulation


class Oracle(RunnerPace):
    """Knows the speed factors of the runners."""

    def __init__(self, simulation: PaceSimulation, reference: float) -> None:
        super().__init__()
        self._simulation = simulation
        self._reference = reference

    def pace_of(self, life, now_ms):
        """Return the true pace."""
        return self._simulation.model_by_life[life].factor / self._reference


def late_share(simulations: list[PaceSimulation]) -> float:
    """Return the share of requests refused or with a late first event, over several runs."""
    late = sum(
        run.refused + sum(took > run.objective_ms for took in run.first_event_ms)
        for run in simulations
    )
    return late / sum(run.refused + len(run.first_event_ms) for run in simulations)


@pytest.mark.parametrize("node_count", [2, 6, 12])
@pytest.mark.parametrize("seed", SEEDS)
def test_runners_that_start_requests_late_get_few(seed: int, node_count: int):
    """The fast half could carry three times the load.

    Compared by tokens, the slow half got 0.35 to 0.45 of the requests, which all took over 0.6 s.
    """
    simulation = late_starts(seed, node_count)
    assert simulation.share_of(lives(6)[3:]) <= 0.25
    assert simulation.share_over(600) < 0.15


def test_nodes_of_the_previous_release_are_served_as_before_and_the_others_gain():
    """Half of the nodes, not the lease holder, observe and announce nothing."""
    simulation = PaceSimulation(runners(*LATE_STARTS), 6)
    for node in simulation.nodes[3:]:
        node.backlog.pace = None
    simulation.run(WARM_UP_MS, 12)
    simulation.reset_counts()
    simulation.run(20_000, 12)
    assert simulation.refused == 0
    assert simulation.share_of(lives(6)[3:]) < 0.35


def test_lease_holder_of_the_previous_release_grants_slow_slots_at_once():
    """Nodes ask it for a faster runner; it knows no paces, and nobody may wait for that."""
    simulation = PaceSimulation(runners(*LATE_STARTS), 6, is_pace_used_by_holder=False)
    simulation.run(WARM_UP_MS, 12)
    simulation.reset_counts()
    simulation.run(20_000, 12)
    assert simulation.refused == 0
    assert simulation.share_over(1_200) <= 0.02


class RefusingPlacement(FixedPlacement):
    """Refuses slot requests after a while, like a lease holder that is silent or has no slot."""

    clock = None
    wait_ms = 0

    def request_slot(self, *_, **__):
        """Refuse."""
        self.slot_request_count += 1
        self.clock.advance(self.wait_ms)
        return NoServer("no slot", 500)


@pytest.mark.parametrize(("wait_ms", "is_served"), [(0, True), (800, True), (4_000, False)])
def test_slow_runner_serves_a_request_that_gets_no_faster_slot(wait_ms: int, is_served: bool):
    """The lease holder refuses or does not answer; the slow runner is free and still in time."""
    slow, fast = lives(2)
    placement = RefusingPlacement({"a": {slow: 1}})
    simulation = RunnerSimulation(placement, 1, (slow, fast))
    placement.clock, placement.wait_ms = simulation.clock, wait_ms
    (node,) = simulation.nodes
    for peer in range(6):
        node.backlog.pace.receive(f"p{peer}", {slow: 4.0}, simulation.clock.now_ms())
    result = simulation.receive_request(node, "a")
    assert placement.slot_request_count == 1
    assert isinstance(result, Chosen) is is_served


def test_late_starts_are_reproduced_without_the_part():
    """The load must show the fault, or the bounds above would say nothing."""
    simulation = late_starts(1, 2, is_pace_used=False)
    assert simulation.share_of(lives(6)[3:]) > 0.3
    assert simulation.share_over(600) > 0.3


def test_lateness_is_near_that_of_an_oracle():
    """Runners of 0.7, 0.7 and 1.7 at seven tenths of their capacity.

    By tokens 0.028 of the first events were late, with known factors 0.004. Single requests decide
    at such shares, so half a percent is allowed beyond the factor.
    """
    factors = [0.7, 0.7, 1.7] * 2
    used = late_share([deployment(factors, seed, 38) for seed in SEEDS])
    oracle = late_share([deployment(factors, seed, 38, "oracle") for seed in SEEDS])
    unused = late_share([deployment(factors, seed, 38, "off") for seed in SEEDS])
    assert used <= 1.25 * oracle + 0.005
    assert used < unused / 2


def test_equal_runners_get_equal_shares():
    """Noise must not make some of them look slow: the work of each stays as before."""
    used = [deployment([1.0] * 6, seed, 33) for seed in SEEDS]
    unused = [deployment([1.0] * 6, seed, 33, "off") for seed in SEEDS]
    assert late_share(used) <= late_share(unused) + 0.005
    for life in lives(6):
        share = sum(run.share_of([life]) for run in used) / len(SEEDS)
        assert share == pytest.approx(
            sum(run.share_of([life]) for run in unused) / len(SEEDS), abs=0.04
        )
    cold_loads = sum(run.scheduler.cold_load_count for run in used)
    assert cold_loads <= 1.1 * sum(run.scheduler.cold_load_count for run in unused)


@pytest.mark.parametrize("seed", SEEDS)
def test_recovered_runner_gets_its_share_again(seed: int):
    """A slow runner that nobody uses could never show that it has recovered."""
    changing = lives(6)[5]
    simulation = deployment([0.7] * 5 + [3.0], seed, 38)
    assert simulation.share_of([changing]) < 0.14
    simulation.model_by_life[changing].factor = 0.7
    simulation.run(12_000, 38)
    simulation.reset_counts()
    simulation.run(10_000, 38)
    assert simulation.share_of([changing]) > 0.11


@pytest.mark.parametrize("duration_ms", [600, 5_000, 60_000])
def test_runner_that_turns_slow_costs_few_late_requests(duration_ms: int):
    """One of six runners turns from 0.7 to 3 for a spell, for some seconds, or for good."""
    late = {}
    for mode in ("on", "off"):
        runs = []
        for seed in SEEDS:
            simulation = deployment([0.7] * 6, seed, 38, mode, duration_ms=1_000)
            simulation.reset_counts()
            simulation.model_by_life[lives(6)[5]].factor = 3.0
            simulation.run(min(duration_ms, 15_000), 38)
            simulation.model_by_life[lives(6)[5]].factor = 0.7 if duration_ms < 15_000 else 3.0
            simulation.run(5_000, 38)
            runs.append(simulation)
        late[mode] = late_share(runs)
    assert late["on"] <= late["off"] + 0.005


def test_many_nodes_do_not_all_turn_to_the_fastest_of_two_fast_runners():
    """Their paces differ by a tenth, which all of thirty nodes know exactly."""
    simulation = PaceSimulation(runners(*[RunnerModel()] * 3), 30, adapters=1, seed=1)
    simulation.residency = {"m/a0": dict.fromkeys(lives(3), 1)}
    for life in lives(3):
        simulation.fake_by_life[life].held["m/a0"] = 1
    now_ms = simulation.clock.now_ms()
    for node in simulation.nodes:
        for peer in range(6):
            paces = {lives(3)[0]: 0.4, lives(3)[1]: 0.44}
            node.backlog.pace.receive(f"p{peer}", paces, now_ms)
    for node in simulation.nodes:
        simulation.receive_request(node, now_ms)
    assert simulation.sent_by_life[lives(3)[0]] >= 8
    assert simulation.sent_by_life[lives(3)[1]] >= 8


def test_many_nodes_that_learn_the_same_do_not_all_turn_to_one_runner():
    """Thirty nodes learn at once that one of three holders is slow."""
    simulation = PaceSimulation(runners(*[RunnerModel()] * 3), 30, adapters=1, seed=1)
    simulation.residency = {"m/a0": dict.fromkeys(lives(3), 1)}
    for life in lives(3):
        simulation.fake_by_life[life].held["m/a0"] = 1
    now_ms = simulation.clock.now_ms()
    for node in simulation.nodes:
        for _ in range(6):
            node.backlog.pace.receive("p", {lives(3)[2]: 4.0}, now_ms)
    for node in simulation.nodes:
        simulation.receive_request(node, now_ms)
    assert simulation.sent_by_life[lives(3)[0]] >= 8
    assert simulation.sent_by_life[lives(3)[1]] >= 8
    assert simulation.sent_by_life[lives(3)[2]] <= 8
