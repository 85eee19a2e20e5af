"""Measures the holder of a duty: processor time a second, by part, at several sizes of fleet."""

from __future__ import annotations

import argparse
import cProfile
import functools
import logging
import pstats
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import config

config.resolver = "block"

from measure.desk_load import HolderLoad, Size  # noqa: E402
from measure.output import show  # noqa: E402
from monsoonflow.entry.cell_leases import CellLeases  # noqa: E402
from monsoonflow.entry.residency import Residency  # noqa: E402
from monsoonflow.entry.residency_reporter import ResidencyReporter  # noqa: E402
from monsoonflow.fleet import codec  # noqa: E402
from monsoonflow.fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS  # noqa: E402
from monsoonflow.fleet.view import FleetView  # noqa: E402
from monsoonflow.placement.scheduler import AdapterScheduler  # noqa: E402

SIZES: Final = (Size(7, 6), Size(89, 45), Size(89, 90))
WARM_UP_S: Final = 3.0
MEASURED_S: Final = 8.0
SAMPLE_S: Final = 0.05

PARTS: Final[tuple[tuple[str, Any, str], ...]] = (
    ("decoding reports", codec, "decode"),
    ("taking reports", FleetView, "receive"),
    ("adding up work", CellLeases, "_total_work"),
    ("asking", AdapterScheduler, "request_slot"),
    ("settling", AdapterScheduler, "process_queue"),
    ("planning", AdapterScheduler, "plan"),
    ("telling what runners hold", CellLeases, "own_residency"),
    ("telling what runners hold", ResidencyReporter, "report_changes"),
    ("telling what runners hold", Residency, "apply_report"),
)
"""The holder's parts: none of them gives way to other tasks."""


class Meter:
    """Processor time by part; what a part calls counts for the part called."""

    def __init__(self) -> None:
        self.spent_s: dict[str, float] = defaultdict(float)
        self.calls: dict[str, int] = defaultdict(int)
        self._inner_s = [0.0]

    def run(self, part: str, work: Callable, *arguments: Any, **named: Any) -> Any:
        """Do a part's work."""
        self._inner_s.append(0.0)
        began_s = time.thread_time()
        try:
            return work(*arguments, **named)
        finally:
            took_s = time.thread_time() - began_s
            self.spent_s[part] += took_s - self._inner_s.pop()
            self.calls[part] += 1
            self._inner_s[-1] += took_s

    def watch(self, part: str, owner: Any, name: str) -> None:
        """Count all calls of a function."""
        work = getattr(owner, name)

        @functools.wraps(work)
        def counted(*arguments: Any, **named: Any) -> Any:
            return self.run(part, work, *arguments, **named)

        setattr(owner, name, counted)

    def clear(self) -> None:
        """Begin anew."""
        self.spent_s.clear()
        self.calls.clear()


def _report_for_good(load: HolderLoad, meter: Meter) -> None:
    while True:
        gevent.sleep(HEARTBEAT_INTERVAL_MS / 1000)
        meter.run("encoding its own report", load.holders_report)


def _sample_for_good(load: HolderLoad, waiting: list[int]) -> None:
    while True:
        gevent.sleep(SAMPLE_S)
        waiting.append(len(load.duty.scheduler.queued_requests))


def _measure(size: Size, meter: Meter, profile: cProfile.Profile | None) -> None:
    load = HolderLoad(size)
    load.start()
    tasks = [gevent.spawn(_report_for_good, load, meter)]
    load.ask_for(WARM_UP_S)
    meter.clear()
    before = (load.asked, load.placed, load.refused, load.unanswered, load.wait_ms)
    waiting: list[int] = []
    tasks.append(gevent.spawn(_sample_for_good, load, waiting))
    began_s, spent_s = time.monotonic(), time.thread_time()
    if profile is not None:
        profile.enable()
    load.ask_for(MEASURED_S)
    if profile is not None:
        profile.disable()
    took_s, spent_s = time.monotonic() - began_s, time.thread_time() - spent_s
    after = (load.asked, load.placed, load.refused, load.unanswered, load.wait_ms)
    gevent.killall(tasks)
    load.stop()
    counts = [b - a for a, b in zip(before, after, strict=True)]
    figures = _figures(meter, took_s, spent_s, counts)
    figures["waiting at the desk, mean"] = sum(waiting) / max(1, len(waiting))
    show(
        f"{size.nodes} nodes, {size.runners} runners, {size.questions} questions a second", figures
    )


def _figures(meter: Meter, took_s: float, spent_s: float, counts: list[int]) -> dict[str, float]:
    parts = dict(sorted(meter.spent_s.items(), key=lambda part: -part[1]))
    figures = {f"{name}, ms a second": s * 1000 / took_s for name, s in parts.items()}
    figures["all parts, ms a second"] = sum(parts.values()) * 1000 / took_s
    figures["the process with its stand-ins, ms a second"] = spent_s * 1000 / took_s
    for name in ("decoding reports", "asking", "planning", "adding up work"):
        figures[f"{name}, calls a second"] = meter.calls[name] / took_s
    asked, placed, refused, unanswered, wait_ms = counts
    figures["asked"] = asked / took_s
    figures["placed a second"] = placed / took_s
    figures["refused a second"] = refused / took_s
    figures["unanswered a second"] = unanswered / took_s
    figures["wait for an answer, mean ms"] = wait_ms / max(1, placed + refused)
    return figures


def main() -> None:
    """Print the table of each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", action="store_true", help="print what binds, by function")
    parser.add_argument("--size", nargs=3, type=int, metavar=("NODES", "RUNNERS", "QUESTIONS"))
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    meter = Meter()
    for part, owner, name in PARTS:
        meter.watch(part, owner, name)
    sizes = SIZES
    if options.size is not None:
        nodes, runners, questions = options.size
        sizes = (Size(nodes, runners, questions=questions),)
    for size in sizes:
        profile = cProfile.Profile() if options.profile else None
        _measure(size, meter, profile)
        if profile is not None:
            pstats.Stats(profile).sort_stats("tottime").print_stats(35)


if __name__ == "__main__":
    main()
