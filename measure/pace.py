"""Measures what the pace of runners gains, and each of its uses, by switching one off at a time.

Virtual time; see tests/gateway/pace_simulation.py. The loads: runners that start requests late
(observation 7 of docs/design/hard-load.md), equal runners, runners of the two deployments, and
those of deployment B with spells of 0.6 s in which they are 2.5 times slower.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, Final
from unittest.mock import patch

from monsoonflow.gateway import runner_chooser
from monsoonflow.gateway.backlog import Backlog
from monsoonflow.placement.faster_runners import FasterRunners
from monsoonflow.routing.runner_pace import RunnerPace
from tests.gateway.pace_simulation import PaceSimulation, lives
from tests.gateway.test_runner_pace import deployment, late_share, late_starts

SPELL_MS: Final = 600
SPELL_SHARE: Final = 0.15
SPELL_FACTOR: Final = 2.5
STEP_MS: Final = 100
RUN_MS: Final = 20_000

Patch = tuple[Any, str, Callable[..., Any]]


def _cost_in_tokens(self: Any, runner: Any, now_ms: int) -> float:
    work = self.backlog.work_at(runner.life, runner.service, now_ms)
    return work.pending_prefill_tokens + 60 * (work.requests + 1) + self.rng.random()


PATCHES_BY_WAY: Final[dict[str, list[Patch]]] = {
    "on": [],
    "off": [],
    "oracle": [],
    "no gaps": [(Backlog, "record_gap", lambda *_: None)],
    "no announcements": [(RunnerPace, "receive", lambda *_: None)],
    "no random choice": [
        (runner_chooser, "choose_life", lambda costs, *_: min(costs, key=costs.get))
    ],
    "no wait for a load": [
        (FasterRunners, "should_wait", lambda *_: False),
        (runner_chooser, "is_faster_elsewhere", lambda *_: False),
    ],
    "no load targets": [(FasterRunners, "stepped_pace_of", lambda *_: 1.0)],
    "no cost": [(runner_chooser.RunnerChooser, "_cost", _cost_in_tokens)],
}

FACTORS_BY_LOAD: Final = {
    "equal": ([1.0] * 6, 33),
    "A": ([1.0, 1.0, 1.3] * 2, 33),
    "B": ([0.7, 0.7, 1.7] * 2, 38),
}


def _run_spells(simulation: PaceSimulation, rate: float) -> None:
    """Let runners be slow for 0.6 s now and then, each for 15 % of the time."""
    rng = random.Random(simulation.seed + 7)
    model_by_life = simulation.model_by_life
    factor_by_life = {life: model.factor for life, model in model_by_life.items()}
    until_ms = dict.fromkeys(factor_by_life, 0)
    start_share = STEP_MS / SPELL_MS * SPELL_SHARE / (1 - SPELL_SHARE)
    for _ in range(RUN_MS // STEP_MS):
        now_ms = simulation.clock.now_ms()
        for life, factor in factor_by_life.items():
            if until_ms[life] > now_ms:
                continue
            model_by_life[life].factor = factor
            if rng.random() < start_share:
                until_ms[life] = now_ms + SPELL_MS
                model_by_life[life].factor = factor * SPELL_FACTOR
        simulation.run(STEP_MS, rate)


def _spells(seed: int, mode: str) -> PaceSimulation:
    simulation = deployment([0.7, 0.7, 1.7] * 2, seed, 32, mode, duration_ms=1_000)
    simulation.reset_counts()
    _run_spells(simulation, 32)
    return simulation


def _describe(name: str, runs: list[PaceSimulation]) -> str:
    took_ms = [took for run in runs for took in run.first_event_ms]
    cold_loads = sum(run.scheduler.cold_load_count for run in runs)
    mean_ms = sum(took_ms) / len(took_ms)
    return f"{name}: late {late_share(runs):.4f}, mean {mean_ms:.0f} ms, cold loads {cold_loads}"


def measure(way: str, seeds: range) -> list[str]:
    """Return a line for each load."""
    mode = way if way in ("off", "oracle") else "on"
    lines = []
    with ExitStack() as stack:
        for target, name, replacement in PATCHES_BY_WAY[way]:
            stack.enter_context(patch.object(target, name, replacement))
        if mode != "oracle":
            runs = [late_starts(seed, n, mode == "on") for seed in seeds for n in (2, 6, 12)]
            slow = sum(run.share_of(lives(6)[3:]) for run in runs) / len(runs)
            over = sum(run.share_over(600) for run in runs) / len(runs)
            lines.append(f"late starts: slow half {slow:.3f}, over 0.6 s {over:.3f}")
        for name, (factors, rate) in FACTORS_BY_LOAD.items():
            runs = [deployment(factors, seed, rate, mode, RUN_MS) for seed in seeds]
            lines.append(_describe(name, runs))
        lines.append(_describe("B with spells", [_spells(seed, mode) for seed in seeds]))
    return lines


def main() -> None:
    """Print the results of each way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ways", nargs="*", default=list(PATCHES_BY_WAY), metavar="WAY")
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    for way in options.ways:
        for line in measure(way, range(1, options.seeds + 1)):
            print(f"{way:18} {line}", flush=True)


if __name__ == "__main__":
    main()
