"""Chooses the node that a caller should use."""

from __future__ import annotations

import attrs

from ..helpers.hashing import rank


@attrs.frozen(slots=True)
class NodeAddress:
    """A node as callers see it."""

    node: str
    http: str
    incarnation: str


def order_nodes(
    serving: list[NodeAddress], preferred_incarnation: str | None, key: str
) -> list[NodeAddress]:
    """Return the nodes to try, best first.

    :param preferred_incarnation: the owner of the runner that would serve the request.
    :param key: spreads callers over the other nodes.
    """
    by_incarnation = {address.incarnation: address for address in serving}
    order = rank(key, by_incarnation)
    if preferred_incarnation in by_incarnation:
        order.remove(preferred_incarnation)
        order.insert(0, preferred_incarnation)
    return [by_incarnation[incarnation] for incarnation in order]
