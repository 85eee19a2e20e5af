"""Runs seeds of the soak of real processes; ``script/soak --processes`` calls it."""

from __future__ import annotations

import argparse
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Final

import attrs

from script.processes import ROOT

from .customers import Share
from .faults import KINDS, FaultInjector
from .fleet import Fleet
from .judge import Late
from .outcome import (
    answers_of,
    broken_at_releases_of,
    broken_of,
    crashes_by_part,
    endings_of,
    exceeded_of,
    falls_of,
    late_of,
    looking_complete_of,
    mixed_of,
    outdated_of,
    overtaxed_of,
    parts_of,
    resumptions_of,
    shared_numbers_of,
    shares_of,
    unheeded_of,
    worse_served_of,
)
from .versions import Resumptions

SETTLE_S: Final = 2.0
"""Traffic before the first trouble."""

AFTER_S: Final = 3.0
"""Traffic after the last one."""

SHOWN: Final = 12


@attrs.frozen(slots=True)
class Run:
    """What came of one seed."""

    late: list[Late]
    promises: list[str]
    statuses: Counter[int]
    endings: Counter[str]
    troubles: dict[str, int]
    mixed: int
    resumptions: Resumptions
    crashes_by_part: dict[str, int]
    shares: list[Share]


def run_seed(seed: int, seconds: float, folder: Path, given: argparse.Namespace) -> Run:
    """Run one seed and judge it."""
    fleet = Fleet(folder, Path(given.nodes_of))
    injector = FaultInjector(fleet, random.Random(seed), tuple(given.kinds))
    try:
        fleet.start(given.nodes, given.plain, given.engines, given.per_s, seed)
        time.sleep(SETTLE_S)
        injector.inject(time.monotonic() + seconds)
        time.sleep(AFTER_S)
    finally:
        fleet.close()
    late = late_of(fleet, injector.disturbances)
    faults = [*injector.faults, *injector.disturbances]
    shares = shares_of(fleet, injector.rushes, faults)
    broken = [
        *broken_of(fleet),
        *looking_complete_of(fleet),
        *overtaxed_of(fleet),
        *broken_at_releases_of(fleet, injector.partitions, injector.disturbances),
        *exceeded_of(fleet, injector.disturbances),
        *worse_served_of(fleet, injector.partitions, injector.disturbances),
        *falls_of(fleet, injector.brittle_services),
        *parts_of(fleet, injector.partitions, injector.disturbances),
        *unheeded_of(fleet, injector.disturbances),
        *outdated_of(fleet, injector.disturbances),
        *shared_numbers_of(fleet),
        *(share.line() for share in shares if share.is_shut_out()),
    ]
    return Run(
        late,
        broken,
        answers_of(fleet),
        endings_of(fleet),
        injector.counts,
        len(mixed_of(fleet)),
        resumptions_of(fleet, injector.partitions, injector.disturbances),
        crashes_by_part(fleet),
        shares,
    )


def main() -> int:
    """Run seeds until the time or the seeds are over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="seeds")
    parser.add_argument("--minutes", type=float, default=0.0, help="go on for so long instead")
    parser.add_argument("--seconds", type=float, default=30.0, help="of trouble in each seed")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--plain", type=int, default=3, help="servers of the plain service")
    parser.add_argument("--engines", type=int, default=3, help="model runners")
    parser.add_argument("--per-s", type=float, default=60.0, help="requests a second")
    parser.add_argument("--kinds", nargs="*", default=[], choices=sorted(KINDS))
    parser.add_argument("--nodes-of", default=str(ROOT), help="checkout whose code the nodes run")
    parser.add_argument("--folder", default="run/soak", help="takes logs and records")
    given = parser.parse_args()
    # Told to stop, the run ends its processes first.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    until = time.monotonic() + given.minutes * 60
    seeds = failed = 0
    while seeds < given.count if not given.minutes else time.monotonic() < until:
        failed += _report(given.seed + seeds, given)
        seeds += 1
    print(f"{seeds} seeds, {failed} failed")
    return 1 if failed else 0


def _report(seed: int, given: argparse.Namespace) -> bool:
    """Run a seed and print what came of it; return whether a promise was broken."""
    folder = Path(given.folder) / f"{seed}-{time.time_ns() // 1_000_000}"
    run = run_seed(seed, given.seconds, folder, given)
    broken = [late for late in run.late if not late.excused]
    print(
        f"seed {seed}: {len(broken)} late, {len(run.late) - len(broken)} excused; "
        f"{len(run.promises)} promises broken; "
        f"answers {dict(sorted(run.statuses.items()))}; "
        f"endings of those with 200 {dict(sorted(run.endings.items()))}; "
        f"{run.mixed} streams of several versions; {run.resumptions.line()}; "
        f"crashes by part {run.crashes_by_part}; troubles {run.troubles}; {folder}",
        flush=True,
    )
    for cause, count in Counter(late.cause for late in broken).items():
        print(f"  {count} {cause}")
    for late in broken[:SHOWN]:
        print(f"    {late.line()}")
    for share in run.shares:
        print(f"  {share.line()}")
    for line in run.promises[:SHOWN]:
        print(f"    {line}")
    if broken or run.promises:
        print(f"  again: script/soak --processes --seed {seed} {_options(given)}")
    return bool(broken or run.promises)


def _options(given: argparse.Namespace) -> str:
    """Return the options that change what a seed does."""
    numbers = (given.nodes, given.plain, given.engines, given.per_s, given.seconds)
    names = ("nodes", "plain", "engines", "per-s", "seconds")
    told = " ".join(f"--{name} {number}" for name, number in zip(names, numbers, strict=True))
    return f"{told} --kinds {' '.join(given.kinds)}" if given.kinds else told


if __name__ == "__main__":
    sys.exit(main())
