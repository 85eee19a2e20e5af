"""Measures one real node under the letter's share of streams, and against direct calls."""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson

from script.fleet import Fleet, customer_key
from script.processes import ROOT

from .capacity import resident_mb, seconds_of
from .output import show

RUNNERS = 4
LOADERS = 2
ADAPTERS = 8


def load(urls: list[str], streams: int, seconds: int, *extra: str) -> list[dict[str, Any]]:
    """Run loaders side by side and return their figures."""
    command = [
        *(sys.executable, "-m", "measure.loader", *urls, "--key", customer_key("acme")),
        *("--streams", str(streams // LOADERS), "--seconds", str(seconds)),
        *("--adapters", str(ADAPTERS), *extra),
    ]
    running = [subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) for _ in range(LOADERS)]
    return [orjson.loads(process.communicate()[0]) for process in running]


def start(fleet: Fleet, step_ms: int, places: int) -> None:
    """Start engines that hold all adapters, and one node."""
    fleet.start_platform()
    for number in range(RUNNERS):
        options = ("--slots", str(ADAPTERS), "--max-batch", str(places))
        fleet.start_runner(f"m{number}", *options, "--step-ms", str(step_ms))
    fleet.start_node("n0", max_queue=10_000, max_per_customer=10_000)
    fleet.await_nodes("n0")
    fleet.apply_runners("n0")
    fleet.bring_in("n0", "acme", ADAPTERS)
    fleet.await_owned()


def node_under_load(streams: int, seconds: int) -> dict[str, Any]:
    """Return the figures of one node with many streams at 26 tokens a second each."""
    with tempfile.TemporaryDirectory(prefix="monsoonflow-node-") as folder:
        fleet = Fleet(Path(folder), loads_per_second=50)
        try:
            start(fleet, 38, 400)
            load([fleet.url("n0")], 16, 2, "--tokens", "3")
            pid = fleet.pid("n0")
            idle_mb = resident_mb(pid)
            before, began = seconds_of(pid), time.monotonic()
            results = load([fleet.url("n0")], streams, seconds, "--tokens", "150")
            spent = seconds_of(pid) - before
            took = time.monotonic() - began
            return _figures(results, spent, took, resident_mb(pid) - idle_mb, streams)
        finally:
            fleet.close()


def _figures(
    results: list[dict[str, Any]], spent: float, took: float, grown_mb: float, streams: int
) -> dict[str, Any]:
    tokens = sum(entry["tokens"] for entry in results)
    requests = sum(entry["requests"] for entry in results)
    return {
        "streams": streams,
        "tokens a second": round(tokens / took),
        "requests a second": round(requests / took, 1),
        "failed": sum(entry["failed"] for entry in results),
        "processor (% of a core)": round(spent / took * 100, 1),
        "tokens a second a core": round(tokens / spent),
        "memory a stream (KB)": round(grown_mb * 1024 / streams, 1),
        "first token (ms)": results[0]["first_ms"],
        "between tokens (ms)": results[0]["gap_ms"],
    }


def direct_and_through(streams: int, seconds: int) -> dict[str, Any]:
    """Return latencies with few streams, calling the engine directly and through the node."""
    with tempfile.TemporaryDirectory(prefix="monsoonflow-node-") as folder:
        fleet = Fleet(Path(folder), loads_per_second=50)
        try:
            start(fleet, 10, 64)
            load([fleet.url("n0")], 16, 2, "--tokens", "3")
            through = load([fleet.url("n0")], streams, seconds, "--tokens", "50")
            engine = fleet.url("m0")
            for number in range(ADAPTERS):
                body = {"lora_name": f"acme-{number}@2"}
                headers = {"X-Fencing-Number": "99"}
                fleet.http.call("POST", f"{engine}/v1/load_lora_adapter", body, headers)
            direct = load([engine], streams, seconds, "--tokens", "50", "--direct")
            return {
                "first token through the node (ms)": through[0]["first_ms"],
                "first token direct (ms)": direct[0]["first_ms"],
                "between tokens through the node (ms)": through[0]["gap_ms"],
                "between tokens direct (ms)": direct[0]["gap_ms"],
                "failed": sum(entry["failed"] for entry in through + direct),
            }
        finally:
            fleet.close()


def main() -> int:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=380)
    parser.add_argument("--seconds", type=int, default=20)
    given = parser.parse_args()
    for title, figures in (
        ("few streams, one step each 10 ms", direct_and_through(8, 8)),
        ("the letter's share of a node", node_under_load(given.streams, given.seconds)),
    ):
        show(title, figures)
    return 0


if __name__ == "__main__":
    sys.exit(main())
