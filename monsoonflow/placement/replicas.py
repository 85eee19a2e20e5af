"""Decides when an adapter that crowds its runner is loaded at a second one.

The load that it is made for: the most popular adapter gets a fifth of all requests. All of them at
one runner, its tokens take four times as long as those of the others (250 ms an event instead of
50), and answers are cut at the end of their time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from .slots import MAX_CONCURRENT_LOADS, RunnerSlots, SlotState

REQUEST_WEIGHT_TOKENS: Final = 300
"""What a request in progress weighs beside unread prompt tokens: its own tokens slow all others at
its runner a little."""

SMOOTHING_WINDOW_S: Final = 0.5
"""A single long prompt is no crowd; a rush lasts for seconds."""

OVERLOAD_FACTOR: Final = 1.5
OVERLOAD_MARGIN_TOKENS: Final = 6_000
"""A runner is crowded when its load is so many times the others' mean, and so much above it: 300 ms
of reading. On two quiet days that makes no copy and one; each is a fetch too many there."""

MIN_REQUESTS: Final = 4
"""An adapter with fewer requests in progress is not what crowds its runner."""

MAX_TARGET_SHARE: Final = 0.6
"""A copy goes only to a runner with less than this share of the crowded one's load."""


class RunnerWorkloads:
    """The load of runners, smoothed."""

    def __init__(self) -> None:
        self._by_id: dict[str, float] = {}

    def record(self, life: ServerLife, work: ServerWork, span_s: float) -> None:
        """Take what is in progress at a runner now.

        :param span_s: time since the last word.
        """
        now = work.pending_prefill_tokens + REQUEST_WEIGHT_TOKENS * work.requests
        known = self._by_id.get(life, 0.0)
        self._by_id[life] = known + (now - known) * min(1.0, span_s / SMOOTHING_WINDOW_S)

    def workload_of(self, life: ServerLife) -> float:
        """Return the load of a runner."""
        return self._by_id.get(life, 0.0)

    def remove_runner(self, life: ServerLife) -> None:
        """Drop a runner that is gone."""
        self._by_id.pop(life, None)


@attrs.frozen(slots=True)
class WantedReplica:
    """An adapter that should be loaded once more.

    :param copies: the runners that hold it now.
    :param targets: where it may go, least loaded first.
    """

    adapter_name: str
    version: int
    replica_count: int
    targets: tuple[RunnerSlots, ...]


def find_wanted_replica(
    runners: Iterable[RunnerSlots], loads: RunnerWorkloads, work: Mapping[ServerLife, ServerWork]
) -> WantedReplica | None:
    """Return the adapter that crowds the busiest runner, where another could take a part."""
    usable = [r for r in runners if r.is_known() and r.model is not None and not r.report_due_ms]
    if len(usable) < 2:
        return None
    busiest = max(usable, key=lambda runner: loads.workload_of(runner.life))
    top = loads.workload_of(busiest.life)
    rest = sum(loads.workload_of(r.life) for r in usable if r is not busiest) / (len(usable) - 1)
    if top < OVERLOAD_FACTOR * rest + OVERLOAD_MARGIN_TOKENS:
        return None
    name = _most_used(busiest, work)
    if name is None:
        return None
    seats = [seat for runner in usable if (seat := runner.slots.get(name)) is not None]
    if any(seat.state is not SlotState.READY for seat in seats):
        return None
    targets = [
        runner
        for runner in usable
        if runner.model == busiest.model
        and name not in runner.slots
        and _takes_orders(runner)
        and loads.workload_of(runner.life) < MAX_TARGET_SHARE * top
    ]
    targets.sort(key=lambda runner: loads.workload_of(runner.life))
    version = max(seat.ref.version for seat in seats)
    return WantedReplica(name, version, len(seats), tuple(targets)) if targets else None


def _most_used(runner: RunnerSlots, work: Mapping[ServerLife, ServerWork]) -> str | None:
    at = work.get(runner.life)
    if at is None or not at.requests_by_adapter:
        return None
    name, users = max(at.requests_by_adapter.items(), key=lambda pair: pair[1])
    return name if users >= MIN_REQUESTS and runner.ready_slot(name) is not None else None


def _takes_orders(runner: RunnerSlots) -> bool:
    return (
        not runner.has_call_in_progress
        and runner.unconfirmed_order is None
        and runner.loading_count() < MAX_CONCURRENT_LOADS
    )
