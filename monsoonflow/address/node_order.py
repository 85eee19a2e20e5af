"""Orders the nodes that a caller should try."""

from __future__ import annotations

import attrs

from ..helpers.hashing import rank


@attrs.frozen(slots=True)
class NodeAddress:
    """The address of a node for callers.

    :param http: address for HTTP requests.
    :param incarnation: the run of the node's process that has this address.
    """

    node: str
    http: str
    incarnation: str


def order_nodes(
    serving: list[NodeAddress], preferred_incarnation: str | None, key: str
) -> list[NodeAddress]:
    """Return the nodes to try, best first.

    :param preferred_incarnation: the owner of the runner that would serve the request; it is first.
    :param key: distributes callers over the other nodes.
    """
    by_incarnation = {address.incarnation: address for address in serving}
    order = rank(key, by_incarnation)
    if preferred_incarnation in by_incarnation:
        order.remove(preferred_incarnation)
        order.insert(0, preferred_incarnation)
    return [by_incarnation[incarnation] for incarnation in order]
