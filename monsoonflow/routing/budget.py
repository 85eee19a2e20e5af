"""Keeps the retries of all nodes together inside one budget a service."""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

USED_SHARE: Final = 0.85
"""Share of the allowance that is used: counts of other nodes are some 200 ms old. Besides, one
retry is left to each of the others, which may spend it in that time."""

UNHEARD_SHARE: Final = 0.15
"""Share of the reserve that one node may use when it hears of no other: seven such nodes together
stay inside the reserve."""

BUSY_REQUESTS: Final = 20
"""So many requests of a window are more than questions now and then, as operators and checks ask
each node once a second."""


@attrs.frozen(slots=True)
class RetryAllowance:
    """The retries that a service may get.

    :param ratio: retries for each first request.
    :param reserve: retries on top.
    :param window_ms: the sliding window in which both hold.
    """

    ratio: float
    reserve: float
    window_ms: int


@attrs.frozen(slots=True)
class Spent:
    """First requests and retries in the window."""

    firsts: int = 0
    retries: int = 0


@attrs.frozen(slots=True)
class Headroom:
    """What is left of the budget of a service, as this node knows it.

    :param known: arrivals beyond the first that are counted in the window.
    :param limit: how many there may be.
    :param allowed: whether one more fits.
    """

    known: int
    limit: float
    allowed: bool


class _Window:
    """Counts events in a sliding window."""

    def __init__(self, span_ms: int) -> None:
        self._span_ms = span_ms
        self._times: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        self._times.append(now_ms)

    def count(self, now_ms: int) -> int:
        while self._times and self._times[0] <= now_ms - self._span_ms:
            self._times.popleft()
        return len(self._times)


class FleetRetryBudget:
    """Decides whether this node may send a request once more.

    A failing service would otherwise get several times its load from the very requests that it
    fails. Counted are arrivals at servers, so a refused try counts as well.

    """

    def __init__(self, allowance: RetryAllowance) -> None:
        self.allowance = allowance
        self._firsts_by_service: dict[str, _Window] = {}
        self._retries_by_service: dict[str, _Window] = {}

    def first(self, service: str, now_ms: int) -> None:
        """Count a request for a service."""
        self._window(self._firsts_by_service, service).add(now_ms)

    def retried(self, service: str, now_ms: int) -> None:
        """Count a further arrival of a request."""
        self._window(self._retries_by_service, service).add(now_ms)

    def spent(self, service: str, now_ms: int) -> Spent:
        """Return what this node has counted in the window."""
        return Spent(
            self._window(self._firsts_by_service, service).count(now_ms),
            self._window(self._retries_by_service, service).count(now_ms),
        )

    def all_spent(self, now_ms: int) -> dict[str, Spent]:
        """Return the counts of all services."""
        return {service: self.spent(service, now_ms) for service in self._firsts_by_service}

    def busy(self, now_ms: int) -> bool:
        """Tell whether this node has callers."""
        return any(spent.firsts >= BUSY_REQUESTS for spent in self.all_spent(now_ms).values())

    def headroom(
        self,
        service: str,
        others: list[Spent],
        nodes: int,
        now_ms: int,
        idle: int = 0,
    ) -> Headroom:
        """Return whether one more arrival fits, and what that rests on.

        :param others: what other nodes last told; silent ones count with their last word.
        :param nodes: how many nodes share the budget, as far as known.
        :param idle: how many of the others have no callers: they share the budget with nobody, and
            what they spend now and then is counted all the same.
        """
        own = self.spent(service, now_ms)
        firsts = own.firsts + sum(spent.firsts for spent in others)
        retries = own.retries + sum(spent.retries for spent in others)
        reserve = self.allowance.reserve
        heard, sharers = max(0, len(others) - idle), max(1, nodes - idle)
        if heard + 1 < sharers:
            # Nodes that were never heard may spend as much as this one.
            reserve = reserve * (heard + 1) / sharers
        if not others:
            reserve = min(reserve, self.allowance.reserve * UNHEARD_SHARE / USED_SHARE)
        limit = (self.allowance.ratio * firsts + reserve) * USED_SHARE
        return Headroom(retries, limit, retries + 1 + heard <= limit)

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self.allowance.window_ms)
        return window
