"""Keeps what all nodes announce of their customers' usage of the runners."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..core.clock import Clock
from ..fleet.models import Heartbeat
from ..logs import events, log
from ..placement.fair_share import FairShares
from ..placement.usage_reports import UsageReports
from ..routing.customer_usage import CustomerUsage

_LOGGER = logging.getLogger(__name__)


class CustomerShares:
    """The usage of each customer, at every node: a new lease holder needs it at once.

    :param name: of this node.
    :param boot: of this node's process.
    :param own_usage: the usage of this node's requests.
    :param quota_rate_of: returns the rate of a customer's quota; ``None`` without a quota.
    :param is_customer: tells whether the configuration has a customer. A name that only a peer
        knows would change the shares of all others.
    """

    def __init__(
        self,
        name: str,
        boot: str,
        own_usage: CustomerUsage,
        clock: Clock,
        quota_rate_of: Callable[[str], float | None],
        is_customer: Callable[[str], bool] = lambda _name: True,
    ) -> None:
        self._name = name
        self._boot = boot
        self._own_usage = own_usage
        self._clock = clock
        self._is_customer = is_customer
        self._reports = UsageReports()
        self._logged_nodes: set[str] = set()
        self.fair_shares = FairShares(quota_rate_of)
        self._reports.apply(name, boot, {}, clock.now_ms())

    def own_totals_ms(self) -> dict[str, int]:
        """Return the totals of this node, to be announced, and count them here as well."""
        totals_ms = self._own_usage.totals_ms(self._clock.now_ms())
        self._apply(self._name, self._boot, totals_ms)
        return totals_ms

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Count what a peer announces."""
        self._apply(heartbeat.name, heartbeat.boot, heartbeat.runner_ms_by_customer)

    def _apply(self, node: str, boot: str, totals_ms: object) -> None:
        now_ms = self._clock.now_ms()
        reported_ms = self._reports.apply(node, boot, totals_ms, now_ms)
        usage_ms = {name: ms for name, ms in reported_ms.items() if self._is_customer(name)}
        if usage_ms:
            self.fair_shares.record_usage(usage_ms, now_ms)
        if self._reports.is_faulty(node) and node not in self._logged_nodes:
            self._logged_nodes.add(node)
            log(_LOGGER, events.UnusableCustomerUsage(peer=node))
