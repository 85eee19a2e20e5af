"""Chooses the few nodes of a large fleet that take the callers of a data centre.

The load that it is made for: some hundred nodes, each of which would get two or three requests a
second. Each then opens connections to each server and hardly uses one twice, is told of all others'
work too seldom to place anything by it, and callers' bytes cross data centres. A few nodes near
the caller see enough of the load to know it, and grow in number before they are busy.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

import attrs

from ..helpers.hashing import weight
from ..ownership.cell_lease import machine_class

MAX_NODES_TO_ADVERTISE_ALL: Final = 16
"""A fleet of so many nodes names them all: each hears all others in two rounds at most."""

MIN_ADVERTISED: Final = 6
"""Nodes named for a data centre at least: half of a fleet lost at once leaves none of six in one of
64 cases, and callers ask anew within seconds."""

MIN_ADVERTISED_SHARE: Final = 0.1
"""Share of a data centre's nodes that is named at least."""

DOUBLING_LAG_MS: Final = 20.0
"""With this delay of their loops twice as many nodes are named: an event of a stream passes two
loops, and that much of a pause is not yet seen by a caller."""

MAX_LAG_FACTOR: Final = 4.0
"""By how much the number named grows with delays: beyond it delays come from elsewhere."""

SLOW_LAG_MS: Final = 80.0
"""A node whose loop is so much delayed is named after all others."""


@attrs.frozen(slots=True)
class CandidateNode:
    """A node that could take callers.

    :param cores: how much processor time it has, in seconds of one usual core a second.
    :param lag_ms: how late its loop runs what is due.
    :param holds: whether it holds a duty, which needs its processor.
    """

    name: str
    data_centre: str
    address: str
    cores: float = 1.0
    lag_ms: float = 0.0
    is_lease_holder: bool = False


def advertised_nodes(
    candidates: Collection[CandidateNode], data_centre: str
) -> list[CandidateNode]:
    """Return the nodes that the callers of a data centre should use, best first.

    Nodes that hear nearly the same choose nearly the same, and a node lost or gained moves only its
    own place. Where a data centre has too few nodes left, those of others fill up.

    >>> few = [CandidateNode(f"n{i}", "a" if i % 2 else "b", f"1.1.1.{i}:1") for i in range(60)]
    >>> [(len(found), {c.data_centre for c in found}) for found in [advertised_nodes(few, "a")]]
    [(6, {'a'})]
    >>> len(advertised_nodes(few[:7], "a"))
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
    """Return how many nodes to name, by how busy the first of them are."""
    least = max(MIN_ADVERTISED, math.ceil(len(near) * MIN_ADVERTISED_SHARE))
    first = near[:least]
    lag_ms = sum(c.lag_ms for c in first) / len(first) if first else 0.0
    return math.ceil(least * min(MAX_LAG_FACTOR, 1.0 + lag_ms / DOUBLING_LAG_MS))
