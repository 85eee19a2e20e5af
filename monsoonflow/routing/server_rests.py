"""Keeps requests away from servers that have asked this node for rest.

A server that sheds load asks each node that it turns away for some time without requests. Such a
server answers faster than all others, so that without a rest it would attract most requests.
"""

from __future__ import annotations

import random
from typing import Final

import attrs

from ..core.server_life import ServerLife

MAX_REST_MS: Final = 300_000
"""Longest rest: a server that asks for more, perhaps by a mistyped value, is tried once after this
time."""

SPREAD_SHARE: Final = 0.1
"""Nodes that were turned away together return within this share of the rest, not all at once."""

STEP_MS: Final = 100
"""After a rest, a node may send twice as many requests in all with each step. A server that is
still overloaded refuses the first one well within a step."""

STEPS: Final = 8
"""After these steps only the number of concurrent requests is limited: a node may have sent 128 by
then."""

REQUESTS_PER_ANSWER: Final = 2
"""Further requests that a node may send for each answer: fast servers are used sooner."""

RECOVERY_MS: Final = 1_500
"""After this time without a refusal, a node may have one more request at a server at a time."""

RETENTION_MS: Final = 60_000
"""How long after its return a node keeps to a lower number of concurrent requests."""


@attrs.define(slots=True)
class _Rest:
    """The rest of one server, and how this node has returned to it.

    :param until_ms: until when it gets no request.
    :param max_requests: requests that this node may have there at the same time after that: fewer
        than when it was turned away.
    :param returned_ms: when the first request after the rest was sent.
    :param sent: requests sent since then.
    :param answered: how many of them it has not refused.
    """

    until_ms: int
    max_requests: int
    returned_ms: int | None = None
    sent: int = 0
    answered: int = 0

    def is_room_unknown(self, now_ms: int) -> bool:
        """Return whether the server has not answered any request since its last refusal."""
        return now_ms < self.until_ms or (self.returned_ms is not None and not self.answered)


class ServerRests:
    """The servers that rest or have just rested, by life.

    >>> rests = ServerRests(random.Random(1))
    >>> rests.record_rest("i-1", 1_000, 5, 0)
    True
    >>> rests.may_send("i-1", 0, 999), rests.may_send("i-1", 0, 1_100), rests.may_send("i-2", 9, 0)
    (False, True, True)
    >>> rests.record_sent("i-1", 1_100)
    >>> rests.may_send("i-1", 1, 1_199), rests.may_send("i-1", 1, 1_200)
    (False, True)
    >>> rests.record_answer("i-1", 1_100)
    >>> rests.may_send("i-1", 1, 1_150), rests.may_send("i-1", 4, 1_150)
    (True, False)
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rest_by_life: dict[ServerLife, _Rest] = {}

    def record_rest(self, life: ServerLife, rest_ms: int, requests: int, now_ms: int) -> bool:
        """Record that a server asks for rest; return whether it has begun to rest.

        A later, shorter rest does not end an earlier, longer one.

        :param requests: of this node that the server had, the refused one included.
        """
        was_resting = self.is_resting(life, now_ms)
        rest_ms = min(rest_ms, MAX_REST_MS)
        until_ms = now_ms + rest_ms + int(self._rng.random() * SPREAD_SHARE * rest_ms)
        max_requests = max(1, requests - 1)
        known = self._rest_by_life.get(life)
        if known is not None:
            until_ms = max(until_ms, known.until_ms)
            # A server that refuses even the first request after a rest does not do so for the
            # number of requests that it has.
            if known.is_room_unknown(now_ms):
                max_requests = known.max_requests
        self._rest_by_life[life] = _Rest(until_ms, max_requests)
        return not was_resting

    def may_send(self, life: ServerLife, requests: int, now_ms: int) -> bool:
        """Return whether a server may get one more request now.

        :param requests: of this node that the server has.
        """
        rest = self._rest_by_life.get(life)
        if rest is None:
            return True
        if now_ms < rest.until_ms:
            return False
        if rest.returned_ms is None:
            return True
        returned_for_ms = now_ms - rest.returned_ms
        if returned_for_ms > RETENTION_MS:
            del self._rest_by_life[life]
            return True
        if requests >= rest.max_requests + returned_for_ms // RECOVERY_MS:
            return False
        step = returned_for_ms // STEP_MS
        return step >= STEPS or rest.sent < (1 << step) + REQUESTS_PER_ANSWER * rest.answered

    def record_sent(self, life: ServerLife, now_ms: int) -> None:
        """Record that a request is being sent to a server."""
        rest = self._rest_by_life.get(life)
        if rest is None or now_ms < rest.until_ms:
            return
        rest.sent += 1
        if rest.returned_ms is None:
            rest.returned_ms = now_ms

    def record_answer(self, life: ServerLife, sent_ms: int) -> None:
        """Record that a server has not refused a request.

        :param sent_ms: when the request was sent: what began before the rest says nothing about
            what the server takes after it.
        """
        rest = self._rest_by_life.get(life)
        if rest is not None and sent_ms >= rest.until_ms:
            rest.answered += 1

    def is_resting(self, life: ServerLife, now_ms: int) -> bool:
        """Return whether a server has asked for rest until later."""
        return self.ends_in_ms(life, now_ms) > 0

    def awaits_return(self, life: ServerLife, now_ms: int) -> bool:
        """Return whether the rest of a server is over and it has got no request since."""
        rest = self._rest_by_life.get(life)
        return rest is not None and rest.returned_ms is None and now_ms >= rest.until_ms

    def ends_in_ms(self, life: ServerLife, now_ms: int) -> int:
        """Return when the rest of a server ends; 0 if it does not rest."""
        rest = self._rest_by_life.get(life)
        return 0 if rest is None else max(0, rest.until_ms - now_ms)

    def resting_count(self, now_ms: int) -> int:
        """Return the number of servers that rest."""
        return sum(now_ms < rest.until_ms for rest in self._rest_by_life.values())

    def forget_unused(self, lives: frozenset[ServerLife]) -> None:
        """Drop servers that are gone.

        :param lives: the servers that are registered.
        """
        for life in self._rest_by_life.keys() - lives:
            del self._rest_by_life[life]
