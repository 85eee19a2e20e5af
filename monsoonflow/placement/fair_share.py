"""Orders waiting requests by how much of the runners their customers use already.

The load that this addresses is a customer that sends many times its usual demand. In order of
lateness and priority alone, the requests of all others would wait behind its requests.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from typing import Final

from .request_queue import QueuedRequest

TIME_CONSTANT_MS: Final = 2_000
"""Usage decays by 1/e in this time: longer than a request, shorter than a burst of a customer."""

MIN_USAGE: Final = 0.01
"""Requests in progress on average below which a customer counts as one without usage."""

MAX_LEVEL: Final = 8
"""A customer that uses 256 times its share or more."""

MAX_CUSTOMERS: Final = 4_096
"""Customers whose usage is kept; those with the least are dropped."""

WAITING_VALID_MS: Final = 200
"""How long a customer counts as waiting after it was last seen in a queue: the queues of the cells
of one holder are checked one after the other, every 30 ms."""

LEVELS_VALID_MS: Final = 20
"""How long computed levels are used: a tenth of the interval at which nodes announce usage."""


def compute_levels(
    usage_by_customer: Mapping[str, float], weight_by_customer: Mapping[str, float]
) -> dict[str, int]:
    """Return the level of each customer: 0 up to its share, 1 up to twice its share, and so on.

    A share is the total usage divided in proportion to the weights. With one customer all levels
    are 0.

    >>> compute_levels({"hot": 9.0, "small": 0.5}, {"hot": 1, "small": 1, "waits": 1})
    {'hot': 2, 'small': 0, 'waits': 0}
    >>> compute_levels({"hot": 9.0, "small": 1.0}, {"hot": 9, "small": 1})
    {'hot': 0, 'small': 0}
    """
    total = sum(usage_by_customer.get(name, 0.0) for name in weight_by_customer)
    total_weight = sum(weight_by_customer.values())
    levels = {}
    for name, weight in weight_by_customer.items():
        share = total * weight / total_weight
        used = usage_by_customer.get(name, 0.0)
        is_above = share > 0 and used > share * (1 + 1e-9)
        levels[name] = min(MAX_LEVEL, math.ceil(math.log2(used / share))) if is_above else 0
    return levels


class FairShares:
    """The recent usage of each customer, and the levels that follow from it.

    :param quota_rate_of: returns the rate of a customer's quota; ``None`` without a quota.
    """

    def __init__(self, quota_rate_of: Callable[[str], float | None] = lambda _name: None) -> None:
        self._quota_rate_of = quota_rate_of
        self._usage_by_customer: dict[str, float] = {}
        self._updated_ms = 0
        self._level_by_customer: dict[str, int] = {}
        self._waiting_ms_by_customer: dict[str, int] = {}
        self._levels_computed_ms: int | None = None
        self.reported_ms: int | None = None

    def record_usage(self, runner_ms_by_customer: Mapping[str, int], now_ms: int) -> None:
        """Add the time that requests spent at runners.

        :param runner_ms_by_customer: in milliseconds.
        """
        self._decay(now_ms)
        self.reported_ms = now_ms
        for name, used_ms in runner_ms_by_customer.items():
            usage = self._usage_by_customer.get(name, 0.0)
            self._usage_by_customer[name] = usage + used_ms / TIME_CONSTANT_MS

    def update_levels(self, waiting: Collection[str], now_ms: int) -> None:
        """Compute the levels anew, unless that was done just now.

        :param waiting: customers with waiting requests in one cell; those of the other cells of
            this holder count as well.
        """
        self._waiting_ms_by_customer.update(dict.fromkeys(waiting, now_ms))
        computed_ms = self._levels_computed_ms
        is_recent = computed_ms is not None and 0 <= now_ms - computed_ms < LEVELS_VALID_MS
        if is_recent and all(name in self._level_by_customer for name in waiting):
            return
        self._waiting_ms_by_customer = {
            name: seen_ms
            for name, seen_ms in self._waiting_ms_by_customer.items()
            if now_ms - seen_ms <= WAITING_VALID_MS
        }
        self._levels_computed_ms = now_ms
        self._decay(now_ms)
        names = {*self._usage_by_customer, *self._waiting_ms_by_customer}
        self._level_by_customer = (
            compute_levels(self._usage_by_customer, self._weights(names)) if len(names) > 1 else {}
        )

    def assign_levels(self, requests: Collection[QueuedRequest], now_ms: int) -> None:
        """Give each waiting request the current level of its customer."""
        waiting = {request.customer for request in requests if request.customer is not None}
        self.update_levels(waiting, now_ms)
        for request in requests:
            request.level = self.level_of_request(request)

    def max_level(self) -> int:
        """Return the highest level of any customer."""
        return max(self._level_by_customer.values(), default=0)

    def level_of(self, customer: str | None) -> int:
        """Return a customer's level; 0 for requests without a customer."""
        return self._level_by_customer.get(customer, 0) if customer is not None else 0

    def level_of_request(self, request: QueuedRequest) -> int:
        """Return the level of a request; 0 for a stream of which its caller has a part.

        Half an answer is worth nothing, and its caller has been served that much already.
        """
        return 0 if request.priority < 0 else self.level_of(request.customer)

    def usage_of(self, customer: str | None) -> float:
        """Return the mean number of requests in progress of a customer."""
        return self._usage_by_customer.get(customer, 0.0) if customer is not None else 0.0

    def rank_of(self, customer: str) -> int:
        """Return the rank of a customer by usage, 0 for the largest."""
        usage = self.usage_of(customer)
        return sum(other > usage for other in self._usage_by_customer.values())

    def _weights(self, names: Collection[str]) -> dict[str, float]:
        rates = {name: self._quota_rate_of(name) for name in names}
        if all(rate is not None and rate > 0 for rate in rates.values()):
            return rates
        return dict.fromkeys(names, 1.0)

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        factor = math.exp(-elapsed_ms / TIME_CONSTANT_MS)
        kept = {
            name: usage * factor
            for name, usage in self._usage_by_customer.items()
            if usage * factor >= MIN_USAGE
        }
        if len(kept) > MAX_CUSTOMERS:
            largest = sorted(kept, key=kept.__getitem__)[-MAX_CUSTOMERS:]
            kept = {name: kept[name] for name in largest}
        self._usage_by_customer = kept
