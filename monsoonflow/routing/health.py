"""Tracks the health of backend servers by the results of requests, not by their own reports."""

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
"""Weight of one request in the failure share, an exponentially weighted moving average."""

FAILURE_HALF_LIFE_MS: Final = 3_000
"""The failure share halves in this time, so that a server that gets no requests is used again after
a few half-lives."""

LATENCY_SMOOTHING: Final = 0.15
"""Weight of one request in the moving average of the latency."""


@attrs.define(slots=True)
class ServerHealth:
    """What this node has observed of one server.

    :param failure_share: share of failed requests at ``updated_ms``, 0 to 1.
    :param latency_ms: average time of a successful response; 0 while unknown.
    :param unreachable_count: consecutive times that the server could not be reached.
    :param paused_until_ms: until when the server gets no requests because it was unreachable.
    """

    failure_share: float = 0.0
    latency_ms: float = 0.0
    updated_ms: int = 0
    unreachable_count: int = 0
    paused_until_ms: int = 0
    response_watch: ResponseWatch = attrs.Factory(ResponseWatch)


class HealthTracker:
    """The health of all servers, by life."""

    def __init__(self) -> None:
        self.health_by_life: dict[ServerLife, ServerHealth] = {}

    def record_result(
        self, life: ServerLife, is_success: bool, latency_ms: float, now_ms: int
    ) -> None:
        """Record the result of a request."""
        health = self._decayed_health(life, now_ms)
        health.failure_share += (
            (0.0 if is_success else 1.0) - health.failure_share
        ) * FAILURE_SHARE_SMOOTHING
        if is_success:
            known_ms = health.latency_ms or latency_ms
            health.latency_ms = known_ms + (latency_ms - known_ms) * LATENCY_SMOOTHING
            health.unreachable_count = 0
            health.paused_until_ms = 0

    def record_unreachable(self, life: ServerLife, now_ms: int) -> None:
        """Record that a server did not respond: no connection, a reset, or no response in time.

        Failures during a pause do not extend it: requests that were in progress together report the
        same fault.
        """
        health = self._decayed_health(life, now_ms)
        health.failure_share += (1.0 - health.failure_share) * FAILURE_SHARE_SMOOTHING
        if now_ms < health.paused_until_ms:
            return
        health.paused_until_ms = now_ms + backoff_ms(health.unreachable_count)
        health.unreachable_count = min(health.unreachable_count + 1, MAX_DOUBLINGS)

    def record_sent(
        self, life: ServerLife, request: str, now_ms: int, response_timeout_ms: int
    ) -> None:
        """Record that a request was sent.

        :param response_timeout_ms: time within which the server should respond to this or any other
            request.
        """
        self._decayed_health(life, now_ms).response_watch.record_sent(
            request, now_ms, response_timeout_ms
        )

    def record_response(self, life: ServerLife, now_ms: int) -> None:
        """Record that a part of any response was received from a server."""
        health = self.health_by_life.get(life)
        if health is None:
            return
        missed = health.response_watch.record_response(now_ms)
        if missed:
            log(_LOGGER, events.ServerAnswers(server=life, missed=missed))

    def record_finished(self, life: ServerLife, request: str, now_ms: int) -> None:
        """Record that a request is finished, whether or not it was sent."""
        health = self.health_by_life.get(life)
        if health is None:
            return
        self._check_response(life, health.response_watch, now_ms)
        health.response_watch.record_finished(request)

    def is_paused(self, life: ServerLife, now_ms: int) -> bool:
        """Return whether a server should get no requests for now."""
        health = self.health_by_life.get(life)
        if health is None:
            return False
        self._check_response(life, health.response_watch, now_ms)
        return now_ms < health.paused_until_ms or health.response_watch.is_held_back(now_ms)

    def end_pause(self, life: ServerLife) -> None:
        """Use a server again that was unreachable only because this node had no path to it."""
        health = self.health_by_life.get(life)
        if health is not None:
            health.paused_until_ms = 0
            health.unreachable_count = 0

    def failure_share(self, life: ServerLife, now_ms: int) -> float:
        """Return the share of recent requests that failed; it decays while nothing is sent."""
        health = self.health_by_life.get(life)
        if health is None:
            return 0.0
        age_ms = max(0, now_ms - health.updated_ms)
        return health.failure_share * math.exp2(-age_ms / FAILURE_HALF_LIFE_MS)

    def latency_ms(self, life: ServerLife, default_ms: float) -> float:
        """Return the average time of a successful response, or the default while unknown."""
        health = self.health_by_life.get(life)
        return (health.latency_ms if health else 0.0) or default_ms

    def forget(self, life: ServerLife) -> None:
        """Drop the health of a removed server."""
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
        health = self.health_by_life.setdefault(life, ServerHealth(updated_ms=now_ms))
        health.failure_share = self.failure_share(life, now_ms)
        health.updated_ms = now_ms
        return health
