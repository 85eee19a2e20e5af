"""Keeps the sum of what other nodes have in progress at each server.

The load that it is made for: a holder of a duty before 89 nodes needs the sum for each of some
hundred questions a second, and for each plan.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork


@attrs.frozen(slots=True)
class _NodeWork:
    """What one node told last, and when."""

    received_ms: int
    work_by_server: Mapping[ServerLife, ServerWork]


class WorkTotals:
    """A running total: a report's predecessor is taken off, and the report is added.

    Added up anew for each question, the reports of 89 nodes took a seventh of a core at 280
    questions a second.

    >>> total = WorkTotals()
    >>> total.replace("a", {ServerLife("i-1"): ServerWork(2, 90)}, received_ms=0)
    >>> total.replace("b", {ServerLife("i-1"): ServerWork(1, 10)}, received_ms=5)
    >>> total.replace("b", {ServerLife("i-1"): ServerWork(3, 20)}, received_ms=9)
    >>> total.by_server["i-1"].requests, total.by_server["i-1"].pending_prefill_tokens
    (5, 110)
    >>> total.drop_before(6)
    >>> total.by_server["i-1"].requests
    3
    """

    def __init__(self) -> None:
        self.by_server: dict[ServerLife, ServerWork] = {}
        self._work_by_node: OrderedDict[str, _NodeWork] = OrderedDict()

    def replace(
        self, node: str, work_by_server: Mapping[ServerLife, ServerWork], received_ms: int
    ) -> None:
        """Take what a node has in progress now, in place of what it told before.

        :param work_by_server: isn't changed afterwards: it is what will be taken off.
        :param at_ms: when it was heard; not before any time given earlier.
        """
        self.drop(node)
        self._work_by_node[node] = _NodeWork(received_ms, work_by_server)
        for life, work in work_by_server.items():
            total = self.by_server.get(life)
            if total is None:
                total = self.by_server[life] = ServerWork()
            total.add(work)

    def apply_delta(
        self, node: str, work_by_server: Mapping[ServerLife, ServerWork], received_ms: int
    ) -> Mapping[ServerLife, ServerWork]:
        """Take what has changed of a node's work; return all of it.

        :param work_by_server: at the servers where it has changed, whole.

        >>> total = WorkTotals()
        >>> total.replace("a", {"i-1": ServerWork(2), "i-2": ServerWork(1)}, received_ms=0)
        >>> delta = {"i-1": ServerWork(5), "i-2": ServerWork()}
        >>> sorted(total.apply_delta("a", delta, received_ms=3))
        ['i-1']
        >>> total.by_server["i-1"].requests, "i-2" in total.by_server
        (5, False)
        """
        share = self._work_by_node.pop(node, None)
        whole = dict(share.work_by_server) if share is not None else {}
        for life, work in work_by_server.items():
            self._replace_at_server(life, whole.pop(life, None), work)
            if not work.is_empty():
                whole[life] = work
        self._work_by_node[node] = _NodeWork(received_ms, whole)
        return whole

    def _replace_at_server(
        self, life: ServerLife, previous: ServerWork | None, work: ServerWork
    ) -> None:
        total = self.by_server.setdefault(life, ServerWork())
        if previous is not None:
            total.subtract(previous)
        total.add(work)
        if total.is_empty():
            del self.by_server[life]

    def drop(self, node: str) -> None:
        """Count a node no longer."""
        share = self._work_by_node.pop(node, None)
        if share is None:
            return
        for life, work in share.work_by_server.items():
            total = self.by_server.get(life)
            if total is None:
                # A share without any work: nothing was left to keep a total for.
                continue
            total.subtract(work)
            if total.is_empty():
                del self.by_server[life]

    def drop_before(self, at_ms: int) -> None:
        """Count no longer who was last heard before a time."""
        while self._work_by_node:
            node, share = next(iter(self._work_by_node.items()))
            if share.received_ms >= at_ms:
                return
            self.drop(node)
