"""Keeps the limits that servers name in their answers, as far as this node knows them.

A server in need states how many requests a second it takes from all nodes together. The limit
applies until an answer of the same life of the server names another one or none.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..logs import events, log
from .customers import Quota
from .quota import QuotaTolerance

_LOGGER = logging.getLogger(__name__)
REQUEST_UNITS: Final = 100
"""Units of one request. Nodes announce whole units; in requests, a demand of one request in several
seconds would be announced as none."""

TOLERANCE: Final = QuotaTolerance(4_000, 0.5, 5 * REQUEST_UNITS, debt_share=1.0)
"""What a server tolerates beyond its limit: half as much again, and five requests."""

OWN_ANSWER: Final = "answer"

MIN_RATE_PER_S: Final = 0.25
"""The lowest rate at which a server is used: without any request it could not lift its limit."""

RETENTION_MS: Final = 60_000
"""For how long a lifted limit, and one of a server that is gone, is remembered, so that a peer that
missed the news does not bring the limit back."""


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """A limit that a server names in an answer.

    :param rate_per_s: requests a second, from all nodes together.
    """

    rate_per_s: float


@dataclass(frozen=True, slots=True)
class InvalidLimit:
    """A limit that can't be read; its answer neither sets nor lifts a limit."""

    text: str


def to_quota(rate_per_s: float) -> Quota:
    """Return the quota of all nodes at a server.

    :param rate_per_s: requests a second.

    >>> to_quota(1.3)
    Quota(rate_per_s=130.0, burst=0.0, counts_tokens=False, plain_cost=100)
    """
    return Quota(max(rate_per_s, MIN_RATE_PER_S) * REQUEST_UNITS, plain_cost=REQUEST_UNITS)


@attrs.frozen(slots=True)
class LimitState:
    """What is known of one server's limit.

    :param rate_per_s: ``None`` once the server names no limit any more.
    :param known_from_ms: the state applies to the server from then on; the newest one counts.
    :param source: the peer that announced it, or ``OWN_ANSWER``.
    """

    rate_per_s: float | None
    known_from_ms: int
    source: str


class ServerLimits:
    """The limits that servers have named, by life.

    A limit counts from when its answer arrived, and its absence from when the request of the answer
    was sent. So an answer that was delayed on its way does not lift a limit that was named after it
    had left the server.
    """

    def __init__(self) -> None:
        self.state_by_life: dict[ServerLife, LimitState] = {}
        self._invalid_text_by_life: dict[ServerLife, str] = {}

    def rate_per_s(self, life: ServerLife) -> float | None:
        """Return a server's limit; ``None`` if it names none."""
        state = self.state_by_life.get(life)
        return state.rate_per_s if state is not None else None

    def limited_lives(self) -> list[ServerLife]:
        """Return the servers that name a limit."""
        return [life for life, state in self.state_by_life.items() if state.rate_per_s is not None]

    def own_states(self) -> list[tuple[ServerLife, LimitState]]:
        """Return the states that this node has learned from an answer, not from a peer.

        Only these are announced. Each announcement adds its delay to the age of a state, so states
        that were passed on in circles would be renewed without end.
        """
        return [
            (life, state)
            for life, state in self.state_by_life.items()
            if state.source == OWN_ANSWER
        ]

    def record_answer(
        self,
        life: ServerLife,
        limit: NamedLimit | InvalidLimit | None,
        may_lift: bool,
        sent_ms: int,
        now_ms: int,
    ) -> bool:
        """Record what an answer says; return whether the server's limit has changed.

        :param may_lift: whether an answer without a limit shows that the server has none.
        :param sent_ms: when the request was sent.
        """
        match limit:
            case NamedLimit(rate_per_s=rate_per_s):
                return self.record(life, LimitState(rate_per_s, now_ms, OWN_ANSWER))
            case InvalidLimit(text=text) if self._invalid_text_by_life.get(life) != text:
                self._invalid_text_by_life[life] = text
                log(_LOGGER, events.UnusableServerLimit(server=life, value=text))
            case None if may_lift and life in self.state_by_life:
                return self.record(life, LimitState(None, sent_ms, OWN_ANSWER))
        return False

    def record(self, life: ServerLife, state: LimitState) -> bool:
        """Record a state unless a newer one is known; return whether the limit has changed."""
        known = self.state_by_life.get(life)
        if known is not None and known.known_from_ms >= state.known_from_ms:
            return False
        self.state_by_life[life] = state
        known_rate = known.rate_per_s if known is not None else None
        if state.rate_per_s == known_rate:
            return False
        log(
            _LOGGER,
            events.ServerLimited(
                server=life, per_s=state.rate_per_s, before_per_s=known_rate, source=state.source
            ),
        )
        return True

    def forget_unused(self, lives: frozenset[ServerLife], now_ms: int) -> list[ServerLife]:
        """Drop old states that no limit depends on; return the lives of the servers.

        :param lives: the servers that are registered.
        """
        unused = [
            life
            for life, state in self.state_by_life.items()
            if (state.rate_per_s is None or life not in lives)
            and now_ms - state.known_from_ms > RETENTION_MS
        ]
        for life in unused:
            del self.state_by_life[life]
        for life in self._invalid_text_by_life.keys() - lives:
            del self._invalid_text_by_life[life]
        return unused
