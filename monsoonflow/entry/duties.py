"""Holds the duties of this node, and asks the holders of the others for adapters."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

import gevent
import orjson
from gevent.event import AsyncResult, Event

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..fleet.models import CellLeaseClaim, ResidentAdapters
from ..orders.models import Accepted, Gone, Order, RunnerControl, Superseded
from ..placement.request_queue import NoSlot, Placed, QueuedRequest
from ..placement.scheduler import AdapterScheduler
from ..placement.slots import OrderStep, SlotState
from ..routing.in_flight import ServerWork, sum_work
from ..routing.overload import OverloadedRunners, overloaded_runners
from ..routing.routes import Service
from ..storage.models import ChangedRow
from ..transport.models import Request
from ..transport.server import Reply
from .lease_loop import DUTY_PREFIX, DutyLoop
from .own_word import OwnWord
from .plan_pause import pause_after_plan_ms
from .residency import Residency
from .settings import PeerBounds

if TYPE_CHECKING:
    from .daemon import EntryDaemon

from ..logs import events, log

_LOGGER = logging.getLogger(__name__)
LEASE_STEP_MS: Final = 100
SUMMARY_EVERY_MS: Final = 1_000
PLAN_EVERY_MS: Final = 100
"""Longest pause between two looks at what is to be ordered; news wakes it at once."""

SETTLE_EVERY_MS: Final = 30
"""How often all who wait are looked at. Who waits for an adapter that has just come is answered at
once; this finds who is out of hope, a tenth of the shortest wait that is given to a caller."""

CLOSE_SHARE: Final = 0.55
"""Share of the bound on new versions after which runners are told to drop an older one: shortly
after nodes send nothing more for it, and early enough that a lost order is repeated or a new holder
gives it."""

GIVE_UP_STEP_MS: Final = 50
"""How often a stopping holder looks whether the store is back: a quarter of a round of reports."""

REFUSED_RETRY_MS: Final = 500


def _reading(question: dict[str, Any], now_ms: int) -> dict[str, Any]:
    """Return what a question tells of its prompt; a node of an earlier release tells nothing."""
    if question.get("read_ms") is None:
        return {}
    return {
        "rank": question["rank"],
        "prompt_tokens": question["prompt_tokens"],
        "read_by_ms": now_ms + question["read_ms"],
        "tokens_per_ms": question["tokens_per_ms"],
    }


class Duty:
    """The duty of one cell: all runners of one service."""

    def __init__(self, service: Service, loop: DutyLoop, newest: dict[str, int]) -> None:
        self.service = service
        self.loop = loop
        self.newest = newest
        self.desk: AdapterScheduler | None = None
        self.epoch = 0
        self.summarised_ms = 0
        self.settled_ms = 0
        self.own_word = OwnWord()

    def close(self) -> None:
        """End the desk; who waits there asks again."""
        desk, self.desk = self.desk, None
        if desk is not None:
            desk.close()


class Duties:
    """The placement of adapters, by this node or by another."""

    def __init__(self, daemon: EntryDaemon, control: RunnerControl) -> None:
        self._daemon = daemon
        self._control = control
        self._duty_by_cell: dict[str, Duty] = {}
        self._wake = Event()
        self.residency = Residency(daemon.clock)
        self._rows: dict[str, ChangedRow] = {}
        self._planned_work: dict[ServerLife, ServerWork] = {}

    def start(self) -> None:
        """Begin to look after duties."""
        self._daemon.tasks.spawn(self._lease_for_good)
        self._daemon.tasks.spawn(self._plan_for_good)

    def wake(self) -> None:
        """Look at once at what is to be ordered."""
        self._wake.set()

    def own_row(self, row: ChangedRow) -> None:
        """Take a changed row of a duty."""
        if not row.key.startswith(DUTY_PREFIX):
            return
        cell = row.key.removeprefix(DUTY_PREFIX)
        self._rows[cell] = row
        duty = self._duty_by_cell.get(cell)
        if duty is not None:
            duty.loop.row_changed(row)

    def bounds_changed(self, bounds: PeerBounds) -> None:
        """Take changed bounds."""
        for duty in self._duty_by_cell.values():
            duty.loop.bounds_changed(bounds.lease_ms, bounds.fenced)

    def give_up(self, by_ms: int) -> None:
        """Release all duties, each when the store can take the word.

        A duty let go while the store is lost is nobody's until the store is back: nobody could
        claim it. Its holder goes on as long as it may.

        :param by_ms: when the process ends.
        """
        for duty in self._duty_by_cell.values():
            self._daemon.tasks.spawn(self._give_up, duty, by_ms)

    def _give_up(self, duty: Duty, by_ms: int) -> None:
        clock = self._daemon.clock
        while duty.loop.holds(clock.now_ms()) and clock.now_ms() < by_ms:
            if not duty.loop.store_lost and duty.loop.store_reached:
                break
            self._daemon.tasks.sleep(GIVE_UP_STEP_MS)
        duty.close()
        row = duty.loop.let_go()
        if row is not None:
            duty.loop.release(*row)
            self._daemon.gossip.send_round()

    def holds_any(self) -> bool:
        """Tell whether some duty is still this node's."""
        return any(duty.loop.held.row is not None for duty in self._duty_by_cell.values())

    def duty_of(self, cell: str) -> Duty | None:
        """Return what this node has of a cell's duty."""
        return self._duty_by_cell.get(cell)

    def holds_all(self) -> bool:
        """Tell whether all duties are this node's."""
        return all(duty.desk is not None for duty in self._duty_by_cell.values())

    def other_holders(self) -> list[str]:
        """Return the other nodes that hold duties."""
        claims = [self._daemon.view.claim_of(cell) for cell in self._duty_by_cell]
        own = self._daemon.settings.name
        return [claim.holder for claim in claims if claim is not None and claim.holder != own]

    def claims(self) -> tuple[CellLeaseClaim, ...]:
        """Return the duties that this node holds, for the others."""
        claims = [duty.loop.claim() for duty in self._duty_by_cell.values()]
        return tuple(claim for claim in claims if claim is not None)

    def told_residency(self) -> tuple[ResidentAdapters, ...]:
        """Return what the runners of this node's duties hold, for the others."""
        return tuple(
            held
            for duty in self._duty_by_cell.values()
            if duty.desk is not None
            for held in duty.own_word.of(duty.desk)
        )

    def crowded(self) -> OverloadedRunners | None:
        """Return the runners of this node's duties with long queues, for the others.

        As of the last plan: to add up all nodes' work once more for each report costs as much as a
        plan does.
        """
        if all(duty.desk is None for duty in self._duty_by_cell.values()):
            return None
        now_ms = self._daemon.clock.now_ms()
        pace = self._daemon.backlog.prefill_rate.tokens_per_ms(None, now_ms)
        return overloaded_runners(self._planned_work, pace)

    def doubt(self, life: ServerLife, adapter: str) -> None:
        """Take that a runner lacks an adapter: what its desk believes of it is looked at again."""
        for duty in self._duty_by_cell.values():
            if duty.desk is not None:
                duty.desk.mark_unconfirmed(life, adapter, self._daemon.clock.now_ms())
                self.wake()

    def answer_placement(self, request: Request, reply: Reply) -> None:
        """Answer another node that needs an adapter."""
        if reply.caller_left():
            # Read late by a busy holder: a place would be kept for nobody.
            return
        try:
            question = orjson.loads(request.body)
            duty = self._duty_by_cell.get(question["cell"])
            found = None
            if duty is not None and duty.desk is not None:
                found = self.ask_desk(duty, question)
        except (ValueError, KeyError, TypeError):
            reply.whole(400, [])
            return
        match found:
            case Placed(life=life, version=version, tried_ms=tried_ms):
                told = {"server": life, "version": version, "tried_ms": tried_ms}
                reply.whole(200, [], orjson.dumps(told))
            case NoSlot(retry_after_ms=retry_after_ms):
                reply.whole(429, [], orjson.dumps({"retry_after_ms": retry_after_ms}))
            case None:
                reply.whole(503, [], b"{}")

    def ask_desk(self, duty: Duty, question: dict[str, Any]) -> Placed | NoSlot | None:
        """Let a request wait at this node's desk until it has a place or is refused."""
        now_ms = self._daemon.clock.now_ms()
        result: AsyncResult = AsyncResult()
        waiter = QueuedRequest(
            adapter_name=question["adapter"],
            min_version=question["version"],
            priority=question["priority"],
            first_attempt_ms=now_ms - question["waited_ms"] - question["tried_ms"],
            on_time_until_ms=now_ms + question["on_time_ms"],
            deadline_ms=now_ms + question["wait_ms"],
            excluded_runners=frozenset(question["avoid"]),
            on_result=result.set,
            session_key=question["session"],
            tried_ms=question["tried_ms"],
            **_reading(question, now_ms),
        )
        desk = duty.desk
        for life in question["lacking"]:
            desk.mark_unconfirmed(ServerLife(life), waiter.adapter_name, now_ms)
        desk.request_slot(waiter, now_ms, self._work())
        self.wake()
        try:
            return result.get(timeout=question["wait_ms"] / 1000)
        except gevent.Timeout:
            return NoSlot(REFUSED_RETRY_MS)
        finally:
            desk.remove_request(waiter, self._daemon.clock.now_ms())

    def _lease_for_good(self) -> None:
        while True:
            self._daemon.tasks.sleep(LEASE_STEP_MS)
            self._match_services()
            for duty in list(self._duty_by_cell.values()):
                followed = self._daemon.followed
                duty.loop.loaded = duty.loop.loaded or (
                    followed is not None and followed.own.loaded
                )
                duty.loop.store_reached = followed is not None and followed.reaches_store()
                duty.loop.step()

    def _match_services(self) -> None:
        table = self._daemon.beliefs.table
        if table is None:
            return
        for service in table.service_by_name.values():
            if service.engine is None:
                continue
            duty = self._duty_by_cell.get(service.name)
            if duty is None:
                duty = Duty(service, self._new_loop(service.name), {})
                self._duty_by_cell[service.name] = duty
                row = self._rows.get(service.name)
                if row is not None:
                    duty.loop.row_changed(row)
            duty.service = service

    def _new_loop(self, cell: str) -> DutyLoop:
        daemon = self._daemon
        return DutyLoop(
            cell,
            daemon.settings.name,
            daemon.boot,
            daemon.settings.bounds.lease_ms,
            daemon.settings.bounds.fenced,
            daemon.table,
            daemon.view,
            daemon.clock,
            daemon.ready,
            daemon.pulse.steady,
            self._won,
        )

    def _won(self) -> None:
        """Begin at once, and tell the others where to ask: requests wait for a holder."""
        self.wake()
        self._daemon.gossip.send_round()

    def _plan_for_good(self) -> None:
        while True:
            self._wake.wait(PLAN_EVERY_MS / 1000)
            self._wake.clear()
            now_ms = self._daemon.clock.now_ms()
            work: dict[ServerLife, ServerWork] | None = None
            for duty in list(self._duty_by_cell.values()):
                if not self._keep_desk(duty, now_ms):
                    continue
                work = self._work() if work is None else work
                self._planned_work = work
                self._plan(duty, now_ms, work)
            self._take_told(now_ms)
            # What is news meanwhile is planned for together: in a rush a plan for each would take
            # all of the processor, and the answers to its own orders would wait for it.
            took_ms = self._daemon.clock.now_ms() - now_ms
            if took_ms:
                self._daemon.tasks.sleep(pause_after_plan_ms(took_ms))

    def _keep_desk(self, duty: Duty, now_ms: int) -> bool:
        """Open a desk when the duty is won, close it when it is lost."""
        if not duty.loop.holds(now_ms):
            if duty.loop.held.row is None:
                duty.close()
            return False
        epoch = duty.loop.held.row.epoch
        duty.epoch = epoch
        if duty.desk is None:
            duty.desk = AdapterScheduler(
                duty.service.engine,
                self._daemon.beliefs.version_by_adapter,
                self._daemon.settings.bounds.load_window_ms,
                self._version_over,
                now_ms,
            )
        desk = duty.desk
        present = {s.life for s in self._daemon.beliefs.book.servers_of(duty.service.name)}
        for life in present - desk.runners.keys():
            desk.add_runner(
                life, self.residency.history(life), self._daemon.beliefs.book.restarted_ms(life)
            )
        for life in [known for known in desk.runners if known not in present]:
            desk.remove_runner(life)
            self.residency.forget(life)
        return True

    def _version_over(self, ref: AdapterRef) -> bool:
        after_ms = self._daemon.settings.bounds.version_ms * CLOSE_SHARE
        return self._daemon.beliefs.passed_for(ref, after_ms)

    def _plan(self, duty: Duty, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        desk = duty.desk
        for life in desk.runners_needing_report(now_ms):
            desk.runners[life].has_call_in_progress = True
            self._daemon.tasks.spawn(self._report, duty, desk, life)
        if now_ms - duty.settled_ms >= SETTLE_EVERY_MS:
            duty.settled_ms = now_ms
            desk.process_queue(now_ms, work)
        for step in desk.plan(now_ms, work):
            self._daemon.tasks.spawn(self._order, duty, desk, step)
        self.residency.take(duty.own_word.news(desk, now_ms))
        if now_ms - duty.summarised_ms >= SUMMARY_EVERY_MS:
            duty.summarised_ms = now_ms
            self._summarise(duty, desk, now_ms, work)

    def _summarise(
        self, duty: Duty, desk: AdapterScheduler, now_ms: int, work: dict[ServerLife, ServerWork]
    ) -> None:
        """Log how full the runners' seats are: the first question when requests wait."""
        seats = [seat for runner in desk.runners.values() for seat in runner.slots.values()]
        used = {(life, name) for life, w in work.items() for name in w.requests_by_adapter}
        in_use = sum(
            (runner.life, name) in used for runner in desk.runners.values() for name in runner.slots
        )
        log(
            _LOGGER,
            events.Seats(
                cell=duty.service.name,
                runners=len(desk.runners),
                known=sum(runner.is_known() for runner in desk.runners.values()),
                places=sum(runner.slot_count for runner in desk.runners.values()),
                taken=len(seats),
                in_use=in_use,
                loading=sum(seat.state is SlotState.LOADING for seat in seats),
                dropping=sum(seat.state is SlotState.UNLOADING for seat in seats),
                doubtful=sum(r.unconfirmed_order is not None for r in desk.runners.values()),
                waiting=len(desk.queued_requests),
                oldest_ms=now_ms
                - min((w.first_attempt_ms for w in desk.queued_requests), default=now_ms),
                requests=sum(w.requests for sid, w in work.items() if sid in desk.runners),
                unread=sum(
                    w.pending_prefill_tokens for sid, w in work.items() if sid in desk.runners
                ),
                loads=desk.load_count,
                cold=desk.cold_load_count,
                copies=desk.replica_load_count,
                fetch_limit=desk.load_limit.limit,
                fetch_ms=desk.load_limit.full_speed_ms,
            ),
        )

    def _report(self, duty: Duty, desk: AdapterScheduler, life: ServerLife) -> None:
        server = self._daemon.beliefs.book.server_by_life.get(life)
        report = self._control.fetch_report(life, server.address) if server is not None else None
        if isinstance(report, Gone):
            self._gone(desk, life)
            return
        now_ms = self._daemon.clock.now_ms()
        book = self._daemon.beliefs.book
        if report is not None and not book.confirm_life(report.life, report.models, now_ms):
            # Another life speaks: the one that is known, or one before it, is no more.
            report = None
        desk.handle_report(life, report, now_ms)
        duty.settled_ms = 0
        self.wake()

    def _order(self, duty: Duty, desk: AdapterScheduler, step: OrderStep) -> None:
        daemon = self._daemon
        server = daemon.beliefs.book.server_by_life.get(step.life)
        if server is None or desk is not duty.desk:
            return
        # Looked at once more right before the send: the duty may have lapsed since the plan.
        if not duty.loop.holds(daemon.clock.now_ms()):
            desk.runners[step.life].has_call_in_progress = False
            return
        order = Order(
            step.operation,
            step.name,
            step.version,
            step.sequence,
            daemon.settings.name,
            duty.epoch,
        )
        sent_ms = daemon.clock.now_ms()
        answer = self._control.send_order(step.life, server.address, order)
        if isinstance(answer, Gone):
            self._gone(desk, step.life)
        now_ms = daemon.clock.now_ms()
        daemon.metrics.orders.labels(step.operation.value, type(answer).__name__.lower()).inc()
        daemon.metrics.order_time.observe((now_ms - sent_ms) / 1000)
        if not step.is_confirmation:
            log(
                _LOGGER,
                events.Order(
                    server=step.life,
                    operation=step.operation.value,
                    name=step.name,
                    version=step.version,
                    sequence=step.sequence,
                    fence=duty.epoch,
                    answer=type(answer).__name__,
                    cause=getattr(answer, "reason", None),
                ),
            )
        if not desk.handle_order_result(step, answer, now_ms) and isinstance(answer, Superseded):
            duty.loop.superseded()
            duty.close()
        elif isinstance(answer, Accepted) and answer.complete:
            desk.process_queue_for_adapter(step.name, now_ms, self._work())
        self.wake()

    def _gone(self, desk: AdapterScheduler, life: ServerLife) -> None:
        """Take that another server answers at a runner's address."""
        beliefs = self._daemon.beliefs
        beliefs.book.mark_leaving(
            life, self._daemon.clock.now_ms(), "another server at its address"
        )
        desk.remove_runner(life)

    def _take_told(self, now_ms: int) -> None:
        """Take what the holders of other cells told of their runners."""
        for cell, duty in self._duty_by_cell.items():
            if duty.desk is not None:
                continue
            told = self._daemon.view.residency(cell, now_ms)
            if told is not None:
                self.residency.take_told(cell, told)

    def _work(self) -> dict[ServerLife, ServerWork]:
        """Return what all nodes have in progress by server, to be read at once."""
        others = self._daemon.view.work_by_server(self._daemon.clock.now_ms())
        return sum_work(others, self._daemon.in_flight.work_by_server)
