"""Decides whom a node tells in each round of reports, and after how long silence means something.

In a small fleet each node tells all others each time. In a large one that would cost every node
messages in proportion to the fleet: a node tells a slice of the others in turn, and each time those
whose knowledge must be fresh, the holders of duties and their heirs. A holder tells all others each
time, so that its silence is noticed as soon as in a small fleet.

Of a large fleet some nodes have callers: they tell each other sooner, since they choose by each
other's work. The rest tell little more than that they live, and a few others at a time.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

from ..helpers.hashing import weight

EVERY_MS: Final = 200
"""Pause between reports: the age of what nodes know of each other's work."""

PEERS_A_ROUND: Final = 12
"""Other nodes told in one round by a node without duties."""

ACTIVE_PEERS_A_ROUND: Final = 8
"""Other nodes with callers told in one round besides: thirty know each other's work of 0.8 s ago.
Each such report is a kilobyte."""

IDLE_PEERS_A_ROUND: Final = 4
"""Other nodes told in one round by a node without callers and duties: among 195 each hears it every
ten seconds. It is named to nobody, so nobody waits for it."""

MOST_A_ROUND: Final = 100
"""Other nodes told in one round by a holder, and holders' reports taken from others: 500 datagrams
a second, some 5 % of a core of an entry VM. Beyond it each hears the other in every second round,
every third, and so on."""

MISSED: Final = 3
"""Reports in a row that must be missing before a node counts as silent: single datagrams are
lost."""


def turns(others: int) -> int:
    """Return in how many rounds a node without duties tells all others once.

    >>> turns(6), turns(12), turns(88)
    (1, 1, 8)
    """
    return max(1, math.ceil(others / PEERS_A_ROUND))


def active_turns(active: int) -> int:
    """Return in how many rounds a node with callers tells all others with callers once.

    >>> active_turns(6), active_turns(29)
    (1, 4)
    """
    return max(1, math.ceil(active / ACTIVE_PEERS_A_ROUND))


def idle_turns(others: int) -> int:
    """Return in how many rounds a node without callers and duties tells all others once.

    >>> idle_turns(6), idle_turns(194)
    (1, 49)
    """
    return 1 if turns(others) == 1 else math.ceil(others / IDLE_PEERS_A_ROUND)


def holder_turns(others: int) -> int:
    """Return in how many rounds a holder tells all others, and they tell it.

    >>> holder_turns(88), holder_turns(1_099)
    (1, 11)
    """
    return max(1, math.ceil(others / MOST_A_ROUND))


def silence_ms(others: int, least_ms: int) -> int:
    """Return after how long a node that has no duties counts as silent.

    :param least_ms: in a small fleet.

    >>> silence_ms(6, 1_200), silence_ms(88, 1_200)
    (1200, 4800)
    """
    return max(least_ms, MISSED * turns(others) * EVERY_MS)


def idle_silence_ms(others: int, least_ms: int) -> int:
    """Return after how long a node without callers and duties counts as silent.

    :param least_ms: in a small fleet.

    >>> idle_silence_ms(6, 1_200), idle_silence_ms(194, 1_200)
    (1200, 29400)
    """
    return max(least_ms, MISSED * idle_turns(others) * EVERY_MS)


def holder_silence_ms(others: int, least_ms: int) -> int:
    """Return after how long a holder counts as silent.

    :param least_ms: in a small fleet.
    """
    return max(least_ms, MISSED * holder_turns(others) * EVERY_MS)


class Rounds:
    """Whom a node tells in each round.

    >>> rounds = Rounds("n")
    >>> names = [f"n{i}" for i in range(30)]
    >>> told = [rounds.next(names, {"n3"}, False) for _ in range(3)]
    >>> [len(names) for names in told][0] <= 13, all("n3" in names for names in told)
    (True, True)
    >>> len(set().union(*told)), len(rounds.next(names, set(), True))
    (30, 30)
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._count = 0
        self._all = _Ring(name)
        self._active = _Ring(name)

    def next(
        self,
        others: Collection[str],
        fresh: Collection[str],
        holds: bool,
        active: Collection[str] = (),
        idle: bool = False,
    ) -> list[str]:
        """Return the nodes to tell now.

        :param fresh: those that must know each time: holders and heirs.
        :param holds: whether this node holds a duty.
        :param active: those that choose by this node's work.
        :param idle: whether this node has no callers and no part in duties.
        """
        self._count += 1
        ring = self._all.of(others)
        if holds:
            return _slice(ring, self._count, holder_turns(len(ring)))
        if idle:
            return _slice(ring, self._count, idle_turns(len(ring)))
        told = _slice(ring, self._count, turns(len(ring)))
        near = self._active.of(active)
        soon = _slice(near, self._count, active_turns(len(near)))
        told += [other for other in soon if other not in told]
        if self._count % holder_turns(len(ring)) == 0:
            told += [other for other in ring if other in fresh and other not in told]
        return told


class _Ring:
    """An order of a node's own, so that no other is told by all at once."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._others: frozenset[str] = frozenset()
        self._ring: list[str] = []

    def of(self, others: Collection[str]) -> list[str]:
        """Return the order of some nodes."""
        others = frozenset(others)
        if others != self._others:
            self._others = others
            self._ring = sorted(others, key=lambda other: weight(self._name, other))
        return self._ring


def _slice(ring: list[str], count: int, parts: int) -> list[str]:
    return ring[count % parts :: parts]
