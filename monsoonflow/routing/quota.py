"""Keeps what all nodes together use within a quota: of a customer, or of a server that limits it.

The load that this addresses is a customer that sends several times its quota, or a server that gets
several times its limit, through any number of nodes. Each node announces what it admits within a
tenth of a second, and so knows how much of the quota is left for the fleet.

Nodes that do not hear each other any more use a part of the quota each, by the demand that they had
before. A node that does not know yet what its peers have admitted, after its start or when it gets
its first callers, uses no more than its share of what is left.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import attrs

from .customers import Quota

RESTART_TOLERANCE_SHARE: Final = 0.4
"""Part of the tolerated excess that may be used after all processes have restarted at once, at most
twice in one window."""

DEMAND_HALF_LIFE_MS: Final = 1_000
"""Demand moves between nodes as fast as callers follow new addresses."""

MAX_SILENT_AFTER_MS: Final = 20_000
"""For how long this node's announced demand is remembered: longer than any silence is noticed."""

MIN_RETRY_AFTER_MS: Final = 200
MAX_RETRY_AFTER_MS: Final = 10_000


@attrs.frozen(slots=True)
class QuotaTolerance:
    """What is tolerated beyond a quota.

    In any window, all nodes may use what the quota allows, a share more and a number of units.

    :param overshoot: share of what the quota allows in a window.
    :param slack: units, summed over all nodes.
    :param burst_share: part of the tolerated excess that may be used as an additional burst. The
        rest covers what nodes admit before they know of each other's usage.
    :param debt_share: part of the tolerated excess that must be made up for in addition to a whole
        burst, after nodes have admitted too much.
    """

    window_ms: int = 8_000
    overshoot: float = 0.0
    slack: float = 0.0
    burst_share: float = 0.1
    debt_share: float = 0.0

    def excess(self, quota: Quota) -> float:
        """Return the units that are tolerated beyond a quota in a window."""
        allowed = quota.rate_per_s * self.window_ms / 1000 + quota.burst
        return self.overshoot * allowed + self.slack


@attrs.frozen(slots=True)
class QuotaUsage:
    """What one node has admitted, in units of a quota.

    :param total: since the node's start.
    :param recent: within the last window.
    :param demand: admitted and refused, as an exponentially decaying sum.
    :param left: of the quota for the whole fleet, as far as the node knows.
    """

    total: int
    recent: int
    demand: int
    left: int = 0


@attrs.frozen(slots=True)
class UsageAnnouncement:
    """What a peer announces of the quotas that it has used.

    :param boot: identifies the run of the peer's process.
    :param is_complete: whether the peer has no demand for other quotas.
    :param is_older: whether the peer's process has been running for longer than a window.
    """

    peer: str
    boot: str
    usage_by_key: Mapping[str, QuotaUsage]
    is_complete: bool = True
    is_older: bool = False


@attrs.frozen(slots=True)
class QuotaPeers:
    """The peers that may use the same quotas.

    :param fresh: peers whose usage is up to date.
    :param silent: peers whose usage was known until recently. They may go on with their share.
    :param active: number of fresh peers with callers.
    :param unknown: number of peers with callers whose usage is not known yet.
    :param is_newcomer: whether this node has hardly had callers, so that peers may not have
        announced to it what they admit.
    :param exchange_ms: how long it takes until all peers know what this node admits.
    :param silent_after_ms: how long before it counts as silent a peer was heard for the last time.
    """

    fresh: frozenset[str] = frozenset()
    silent: frozenset[str] = frozenset()
    active: int = 0
    unknown: int = 0
    is_newcomer: bool = False
    exchange_ms: int = 200
    silent_after_ms: int = 700


@dataclass(frozen=True, slots=True)
class WithinQuota:
    """A request that is admitted, and the units that it uses."""

    cost: int


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request that exceeds a quota, and the figures that decided it.

    :param left: units that are left for the fleet, as far as this node knows.
    :param share: the part of them that this node may use.
    :param usage_age_ms: how old the usage of peers may be that this node knows.
    """

    cost: int
    left: int
    share: float
    usage_age_ms: int
    retry_after_ms: int


@attrs.frozen(slots=True)
class _Room:
    """What a quota has left for a request.

    :param usable: units that this node may use.
    :param share: the part of what is left for the fleet that they are.
    """

    usable: float
    share: float
    is_enough: bool


class _DecayingSum:
    """A sum whose parts lose half of their weight in each half-life."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated_ms = 0

    def add(self, units: int, now_ms: int) -> None:
        self._sum = self.value(now_ms) + units
        self._updated_ms = now_ms

    def value(self, now_ms: int) -> float:
        return self._sum * 2.0 ** ((self._updated_ms - now_ms) / DEMAND_HALF_LIFE_MS)


@attrs.define(slots=True)
class _PeerUsage:
    boot: str
    usage: QuotaUsage


class _Account:
    """The state of one quota at one node.

    :ivar left: units that are left for the fleet; negative if nodes admitted too much before they
        knew of each other.
    """

    def __init__(self, left: float, now_ms: int) -> None:
        self.left = left
        self.refilled_ms = now_ms
        self.is_new = True
        self.total = 0
        self.demand = _DecayingSum()
        self.usage_by_peer: dict[str, _PeerUsage] = {}
        self.admitted: deque[tuple[int, int]] = deque()
        self.last_return_ms = 0
        self.demand_before_silence: dict[str, int] | None = None
        self.own_demand_before_silence = 0
        self.connected_part = 1.0
        self.announced: deque[tuple[int, int]] = deque()
        self.draw = 0.0
        self.drawn_ms: int | None = None

    def add(self, units: int, now_ms: int) -> None:
        self.total += units
        self.left -= units
        self.admitted.append((now_ms, units))

    def recent(self, within_ms: int, now_ms: int) -> int:
        """Return the units admitted within a time."""
        units = 0
        for at_ms, admitted in reversed(self.admitted):
            if at_ms <= now_ms - within_ms:
                break
            units += admitted
        return units

    def announced_before(self, at_ms: int) -> int:
        """Return the last demand that was announced before a time."""
        return next((demand for ms, demand in reversed(self.announced) if ms <= at_ms), 0)

    def forget_before(self, before_ms: int) -> None:
        while self.admitted and self.admitted[0][0] <= before_ms:
            self.admitted.popleft()


class FleetQuota:
    """Decides whether this node may admit a request to which a quota applies.

    A quota is named by a key: a customer, or a life of a server. It is a token bucket for the whole
    fleet. A node that may use only a share of the bucket, and whose share is smaller than a
    request, admits the request with the probability that makes the sum over all nodes right. A
    bucket of each node's own would never hold one request if there are many nodes.

    A process that restarted does not know what was used before. It starts with a bucket that holds
    a part of the tolerated excess, and takes over what the first peer that has been running longer
    announces.

    :param starts_full: whether nothing was used before the start of this process.
    """

    def __init__(
        self,
        tolerance: QuotaTolerance,
        rng: random.Random,
        starts_full: bool = True,
        started_ms: int = 0,
    ) -> None:
        self.tolerance = tolerance
        self._rng = rng
        self._starts_full = starts_full
        self._started_ms = started_ms
        self._account_by_key: dict[str, _Account] = {}
        self._boot_by_peer: dict[str, str] = {}
        self._changed_keys: set[str] = set()

    def admit(
        self, key: str, quota: Quota, cost: int, peers: QuotaPeers, now_ms: int
    ) -> WithinQuota | OverQuota:
        """Return whether a request is within the quota, and count it if so.

        :param cost: the request's units.
        """
        account = self._account_of(key, quota)
        account.demand.add(cost, now_ms)
        room = self._room(account, quota, cost, peers, now_ms)
        if room.is_enough:
            account.add(cost, now_ms)
            self._changed_keys.add(key)
            account.drawn_ms = None
            return WithinQuota(cost)
        retry_after_ms = self._retry_after_ms(account, quota, cost, room, now_ms)
        return OverQuota(cost, round(account.left), room.share, peers.exchange_ms, retry_after_ms)

    def has_room(self, key: str, quota: Quota, cost: int, peers: QuotaPeers, now_ms: int) -> bool:
        """Return whether a request would be admitted now."""
        account = self._account_of(key, quota)
        return self._room(account, quota, cost, peers, now_ms).is_enough

    def wait_ms(self, key: str, quota: Quota, cost: int, peers: QuotaPeers, now_ms: int) -> float:
        """Return the time until a request would be admitted if nothing else is until then."""
        account = self._account_of(key, quota)
        room = self._room(account, quota, cost, peers, now_ms)
        return 0.0 if room.is_enough else 1000 * (cost - room.usable) / quota.rate_per_s

    def _room(
        self, account: _Account, quota: Quota, cost: int, peers: QuotaPeers, now_ms: int
    ) -> _Room:
        self._refill(account, quota, peers, now_ms)
        capacity = self._capacity(quota)
        recent = account.recent(peers.exchange_ms, now_ms)
        is_possible = cost <= capacity + self._margin(quota)
        if peers.unknown > 0 or (peers.is_newcomer and recent > 0):
            share = self._share(account, peers, now_ms)
            usable = (account.left + recent) * share - recent
            needed = self._draw(account, peers, now_ms) * cost
        else:
            share, usable, needed = 1.0, account.left, min(cost, capacity)
        return _Room(usable, share, is_possible and usable >= needed)

    def give_back(self, key: str, cost: int, now_ms: int) -> None:
        """Return the units of a request that no server has run."""
        account = self._account_by_key.get(key)
        if account is not None:
            account.add(-cost, now_ms)
            self._changed_keys.add(key)

    def forget(self, key: str) -> None:
        """Drop the state of a quota that no longer exists."""
        self._account_by_key.pop(key, None)
        self._changed_keys.discard(key)

    def pop_changed_usage(self, now_ms: int) -> dict[str, QuotaUsage]:
        """Return the usage of the quotas for which it has changed since the last call."""
        changed, self._changed_keys = self._changed_keys, set()
        return {key: self._usage_of(key, now_ms) for key in changed}

    def _usage_of(self, key: str, now_ms: int) -> QuotaUsage:
        account = self._account_by_key[key]
        recent = account.recent(self.tolerance.window_ms, now_ms)
        demand = round(account.demand.value(now_ms))
        return QuotaUsage(account.total, recent, demand, round(account.left))

    def usage_by_key(self, now_ms: int) -> dict[str, QuotaUsage]:
        """Return the usage of the quotas with requests in the last window."""
        window_ms = self.tolerance.window_ms
        usage_by_key = {}
        for key, account in self._account_by_key.items():
            account.forget_before(now_ms - window_ms)
            demand = round(account.demand.value(now_ms))
            account.announced.append((now_ms, demand))
            while account.announced[0][0] < now_ms - MAX_SILENT_AFTER_MS:
                account.announced.popleft()
            if account.admitted or demand:
                usage_by_key[key] = self._usage_of(key, now_ms)
        return usage_by_key

    def receive(
        self,
        announcement: UsageAnnouncement,
        quota_by_key: Mapping[str, Quota],
        peers: QuotaPeers,
        now_ms: int,
    ) -> None:
        """Apply the usage that a peer announces; unknown quotas are ignored."""
        peer, boot = announcement.peer, announcement.boot
        is_known = peer in self._boot_by_peer
        self._boot_by_peer[peer] = boot
        for key, usage in announcement.usage_by_key.items():
            quota = quota_by_key.get(key)
            if quota is None:
                continue
            account = self._account_of(key, quota)
            self._refill(account, quota, peers, now_ms)
            known = account.usage_by_peer.get(peer)
            if announcement.is_older and account.is_new and not self._starts_full:
                account.left = min(usage.left, self._capacity(quota))
                account.is_new = False
            elif known is not None and known.boot == boot:
                account.left -= usage.total - known.usage.total
            elif is_known:
                account.left -= usage.recent
            account.usage_by_peer[peer] = _PeerUsage(boot, usage)
        if announcement.is_complete:
            self._end_demand(peer, self._account_by_key.keys() - announcement.usage_by_key)

    def _end_demand(self, peer: str, keys: set[str]) -> None:
        for key in keys:
            known = self._account_by_key[key].usage_by_peer.get(peer)
            if known is not None:
                known.usage = attrs.evolve(known.usage, demand=0)

    def _account_of(self, key: str, quota: Quota) -> _Account:
        account = self._account_by_key.get(key)
        if account is None:
            left = self._capacity(quota)
            if not self._starts_full:
                left = RESTART_TOLERANCE_SHARE * self.tolerance.excess(quota)
            account = self._account_by_key[key] = _Account(left, self._started_ms)
        return account

    def _capacity(self, quota: Quota) -> float:
        return quota.burst + self.tolerance.burst_share * self.tolerance.excess(quota)

    def _margin(self, quota: Quota) -> float:
        return (1 - self.tolerance.burst_share) * self.tolerance.excess(quota)

    def _refill(self, account: _Account, quota: Quota, peers: QuotaPeers, now_ms: int) -> None:
        """Add what the quota allows since the last time, without the part of silent peers."""
        part = self._connected_part(account, peers, now_ms)
        if part < account.connected_part:
            # The others of the bucket's users can no longer be heard, and may use the rest of it.
            account.left = min(account.left, account.left * part / account.connected_part)
        account.connected_part = part
        added = quota.rate_per_s * part * (now_ms - account.refilled_ms) / 1000
        # A part that holds less than one request would never admit one.
        whole = self._capacity(quota)
        capacity = max(whole * part, min(whole, quota.plain_cost))
        max_debt = capacity + self.tolerance.debt_share * self.tolerance.excess(quota)
        account.left = min(max(account.left + added, -max_debt), capacity)
        account.refilled_ms = now_ms

    @staticmethod
    def _connected_part(account: _Account, peers: QuotaPeers, now_ms: int) -> float:
        """Return the part of the refill that this node and its fresh peers may use.

        Both sides of a network partition use the demand from before it. By the current demand, each
        side would count the callers that have moved to it as its own and as the other side's.
        """
        if not peers.silent:
            account.demand_before_silence = None
            return 1.0
        if account.demand_before_silence is None:
            account.demand_before_silence = {
                peer: known.usage.demand for peer, known in account.usage_by_peer.items()
            }
            account.own_demand_before_silence = account.announced_before(
                now_ms - peers.silent_after_ms
            )
        demand = account.demand_before_silence
        connected = account.own_demand_before_silence + _sum_of(demand, peers.fresh)
        silent = _sum_of(demand, peers.silent)
        return connected / (connected + silent) if silent else 1.0

    @staticmethod
    def _share(account: _Account, peers: QuotaPeers, now_ms: int) -> float:
        """Return the part of the demand that arrives at this node.

        It is computed from what the peers know of this node too, so that the shares of all nodes
        together are one. A node without demand that is known may be one of several that have just
        got some.
        """
        own = account.announced_before(now_ms - peers.exchange_ms)
        others = _demand_of(account, peers.fresh) + _demand_of(account, peers.silent)
        known = own / (own * (1 + peers.unknown) + others) if own else 0.0
        return max(known, 1 / (1 + peers.active + peers.unknown + len(peers.silent)))

    def _draw(self, account: _Account, peers: QuotaPeers, now_ms: int) -> float:
        """Return a random number, the same one until the peers know of the last admission.

        With a new one for each request, one of the many requests that exceed the quota would be
        admitted at each node.
        """
        if account.drawn_ms is None or now_ms - account.drawn_ms >= peers.exchange_ms:
            account.draw = self._rng.random()
            account.drawn_ms = now_ms
        return account.draw

    def _retry_after_ms(
        self,
        account: _Account,
        quota: Quota,
        cost: int,
        room: _Room,
        now_ms: int,
    ) -> int:
        """Return when the quota has room for the request, after those that were refused before."""
        node_rate_per_ms = max(quota.rate_per_s * room.share / 1000, 1e-6)
        wait_ms = (cost - room.usable) / node_rate_per_ms
        after_others_ms = account.last_return_ms - now_ms + cost / node_rate_per_ms
        retry_after_ms = round(
            min(max(wait_ms, after_others_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        )
        account.last_return_ms = now_ms + retry_after_ms
        return retry_after_ms


def _demand_of(account: _Account, peers: frozenset[str]) -> int:
    return sum(
        [known.usage.demand for peer, known in account.usage_by_peer.items() if peer in peers]
    )


def _sum_of(demand_by_peer: dict[str, int], peers: frozenset[str]) -> int:
    return sum([demand_by_peer.get(peer, 0) for peer in peers])
