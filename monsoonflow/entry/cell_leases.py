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
from .lease_loop import CELL_LEASE_PREFIX, CellLeaseLoop
from .plan_pause import pause_after_plan_ms
from .residency import Residency
from .residency_reporter import ResidencyReporter
from .settings import PeerBounds

if TYPE_CHECKING:
    from .daemon import EntryDaemon

from ..logs import events, log

_LOGGER = logging.getLogger(__name__)
LEASE_CHECK_INTERVAL_MS: Final = 100
SUMMARY_INTERVAL_MS: Final = 1_000
MAX_PLAN_INTERVAL_MS: Final = 100
"""Longest pause between two looks at what is to be ordered; news wakes it at once."""

QUEUE_CHECK_INTERVAL_MS: Final = 30
"""How often all who wait are looked at. Who waits for an adapter that has just come is answered at
once; this finds who is out of hope, a tenth of the shortest wait that is given to a caller."""

RETIRE_SHARE: Final = 0.55
"""Share of the bound on new versions after which runners are told to drop an older one: shortly
after nodes send nothing more for it, and early enough that a lost order is repeated or a new holder
gives it."""

RELEASE_CHECK_INTERVAL_MS: Final = 50
"""How often a stopping holder looks whether the store is back: a quarter of a round of reports."""

REFUSED_RETRY_AFTER_MS: Final = 500


def _prefill_fields(question: dict[str, Any], now_ms: int) -> dict[str, Any]:
    """Return what a question tells of its prompt; a node of an earlier release tells nothing."""
    if question.get("read_ms") is None:
        return {}
    return {
        "rank": question["rank"],
        "prompt_tokens": question["prompt_tokens"],
        "read_by_ms": now_ms + question["read_ms"],
        "tokens_per_ms": question["tokens_per_ms"],
    }


class CellLease:
    """The duty of one cell: all runners of one service."""

    def __init__(
        self, service: Service, lease_loop: CellLeaseLoop, newest_versions: dict[str, int]
    ) -> None:
        self.service = service
        self.lease_loop = lease_loop
        self.newest_versions = newest_versions
        self.scheduler: AdapterScheduler | None = None
        self.epoch = 0
        self.last_summary_ms = 0
        self.last_queue_check_ms = 0
        self.residency_reporter = ResidencyReporter()

    def close_scheduler(self) -> None:
        """End the desk; who waits there asks again."""
        desk, self.scheduler = self.scheduler, None
        if desk is not None:
            desk.close()


class CellLeases:
    """The placement of adapters, by this node or by another."""

    def __init__(self, daemon: EntryDaemon, runner_control: RunnerControl) -> None:
        self._daemon = daemon
        self._runner_control = runner_control
        self._lease_by_cell: dict[str, CellLease] = {}
        self._wake_event = Event()
        self.residency = Residency(daemon.clock)
        self._row_by_cell: dict[str, ChangedRow] = {}
        self._planned_work: dict[ServerLife, ServerWork] = {}

    def start(self) -> None:
        """Begin to look after duties."""
        self._daemon.tasks.spawn(self._lease_check_loop)
        self._daemon.tasks.spawn(self._plan_loop)

    def wake_planner(self) -> None:
        """Look at once at what is to be ordered."""
        self._wake_event.set()

    def handle_row(self, row: ChangedRow) -> None:
        """Take a changed row of a duty."""
        if not row.key.startswith(CELL_LEASE_PREFIX):
            return
        cell = row.key.removeprefix(CELL_LEASE_PREFIX)
        self._row_by_cell[cell] = row
        duty = self._lease_by_cell.get(cell)
        if duty is not None:
            duty.lease_loop.handle_row(row)

    def update_bounds(self, bounds: PeerBounds) -> None:
        """Take changed bounds."""
        for duty in self._lease_by_cell.values():
            duty.lease_loop.update_bounds(bounds.lease_ms, bounds.fenced)

    def release_all(self, by_ms: int) -> None:
        """Release all duties, each when the store can take the word.

        A duty let go while the store is lost is nobody's until the store is back: nobody could
        claim it. Its holder goes on as long as it may.

        :param by_ms: when the process ends.
        """
        for duty in self._lease_by_cell.values():
            self._daemon.tasks.spawn(self._release_when_store_reachable, duty, by_ms)

    def _release_when_store_reachable(self, duty: CellLease, by_ms: int) -> None:
        clock = self._daemon.clock
        while duty.lease_loop.holds(clock.now_ms()) and clock.now_ms() < by_ms:
            if not duty.lease_loop.store_lost and duty.lease_loop.store_reachable:
                break
            self._daemon.tasks.sleep(RELEASE_CHECK_INTERVAL_MS)
        duty.close_scheduler()
        row = duty.lease_loop.drop_lease()
        if row is not None:
            duty.lease_loop.release_row(*row)
            self._daemon.gossip.send_round()

    def holds_any(self) -> bool:
        """Tell whether some duty is still this node's."""
        return any(
            duty.lease_loop.held_lease.row is not None for duty in self._lease_by_cell.values()
        )

    def lease_of(self, cell: str) -> CellLease | None:
        """Return what this node has of a cell's duty."""
        return self._lease_by_cell.get(cell)

    def holds_all(self) -> bool:
        """Tell whether all duties are this node's."""
        return all(duty.scheduler is not None for duty in self._lease_by_cell.values())

    def other_holders(self) -> list[str]:
        """Return the other nodes that hold duties."""
        claims = [self._daemon.view.claim_of(cell) for cell in self._lease_by_cell]
        own = self._daemon.settings.name
        return [claim.holder for claim in claims if claim is not None and claim.holder != own]

    def claims(self) -> tuple[CellLeaseClaim, ...]:
        """Return the duties that this node holds, for the others."""
        claims = [duty.lease_loop.current_claim() for duty in self._lease_by_cell.values()]
        return tuple(claim for claim in claims if claim is not None)

    def own_residency(self) -> tuple[ResidentAdapters, ...]:
        """Return what the runners of this node's duties hold, for the others."""
        return tuple(
            held
            for duty in self._lease_by_cell.values()
            if duty.scheduler is not None
            for held in duty.residency_reporter.report(duty.scheduler)
        )

    def overloaded_runners(self) -> OverloadedRunners | None:
        """Return the runners of this node's duties with long queues, for the others.

        As of the last plan: to add up all nodes' work once more for each report costs as much as a
        plan does.
        """
        if all(duty.scheduler is None for duty in self._lease_by_cell.values()):
            return None
        now_ms = self._daemon.clock.now_ms()
        pace = self._daemon.backlog.prefill_rate.tokens_per_ms(None, now_ms)
        return overloaded_runners(self._planned_work, pace)

    def mark_unconfirmed(self, life: ServerLife, adapter: str) -> None:
        """Take that a runner lacks an adapter: what its desk believes of it is looked at again."""
        for duty in self._lease_by_cell.values():
            if duty.scheduler is not None:
                duty.scheduler.mark_unconfirmed(life, adapter, self._daemon.clock.now_ms())
                self.wake_planner()

    def answer_slot_request(self, request: Request, reply: Reply) -> None:
        """Answer another node that needs an adapter."""
        if reply.caller_left():
            # Read late by a busy holder: a place would be kept for nobody.
            return
        try:
            question = orjson.loads(request.body)
            duty = self._lease_by_cell.get(question["cell"])
            found = None
            if duty is not None and duty.scheduler is not None:
                found = self.request_slot(duty, question)
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

    def request_slot(
        self, lease: CellLease, slot_request: dict[str, Any]
    ) -> Placed | NoSlot | None:
        """Let a request wait at this node's desk until it has a place or is refused."""
        now_ms = self._daemon.clock.now_ms()
        result: AsyncResult = AsyncResult()
        waiter = QueuedRequest(
            adapter_name=slot_request["adapter"],
            min_version=slot_request["version"],
            priority=slot_request["priority"],
            first_attempt_ms=now_ms - slot_request["waited_ms"] - slot_request["tried_ms"],
            on_time_until_ms=now_ms + slot_request["on_time_ms"],
            deadline_ms=now_ms + slot_request["wait_ms"],
            excluded_runners=frozenset(slot_request["avoid"]),
            on_result=result.set,
            session_key=slot_request["session"],
            tried_ms=slot_request["tried_ms"],
            **_prefill_fields(slot_request, now_ms),
        )
        desk = lease.scheduler
        for life in slot_request["lacking"]:
            desk.mark_unconfirmed(ServerLife(life), waiter.adapter_name, now_ms)
        desk.request_slot(waiter, now_ms, self._total_work())
        self.wake_planner()
        try:
            return result.get(timeout=slot_request["wait_ms"] / 1000)
        except gevent.Timeout:
            return NoSlot(REFUSED_RETRY_AFTER_MS)
        finally:
            desk.remove_request(waiter, self._daemon.clock.now_ms())

    def _lease_check_loop(self) -> None:
        while True:
            self._daemon.tasks.sleep(LEASE_CHECK_INTERVAL_MS)
            self._create_missing_leases()
            for duty in list(self._lease_by_cell.values()):
                followed = self._daemon.store_watches
                duty.lease_loop.loaded = duty.lease_loop.loaded or (
                    followed is not None and followed.own.loaded
                )
                duty.lease_loop.store_reachable = followed is not None and followed.reaches_store()
                duty.lease_loop.step()

    def _create_missing_leases(self) -> None:
        table = self._daemon.cluster_state.route_table
        if table is None:
            return
        for service in table.service_by_name.values():
            if service.engine is None:
                continue
            duty = self._lease_by_cell.get(service.name)
            if duty is None:
                duty = CellLease(service, self._create_lease_loop(service.name), {})
                self._lease_by_cell[service.name] = duty
                row = self._row_by_cell.get(service.name)
                if row is not None:
                    duty.lease_loop.handle_row(row)
            duty.service = service

    def _create_lease_loop(self, cell: str) -> CellLeaseLoop:
        daemon = self._daemon
        return CellLeaseLoop(
            cell,
            daemon.settings.name,
            daemon.boot_id,
            daemon.settings.bounds.lease_ms,
            daemon.settings.bounds.fenced,
            daemon.store_table,
            daemon.view,
            daemon.clock,
            daemon.is_ready,
            daemon.stall_detector.is_steady,
            self._handle_lease_won,
        )

    def _handle_lease_won(self) -> None:
        """Begin at once, and tell the others where to ask: requests wait for a holder."""
        self.wake_planner()
        self._daemon.gossip.send_round()

    def _plan_loop(self) -> None:
        while True:
            self._wake_event.wait(MAX_PLAN_INTERVAL_MS / 1000)
            self._wake_event.clear()
            now_ms = self._daemon.clock.now_ms()
            work: dict[ServerLife, ServerWork] | None = None
            for duty in list(self._lease_by_cell.values()):
                if not self._sync_scheduler(duty, now_ms):
                    continue
                work = self._total_work() if work is None else work
                self._planned_work = work
                self._plan(duty, now_ms, work)
            self._apply_peer_residency(now_ms)
            # What is news meanwhile is planned for together: in a rush a plan for each would take
            # all of the processor, and the answers to its own orders would wait for it.
            took_ms = self._daemon.clock.now_ms() - now_ms
            if took_ms:
                self._daemon.tasks.sleep(pause_after_plan_ms(took_ms))

    def _sync_scheduler(self, duty: CellLease, now_ms: int) -> bool:
        """Open a desk when the duty is won, close it when it is lost."""
        if not duty.lease_loop.holds(now_ms):
            if duty.lease_loop.held_lease.row is None:
                duty.close_scheduler()
            return False
        epoch = duty.lease_loop.held_lease.row.epoch
        duty.epoch = epoch
        if duty.scheduler is None:
            duty.scheduler = AdapterScheduler(
                duty.service.engine,
                self._daemon.cluster_state.version_by_adapter,
                self._daemon.settings.bounds.load_window_ms,
                self._is_retired,
                now_ms,
            )
        desk = duty.scheduler
        present = {
            s.life for s in self._daemon.cluster_state.server_registry.servers_of(duty.service.name)
        }
        for life in present - desk.runners.keys():
            desk.add_runner(
                life,
                self.residency.history(life),
                self._daemon.cluster_state.server_registry.restarted_ms(life),
            )
        for life in [known for known in desk.runners if known not in present]:
            desk.remove_runner(life)
            self.residency.forget(life)
        return True

    def _is_retired(self, ref: AdapterRef) -> bool:
        after_ms = self._daemon.settings.bounds.version_ms * RETIRE_SHARE
        return self._daemon.cluster_state.has_been_superseded_for(ref, after_ms)

    def _plan(self, duty: CellLease, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        desk = duty.scheduler
        for life in desk.runners_needing_report(now_ms):
            desk.runners[life].has_call_in_progress = True
            self._daemon.tasks.spawn(self._fetch_runner_report, duty, desk, life)
        if now_ms - duty.last_queue_check_ms >= QUEUE_CHECK_INTERVAL_MS:
            duty.last_queue_check_ms = now_ms
            desk.process_queue(now_ms, work)
        for step in desk.plan(now_ms, work):
            self._daemon.tasks.spawn(self._send_order, duty, desk, step)
        self.residency.apply_report(duty.residency_reporter.report_changes(desk, now_ms))
        if now_ms - duty.last_summary_ms >= SUMMARY_INTERVAL_MS:
            duty.last_summary_ms = now_ms
            self._log_summary(duty, desk, now_ms, work)

    def _log_summary(
        self,
        duty: CellLease,
        desk: AdapterScheduler,
        now_ms: int,
        work: dict[ServerLife, ServerWork],
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

    def _fetch_runner_report(
        self, duty: CellLease, desk: AdapterScheduler, life: ServerLife
    ) -> None:
        server = self._daemon.cluster_state.server_registry.server_by_life.get(life)
        report = (
            self._runner_control.fetch_report(life, server.address) if server is not None else None
        )
        if isinstance(report, Gone):
            self._handle_replaced_runner(desk, life)
            return
        now_ms = self._daemon.clock.now_ms()
        book = self._daemon.cluster_state.server_registry
        if report is not None and not book.confirm_life(report.life, report.models, now_ms):
            # Another life speaks: the one that is known, or one before it, is no more.
            report = None
        desk.handle_report(life, report, now_ms)
        duty.last_queue_check_ms = 0
        self.wake_planner()

    def _send_order(self, duty: CellLease, desk: AdapterScheduler, step: OrderStep) -> None:
        daemon = self._daemon
        server = daemon.cluster_state.server_registry.server_by_life.get(step.life)
        if server is None or desk is not duty.scheduler:
            return
        # Looked at once more right before the send: the duty may have lapsed since the plan.
        if not duty.lease_loop.holds(daemon.clock.now_ms()):
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
        answer = self._runner_control.send_order(step.life, server.address, order)
        if isinstance(answer, Gone):
            self._handle_replaced_runner(desk, step.life)
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
            duty.lease_loop.handle_superseded()
            duty.close_scheduler()
        elif isinstance(answer, Accepted) and answer.complete:
            desk.process_queue_for_adapter(step.name, now_ms, self._total_work())
        self.wake_planner()

    def _handle_replaced_runner(self, desk: AdapterScheduler, life: ServerLife) -> None:
        """Take that another server answers at a runner's address."""
        beliefs = self._daemon.cluster_state
        beliefs.server_registry.mark_leaving(
            life, self._daemon.clock.now_ms(), "another server at its address"
        )
        desk.remove_runner(life)

    def _apply_peer_residency(self, now_ms: int) -> None:
        """Take what the holders of other cells told of their runners."""
        for cell, duty in self._lease_by_cell.items():
            if duty.scheduler is not None:
                continue
            told = self._daemon.view.residency(cell, now_ms)
            if told is not None:
                self.residency.apply_peer_report(cell, told)

    def _total_work(self) -> dict[ServerLife, ServerWork]:
        """Return what all nodes have in progress by server, to be read at once."""
        others = self._daemon.view.work_by_server(self._daemon.clock.now_ms())
        return sum_work(others, self._daemon.in_flight.work_by_server)
