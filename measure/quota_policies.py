"""Other ways to share a customer's quota among nodes, for comparison with the product's."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final, TypeAlias

import attrs

from monsoonflow.helpers.hashing import best
from monsoonflow.routing.customers import Quota
from monsoonflow.routing.quota import (
    OverQuota,
    QuotaPeers,
    QuotaTolerance,
    QuotaUsage,
    UsageAnnouncement,
    WithinQuota,
)

Reach: TypeAlias = Callable[[str, str], "Accountants | None"]
"""Returns the policy of a node that another one asks, or ``None`` if it does not answer."""

STARTS_FULL_UNTIL_MS: Final = 5_000
"""Nothing was used before; later, another accountant may have granted tokens."""

GRANT_MS: Final = 500
"""For how long ahead a node asks for tokens, and how long it may use them."""


@attrs.define(slots=True)
class _Bucket:
    left: float
    updated_ms: int

    def refill(self, per_s: float, capacity: float, now_ms: int) -> None:
        self.left = min(self.left + per_s * (now_ms - self.updated_ms) / 1000, capacity)
        self.updated_ms = now_ms


class _Unannounced:
    """A way in which nodes announce nothing to each other."""

    def usage_by_key(self, now_ms: int) -> dict[str, QuotaUsage]:
        """Return nothing."""
        return {}

    def receive(
        self,
        announcement: UsageAnnouncement,
        quota_by_key: Mapping[str, Quota],
        peers: QuotaPeers,
        now_ms: int,
    ) -> None:
        """Ignore what a peer announces."""

    def pop_changed_usage(self, now_ms: int) -> dict[str, QuotaUsage]:
        """Return nothing."""
        return {}


class EqualShares(_Unannounced):
    """Each node alone has the same part of each quota; nothing is exchanged.

    :param nodes: number of nodes with callers.
    """

    def __init__(
        self, nodes: int, tolerance: QuotaTolerance, starts_full: bool, started_ms: int
    ) -> None:
        self._nodes = nodes
        self._tolerance = tolerance
        self._starts_full = starts_full
        self._started_ms = started_ms
        self._bucket_by_key: dict[str, _Bucket] = {}

    def admit(
        self, key: str, quota: Quota, cost: int, peers: QuotaPeers, now_ms: int
    ) -> WithinQuota | OverQuota:
        """Admit a request while this node's part of the quota is not used up."""
        capacity = quota.burst + self._tolerance.burst_share * self._tolerance.excess(quota)
        own_capacity = capacity / self._nodes
        bucket = self._bucket_by_key.setdefault(
            key, _Bucket(own_capacity if self._starts_full else 0.0, self._started_ms)
        )
        bucket.refill(quota.rate_per_s / self._nodes, own_capacity, now_ms)
        if bucket.left < min(cost, own_capacity):
            return OverQuota(cost, round(bucket.left), 1 / self._nodes, 0, 0)
        bucket.left -= cost
        return WithinQuota(cost)


@attrs.define(slots=True)
class _Grant:
    units: float
    until_ms: int


class Accountants(_Unannounced):
    """One node counts each customer's requests, and grants the others tokens for a short time.

    The node is chosen by rendezvous hashing among those that a node hears. A new one begins with an
    empty bucket, since it does not know what the last one granted.

    :param reach: returns the policy of another node, or ``None`` if it does not answer.
    """

    def __init__(
        self,
        name: str,
        tolerance: QuotaTolerance,
        starts_full: bool,
        started_ms: int,
        reach: Reach,
    ) -> None:
        self._name = name
        self._tolerance = tolerance
        self._starts_full = starts_full
        self._started_ms = started_ms
        self._reach = reach
        self._bucket_by_key: dict[str, _Bucket] = {}
        self._grant_by_key: dict[str, _Grant] = {}
        self._rate_by_key: dict[str, float] = {}
        self._last_ms_by_key: dict[str, int] = {}
        self.questions = 0

    def admit(
        self, key: str, quota: Quota, cost: int, peers: QuotaPeers, now_ms: int
    ) -> WithinQuota | OverQuota:
        """Admit a request that this node has tokens for, or gets them for."""
        per_ms = self._expected_per_ms(key, cost, now_ms)
        grant = self._grant_by_key.get(key)
        units = 0.0
        if grant is not None and grant.until_ms > now_ms:
            units = grant.units
        elif grant is not None and grant.units > 0:
            self._return(key, grant, peers)
        if units < cost:
            wanted = max(cost - units, per_ms * GRANT_MS)
            units += self._ask(key, quota, cost - units, wanted, peers, now_ms)
        if units < cost:
            self._grant_by_key[key] = _Grant(units, now_ms + GRANT_MS)
            return OverQuota(cost, round(units), 1.0, 0, 0)
        self._grant_by_key[key] = _Grant(units - cost, now_ms + GRANT_MS)
        return WithinQuota(cost)

    def _expected_per_ms(self, key: str, cost: int, now_ms: int) -> float:
        last_ms = self._last_ms_by_key.get(key, now_ms - 1_000)
        self._last_ms_by_key[key] = now_ms
        rate = self._rate_by_key.get(key, 0.0)
        rate += (cost / max(now_ms - last_ms, 1) - rate) * 0.1
        self._rate_by_key[key] = rate
        return rate

    def _return(self, key: str, grant: _Grant, peers: QuotaPeers) -> None:
        """Return what was not used in time to the customer's accountant."""
        policy = self._accountant(key, peers)
        bucket = None if policy is None else policy._bucket_by_key.get(key)  # noqa: SLF001
        if bucket is not None:
            bucket.left += grant.units
        grant.units = 0.0

    def _accountant(self, key: str, peers: QuotaPeers) -> Accountants | None:
        accountant = best(key, {self._name, *peers.fresh})
        return self if accountant == self._name else self._reach(self._name, accountant)

    def _ask(
        self,
        key: str,
        quota: Quota,
        needed: float,
        wanted: float,
        peers: QuotaPeers,
        now_ms: int,
    ) -> float:
        self.questions += 1
        policy = self._accountant(key, peers)
        if policy is None:
            return 0.0
        starts_full = policy.starts_full and not peers.silent
        return policy.grant(key, quota, needed, wanted, starts_full, now_ms)

    @property
    def starts_full(self) -> bool:
        """Return whether a customer's first request finds a full bucket."""
        return self._starts_full

    def grant(
        self,
        key: str,
        quota: Quota,
        needed: float,
        wanted: float,
        starts_full: bool,
        now_ms: int,
    ) -> float:
        """Return the tokens that another node may use."""
        capacity = quota.burst + self._tolerance.burst_share * self._tolerance.excess(quota)
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            left = capacity if starts_full and now_ms < STARTS_FULL_UNTIL_MS else 0.0
            bucket = self._bucket_by_key[key] = _Bucket(left, now_ms)
        bucket.refill(quota.rate_per_s, capacity, now_ms)
        if bucket.left < min(needed, capacity):
            return 0.0
        units = needed if needed > bucket.left else min(wanted, bucket.left)
        bucket.left -= units
        return units
