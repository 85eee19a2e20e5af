"""Keeps the retries of all nodes together inside one budget a service."""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

USABLE_SHARE: Final = 0.85
"""Share of the allowance that is used: firsts are counted when they are read, not when callers
send them, and a send arrives a little later than it is counted."""

ISOLATED_NODE_SHARE: Final = 0.15
"""Share of the reserve that one node may use when it hears of no other: seven such nodes together
stay inside the reserve."""

MIN_BUSY_REQUESTS: Final = 20
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
class RetryUsage:
    """First requests and retries in the window."""

    first_attempts: int = 0
    retries: int = 0


@attrs.frozen(slots=True)
class PeerRetryUsage:
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

    reported: tuple[RetryUsage, ...] = ()
    sharing_nodes: int = 1
    connected_nodes: int = 1
    past_retries: int = 0
    ended_processes: int = 0
    is_entitled: bool = True
    max_heartbeat_age_ms: int = 0


@attrs.frozen(slots=True)
class Headroom:
    """What is left of the budget of a service, as this node knows it.

    :param known: arrivals beyond the first that are counted in the window.
    :param limit: how many there may be.
    :param allowed: whether one more fits.
    """

    known_retries: int
    retry_limit: float
    is_allowed: bool


class _Window:
    """Counts events in a sliding window."""

    def __init__(self, span_ms: int) -> None:
        self.window_ms = span_ms
        self._times_ms: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        self._times_ms.append(now_ms)

    def count(self, now_ms: int) -> int:
        while self._times_ms and self._times_ms[0] <= now_ms - self.window_ms:
            self._times_ms.popleft()
        return len(self._times_ms)

    def count_recent(self, max_age_ms: int, now_ms: int) -> int:
        """Return how many of the window's events are younger than some age."""
        self.count(now_ms)
        return sum(1 for at_ms in self._times_ms if at_ms > now_ms - max_age_ms)


class _ServiceCounts:
    """What this node has counted of one service."""

    def __init__(self, window_ms: int) -> None:
        self.first_attempts = _Window(window_ms)
        self.granted_retries = _Window(window_ms)
        self.sent_retries = _Window(window_ms)
        self.unsent_retries = 0


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
        self._counts_by_service: dict[str, _ServiceCounts] = {}

    def record_first_attempt(self, service: str, now_ms: int) -> None:
        """Count a request for a service."""
        self._counts_of(service).first_attempts.add(now_ms)

    def grant_retry(self, service: str, now_ms: int) -> None:
        """Count a further try that is allowed and will be sent later."""
        counts = self._counts_of(service)
        counts.granted_retries.add(now_ms)
        counts.unsent_retries += 1

    def record_sent_retry(self, service: str, now_ms: int) -> None:
        """Count the arrival of a further try that was granted."""
        counts = self._counts_of(service)
        counts.unsent_retries -= 1
        counts.sent_retries.add(now_ms)

    def cancel_retry(self, service: str) -> None:
        """Count a further try that was granted and is not sent any more no longer."""
        self._counts_of(service).unsent_retries -= 1

    def usage(self, service: str, now_ms: int) -> RetryUsage:
        """Return what this node has counted in the window; what will be sent counts as sent."""
        counts = self._counts_of(service)
        return RetryUsage(
            counts.first_attempts.count(now_ms),
            counts.sent_retries.count(now_ms) + counts.unsent_retries,
        )

    def usage_by_service(self, now_ms: int) -> dict[str, RetryUsage]:
        """Return the counts of all services."""
        return {service: self.usage(service, now_ms) for service in self._counts_by_service}

    def is_busy(self, now_ms: int) -> bool:
        """Tell whether this node has callers."""
        return any(
            spent.first_attempts >= MIN_BUSY_REQUESTS
            for spent in self.usage_by_service(now_ms).values()
        )

    def counted_ms(self, now_ms: int) -> int:
        """Return for how long this process has counted, at most a window."""
        window_ms = self.allowance.window_ms
        return window_ms if self._started_ms is None else min(window_ms, now_ms - self._started_ms)

    def headroom(self, service: str, peers: PeerRetryUsage, now_ms: int) -> Headroom:
        """Return whether one more arrival fits, and what that rests on."""
        own = self.usage(service, now_ms)
        known = own.retries + sum(spent.retries for spent in peers.reported) + peers.past_retries
        firsts = own.first_attempts + sum(spent.first_attempts for spent in peers.reported)
        limit = (self.allowance.ratio * firsts + self._usable_reserve(peers)) * USABLE_SHARE
        # Each node that counts may spend as much as this one before they hear of each other.
        lately = self._counts_of(service).granted_retries.count_recent(
            peers.max_heartbeat_age_ms, now_ms
        )
        fits = known - lately + (lately + 1) * peers.connected_nodes <= limit
        if not peers.is_entitled:
            # All that is usually used may have been spent, by processes that are gone or by nodes
            # that do not reckon with this one.
            earned = self.allowance.ratio * own.first_attempts * (1 - USABLE_SHARE)
            fits = fits and own.retries + 1 <= earned
        return Headroom(known, limit, fits)

    def _usable_reserve(self, peers: PeerRetryUsage) -> float:
        """Return the part of the reserve that this node and those that it hears may use."""
        reserve = self.allowance.reserve
        if peers.connected_nodes == 1:
            # Nodes that were never heard may be more than are known.
            reserve = min(reserve, reserve * ISOLATED_NODE_SHARE / USABLE_SHARE)
        whole = self.allowance.reserve
        shared = min(reserve, whole * peers.connected_nodes / peers.sharing_nodes)
        return max(0.0, shared - whole * peers.ended_processes / peers.sharing_nodes)

    def _counts_of(self, service: str) -> _ServiceCounts:
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = self._counts_by_service[service] = _ServiceCounts(self.allowance.window_ms)
        return counts
