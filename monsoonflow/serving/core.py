"""A node's decision logic: it handles events and returns commands, without sockets or a clock.

The daemon and the randomised tests run the same code.
"""

from __future__ import annotations

from typing import Final

from ..core.adapter import AdapterRef
from ..core.invariant import require
from ..core.journal import Journal
from ..core.outcome import Done
from ..ownership.lease import HeldLease
from ..placement.store_share import StoreShare
from ..request.models import End, NextStep, Resume, Retry
from ..routing.limits import Admission, Refusal
from ..runner.const import Permission
from ..runner.models import Dispatch, Load, LoadCandidate, Order, Unload, WaitingRequest
from .models import (
    ActiveRequest,
    Command,
    NotOwner,
    OwnedRunner,
    SendCancel,
    SendLoad,
    SendRun,
    SendUnload,
)

EXPIRY_CHECK_INTERVAL_MS: Final = 50
EXPIRED_RETRY_AFTER_MS: Final = 1_000


class ServingCore:
    """Decides what one node sends to the runners that it owns.

    :param lease: this node's own lease; nothing is sent while it is not held.
    :param share: limits how fast this node starts loads while no peer grants them.
    :param journal: keeps what was decided and why, for the ``explain`` command.
    """

    def __init__(
        self, lease: HeldLease, admission: Admission, share: StoreShare, journal: Journal
    ) -> None:
        self.lease = lease
        self.admission = admission
        self.share = share
        self.journal = journal
        self.owned_by_runner: dict[str, OwnedRunner] = {}
        self.active_by_id: dict[str, ActiveRequest] = {}
        self.needs_fleet_grant = False
        self._cancel_by_run_id: dict[str, SendCancel] = {}
        self._pending_commands: list[Command] = []
        self._next_expiry_ms = 0

    # Ownership

    def reconcile(
        self, runner_id: str, fence: int, boot_id: str, resident: set[AdapterRef]
    ) -> None:
        """Correct a runner's slots by its engine's report.

        :param resident: the adapters in the report, which was made while no order to the engine was
            in progress.
        """
        owned = self.owned_by_runner.get(runner_id)
        if owned is None or owned.fence != fence:
            return
        previous_boot_id = owned.runner.boot_id
        if owned.runner.reconcile(boot_id, resident):
            cause = "engine restarted" if previous_boot_id != boot_id else "lost answers"
            self.journal.record(runner_id, "slots corrected", cause=cause, resident=len(resident))

    def add_runner(self, owned: OwnedRunner) -> None:
        """Add a runner that this node now owns; its engine is already fenced and its state read."""
        runner_id = owned.runner.runner_id
        previous = self.owned_by_runner.get(runner_id)
        require(previous is None or previous.fence < owned.fence, "fencing numbers only increase")
        self.owned_by_runner[runner_id] = owned
        self.journal.record(runner_id, "owned by this node", fence=owned.fence)

    def release_runner(self, runner_id: str) -> list[ActiveRequest]:
        """Stop owning a runner.

        :returns: the requests that waited there; none of them was sent to the engine.
        """
        owned = self.owned_by_runner.pop(runner_id, None)
        if owned is None:
            return []
        self.journal.record(runner_id, "no longer owned by this node", fence=owned.fence)
        return self._unplace_waiting(owned)

    def reassign_waiting(self, runner_id: str) -> list[ActiveRequest]:
        """Remove every waiting request from a runner, so that each is placed again."""
        owned = self.owned_by_runner.get(runner_id)
        return self._unplace_waiting(owned) if owned is not None else []

    def _unplace_waiting(self, owned: OwnedRunner) -> list[ActiveRequest]:
        moved = []
        for waiting in owned.runner.drop_queues():
            active = self._find_active(waiting.request_id)
            if active is not None:
                self._unplace(active)
                moved.append(active)
        return moved

    def may_send(self, runner_id: str, fence: int, now_ms: int) -> bool:
        """Tell whether an order may be sent now; called immediately before each send.

        The lease may have expired since the decision, while the process was suspended. One check
        per loop would let the rest of the loop's orders be sent while another node owns the runner.
        """
        owned = self.owned_by_runner.get(runner_id)
        if owned is None or owned.fence != fence:
            return False
        return self.lease.is_held(now_ms) and not owned.is_handing_over

    def permission(self, owned: OwnedRunner, now_ms: int) -> Permission:
        """Return which orders may be sent to a runner now."""
        if owned.is_handing_over or not self.lease.is_held(now_ms):
            return Permission.NOTHING
        return owned.takeover_guard.permission(now_ms)

    # Requests

    def submit(
        self, active: ActiveRequest, runner_id: str, now_ms: int
    ) -> Refusal | NotOwner | None:
        """Add a request to the queue of a runner of this node.

        :returns: why it was not added, or ``None``.
        """
        owned = self.owned_by_runner.get(runner_id)
        terms = active.life.terms
        if owned is None or owned.is_handing_over or not self.lease.is_held(now_ms):
            return NotOwner()
        time_left_ms = terms.deadline_ms - now_ms
        refusal = self.admission.check(
            terms.customer, runner_id, owned.runner.queued, time_left_ms, now_ms
        )
        if refusal is not None:
            return refusal
        active.runner_id = runner_id
        active.run_id = f"{terms.request_id}.{active.life.attempt + 1}"
        active.is_waiting = True
        active.enqueued_ms = now_ms
        active.needs_adapter_load = terms.adapter not in owned.runner.resident()
        self.active_by_id[terms.request_id] = active
        owned.runner.enqueue(
            WaitingRequest(
                active.run_id,
                terms.adapter,
                terms.customer,
                now_ms,
                terms.priority,
                terms.newcomer,
                terms.weight,
            )
        )
        self.journal.record(
            terms.request_id,
            "waits",
            runner=runner_id,
            queued=owned.runner.queued,
            adapter_resident=not active.needs_adapter_load,
        )
        return None

    def withdraw(self, request_id: str) -> None:
        """Remove an abandoned request from its queue, or cancel its run."""
        active = self.active_by_id.get(request_id)
        if active is None or active.runner_id is None:
            return
        owned = self.owned_by_runner.get(active.runner_id)
        if owned is None:
            return
        if active.is_waiting:
            owned.runner.withdraw(active.run_id)
            active.is_waiting = False
        elif active.run_id in owned.runner.adapter_by_run_id:
            self._cancel(active.runner_id, owned.fence, active.run_id)

    def apply_step(
        self, request_id: str, step: NextStep, has_run_ended: bool, now_ms: int
    ) -> NextStep:
        """Update a request's place at its runner for the next step that was decided.

        A run whose connection was lost may continue on the engine. Its adapter stays pinned until
        the engine confirms the cancel; otherwise the adapter could be evicted during the run.

        :param has_run_ended: whether the engine itself confirmed that the run no longer continues.
        :returns: the step, unchanged.
        """
        active = self.active_by_id.get(request_id)
        if active is None:
            return step
        match step:
            case Resume(from_index=index):
                self.journal.record(request_id, "resumes", from_chunk=index)
            case Retry(attempt=attempt):
                self._leave_runner(active, now_ms, has_run_ended)
                self.journal.record(request_id, "retried", attempt=attempt)
            case End():
                self._leave_runner(active, now_ms, has_run_ended)
        return step

    def forget(self, request_id: str) -> None:
        """Remove a request that has ended and been answered."""
        self.active_by_id.pop(request_id, None)

    # Events of engines

    def handle_run_end(self, runner_id: str, run_id: str, now_ms: int) -> None:
        """Handle the engine's confirmation that a run has ended."""
        self._cancel_by_run_id.pop(run_id, None)
        owned = self.owned_by_runner.get(runner_id)
        if owned is None:
            return
        owned.foreign_runs.discard(run_id)
        self._queue_orders(owned, owned.runner.handle_run_end(run_id, now_ms))
        owned.runner.check_invariants()

    def handle_loaded(self, runner_id: str, adapter: AdapterRef, now_ms: int) -> None:
        """Handle the completion of a load."""
        owned = self.owned_by_runner.get(runner_id)
        if owned is not None:
            owned.runner.handle_loaded(adapter, now_ms)
            self.journal.record(runner_id, "adapter loaded", adapter=adapter)

    def handle_load_failure(
        self, runner_id: str, adapter: AdapterRef, reason: str, now_ms: int
    ) -> None:
        """Handle a failed load; after repeated failures, refuse the requests that wait for it."""
        owned = self.owned_by_runner.get(runner_id)
        if owned is None:
            return
        self.journal.record(runner_id, "load failed", adapter=adapter, cause=reason)
        for waiting in owned.runner.handle_load_failure(adapter, now_ms):
            active = self._find_active(waiting.request_id)
            if active is not None:
                self._unplace(active)
                active.life.give_up(f"adapter {adapter} can't be loaded: {reason}", 5_000)
                active.on_change()

    def handle_unloaded(self, runner_id: str, adapter: AdapterRef) -> None:
        """Handle the completion of an unload."""
        owned = self.owned_by_runner.get(runner_id)
        if owned is not None:
            self._queue_orders(owned, owned.runner.handle_unloaded(adapter))
            self.journal.record(runner_id, "adapter unloaded", adapter=adapter)

    # Decisions

    def poll(self, now_ms: int) -> list[Command]:
        """Return all commands to send now, after timing out requests past their deadline."""
        self._expire_requests(now_ms)
        commands: list[Command] = []
        for runner_id, owned in self.owned_by_runner.items():
            permission = self.permission(owned, now_ms)
            for dispatch in owned.runner.dispatch_ready(now_ms, permission):
                commands.append(self._dispatch(runner_id, owned, dispatch, now_ms))
            owned.runner.check_invariants()
        if not self.needs_fleet_grant:
            in_progress = self.loads_in_progress()
            chosen = self.share.pick(self.load_candidates(now_ms), in_progress, now_ms)
            if chosen is not None:
                self.start_load(chosen, now_ms)
        commands += self._pending_commands
        self._pending_commands = []
        return commands

    def queued_count(self) -> int:
        """Return how many requests wait at the runners of this node."""
        return sum(owned.runner.queued for owned in self.owned_by_runner.values())

    def loads_in_progress(self) -> int:
        """Return how many loads are in progress at the runners of this node."""
        return sum(owned.runner.loads_in_progress() for owned in self.owned_by_runner.values())

    def load_candidates(self, now_ms: int) -> list[LoadCandidate]:
        """Return the most urgent loads of each owned runner."""
        return [
            candidate
            for owned in self.owned_by_runner.values()
            for candidate in owned.runner.load_options(now_ms, self.permission(owned, now_ms))
        ]

    def start_load(self, chosen: LoadCandidate, now_ms: int) -> bool:
        """Start a load that this node's share of the load rate or a grant allows.

        :returns: whether it started.
        """
        owned = self.owned_by_runner.get(chosen.runner_id)
        if owned is None:
            return False
        permission = self.permission(owned, now_ms)
        orders = owned.runner.start_load(chosen.adapter, now_ms, permission)
        if not orders:
            return False
        self.share.record_start(chosen, now_ms)
        self.journal.record(
            chosen.runner_id,
            "load started",
            adapter=chosen.adapter,
            waiting=chosen.waiting_count,
            score=round(chosen.score, 2),
        )
        self._queue_orders(owned, orders)
        return True

    def pending_cancels(self) -> list[SendCancel]:
        """Return the cancels that the engines have not yet confirmed."""
        return list(self._cancel_by_run_id.values())

    def _dispatch(
        self, runner_id: str, owned: OwnedRunner, order: Dispatch, now_ms: int
    ) -> SendRun:
        active = self._find_active(order.request_id)
        require(active is not None, "a waiting request is known")
        assert active is not None
        attempt = active.life.offer()
        require(
            active.run_id == f"{active.life.terms.request_id}.{attempt}",
            "the run id names the current attempt",
        )
        active.is_waiting = False
        active.dispatched_ms = now_ms
        self.journal.record(
            active.life.terms.request_id,
            "offered",
            runner=runner_id,
            attempt=attempt,
            waited_ms=now_ms - active.enqueued_ms,
        )
        return SendRun(runner_id, owned.fence, active.life.terms.request_id, active.run_id)

    def _queue_orders(self, owned: OwnedRunner, orders: list[Order]) -> None:
        runner_id = owned.runner.runner_id
        for order in orders:
            match order:
                case Load(adapter=adapter):
                    self._pending_commands.append(SendLoad(runner_id, owned.fence, adapter))
                case Unload(adapter=adapter):
                    self._pending_commands.append(SendUnload(runner_id, owned.fence, adapter))
                case Dispatch():
                    require(False, "requests are dispatched by poll only")

    def _expire_requests(self, now_ms: int) -> None:
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + EXPIRY_CHECK_INTERVAL_MS
        for active in list(self.active_by_id.values()):
            if active.life.ended:
                continue
            time_left_ms = active.life.terms.deadline_ms - now_ms
            if time_left_ms <= 0:
                self._time_out(active, "the deadline has passed", None)
            elif active.is_waiting and time_left_ms < self.admission.mean_run_ms(
                active.runner_id or ""
            ):
                # If sent now, the deadline would cut its answer, and it would use capacity that
                # another request could use to finish.
                self._time_out(active, "too little time is left", EXPIRED_RETRY_AFTER_MS)

    def _time_out(self, active: ActiveRequest, reason: str, retry_after_ms: int | None) -> None:
        self.withdraw(active.life.terms.request_id)
        active.life.give_up(reason, retry_after_ms, status=504)
        active.on_change()

    def _leave_runner(self, active: ActiveRequest, now_ms: int, has_run_ended: bool) -> None:
        runner_id, run_id = active.runner_id, active.run_id
        if runner_id is None:
            return
        self._unplace(active)
        if active.dispatched_ms:
            done = isinstance(active.life.outcome, Done)
            run_ms = now_ms - active.dispatched_ms if done else None
            self.admission.record_run_end(runner_id, run_ms, now_ms)
        owned = self.owned_by_runner.get(runner_id)
        if owned is None:
            return
        if run_id not in owned.runner.adapter_by_run_id:
            return
        if has_run_ended:
            self.handle_run_end(runner_id, run_id, now_ms)
        else:
            self._cancel(runner_id, owned.fence, run_id)

    def _cancel(self, runner_id: str, fence: int, run_id: str) -> None:
        self._cancel_by_run_id[run_id] = SendCancel(runner_id, fence, run_id)

    def _unplace(self, active: ActiveRequest) -> None:
        active.runner_id = None
        active.is_waiting = False
        active.on_change()

    def _find_active(self, run_id: str) -> ActiveRequest | None:
        active = self.active_by_id.get(run_id.rpartition(".")[0])
        return active if active is not None and active.run_id == run_id else None
