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

HEARTBEAT_INTERVAL_MS: Final = 200
"""Pause between reports: the age of what nodes know of each other's work."""

PEERS_PER_ROUND: Final = 12
"""Other nodes told in one round by a node without duties."""

ACTIVE_PEERS_PER_ROUND: Final = 8
"""Other nodes with callers told in one round besides: thirty know each other's work of 0.8 s ago.
Each such report is a kilobyte."""

IDLE_PEERS_PER_ROUND: Final = 4
"""Other nodes told in one round by a node without callers and duties: among 195 each hears it every
ten seconds. It is named to nobody, so nobody waits for it."""

MAX_PEERS_PER_ROUND: Final = 100
"""Other nodes told in one round by a holder, and holders' reports taken from others: 500 datagrams
a second, some 5 % of a core of an entry VM. Beyond it each hears the other in every second round,
every third, and so on."""

SILENT_AFTER_MISSED: Final = 3
"""Reports in a row that must be missing before a node counts as silent: single datagrams are
lost."""


def rounds_per_cycle(peers: int) -> int:
    """Return in how many rounds a node without duties tells all others once.

    >>> rounds_per_cycle(6), rounds_per_cycle(12), rounds_per_cycle(88)
    (1, 1, 8)
    """
    return max(1, math.ceil(peers / PEERS_PER_ROUND))


def active_rounds_per_cycle(active_peers: int) -> int:
    """Return in how many rounds a node with callers tells all others with callers once.

    >>> active_rounds_per_cycle(6), active_rounds_per_cycle(29)
    (1, 4)
    """
    return max(1, math.ceil(active_peers / ACTIVE_PEERS_PER_ROUND))


def idle_rounds_per_cycle(peers: int) -> int:
    """Return in how many rounds a node without callers and duties tells all others once.

    >>> idle_rounds_per_cycle(6), idle_rounds_per_cycle(194)
    (1, 49)
    """
    return 1 if rounds_per_cycle(peers) == 1 else math.ceil(peers / IDLE_PEERS_PER_ROUND)


def holder_rounds_per_cycle(peers: int) -> int:
    """Return in how many rounds a holder tells all others, and they tell it.

    >>> holder_rounds_per_cycle(88), holder_rounds_per_cycle(1_099)
    (1, 11)
    """
    return max(1, math.ceil(peers / MAX_PEERS_PER_ROUND))


def silence_timeout_ms(peers: int, min_ms: int) -> int:
    """Return after how long a node that has no duties counts as silent.

    :param least_ms: in a small fleet.

    >>> silence_timeout_ms(6, 1_200), silence_timeout_ms(88, 1_200)
    (1200, 4800)
    """
    return max(min_ms, SILENT_AFTER_MISSED * rounds_per_cycle(peers) * HEARTBEAT_INTERVAL_MS)


def idle_silence_timeout_ms(peers: int, min_ms: int) -> int:
    """Return after how long a node without callers and duties counts as silent.

    :param least_ms: in a small fleet.

    >>> idle_silence_timeout_ms(6, 1_200), idle_silence_timeout_ms(194, 1_200)
    (1200, 29400)
    """
    return max(min_ms, SILENT_AFTER_MISSED * idle_rounds_per_cycle(peers) * HEARTBEAT_INTERVAL_MS)


def holder_silence_timeout_ms(peers: int, min_ms: int) -> int:
    """Return after how long a holder counts as silent.

    :param least_ms: in a small fleet.
    """
    return max(min_ms, SILENT_AFTER_MISSED * holder_rounds_per_cycle(peers) * HEARTBEAT_INTERVAL_MS)


class HeartbeatRounds:
    """Whom a node tells in each round.

    >>> rounds = HeartbeatRounds("n")
    >>> names = [f"n{i}" for i in range(30)]
    >>> told = [rounds.next_peers(names, {"n3"}, False) for _ in range(3)]
    >>> [len(names) for names in told][0] <= 13, all("n3" in names for names in told)
    (True, True)
    >>> len(set().union(*told)), len(rounds.next_peers(names, set(), True))
    (30, 30)
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._round = 0
        self._peer_order = _PeerOrder(name)
        self._active_peer_order = _PeerOrder(name)

    def next_peers(
        self,
        peers: Collection[str],
        every_round: Collection[str],
        is_holder: bool,
        active_peers: Collection[str] = (),
        is_idle: bool = False,
    ) -> list[str]:
        """Return the nodes to tell now.

        :param fresh: those that must know each time: holders and heirs.
        :param holds: whether this node holds a duty.
        :param active: those that choose by this node's work.
        :param idle: whether this node has no callers and no part in duties.
        """
        self._round += 1
        ring = self._peer_order.ordered(peers)
        if is_holder:
            return _peers_of_round(ring, self._round, holder_rounds_per_cycle(len(ring)))
        if is_idle:
            return _peers_of_round(ring, self._round, idle_rounds_per_cycle(len(ring)))
        told = _peers_of_round(ring, self._round, rounds_per_cycle(len(ring)))
        near = self._active_peer_order.ordered(active_peers)
        soon = _peers_of_round(near, self._round, active_rounds_per_cycle(len(near)))
        told += [other for other in soon if other not in told]
        if self._round % holder_rounds_per_cycle(len(ring)) == 0:
            told += [other for other in ring if other in every_round and other not in told]
        return told


class _PeerOrder:
    """An order of a node's own, so that no other is told by all at once."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: frozenset[str] = frozenset()
        self._ordered: list[str] = []

    def ordered(self, peers: Collection[str]) -> list[str]:
        """Return the order of some nodes."""
        peers = frozenset(peers)
        if peers != self._peers:
            self._peers = peers
            self._ordered = sorted(peers, key=lambda other: weight(self._name, other))
        return self._ordered


def _peers_of_round(ordered: list[str], current_round: int, rounds: int) -> list[str]:
    return ordered[current_round % rounds :: rounds]
