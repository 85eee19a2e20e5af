"""Drives one request from admission to its outcome."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator

from ..backend.models import (
    Began,
    Broken,
    Chunk,
    Cut,
    Ended,
    OrderStamp,
    Refused,
    StreamEvent,
    Unclear,
)
from ..core.outcome import NotRun, tag
from ..helpers.logfmt import pairs
from ..membership.view import Peer
from ..report.burn import Ending
from ..request.const import State
from ..request.models import ChunkVerdict, End, NextStep, Resume, Retry
from ..routing.limits import Refusal
from ..serving.models import NotOwner, SendRun
from .const import NO_RUNNER_WAIT_MS, PLACE_PAUSE_MS, RESUME_PAUSE_MS
from .context import NodeContext
from .dispatcher import Dispatcher
from .relay import Relay
from .router import Here, Nowhere, There, place
from .served import Served

_LOGGER = logging.getLogger(__name__)
REFUSED_PAUSE_MS = 300


class Driver:
    """Runs one greenlet per request; all decisions are the request's life's and the core's."""

    def __init__(self, context: NodeContext, dispatcher: Dispatcher, relay: Relay) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._relay = relay

    def start(self, served: Served, may_relay: bool) -> None:
        """Begin to drive a request."""
        self._context.served_by_id[served.request_id] = served
        self._context.core.admission.record_start(served.life.terms.customer)
        self._context.retry_budget.record_first_attempt()
        self._context.tasks.spawn(self._drive, served, may_relay)

    def _drive(self, served: Served, may_relay: bool) -> None:
        life = served.life
        while not life.ended:
            if served.home_peer is not None:
                self._run_there(served, served.home_peer)
                continue
            match place(self._context, life.terms.adapter, may_relay):
                case Here(runner_id=runner_id):
                    self._run_here(served, runner_id)
                case There(peer=peer):
                    self._run_there(served, peer)
                case Nowhere(reason=reason):
                    self._wait_for_place(served, reason)
        self._finish(served)

    def _wait_for_place(self, served: Served, reason: str) -> None:
        """Wait a moment for a runner: ownership may be moving; then give up at once."""
        now_ms = self._context.now_ms()
        if served.unplaced_since_ms is None:
            served.unplaced_since_ms = now_ms
        waited_ms = now_ms - served.unplaced_since_ms
        left_ms = served.life.terms.deadline_ms - now_ms
        if waited_ms > NO_RUNNER_WAIT_MS or left_ms <= PLACE_PAUSE_MS:
            served.life.give_up(reason, 1_000)
            return
        self._context.tasks.sleep(PLACE_PAUSE_MS)

    def _run_here(self, served: Served, runner_id: str) -> None:
        context, active = self._context, served.active
        refusal = context.core.submit(active, runner_id, context.now_ms())
        match refusal:
            case NotOwner(reason=reason):
                self._wait_for_place(served, reason)
                return
            case Refusal(reason=reason, retry_after_ms=retry_after_ms, status=status):
                served.life.give_up(reason, retry_after_ms, status)
                return
        served.unplaced_since_ms = None
        self._dispatcher.kick()
        while served.send is None:
            if served.life.ended or active.runner_id is None:
                return
            served.signal.wait(60_000)
        send, served.send = served.send, None
        self._note_stall(served, runner_id)
        self._stream_here(served, send)

    def _stream_here(self, served: Served, send: SendRun) -> None:
        context, life = self._context, served.life
        if send.runner_id not in context.config.runner_by_id:
            self._settle(served, life.refused(life.attempt, "the runner was removed", 500), True)
            return
        engine = context.engine(send.runner_id)
        stamp = OrderStamp(send.run_id, send.fence, life.terms.priority)
        fresh = not life.terms.repeatable
        if not context.core.may_send(send.runner_id, send.fence, context.now_ms()):
            step = life.refused(life.attempt, "this node no longer owns the runner", 500)
            self._settle(served, step, run_over=True)
            return
        events = engine.run(stamp, life.terms.adapter, served.data, fresh)
        step = self._consume(served, events, runner_id=send.runner_id)
        while isinstance(step, Resume) and not life.ended:
            self._pause_before_resume(served)
            events = _resumed(engine.resume(send.run_id, step.from_index))
            step = self._consume(served, events, runner_id=send.runner_id)

    def _run_there(self, served: Served, peer: Peer) -> None:
        """Ask another node: the runner's owner, or the home of an idempotency key."""
        context, life = self._context, served.life
        terms = life.terms
        attempt = life.offer()
        served.remote_id = f"{terms.request_id}.{attempt}"
        context.journal.record(terms.request_id, "relayed", node=peer.row.node)
        time_left_ms = max(1, terms.deadline_ms - context.now_ms())
        keyed = served.keyed_headers if served.home_peer is not None else None
        address = peer.row.http
        events = self._relay.run(address, terms, served.data, attempt, time_left_ms, keyed)
        step = self._consume(served, events)
        while isinstance(step, Resume) and not life.ended:
            self._pause_before_resume(served)
            events = self._relay.resume(address, terms.customer, served.remote_id, step.from_index)
            step = self._consume(served, _resumed(events))

    def _pause_before_resume(self, served: Served) -> None:
        self._context.metrics.resumes.inc()
        self._context.tasks.sleep(RESUME_PAUSE_MS * 2**served.life.resumes)

    def _consume(
        self, served: Served, events: Iterable[StreamEvent], runner_id: str | None = None
    ) -> NextStep:
        """Feed a stream's events to the request's life until it decides the next step."""
        life, attempt = served.life, served.life.attempt
        for event in events:
            if life.ended:
                break
            step, run_over = self._take(served, event, attempt, runner_id)
            if step is not None:
                return self._settle(served, step, run_over)
        if life.outcome is not None:
            return self._settle(served, End(life.outcome), run_over=False)
        return self._settle(served, life.lost(attempt, "the stream ended"), run_over=False)

    def _take(
        self, served: Served, event: StreamEvent, attempt: int, runner_id: str | None
    ) -> tuple[NextStep | None, bool]:
        """Return the next step that an event leads to, and whether the run is over."""
        life = served.life
        match event:
            case Began(served=name, request_id=remote_id):
                served.remote_id = remote_id or served.remote_id
                return life.begin(attempt, name), False
            case Chunk(index=index, text=text):
                verdict = life.chunk(attempt, index, text)
                if verdict is ChunkVerdict.ACCEPTED:
                    self._note_chunk(served)
                if verdict is ChunkVerdict.GAP:
                    return life.lost(attempt, "a chunk is missing"), False
                return None, False
            case Ended(count=count, digest=digest):
                return life.finish(attempt, count, digest), True
            case _:
                return self._take_loss(served, event, attempt, runner_id)

    def _take_loss(
        self, served: Served, event: StreamEvent, attempt: int, runner_id: str | None
    ) -> tuple[NextStep | None, bool]:
        """Return the next step after a refusal or a loss, and whether the run is over."""
        life = served.life
        offered = life.state is State.OFFERED
        match event:
            case Refused():
                wait_ms = REFUSED_PAUSE_MS if runner_id is not None else event.retry_after_ms
                refused = life.refused(attempt, event.reason, wait_ms, event.status)
                return refused, True
            case Broken(reason=reason):
                return life.resume_refused(attempt, reason), False
            case Unclear(reason=reason):
                return life.unclear(attempt, reason), False
            case Cut(reason=reason, sent=False) if offered:
                return life.refused(attempt, reason, 500), True
            case Cut(reason=reason):
                return life.lost(attempt, reason), False
        raise AssertionError(f"unexpected event {event}")

    def _settle(self, served: Served, step: NextStep, run_over: bool) -> NextStep:
        context, life = self._context, served.life
        if isinstance(step, Retry) and not life.ended:
            context.metrics.retries.inc()
            # A refusal cost the fleet next to nothing; only what may have run counts as load.
            if life.may_have_run and not context.retry_budget.try_spend():
                outcome = life.give_up("the retry budget is spent", 2_000)
                step = End(outcome)
        step = context.core.apply_step(served.request_id, step, run_over, context.now_ms())
        served.signal.notify()
        self._dispatcher.kick()
        return step

    def _note_chunk(self, served: Served) -> None:
        if served.first_chunk_ms is None:
            served.first_chunk_ms = self._context.now_ms()
            seconds = (served.first_chunk_ms - served.created_ms) / 1000
            priority = str(served.life.terms.priority)
            self._context.metrics.first_chunk.labels(priority).observe(seconds)
        served.signal.notify()

    def _note_stall(self, served: Served, runner_id: str) -> None:
        if served.active.needs_adapter_load:
            waited_ms = served.active.dispatched_ms - served.active.enqueued_ms
            served.stall_ms += waited_ms
            self._context.metrics.load_stall.labels(runner_id).inc(waited_ms / 1000)

    def _count_burn(self, served: Served) -> None:
        context, terms = self._context, served.life.terms
        customer = context.config.customer_by_name.get(terms.customer)
        first_ms = None
        if served.first_chunk_ms is not None:
            first_ms = served.first_chunk_ms - served.created_ms
        outcome = served.life.outcome
        assert outcome is not None
        ending = Ending(
            terms.priority,
            customer.group if customer else "",
            outcome,
            first_ms,
            served.stall_ms,
            served.life.attempt,
        )
        context.burn.count(ending, context.config.objective_by_name.values())

    def _finish(self, served: Served) -> None:
        context, life = self._context, served.life
        outcome = life.outcome
        assert outcome is not None
        now_ms = context.now_ms()
        served.ended_ms = now_ms
        ran = not isinstance(outcome, NotRun)
        context.core.admission.record_end(life.terms.customer)
        context.core.forget(served.request_id)
        if served.key is not None:
            context.keys.record_end(life.terms.customer, served.key, now_ms, ran)
        context.metrics.chunks.inc(len(life.chunks))
        context.metrics.requests.labels(tag(outcome), str(life.terms.priority)).inc()
        self._count_burn(served)
        reason = None if not hasattr(outcome, "reason") else outcome.reason
        context.journal.record(
            served.request_id,
            "ended",
            outcome=tag(outcome),
            **({"cause": reason} if reason else {}),
        )
        _LOGGER.info(
            "%s",
            pairs(
                event="request_ended",
                request=served.request_id,
                customer=life.terms.customer,
                adapter=life.terms.adapter,
                runner=served.active.run_id and served.active.runner_id,
                node=context.settings["node"],
                attempt=life.attempt,
                outcome=tag(outcome),
                cause=reason,
                took_ms=now_ms - served.created_ms,
                chunks=len(life.chunks),
            ),
        )
        served.signal.notify()


def _resumed(events: Iterable[StreamEvent]) -> Iterator[StreamEvent]:
    """Yield a resumed stream's events; what was not sent now may still have run before."""
    for event in events:
        if isinstance(event, Cut):
            yield Cut(event.reason, sent=True)
        elif isinstance(event, Refused):
            yield Broken(event.reason)
        else:
            yield event
