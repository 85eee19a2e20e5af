"""Judges backend servers by how their requests end, never by what they say of their health."""

from __future__ import annotations

import logging
import math
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..logs import events, log
from .backoff import MAX_DOUBLINGS, backoff_ms
from .response_watch import ResponseWatch

_LOGGER = logging.getLogger(__name__)
FAILURE_SHARE_SMOOTHING: Final = 0.2
"""Weight of one ended request in the failure share."""

FAILURE_HALF_LIFE_MS: Final = 3_000
"""A server that gets no work is trusted again after a few of these."""

LATENCY_SMOOTHING: Final = 0.15


@attrs.define(slots=True)
class ServerHealth:
    """What this node has seen of one server."""

    failure_share: float = 0.0
    latency_ms: float = 0.0
    updated_ms: int = 0
    unreachable_count: int = 0
    paused_until_ms: int = 0
    response_watch: ResponseWatch = attrs.Factory(ResponseWatch)


class HealthTracker:
    """The condition of the servers by id."""

    def __init__(self) -> None:
        self.health_by_life: dict[ServerLife, ServerHealth] = {}

    def record_result(
        self, life: ServerLife, is_success: bool, latency_ms: float, now_ms: int
    ) -> None:
        """Take the end of a request."""
        condition = self._decayed_health(life, now_ms)
        condition.failure_share += (
            (0.0 if is_success else 1.0) - condition.failure_share
        ) * FAILURE_SHARE_SMOOTHING
        if is_success:
            known = condition.latency_ms or latency_ms
            condition.latency_ms = known + (latency_ms - known) * LATENCY_SMOOTHING
            condition.unreachable_count = 0
            condition.paused_until_ms = 0

    def record_unreachable(self, life: ServerLife, now_ms: int) -> None:
        """Take that a server gave no sign: no connection, a reset, or silence."""
        condition = self._decayed_health(life, now_ms)
        condition.failure_share += (1.0 - condition.failure_share) * FAILURE_SHARE_SMOOTHING
        if now_ms < condition.paused_until_ms:
            return
        condition.paused_until_ms = now_ms + backoff_ms(condition.unreachable_count)
        condition.unreachable_count = min(condition.unreachable_count + 1, MAX_DOUBLINGS)

    def record_sent(
        self, life: ServerLife, request: str, now_ms: int, response_timeout_ms: int
    ) -> None:
        """Take that a request goes out.

        :param sign_within_ms: how soon its server should give a sign, to this or another request.
        """
        self._decayed_health(life, now_ms).response_watch.record_sent(
            request, now_ms, response_timeout_ms
        )

    def record_response(self, life: ServerLife, now_ms: int) -> None:
        """Take a sign of life: a part of any answer."""
        condition = self.health_by_life.get(life)
        if condition is None:
            return
        missed = condition.response_watch.record_response(now_ms)
        if missed:
            log(_LOGGER, events.ServerAnswers(server=life, missed=missed))

    def record_finished(self, life: ServerLife, request: str, now_ms: int) -> None:
        """Take that a request that was sent, or was to be, is over."""
        condition = self.health_by_life.get(life)
        if condition is None:
            return
        self._check_response(life, condition.response_watch, now_ms)
        condition.response_watch.record_finished(request)

    def is_paused(self, life: ServerLife, now_ms: int) -> bool:
        """Tell whether a server should be left alone for now."""
        condition = self.health_by_life.get(life)
        if condition is None:
            return False
        self._check_response(life, condition.response_watch, now_ms)
        return now_ms < condition.paused_until_ms or condition.response_watch.is_held_back(now_ms)

    def failure_share(self, life: ServerLife, now_ms: int) -> float:
        """Return the share of requests that failed lately; it fades while nothing is sent."""
        condition = self.health_by_life.get(life)
        if condition is None:
            return 0.0
        age = max(0, now_ms - condition.updated_ms)
        return condition.failure_share * math.exp2(-age / FAILURE_HALF_LIFE_MS)

    def latency_ms(self, life: ServerLife, default_ms: float) -> float:
        """Return the usual time of a good answer."""
        condition = self.health_by_life.get(life)
        return (condition.latency_ms if condition else 0.0) or default_ms

    def forget(self, life: ServerLife) -> None:
        """Drop what is known of a server that is gone."""
        self.health_by_life.pop(life, None)

    def _check_response(self, life: ServerLife, response_watch: ResponseWatch, now_ms: int) -> None:
        if response_watch.check_overdue(now_ms):
            log(
                _LOGGER,
                events.ServerSilent(
                    server=life,
                    within_ms=response_watch.timeout_ms,
                    waiting=len(response_watch.pending_requests),
                    trial_in_ms=response_watch.probe_from_ms - now_ms,
                ),
            )

    def _decayed_health(self, life: ServerLife, now_ms: int) -> ServerHealth:
        condition = self.health_by_life.setdefault(life, ServerHealth(updated_ms=now_ms))
        condition.failure_share = self.failure_share(life, now_ms)
        condition.updated_ms = now_ms
        return condition
