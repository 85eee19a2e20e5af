"""Judges backend servers by how their requests end, never by what they say of their health."""

from __future__ import annotations

import logging
import math
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..logs import events, log
from .pauses import MOST_DOUBLINGS, pause_ms
from .silence import Silence

_LOGGER = logging.getLogger(__name__)
FAILURE_STEP: Final = 0.2
"""Weight of one ended request in the failure share."""

FORGET_HALF_LIFE_MS: Final = 3_000
"""A server that gets no work is trusted again after a few of these."""

LATENCY_STEP: Final = 0.15


@attrs.define(slots=True)
class ServerCondition:
    """What this node has seen of one server."""

    failure_share: float = 0.0
    latency_ms: float = 0.0
    seen_ms: int = 0
    unreached: int = 0
    paused_until_ms: int = 0
    silence: Silence = attrs.Factory(Silence)


class Conditions:
    """The condition of the servers by id."""

    def __init__(self) -> None:
        self.by_life: dict[ServerLife, ServerCondition] = {}

    def ended(self, life: ServerLife, good: bool, latency_ms: float, now_ms: int) -> None:
        """Take the end of a request."""
        condition = self._fresh(life, now_ms)
        condition.failure_share += ((0.0 if good else 1.0) - condition.failure_share) * FAILURE_STEP
        if good:
            known = condition.latency_ms or latency_ms
            condition.latency_ms = known + (latency_ms - known) * LATENCY_STEP
            condition.unreached = 0
            condition.paused_until_ms = 0

    def unreached(self, life: ServerLife, now_ms: int) -> None:
        """Take that a server gave no sign: no connection, a reset, or silence."""
        condition = self._fresh(life, now_ms)
        condition.failure_share += (1.0 - condition.failure_share) * FAILURE_STEP
        if now_ms < condition.paused_until_ms:
            return
        condition.paused_until_ms = now_ms + pause_ms(condition.unreached)
        condition.unreached = min(condition.unreached + 1, MOST_DOUBLINGS)

    def sent(self, life: ServerLife, request: str, now_ms: int, sign_within_ms: int) -> None:
        """Take that a request goes out.

        :param sign_within_ms: how soon its server should give a sign, to this or another request.
        """
        self._fresh(life, now_ms).silence.sent(request, now_ms, sign_within_ms)

    def alive(self, life: ServerLife, now_ms: int) -> None:
        """Take a sign of life: a part of any answer."""
        condition = self.by_life.get(life)
        if condition is None:
            return
        missed = condition.silence.broken(now_ms)
        if missed:
            log(_LOGGER, events.ServerAnswers(server=life, missed=missed))

    def waits_no_longer(self, life: ServerLife, request: str, now_ms: int) -> None:
        """Take that a request that was sent, or was to be, is over."""
        condition = self.by_life.get(life)
        if condition is None:
            return
        self._look(life, condition.silence, now_ms)
        condition.silence.ended(request)

    def paused(self, life: ServerLife, now_ms: int) -> bool:
        """Tell whether a server should be left alone for now."""
        condition = self.by_life.get(life)
        if condition is None:
            return False
        self._look(life, condition.silence, now_ms)
        return now_ms < condition.paused_until_ms or condition.silence.holds_back(now_ms)

    def failure_share(self, life: ServerLife, now_ms: int) -> float:
        """Return the share of requests that failed lately; it fades while nothing is sent."""
        condition = self.by_life.get(life)
        if condition is None:
            return 0.0
        age = max(0, now_ms - condition.seen_ms)
        return condition.failure_share * math.exp2(-age / FORGET_HALF_LIFE_MS)

    def latency_ms(self, life: ServerLife, default_ms: float) -> float:
        """Return the usual time of a good answer."""
        condition = self.by_life.get(life)
        return (condition.latency_ms if condition else 0.0) or default_ms

    def forget(self, life: ServerLife) -> None:
        """Drop what is known of a server that is gone."""
        self.by_life.pop(life, None)

    def _look(self, life: ServerLife, silence: Silence, now_ms: int) -> None:
        if silence.look(now_ms):
            log(
                _LOGGER,
                events.ServerSilent(
                    server=life,
                    within_ms=silence.within_ms,
                    waiting=len(silence.waiting),
                    trial_in_ms=silence.trial_from_ms - now_ms,
                ),
            )

    def _fresh(self, life: ServerLife, now_ms: int) -> ServerCondition:
        condition = self.by_life.setdefault(life, ServerCondition(seen_ms=now_ms))
        condition.failure_share = self.failure_share(life, now_ms)
        condition.seen_ms = now_ms
        return condition
