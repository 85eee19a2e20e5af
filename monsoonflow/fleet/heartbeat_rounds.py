"""Decides to which peers a node sends a heartbeat in each round, and when a peer counts as silent.

In a small fleet each node sends to all peers in each round. In a large fleet the number of messages
of a node would grow with the fleet, so it sends to a part of its peers in turn. In addition it
sends in each round to the peers that need fresh heartbeats: the holders of cell leases and their
standbys. A holder sends to all peers in each round, so that its silence is noticed as soon as in a
small fleet.

In a large fleet only some nodes have callers. These send to each other more often, since they
choose servers by each other's work. The other nodes announce little more than that they are alive,
to a few peers in each round.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

from ..helpers.hashing import weight

HEARTBEAT_INTERVAL_MS: Final = 200
"""The pause between two rounds, and so the age of what nodes know of each other's work."""

PEERS_PER_ROUND: Final = 12
"""Peers to which a node that holds no cell lease sends in one round."""

ACTIVE_PEERS_PER_ROUND: Final = 8
"""Additional peers with callers to which a node with callers sends in one round. Among thirty such
nodes each knows the others' work of 0.8 s ago. Each of these heartbeats is about 1 kB."""

IDLE_PEERS_PER_ROUND: Final = 4
"""Peers to which a node without callers and without a part in a cell lease sends in one round.
Among 195 nodes each peer receives its heartbeat every ten seconds. That is enough, because such a
node is not advertised to callers."""

MAX_PEERS_PER_ROUND: Final = 100
"""Peers to which a lease holder sends in one round, and from which it receives: 500 datagrams a
second, about 5 % of a core of an entry VM. With more peers, a holder and a peer exchange heartbeats
in every second round only, then in every third, and so on."""

SILENT_AFTER_MISSED: Final = 3
"""How many consecutive heartbeats must be missing before a node counts as silent. Single datagrams
do get lost."""


def rounds_per_cycle(peers: int) -> int:
    """Return in how many rounds a node without a cell lease sends to each peer once.

    >>> rounds_per_cycle(6), rounds_per_cycle(12), rounds_per_cycle(88)
    (1, 1, 8)
    """
    return max(1, math.ceil(peers / PEERS_PER_ROUND))


def active_rounds_per_cycle(active_peers: int) -> int:
    """Return in how many rounds a node with callers sends to each peer with callers once.

    >>> active_rounds_per_cycle(6), active_rounds_per_cycle(29)
    (1, 4)
    """
    return max(1, math.ceil(active_peers / ACTIVE_PEERS_PER_ROUND))


def idle_rounds_per_cycle(peers: int) -> int:
    """Return in how many rounds an idle node sends to each peer once.

    A node is idle when it has no callers and no part in a cell lease.

    >>> idle_rounds_per_cycle(6), idle_rounds_per_cycle(194)
    (1, 49)
    """
    return 1 if rounds_per_cycle(peers) == 1 else math.ceil(peers / IDLE_PEERS_PER_ROUND)


def holder_rounds_per_cycle(peers: int) -> int:
    """Return in how many rounds a lease holder and each peer exchange heartbeats once.

    >>> holder_rounds_per_cycle(88), holder_rounds_per_cycle(1_099)
    (1, 11)
    """
    return max(1, math.ceil(peers / MAX_PEERS_PER_ROUND))


def silence_timeout_ms(peers: int, min_ms: int) -> int:
    """Return after how long a node that holds no cell lease counts as silent.

    :param min_ms: the timeout in a small fleet.

    >>> silence_timeout_ms(6, 1_200), silence_timeout_ms(88, 1_200)
    (1200, 4800)
    """
    return max(min_ms, SILENT_AFTER_MISSED * rounds_per_cycle(peers) * HEARTBEAT_INTERVAL_MS)


def idle_silence_timeout_ms(peers: int, min_ms: int) -> int:
    """Return after how long an idle node counts as silent.

    :param min_ms: the timeout in a small fleet.

    >>> idle_silence_timeout_ms(6, 1_200), idle_silence_timeout_ms(194, 1_200)
    (1200, 29400)
    """
    return max(min_ms, SILENT_AFTER_MISSED * idle_rounds_per_cycle(peers) * HEARTBEAT_INTERVAL_MS)


def holder_silence_timeout_ms(peers: int, min_ms: int) -> int:
    """Return after how long a lease holder counts as silent.

    :param min_ms: the timeout in a small fleet.
    """
    return max(min_ms, SILENT_AFTER_MISSED * holder_rounds_per_cycle(peers) * HEARTBEAT_INTERVAL_MS)


class HeartbeatRounds:
    """Selects the peers to which a node sends a heartbeat in each round.

    :param name: of this node.

    >>> rounds = HeartbeatRounds("n")
    >>> names = [f"n{i}" for i in range(30)]
    >>> recipients = [rounds.next_peers(names, {"n3"}, False) for _ in range(3)]
    >>> len(recipients[0]) <= 13, all("n3" in chosen for chosen in recipients)
    (True, True)
    >>> len(set().union(*recipients)), len(rounds.next_peers(names, set(), True))
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
        """Return the peers to which a heartbeat is sent now.

        :param every_round: those that need a heartbeat in each round: lease holders and standbys.
        :param is_holder: whether this node holds a cell lease.
        :param active_peers: those that choose servers by this node's work.
        :param is_idle: whether this node has no callers and no part in a cell lease.
        """
        self._round += 1
        ordered = self._peer_order.ordered(peers)
        if is_holder:
            return _peers_of_round(ordered, self._round, holder_rounds_per_cycle(len(ordered)))
        if is_idle:
            return _peers_of_round(ordered, self._round, idle_rounds_per_cycle(len(ordered)))
        recipients = _peers_of_round(ordered, self._round, rounds_per_cycle(len(ordered)))
        active = self._active_peer_order.ordered(active_peers)
        active_now = _peers_of_round(active, self._round, active_rounds_per_cycle(len(active)))
        recipients += [peer for peer in active_now if peer not in recipients]
        if self._round % holder_rounds_per_cycle(len(ordered)) == 0:
            recipients += [
                peer for peer in ordered if peer in every_round and peer not in recipients
            ]
        return recipients


class _PeerOrder:
    """Orders peers differently for each node, so that not all nodes send to one peer at once."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: frozenset[str] = frozenset()
        self._ordered: list[str] = []

    def ordered(self, peers: Collection[str]) -> list[str]:
        """Return peers in this node's order."""
        peers = frozenset(peers)
        if peers != self._peers:
            self._peers = peers
            self._ordered = sorted(peers, key=lambda peer: weight(self._name, peer))
        return self._ordered


def _peers_of_round(ordered: list[str], current_round: int, rounds: int) -> list[str]:
    return ordered[current_round % rounds :: rounds]
