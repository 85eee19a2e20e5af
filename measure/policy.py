"""Compares the product's policy with baselines and with itself less a part."""

from __future__ import annotations

import argparse
import math
import multiprocessing
import statistics
import sys
from collections.abc import Iterable
from pathlib import Path

import attrs

from monsoonflow.placement.models import PlacementTuning
from monsoonflow.placement.spread import SpreadTuning
from monsoonflow.runner.models import LoadWeights

from .policies import Policy, ablations, baselines, product
from .policy_world import Job, PolicyWorld
from .workloads import ASSOCIATION, DROUGHT_DESK, Load, Place, Workload, workloads

SEED = 20
HEAD = (
    "Printed by `script/measure policy --out docs/design/policy-figures`; virtual time, fixed "
    "seed. Times in seconds. What a policy left unserved counts as 60 s."
)
LOADS = {
    "association": Load(rate=45.0, skew=1.8, tokens=40, seconds=240),
    "drought desk": Load(rate=30.0, skew=1.8, tokens=40, seconds=240),
}
TUNING = {
    "association": (
        LoadWeights(stall=0.5, batch=2.0),
        PlacementTuning(),
        SpreadTuning(fill=0.8, stall_ms=1_000),
    ),
    "drought desk": (LoadWeights(), PlacementTuning(), SpreadTuning(fill=0.8, stall_ms=200)),
}


@attrs.frozen(slots=True)
class Figures:
    """What one run measured; times in seconds."""

    place: str
    workload: str
    policy: str
    efficiency: float
    stall_mean: float
    stall_95: float
    stall_99: float
    stall_worst: float
    first_50: float
    first_95: float
    unserved: float
    unfairness: float
    loads: int
    wasted: int


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(len(values) * share))]


def figures(place: Place, workload: Workload, policy: Policy, world: PolicyWorld) -> Figures:
    """Return the figures of a finished run."""
    jobs = list(world.jobs.values())
    stalls = sorted(job.stalled_ms / 1000 for job in jobs)
    firsts = sorted(
        ((job.first_ms or job.request.at_ms + 60_000) - job.request.at_ms) / 1000 for job in jobs
    )
    unserved = sum(1 for job in jobs if job.ended_ms is None) / len(jobs)
    return Figures(
        place.name,
        workload.name,
        policy.name,
        world.filled / max(1, world.steps * place.max_batch),
        statistics.fmean(stalls),
        quantile(stalls, 0.95),
        quantile(stalls, 0.99),
        stalls[-1],
        quantile(firsts, 0.5),
        quantile(firsts, 0.95),
        unserved,
        _unfairness(jobs),
        world.loads,
        world.wasted,
    )


def _unfairness(jobs: Iterable[Job]) -> float:
    """Return the worst customer's mean time to the first token against the median customer's."""
    by_customer: dict[str, list[float]] = {}
    for job in jobs:
        first_ms = job.first_ms or job.request.at_ms + 60_000
        by_customer.setdefault(job.request.customer, []).append(first_ms - job.request.at_ms)
    means = sorted(statistics.fmean(values) for values in by_customer.values())
    return means[-1] / max(1.0, statistics.median(means))


def policies_of(place: Place, parts: bool) -> list[Policy]:
    """Return the policies to compare for a user."""
    tuning = TUNING[place.name]
    return [*baselines(), product(*tuning), *(ablations(*tuning) if parts else [])]


def _run(task: tuple[Place, int, int, bool]) -> Figures:
    place, workload_number, policy_number, parts = task
    workload = workloads(place, LOADS[place.name], SEED)[workload_number]
    policy = policies_of(place, parts)[policy_number]
    world = PolicyWorld(place, workload, policy, SEED)
    world.run()
    return figures(place, workload, policy, world)


def measure(places: list[Place], only: str | None, parts: bool) -> list[Figures]:
    """Run everything, several runs side by side."""
    tasks = []
    for place in places:
        names = [workload.name for workload in workloads(place, LOADS[place.name], SEED)]
        tasks += [
            (place, number, policy, parts)
            for number, name in enumerate(names)
            if only in (None, name)
            for policy in range(len(policies_of(place, parts)))
        ]
    with multiprocessing.Pool(6) as pool:
        return pool.map(_run, tasks, chunksize=1)


def table(results: list[Figures]) -> str:
    """Return the figures as a table in Markdown."""
    lines = [
        "| user | workload | policy | batch efficiency | stall mean | 95 % | 99 % | worst | "
        "first token 50 % | 95 % | unserved | worst customer | loads | wasted |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {row.place} | {row.workload} | {row.policy} | {row.efficiency:.3f} | "
        f"{row.stall_mean:.2f} | {row.stall_95:.2f} | {row.stall_99:.2f} | {row.stall_worst:.1f} | "
        f"{row.first_50:.2f} | {row.first_95:.2f} | {row.unserved:.3f} | {row.unfairness:.2f} | "
        f"{row.loads} | {row.wasted} |"
        for row in results
    ]
    return "\n".join(lines)


def least_loads(place: Place, workload: Workload) -> int:
    """Return the fewest loads that any order of evictions could do with.

    The bound is Belady's for one shared cache of all slots, with the arrivals known beforehand; no
    policy that must place adapters on single runners, and can't look ahead, reaches it.
    """
    next_use: dict[str, list[int]] = {}
    names = [str(request.adapter) for request in workload.requests]
    for position, name in enumerate(names):
        next_use.setdefault(name, []).append(position)
    held: dict[str, int] = {}
    loads = 0
    for position, name in enumerate(names):
        uses = next_use[name]
        uses.pop(0)
        if name not in held:
            loads += 1
            if len(held) >= place.runners * place.slots:
                del held[max(held, key=lambda other: held[other])]
        held[name] = uses[0] if uses else len(names) + position
    return loads


def goals(results: list[Figures]) -> str:
    """Return how the product stands to the best baselines, workload by workload."""
    lines = [
        "| user | workload | efficiency, of the best baseline's | 95 % stall, of the least "
        "baseline's | efficiency, of that baseline's |",
        "| --- | --- | --- | --- | --- |",
    ]
    for place, workload in sorted({(row.place, row.workload) for row in results}):
        rows = [row for row in results if (row.place, row.workload) == (place, workload)]
        ours = next(row for row in rows if row.policy == "monsoonflow")
        base = [row for row in rows if row.policy.endswith("LRU, FCFS")]
        fullest = max(base, key=lambda row: row.efficiency)
        quickest = min(base, key=lambda row: row.stall_95)
        lines.append(
            f"| {place} | {workload} | {ours.efficiency / fullest.efficiency:.2f} | "
            f"{ours.stall_95 / max(0.01, quickest.stall_95):.2f} | "
            f"{ours.efficiency / quickest.efficiency:.2f} |"
        )
    return "\n".join(lines)


def bounds(places: list[Place]) -> str:
    """Return what theory allows on the steady workload."""
    lines = []
    for place in places:
        load = LOADS[place.name]
        workload = workloads(place, load, SEED)[0]
        concurrency = load.rate * load.tokens * place.step_ms / 1000
        full = math.ceil(concurrency / place.max_batch)
        lines.append(
            f"- {place.name}, steady: no policy needs fewer than {least_loads(place, workload)} "
            f"loads; the store allows {int(place.loads_per_second * load.seconds)}; "
            f"{concurrency:.0f} requests run at once on average, so full batches would need "
            f"{full} of {place.runners} runners"
        )
    return "\n".join(lines)


def newcomer_wave(places: list[Place]) -> str:
    """Return how long customers already in service wait, with and without a newcomer wave."""
    lines = [
        "| user | customers in service wait for loads | mean | 95 % | 99 % |",
        "| --- | --- | --- | --- | --- |",
    ]
    for place in places:
        named = {entry.name: entry for entry in workloads(place, LOADS[place.name], SEED)}
        full, *parts = policies_of(place, parts=True)[3:]
        unbound = next(policy for policy in parts if policy.name == "less newcomer bound")
        for title, workload, policy in (
            ("without the wave", named["steady"], full),
            ("with 1,000 new adapters", named["newcomer wave"], full),
            ("with them, less the bound", named["newcomer wave"], unbound),
        ):
            world = PolicyWorld(place, workload, policy, SEED)
            jobs = [job for job in world.run() if job.request.customer != "newcomer"]
            stalls = sorted(job.stalled_ms / 1000 for job in jobs)
            lines.append(
                f"| {place.name} | {title} | {statistics.fmean(stalls):.2f} | "
                f"{quantile(stalls, 0.95):.2f} | {quantile(stalls, 0.99):.2f} |"
            )
    return "\n".join(lines)


def plot(results: list[Figures], path: Path) -> None:
    """Draw efficiency against the 95th percentile stall, a panel per user."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    places = sorted({row.place for row in results})
    figure, panels = pyplot.subplots(1, len(places), figsize=(6.5 * len(places), 5), squeeze=False)
    for panel, place in zip(panels[0], places, strict=True):
        names = sorted({row.policy for row in results if not row.policy.startswith("less")})
        for name in names:
            rows = [row for row in results if (row.place, row.policy) == (place, name)]
            panel.scatter(
                [max(0.01, row.stall_95) for row in rows],
                [row.efficiency for row in rows],
                label=name,
            )
        panel.set_xscale("log")
        panel.set_xlabel("load stall, 95th percentile (s); one point per workload")
        panel.set_ylabel("batch efficiency")
        panel.set_title(place)
        panel.legend()
        panel.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=80, metadata={"Software": None})


def main() -> int:
    """Print the table, and write it where asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workload", help="only this one")
    parser.add_argument("--no-parts", action="store_true", help="leave the ablations out")
    parser.add_argument("--place", choices=("association", "drought"))
    parser.add_argument("--out", type=Path, help="file for the table")
    given = parser.parse_args()
    places = [ASSOCIATION, DROUGHT_DESK]
    if given.place:
        places = [places[0] if given.place == "association" else places[1]]
    results = measure(places, given.workload, not given.no_parts)
    text = "\n\n".join((goals(results), bounds(places), newcomer_wave(places), table(results)))
    print(text)
    if given.out:
        given.out.with_suffix(".md").write_text(f"# Policy figures\n\n{HEAD}\n\n{text}\n")
        plot(results, given.out.with_suffix(".png"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
