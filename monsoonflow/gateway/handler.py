"""Decides what becomes of one request: where it goes, whether again, what its caller is told."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Final, Protocol

import attrs

from ..core.clock import Clock
from ..helpers.logfmt import pairs
from ..routing.in_flight import InFlight, Ticket
from ..routing.routes import Route, RouteKind, RouteTable, Service
from ..transport.client import Pools
from ..transport.models import CallerLeft, Header, Request
from ..transport.server import Reply
from .events import EventCutter
from .models import (
    Call,
    Chosen,
    Cut,
    Dialect,
    Malformed,
    NoServer,
    Onward,
    Passed,
    Rejected,
    TimedOut,
    Try,
    Unclear,
    Unsent,
    Whole,
)
from .offer import NOT_RUN_STATUSES, Offer

_LOGGER = logging.getLogger(__name__)
NOT_READY_RETRY_MS: Final = 300
"""When a caller may come back to a node that has no configuration yet: it usually has one then."""

MIN_SEND_MS: Final = 20
"""With less time left no server is bothered."""

SAME_SERVER_PAUSE_MS: Final = 40
"""Pause before a server that was not ready to take a request is asked again."""

LATE_RANKS: Final = 5
"""How many ranks a request falls back at a runner once its latency objective has passed."""

LAST_RANK: Final = 9

ANSWER_EARLY_MS: Final = 15
"""How long before a request's time is over the answer is written, so that it arrives in time."""


class Chooser(Protocol):
    """Chooses a server for a request."""

    def choose(
        self, call: Call, route: Route, service: Service, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return a server; may wait for one."""

    def ended(self, chosen: Chosen, result: Try, took_ms: int, now_ms: int) -> None:
        """Take how a try ended."""


class RetryGate(Protocol):
    """Counts requests and retries over the fleet."""

    def first(self, service: str) -> None:
        """Count a request for a service."""

    def may_retry(self, service: str) -> bool:
        """Tell whether the budget allows one more arrival, and count it."""


@attrs.define(slots=True)
class Job:
    """One request of a caller on its way through this node.

    :param until_ms: when it must be answered.
    :param tried: the servers that it was sent to, in order.
    :param avoided: the servers that refused it, broke off or could not be reached.
    :param may_have_run: whether a try may have run on a server.
    """

    request: Request
    call: Call
    route: Route
    service: Service
    until_ms: int
    deadline_at_ms: int
    tried: list[str] = attrs.Factory(list)
    avoided: list[str] = attrs.Factory(list)
    may_have_run: bool = False
    retry_after_ms: int | None = None
    cutter: EventCutter | None = None

    def resuming(self) -> bool:
        """Tell whether parts of the answer have been passed on."""
        return self.cutter is not None and self.cutter.events > 0

    def servers_used(self) -> int:
        """Return how many servers it was sent to."""
        return len(set(self.tried))


class Gateway:
    """Handles callers' requests.

    :param table: returns the configuration in force, or ``None`` while there is none.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        table: Callable[[], RouteTable | None],
        pools: Pools,
        in_flight: InFlight,
        retries: RetryGate,
        plain: Chooser,
        engines: Chooser,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._dialect = dialect
        self._table = table
        self._pools = pools
        self._in_flight = in_flight
        self._retries = retries
        self._plain = plain
        self._engines = engines
        self._rng = rng

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        call = self._dialect.read_call(request)
        if isinstance(call, Malformed):
            self._own_answer(reply, None, 400, call.reason)
            return
        table = self._table()
        if table is None:
            self._own_answer(reply, call, 503, "no configuration yet", NOT_READY_RETRY_MS)
            return
        route = table.match(call.host, call.path)
        if route is None:
            self._own_answer(reply, call, 404, "no route")
            return
        service = table.service_by_name.get(route.choose_service(self._rng))
        if service is None:
            self._own_answer(reply, call, 503, "unknown service", NOT_READY_RETRY_MS)
            return
        job = self._job(request, call, route, service)
        self._retries.first(service.name)
        try:
            self._serve(job, reply)
        except CallerLeft:
            self._log(job, reply, "caller_left")
            raise

    def _job(self, request: Request, call: Call, route: Route, service: Service) -> Job:
        waits_ms = call.deadline_ms if call.deadline_ms is not None else route.timeout_ms
        deadline_at_ms = request.arrived_ms + waits_ms
        until_ms = min(deadline_at_ms, request.arrived_ms + route.timeout_ms) - ANSWER_EARLY_MS
        job = Job(request, call, route, service, until_ms, deadline_at_ms)
        if route.kind is RouteKind.STREAM:
            job.cutter = EventCutter(call.last_event)
        return job

    def _serve(self, job: Job, reply: Reply) -> None:
        chooser = self._engines if job.service.engine is not None else self._plain
        while True:
            now_ms = self._clock.now_ms()
            if job.until_ms - now_ms < MIN_SEND_MS:
                self._time_over(job, reply)
                return
            chosen = chooser.choose(job.call, job.route, job.service, job, now_ms)
            if isinstance(chosen, NoServer):
                self._give_up(job, reply, chosen.reason, chosen.retry_after_ms)
                return
            result = self._try(job, reply, chooser, chosen)
            if self._settled(job, reply, chosen, result):
                return

    def _try(self, job: Job, reply: Reply, chooser: Chooser, chosen: Chosen) -> Try:
        sent_ms = self._clock.now_ms()
        job.tried.append(chosen.server_id)
        ticket = self._in_flight.begin(
            chosen.server_id, sent_ms, chosen.adapter, chosen.unread_tokens, chosen.memory_tokens
        )
        head = self._dialect.onward_head(job.request, self._onward(job, chosen, sent_ms))
        offer = Offer(
            self._pools,
            self._dialect,
            job.request,
            job.call,
            job.until_ms,
            lambda: self._in_flight.first_event(ticket),
        )
        result: Try = Unclear("the caller left")
        try:
            result = offer.send(chosen, head, reply, job.cutter)
        finally:
            self._finish_try(ticket, chooser, chosen, result, sent_ms)
        return result

    def _finish_try(
        self, ticket: Ticket, chooser: Chooser, chosen: Chosen, result: Try, sent_ms: int
    ) -> None:
        now_ms = self._clock.now_ms()
        self._in_flight.end(ticket)
        chooser.ended(chosen, result, now_ms - sent_ms, now_ms)

    def _onward(self, job: Job, chosen: Chosen, now_ms: int) -> Onward:
        engine = job.service.engine is not None
        last_event = job.cutter.last_event if job.cutter is not None else None
        return Onward(
            left_ms=max(1, job.deadline_at_ms - now_ms),
            server_id=chosen.server_id,
            priority=self._priority(job, now_ms) if engine else None,
            expect_version=chosen.expect_version,
            last_event=last_event,
        )

    def _priority(self, job: Job, now_ms: int) -> int:
        """Return the rank at the runner, 0 first.

        Who is late already goes behind who can still be on time: in the order of arrival a backlog
        would make all of them late. Who has had a part of its answer goes first.
        """
        if job.resuming():
            return 0
        late = now_ms > job.request.arrived_ms + job.route.objective_ms
        return min(job.route.priority + (LATE_RANKS if late else 0), LAST_RANK)

    def _settled(self, job: Job, reply: Reply, chosen: Chosen, result: Try) -> bool:
        """Answer the caller, or tell that another try follows."""
        match result:
            case Passed():
                self._log(job, reply, "passed", server=chosen.server_id)
                return True
            case Whole(head=head, body=body):
                if head.status >= 500:
                    job.avoided.append(chosen.server_id)
                return self._settle_whole(job, reply, result, head.status, body)
            case TimedOut():
                job.may_have_run = True
                self._time_over(job, reply)
                return True
            case Rejected(reason=reason, retry_after_ms=retry_after_ms, moved=moved):
                if not moved:
                    job.avoided.append(chosen.server_id)
                job.retry_after_ms = retry_after_ms or job.retry_after_ms
                return self._again_or(job, reply, 503, reason)
            case Unsent(reason=reason):
                job.avoided.append(chosen.server_id)
                return self._again_or(job, reply, 503, reason)
            case Unclear(reason=reason):
                job.avoided.append(chosen.server_id)
                job.may_have_run = True
                return self._again_or(job, reply, 502, reason)
            case Cut(reason=reason):
                job.avoided.append(chosen.server_id)
                job.may_have_run = True
                if self._may_try_again(job, ran=True):
                    self._log(job, reply, "resuming", cause=reason, server=chosen.server_id)
                    return False
                # The caller's connection ends without the answer's proper end: it sees the cut.
                self._log(job, reply, "cut", cause=reason, server=chosen.server_id)
                return True

    def _settle_whole(
        self, job: Job, reply: Reply, result: Whole, status: int, body: bytes
    ) -> bool:
        if status >= 500 or (status in NOT_RUN_STATUSES):
            job.may_have_run = True
            if self._may_try_again(job, ran=True):
                self._log(job, reply, "trying_again", cause=f"status {status}")
                return False
        if reply.started:
            self._log(job, reply, "cut", cause=f"status {status} while resuming")
            return True
        if status in NOT_RUN_STATUSES:
            # The server does not say that nothing ran; passed on, its status would promise it.
            self._own_answer(reply, job.call, 502, f"server's status {status}")
            self._log(job, reply, "failed", cause=f"status {status} without the word")
            return True
        headers = self._dialect.passed_headers(result.head)
        reply.whole(status, headers, body, result.head.reason)
        self._log(job, reply, "answered")
        return True

    def _again_or(self, job: Job, reply: Reply, status: int, reason: str) -> bool:
        if self._may_try_again(job, ran=status != 503):
            self._log(job, reply, "trying_again", cause=reason)
            return False
        if reply.started:
            self._log(job, reply, "cut", cause=reason)
            return True
        if job.may_have_run:
            self._own_answer(reply, job.call, 502, reason)
            self._log(job, reply, "failed", cause=reason)
            return True
        self._give_up(job, reply, reason, job.retry_after_ms or NOT_READY_RETRY_MS)
        return True

    def _may_try_again(self, job: Job, ran: bool) -> bool:
        if ran and not job.route.repeatable:
            return False
        if job.until_ms - self._clock.now_ms() < MIN_SEND_MS:
            return False
        if job.servers_used() >= job.route.attempts and ran:
            return False
        return self._retries.may_retry(job.service.name)

    def _time_over(self, job: Job, reply: Reply) -> None:
        if reply.started:
            self._log(job, reply, "cut", cause="time over")
        elif job.may_have_run:
            self._own_answer(reply, job.call, 504, "time over")
            self._log(job, reply, "failed", cause="time over")
        else:
            self._give_up(job, reply, "time over", NOT_READY_RETRY_MS)

    def _give_up(self, job: Job, reply: Reply, reason: str, retry_after_ms: int) -> None:
        """Answer at once what can't be served; where nothing ran, with a time to come back."""
        if reply.started:
            self._log(job, reply, "cut", cause=reason)
            return
        status = 502 if job.may_have_run else 503
        self._own_answer(reply, job.call, status, reason, retry_after_ms)
        self._log(job, reply, "failed" if job.may_have_run else "refused", cause=reason)

    def _own_answer(
        self,
        reply: Reply,
        call: Call | None,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
    ) -> None:
        headers: list[Header] = [(b"Content-Type", b"text/plain")]
        headers += self._dialect.own_headers(call, retry_after_ms if status == 503 else None)
        reply.whole(status, headers, reason.encode())

    def _log(self, job: Job, reply: Reply, event: str, **fields: str) -> None:
        now_ms = self._clock.now_ms()
        _LOGGER.info(
            "%s",
            pairs(
                event=event,
                request=job.call.request_id,
                route=job.route.name,
                adapter=job.call.adapter,
                status=reply.status or None,
                bytes=reply.sent_bytes,
                took_ms=now_ms - job.request.arrived_ms,
                left_ms=job.until_ms - now_ms,
                tried=",".join(job.tried) or None,
                **fields,
            ),
        )
