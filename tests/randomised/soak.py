"""Runs seeds of the randomised runs; ``script/soak`` calls it."""

from __future__ import annotations

import argparse
import logging
import sys
import time

from .orders import OrdersRun
from .scenario import Scenario


def main() -> int:
    """Run seeds until the time or the seeds are over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=0.0, help="how long to go on")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="seeds, where no time is given")
    parser.add_argument("--part", choices=("nodes", "orders"), default="nodes")
    parser.add_argument("--log", action="store_true", help="show the nodes' log lines")
    given = parser.parse_args()
    if given.log:
        logging.basicConfig(level="INFO", format="%(message)s", stream=sys.stderr)
    else:
        logging.disable(logging.CRITICAL)
    until = time.monotonic() + given.minutes * 60
    totals: dict[str, int] = {}
    steps = seeds = failed = 0
    seed = given.seed
    while seeds < given.count if not given.minutes else time.monotonic() < until:
        if given.part == "orders":
            run = OrdersRun(seed)
            broken = run.run()
            counts = {"requests served": run.served, "base models loaded": len(run.model_loads)}
        else:
            scenario = Scenario(seed)
            broken = scenario.run()
            steps += scenario.world.steps
            counts = scenario.weather.counts
        for name, count in counts.items():
            totals[name] = totals.get(name, 0) + count
        seeds += 1
        if broken:
            failed += 1
            print(f"seed {seed} broke {len(broken)} promises:")
            for line in broken[:6]:
                print(f"  {line[:400]}")
            replay = f"script/soak --part {given.part} --seed {seed} --count 1 --log"
            print(f"  replay: {replay}", flush=True)
        seed += 1
    for name in sorted(totals):
        print(f"{totals[name]:>8}  {name}")
    print(f"{seeds} seeds, {steps} steps, {failed} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
