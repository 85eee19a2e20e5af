"""Selects the few nodes of a large fleet whose addresses are given to callers of a data centre.

If some hundred nodes shared all callers, each would get only two or three requests a second. Each
node would open connections to each server and hardly use one twice, receive heartbeats of its peers
too rarely to base placement on them, and the traffic of callers would cross data centres. A few
nodes near the caller handle enough requests to know the load, and more are advertised before these
are busy.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

import attrs

from ..helpers.hashing import weight
from ..ownership.cell_lease import machine_class

MAX_NODES_TO_ADVERTISE_ALL: Final = 16
"""Up to this size of a fleet, all nodes are advertised: each receives heartbeats of all peers
within two rounds."""

MIN_ADVERTISED: Final = 6
"""Minimum number of nodes advertised for a data centre. If half of a fleet fails at once, all six
fail in one of 64 cases, and callers request the addresses again within seconds."""

MIN_ADVERTISED_SHARE: Final = 0.1
"""Minimum share of a data centre's nodes that is advertised."""

DOUBLING_LAG_MS: Final = 20.0
"""Event loop delay at which twice as many nodes are advertised. An event of a stream passes two
event loops, and a caller does not yet notice a gap of twice this delay."""

MAX_LAG_FACTOR: Final = 4.0
"""Maximum factor by which delays increase the number of nodes: higher delays have another cause."""

SLOW_LAG_MS: Final = 80.0
"""A node with at least this event loop delay is advertised only after all others."""


@attrs.frozen(slots=True)
class CandidateNode:
    """A node that could accept callers.

    :param cores: processor time available to it, in seconds of one typical core per second.
    :param lag_ms: delay of its event loop.
    :param is_lease_holder: whether it holds a cell lease, whose work needs its processor.
    :param lost_services: number of services of which it reaches no server.
    """

    name: str
    data_centre: str
    address: str
    cores: float = 1.0
    lag_ms: float = 0.0
    is_lease_holder: bool = False
    lost_services: int = 0


def advertised_nodes(
    candidates: Collection[CandidateNode], data_centre: str
) -> list[CandidateNode]:
    """Return the nodes that callers of a data centre should use, best first.

    Nodes with nearly the same information select nearly the same nodes, and a node that departs or
    is added changes only its own position. If a data centre has too few nodes, nodes of others are
    added.

    >>> nodes = [CandidateNode(f"n{i}", "a" if i % 2 else "b", f"1.1.1.{i}:1") for i in range(60)]
    >>> [(len(found), {c.data_centre for c in found}) for found in [advertised_nodes(nodes, "a")]]
    [(6, {'a'})]
    >>> len(advertised_nodes(nodes[:7], "a"))
    7
    """
    if len(candidates) <= MAX_NODES_TO_ADVERTISE_ALL:
        return list(candidates)
    near = _sorted_by_preference(
        [c for c in candidates if c.data_centre == data_centre], data_centre
    )
    count = _advertised_count(near)
    if len(near) >= count:
        return near[:count]
    far = _sorted_by_preference(
        [c for c in candidates if c.data_centre != data_centre], data_centre
    )
    return near + far[: count - len(near)]


def _sorted_by_preference(candidates: list[CandidateNode], key: str) -> list[CandidateNode]:
    return sorted(
        candidates,
        key=lambda c: (
            c.lag_ms >= SLOW_LAG_MS,
            c.is_lease_holder,
            -machine_class(c.cores),
            -weight(key, c.name),
        ),
    )


def _advertised_count(near: list[CandidateNode]) -> int:
    """Return how many nodes to advertise, given how busy the first of them are."""
    min_count = max(MIN_ADVERTISED, math.ceil(len(near) * MIN_ADVERTISED_SHARE))
    first = near[:min_count]
    lag_ms = sum(c.lag_ms for c in first) / len(first) if first else 0.0
    return math.ceil(min_count * min(MAX_LAG_FACTOR, 1.0 + lag_ms / DOUBLING_LAG_MS))
