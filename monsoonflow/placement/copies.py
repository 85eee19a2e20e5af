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
from .seats import MAX_INCOMING, RunnerSeats, SeatState

REQUEST_LOAD: Final = 300
"""What a request in progress weighs beside unread prompt tokens: its own tokens slow all others at
its runner a little."""

SMOOTHED_OVER_S: Final = 0.5
"""A single long prompt is no crowd; a rush lasts for seconds."""

CROWD_FACTOR: Final = 1.5
CROWD_LOAD: Final = 6_000
"""A runner is crowded when its load is so many times the others' mean, and so much above it: 300 ms
of reading. On two quiet days that makes no copy and one; each is a fetch too many there."""

LEAST_USERS: Final = 4
"""An adapter with fewer requests in progress is not what crowds its runner."""

ROOM_SHARE: Final = 0.6
"""A copy goes only to a runner with less than this share of the crowded one's load."""


class RunnerLoads:
    """The load of runners, smoothed."""

    def __init__(self) -> None:
        self._by_id: dict[str, float] = {}

    def note(self, life: ServerLife, work: ServerWork, span_s: float) -> None:
        """Take what is in progress at a runner now.

        :param span_s: time since the last word.
        """
        now = work.pending_prefill_tokens + REQUEST_LOAD * work.requests
        known = self._by_id.get(life, 0.0)
        self._by_id[life] = known + (now - known) * min(1.0, span_s / SMOOTHED_OVER_S)

    def of(self, life: ServerLife) -> float:
        """Return the load of a runner."""
        return self._by_id.get(life, 0.0)

    def forget(self, life: ServerLife) -> None:
        """Drop a runner that is gone."""
        self._by_id.pop(life, None)


@attrs.frozen(slots=True)
class WantedCopy:
    """An adapter that should be loaded once more.

    :param copies: the runners that hold it now.
    :param targets: where it may go, least loaded first.
    """

    name: str
    version: int
    copies: int
    targets: tuple[RunnerSeats, ...]


def wanted_copy(
    runners: Iterable[RunnerSeats], loads: RunnerLoads, work: Mapping[ServerLife, ServerWork]
) -> WantedCopy | None:
    """Return the adapter that crowds the busiest runner, where another could take a part."""
    usable = [r for r in runners if r.known() and r.model is not None and not r.report_at_ms]
    if len(usable) < 2:
        return None
    busiest = max(usable, key=lambda runner: loads.of(runner.life))
    top = loads.of(busiest.life)
    rest = sum(loads.of(r.life) for r in usable if r is not busiest) / (len(usable) - 1)
    if top < CROWD_FACTOR * rest + CROWD_LOAD:
        return None
    name = _most_used(busiest, work)
    if name is None:
        return None
    seats = [seat for runner in usable if (seat := runner.seats.get(name)) is not None]
    if any(seat.state is not SeatState.READY for seat in seats):
        return None
    targets = [
        runner
        for runner in usable
        if runner.model == busiest.model
        and name not in runner.seats
        and _takes_orders(runner)
        and loads.of(runner.life) < ROOM_SHARE * top
    ]
    targets.sort(key=lambda runner: loads.of(runner.life))
    version = max(seat.ref.version for seat in seats)
    return WantedCopy(name, version, len(seats), tuple(targets)) if targets else None


def _most_used(runner: RunnerSeats, work: Mapping[ServerLife, ServerWork]) -> str | None:
    at = work.get(runner.life)
    if at is None or not at.requests_by_adapter:
        return None
    name, users = max(at.requests_by_adapter.items(), key=lambda pair: pair[1])
    return name if users >= LEAST_USERS and runner.ready(name) is not None else None


def _takes_orders(runner: RunnerSeats) -> bool:
    return not runner.ordering and runner.doubtful is None and runner.incoming() < MAX_INCOMING
