"""Keeps the retries that all nodes send together within one budget per service."""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

USABLE_SHARE: Final = 0.85
"""Share of the allowance that may be used. The margin is needed because first attempts are counted
when they are read, not when callers send them, and a retry arrives a little after it is counted."""

ISOLATED_NODE_SHARE: Final = 0.15
"""Share of the reserve that one node may use while it receives heartbeats from no peer: seven such
nodes together stay within the reserve."""

MIN_BUSY_REQUESTS: Final = 20
"""A node with fewer first attempts in a window has no callers: operators and health checks send
each node about one request a second."""


@attrs.frozen(slots=True)
class RetryAllowance:
    """The retries that a service may receive.

    :param ratio: retries allowed per first attempt.
    :param reserve: retries allowed in addition.
    :param window_ms: length of the sliding window to which both apply.
    """

    ratio: float
    reserve: float
    window_ms: int


@attrs.frozen(slots=True)
class RetryUsage:
    """First attempts and retries within the window."""

    first_attempts: int = 0
    retries: int = 0


@attrs.frozen(slots=True)
class PeerRetryUsage:
    """How much of a service's retry budget the peers have used, as far as this node knows.

    :param reported: usage from the heartbeats of the peers that are up to date.
    :param sharing_nodes: number of nodes that share the budget, including this one.
    :param connected_nodes: number of sharing nodes that know each other's usage: this node, and the
        peers that exchange heartbeats with it in both directions.
    :param past_retries: retries within the window by processes that have ended and by silent nodes.
    :param ended_processes: number of processes that ended within the window. Each may have used its
        share without a peer having received it.
    :param is_entitled: whether this node may use more than its own first attempts earn: its peers
        know that it shares the budget, and it or a connected peer has counted for a whole window.
    :param max_heartbeat_age_ms: maximum age of the usage that connected nodes know of each other.
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
    """The rest of a service's retry budget, as far as this node knows.

    :param known_retries: retries counted within the window.
    :param retry_limit: maximum number of retries within the window.
    :param is_allowed: whether one more retry is within the budget.
    """

    known_retries: int
    retry_limit: float
    is_allowed: bool


class _Window:
    """Counts events in a sliding window."""

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self._times_ms: deque[int] = deque()

    def add(self, now_ms: int) -> None:
        self._times_ms.append(now_ms)

    def count(self, now_ms: int) -> int:
        while self._times_ms and self._times_ms[0] <= now_ms - self.window_ms:
            self._times_ms.popleft()
        return len(self._times_ms)

    def count_recent(self, max_age_ms: int, now_ms: int) -> int:
        """Return the number of events that are younger than the given age."""
        self.count(now_ms)
        return sum(1 for at_ms in self._times_ms if at_ms > now_ms - max_age_ms)


class _ServiceCounts:
    """Counts of this node's own attempts at one service.

    ``unsent_retries`` are granted and not sent yet; they count as used, however old they are.
    """

    def __init__(self, window_ms: int) -> None:
        self.first_attempts = _Window(window_ms)
        self.granted_retries = _Window(window_ms)
        self.sent_retries = _Window(window_ms)
        self.unsent_retries = 0


class FleetRetryBudget:
    """Decides whether this node may retry a request.

    Without a limit, a failing service would receive several times its normal load from the retries
    of the requests that it fails. Arrivals at servers are counted, so a refused attempt counts too.

    The limit holds even when nodes know different parts of the cluster. The remaining budget is
    split among the nodes that exchange heartbeats: a node uses no more than its part before its
    peers have received its usage. Silent nodes keep their share of the reserve. A process that
    restarted does not know what it used before, so it gets hardly any retries until a whole window
    has passed or a peer has reported the past usage.

    :param started_ms: when this process began to count; ``None`` if nothing was used before.
    """

    def __init__(self, allowance: RetryAllowance, started_ms: int | None = None) -> None:
        self.allowance = allowance
        self._started_ms = started_ms
        self._counts_by_service: dict[str, _ServiceCounts] = {}

    def record_first_attempt(self, service: str, now_ms: int) -> None:
        """Count the first attempt of a request."""
        self._counts_of(service).first_attempts.add(now_ms)

    def grant_retry(self, service: str, now_ms: int) -> None:
        """Count a retry that was allowed and will be sent later."""
        counts = self._counts_of(service)
        counts.granted_retries.add(now_ms)
        counts.unsent_retries += 1

    def record_sent_retry(self, service: str, now_ms: int) -> None:
        """Count a granted retry as sent."""
        counts = self._counts_of(service)
        counts.unsent_retries -= 1
        counts.sent_retries.add(now_ms)

    def cancel_retry(self, service: str) -> None:
        """Return a granted retry that will not be sent to the budget."""
        self._counts_of(service).unsent_retries -= 1

    def usage(self, service: str, now_ms: int) -> RetryUsage:
        """Return this node's own usage within the window; granted retries count as sent."""
        counts = self._counts_of(service)
        return RetryUsage(
            counts.first_attempts.count(now_ms),
            counts.sent_retries.count(now_ms) + counts.unsent_retries,
        )

    def usage_by_service(self, now_ms: int) -> dict[str, RetryUsage]:
        """Return this node's own usage within the window, by service."""
        return {service: self.usage(service, now_ms) for service in self._counts_by_service}

    def is_busy(self, now_ms: int) -> bool:
        """Return whether this node has callers, rather than only health checks."""
        return any(
            usage.first_attempts >= MIN_BUSY_REQUESTS
            for usage in self.usage_by_service(now_ms).values()
        )

    def counted_ms(self, now_ms: int) -> int:
        """Return for how long this process has counted, up to the length of a window."""
        window_ms = self.allowance.window_ms
        return window_ms if self._started_ms is None else min(window_ms, now_ms - self._started_ms)

    def headroom(self, service: str, peers: PeerRetryUsage, now_ms: int) -> Headroom:
        """Return whether one more retry is within the budget, with the figures used."""
        own = self.usage(service, now_ms)
        known = own.retries + sum(peer.retries for peer in peers.reported) + peers.past_retries
        first_attempts = own.first_attempts + sum(peer.first_attempts for peer in peers.reported)
        limit = (self.allowance.ratio * first_attempts + self._usable_reserve(peers)) * USABLE_SHARE
        # Until heartbeats arrive, each connected peer may use as much as this node has used.
        recent = self._counts_of(service).granted_retries.count_recent(
            peers.max_heartbeat_age_ms, now_ms
        )
        is_allowed = known - recent + (recent + 1) * peers.connected_nodes <= limit
        if not peers.is_entitled:
            # The usable share may have been spent already, by processes that have ended or by nodes
            # that do not know this one.
            earned = self.allowance.ratio * own.first_attempts * (1 - USABLE_SHARE)
            is_allowed = is_allowed and own.retries + 1 <= earned
        return Headroom(known, limit, is_allowed)

    def _usable_reserve(self, peers: PeerRetryUsage) -> float:
        """Return the part of the reserve that this node and its connected peers may use."""
        reserve = self.allowance.reserve
        if peers.connected_nodes == 1:
            # There may be more nodes than this one knows of.
            reserve = min(reserve, reserve * ISOLATED_NODE_SHARE / USABLE_SHARE)
        full_reserve = self.allowance.reserve
        shared = min(reserve, full_reserve * peers.connected_nodes / peers.sharing_nodes)
        return max(0.0, shared - full_reserve * peers.ended_processes / peers.sharing_nodes)

    def _counts_of(self, service: str) -> _ServiceCounts:
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = self._counts_by_service[service] = _ServiceCounts(self.allowance.window_ms)
        return counts
