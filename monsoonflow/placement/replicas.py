"""Decides when an adapter that overloads its runner is loaded at another runner as well.

The most popular adapter gets a fifth of all requests. If one runner serves them all, its tokens
take at least four times as long as those of other runners (250 ms an event instead of 50), and
answers are cut off at their deadlines.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from .slots import MAX_CONCURRENT_LOADS, RunnerSlots, SlotState

REQUEST_WEIGHT_TOKENS: Final = 300
"""Workload of a request in progress, in pending prefill tokens: generating its tokens slightly
slows down all other requests at its runner."""

SMOOTHING_WINDOW_S: Final = 0.5
"""Smooths out single long prompts, which are no overload; a rush lasts for seconds."""

OVERLOAD_FACTOR: Final = 1.5
OVERLOAD_MARGIN_TOKENS: Final = 6_000
"""A runner is overloaded when its workload exceeds this factor times the others' mean by this
margin, which is about 300 ms of prefill. On two quiet days this loaded no replica and one replica;
on such days each replica is an unnecessary fetch."""

MIN_REQUESTS: Final = 4
"""An adapter with fewer requests in progress is not the cause of its runner's overload."""

MAX_TARGET_SHARE: Final = 0.6
"""A replica is only loaded at a runner with less than this share of the overloaded one's
workload."""


class RunnerWorkloads:
    """The smoothed workload of each runner, in pending prefill tokens."""

    def __init__(self) -> None:
        self._workload_by_life: dict[str, float] = {}

    def record(self, life: ServerLife, work: ServerWork, elapsed_s: float) -> None:
        """Record the work that is now in progress at a runner.

        :param elapsed_s: time since the previous call.
        """
        current = work.pending_prefill_tokens + REQUEST_WEIGHT_TOKENS * work.requests
        smoothed = self._workload_by_life.get(life, 0.0)
        self._workload_by_life[life] = smoothed + (current - smoothed) * min(
            1.0, elapsed_s / SMOOTHING_WINDOW_S
        )

    def workload_of(self, life: ServerLife) -> float:
        """Return the smoothed workload of a runner; 0 if none was recorded."""
        return self._workload_by_life.get(life, 0.0)

    def remove_runner(self, life: ServerLife) -> None:
        """Remove the workload of a runner that no longer exists."""
        self._workload_by_life.pop(life, None)


@attrs.frozen(slots=True)
class WantedReplica:
    """An adapter that should be loaded at one more runner.

    :param version: newest version that a runner holds.
    :param replica_count: number of runners that hold it now.
    :param targets: runners that may load it, the one with the smallest workload first.
    """

    adapter_name: str
    version: int
    replica_count: int
    targets: tuple[RunnerSlots, ...]


def find_wanted_replica(
    runners: Iterable[RunnerSlots],
    workloads: RunnerWorkloads,
    work: Mapping[ServerLife, ServerWork],
) -> WantedReplica | None:
    """Return the adapter that overloads the busiest runner, if another runner could help."""
    usable = [r for r in runners if r.is_known() and r.model is not None and not r.report_due_ms]
    if len(usable) < 2:
        return None
    busiest = max(usable, key=lambda runner: workloads.workload_of(runner.life))
    max_workload = workloads.workload_of(busiest.life)
    mean_of_others = sum(workloads.workload_of(r.life) for r in usable if r is not busiest) / (
        len(usable) - 1
    )
    if max_workload < OVERLOAD_FACTOR * mean_of_others + OVERLOAD_MARGIN_TOKENS:
        return None
    name = _most_used_adapter(busiest, work)
    if name is None:
        return None
    slots_in_use = [slot for runner in usable if (slot := runner.slots.get(name)) is not None]
    if any(slot.state is not SlotState.READY for slot in slots_in_use):
        return None
    targets = [
        runner
        for runner in usable
        if runner.model == busiest.model
        and name not in runner.slots
        and _accepts_load(runner)
        and workloads.workload_of(runner.life) < MAX_TARGET_SHARE * max_workload
    ]
    targets.sort(key=lambda runner: workloads.workload_of(runner.life))
    version = max(slot.ref.version for slot in slots_in_use)
    return WantedReplica(name, version, len(slots_in_use), tuple(targets)) if targets else None


def _most_used_adapter(runner: RunnerSlots, work: Mapping[ServerLife, ServerWork]) -> str | None:
    runner_work = work.get(runner.life)
    if runner_work is None or not runner_work.requests_by_adapter:
        return None
    name, request_count = max(runner_work.requests_by_adapter.items(), key=lambda pair: pair[1])
    return name if request_count >= MIN_REQUESTS and runner.ready_slot(name) is not None else None


def _accepts_load(runner: RunnerSlots) -> bool:
    return (
        not runner.has_call_in_progress
        and runner.unconfirmed_order is None
        and runner.loading_count() < MAX_CONCURRENT_LOADS
    )
