"""Prints where the service of a loaded day was lost, from the logs of all nodes."""

from __future__ import annotations

import argparse
from pathlib import Path

from monsoonflow.report import lost, timeline


def main() -> None:
    """Print the table; columns of milliseconds are the quantiles that ``lost`` names."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("logs", nargs="+", type=Path, help="log files of the nodes")
    options = arguments.parse_args()
    entries: list[timeline.LogEntry] = []
    for path in options.logs:
        entries += timeline.read(path.read_text(errors="replace").splitlines(), path.stem)
    print("\n".join(lost.table(entries)))


if __name__ == "__main__":
    main()
