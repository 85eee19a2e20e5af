"""Holds this node's cell leases and runs a scheduler for each cell that it holds."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

import gevent
import orjson
from gevent.event import AsyncResult, Event

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..fleet.models import CellLeaseClaim, ResidentAdapters
from ..orders.models import (
    Accepted,
    Gone,
    Order,
    RunnerControl,
    Stale,
    Superseded,
    Unanswered,
    Unusable,
)
from ..placement.request_queue import NoSlot, Placed, QueuedRequest
from ..placement.scheduler import AdapterScheduler
from ..placement.slots import OrderStep, SlotState
from ..placement.usage_reports import valid_customer
from ..routing.in_flight import ServerWork, sum_work
from ..routing.overload import OverloadedRunners, overloaded_runners
from ..routing.routes import Service
from ..storage.models import ChangedRow
from ..transport.models import Request
from ..transport.reply import Reply
from .cell_lease_row import CELL_LEASE_PREFIX
from .lease_loop import CellLeaseLoop
from .plan_pause import pause_after_plan_ms
from .residency import Residency
from .residency_reporter import ResidencyReporter
from .settings import PeerBounds
from .slot_log import SlotLog
from .slot_memory import SlotMemory
from .slot_request import MIN_TOKENS_PER_MS, check_slot_request

if TYPE_CHECKING:
    from .daemon import EntryDaemon

from ..logs import events, log

_LOGGER = logging.getLogger(__name__)
LEASE_CHECK_INTERVAL_MS: Final = 100
SUMMARY_INTERVAL_MS: Final = 1_000
MAX_PLAN_INTERVAL_MS: Final = 100
"""Longest pause between two plans; a change wakes the planner at once."""

QUEUE_CHECK_INTERVAL_MS: Final = 30
"""How often all queued requests are checked. A request for an adapter that has just been loaded is
answered at once; this check finds requests that can no longer be served in time. It is a tenth of
the shortest wait that a caller is given."""

RETIRE_SHARE: Final = 0.55
"""Share of the bound on new versions after which runners are ordered to drop an older one: shortly
after nodes send no more requests for it, and early enough that a lost order is repeated or that a
new holder gives the order."""

RELEASE_CHECK_INTERVAL_MS: Final = 50
"""How often a stopping holder checks whether the store is back: a quarter of a heartbeat round."""

REFUSED_RETRY_AFTER_MS: Final = 500

HANDOVER_DELAY_MS: Final = 300
"""How long a holder reaches no runner before it releases the lease: a second check has failed, and
peers that reach none either have said so."""


def _prefill_fields(slot_request: dict[str, Any], now_ms: int) -> dict[str, Any]:
    """Return what a slot request says of its prompt; a node of an earlier release says nothing."""
    if slot_request.get("read_ms") is None:
        return {}
    return {
        "rank": slot_request["rank"],
        "prompt_tokens": slot_request["prompt_tokens"],
        "read_by_ms": now_ms + slot_request["read_ms"],
        "tokens_per_ms": max(MIN_TOKENS_PER_MS, slot_request["tokens_per_ms"]),
    }


class CellLease:
    """The lease of one cell, which consists of all runners of one service."""

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
        """Close the scheduler; the nodes of its queued requests send them again."""
        scheduler, self.scheduler = self.scheduler, None
        if scheduler is not None:
            scheduler.close()


class CellLeases:
    """All cells: a lease loop for each, and a scheduler for each one that this node holds."""

    def __init__(self, daemon: EntryDaemon, runner_control: RunnerControl) -> None:
        self._daemon = daemon
        self._runner_control = runner_control
        self._lease_by_cell: dict[str, CellLease] = {}
        self._wake_event = Event()
        self.residency = Residency(daemon.clock)
        self._slot_memory = SlotMemory(daemon)
        self._row_by_cell: dict[str, ChangedRow] = {}
        self._planned_work: dict[ServerLife, ServerWork] = {}
        self._slot_log = SlotLog(daemon.customer_shares.fair_shares, daemon.metrics, daemon.clock)

    def start(self) -> None:
        """Start the lease checks and the planner."""
        self._daemon.tasks.spawn(self._lease_check_loop)
        self._daemon.tasks.spawn(self._plan_loop)

    def wake_planner(self) -> None:
        """Wake the planner, which sends the orders that are due."""
        self._wake_event.set()

    def handle_row(self, row: ChangedRow) -> None:
        """Apply a changed row of a cell lease."""
        if not row.key.startswith(CELL_LEASE_PREFIX):
            return
        cell = row.key.removeprefix(CELL_LEASE_PREFIX)
        self._row_by_cell[cell] = row
        lease = self._lease_by_cell.get(cell)
        if lease is not None:
            lease.lease_loop.handle_row(row)

    def handle_row_lost(self, key: str) -> None:
        """Handle that the store has lost the row of a cell lease."""
        if not key.startswith(CELL_LEASE_PREFIX):
            return
        cell = key.removeprefix(CELL_LEASE_PREFIX)
        self._row_by_cell.pop(cell, None)
        lease = self._lease_by_cell.get(cell)
        if lease is not None:
            lease.lease_loop.handle_row_lost()

    def update_bounds(self, bounds: PeerBounds) -> None:
        """Apply changed bounds."""
        for lease in self._lease_by_cell.values():
            lease.lease_loop.update_bounds(bounds.lease_ms, bounds.fenced)

    def release_all(self, end_ms: int) -> None:
        """Release all cell leases, each when the store can record it.

        A lease that is dropped while the store is unreachable has no holder until the store is
        back: nobody could claim it. Its holder continues for as long as it may.

        :param end_ms: when the process ends.
        """
        for lease in self._lease_by_cell.values():
            self._daemon.tasks.spawn(self._release_when_store_reachable, lease, end_ms)

    def _release_when_store_reachable(self, lease: CellLease, end_ms: int) -> None:
        clock = self._daemon.clock
        while lease.lease_loop.holds(clock.now_ms()) and clock.now_ms() < end_ms:
            if not lease.lease_loop.store_lost and lease.lease_loop.store_reachable:
                break
            self._daemon.tasks.sleep(RELEASE_CHECK_INTERVAL_MS)
        self._release(lease, "this node is stopping")

    def _release(self, lease: CellLease, cause: str) -> None:
        """Let another node claim a cell lease at once."""
        lease.close_scheduler()
        released = lease.lease_loop.drop_lease()
        if released is not None:
            lease.lease_loop.release_row(*released, cause)
            self._daemon.gossip.send_round()

    def _should_hand_over(self, lease: CellLease) -> bool:
        """Return whether a peer reaches the runners to which this holder can't send orders."""
        daemon, service = self._daemon, lease.service.name
        lost_for_ms = daemon.service_paths.lost_for_ms(service)
        return (
            lost_for_ms is not None
            and lost_for_ms >= HANDOVER_DELAY_MS
            and lease.lease_loop.held_lease.row is not None
            and lease.lease_loop.store_reachable
            and not lease.lease_loop.store_lost
            and daemon.peer_forwarder.has_peer(service)
        )

    def holds_any(self) -> bool:
        """Return whether this node still holds some cell lease."""
        return any(
            lease.lease_loop.held_lease.row is not None for lease in self._lease_by_cell.values()
        )

    def held_cells(self) -> list[str]:
        """Return the cells whose lease this node holds now."""
        now_ms = self._daemon.clock.now_ms()
        return [
            cell for cell, lease in self._lease_by_cell.items() if lease.lease_loop.holds(now_ms)
        ]

    def lease_of(self, cell: str) -> CellLease | None:
        """Return this node's part in the lease of a cell."""
        return self._lease_by_cell.get(cell)

    def holds_all(self) -> bool:
        """Return whether this node holds all cell leases."""
        return all(lease.scheduler is not None for lease in self._lease_by_cell.values())

    def other_holders(self) -> list[str]:
        """Return the other nodes that hold cell leases."""
        claims = [self._daemon.view.claim_of(cell) for cell in self._lease_by_cell]
        own_name = self._daemon.settings.name
        return [claim.holder for claim in claims if claim is not None and claim.holder != own_name]

    def claims(self) -> tuple[CellLeaseClaim, ...]:
        """Return the claims on the cell leases that this node holds, to be sent to peers."""
        claims = [lease.lease_loop.current_claim() for lease in self._lease_by_cell.values()]
        return tuple(claim for claim in claims if claim is not None)

    def own_residency(self) -> tuple[ResidentAdapters, ...]:
        """Return which adapters the runners of this node's cells hold, to be sent to peers."""
        return tuple(
            held
            for lease in self._lease_by_cell.values()
            if lease.scheduler is not None
            for held in lease.residency_reporter.report(lease.scheduler)
        )

    def overloaded_runners(self) -> OverloadedRunners | None:
        """Return the runners of this node's cells with long queues, to be sent to peers.

        This uses the work of the last plan: adding up all nodes' work again for each heartbeat
        would cost as much as a plan.
        """
        if all(lease.scheduler is None for lease in self._lease_by_cell.values()):
            return None
        now_ms = self._daemon.clock.now_ms()
        tokens_per_ms = self._daemon.backlog.prefill_rate.tokens_per_ms(None, now_ms)
        return overloaded_runners(self._planned_work, tokens_per_ms)

    def mark_unconfirmed(self, life: ServerLife, adapter: str) -> None:
        """Record that a runner lacks an adapter; its scheduler checks the runner again."""
        for lease in self._lease_by_cell.values():
            if lease.scheduler is not None:
                lease.scheduler.mark_unconfirmed(life, adapter, self._daemon.clock.now_ms())
                self.wake_planner()

    def answer_slot_request(self, request: Request, reply: Reply) -> None:
        """Answer a peer that needs a slot for an adapter."""
        if reply.has_caller_left():
            # A busy holder reads the request late: a slot would be reserved for nobody.
            return
        try:
            slot_request = orjson.loads(request.body)
            lease = self._lease_by_cell.get(slot_request["cell"])
            result = None
            if lease is not None and lease.scheduler is not None:
                result = self.request_slot(lease, slot_request)
        except (ValueError, KeyError, TypeError):
            reply.send_whole(400, [])
            return
        match result:
            case Placed(life=life, version=version, tried_ms=tried_ms):
                answer = {"server": life, "version": version, "tried_ms": tried_ms}
                reply.send_whole(200, [], orjson.dumps(answer))
            case NoSlot(retry_after_ms=retry_after_ms):
                reply.send_whole(429, [], orjson.dumps({"retry_after_ms": retry_after_ms}))
            case None:
                reply.send_whole(503, [], b"{}")

    def request_slot(
        self, lease: CellLease, slot_request: dict[str, Any]
    ) -> Placed | NoSlot | None:
        """Queue a request at this node's scheduler until it gets a slot or is refused."""
        now_ms = self._daemon.clock.now_ms()
        result: AsyncResult = AsyncResult()
        check_slot_request(slot_request)
        # Nodes of an earlier release name no software version.
        adapter, software_version = slot_request["adapter"], slot_request.get("software_version")
        queued_request = QueuedRequest(
            adapter_name=adapter,
            min_version=slot_request["version"],
            priority=slot_request["priority"],
            first_attempt_ms=now_ms - slot_request["waited_ms"] - slot_request["tried_ms"],
            on_time_until_ms=now_ms + slot_request["on_time_ms"],
            deadline_ms=now_ms + slot_request["wait_ms"],
            excluded_runners=frozenset(slot_request["avoid"]),
            software_version=software_version,
            on_result=result.set,
            session_key=slot_request["session"],
            tried_ms=slot_request["tried_ms"],
            memory_tokens=self._slot_memory.read_need(slot_request),
            # Nodes of an earlier release name no customer.
            customer=valid_customer(slot_request.get("customer")),
            **_prefill_fields(slot_request, now_ms),
        )
        scheduler = lease.scheduler
        for life in slot_request["lacking"]:
            scheduler.mark_unconfirmed(ServerLife(life), queued_request.adapter_name, now_ms)
        scheduler.request_slot(queued_request, now_ms, self._total_work())
        self.wake_planner()
        answer: Placed | NoSlot | None = None
        try:
            answer = result.get(timeout=slot_request["wait_ms"] / 1000)
        except gevent.Timeout:
            answer = self._refusal_at_deadline(scheduler, queued_request)
        finally:
            ended_ms = self._daemon.clock.now_ms()
            scheduler.remove_request(queued_request, ended_ms)
            self._slot_memory.log_result(
                lease.service.name,
                scheduler.traits.memory_tokens,
                queued_request,
                answer,
                ended_ms - now_ms,
            )
        if isinstance(answer, NoSlot):
            answer = self._slot_log.record_refusal(
                lease.service.name, slot_request.get("request"), queued_request, answer, now_ms
            )
        return answer

    def _refusal_at_deadline(self, scheduler: AdapterScheduler, request: QueuedRequest) -> NoSlot:
        if request.customer is None:
            return NoSlot(REFUSED_RETRY_AFTER_MS, "deadline")
        return scheduler.admission.refusal_at_deadline(request, self._daemon.clock.now_ms())

    def _lease_check_loop(self) -> None:
        while True:
            self._daemon.tasks.sleep(LEASE_CHECK_INTERVAL_MS)
            self._create_missing_leases()
            for lease in list(self._lease_by_cell.values()):
                watches = self._daemon.store_watches
                lease.lease_loop.loaded = lease.lease_loop.loaded or (
                    watches is not None and watches.own.is_loaded
                )
                lease.lease_loop.store_reachable = watches is not None and watches.reaches_store()
                if self._should_hand_over(lease):
                    self._release(lease, "no runner can be reached")
                if lease.scheduler is not None:
                    lease.lease_loop.learned_loads = lease.scheduler.load_limit.learned()
                lease.lease_loop.step()

    def _create_missing_leases(self) -> None:
        route_table = self._daemon.cluster_state.route_table
        if route_table is None:
            return
        for service in route_table.service_by_name.values():
            if service.engine is None:
                continue
            lease = self._lease_by_cell.get(service.name)
            if lease is None:
                lease = CellLease(service, self._create_lease_loop(service.name), {})
                self._lease_by_cell[service.name] = lease
                row = self._row_by_cell.get(service.name)
                if row is not None:
                    lease.lease_loop.handle_row(row)
            lease.service = service

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
            lambda: daemon.is_ready() and not daemon.peer_forwarder.is_partitioned(cell),
            daemon.stall_detector.is_steady,
            self._handle_lease_won,
        )

    def _handle_lease_won(self) -> None:
        """Start to plan at once, and announce the new holder: requests are waiting for one."""
        self.wake_planner()
        self._daemon.gossip.send_round()

    def _plan_loop(self) -> None:
        while True:
            self._wake_event.wait(MAX_PLAN_INTERVAL_MS / 1000)
            self._wake_event.clear()
            now_ms = self._daemon.clock.now_ms()
            work: dict[ServerLife, ServerWork] | None = None
            for lease in list(self._lease_by_cell.values()):
                if not self._sync_scheduler(lease, now_ms):
                    continue
                work = self._total_work() if work is None else work
                self._planned_work = work
                self._plan_or_restart(lease, now_ms, work)
            self._apply_peer_residency(now_ms)
            # Changes that arrive meanwhile are planned for together: during a burst a plan for each
            # change would use the whole processor, and the answers to the holder's own orders would
            # wait for it.
            took_ms = self._daemon.clock.now_ms() - now_ms
            if took_ms:
                self._daemon.tasks.sleep(pause_after_plan_ms(took_ms))

    def _plan_or_restart(
        self, lease: CellLease, now_ms: int, work: dict[ServerLife, ServerWork]
    ) -> None:
        """Plan for a cell; after a bug its scheduler starts anew.

        The lease would otherwise be renewed for ever by a holder that gives no more orders.
        """
        try:
            self._plan(lease, now_ms, work)
        except Exception as error:
            log(_LOGGER, events.PlanFailed(cell=lease.service.name, cause=repr(error)))
            _LOGGER.exception("event=plan_trace")
            lease.close_scheduler()

    def _sync_scheduler(self, lease: CellLease, now_ms: int) -> bool:
        """Open a scheduler when the lease is won, close it when the lease is lost."""
        if not lease.lease_loop.holds(now_ms):
            if lease.lease_loop.held_lease.row is None:
                lease.close_scheduler()
            return False
        epoch = lease.lease_loop.held_lease.row.epoch
        lease.epoch = epoch
        if lease.scheduler is None:
            lease.scheduler = AdapterScheduler(
                lease.service.engine,
                self._daemon.cluster_state.version_by_adapter,
                self._daemon.settings.bounds.load_window_ms,
                self._is_retired,
                now_ms,
                pace_of=self._daemon.backlog.pace_of,
                fair_shares=self._daemon.customer_shares.fair_shares,
            )
            learned_loads = lease.lease_loop.held_lease.row.learned_loads
            if learned_loads is not None:
                lease.scheduler.load_limit.resume(learned_loads)
        scheduler = lease.scheduler
        scheduler.model_load_limit.cells = len(self._lease_by_cell)
        registry = self._daemon.cluster_state.server_registry
        server_by_life = {server.life: server for server in registry.servers_of(lease.service.name)}
        for life, server in server_by_life.items():
            if life not in scheduler.runners:
                scheduler.add_runner(
                    life, self.residency.history(life), registry.restarted_ms(life)
                )
            scheduler.runners[life].software_version = server.software_version
        for life in [life for life in scheduler.runners if life not in server_by_life]:
            scheduler.remove_runner(life)
            self.residency.forget(life)
        return True

    def _is_retired(self, ref: AdapterRef) -> bool:
        after_ms = self._daemon.settings.bounds.version_ms * RETIRE_SHARE
        return self._daemon.cluster_state.has_been_superseded_for(ref, after_ms)

    def _plan(self, lease: CellLease, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        scheduler = lease.scheduler
        for life in scheduler.runners_needing_report(now_ms):
            scheduler.runners[life].has_call_in_progress = True
            self._daemon.tasks.spawn(self._fetch_runner_report, lease, scheduler, life)
        if now_ms - lease.last_queue_check_ms >= QUEUE_CHECK_INTERVAL_MS:
            lease.last_queue_check_ms = now_ms
            scheduler.process_queue(now_ms, work)
        self._slot_log.record_drains(lease.service.name, scheduler.slot_draining.pop_started())
        for step in scheduler.plan(now_ms, work):
            self._daemon.tasks.spawn(self._send_order, lease, scheduler, step)
        self.residency.apply_report(lease.residency_reporter.report_changes(scheduler, now_ms))
        if now_ms - lease.last_summary_ms >= SUMMARY_INTERVAL_MS:
            lease.last_summary_ms = now_ms
            self._log_summary(lease, scheduler, now_ms, work)

    def _log_summary(
        self,
        lease: CellLease,
        scheduler: AdapterScheduler,
        now_ms: int,
        work: dict[ServerLife, ServerWork],
    ) -> None:
        """Log how many of the runners' slots are used: the first question when requests wait."""
        slots = [slot for runner in scheduler.runners.values() for slot in runner.slots.values()]
        used = {(life, name) for life, w in work.items() for name in w.requests_by_adapter}
        in_use = sum(
            (runner.life, name) in used
            for runner in scheduler.runners.values()
            for name in runner.slots
        )
        log(
            _LOGGER,
            events.Seats(
                cell=lease.service.name,
                runners=len(scheduler.runners),
                known=sum(runner.is_known() for runner in scheduler.runners.values()),
                places=sum(runner.slot_count for runner in scheduler.runners.values()),
                taken=len(slots),
                in_use=in_use,
                loading=sum(slot.state is SlotState.LOADING for slot in slots),
                dropping=sum(slot.state is SlotState.UNLOADING for slot in slots),
                doubtful=sum(
                    runner.unconfirmed_order is not None for runner in scheduler.runners.values()
                ),
                waiting=len(scheduler.queued_requests),
                oldest_ms=now_ms
                - min((w.first_attempt_ms for w in scheduler.queued_requests), default=now_ms),
                requests=sum(w.requests for life, w in work.items() if life in scheduler.runners),
                unread=sum(
                    w.pending_prefill_tokens
                    for life, w in work.items()
                    if life in scheduler.runners
                ),
                loads=scheduler.load_count,
                cold=scheduler.cold_load_count,
                copies=scheduler.replica_load_count,
                fetch_limit=scheduler.load_limit.limit,
                fetch_ms=scheduler.load_limit.full_speed_ms,
            ),
        )

    def _fetch_runner_report(
        self, lease: CellLease, scheduler: AdapterScheduler, life: ServerLife
    ) -> None:
        server = self._daemon.cluster_state.server_registry.server_by_life.get(life)
        report = (
            self._runner_control.fetch_report(life, server.address) if server is not None else None
        )
        if isinstance(report, Gone):
            self._handle_replaced_runner(scheduler, life)
            return
        self._record_contact(lease, report is not None)
        now_ms = self._daemon.clock.now_ms()
        registry = self._daemon.cluster_state.server_registry
        if report is not None and not registry.confirm_life(report.life, report.models, now_ms):
            # Another life of the server answered than the known one: the known one has ended, or
            # the answer is from an earlier one. Either way the report says nothing of the known
            # life.
            report = None
        scheduler.handle_report(life, report, now_ms)
        lease.last_queue_check_ms = 0
        self.wake_planner()

    def _send_order(self, lease: CellLease, scheduler: AdapterScheduler, step: OrderStep) -> None:
        daemon = self._daemon
        server = daemon.cluster_state.server_registry.server_by_life.get(step.life)
        if server is None or scheduler is not lease.scheduler:
            return
        # Checked again right before sending: the lease may have expired since the plan.
        if not lease.lease_loop.holds(daemon.clock.now_ms()):
            scheduler.runners[step.life].has_call_in_progress = False
            return
        order = Order(
            step.operation,
            step.name,
            step.version,
            step.sequence,
            daemon.settings.name,
            lease.epoch,
        )
        sent_ms = daemon.clock.now_ms()
        answer = self._runner_control.send_order(step.life, server.address, order)
        if isinstance(answer, Superseded) and order.fence < lease.epoch:
            # This node has claimed the lease again meanwhile, and the runner knows its new number.
            answer = Stale()
        if isinstance(answer, Gone):
            self._handle_replaced_runner(scheduler, step.life)
        self._record_contact(lease, not isinstance(answer, Unanswered | Unusable))
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
                    fence=lease.epoch,
                    answer=type(answer).__name__,
                    cause=getattr(answer, "reason", None),
                ),
            )
        if not scheduler.handle_order_result(step, answer, now_ms) and isinstance(
            answer, Superseded
        ):
            lease.lease_loop.handle_superseded()
            lease.close_scheduler()
        elif isinstance(answer, Accepted) and answer.complete:
            scheduler.process_queue_for_adapter(step.name, now_ms, self._total_work())
        self.wake_planner()

    def _record_contact(self, lease: CellLease, has_answered: bool) -> None:
        """Record whether a runner has answered the holder."""
        if has_answered:
            self._daemon.service_paths.record_response(lease.service.name)
        else:
            self._daemon.service_paths.record_unreachable(lease.service.name)

    def _handle_replaced_runner(self, scheduler: AdapterScheduler, life: ServerLife) -> None:
        """Record that another server answers at a runner's address."""
        cluster_state = self._daemon.cluster_state
        cluster_state.server_registry.mark_leaving(
            life, self._daemon.clock.now_ms(), "another server at its address"
        )
        scheduler.remove_runner(life)

    def _apply_peer_residency(self, now_ms: int) -> None:
        """Apply what the holders of other cells report of their runners."""
        for cell, lease in self._lease_by_cell.items():
            if lease.scheduler is not None:
                continue
            report = self._daemon.view.residency(cell, now_ms)
            if report is not None:
                self.residency.apply_peer_report(cell, report)

    def _total_work(self) -> dict[ServerLife, ServerWork]:
        """Return what all nodes have in progress, by server; the next heartbeat changes it."""
        peer_work = self._daemon.view.work_by_server(self._daemon.clock.now_ms())
        return sum_work(peer_work, self._daemon.in_flight.work_by_server)
