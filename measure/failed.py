"""Draws requests that failed on a played day and prints what the logs say of each."""

from __future__ import annotations

import argparse
import random
from pathlib import Path

from monsoonflow.report import timeline

DRAWN = 10


def main() -> None:
    """Print the timelines of some failed requests, and how many have a cause."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("logs", nargs="+", type=Path, help="log files of the nodes")
    arguments.add_argument("--seed", type=int, default=1)
    arguments.add_argument("--short", action="store_true", help="only the causes")
    options = arguments.parse_args()
    entries: list[timeline.LogEntry] = []
    for path in options.logs:
        entries += timeline.read(path.read_text(errors="replace").splitlines(), path.stem)
    failed = sorted(set(timeline.failed_requests(entries)))
    drawn = random.Random(options.seed).sample(failed, min(DRAWN, len(failed)))
    named = 0
    for request in drawn:
        lines = timeline.of_request(entries, request)
        named += lines[-1].startswith("cause: ") and ";" in lines[-1]
        print("\n".join([request + " " + lines[-1]] if options.short else [*lines, ""]))
    print(f"{len(failed)} failed, {len(drawn)} drawn, {named} with a cause beside their end")


if __name__ == "__main__":
    main()
