"""Decides what becomes of one request: where it goes, whether again, what its caller is told."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..quarantine.fingerprint import fingerprint
from ..quarantine.models import Turn
from ..routing.caller_timeouts import TypicalCallerTimeouts
from ..routing.first_event import FirstEventEstimator
from ..routing.in_flight import InFlight, Ticket
from ..routing.routes import Route, RouteKind, RouteTable, Service
from ..transport.client import Pools
from ..transport.models import CallerLeft, Header, Request
from ..transport.server import Reply
from .backlog import Backlog
from .events import EventCutter
from .job import Job
from .models import (
    Abandoned,
    Call,
    Chosen,
    Cut,
    Dialect,
    Malformed,
    NoServer,
    Onward,
    Passed,
    Recalled,
    Rejected,
    TimedOut,
    Try,
    Unclear,
    Unsent,
    Whole,
)
from .offer import NOT_RUN_STATUSES, Offer
from .ports import Chooser, Quarantine, RetryGate
from .record import Record

NOT_READY_RETRY_MS: Final = 300
"""When a caller may come back to a node that has no configuration yet: it usually has one then."""

MIN_SEND_MS: Final = 20
"""With less time left no server is bothered."""

SAME_SERVER_PAUSE_MS: Final = 40
"""A server that refused a request is not asked again sooner, about half of the work of one request:
sent there every 2 ms, a few requests used up the retries of ninety nodes (490 of 454)."""

QUARANTINE_RETRY_MS: Final = 60_000
"""When a caller may come back with a request under which servers end: not soon."""

ANSWER_EARLY_MS: Final = 15
"""How long before a request's time is over the answer is written, so that it arrives in time."""


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
        backlog: Backlog,
        retries: RetryGate,
        quarantine: Quarantine,
        plain: Chooser,
        engines: Chooser,
        rng: random.Random,
        record: Record,
    ) -> None:
        self._clock = clock
        self._dialect = dialect
        self._table = table
        self._pools = pools
        self._in_flight = in_flight
        self._backlog = backlog
        self._retries = retries
        self._quarantine = quarantine
        self._plain = plain
        self._engines = engines
        self._rng = rng
        self._record = record
        self._usual_deadlines = TypicalCallerTimeouts()
        self.first_event_pace = FirstEventEstimator()
        self.takes_requests = True

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        call = self._dialect.read_call(request)
        if isinstance(call, Malformed):
            self._own_answer(reply, None, 400, call.reason)
            return
        if not self.takes_requests:
            self._own_answer(reply, call, 503, "this node stops", NOT_READY_RETRY_MS)
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
        self._record.accepted(job, table.version)
        self._retries.first(service.name)
        try:
            self._serve(job, reply)
        except CallerLeft:
            self._record.ended(job, reply, "caller_left")
            raise
        finally:
            self._end_turn(job)
            if job.retry_granted:
                self._retries.unused(service.name)

    def _job(self, request: Request, call: Call, route: Route, service: Service) -> Job:
        waits_ms = call.deadline_ms if call.deadline_ms is not None else route.timeout_ms
        deadline_at_ms = request.arrived_ms + waits_ms
        until_ms = min(deadline_at_ms, request.arrived_ms + route.timeout_ms) - ANSWER_EARLY_MS
        since_ms = request.arrived_ms - self._usual_deadlines.estimate_waited_ms(
            route.name, waits_ms
        )
        same = fingerprint(request.method, call.host, request.target, request.body)
        job = Job(request, call, route, service, since_ms, until_ms, deadline_at_ms, same)
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
            if self._refused_for_good(job, reply):
                return
            chosen = chooser.choose(job.call, job.route, job.service, job, now_ms)
            if isinstance(chosen, NoServer):
                self._give_up(job, reply, chosen.reason, chosen.retry_after_ms)
                return
            # A place is waited for for seconds: what others have found out meanwhile counts.
            if self._refused_for_good(job, reply):
                return
            sent_ms = self._clock.now_ms()
            refused_ms = job.refused_ms_by_life.get(chosen.life)
            if refused_ms is not None and sent_ms - refused_ms < SAME_SERVER_PAUSE_MS:
                retry_after_ms = job.retry_after_ms or NOT_READY_RETRY_MS
                self._give_up(job, reply, "every server refused it", retry_after_ms)
                return
            turn = self._quarantine.take_turn(job.fingerprint, job.until_ms - sent_ms)
            if turn is Turn.LOST:
                self._give_up(job, reply, "others that are suspected go first", NOT_READY_RETRY_MS)
                return
            job.turn_held = turn is Turn.HELD
            if job.turn_held and self._refused_for_good(job, reply):
                return
            result = self._try(job, reply, chooser, chosen)
            took_ms = self._clock.now_ms() - sent_ms
            if self._settled(job, reply, chosen, result, took_ms):
                return

    def _refused_for_good(self, job: Job, reply: Reply) -> bool:
        """Answer a request under which servers end, and tell whether it is one."""
        if not self._quarantine.refuses(job.fingerprint):
            return False
        self._give_up(job, reply, "servers end under this request", QUARANTINE_RETRY_MS)
        return True

    def _try(self, job: Job, reply: Reply, chooser: Chooser, chosen: Chosen) -> Try:
        reply.check_caller()
        sent_ms = self._clock.now_ms()
        job.tried.append(chosen.life)
        job.headroom = None
        onward = self._onward(job, chosen, sent_ms)
        ticket = self._in_flight.begin(
            chosen.life,
            sent_ms,
            chosen.adapter,
            chosen.unread_tokens,
            chosen.memory_tokens,
            onward.priority,
        )
        self._backlog.sent(chosen, sent_ms)
        self._record.sent(job, chosen, onward)
        offer = Offer(
            self._pools,
            self._dialect,
            job.request,
            job.call,
            job.until_ms,
            self._sign_until(job, chooser, chosen, sent_ms),
            lambda: self._first_event(job, chosen, ticket),
            lambda: chooser.begins_until_ms(chosen),
            lambda: chooser.may_send(chosen),
            lambda: self._goes_out(job, chooser, chosen),
            lambda: chooser.alive(chosen, self._clock.now_ms()),
        )
        result: Try | None = None
        try:
            result = offer.send(chosen, lambda: self._head(job, chosen), reply, job.cutter)
            return result
        finally:
            if result is None:
                waited_ms = self._clock.now_ms() - sent_ms
                result = Abandoned(
                    ticket.is_awaiting_first_event and waited_ms > job.route.objective_ms * 2
                )
            self._end_turn(job)
            self._finish_try(job, ticket, chooser, chosen, result, sent_ms)

    def _end_turn(self, job: Job) -> None:
        if job.turn_held:
            job.turn_held = False
            self._quarantine.end_turn()

    def _goes_out(self, job: Job, chooser: Chooser, chosen: Chosen) -> None:
        self._spend_retry(job)
        chooser.sent(chosen, job.call.request_id, job.route, self._clock.now_ms())

    def _spend_retry(self, job: Job) -> None:
        if job.retry_granted:
            job.retry_granted = False
            self._retries.sent(job.service.name)

    def _sign_until(self, job: Job, chooser: Chooser, chosen: Chosen, now_ms: int) -> int:
        """Return until when a server must have given a sign.

        A server that hangs would use up all the time of a request that another could answer: one
        that may run again is tried elsewhere once the server is far beyond its usual time.
        """
        until_ms = job.until_ms if job.resuming() else job.taken_back_ms()
        if not job.route.is_repeatable or job.runs + 1 >= job.route.max_attempts:
            return until_ms
        return min(until_ms, now_ms + chooser.patience_ms(chosen, job.route))

    def _finish_try(
        self,
        job: Job,
        ticket: Ticket,
        chooser: Chooser,
        chosen: Chosen,
        result: Try,
        sent_ms: int,
    ) -> None:
        now_ms = self._clock.now_ms()
        if ticket.is_awaiting_first_event and isinstance(result, Abandoned | TimedOut | Recalled):
            self._backlog.no_first_event(chosen, now_ms - sent_ms, now_ms)
        self._in_flight.end(ticket)
        chooser.ended(chosen, job.call.request_id, result, now_ms - sent_ms, now_ms)
        self._record.tried(result)

    def _first_event(self, job: Job, chosen: Chosen, ticket: Ticket) -> None:
        self._in_flight.record_first_event(ticket)
        now_ms = self._clock.now_ms()
        took_ms = now_ms - ticket.sent_ms
        self._backlog.first_event(chosen, took_ms, now_ms)
        if job.first_ms is None:
            job.first_ms = now_ms
            self.first_event_pace.record(job.call.prompt_tokens, took_ms)

    def _head(self, job: Job, chosen: Chosen) -> bytes:
        onward = self._onward(job, chosen, self._clock.now_ms())
        return self._dialect.onward_head(job.request, onward)

    def _onward(self, job: Job, chosen: Chosen, now_ms: int) -> Onward:
        engine = job.service.engine is not None
        last_event = job.cutter.last_event if job.cutter is not None else None
        return Onward(
            left_ms=max(1, job.deadline_at_ms - now_ms),
            life=chosen.life,
            priority=job.rank_at(now_ms) if engine else None,
            expect_version=chosen.expect_version,
            last_event=last_event,
        )

    def _settled(self, job: Job, reply: Reply, chosen: Chosen, result: Try, took_ms: int) -> bool:
        """Answer the caller, or tell that another try follows."""
        self._learn(job, chosen, result)
        match result:
            case Passed():
                self._record.ended(job, reply, "passed")
                return True
            case Whole():
                return self._settle_whole(job, reply, chosen, result, took_ms)
            case TimedOut():
                return self._settle_timed_out(job, reply, chosen, took_ms)
            case Abandoned():
                return True
            case Rejected():
                return self._settle_rejected(job, reply, chosen, result, took_ms)
            case Unsent(reason=reason):
                return self._settle_unsent(job, reply, chosen, reason, took_ms)
            case Recalled():
                job.runs += 1
                reason = "a newer version of its adapter is named"
                return self._again_or_end(job, reply, chosen, reason, took_ms, ran=True)
            case Unclear(reason=reason) | Cut(reason=reason):
                job.avoided.append(chosen.life)
                job.runs += 1
                return self._again_or_end(job, reply, chosen, reason, took_ms, ran=True)

    def _learn(self, job: Job, chosen: Chosen, result: Try) -> None:
        """Take what a try tells of its request and of its server's life."""
        match result:
            case Passed():
                self._quarantine.completed(job.fingerprint)
            case Whole(head=head) if head.status < 500 and head.status not in NOT_RUN_STATUSES:
                self._quarantine.completed(job.fingerprint)
            case Unclear() | Cut():
                self._quarantine.broke(job.fingerprint, chosen.life, chosen.address)
            case Unsent(refused=True):
                self._quarantine.server_ended(chosen.life)

    def _settle_timed_out(self, job: Job, reply: Reply, chosen: Chosen, took_ms: int) -> bool:
        job.runs += 1
        job.avoided.append(chosen.life)
        now_ms = self._clock.now_ms()
        if not job.resuming() and job.taken_back_ms() <= now_ms < job.until_ms:
            reason = "no first event in time"
            self._record.failed(job, chosen, reason, False, took_ms)
            self._give_up(job, reply, reason, NOT_READY_RETRY_MS)
            return True
        if job.until_ms - now_ms >= MIN_SEND_MS:
            return self._again_or_end(job, reply, chosen, "hangs", took_ms, ran=True)
        self._time_over(job, reply)
        return True

    def _settle_rejected(
        self, job: Job, reply: Reply, chosen: Chosen, result: Rejected, took_ms: int
    ) -> bool:
        # A runner that lacks what its holder believes it has is asked once more, since the load may
        # have just ended; asked again and again it would use up the retry budget of the whole fleet
        # within 0.2 s (41 tries of one request).
        if not result.moved or job.tried.count(chosen.life) > 1:
            job.avoided.append(chosen.life)
        if not result.moved:
            job.refused_ms_by_life[chosen.life] = self._clock.now_ms()
        job.retry_after_ms = result.retry_after_ms or job.retry_after_ms
        reason = result.reason
        self._record.refused(job, chosen, reason, result.moved, result.retry_after_ms)
        return self._again_or_end(job, reply, chosen, reason, took_ms, ran=False)

    def _settle_unsent(
        self, job: Job, reply: Reply, chosen: Chosen, reason: str, took_ms: int
    ) -> bool:
        # Nothing has arrived, so nothing is counted where the budget is kept. The second time at
        # one server costs a retry all the same: tries would go from port to port without end.
        if chosen.life in job.avoided:
            self._spend_retry(job)
            return self._again_or_end(job, reply, chosen, reason, took_ms, ran=False)
        job.avoided.append(chosen.life)
        self._record.failed(job, chosen, reason, True, took_ms)
        return False

    def _settle_whole(
        self, job: Job, reply: Reply, chosen: Chosen, result: Whole, took_ms: int
    ) -> bool:
        status = result.head.status
        unclear = status in NOT_RUN_STATUSES
        if status >= 500 or unclear:
            job.runs += 1
            job.avoided.append(chosen.life)
            again = self._may_try_again(job, ran=True)
            self._record.failed(job, chosen, f"status {status}", again, took_ms)
            if again:
                return False
        if reply.started:
            self._record.ended(job, reply, "cut", f"status {status} while resuming")
        elif unclear:
            # The server does not say that nothing ran; passed on, its status would promise it.
            self._own_answer(reply, job.call, 502, f"server's status {status}")
            self._record.ended(job, reply, "failed", f"status {status} without the word")
        else:
            headers = self._dialect.passed_headers(result.head)
            reply.whole(status, headers, result.body, result.head.reason)
            outcome = "answered" if status < 500 else "server_failed"
            self._record.ended(job, reply, outcome, f"status {status}" if status >= 500 else None)
        return True

    def _again_or_end(
        self, job: Job, reply: Reply, chosen: Chosen, reason: str, took_ms: int, ran: bool
    ) -> bool:
        again = self._may_try_again(job, ran)
        self._record.failed(job, chosen, reason, again, took_ms)
        if again:
            if job.resuming():
                self._record.resuming()
            return False
        self._give_up(job, reply, reason, job.retry_after_ms or NOT_READY_RETRY_MS)
        return True

    def _may_try_again(self, job: Job, ran: bool) -> bool:
        if ran and not job.may_run_again():
            return False
        if job.until_ms - self._clock.now_ms() < MIN_SEND_MS:
            return False
        job.headroom = self._retries.may_retry(job.service.name)
        job.retry_granted = job.headroom.is_allowed
        self._record.wanted_again(job.headroom.is_allowed)
        return job.headroom.is_allowed

    def _time_over(self, job: Job, reply: Reply) -> None:
        if job.may_have_run and not reply.started:
            self._own_answer(reply, job.call, 504, "time over")
            self._record.ended(job, reply, "failed", "time over")
            return
        self._give_up(job, reply, "time over", NOT_READY_RETRY_MS)

    def _give_up(self, job: Job, reply: Reply, reason: str, retry_after_ms: int) -> None:
        """Answer at once what can't be served; where nothing ran, with a time to come back."""
        if reply.started:
            # The caller's connection ends without the answer's proper end: it sees the cut.
            self._record.ended(job, reply, "cut", reason)
            return
        status = 502 if job.may_have_run else 503
        self._own_answer(reply, job.call, status, reason, retry_after_ms)
        self._record.ended(job, reply, "failed" if job.may_have_run else "refused", reason)

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
