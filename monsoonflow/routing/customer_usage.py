"""Measures for how long this node's requests have been at model runners, by customer.

The totals are announced to peers, which derive each customer's recent use of the runners.
"""

from __future__ import annotations

from typing import Final

import attrs

MAX_ANNOUNCED_CUSTOMERS: Final = 64
"""About 2 KB of a heartbeat; customers beyond that have no request in progress at most nodes."""

MAX_CUSTOMERS: Final = 1_024
"""Customers whose totals are kept. A total that starts again at 0 is recognised by peers."""


@attrs.define(slots=True)
class _Usage:
    """A customer's usage: ``total_ms`` up to ``updated_ms``, and requests in progress since."""

    total_ms: int = 0
    requests: int = 0
    updated_ms: int = 0

    def update(self, now_ms: int) -> None:
        """Add the time of the requests in progress."""
        self.total_ms += self.requests * max(0, now_ms - self.updated_ms)
        self.updated_ms = now_ms


class CustomerUsage:
    """The time that requests have spent at runners, by customer.

    >>> usage = CustomerUsage()
    >>> usage.begin("alpha", 1_000)
    >>> usage.begin("alpha", 1_200)
    >>> usage.end("alpha", 1_300)
    >>> usage.totals_ms(1_500)
    {'alpha': 600}
    """

    def __init__(self) -> None:
        self._usage_by_customer: dict[str, _Usage] = {}

    def begin(self, customer: str, now_ms: int) -> None:
        """Record that a request is sent to a runner."""
        usage = self._usage_by_customer.get(customer)
        if usage is None:
            self._forget_oldest()
            usage = self._usage_by_customer[customer] = _Usage(updated_ms=now_ms)
        usage.update(now_ms)
        usage.requests += 1

    def end(self, customer: str, now_ms: int) -> None:
        """Record that a request has ended at its runner."""
        usage = self._usage_by_customer.get(customer)
        if usage is not None:
            usage.update(now_ms)
            usage.requests = max(0, usage.requests - 1)

    def totals_ms(self, now_ms: int) -> dict[str, int]:
        """Return the total by customer; if there are too many, of those with the most requests.

        Among customers without requests in progress the last ones that had any come first.
        """
        usages = self._usage_by_customer
        for usage in usages.values():
            if usage.requests:
                usage.update(now_ms)
        names = list(usages)
        if len(names) > MAX_ANNOUNCED_CUSTOMERS:
            names.sort(key=lambda name: (usages[name].requests, usages[name].updated_ms))
            names = names[-MAX_ANNOUNCED_CUSTOMERS:]
        return {name: usages[name].total_ms for name in names}

    def _forget_oldest(self) -> None:
        if len(self._usage_by_customer) < MAX_CUSTOMERS:
            return
        idle = [
            (usage.updated_ms, name)
            for name, usage in self._usage_by_customer.items()
            if not usage.requests
        ]
        if idle:
            del self._usage_by_customer[min(idle)[1]]
