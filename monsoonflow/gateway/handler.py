"""Handles one request: chooses a server, retries failed attempts and answers the caller."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Final

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..quarantine.fingerprint import fingerprint
from ..quarantine.models import RequestTraits, Turn
from ..quarantine.parts import HARDLY_BEGUN_MS
from ..routing.answer_times import AnswerTimes
from ..routing.caller_timeouts import TypicalCallerTimeouts
from ..routing.customer_usage import CustomerUsage
from ..routing.customers import Identity, Unauthorized
from ..routing.first_event import FirstEventEstimator
from ..routing.in_flight import InFlight, Ticket
from ..routing.quota import OverQuota
from ..routing.routes import Route, RouteKind, RouteTable, Service
from ..transport.client import ConnectionPools
from ..transport.models import CallerLeft, Framing, Header, Request
from ..transport.reply import Reply
from .active_requests import ActiveRequests
from .attempt import NOT_RUN_STATUSES, Attempt
from .backlog import Backlog
from .configuration_status import ConfigurationStatus
from .event_splitter import EventSplitter
from .job import Job
from .models import (
    Abandoned,
    AnswerTerms,
    AnyVersion,
    AtLimit,
    AttemptResult,
    Call,
    Chosen,
    Cut,
    Dialect,
    EndUnknown,
    ForwardedRequest,
    Handover,
    KnownVersion,
    Malformed,
    NoServer,
    Passed,
    Recalled,
    Rejected,
    StreamVersion,
    TimedOut,
    Unclear,
    UnknownVersion,
    Unsent,
    Whole,
    Withheld,
)
from .protocols import (
    CustomerQuotas,
    Forwarding,
    Paths,
    Quarantine,
    RetryBudget,
    ServerChooser,
    ServerLimiter,
    StreamVersions,
)
from .request_log import RequestLog
from .runner_memory import RunnerMemory
from .stop_deadline import NodeStopping, StopDeadline

NOT_READY_RETRY_AFTER_MS: Final = 300
"""When a caller may retry at a node that has no configuration yet: it usually has one by then."""

TOO_LARGE: Final = "the prompt exceeds the memory of a runner"
TOO_LARGE_RETRY_AFTER_MS: Final = 10_000
"""Only a new configuration can make the request fit, which is in force some seconds later."""


MIN_TIME_TO_SEND_MS: Final = 20
"""A request with less time left is not sent to a server any more."""

SAME_SERVER_PAUSE_MS: Final = 40
"""How long a request is not sent again to a server that has refused it: about half the processing
time of one request. Sent again every 2 ms, a few requests used up the retry budget of ninety nodes
(490 retries where 454 were allowed)."""

NO_PATH_RETRY_AFTER_MS: Final = 500
"""When a caller may retry that finds no path to any server: paths are checked this often."""

QUARANTINE_RETRY_AFTER_MS: Final = 60_000
"""When a caller may retry a quarantined request."""

END_UNKNOWN: Final = "the server marked no end"
STOPPING: Final = "this node is stopping"

MAX_VERSION_SEARCH_MS: Final = 500
"""Longest wait for peers that may know which software version began a stream."""

VERSION_SEARCH_SHARE: Final = 1 / 3
"""Share of the time to the first event that this wait may take; the rest is for the answer."""

UNKNOWN_VERSION_RETRY_AFTER_MS: Final = 200
"""When a caller may retry whose stream this node does not know: another node may know it."""

ANSWER_MARGIN_MS: Final = 15
"""How long before a request's time is over the answer is written, so that it arrives in time."""


class Gateway:
    """Handles callers' requests.

    :param route_table: returns the configuration in force, or ``None`` while there is none.
    :param plain_chooser: chooses servers of plain services.
    :param runner_chooser: chooses model runners.
    :param server_limits: the limits that servers name.
    :param paths: which services this node reaches.
    :param forwarding: lets peers handle requests whose servers this node does not reach.
    :param configuration_status: returns how current the configuration in force is.
    :param quotas: the quotas of customers; ``None`` if they are not limited.
    :param stream_versions: knows the software versions that began streams.
    :param on_server_leaving: called when a server states that it is shutting down, with the answer
        that says so.
    :param runner_memory: checks the KV cache of model runners; ``None`` to check nothing.
    :param customer_usage: measures how long requests are at model runners, by customer.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        route_table: Callable[[], RouteTable | None],
        pools: ConnectionPools,
        in_flight: InFlight,
        backlog: Backlog,
        retry_budget: RetryBudget,
        quarantine: Quarantine,
        plain_chooser: ServerChooser,
        runner_chooser: ServerChooser,
        rng: random.Random,
        request_log: RequestLog,
        server_limits: ServerLimiter,
        paths: Paths,
        forwarding: Forwarding,
        stream_versions: StreamVersions,
        configuration_status: Callable[[], ConfigurationStatus] = lambda: ConfigurationStatus(
            True, None
        ),
        quotas: CustomerQuotas | None = None,
        on_server_leaving: Callable[[ServerLife, str], None] = lambda _life, _source: None,
        runner_memory: RunnerMemory | None = None,
        customer_usage: CustomerUsage | None = None,
    ) -> None:
        self._clock = clock
        self._dialect = dialect
        self._route_table = route_table
        self._pools = pools
        self._in_flight = in_flight
        self._backlog = backlog
        self._retry_budget = retry_budget
        self._quarantine = quarantine
        self._plain_chooser = plain_chooser
        self._runner_chooser = runner_chooser
        self._rng = rng
        self._request_log = request_log
        self._server_limits = server_limits
        self._paths = paths
        self._forwarding = forwarding
        self._configuration_status = configuration_status
        self._quotas = quotas
        self._stream_versions = stream_versions
        self._on_server_leaving = on_server_leaving
        self._runner_memory = runner_memory or RunnerMemory(backlog, is_enabled=False)
        self._customer_usage = customer_usage or CustomerUsage()
        self._typical_timeouts = TypicalCallerTimeouts()
        self.first_event_estimator = FirstEventEstimator()
        self.accepts_requests = True
        self.active_requests = ActiveRequests()
        self._answer_times = AnswerTimes()
        self.stop_deadline = StopDeadline(clock, self.active_requests, self._answer_times)
        self.forwarded_count = 0

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request of a caller."""
        self._handle(request, reply, None)

    def handle_forwarded(self, request: Request, reply: Reply) -> bool:
        """Answer a request that a peer forwards; return whether it is one."""
        handover = self._dialect.read_handover(request)
        if handover is None:
            return False
        # All deadlines count from the arrival at the first node.
        request.arrived_ms -= handover.elapsed_ms
        self.forwarded_count += 1
        try:
            self._handle(request, reply, handover)
        finally:
            self.forwarded_count -= 1
        return True

    def log_unfinished(self) -> None:
        """Log the requests that are not answered when the process ends."""
        for active in self.active_requests:
            self._request_log.log_unfinished(active)

    def _handle(self, request: Request, reply: Reply, handover: Handover | None) -> None:
        call = self._dialect.read_call(request)
        if isinstance(call, Malformed):
            self._send_own_answer(reply, None, 400, call.reason)
            return
        route_table = self._route_table()
        if not self.accepts_requests or route_table is None:
            cause = "no configuration yet" if self.accepts_requests else STOPPING
            self._refuse_unready(reply, call, cause, is_forwarded=handover is not None)
            return
        route = route_table.match(call.host, call.path)
        if route is None:
            self._refuse_unknown_route(reply, call)
            return
        identity = route_table.identify(route, call.api_key)
        if isinstance(identity, Unauthorized):
            self._refuse_unauthorized(reply, call, route, identity, route_table.version)
            return
        if self.stop_deadline.is_too_late(route):
            self._refuse_unready(reply, call, STOPPING, is_forwarded=handover is not None)
            return
        self._accept(request, reply, call, route_table, route, identity, handover)

    def _accept(
        self,
        request: Request,
        reply: Reply,
        call: Call,
        route_table: RouteTable,
        route: Route,
        identity: Identity | None,
        handover: Handover | None,
    ) -> None:
        """Answer a request that its route allows, unless its customer has used up its quota."""
        # By its id, a stream that goes on at another node is sent to the service that began it.
        is_stream = route.kind is RouteKind.STREAM
        rng = random.Random(call.stream_id) if is_stream else self._rng
        service = route_table.service_by_name.get(route.choose_service(rng))
        if service is None:
            self._send_own_answer(reply, call, 503, "unknown service", NOT_READY_RETRY_AFTER_MS)
            return
        # The node that has forwarded a request has counted it.
        over_quota, cost = self._use_quota(identity, call) if handover is None else (None, 0)
        if over_quota is not None:
            self._refuse_over_quota(reply, call, route, identity, over_quota)
            return
        job = self._create_job(request, call, route, service)
        job.quota_cost = cost
        job.config_version = route_table.version
        if handover is not None:
            job.is_forwarded = True
            job.possible_runs = handover.possible_runs
            job.software_version = handover.software_version
        if identity is not None:
            job.identity = identity
            job.priority = route_table.priority_of(route, identity.customer)
        self._request_log.log_accepted(job, route_table.version)
        if not job.is_forwarded:
            self._retry_budget.record_request(service.name)
        self._serve_and_release(job, reply)

    def _serve_and_release(self, job: Job, reply: Reply) -> None:
        """Answer a request, and give back what was reserved for it, however it ends."""
        active = self.active_requests.begin(job, reply)
        try:
            if self._refuse_if_too_large(job, reply):
                return
            if not self._refuse_if_version_unknown(job, reply):
                self._serve(job, reply)
        except CallerLeft:
            self._request_log.log_ended(job, reply, "caller_left")
            raise
        except NodeStopping:
            job.possible_runs += job.is_at_server
            self._finish_unserved(job, reply, STOPPING, NOT_READY_RETRY_AFTER_MS)
        finally:
            self.active_requests.end(active)
            self._release_turn(job)
            if job.is_trial and not job.has_reached_server:
                self._quarantine.return_trial(job.traits)
            if job.has_reserved_retry:
                self._retry_budget.release_retry(job.service.name)
            if job.quota_cost and not job.has_reached_server:
                self._quotas.give_back(job.identity.customer, job.quota_cost)

    def _refuse_unready(self, reply: Reply, call: Call, cause: str, is_forwarded: bool) -> None:
        """Refuse a request that any other node may answer."""
        headers = self._dialect.not_run_headers() if is_forwarded else []
        self._send_own_answer(reply, call, 503, cause, NOT_READY_RETRY_AFTER_MS, headers)

    def _refuse_unknown_route(self, reply: Reply, call: Call) -> None:
        """Refuse a request that no route allows.

        Callers do not retry after 404, so a node that may lack the newest routes answers 503.
        """
        if self._configuration_status().is_current:
            self._send_own_answer(reply, call, 404, "no route")
        else:
            self._send_own_answer(
                reply, call, 503, "routes may be out of date", NOT_READY_RETRY_AFTER_MS
            )

    def _refuse_unauthorized(
        self, reply: Reply, call: Call, route: Route, cause: Unauthorized, config_version: int
    ) -> None:
        """Refuse a request without a valid key.

        Callers do not retry after 401, so a node that may lack the newest keys answers 503.
        """
        status = self._configuration_status()
        if status.is_current:
            self._send_own_answer(reply, call, 401, cause.reason)
        else:
            self._send_own_answer(
                reply, call, 503, "keys may be out of date", NOT_READY_RETRY_AFTER_MS
            )
        self._request_log.log_unauthorized(call, route, cause.reason, config_version, status)

    def _use_quota(self, identity: Identity | None, call: Call) -> tuple[OverQuota | None, int]:
        """Count a request for its customer's quota; return the refusal, if any, and its units."""
        if self._quotas is None or identity is None or identity.customer is None:
            return None, 0
        decision = self._quotas.admit(
            identity.customer, call.prompt_tokens + call.max_output_tokens
        )
        match decision:
            case None:
                return None, 0
            case OverQuota():
                return decision, 0
        return None, decision.cost

    def _refuse_over_quota(
        self, reply: Reply, call: Call, route: Route, identity: Identity, over_quota: OverQuota
    ) -> None:
        reason, retry_after_ms = "over quota", over_quota.retry_after_ms
        self._send_own_answer(reply, call, 429, reason, retry_after_ms)
        self._request_log.log_over_quota(call, route, identity.customer, over_quota)

    def _create_job(self, request: Request, call: Call, route: Route, service: Service) -> Job:
        caller_timeout_ms = call.deadline_ms if call.deadline_ms is not None else route.timeout_ms
        caller_deadline_ms = request.arrived_ms + caller_timeout_ms
        answer_deadline_ms = (
            min(caller_deadline_ms, request.arrived_ms + route.timeout_ms) - ANSWER_MARGIN_MS
        )
        first_tried_ms = request.arrived_ms - self._typical_timeouts.estimate_waited_ms(
            route.name, caller_timeout_ms
        )
        content_id = fingerprint(request.method, call.host, request.target, request.body)
        traits = RequestTraits(content_id, call.prompt_parts)
        job = Job(
            request,
            call,
            route,
            service,
            first_tried_ms,
            answer_deadline_ms,
            caller_deadline_ms,
            traits,
        )
        if route.kind is RouteKind.STREAM:
            job.splitter = EventSplitter(call.last_event_id)
        if self.stop_deadline.end_ms is not None:
            job.end_by(self.stop_deadline.end_ms)
        return job

    def _refuse_if_too_large(self, job: Job, reply: Reply) -> bool:
        """Refuse a request that no runner can hold.

        The caller is within the limits of the configuration, so this is no error of the caller.
        """
        if not self._runner_memory.is_too_large(job):
            return False
        if job.may_have_run:
            self._finish_unserved(job, reply, TOO_LARGE, NOT_READY_RETRY_AFTER_MS)
            return True
        headers = self._dialect.not_run_headers() if job.is_forwarded else []
        self._send_own_answer(reply, job.call, 503, TOO_LARGE, TOO_LARGE_RETRY_AFTER_MS, headers)
        self._request_log.log_ended(job, reply, "refused", TOO_LARGE)
        return True

    def _refuse_if_version_unknown(self, job: Job, reply: Reply) -> bool:
        """Set the software version that must go on with a stream; refuse it if that is unknown."""
        is_resumption = job.splitter is not None and job.call.resumes_stream
        if not is_resumption or job.software_version is not None:
            return False
        match self._find_stream_version(job):
            case KnownVersion(software_version=software_version):
                job.software_version = software_version
                return False
            case AnyVersion():
                return False
            case UnknownVersion(reason=reason):
                cause = f"unknown software version of its stream: {reason}"
        headers = self._dialect.not_run_headers() if job.is_forwarded else []
        retry_after_ms = UNKNOWN_VERSION_RETRY_AFTER_MS
        self._send_own_answer(reply, job.call, 503, cause, retry_after_ms, headers)
        self._request_log.log_ended(job, reply, "refused", cause)
        return True

    def _find_stream_version(self, job: Job) -> StreamVersion:
        left_ms = job.cancel_at_ms() - self._clock.now_ms()
        timeout_ms = min(MAX_VERSION_SEARCH_MS, max(0, int(left_ms * VERSION_SEARCH_SHARE)))
        # Without the attempt that began it, only a service with a single version can go on with it.
        began = job.call.resumed_request_id or ""
        return self._stream_versions.find(job.service.name, began, timeout_ms)

    def _serve(self, job: Job, reply: Reply) -> None:
        chooser = self._runner_chooser if job.service.engine is not None else self._plain_chooser
        while True:
            now_ms = self._clock.now_ms()
            if job.answer_deadline_ms - now_ms < MIN_TIME_TO_SEND_MS:
                self._finish_timed_out(job, reply)
                return
            if self._refuse_if_quarantined(job, reply):
                return
            if self._must_not_send(job):
                if self._handle_without_path(job, reply):
                    return
                continue
            chosen = chooser.choose(job.call, job.route, job.service, job, now_ms)
            if isinstance(chosen, NoServer):
                if self._forwarding.can_forward(job):
                    continue
                self._finish_unserved(job, reply, chosen.reason, chosen.retry_after_ms)
                return
            # Waiting for a slot may take seconds, in which peers may have quarantined the request.
            if self._refuse_if_quarantined(job, reply):
                return
            sent_ms = self._clock.now_ms()
            refused_ms = job.refused_ms_by_life.get(chosen.life)
            if refused_ms is not None and sent_ms - refused_ms < SAME_SERVER_PAUSE_MS:
                retry_after_ms = job.retry_after_ms or NOT_READY_RETRY_AFTER_MS
                self._finish_unserved(job, reply, "every server refused it", retry_after_ms)
                return
            if not self._acquire_turn(job, reply, sent_ms):
                return
            result = self._attempt(job, reply, chooser, chosen)
            took_ms = self._clock.now_ms() - sent_ms
            if self._handle_result(job, reply, chosen, result, took_ms):
                return

    def _must_not_send(self, job: Job) -> bool:
        """Return whether this node reaches no server and must not try one itself.

        If no peer reaches one either, connections that are still open are used.
        """
        if not self._forwarding.is_path_lost(job.service.name):
            return False
        return self._forwarding.can_forward(job) or not self._paths.has_open_connection(
            job.service.name
        )

    def _acquire_turn(self, job: Job, reply: Reply, now_ms: int) -> bool:
        """Wait until a request may be sent; return ``False`` if it has been refused instead."""
        turn = self._quarantine.acquire_turn(
            job.traits.fingerprint, job.answer_deadline_ms - now_ms
        )
        if turn is Turn.TIMED_OUT:
            self._finish_unserved(
                job, reply, "other suspect requests go first", NOT_READY_RETRY_AFTER_MS
            )
            return False
        job.holds_turn = turn is Turn.ACQUIRED
        return not (job.holds_turn and self._refuse_if_quarantined(job, reply))

    def _handle_without_path(self, job: Job, reply: Reply) -> bool:
        """Forward a request to a peer; return ``False`` if another attempt follows."""
        if job.is_forwarded and not job.has_reached_server:
            self._refuse_unready(reply, job.call, "no server can be reached", is_forwarded=True)
            self._request_log.log_ended(job, reply, "refused", "no server can be reached")
            return True
        result = None
        if not job.is_forwarded:
            job.is_at_server = True
            result = self._forwarding.forward(job, reply, lambda: self._use_reserved_retry(job))
            job.is_at_server = False
        match result:
            case Passed():
                job.has_reached_server = True
                self._request_log.log_ended(job, reply, "passed")
            case EndUnknown():
                job.has_reached_server = True
                self._request_log.log_ended(job, reply, "cut", END_UNKNOWN)
            case Whole():
                self._handle_answer_of_peer(job, reply, result)
            case TimedOut():
                job.possible_runs += 1
                self._finish_timed_out(job, reply)
            case Unclear(reason=reason) | Cut(reason=reason):
                job.has_reached_server = True
                job.possible_runs += 1
                if self._may_retry(job, reply, may_have_run=True):
                    return False
                self._finish_unserved(job, reply, reason, NOT_READY_RETRY_AFTER_MS)
            case None if self._paths.has_open_connection(job.service.name):
                return False
            case _:
                self._finish_unserved(
                    job, reply, "no server can be reached", NO_PATH_RETRY_AFTER_MS
                )
        return True

    def _handle_answer_of_peer(self, job: Job, reply: Reply, answer: Whole) -> None:
        status = answer.head.status
        is_own_refusal = status in NOT_RUN_STATUSES and not answer.terms.is_signed
        if not is_own_refusal:
            job.has_reached_server = True
        if reply.started:
            self._request_log.log_ended(job, reply, "cut", f"status {status} while resuming")
            return
        headers = self._dialect.forwarded_headers(answer.head)
        head = answer.head
        reply.send_whole(status, headers, answer.body, head.reason, head.ends_with_connection)
        outcome = "refused" if is_own_refusal else "answered" if status < 500 else "failed"
        self._request_log.log_ended(
            job, reply, outcome, f"status {status} of a peer" if outcome != "answered" else None
        )

    def _refuse_if_quarantined(self, job: Job, reply: Reply) -> bool:
        """Refuse a quarantined request; return whether it is one."""
        cause = self._refusal_cause(job)
        if cause is None:
            return False
        if not job.has_reached_server and self._quarantine.begin_trial(job.traits):
            job.is_trial = True
            return False
        self._finish_unserved(job, reply, cause, QUARANTINE_RETRY_AFTER_MS)
        return True

    def _refusal_cause(self, job: Job) -> str | None:
        """Return why a request must not reach any server; a trial may reach one."""
        if job.is_trial and not job.has_reached_server:
            return None
        return self._quarantine.refusal_cause(job.traits)

    def _attempt(
        self, job: Job, reply: Reply, chooser: ServerChooser, chosen: Chosen
    ) -> AttemptResult:
        reply.raise_if_caller_left()
        sent_ms = self._clock.now_ms()
        job.tried_lives.append(chosen.life)
        job.headroom = None
        job.attempt_first_event_ms = None
        job.is_attempt_sound = False
        forwarded = self._forwarded_request(job, chosen, sent_ms)
        ticket = self._in_flight.begin(
            chosen.life,
            sent_ms,
            chosen.adapter,
            chosen.prefill_tokens,
            chosen.memory_tokens,
            forwarded.rank,
        )
        customer = job.customer_name if job.service.engine is not None else None
        if customer is not None:
            self._customer_usage.begin(customer, sent_ms)
        self._backlog.record_sent(chosen, sent_ms)
        self._request_log.log_sent(job, chosen, forwarded)
        attempt = Attempt(
            self._pools,
            self._dialect,
            job.request,
            job.call,
            job.answer_deadline_ms,
            self._response_deadline_ms(job, chooser, chosen, sent_ms),
            lambda: self._record_first_event(job, chosen, ticket),
            lambda: self._start_deadline_ms(job, chooser, chosen),
            lambda: chooser.may_send(chosen),
            lambda: self._admit(job, chosen),
            lambda: self._before_send(job, chooser, chosen),
            lambda: self._record_activity(job, chooser, chosen, ticket),
            lambda terms: self._record_terms(job, chosen, ticket, terms),
            lambda terms: self._record_server_notices(job, chosen, terms),
            self._stream_headers(job, chosen),
            lambda: self._record_more_events(job, chosen),
        )
        result: AttemptResult | None = None
        job.is_at_server = True
        try:
            result = attempt.send(
                chosen, lambda: self._build_head(job, chosen), reply, job.splitter
            )
            job.is_at_server = False
            return result
        finally:
            if result is None:
                waited_ms = self._clock.now_ms() - sent_ms
                result = Abandoned(
                    ticket.is_awaiting_first_event and waited_ms > job.route.objective_ms * 2
                )
            self._release_turn(job)
            if customer is not None:
                self._customer_usage.end(customer, self._clock.now_ms())
            self._finish_attempt(job, ticket, chooser, chosen, result, sent_ms)

    def _release_turn(self, job: Job) -> None:
        if job.holds_turn:
            job.holds_turn = False
            self._quarantine.release_turn()

    def _admit(self, job: Job, chosen: Chosen) -> AtLimit | Withheld | None:
        """Return why a request must not be sent; it may have waited long for its connection."""
        if self._refusal_cause(job) is not None:
            return Withheld()
        return self._server_limits.admit(chosen.life)

    def _before_send(self, job: Job, chooser: ServerChooser, chosen: Chosen) -> None:
        self._use_reserved_retry(job)
        job.known_crashes = self._quarantine.known_crashes(job.traits)
        chooser.record_sent(chosen, job.call.request_id, job.route, self._clock.now_ms())
        self._paths.record_sent(job.service.name)

    def _start_deadline_ms(self, job: Job, chooser: ServerChooser, chosen: Chosen) -> int | None:
        """Return until when a request may begin at its server; it is recalled after that."""
        if self._refusal_cause(job) is not None:
            return self._clock.now_ms()
        return chooser.start_deadline_ms(chosen)

    def _record_activity(
        self, job: Job, chooser: ServerChooser, chosen: Chosen, ticket: Ticket
    ) -> None:
        now_ms = self._clock.now_ms()
        chooser.record_activity(chosen, now_ms)
        self._runner_memory.record_progress(job, ticket, self._in_flight)
        began_ms = job.attempt_first_event_ms
        is_sound = began_ms is not None and now_ms - began_ms > HARDLY_BEGUN_MS
        if is_sound and not job.is_attempt_sound:
            job.is_attempt_sound = True
            self._quarantine.record_answering(job.traits, began_ms)
        self._paths.record_response(job.service.name)

    def _record_server_notices(self, job: Job, chosen: Chosen, terms: AnswerTerms) -> None:
        """Apply what an answer says of its server to all further requests."""
        if terms.is_leaving:
            self._on_server_leaving(chosen.life, f"the answer to {job.call.request_id}")
        if terms.rest_ms:
            self._server_limits.record_rest(chosen.life, terms.rest_ms)

    def _record_terms(self, job: Job, chosen: Chosen, ticket: Ticket, terms: AnswerTerms) -> None:
        job.answer_framing = terms.framing
        self._server_limits.record_answer(chosen.life, terms, ticket.sent_ms)

    def _use_reserved_retry(self, job: Job) -> None:
        if job.has_reserved_retry:
            job.has_reserved_retry = False
            self._retry_budget.record_retry_sent(job.service.name)

    def _response_deadline_ms(
        self, job: Job, chooser: ServerChooser, chosen: Chosen, now_ms: int
    ) -> int:
        """Return until when a server must have responded.

        A server that hangs would use up all the time of a request that another server could answer.
        A request that may run again is therefore sent to another server when the first one has
        taken far longer than is typical.
        """
        deadline_ms = job.answer_deadline_ms if job.is_resuming() else job.cancel_at_ms()
        if not job.route.is_repeatable or job.possible_runs + 1 >= job.route.max_attempts:
            return deadline_ms
        return min(deadline_ms, now_ms + chooser.response_timeout_ms(chosen, job.route))

    def _finish_attempt(
        self,
        job: Job,
        ticket: Ticket,
        chooser: ServerChooser,
        chosen: Chosen,
        result: AttemptResult,
        sent_ms: int,
    ) -> None:
        now_ms = self._clock.now_ms()
        if ticket.is_awaiting_first_event and isinstance(result, Abandoned | TimedOut | Recalled):
            self._backlog.record_missing_first_event(chosen, now_ms - sent_ms, now_ms)
        self._in_flight.end(ticket)
        if isinstance(result, Passed | Whole):
            self._answer_times.record(job.route.name, now_ms - sent_ms)
        self._runner_memory.record_result(job, result, now_ms - sent_ms)
        if not isinstance(result, Rejected | Unsent | AtLimit | Withheld):
            job.has_reached_server = True
        if isinstance(result, TimedOut | Unclear | Cut) and result.silent:
            self._paths.record_unreachable(job.service.name)
        chooser.record_result(chosen, job.call.request_id, result, now_ms - sent_ms, now_ms)
        self._request_log.count_attempt(result)

    def _record_first_event(self, job: Job, chosen: Chosen, ticket: Ticket) -> None:
        self._in_flight.record_first_event(ticket)
        now_ms = self._clock.now_ms()
        job.attempt_first_event_ms = job.last_event_ms = now_ms
        job.timed_event_count = job.splitter.event_count if job.splitter is not None else 0
        took_ms = now_ms - ticket.sent_ms
        self._backlog.record_first_event(chosen, took_ms, now_ms)
        version = chosen.software_version
        job.record_stream_server(chosen.life, version)
        if version is not None:
            self._stream_versions.record_begun(job.service.name, job.call.stream_id, version)
        if job.first_event_ms is None:
            job.first_event_ms = now_ms
            self.first_event_estimator.record(job.call.prompt_tokens, took_ms)

    def _record_more_events(self, job: Job, chosen: Chosen) -> None:
        now_ms, count = self._clock.now_ms(), job.splitter.event_count
        if count > job.timed_event_count:
            gap_ms = (now_ms - job.last_event_ms) / (count - job.timed_event_count)
            self._backlog.record_gap(chosen, gap_ms, now_ms)
            job.last_event_ms, job.timed_event_count = now_ms, count

    def _stream_headers(self, job: Job, chosen: Chosen) -> list[Header]:
        """Return the headers that tell a peer by which software version its stream is generated."""
        if not job.is_forwarded or chosen.software_version is None:
            return []
        return self._dialect.stream_version_headers(chosen.software_version)

    def _build_head(self, job: Job, chosen: Chosen) -> bytes:
        forwarded = self._forwarded_request(job, chosen, self._clock.now_ms())
        return self._dialect.forwarded_head(job.request, forwarded)

    def _forwarded_request(self, job: Job, chosen: Chosen, now_ms: int) -> ForwardedRequest:
        is_runner = job.service.engine is not None
        last_event_id = job.splitter.last_event_id if job.splitter is not None else None
        return ForwardedRequest(
            remaining_ms=max(1, job.caller_deadline_ms - now_ms),
            life=chosen.life,
            rank=job.rank_at(now_ms) if is_runner else None,
            expect_version=chosen.expect_version,
            last_event_id=last_event_id,
            identity=job.identity,
        )

    def _handle_result(
        self, job: Job, reply: Reply, chosen: Chosen, result: AttemptResult, took_ms: int
    ) -> bool:
        """Answer the caller and return ``True``, or return ``False`` if another attempt follows."""
        self._update_quarantine(job, chosen, result, self._clock.now_ms() - took_ms)
        match result:
            case Passed():
                self._request_log.log_ended(job, reply, "passed")
                return True
            case EndUnknown():
                self._request_log.log_ended(job, reply, "cut", END_UNKNOWN)
                return True
            case Whole():
                return self._handle_whole(job, reply, chosen, result, took_ms)
            case TimedOut():
                return self._handle_timed_out(job, reply, chosen, took_ms)
            case Abandoned():
                return True
            case Rejected():
                return self._handle_rejected(job, reply, chosen, result, took_ms)
            case Unsent(reason=reason):
                return self._handle_unsent(job, reply, chosen, reason, took_ms)
            case AtLimit():
                # Nothing has reached the server, so another one may be tried without a retry.
                job.full_lives.append(chosen.life)
                self._request_log.log_at_limit(job, chosen, result)
                return False
            case Withheld():
                # The cause is still there and refuses the request.
                return False
            case Recalled():
                job.possible_runs += 1
                reason = self._refusal_cause(job) or "a newer version of its adapter was requested"
                return self._retry_or_finish(job, reply, chosen, reason, took_ms, may_have_run=True)
            case Unclear(reason=reason) | Cut(reason=reason):
                job.avoided_lives.append(chosen.life)
                job.possible_runs += 1
                return self._retry_or_finish(job, reply, chosen, reason, took_ms, may_have_run=True)

    def _update_quarantine(
        self, job: Job, chosen: Chosen, result: AttemptResult, sent_ms: int
    ) -> None:
        """Record what a result shows about the request and about whether its server crashed."""
        began_ms = job.attempt_first_event_ms
        answering_ms = None if began_ms is None else self._clock.now_ms() - began_ms
        match result:
            case Passed() | EndUnknown():
                self._quarantine.record_completed(job.traits.fingerprint)
                self._record_answer(job, chosen, began_ms or sent_ms)
            case Whole(head=head) if head.status < 500 and head.status not in NOT_RUN_STATUSES:
                self._quarantine.record_completed(job.traits.fingerprint)
                if head.status < 300:
                    self._record_answer(job, chosen, sent_ms)
            case Unclear() | Cut():
                self._quarantine.record_broken_connection(
                    job.traits, chosen.life, chosen.address, job.known_crashes, answering_ms
                )
            case Unsent(connection_refused=True) if not self._paths.check_is_lost(
                job.service.name, job.unsent_count + 1
            ):
                self._quarantine.record_server_crash(chosen.life)

    def _record_answer(self, job: Job, chosen: Chosen, began_ms: int) -> None:
        if job.answer_framing is Framing.CONNECTION:
            self._quarantine.record_unmarked_end(job.traits, began_ms, chosen.life, chosen.address)
        else:
            self._quarantine.record_answering(job.traits, began_ms)

    def _handle_timed_out(self, job: Job, reply: Reply, chosen: Chosen, took_ms: int) -> bool:
        job.possible_runs += 1
        job.avoided_lives.append(chosen.life)
        now_ms = self._clock.now_ms()
        if not job.is_resuming() and job.cancel_at_ms() <= now_ms < job.answer_deadline_ms:
            reason = "no first event in time"
            self._request_log.log_failed(job, chosen, reason, False, took_ms)
            self._finish_unserved(job, reply, reason, NOT_READY_RETRY_AFTER_MS)
            return True
        if job.answer_deadline_ms - now_ms >= MIN_TIME_TO_SEND_MS:
            return self._retry_or_finish(
                job, reply, chosen, "server unresponsive", took_ms, may_have_run=True
            )
        self._finish_timed_out(job, reply)
        return True

    def _handle_rejected(
        self, job: Job, reply: Reply, chosen: Chosen, result: Rejected, took_ms: int
    ) -> bool:
        # A runner that lacks an adapter that the lease holder believes it holds is tried once more,
        # since the load may have just finished. Without a limit, one request used 41 attempts and
        # with them the retry budget of all nodes within 0.2 s.
        if not result.misrouted or job.tried_lives.count(chosen.life) > 1:
            job.avoided_lives.append(chosen.life)
        if not result.misrouted:
            job.refused_ms_by_life[chosen.life] = self._clock.now_ms()
        job.retry_after_ms = result.retry_after_ms or job.retry_after_ms
        reason = result.reason
        self._request_log.log_refused(job, chosen, result, took_ms)
        return self._retry_or_finish(job, reply, chosen, reason, took_ms, may_have_run=False)

    def _handle_unsent(
        self, job: Job, reply: Reply, chosen: Chosen, reason: str, took_ms: int
    ) -> bool:
        # Nothing has reached a server, so the first time at each server costs no retry. A second
        # time does, because otherwise attempts would go from server to server without end.
        job.unsent_count += 1
        self._paths.check_is_lost(job.service.name, job.unsent_count)
        if chosen.life in job.avoided_lives and not self._forwarding.can_forward(job):
            self._use_reserved_retry(job)
            return self._retry_or_finish(job, reply, chosen, reason, took_ms, may_have_run=False)
        job.avoided_lives.append(chosen.life)
        self._request_log.log_failed(job, chosen, reason, True, took_ms)
        return False

    def _handle_whole(
        self, job: Job, reply: Reply, chosen: Chosen, result: Whole, took_ms: int
    ) -> bool:
        status = result.head.status
        is_unclear = status in NOT_RUN_STATUSES
        if status >= 500 or is_unclear:
            job.possible_runs += 1
            job.avoided_lives.append(chosen.life)
            will_retry = self._may_retry(job, reply, may_have_run=True)
            self._request_log.log_failed(job, chosen, f"status {status}", will_retry, took_ms)
            if will_retry:
                return False
        if reply.started:
            self._request_log.log_ended(job, reply, "cut", f"status {status} while resuming")
        elif is_unclear:
            # Such a status promises the caller that the request was not run, but the server has not
            # stated that, so the status must not be forwarded.
            self._send_own_answer(reply, job.call, 502, f"server's status {status}")
            self._request_log.log_ended(
                job, reply, "failed", f"status {status} without the not-run header"
            )
        else:
            headers = self._dialect.forwarded_headers(result.head)
            head = result.head
            reply.send_whole(status, headers, result.body, head.reason, head.ends_with_connection)
            outcome = "answered" if status < 500 else "server_failed"
            self._request_log.log_ended(
                job, reply, outcome, f"status {status}" if status >= 500 else None
            )
        return True

    def _retry_or_finish(
        self, job: Job, reply: Reply, chosen: Chosen, reason: str, took_ms: int, may_have_run: bool
    ) -> bool:
        will_retry = self._may_retry(job, reply, may_have_run)
        self._request_log.log_failed(job, chosen, reason, will_retry, took_ms)
        if will_retry:
            if job.is_resuming():
                self._request_log.count_resume()
            return False
        self._finish_unserved(job, reply, reason, job.retry_after_ms or NOT_READY_RETRY_AFTER_MS)
        return True

    def _may_retry(self, job: Job, reply: Reply, may_have_run: bool) -> bool:
        """Return whether another attempt may follow, and reserve a retry for it if so."""
        if may_have_run and not job.may_run_again():
            return False
        if reply.started and not job.can_go_on():
            return False
        if job.answer_deadline_ms - self._clock.now_ms() < MIN_TIME_TO_SEND_MS:
            return False
        job.headroom = self._retry_budget.reserve_retry(job.service.name)
        job.has_reserved_retry = job.headroom.is_allowed
        self._request_log.count_retry(job.headroom.is_allowed)
        return job.headroom.is_allowed

    def _finish_timed_out(self, job: Job, reply: Reply) -> None:
        if job.may_have_run and not reply.started:
            self._send_own_answer(reply, job.call, 504, "time over")
            self._request_log.log_ended(job, reply, "failed", "time over")
            return
        self._finish_unserved(job, reply, "time over", NOT_READY_RETRY_AFTER_MS)

    def _finish_unserved(self, job: Job, reply: Reply, reason: str, retry_after_ms: int) -> None:
        """Answer a request that can't be served, with the time of a retry if nothing ran."""
        if reply.started:
            # The caller's connection closes before the end of the answer, so the caller notices.
            self._request_log.log_ended(job, reply, "cut", reason)
            return
        status = 502 if job.may_have_run else 503
        self._send_own_answer(reply, job.call, status, reason, retry_after_ms)
        self._request_log.log_ended(job, reply, "failed" if job.may_have_run else "refused", reason)

    def _send_own_answer(
        self,
        reply: Reply,
        call: Call | None,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
        extra_headers: Iterable[Header] = (),
    ) -> None:
        headers: list[Header] = [(b"Content-Type", b"text/plain"), *extra_headers]
        is_retryable = status in (429, 503)
        headers += self._dialect.own_answer_headers(call, retry_after_ms if is_retryable else None)
        reply.send_whole(status, headers, reason.encode())
