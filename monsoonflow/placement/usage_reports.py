"""Derives from the totals that nodes announce what customers have used of the runners since."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from ..routing.customer_usage import MAX_ANNOUNCED_CUSTOMERS

MAX_CUSTOMER_NAME: Final = 200
"""Longest name of a customer in a message, in characters."""

MAX_REQUESTS_PER_NODE: Final = 4_096
"""More requests than all runners of a cell process for one node; usage beyond it is impossible."""

REPORT_MARGIN_MS: Final = 1_000
"""Heartbeats may be delayed, so the time between two receipts may be shorter than between their
totals."""

MAX_REPORT_GAP_MS: Final = 5_000
"""Usage over a longer gap between two reports is not counted: it would count as if it were used
just now, while most of it has decayed."""

MAX_TOTAL_MS: Final = 1 << 53
"""Totals up to this value are exact in all JSON parsers."""


@attrs.define(slots=True)
class _Report:
    boot: str
    totals_ms: dict[str, int]
    received_ms: int
    is_complete: bool


def valid_customer(value: object) -> str | None:
    """Return the customer that a message names; ``None`` if it names none or an invalid one."""
    is_valid = isinstance(value, str) and 0 < len(value) <= MAX_CUSTOMER_NAME
    return value if is_valid else None


class UsageReports:
    """The last totals of each node.

    >>> reports = UsageReports()
    >>> reports.apply("n1", "boot", {"alpha": 70_000}, 0)
    {}
    >>> reports.apply("n1", "boot", {"alpha": 70_300, "beta": 50}, 200)
    {'alpha': 300, 'beta': 50}

    A restarted node counts from zero.

    >>> reports.apply("n1", "next boot", {"alpha": 100}, 400)
    {'alpha': 100}
    """

    def __init__(self) -> None:
        self._report_by_node: dict[str, _Report] = {}
        self._faulty_nodes: set[str] = set()

    def apply(self, node: str, boot: str, totals_ms: object, now_ms: int) -> dict[str, int]:
        """Return the usage by customer since the node's last report, in milliseconds.

        The first report of a node only shows from where its totals count.

        :param totals_ms: as received from the node; invalid values are left out. ``None`` if the
            node announced none, as a node of an earlier release.
        """
        previous = self._report_by_node.get(node)
        if totals_ms is None:
            return {}
        if previous is not None and boot == previous.boot and totals_ms == previous.totals_ms:
            previous.received_ms = now_ms
            return {}
        valid = _valid_totals(totals_ms)
        if valid is None:
            self._faulty_nodes.add(node)
            return {}
        if len(valid) != len(totals_ms):
            self._faulty_nodes.add(node)
        self._report_by_node[node] = _Report(
            boot, valid, now_ms, len(totals_ms) < MAX_ANNOUNCED_CUSTOMERS
        )
        if previous is None or now_ms - previous.received_ms > MAX_REPORT_GAP_MS:
            return {}
        usage_ms = _difference(previous, boot, valid)
        max_ms = MAX_REQUESTS_PER_NODE * (now_ms - previous.received_ms + REPORT_MARGIN_MS)
        possible = {name: used_ms for name, used_ms in usage_ms.items() if used_ms <= max_ms}
        if len(possible) != len(usage_ms):
            self._faulty_nodes.add(node)
        return {name: used_ms for name, used_ms in possible.items() if used_ms}

    def is_faulty(self, node: str) -> bool:
        """Return whether a node has announced an invalid or impossible value."""
        return node in self._faulty_nodes


def _valid_totals(totals_ms: object) -> dict[str, int] | None:
    if not isinstance(totals_ms, Mapping) or len(totals_ms) > MAX_ANNOUNCED_CUSTOMERS:
        return None
    return {
        name: total
        for name, total in totals_ms.items()
        if valid_customer(name) is not None
        and isinstance(total, int)
        and not isinstance(total, bool)
        and 0 <= total <= MAX_TOTAL_MS
    }


def _difference(previous: _Report, boot: str, totals_ms: dict[str, int]) -> dict[str, int]:
    if boot != previous.boot:
        return totals_ms
    usage_ms = {}
    for name, total in totals_ms.items():
        before = previous.totals_ms.get(name)
        if before is None:
            # A customer that was left out of the last report may have any earlier usage.
            before = 0 if previous.is_complete else total
        usage_ms[name] = total - before if total >= before else total
    return usage_ms
