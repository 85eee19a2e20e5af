"""Writes the log lines and counts the metrics of requests."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final, Protocol

from ..core.clock import Clock
from ..logs import events, log
from ..logs.sampling import Sampler
from ..routing.customers import Customer
from ..routing.quota import OverQuota
from ..routing.routes import Route, RouteKind
from ..transport.reply import Reply
from .active_requests import ActiveRequest
from .configuration_status import ConfigurationStatus
from .job import Job
from .models import AtLimit, AttemptResult, Call, Chosen, ForwardedRequest, Rejected
from .runner_memory import MemoryDecision

_LOGGER = logging.getLogger(__name__)
SAMPLED_OUTCOMES: Final = frozenset({"refused"})
"""Outcomes whose log lines are sampled, since they repeat at overload; others are always logged."""

MAX_LOGGED_RUNNERS: Final = 4
"""Runners named in one line; a popular adapter may be at dozens."""

SUCCESSFUL_OUTCOMES: Final = frozenset({"answered", "passed"})


class RequestMetrics(Protocol):
    """The metrics of requests."""

    def count_request(
        self,
        kind: str,
        priority: int,
        outcome: str,
        objective: str,
        first_ms: int | None,
        took_ms: int,
    ) -> None:
        """Count a request that has ended."""

    def count_unauthorized(self, reason: str) -> None:
        """Count a request that was refused for its key."""

    def count_over_quota(self) -> None:
        """Count a request that was refused since its customer's quota is used up."""

    def count_memory_decision(self, result: str) -> None:
        """Count a decision by the memory of runners."""

    def count_attempt(self, result: str) -> None:
        """Count an attempt at a server by its result."""

    def count_forwarded(self, result: str) -> None:
        """Count a request that was forwarded to a peer, by its result there."""

    def count_retry(self, allowed: bool) -> None:
        """Count a retry that was needed, by whether the budget allowed it."""

    def count_resume(self) -> None:
        """Count a stream that is resumed at another server."""


class RequestLog:
    """Logs and counts what happens to requests.

    :param servers_age_ms: returns how long ago the store last answered about servers; ``None`` if
        it never did.
    :param config_age_ms: returns how long ago the store last confirmed the configuration; ``None``
        if unknown.
    :param reports_age_ms: returns the age of the oldest report of a peer that counts; ``None``
        without peers.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: RequestMetrics,
        servers_age_ms: Callable[[], int | None] = lambda: None,
        config_age_ms: Callable[[], int | None] = lambda: None,
        reports_age_ms: Callable[[], int | None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._servers_age_ms = servers_age_ms
        self._config_age_ms = config_age_ms
        self._reports_age_ms = reports_age_ms
        self._sampler = Sampler()

    def log_unauthorized(
        self,
        call: Call,
        route: Route,
        reason: str,
        config_version: int,
        status: ConfigurationStatus,
    ) -> None:
        """Log and count that a request was refused for its key."""
        self._metrics.count_unauthorized(reason)
        if not self._sampler.allows("unauthorized", reason, self._clock.now_ms()):
            return
        log(
            _LOGGER,
            events.RequestUnauthorized(
                request=call.request_id,
                route=route.name,
                cause=reason,
                config=config_version,
                config_age_ms=status.age_ms,
                is_final=status.is_current,
            ),
        )

    def log_over_quota(
        self, call: Call, route: Route, customer: Customer, over_quota: OverQuota
    ) -> None:
        """Log and count that a request was refused since its customer's quota is used up."""
        self._metrics.count_over_quota()
        if not self._sampler.allows("over_quota", customer.name, self._clock.now_ms()):
            return
        log(
            _LOGGER,
            events.RequestOverQuota(
                request=call.request_id,
                route=route.name,
                customer=customer.name,
                cost=over_quota.cost,
                left=over_quota.left,
                share=round(over_quota.share, 3),
                rate_per_s=round(customer.quota.rate_per_s),
                burst=round(customer.quota.burst),
                usage_age_ms=over_quota.usage_age_ms,
                retry_after_ms=over_quota.retry_after_ms,
            ),
        )

    def log_memory_decision(self, decision: MemoryDecision) -> None:
        """Log and count that a request was refused, or runners left out, for want of memory."""
        result = "too_large"
        if decision.full_lives:
            result = "left_out" if decision.has_other else "no_room"
        self._metrics.count_memory_decision(result)
        if not self._sampler.allows("memory", result, self._clock.now_ms()):
            return
        if decision.full_lives:
            log(_LOGGER, self._runners_full(decision))
            return
        log(
            _LOGGER,
            events.RequestTooLarge(
                request=decision.request_id,
                prompt=decision.prompt_tokens,
                hint=decision.hint_tokens,
                capacity=decision.capacity_tokens,
                config=decision.config_version,
                config_age_ms=self._config_age_ms(),
            ),
        )

    def _runners_full(self, decision: MemoryDecision) -> events.RunnersFull:
        return events.RunnersFull(
            request=decision.request_id,
            need=decision.need_tokens,
            prompt=decision.prompt_tokens,
            hint=decision.hint_tokens,
            margin=decision.margin,
            capacity=decision.capacity_tokens,
            least_used=decision.least_used_tokens,
            runners=",".join(decision.full_lives[:MAX_LOGGED_RUNNERS]),
            has_other=decision.has_other,
            reports_age_ms=self._reports_age_ms(),
        )

    def log_accepted(self, job: Job, config_version: int) -> None:
        """Log that a request was accepted for a route."""
        call, route = job.call, job.route
        log(
            _LOGGER,
            events.RequestAccepted(
                request=call.request_id,
                route=route.name,
                service=job.service.name,
                adapter=call.adapter,
                config=config_version,
                priority=job.priority,
                deadline_ms=call.deadline_ms,
                left_ms=job.answer_deadline_ms - self._clock.now_ms(),
                tried_before_ms=job.request.arrived_ms - job.first_tried_ms,
                fingerprint=job.traits.fingerprint,
                customer=job.customer_name,
                forwarded=job.is_forwarded or None,
                resumes=call.resumed_request_id,
                parts=",".join(call.prompt_parts) or None,
            ),
        )

    def log_unfinished(self, active: ActiveRequest) -> None:
        """Log a request that is not answered when the process ends."""
        job = active.job
        log(
            _LOGGER,
            events.RequestUnfinished(
                request=job.call.request_id,
                route=job.route.name,
                adapter=job.call.adapter,
                state=active.state(),
                took_ms=self._clock.now_ms() - job.request.arrived_ms,
                left_ms=job.answer_deadline_ms - self._clock.now_ms(),
                tried=",".join(job.tried_lives) or None,
            ),
        )

    def log_sent(self, job: Job, chosen: Chosen, forwarded: ForwardedRequest) -> None:
        """Log that a request is being sent to a server."""
        last_event_id = forwarded.last_event_id
        queue = chosen.queue
        log(
            _LOGGER,
            events.RequestSent(
                request=job.call.request_id,
                server=chosen.life,
                attempt=len(job.tried_lives),
                why=chosen.why,
                left_ms=forwarded.remaining_ms,
                rank=forwarded.rank,
                version=chosen.version,
                expect_version=forwarded.expect_version,
                unread_tokens=queue.pending_prefill_tokens if queue is not None else None,
                expected_ms=queue.expected_ms if queue is not None else None,
                after_event=last_event_id.decode("latin-1") if last_event_id is not None else None,
                servers_age_ms=self._servers_age_ms(),
                software_version=chosen.software_version,
                memory_tokens=chosen.memory_tokens if queue is not None else None,
            ),
        )

    def log_refused(self, job: Job, chosen: Chosen, result: Rejected, took_ms: int) -> None:
        """Log that a server refused to run a request."""
        log(
            _LOGGER,
            events.ServerRefused(
                request=job.call.request_id,
                server=chosen.life,
                cause=result.reason,
                moved=result.misrouted,
                retry_after_ms=result.retry_after_ms,
                took_ms=took_ms,
                connection=result.connection,
            ),
        )

    def log_forwarded(self, job: Job, peer: str, result: AttemptResult) -> None:
        """Log and count what came of a request that was forwarded to a peer."""
        name = type(result).__name__.lower()
        self._metrics.count_forwarded(name)
        log(
            _LOGGER,
            events.RequestForwarded(
                request=job.call.request_id,
                peer=peer,
                service=job.service.name,
                result=name,
                cause=getattr(result, "reason", None),
                left_ms=job.answer_deadline_ms - self._clock.now_ms(),
            ),
        )

    def log_at_limit(self, job: Job, chosen: Chosen, at_limit: AtLimit) -> None:
        """Log that a request was not sent, since its server takes no further one now."""
        log(
            _LOGGER,
            events.ServerAtLimit(
                job.call.request_id,
                chosen.life,
                at_limit.rate_per_s,
                at_limit.left,
                at_limit.rest_ms,
            ),
        )

    def log_failed(
        self, job: Job, chosen: Chosen, cause: str, will_retry: bool, took_ms: int
    ) -> None:
        """Log that an attempt failed."""
        headroom = job.headroom
        began_ms = job.attempt_first_event_ms
        log(
            _LOGGER,
            events.TryFailed(
                job.call.request_id,
                chosen.life,
                cause,
                job.may_have_run,
                will_retry,
                took_ms,
                retries_known=headroom.known_retries if headroom is not None else None,
                retries_limit=round(headroom.retry_limit) if headroom is not None else None,
                answering_ms=None if began_ms is None else self._clock.now_ms() - began_ms,
            ),
        )

    def count_attempt(self, result: AttemptResult) -> None:
        """Count an attempt by its result."""
        self._metrics.count_attempt(type(result).__name__.lower())

    def count_retry(self, allowed: bool) -> None:
        """Count a retry that was needed, by whether the budget allowed it."""
        self._metrics.count_retry(allowed)

    def count_resume(self) -> None:
        """Count a stream that is resumed at another server."""
        self._metrics.count_resume()

    def log_ended(self, job: Job, reply: Reply, outcome: str, cause: str | None = None) -> None:
        """Log and count that a request has ended on this node."""
        now_ms = self._clock.now_ms()
        took_ms = now_ms - job.request.arrived_ms
        first_ms = (
            None if job.first_event_ms is None else job.first_event_ms - job.request.arrived_ms
        )
        if job.route.kind is not RouteKind.STREAM and outcome in SUCCESSFUL_OUTCOMES:
            first_ms = took_ms
        if not job.is_forwarded:
            # The node that has forwarded a request counts it.
            self._metrics.count_request(
                job.route.kind.value,
                job.route.priority,
                outcome,
                self._objective_result(job, outcome, first_ms),
                first_ms,
                took_ms,
            )
        if outcome in SAMPLED_OUTCOMES and not self._sampler.allows(outcome, cause or "", now_ms):
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
                left_ms=job.answer_deadline_ms - now_ms,
                tried=",".join(job.tried_lives) or None,
                cause=cause,
                limits_per_s=job.limits_per_s,
                forwarded=job.is_forwarded or None,
                framing=job.answer_framing,
                rest_bytes=len(job.splitter.incomplete) or None if job.splitter else None,
            ),
        )

    @staticmethod
    def _objective_result(job: Job, outcome: str, first_ms: int | None) -> str:
        if outcome not in SUCCESSFUL_OUTCOMES:
            return "left" if outcome == "caller_left" else "missed"
        return "met" if (first_ms or 0) <= job.route.objective_ms else "late"
