"""Tells what becomes of requests: log lines and metrics, in one place."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final, Protocol

from ..core.clock import Clock
from ..logs import events, log
from ..logs.sampling import Sampler
from ..routing.routes import RouteKind
from ..transport.server import Reply
from .job import Job
from .models import Chosen, Onward, Try

_LOGGER = logging.getLogger(__name__)
SAMPLED: Final = frozenset({"refused"})
"""Outcomes that repeat at overload; all others are always written."""

GOOD: Final = frozenset({"answered", "passed"})


class RequestMetrics(Protocol):
    """What is counted of requests."""

    def ended(
        self, kind: str, priority: int, outcome: str, objective: str, first_ms: int | None, ms: int
    ) -> None:
        """Count a request's end."""

    def tried(self, result: str) -> None:
        """Count a try at a server."""

    def again(self, allowed: bool) -> None:
        """Count a wish to try again."""

    def resumed(self) -> None:
        """Count a stream that goes on elsewhere."""


class Record:
    """Writes down the decisions about requests.

    :param servers_age_ms: returns how long ago the store last told of servers.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: RequestMetrics,
        servers_age_ms: Callable[[], int | None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._servers_age_ms = servers_age_ms
        self._sampler = Sampler()

    def accepted(self, job: Job, config_version: int) -> None:
        """Note that a request has a route."""
        call, route = job.call, job.route
        log(
            _LOGGER,
            events.RequestAccepted(
                request=call.request_id,
                route=route.name,
                service=job.service.name,
                adapter=call.adapter,
                config=config_version,
                priority=route.priority,
                deadline_ms=call.deadline_ms,
                left_ms=job.until_ms - self._clock.now_ms(),
                tried_before_ms=job.request.arrived_ms - job.since_ms,
                fingerprint=job.fingerprint,
            ),
        )

    def sent(self, job: Job, chosen: Chosen, onward: Onward) -> None:
        """Note that a request goes to a server."""
        after = onward.last_event
        queue = chosen.queue
        log(
            _LOGGER,
            events.RequestSent(
                request=job.call.request_id,
                server=chosen.life,
                attempt=len(job.tried),
                why=chosen.why,
                left_ms=onward.left_ms,
                rank=onward.priority,
                version=chosen.version,
                expect_version=onward.expect_version,
                unread_tokens=queue.unread_tokens if queue is not None else None,
                expected_ms=queue.expect_ms if queue is not None else None,
                after_event=after.decode("latin-1") if after is not None else None,
                servers_age_ms=self._servers_age_ms(),
            ),
        )

    def refused(
        self, job: Job, chosen: Chosen, cause: str, moved: bool, retry_after_ms: int | None
    ) -> None:
        """Note that a server did not run a request."""
        log(
            _LOGGER,
            events.ServerRefused(job.call.request_id, chosen.life, cause, moved, retry_after_ms),
        )

    def failed(self, job: Job, chosen: Chosen, cause: str, again: bool, took_ms: int) -> None:
        """Note that a try did not end well."""
        headroom = job.headroom
        log(
            _LOGGER,
            events.TryFailed(
                job.call.request_id,
                chosen.life,
                cause,
                job.may_have_run,
                again,
                took_ms,
                retries_known=headroom.known_retries if headroom is not None else None,
                retries_limit=round(headroom.retry_limit) if headroom is not None else None,
            ),
        )

    def tried(self, result: Try) -> None:
        """Count a try."""
        self._metrics.tried(type(result).__name__.lower())

    def wanted_again(self, allowed: bool) -> None:
        """Count a wish to try again."""
        self._metrics.again(allowed)

    def resuming(self) -> None:
        """Count a stream that goes on elsewhere."""
        self._metrics.resumed()

    def ended(self, job: Job, reply: Reply, outcome: str, cause: str | None = None) -> None:
        """Note that a request's story here is over."""
        now_ms = self._clock.now_ms()
        took_ms = now_ms - job.request.arrived_ms
        first_ms = None if job.first_ms is None else job.first_ms - job.request.arrived_ms
        if job.route.kind is not RouteKind.STREAM and outcome in GOOD:
            first_ms = took_ms
        self._metrics.ended(
            job.route.kind.value,
            job.route.priority,
            outcome,
            self._objective(job, outcome, first_ms),
            first_ms,
            took_ms,
        )
        if outcome in SAMPLED and not self._sampler.allows(outcome, cause or "", now_ms):
            return
        for kind, repeated, count in self._sampler.left_out(now_ms):
            log(_LOGGER, events.LinesSuppressed(kind, repeated, count))
        log(
            _LOGGER,
            events.RequestEnded(
                request=job.call.request_id,
                outcome=outcome,
                route=job.route.name,
                adapter=job.call.adapter,
                status=reply.status or None,
                bytes=reply.sent_bytes,
                first_ms=first_ms,
                took_ms=took_ms,
                left_ms=job.until_ms - now_ms,
                tried=",".join(job.tried) or None,
                cause=cause,
            ),
        )

    @staticmethod
    def _objective(job: Job, outcome: str, first_ms: int | None) -> str:
        if outcome not in GOOD:
            return "left" if outcome == "caller_left" else "missed"
        return "met" if (first_ms or 0) <= job.route.objective_ms else "late"
