"""Tells which servers got more requests than the limits that they named, by their own records.

A node that was killed, stopped or stood still is excused for a while, and so are all nodes where
the server itself or its link was disturbed: requests that were held up arrive together.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from .const import CONTACT_MS
from .processes import Record

WINDOW_MS: Final = 4_000
OVERSHOOT: Final = 1.5
SLACK: Final = 5
"""In any window, a server may get so many times its limit, and so many requests more."""

TOLD_MS: Final = 500
"""How long after a server has named its limit requests count."""


@attrs.frozen(slots=True)
class Need:
    """A time in which a server named limits.

    :param limits: when it named which one, in order.
    """

    server: str
    limits: list[tuple[int, float]]
    until_ms: int

    def allowed(self, end_ms: int) -> float:
        """Return how many requests the server may get in the window that ends then."""
        before = [limit for at_ms, limit in self.limits if at_ms <= end_ms - WINDOW_MS][-1:]
        within = [limit for at_ms, limit in self.limits if end_ms - WINDOW_MS < at_ms <= end_ms]
        return max([*before, *within]) * WINDOW_MS / 1_000 * OVERSHOOT + SLACK


def exceeded_limits(
    servers: Iterable[Record], is_excused: Callable[[Record], bool]
) -> list[tuple[str, float, int, int]]:
    """Return the worst window of each need in which a server got too many requests.

    :param is_excused: whether a request does not count.
    :return: server, requests allowed, requests, and the end of the window.
    """
    records_by_server: dict[str, list[Record]] = {}
    for record in servers:
        records_by_server.setdefault(record.source, []).append(record)
    exceeded = []
    for server, records in records_by_server.items():
        arrivals = sorted(r.at_ms for r in records if r.event == "reached" and not is_excused(r))
        for need in _needs(server, records):
            worst = _worst_window(need, arrivals)
            if worst is not None:
                exceeded.append((server, *worst))
    return exceeded


def _needs(server: str, records: list[Record]) -> list[Need]:
    needs, limits = [], []
    for record in records:
        if record.event != "named":
            continue
        if record.fields["limit"] is not None:
            limits.append((record.at_ms, float(record.fields["limit"])))
        elif limits:
            needs.append(Need(server, limits, record.at_ms))
            limits = []
    if limits:
        needs.append(Need(server, limits, records[-1].at_ms))
    return needs


def _worst_window(need: Need, arrivals: list[int]) -> tuple[float, int, int] | None:
    named_ms = need.limits[0][0]
    counted = arrivals[
        bisect_left(arrivals, named_ms + TOLD_MS) : bisect_right(arrivals, need.until_ms)
    ]
    found = []
    for index, end_ms in enumerate(counted):
        if end_ms < named_ms + CONTACT_MS:
            continue
        requests = index + 1 - bisect_right(counted, end_ms - WINDOW_MS)
        allowed = need.allowed(end_ms)
        if requests > allowed:
            found.append((allowed - requests, allowed, requests, end_ms))
    return min(found)[1:] if found else None
