"""Tells whether callers of nodes that are partitioned from all servers were served worse.

Only what callers got decides. Nodes that were harmed in another way do not count.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Final

import attrs

from .const import CONTACT_MS
from .processes import Record

MIN_SHARE: Final = 2 / 3
"""How much of what the other nodes serve a partitioned one must serve at least."""

SLACK: Final = 10
SLACK_SHARE: Final = 1 / 50
"""So many failed requests at partitioned nodes, and this share of all, are tolerated."""


@attrs.frozen(slots=True)
class Partition:
    """A time in which a node reached no server."""

    node: str
    from_ms: int
    until_ms: int


@attrs.define(slots=True)
class _Count:
    sent: int = 0
    served: int = 0

    def add(self, is_served: bool) -> None:
        self.sent += 1
        self.served += is_served


def worse_served(
    callers: Iterable[Record],
    partitions: Iterable[Partition],
    all_nodes: Collection[str],
    node_of: Callable[[str], str],
    is_excused: Callable[[str, int], bool],
) -> list[str]:
    """Return a line for each partition in which callers of its nodes were served far worse.

    While all other nodes are disturbed, no peer may reach a server, so nothing is asked of a
    partitioned one.

    :param node_of: returns the node that has an address.
    :param is_excused: whether a node does not count at a time, for another reason.
    """
    ended = [record for record in callers if record.event == "ended"]
    by_time: dict[tuple[int, int], set[str]] = {}
    for partition in partitions:
        by_time.setdefault((partition.from_ms, partition.until_ms), set()).add(partition.node)
    found = []
    for (from_ms, until_ms), nodes in sorted(by_time.items()):
        cut, others = _Count(), _Count()
        for record in ended:
            sent_ms = record.at_ms - record.fields["took_ms"]
            node = node_of(record.fields["node"])
            if not from_ms + CONTACT_MS <= sent_ms < until_ms or is_excused(node, sent_ms):
                continue
            if all(is_excused(peer, sent_ms) for peer in all_nodes if peer not in nodes):
                continue
            (cut if node in nodes else others).add(record.fields["status"] == 200)
        if _is_worse(cut, others):
            found.append(
                f"{', '.join(sorted(nodes))} without servers until {until_ms} served {cut.served} "
                f"of {cut.sent}, the others {others.served} of {others.sent}"
            )
    return found


def _is_worse(cut: _Count, others: _Count) -> bool:
    if not cut.sent or not others.sent:
        return False
    share, others_share = cut.served / cut.sent, others.served / others.sent
    failed = cut.sent - cut.served
    tolerated = SLACK + SLACK_SHARE * (cut.sent + others.sent)
    return share < MIN_SHARE * others_share and failed > tolerated
