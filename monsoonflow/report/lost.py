"""Tells from the nodes' logs where the service of a loaded day was lost.

The questions that it answers: did requests wait, load or read too long, and of which priority; did
callers seem to have come back that had not; were places used, loading or idle; did anybody order.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from .timeline import LogEntry

QUANTILES: Final = (0.25, 0.5, 0.75, 0.9)
PLACES: Final = ("places", "taken", "in_use", "loading", "dropping", "waiting", "requests")
GAP_MS: Final = 900
"""A holder looks ten times a second; under load it orders in each of these looks."""


@attrs.define(slots=True)
class Generation:
    """One request for an adapter, from its arrival to its end at one node."""

    priority: str
    came_ms: int
    tried_before_ms: int
    waited_ms: int | None = None
    sent_ms: int | None = None
    first_ms: int | None = None
    ended_ms: int | None = None
    outcome: str = "no end"

    def reading_ms(self) -> int | None:
        """Return how long its first event took from its first sending."""
        if self.sent_ms is None or self.first_ms is None:
            return None
        return self.came_ms + self.first_ms - self.sent_ms

    def held_ms(self) -> int | None:
        """Return how long it held its place."""
        if self.sent_ms is None or self.ended_ms is None:
            return None
        return self.ended_ms - self.sent_ms


def generations(entries: Iterable[LogEntry]) -> dict[str, Generation]:
    """Return the requests for adapters by id."""
    found: dict[str, Generation] = {}
    for entry in sorted(entries, key=lambda entry: entry.at_ms):
        fields = entry.fields
        request = fields.get("request", "")
        if entry.event == "request_accepted" and "adapter" in fields:
            tried_ms = int(fields.get("tried_before_ms", 0))
            found[request] = Generation(fields.get("priority", "?"), entry.at_ms, tried_ms)
        generation = found.get(request)
        if generation is None:
            continue
        if entry.event == "request_waited":
            generation.waited_ms = (generation.waited_ms or 0) + int(fields["waited_ms"])
        elif entry.event == "request_sent":
            generation.sent_ms = generation.sent_ms or entry.at_ms
        elif entry.event == "request_ended":
            generation.ended_ms = entry.at_ms
            generation.outcome = fields["outcome"]
            if "first_ms" in fields:
                generation.first_ms = int(fields["first_ms"])
    return found


def places(entries: Iterable[LogEntry]) -> dict[str, float]:
    """Return the mean of what the holders said of places; ``idle`` is taken by what nobody uses."""
    lines = [entry.fields for entry in entries if entry.event == "seats"]
    busy = [fields for fields in lines if int(fields.get("requests", 0))]
    if not busy:
        return {}
    means = {name: sum(int(f.get(name, 0)) for f in busy) / len(busy) for name in PLACES}
    used = means["in_use"] + means["loading"] + means["dropping"]
    return {**means, "idle": means["taken"] - used, "untaken": means["places"] - means["taken"]}


def gaps(entries: Iterable[LogEntry]) -> list[tuple[int, int]]:
    """Return when nobody ordered anything though requests came: from, and for how long."""
    listed = list(entries)
    orders = sorted(entry.at_ms for entry in listed if entry.event == "order")
    wanted = sorted(entry.at_ms for entry in listed if entry.event == "request_waited")
    return [
        (before, after - before)
        for before, after in zip(orders, orders[1:], strict=False)
        if after - before > GAP_MS and any(before < at_ms < after for at_ms in wanted)
    ]


def table(entries: Sequence[LogEntry]) -> list[str]:
    """Return the lines of the whole table."""
    by_priority: dict[str, list[Generation]] = defaultdict(list)
    for generation in generations(entries).values():
        by_priority[generation.priority].append(generation)
    lines = []
    for priority, found in sorted(by_priority.items()):
        ends = Counter(generation.outcome for generation in found)
        told = " ".join(f"{outcome}={count}" for outcome, count in ends.most_common())
        back = sum(generation.tried_before_ms > 0 for generation in found)
        lines.append(f"priority {priority}: {len(found)} requests, {back} came back, {told}")
        passed = [g for g in found if g.outcome == "passed"]
        refused = [g for g in found if g.outcome == "refused"]
        lines += [
            _quantiles("waited, then answered", [g.waited_ms for g in passed]),
            _quantiles("waited, then refused", [g.waited_ms for g in refused]),
            _quantiles("sent to first event", [g.reading_ms() for g in passed]),
            _quantiles("place held", [g.held_ms() for g in passed]),
        ]
    seats = places(entries)
    lines.append("places: " + " ".join(f"{name}={mean:.1f}" for name, mean in seats.items()))
    found_gaps = gaps(entries)
    lasted_ms = sum(length for _, length in found_gaps)
    lines.append(f"nobody ordered for {lasted_ms} ms in {len(found_gaps)} gaps")
    return lines


def _quantiles(name: str, values: Iterable[int | None]) -> str:
    known = sorted(value for value in values if value is not None)
    if not known:
        return f"  {name:<22} none"
    at = [known[min(len(known) - 1, math.floor(len(known) * share))] for share in QUANTILES]
    return f"  {name:<22} {len(known):>5}  " + " ".join(f"{value:>6}" for value in at) + " ms"
