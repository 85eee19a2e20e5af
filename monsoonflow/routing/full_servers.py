"""Keeps requests away from brittle servers that have no room.

A brittle server falls over if it has to reject more than a few requests in a second, whichever
nodes they come from. So all nodes stay away from it for a while after a rejection, and then come
back one after the other, with fewer requests than it had when it rejected one.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Collection
from typing import Final

import attrs

from ..core.server_life import ServerLife

WINDOW_MS: Final = 1_000
"""A server counts its rejections in this time."""

PAUSE_MS: Final = (60, 260)
"""Shortest and longest time without requests after a rejection. Nodes choose a random time, so that
the next rejection reaches the others before they return."""

RETURN_SPREAD_MS: Final = 300
"""Nodes return within this time to a server that would fall over with a few more rejections."""

CLOSED_SHARE: Final = 0.5
"""Share of the rejections that a server withstands after which it gets no request until one of them
is forgotten: other nodes may have sent requests that it is about to reject."""

ROOM_RECOVERY_MS: Final = 400
"""After this time without a rejection, a server gets one more request at a time."""

SAME_REJECTION_MS: Final = 40
"""A rejection is announced several times, each time with an age that is a little too low."""

CONTENDED_MS: Final = 3_000
"""For this long after a rejection, nodes take turns at the free slots of a server."""

TURN_MS: Final = 40
"""Length of a turn: within it the other nodes hear of the requests that were sent."""

RETENTION_MS: Final = 10_000
"""How long a rejection is remembered."""


@attrs.frozen(slots=True)
class Rejection:
    """A rejection by a brittle server for want of room.

    :param at_ms: when it was received, here or by a peer.
    :param requests: requests of all nodes that the server had, as far as the rejected node knew.
    :param source: the peer that announced it; ``None`` if this node received it.
    """

    at_ms: int
    requests: int
    source: str | None = None


@attrs.define(slots=True)
class _ServerRoom:
    """What is known of the room at one server.

    :param tolerated_per_s: rejections in a second that it withstands; ``None`` if it is not
        brittle, or only peers have heard that it is.
    :param known_from_ms: since when that is known.
    :param rejections: the recent rejections by all nodes.
    :param max_requests: requests of all nodes that it had room for; ``None`` without a rejection.
    :param open_from_ms: when this node may send to it again.
    :param used_turn: the last turn in which this node has sent to it.
    """

    tolerated_per_s: float | None = None
    known_from_ms: int = 0
    rejections: list[Rejection] = attrs.Factory(list)
    max_requests: int | None = None
    open_from_ms: int = 0
    used_turn: int = -1


class FullServers:
    """The brittle servers, by life, and which of them have no room.

    >>> servers = FullServers(random.Random(1))
    >>> servers.record_brittle("i-1", 3.0, 0, 0)
    >>> servers.has_room("i-1", 5, 6, 0), servers.has_room("i-1", 6, 6, 0)
    (True, False)
    >>> servers.record_rejection("i-1", Rejection(0, 4))
    True
    >>> [servers.has_room("i-1", 2, 6, at_ms) for at_ms in (50, 300)]
    [False, True]
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._room_by_life: dict[ServerLife, _ServerRoom] = {}

    def record_brittle(
        self, life: ServerLife, tolerated_per_s: float | None, sent_ms: int, now_ms: int
    ) -> None:
        """Record whether an answer says that its server is brittle.

        :param tolerated_per_s: ``None`` if it says nothing.
        :param sent_ms: when the request was sent. An answer to an earlier request proves nothing
            about a server that has said since then that it is brittle.
        """
        room = self._room_by_life.get(life)
        if tolerated_per_s is not None:
            if room is None:
                room = self._room_by_life[life] = _ServerRoom()
            room.tolerated_per_s, room.known_from_ms = tolerated_per_s, now_ms
        elif room is not None and sent_ms >= room.known_from_ms:
            del self._room_by_life[life]

    def record_rejection(self, life: ServerLife, rejection: Rejection) -> bool:
        """Record that a server has rejected a request; return whether this was not known yet."""
        room = self._room_by_life.setdefault(life, _ServerRoom())
        room.rejections = [
            known for known in room.rejections if rejection.at_ms - known.at_ms < WINDOW_MS
        ]
        if any(
            known.source == rejection.source
            and rejection.at_ms - known.at_ms < SAME_REJECTION_MS
            and rejection.source is not None
            for known in room.rejections
        ):
            return False
        # A single rejection may come from two nodes that took the last slot at the same time.
        if room.rejections:
            room.max_requests = max(1, rejection.requests - 1)
        room.rejections.append(rejection)
        tolerated = int(CLOSED_SHARE * (room.tolerated_per_s or 0.0))
        open_from_ms = rejection.at_ms + self._rng.randrange(*PAUSE_MS)
        if len(room.rejections) > tolerated:
            forgotten_ms = room.rejections[-tolerated - 1].at_ms + WINDOW_MS
            open_from_ms = max(open_from_ms, forgotten_ms + self._rng.randrange(RETURN_SPREAD_MS))
        room.open_from_ms = max(room.open_from_ms, open_from_ms)
        return True

    def is_brittle(self, life: ServerLife) -> bool:
        """Return whether a server says that it is brittle, or has rejected a node's request."""
        return life in self._room_by_life

    def has_room(self, life: ServerLife, requests: int, slots: int, now_ms: int) -> bool:
        """Return whether a server takes one more request now.

        :param requests: requests of all nodes that it has, as far as this node knows.
        :param slots: requests that it processes at once.
        """
        room = self._room_by_life.get(life)
        if room is None:
            return True
        if now_ms < room.open_from_ms:
            return False
        return requests < self._max_requests(room, slots, now_ms)

    def has_turn(
        self,
        life: ServerLife,
        free: int,
        nodes: Collection[str],
        name: str,
        now_ms: int,
        wall_ms: int,
    ) -> bool:
        """Return whether this node may take one of the free slots of a contended server now.

        Nodes that see a slot become free at the same time would all send a request.

        :param free: the free slots.
        :param nodes: the nodes with callers, this one included.
        :param wall_ms: the time of day, which tells all nodes whose turn it is.
        """
        room = self._room_by_life.get(life)
        if room is None or not room.rejections or free >= len(nodes):
            return True
        if now_ms - room.rejections[-1].at_ms >= CONTENDED_MS:
            return True
        turn = wall_ms // TURN_MS
        first = (zlib.crc32(life.encode()) + turn) % len(nodes)
        position = (sorted(nodes).index(name) - first) % len(nodes)
        return position < free and room.used_turn != turn

    def record_sent(self, life: ServerLife, wall_ms: int) -> None:
        """Record that this node has used its turn at a server."""
        room = self._room_by_life.get(life)
        if room is not None:
            room.used_turn = wall_ms // TURN_MS

    def free_slots(self, life: ServerLife, requests: int, slots: int, now_ms: int) -> int:
        """Return how many more requests a server has room for, as far as this node knows."""
        room = self._room_by_life.get(life)
        return slots if room is None else self._max_requests(room, slots, now_ms) - requests

    def opens_in_ms(self, life: ServerLife, now_ms: int) -> int:
        """Return when this node may send to a server again; 0 if it may now."""
        room = self._room_by_life.get(life)
        return 0 if room is None else max(0, room.open_from_ms - now_ms)

    def own_rejections(self, now_ms: int) -> dict[ServerLife, Rejection]:
        """Return the last recent rejection that this node has received of each server.

        Rejections that peers announced are not announced again: they would be renewed without end.
        """
        return {
            life: rejection
            for life, room in self._room_by_life.items()
            for rejection in room.rejections
            if rejection.source is None and now_ms - rejection.at_ms < WINDOW_MS
        }

    def forget_unused(self, lives: frozenset[ServerLife], now_ms: int) -> None:
        """Drop servers that are gone, and old rejections of servers known from peers only.

        :param lives: the servers that are registered.
        """
        for life, room in list(self._room_by_life.items()):
            is_old = all(now_ms - known.at_ms > RETENTION_MS for known in room.rejections)
            if life not in lives or (room.tolerated_per_s is None and is_old):
                del self._room_by_life[life]

    @staticmethod
    def _max_requests(room: _ServerRoom, slots: int, now_ms: int) -> int:
        """Return how many requests all nodes may have at a server together."""
        if room.max_requests is None:
            return slots
        recovered = max(0, now_ms - room.open_from_ms) // ROOM_RECOVERY_MS
        return min(slots, room.max_requests + recovered)
