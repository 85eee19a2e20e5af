"""Schedules adapter loads on the runners of a cell, for all requests of the cell.

A few adapters get most requests, thousands get one now and then, and a rush requests many rare ones
at once. Runners hold few adapters and keep cached copies of more. Therefore an adapter is loaded
where it was before if possible, an adapter in use is never unloaded to make room, queued requests
are served by urgency, and the weight store gets no more concurrent loads than it sends at full
speed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..orders.models import (
    Accepted,
    Gone,
    Operation,
    OrderResult,
    RunnerReport,
    Stale,
    Superseded,
    Unanswered,
    Unusable,
)
from ..routing.in_flight import ServerWork
from ..routing.prefill_rate import MIN_DRAIN_MS
from ..routing.recently_sent import RecentlySent
from ..routing.routes import EngineTraits
from .cached_copies import CachedCopies
from .candidate_runners import CandidateRunners, SlotOnRunner
from .fair_share import FairShares
from .faster_runners import FasterRunners, equal_pace
from .idle_slots import IdleSlots
from .load_limit import LoadLimit
from .load_target import LoadTargetSelector
from .load_times import COLD_LOAD_MS, WARM_LOAD_MS
from .memory_grants import MemoryGrants
from .model_load_limit import LONG_AGO_MS, ModelLoadLimit
from .queue_policy import DEFAULT_POLICY, QueuePolicy
from .replicas import RunnerWorkloads, find_wanted_replica
from .request_queue import NoSlot, Placed, QueueAdmission, QueuedRequest, in_service_order
from .returning_callers import ReturningCallers
from .slot_draining import SlotDraining
from .slots import OrderStep, RunnerSlots, Slot, SlotState, slot_count
from .usage_scores import UsageScores

CONFIRM_INTERVAL_MS: Final = 20
"""Interval at which a runner is asked whether a load is complete: each time costs a round trip of
3 ms."""

UNLOAD_CONFIRM_SHARE: Final = 0.25
"""The runner is asked about an unload again after this share of the time that it has taken so far:
the slot becomes free at most a quarter later than it could."""

MODEL_CONFIRM_INTERVAL_MS: Final = 250

MAX_ORDER_DELAY_MS: Final = 12_000
"""How long an order without a response may still be carried out: 2 to 12 s later according to the
list of known faults. An order that was sent before a runner restarted may reach its new process,
which has the same id."""

GRANT_HOLD_MS: Final = 600
"""How long a granted slot is kept until the request appears in its node's heartbeat."""

REQUEST_USAGE_SCORE: Final = 0.3
"""Usage score of each request for an adapter, about a third of a second of use, so that an adapter
with many short requests is kept."""

REPORT_RETRY_MS: Final = 150
MAX_REPORT_AGE_MS: Final = 500
"""A runner's report is some hundred milliseconds old. A report that counts fewer orders than the
runner has accepted is requested again for this long."""

REPLICA_PAUSE_MS: Final = 1_500
"""Minimum time between two replica loads of an adapter. A replica is loaded in 250 ms and then gets
requests as others end. Until this shows in the workload of its runner, a second replica would be
one too many."""

MAX_ADAPTERS_PER_PLAN: Final = 64
"""Number of adapters for which one plan looks for a runner, most urgent first: more than the weight
store sends concurrently. With 400 queued requests and 44 runners, an unlimited plan took 81 ms,
which delayed its own orders; with this limit it takes 14 ms."""

USAGE_UPDATE_INTERVAL_MS: Final = 40
"""How often usage scores are updated: a fifth of the time for which nodes' heartbeats are valid."""

MAX_QUEUE_CHECK_AGE_MS: Final = 100
"""How long a new request may be compared with the last check of the whole queue: the longest pause
between two plans."""

REQUEST_REPORT_DELAY_MS: Final = 250
"""A request appears in its node's next heartbeat, at most 200 ms later, plus the network delay."""

MIN_IDLE_SLOTS: Final = 2
"""Number of idle slots that replicas leave for the next requests."""


class AdapterScheduler:
    """The slots of all runners of one cell, and the queue of requests that wait for one.

    It runs at the lease holder of the cell.

    :param newest_by_adapter: newest version by adapter, for adapters with one set by the operator.
    :param load_window_ms: window in which loads of base models are counted.
    :param is_retired: tells whether requests may soon no longer start on a version, so that its
        runners must unload it.
    :param holder_since_ms: when this node became the lease holder of the cell.
    :param checks_memory: whether runners without room for a request are left out.
    :param pace_of: returns the relative pace of a runner; by default all are equal.
    :param policy: the parts of the order of waiting that are enabled.
    :param fair_shares: the recent usage of each customer.
    """

    def __init__(
        self,
        traits: EngineTraits,
        newest_by_adapter: dict[str, int],
        load_window_ms: int = 5_000,
        is_retired: Callable[[AdapterRef], bool] = lambda ref: False,
        holder_since_ms: int = LONG_AGO_MS,
        checks_memory: bool = True,
        pace_of: Callable[[ServerLife, int], float] = equal_pace,
        policy: QueuePolicy = DEFAULT_POLICY,
        fair_shares: FairShares | None = None,
    ) -> None:
        self.traits = traits
        self._policy = policy
        self._fair_shares = fair_shares or FairShares()
        self._newest_by_adapter = newest_by_adapter
        self._is_retired = is_retired
        self.runners: dict[ServerLife, RunnerSlots] = {}
        self._queue: dict[QueuedRequest, None] = {}
        self._queue_processed_ms: int | None = None
        self._usage_scores = UsageScores()
        self._idle_slots = IdleSlots(self.runners, self._usage_scores, newest_by_adapter)
        self.slot_draining = SlotDraining(self._idle_slots, self._fair_shares)
        self._cached_copies = CachedCopies()
        self._memory = MemoryGrants(traits.memory_tokens if checks_memory else 0)
        self._faster = FasterRunners(self.runners, self._idle_slots, self._cached_copies, pace_of)
        self._load_target_selector = LoadTargetSelector(
            self._cached_copies, self._memory, self._faster
        )
        self._workloads = RunnerWorkloads()
        self.load_limit = LoadLimit()
        self._usage_updated_ms = 0
        self.model_load_limit = ModelLoadLimit(traits.loads_per_s, load_window_ms, holder_since_ms)
        self.admission = QueueAdmission(policy.fair_shares)
        self._grants = RecentlySent(REQUEST_REPORT_DELAY_MS)
        self._returning_callers = ReturningCallers()
        self.load_count = 0
        self.cold_load_count = 0
        self.replica_load_count = 0
        self._replicated_ms_by_adapter: dict[str, int] = {}

    @property
    def queued_requests(self) -> list[QueuedRequest]:
        """Return the requests that wait for a slot."""
        return list(self._queue)

    def add_runner(
        self,
        life: ServerLife,
        history: Iterable[AdapterRef] = (),
        restarted_ms: int | None = None,
    ) -> None:
        """Add a runner to the cell.

        :param history: adapters that it held before, oldest first.
        :param restarted_ms: when it was first seen, if it is a restarted process with the id of an
            earlier one.
        """
        if life in self.runners:
            return
        runner = self.runners[life] = RunnerSlots(
            life, slot_count(self.traits), cached_copies=self._cached_copies
        )
        if restarted_ms is not None:
            runner.spare_slot_until_ms = restarted_ms + MAX_ORDER_DELAY_MS
        for ref in history:
            runner.add_cached_copy(ref)

    def remove_runner(self, life: ServerLife) -> None:
        """Remove a runner from the cell."""
        runner = self.runners.pop(life, None)
        if runner is not None:
            runner.remove_cached_copies()
        self._workloads.remove_runner(life)
        self._grants.forget(life)
        self._memory.forget(life)

    def mark_unconfirmed(self, life: ServerLife, name: str, now_ms: int) -> None:
        """Mark an adapter as unconfirmed, because its runner reported that it lacks it.

        A delayed order of a former lease holder may have unloaded the adapter unnoticed. The load
        is ordered again, which has no effect if the adapter is there after all, and no request is
        sent to it until the load is complete.
        """
        runner = self.runners.get(life)
        slot = runner.ready_slot(name) if runner is not None else None
        if slot is not None:
            slot.state = SlotState.LOADING
            slot.state_since_ms = slot.confirm_at_ms = now_ms
            slot.concurrent_loads = 0

    def handle_report(self, life: ServerLife, report: RunnerReport | None, now_ms: int) -> None:
        """Handle a runner's report, which was requested because its state was unknown."""
        runner = self.runners.get(life)
        if runner is None:
            return
        runner.has_call_in_progress = False
        runner.report_due_ms = now_ms + REPORT_RETRY_MS
        if report is None:
            return
        is_outdated = runner.sequence is not None and report.sequence < runner.sequence
        if is_outdated and now_ms - runner.sequence_updated_ms < MAX_REPORT_AGE_MS:
            return
        runner.apply_report(report, now_ms)
        runner.report_due_ms = 0

    def runners_needing_report(self, now_ms: int) -> list[str]:
        """Return the runners whose report must be requested now."""
        return [
            runner.life
            for runner in self.runners.values()
            if not runner.has_call_in_progress
            and (not runner.is_known() or runner.report_due_ms > 0)
            and now_ms >= runner.report_due_ms
        ]

    def request_slot(
        self, request: QueuedRequest, now_ms: int, work: dict[ServerLife, ServerWork]
    ) -> None:
        """Assign a slot to a request, refuse it, or add it to the queue.

        Only the slots of its own adapter are examined; other queued requests are examined in the
        next plan.
        """
        self._usage_scores.add(request.adapter_name, REQUEST_USAGE_SCORE, now_ms)
        self._restore_first_attempt(request, now_ms)
        request.expected_load_ms = self._expected_load_ms(request)
        self.slot_draining.customers.record(request.adapter_name, request.customer, now_ms)
        if self._policy.fair_shares:
            request.level = self._fair_shares.level_of_request(request)
        overrun_ms = self._prefill_overrun_ms(request, now_ms, work)
        if overrun_ms is not None:
            self._refuse(request, NoSlot(max(MIN_DRAIN_MS, overrun_ms), "prefill"), now_ms)
            return
        if (
            self._queue_processed_ms is None
            or now_ms - self._queue_processed_ms > MAX_QUEUE_CHECK_AGE_MS
        ):
            self._queue[request] = None
            self.process_queue(now_ms, work)
            return
        if self._assign_slot(
            request, self._slots_in(request.adapter_name, SlotState.READY), now_ms, work
        ):
            return
        loading = self._slots_in(request.adapter_name, SlotState.LOADING)
        refusal = (
            None
            if self._is_kept(request, loading)
            else self.admission.check_new_request(request, now_ms)
        )
        if refusal is None:
            self._queue[request] = None
        else:
            self._refuse(request, refusal, now_ms)

    def _slots_in(self, name: str, state: SlotState) -> list[SlotOnRunner]:
        return [
            (runner, slot)
            for runner in self.runners.values()
            if (slot := runner.slots.get(name)) is not None and slot.state is state
        ]

    def _assign_slot(
        self,
        request: QueuedRequest,
        ready: Sequence[SlotOnRunner],
        now_ms: int,
        work: dict[ServerLife, ServerWork],
    ) -> bool:
        """Assign a slot where the adapter is ready; return whether there was one."""
        found = self._find_slot(request, ready, work, now_ms)
        if found is None:
            return False
        runner, slot = found
        slot.granted_until_ms = now_ms + GRANT_HOLD_MS
        slot.last_used_ms = now_ms
        self._grants.add(runner.life, request.prompt_tokens, now_ms)
        self._memory.add(request, runner.life, work.get(runner.life, _NO_WORK), now_ms)
        self.admission.record_assignment(request, now_ms)
        request.on_result(Placed(runner.life, slot.ref.version, request.tried_ms))
        return True

    def _refuse(self, request: QueuedRequest, refusal: NoSlot, now_ms: int) -> None:
        self._record_refusal(request, now_ms)
        request.on_result(refusal)

    def _restore_first_attempt(self, request: QueuedRequest, now_ms: int) -> None:
        """Count the time of a returning caller from its first attempt."""
        if request.session_key is None:
            return
        first_attempt_ms = self._returning_callers.first_attempt_ms(
            (request.adapter_name, request.session_key), now_ms
        )
        if first_attempt_ms is not None and first_attempt_ms < request.first_attempt_ms:
            earlier_ms = request.first_attempt_ms - first_attempt_ms
            request.first_attempt_ms = first_attempt_ms
            request.tried_ms += earlier_ms
            request.on_time_until_ms -= earlier_ms

    def _record_refusal(self, request: QueuedRequest, now_ms: int) -> None:
        if request.session_key is not None:
            self._returning_callers.record_refusal(
                (request.adapter_name, request.session_key), request.first_attempt_ms, now_ms
            )

    def _expected_load_ms(self, request: QueuedRequest) -> int:
        return (
            WARM_LOAD_MS
            if self._cached_copies.runners_with(self._newest_ref(request))
            else COLD_LOAD_MS
        )

    def remove_request(self, request: QueuedRequest, now_ms: int) -> None:
        """Remove a request that no longer waits from the queue."""
        if request in self._queue:
            del self._queue[request]
            self._record_refusal(request, now_ms)

    def close(self) -> None:
        """Send all queued requests to another node, when this one loses the cell lease."""
        requests, self._queue = self._queue, {}
        for request in requests:
            request.on_result(None)

    def process_queue(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        """Assign slots to queued requests, and refuse those that can't be served in time."""
        if self._policy.fair_shares:
            self._fair_shares.assign_levels(self._queue, now_ms)
        remaining: dict[QueuedRequest, None] = {}
        ready = self._slots_by_adapter(SlotState.READY)
        for request in in_service_order(self._queue, now_ms):
            slots = ready.get(request.adapter_name)
            if slots is None or not self._assign_slot(request, slots, now_ms, work):
                remaining[request] = None
        total_slots = sum(runner.slot_count for runner in self.runners.values())
        idle_count = self._idle_slots.count(now_ms, work)
        loading = self._slots_by_adapter(SlotState.LOADING)
        without_slot = [
            request
            for request in remaining
            if not self._is_kept(request, loading.get(request.adapter_name, ()))
        ]
        for request, refusal in self.admission.check_queue(
            without_slot, total_slots, idle_count, now_ms
        ):
            del remaining[request]
            self._refuse(request, refusal, now_ms)
        self._queue = remaining
        if self._policy.drains_slots:
            waiting = [request for request in without_slot if request in remaining]
            self.slot_draining.update(waiting, now_ms, work)
        self._queue_processed_ms = now_ms

    def _is_kept(self, request: QueuedRequest, loading: Sequence[SlotOnRunner]) -> bool:
        """Tell whether a request waits only for a load in progress.

        It is not refused, since the load would be useless, and needs no other slot.
        """
        return self._policy.keeps_loading_requests and _is_loading(request, loading)

    def process_queue_for_adapter(
        self, name: str, now_ms: int, work: dict[ServerLife, ServerWork]
    ) -> None:
        """Assign slots to the queued requests for an adapter that was just loaded."""
        waiting = [request for request in self._queue if request.adapter_name == name]
        for request in waiting:
            if self._assign_slot(request, self._slots_in(name, SlotState.READY), now_ms, work):
                del self._queue[request]

    def _find_slot(
        self,
        request: QueuedRequest,
        ready: Sequence[SlotOnRunner],
        work: dict[ServerLife, ServerWork],
        now_ms: int,
    ) -> SlotOnRunner | None:
        """Return a slot that can serve a request now, at the runner with the smallest workload.

        Runners that can't complete the prefill before the caller leaves are left out: the request
        would only lengthen their queue. So are those without room in their KV cache.
        """
        found = []
        for runner, slot in ready:
            if not request.may_use(runner) or slot.ref.version < request.min_version:
                continue
            if self._is_retired(slot.ref) or not slot.accepts(request.level):
                continue
            runner_work = work.get(runner.life, _NO_WORK)
            if not self._memory.has_room(request, runner.life, runner_work, now_ms):
                continue
            granted_tokens = self._grants.tokens(runner.life, now_ms)
            pace = self._faster.pace_of(runner.life, now_ms)
            if request.can_prefill_in_time(runner_work, granted_tokens, now_ms, pace):
                tokens = _workload(work, runner.life) + granted_tokens + request.prompt_tokens
                found.append((tokens * pace, len(found), runner, slot))
        if not found:
            return None
        best = min(found)[2:]
        should_wait = self._faster.should_wait(request, best, self._queue, work, now_ms)
        return None if should_wait else best

    def _prefill_overrun_ms(
        self, request: QueuedRequest, now_ms: int, work: dict[ServerLife, ServerWork]
    ) -> int | None:
        """Return how much too late the prefill of a request would be complete, at the best runner.

        ``None`` if a runner completes it in time: then the request may wait for its adapter.
        """
        if request.read_by_ms is None:
            return None
        min_overrun_ms: int | None = None
        for runner in self.runners.values():
            if not request.may_use(runner):
                continue
            runner_work = work.get(runner.life, _NO_WORK)
            pace = self._faster.pace_of(runner.life, now_ms)
            if request.can_prefill_in_time(runner_work, 0, now_ms, pace):
                # Usually this is the first runner examined.
                return None
            overrun_ms = request.prefill_done_ms(runner_work, 0, now_ms, pace) - request.read_by_ms
            min_overrun_ms = (
                overrun_ms if min_overrun_ms is None else min(min_overrun_ms, overrun_ms)
            )
        return min_overrun_ms

    def _slots_by_adapter(self, state: SlotState) -> dict[str, list[SlotOnRunner]]:
        """Return the slots in a state by adapter, for lookups by hundreds of queued requests."""
        slots_by_adapter: dict[str, list[SlotOnRunner]] = {}
        for runner in self.runners.values():
            for name, slot in runner.slots.items():
                if slot.state is state:
                    slots_by_adapter.setdefault(name, []).append((runner, slot))
        return slots_by_adapter

    def plan(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> list[OrderStep]:
        """Return the orders to send now, at most one per runner.

        :param work: requests of all nodes in progress, by runner.
        """
        self._update_usage(now_ms, work)
        steps = []
        for runner in self.runners.values():
            step = self._follow_up_step(runner, now_ms)
            if step is not None:
                runner.has_call_in_progress = True
                steps.append(step)
        candidates = CandidateRunners(
            self._idle_slots, now_ms, work, self.load_limit.may_be_in_progress
        )
        steps += self._replica_steps(now_ms, work, candidates)
        steps += self._load_steps(now_ms, work, candidates)
        self._record_concurrent_loads(steps, candidates.cold_loads_in_progress)
        return steps

    def _record_concurrent_loads(self, steps: list[OrderStep], cold_loads_in_progress: int) -> None:
        """Record the number of concurrent loads, which is the same for all loads of one plan."""
        for step in steps:
            slot = self.runners[step.life].slots.get(step.name)
            if step.operation is Operation.LOAD and not step.is_confirmation and slot is not None:
                slot.concurrent_loads = cold_loads_in_progress

    def _follow_up_step(self, runner: RunnerSlots, now_ms: int) -> OrderStep | None:
        """Return the order that a runner must get before any new load."""
        if runner.has_call_in_progress or not runner.is_known() or runner.report_due_ms:
            return None
        if runner.unconfirmed_order is not None:
            return runner.unconfirmed_order
        if runner.model is None:
            return self._model_load_step(runner, now_ms)
        # Retired versions come before confirmations: asking about four late loads every 20 ms
        # delayed an unload by 2.4 s.
        unload = self._retired_unload_step(runner, now_ms)
        if unload is not None:
            return unload
        for slot in runner.slots.values():
            if slot.state is SlotState.LOADING and now_ms >= slot.confirm_at_ms:
                return self._make_step(runner, Operation.LOAD, slot.ref, is_confirmation=True)
            if slot.state is SlotState.UNLOADING and now_ms >= slot.confirm_at_ms:
                return self._make_step(runner, Operation.UNLOAD, slot.ref, is_confirmation=True)
        return None

    def _retired_unload_step(self, runner: RunnerSlots, now_ms: int) -> OrderStep | None:
        """Return the unload of a retired version, if the runner holds one.

        A runner may keep requests in its queue for seconds, even when their node has closed the
        connection, and start them on the old version. Once it is ordered to unload the version, it
        refuses requests that have not started.
        """
        for slot in runner.slots.values():
            if slot.state is SlotState.READY and self._is_retired(slot.ref):
                return self._unload_step(runner, slot, now_ms)
        return None

    def _unload_step(self, runner: RunnerSlots, slot: Slot, now_ms: int) -> OrderStep:
        slot.state = SlotState.UNLOADING
        slot.state_since_ms = now_ms
        return self._make_step(runner, Operation.UNLOAD, slot.ref)

    def _model_load_step(self, runner: RunnerSlots, now_ms: int) -> OrderStep | None:
        if runner.loading_model is not None:
            if now_ms < runner.model_confirm_at_ms:
                return None
            name = runner.loading_model
            return OrderStep(runner.life, Operation.LOAD, name, None, runner.sequence or 0, True)
        name = self._next_model_to_load()
        if name is None or not self.model_load_limit.allows(now_ms):
            return None
        runner.loading_model = name
        runner.model_load_started_ms = now_ms
        self.model_load_limit.record_start(now_ms)
        return OrderStep(runner.life, Operation.LOAD, name, None, runner.sequence or 0)

    def _next_model_to_load(self) -> str | None:
        """Return the base model with the fewest runners, among those that fit into memory."""
        runner_count: dict[str, int] = {model.name: 0 for model in self.traits.models}
        for runner in self.runners.values():
            name = runner.model or runner.loading_model
            if name in runner_count:
                runner_count[name] += 1
        fits = [m.name for m in self.traits.models if m.memory_mb <= self.traits.weights_mb]
        return min(fits, key=lambda name: runner_count[name], default=None)

    def _load_steps(
        self, now_ms: int, work: dict[ServerLife, ServerWork], candidates: CandidateRunners
    ) -> list[OrderStep]:
        """Return loads for queued requests, most urgent first, and the unloads that they need."""
        steps = []
        examined: set[tuple[str, str | None]] = set()
        ordered: dict[str, list[RunnerSlots]] = {}
        is_limited = False
        for request in in_service_order(self._queue, now_ms):
            # Requests for one adapter that need different software versions need loads of their
            # own: a load that can't be ordered for one must not hold up the others.
            wanted = (request.adapter_name, request.software_version)
            if wanted in examined or _is_loading(
                request, candidates.loading_slots(request.adapter_name)
            ):
                continue
            if any(request.may_use(runner) for runner in ordered.get(request.adapter_name, ())):
                continue
            if len(examined) >= MAX_ADAPTERS_PER_PLAN:
                break
            examined.add(wanted)
            is_cold_allowed = self.load_limit.allows(candidates.cold_loads_in_progress, now_ms)
            is_limited = is_limited or not is_cold_allowed
            ref = self._newest_ref(request)
            runner = self._load_target_selector.select(request, ref, candidates, is_cold_allowed)
            if runner is None:
                continue
            step = self._unload_or_load_step(runner, ref, now_ms, work, candidates)
            if step is not None:
                steps.append(step)
                ordered.setdefault(request.adapter_name, []).append(runner)
        if not is_limited:
            self.load_limit.mark_unconstrained()
        return steps

    def _replica_steps(
        self, now_ms: int, work: dict[ServerLife, ServerWork], candidates: CandidateRunners
    ) -> list[OrderStep]:
        """Return the load of a replica of an adapter that overloads its runner.

        Replicas are only loaded while there are spare slots. With all slots in use, a replica would
        take one from a request whose adapter has none at all.
        """
        spare_slots = candidates.idle_slot_count - len(
            {request.adapter_name for request in self._queue}
        )
        if spare_slots < MIN_IDLE_SLOTS:
            return []
        wanted = find_wanted_replica(self.runners.values(), self._workloads, work)
        last_ms = (
            self._replicated_ms_by_adapter.get(wanted.adapter_name, 0) if wanted is not None else 0
        )
        if wanted is None or now_ms - last_ms < REPLICA_PAUSE_MS:
            return []
        replica_value = self._usage_scores.score_of(wanted.adapter_name, now_ms) / (
            wanted.replica_count + 1
        )
        for runner in wanted.targets:
            if runner.available_slots(now_ms) <= 0:
                slot = self._idle_slots.least_valuable(runner, now_ms, work)
                if slot is None or self._idle_slots.value_of(slot, now_ms) > replica_value:
                    continue
            ref = AdapterRef(wanted.adapter_name, wanted.version)
            step = self._unload_or_load_step(runner, ref, now_ms, work, candidates)
            if step is None:
                continue
            if step.operation is Operation.LOAD:
                self.replica_load_count += 1
                self._replicated_ms_by_adapter[wanted.adapter_name] = now_ms
            return [step]
        return []

    def _unload_or_load_step(
        self,
        runner: RunnerSlots,
        ref: AdapterRef,
        now_ms: int,
        work: dict[ServerLife, ServerWork],
        candidates: CandidateRunners,
    ) -> OrderStep | None:
        current_slot = runner.slots.get(ref.name)
        if runner.available_slots(now_ms) <= 0 and current_slot is None:
            idle_slot = self._idle_slots.least_valuable(runner, now_ms, work)
            if idle_slot is None:
                return None
            step = self._unload_step(runner, idle_slot, now_ms)
        else:
            step = self._load_step(runner, ref, now_ms)
        runner.has_call_in_progress = True
        candidates.refresh(runner)
        return step

    def _load_step(self, runner: RunnerSlots, ref: AdapterRef, now_ms: int) -> OrderStep:
        slot = runner.reserve_slot(ref, now_ms)
        self.load_count += 1
        self.cold_load_count += slot.is_cold
        version = ref.version if ref.version > 1 else None
        return OrderStep(runner.life, Operation.LOAD, ref.name, version, runner.sequence or 0)

    def _newest_ref(self, request: QueuedRequest) -> AdapterRef:
        return AdapterRef(
            request.adapter_name,
            max(request.min_version, self._newest_by_adapter.get(request.adapter_name, 1)),
        )

    def handle_order_result(self, step: OrderStep, result: OrderResult, now_ms: int) -> bool:
        """Handle the result of an order; return whether this node still holds the cell lease."""
        runner = self.runners.get(step.life)
        if runner is None:
            return not isinstance(result, Superseded)
        runner.has_call_in_progress = False
        match result:
            case Accepted(complete=is_complete):
                self._handle_accepted(runner, step, is_complete, now_ms)
            case Unanswered():
                # The order is repeated under the same condition: whichever of the two is carried
                # out first makes the other fail, so the order takes effect only once.
                runner.unconfirmed_order = step
            case Stale():
                self._request_report(runner, step, now_ms)
            case Unusable():
                self._undo(runner, step)
                self._request_report(runner, step, now_ms)
            case Gone():
                self.remove_runner(step.life)
            case Superseded():
                return False
        return True

    def _handle_accepted(
        self, runner: RunnerSlots, step: OrderStep, is_complete: bool, now_ms: int
    ) -> None:
        if not step.is_confirmation or step is runner.unconfirmed_order:
            runner.sequence = step.sequence + (not step.is_confirmation)
            runner.sequence_updated_ms = now_ms
        runner.unconfirmed_order = None
        if "/" not in step.name:
            if is_complete:
                runner.model, runner.loading_model = step.name, None
            runner.model_confirm_at_ms = now_ms + MODEL_CONFIRM_INTERVAL_MS
            return
        slot = runner.slots.get(step.name)
        if slot is None:
            return
        if is_complete:
            if step.operation is Operation.LOAD:
                if slot.is_cold and slot.state is SlotState.LOADING and slot.concurrent_loads:
                    # The duration is counted until the confirmation was due: a busy lease holder
                    # that asks late would otherwise mistake its own delay for a slow store.
                    completed_ms = slot.confirm_at_ms if step.is_confirmation else now_ms
                    self.load_limit.record_load(
                        completed_ms - slot.state_since_ms, slot.concurrent_loads, now_ms
                    )
                runner.mark_loaded(step.name, now_ms)
            else:
                runner.mark_unloaded(step.name)
            return
        confirm_after_ms = COLD_LOAD_MS if slot.is_cold else WARM_LOAD_MS
        if step.operation is Operation.UNLOAD:
            # The unload waits for running requests, which may take seconds: the runner is asked at
            # growing intervals.
            confirm_after_ms = CONFIRM_INTERVAL_MS + int(
                (now_ms - slot.state_since_ms) * UNLOAD_CONFIRM_SHARE
            )
        elif step.is_confirmation:
            confirm_after_ms = CONFIRM_INTERVAL_MS
        slot.confirm_at_ms = now_ms + confirm_after_ms

    def _undo(self, runner: RunnerSlots, step: OrderStep) -> None:
        """Undo the assumed effect of an order that was never carried out."""
        if step.is_confirmation:
            return
        runner.unconfirmed_order = None
        slot = runner.slots.get(step.name)
        if "/" not in step.name:
            runner.loading_model = None
            self.model_load_limit.undo_start()
        elif slot is not None and step.operation is Operation.LOAD:
            del runner.slots[step.name]
        elif slot is not None:
            slot.state = SlotState.READY

    def _request_report(self, runner: RunnerSlots, step: OrderStep, now_ms: int) -> None:
        """Request a report from the runner before it gets another order."""
        if isinstance(step, OrderStep) and not step.is_confirmation:
            self._undo(runner, step)
        runner.unconfirmed_order = None
        runner.report_due_ms = now_ms + CONFIRM_INTERVAL_MS

    def _make_step(
        self,
        runner: RunnerSlots,
        operation: Operation,
        ref: AdapterRef,
        is_confirmation: bool = False,
    ) -> OrderStep:
        version = ref.version if operation is Operation.LOAD and ref.version > 1 else None
        return OrderStep(
            runner.life, operation, ref.name, version, runner.sequence or 0, is_confirmation
        )

    def _update_usage(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        self._record_use(now_ms, work)
        if now_ms - self._usage_updated_ms < USAGE_UPDATE_INTERVAL_MS:
            return
        elapsed_s = min(1.0, (now_ms - self._usage_updated_ms) / 1000)
        self._usage_updated_ms = now_ms
        for life in self.runners:
            runner_work = work.get(life, _NO_WORK)
            self._workloads.record(life, runner_work, elapsed_s)
            for name, count in runner_work.requests_by_adapter.items():
                self._usage_scores.add(name, count * elapsed_s, now_ms)
        self._usage_scores.remove_unused(now_ms)

    def _record_use(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        """Record which slots are in use, since their use replaces the grant that kept them."""
        for life, runner in self.runners.items():
            for name in work.get(life, _NO_WORK).requests_by_adapter:
                slot = runner.slots.get(name)
                if slot is not None:
                    slot.last_used_ms = now_ms
                    slot.granted_until_ms = 0


_NO_WORK: Final = ServerWork()


def _is_loading(request: QueuedRequest, loading: Sequence[SlotOnRunner]) -> bool:
    """Tell whether the adapter of a request is being loaded at a runner that may serve it."""
    return any(
        request.may_use(runner) and slot.ref.version >= request.min_version
        for runner, slot in loading
    )


def _workload(work: dict[ServerLife, ServerWork], life: ServerLife) -> int:
    """Return the workload of a runner with one more request, in pending prefill tokens."""
    runner_work = work.get(life, _NO_WORK)
    return runner_work.pending_prefill_tokens + 60 * (runner_work.requests + 1)
