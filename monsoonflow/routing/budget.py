"""Keeps the retries of all nodes together inside one budget a service."""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

USED_SHARE: Final = 0.85
"""Share of the allowance that is used: firsts are counted when they are read, not when callers
send them, and a send arrives a little later than it is counted."""

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
class OthersSpent:
    """What the other nodes have spent of a service's budget, as this node knows it.

    :param told: of those whose word counts.
    :param sharers: nodes that share the budget, this one among them.
    :param counted: how many of them share by their word: this one, and those that it hears and
        that hear it.
    :param past: retries in the window of processes that have ended and of nodes that are silent.
    :param ended: processes that ended in the window: each may have spent its share unheard.
    :param entitled: whether this node may use more than it earns by its own requests: the others
        know that it shares, and it or one whose word counts has counted for a whole window.
    :param age_ms: how old the word of a node that counts may be, and this node's word there.
    """

    told: tuple[Spent, ...] = ()
    sharers: int = 1
    counted: int = 1
    past: int = 0
    ended: int = 0
    entitled: bool = True
    age_ms: int = 0


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
        self.span_ms = span_ms
        self._times: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        self._times.append(now_ms)

    def count(self, now_ms: int) -> int:
        while self._times and self._times[0] <= now_ms - self.span_ms:
            self._times.popleft()
        return len(self._times)

    def count_within(self, within_ms: int, now_ms: int) -> int:
        """Return how many of the window's events are younger than some age."""
        self.count(now_ms)
        return sum(1 for at_ms in self._times if at_ms > now_ms - within_ms)


class _Service:
    """What this node has counted of one service."""

    def __init__(self, window_ms: int) -> None:
        self.firsts = _Window(window_ms)
        self.granted = _Window(window_ms)
        self.arrived = _Window(window_ms)
        self.promised = 0


class FleetRetryBudget:
    """Decides whether this node may send a request once more.

    A failing service would otherwise get several times its load from the very requests that it
    fails. Counted are arrivals at servers, so a refused try counts as well.

    The bound holds whatever nodes believe of each other. What is left is split among the nodes that
    hear each other: none spends more than its part of it before the others have heard of that.
    Nodes that are silent keep their share of the reserve, and a process that has forgotten what it
    spent has hardly any retries until a window has passed or another node remembers for it.

    :param started_ms: when this process began to count; ``None`` where nothing was spent before.
    """

    def __init__(self, allowance: RetryAllowance, started_ms: int | None = None) -> None:
        self.allowance = allowance
        self._started_ms = started_ms
        self._by_service: dict[str, _Service] = {}

    def first(self, service: str, now_ms: int) -> None:
        """Count a request for a service."""
        self._counts(service).firsts.add(now_ms)

    def granted(self, service: str, now_ms: int) -> None:
        """Count a further try that is allowed and will be sent later."""
        counts = self._counts(service)
        counts.granted.add(now_ms)
        counts.promised += 1

    def sent(self, service: str, now_ms: int) -> None:
        """Count the arrival of a further try that was granted."""
        counts = self._counts(service)
        counts.promised -= 1
        counts.arrived.add(now_ms)

    def unused(self, service: str) -> None:
        """Count a further try that was granted and is not sent any more no longer."""
        self._counts(service).promised -= 1

    def spent(self, service: str, now_ms: int) -> Spent:
        """Return what this node has counted in the window; what will be sent counts as sent."""
        counts = self._counts(service)
        return Spent(counts.firsts.count(now_ms), counts.arrived.count(now_ms) + counts.promised)

    def all_spent(self, now_ms: int) -> dict[str, Spent]:
        """Return the counts of all services."""
        return {service: self.spent(service, now_ms) for service in self._by_service}

    def busy(self, now_ms: int) -> bool:
        """Tell whether this node has callers."""
        return any(spent.firsts >= BUSY_REQUESTS for spent in self.all_spent(now_ms).values())

    def counts_ms(self, now_ms: int) -> int:
        """Return for how long this process has counted, at most a window."""
        window_ms = self.allowance.window_ms
        return window_ms if self._started_ms is None else min(window_ms, now_ms - self._started_ms)

    def headroom(self, service: str, others: OthersSpent, now_ms: int) -> Headroom:
        """Return whether one more arrival fits, and what that rests on."""
        own = self.spent(service, now_ms)
        known = own.retries + sum(spent.retries for spent in others.told) + others.past
        firsts = own.firsts + sum(spent.firsts for spent in others.told)
        limit = (self.allowance.ratio * firsts + self._reserve(others)) * USED_SHARE
        # Each node that counts may spend as much as this one before they hear of each other.
        lately = self._counts(service).granted.count_within(others.age_ms, now_ms)
        fits = known - lately + (lately + 1) * others.counted <= limit
        if not others.entitled:
            # All that is usually used may have been spent, by processes that are gone or by nodes
            # that do not reckon with this one.
            earned = self.allowance.ratio * own.firsts * (1 - USED_SHARE)
            fits = fits and own.retries + 1 <= earned
        return Headroom(known, limit, fits)

    def _reserve(self, others: OthersSpent) -> float:
        """Return the part of the reserve that this node and those that it hears may use."""
        reserve = self.allowance.reserve
        if others.counted == 1:
            # Nodes that were never heard may be more than are known.
            reserve = min(reserve, reserve * UNHEARD_SHARE / USED_SHARE)
        whole = self.allowance.reserve
        shared = min(reserve, whole * others.counted / others.sharers)
        return max(0.0, shared - whole * others.ended / others.sharers)

    def _counts(self, service: str) -> _Service:
        counts = self._by_service.get(service)
        if counts is None:
            counts = self._by_service[service] = _Service(self.allowance.window_ms)
        return counts
