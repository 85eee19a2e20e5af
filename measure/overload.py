"""Offers a real node more than its engine can do and measures goodput and refusals.

Callers keep ``times`` the engine's places busy and come back when they are told to.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from script.fleet import Fleet

from .node import ADAPTERS, load

PLACES = 16
TIMES = (1, 1.5, 2, 4, 8)
DEADLINE_MS = 1_000


def main() -> int:
    """Print a line per load."""
    with tempfile.TemporaryDirectory(prefix="monsoonflow-overload-") as folder:
        fleet = Fleet(Path(folder), loads_per_second=50)
        try:
            fleet.start_platform()
            options = ("--slots", str(ADAPTERS), "--max-batch", str(PLACES), "--step-ms", "20")
            fleet.start_runner("m0", *options)
            fleet.start_node("n0")
            fleet.await_nodes("n0")
            fleet.apply_runners("n0")
            fleet.bring_in("n0", "acme", ADAPTERS)
            fleet.await_owned()
            load([fleet.url("n0")], 16, 3, "--tokens", "3")
            print(
                "times places | done a second | refused a second | cut a second | refusal 50/99 %"
            )
            for times in (*TIMES, 1):
                _measure(fleet, times)
        finally:
            fleet.close()
    return 0


def _measure(fleet: Fleet, times: float) -> None:
    """Run one load for ten seconds and print its line."""
    extra = ("--tokens", "15", "--deadline-ms", str(DEADLINE_MS), "--ramp", "0.5")
    results = load([fleet.url("n0")], int(PLACES * times), 10, *extra)
    seconds = results[0]["seconds"]
    failed = sum(entry["failed"] for entry in results)
    refused = sum(entry["refused"] for entry in results)
    done = sum(entry["requests"] for entry in results) - failed - refused
    waits = results[0]["refused_ms"]
    print(
        f"{times:>14} | {done / seconds:>13.1f} | {refused / seconds:>16.1f} | "
        f"{failed / seconds:>12.1f} | {waits['50']} / {waits['99']}"
    )


if __name__ == "__main__":
    sys.exit(main())
