"""Decides which runner loads which adapter, for all requests of a cell.

The load that it is made for: a few adapters get most requests, thousands get one now and then, and
a rush asks for many rare ones at once. Runners hold few adapters and keep copies of more, so an
adapter goes back to where it was; what is busy is never unloaded; who waits is served by urgency;
and the weight store carries no more loads at once than it does at full speed.
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
from .idle_slots import IdleSlots
from .load_limit import LoadLimit
from .load_target import LoadTargetSelector
from .model_load_limit import LONG_AGO_MS, ModelLoadLimit
from .replicas import RunnerWorkloads, find_wanted_replica
from .request_queue import NoSlot, Placed, QueueAdmission, QueuedRequest, in_service_order
from .returning_callers import ReturningCallers
from .slots import OrderStep, RunnerSlots, Slot, SlotState, slot_count
from .usage_scores import UsageScores

COLD_LOAD_MS: Final = 250
WARM_LOAD_MS: Final = 25
"""Usual times of a load (the store's sheet); first guesses, then the runner is asked."""

CONFIRM_INTERVAL_MS: Final = 20
"""Pause between questions whether a load is complete: a question costs a round trip of 3 ms."""

UNLOAD_CONFIRM_SHARE: Final = 0.25
"""Share of the time that an unload has taken after which it is asked for again: its place is free a
quarter later than it could be, at the most."""

MODEL_CONFIRM_INTERVAL_MS: Final = 250

MAX_ORDER_DELAY_MS: Final = 12_000
"""How long an order without an answer may still be carried out (the sheet of troubles: 2 to 12 s
later). Given to one life of a runner, it may meet the next one under the same id."""

GRANT_HOLD_MS: Final = 600
"""How long a grant keeps its adapter until the request shows up in its node's report."""


REQUEST_USAGE_SCORE: Final = 0.3
"""What being asked for counts: a third of a second of use, so that what is asked for again and
again is kept though each of its requests is short."""

REPORT_RETRY_MS: Final = 150
MAX_REPORT_AGE_MS: Final = 500
"""A runner's report is some hundred milliseconds old: one that knows fewer orders than were
accepted is asked for again until this age."""

REPLICA_PAUSE_MS: Final = 1_500
"""A copy is loaded in 250 ms and then draws requests as others end: before that is seen in the load
of its runner, a second one would be one too many."""

MAX_ADAPTERS_PER_PLAN: Final = 64
"""Adapters that a place is looked for in one plan, most urgent first: more than the weight store
sends at once. With 400 waiting before 44 runners a plan took 81 ms, and orders waited for it; 14 ms
now."""

USAGE_UPDATE_INTERVAL_MS: Final = 40
"""How often use is added up: a fifth of the time for which nodes' word of it is good."""

MAX_QUEUE_CHECK_AGE_MS: Final = 100
"""A look at all who wait is good for a newcomer so long: the longest pause between two plans."""

REQUEST_REPORT_DELAY_MS: Final = 250
"""A request shows up in its node's next report, 200 ms later at most, and a moment on the way."""

MIN_IDLE_SLOTS: Final = 2
"""Places that stay for who comes next while copies are made."""


class AdapterScheduler:
    """The seats of all runners of one cell, and who waits for one.

    :param newest: the newest version by adapter, where the operator named one.
    :param load_window_ms: the window in which loads of base models are counted.
    :param over: tells whether a version may soon begin no more, so that its runners must drop it.
    :param since_ms: since when this node gives orders to the cell's runners.
    """

    def __init__(
        self,
        traits: EngineTraits,
        newest_by_adapter: dict[str, int],
        load_window_ms: int = 5_000,
        is_retired: Callable[[AdapterRef], bool] = lambda ref: False,
        holder_since_ms: int = LONG_AGO_MS,
    ) -> None:
        self.traits = traits
        self._newest = newest_by_adapter
        self._is_retired = is_retired
        self.runners: dict[ServerLife, RunnerSlots] = {}
        self._queue: dict[QueuedRequest, None] = {}
        self._settled_ms: int | None = None
        self._heat = UsageScores()
        self._idle = IdleSlots(self.runners, self._heat, newest_by_adapter)
        self._kept = CachedCopies()
        self._choice = LoadTargetSelector(self._kept)
        self._loads_by_runner = RunnerWorkloads()
        self.load_limit = LoadLimit()
        self._ticked_ms = 0
        self._model_loads = ModelLoadLimit(traits.loads_per_s, load_window_ms, holder_since_ms)
        self._pace = QueueAdmission()
        self._grants = RecentlySent(REQUEST_REPORT_DELAY_MS)
        self._returners = ReturningCallers()
        self.load_count = 0
        self.cold_load_count = 0
        self.replica_load_count = 0
        self._copied_ms: dict[str, int] = {}

    @property
    def queued_requests(self) -> list[QueuedRequest]:
        """Return who waits."""
        return list(self._queue)

    def add_runner(
        self,
        life: ServerLife,
        history: Iterable[AdapterRef] = (),
        restarted_ms: int | None = None,
    ) -> None:
        """Take a runner into the cell.

        :param history: what it held before, oldest first.
        :param restarted_ms: when it was first heard of, where it follows another life of its id.
        """
        if life in self.runners:
            return
        runner = self.runners[life] = RunnerSlots(
            life, slot_count(self.traits), cached_copies=self._kept
        )
        if restarted_ms is not None:
            runner.spare_slot_until_ms = restarted_ms + MAX_ORDER_DELAY_MS
        for ref in history:
            runner.add_cached_copy(ref)

    def remove_runner(self, life: ServerLife) -> None:
        """Take a runner out of the cell."""
        runner = self.runners.pop(life, None)
        if runner is not None:
            runner.remove_cached_copies()
        self._loads_by_runner.remove_runner(life)
        self._grants.forget(life)

    def mark_unconfirmed(self, life: ServerLife, name: str, now_ms: int) -> None:
        """Take a runner's own word that it lacks an adapter that is believed to be there.

        The load is ordered once more: it does nothing where the adapter is there after all, and
        nobody is sent to it before. An order of a former holder that was carried out late has
        unloaded it unseen.
        """
        runner = self.runners.get(life)
        seat = runner.ready_slot(name) if runner is not None else None
        if seat is not None:
            seat.state = SlotState.LOADING
            seat.state_since_ms = seat.confirm_at_ms = now_ms
            seat.concurrent_loads = 0

    def handle_report(self, life: ServerLife, report: RunnerReport | None, now_ms: int) -> None:
        """Take a runner's report, asked for because its state was unclear."""
        runner = self.runners.get(life)
        if runner is None:
            return
        runner.has_call_in_progress = False
        runner.report_due_ms = now_ms + REPORT_RETRY_MS
        if report is None:
            return
        overtaken = runner.sequence is not None and report.sequence < runner.sequence
        if overtaken and now_ms - runner.sequence_updated_ms < MAX_REPORT_AGE_MS:
            return
        runner.apply_report(report, now_ms)
        runner.report_due_ms = 0

    def runners_needing_report(self, now_ms: int) -> list[str]:
        """Return the runners that must be asked what they hold."""
        return [
            runner.life
            for runner in self.runners.values()
            if not runner.has_call_in_progress
            and (not runner.is_known() or runner.report_due_ms > 0)
            and now_ms >= runner.report_due_ms
        ]

    def request_slot(
        self, waiter: QueuedRequest, now_ms: int, work: dict[ServerLife, ServerWork]
    ) -> None:
        """Take a request that needs an adapter; it is settled now or later.

        Only its own adapter's seats are looked at; the others who wait have their turn in the next
        plan.
        """
        self._heat.add(waiter.adapter_name, REQUEST_USAGE_SCORE, now_ms)
        self._recognise(waiter, now_ms)
        waiter.expected_load_ms = self._load_ms(waiter)
        outlasted_ms = self._outlasted_ms(waiter, now_ms, work)
        if outlasted_ms is not None:
            self._refuse(waiter, NoSlot(max(MIN_DRAIN_MS, outlasted_ms)), now_ms)
            return
        if self._settled_ms is None or now_ms - self._settled_ms > MAX_QUEUE_CHECK_AGE_MS:
            self._queue[waiter] = None
            self.process_queue(now_ms, work)
            return
        if self._place(waiter, self._ready_seats(waiter.adapter_name), now_ms, work):
            return
        refusal = self._pace.check_new_request(waiter, now_ms)
        if refusal is None:
            self._queue[waiter] = None
        else:
            self._refuse(waiter, refusal, now_ms)

    def _ready_seats(self, name: str) -> list[SlotOnRunner]:
        return [
            (runner, seat)
            for runner in self.runners.values()
            if (seat := runner.slots.get(name)) is not None and seat.state is SlotState.READY
        ]

    def _place(
        self,
        waiter: QueuedRequest,
        ready: Sequence[SlotOnRunner],
        now_ms: int,
        work: dict[ServerLife, ServerWork],
    ) -> bool:
        """Give a request a place where its adapter can serve now; return whether there is one."""
        held = self._held(waiter, ready, work, now_ms)
        if held is None:
            return False
        runner, seat = held
        seat.granted_until_ms = now_ms + GRANT_HOLD_MS
        seat.last_used_ms = now_ms
        self._grants.add(runner.life, waiter.prompt_tokens, now_ms)
        self._pace.record_assignment(waiter, now_ms)
        waiter.on_result(Placed(runner.life, seat.ref.version, waiter.tried_ms))
        return True

    def _refuse(self, waiter: QueuedRequest, refusal: NoSlot, now_ms: int) -> None:
        self._sent_away(waiter, now_ms)
        waiter.on_result(refusal)

    def _recognise(self, waiter: QueuedRequest, now_ms: int) -> None:
        """Count the time of a caller that was sent away and comes back from its first try."""
        if waiter.session_key is None:
            return
        since_ms = self._returners.first_attempt_ms(
            (waiter.adapter_name, waiter.session_key), now_ms
        )
        if since_ms is not None and since_ms < waiter.first_attempt_ms:
            further_ms = waiter.first_attempt_ms - since_ms
            waiter.first_attempt_ms = since_ms
            waiter.tried_ms += further_ms
            waiter.on_time_until_ms -= further_ms

    def _sent_away(self, waiter: QueuedRequest, now_ms: int) -> None:
        if waiter.session_key is not None:
            self._returners.record_refusal(
                (waiter.adapter_name, waiter.session_key), waiter.first_attempt_ms, now_ms
            )

    def _load_ms(self, waiter: QueuedRequest) -> int:
        return WARM_LOAD_MS if self._kept.runners_with(self._newest_ref(waiter)) else COLD_LOAD_MS

    def remove_request(self, waiter: QueuedRequest, now_ms: int) -> None:
        """Drop a request that no longer waits."""
        if waiter in self._queue:
            del self._queue[waiter]
            self._sent_away(waiter, now_ms)

    def close(self) -> None:
        """Send all who wait elsewhere: the duty is another node's now."""
        waiters, self._queue = self._queue, {}
        for waiter in waiters:
            waiter.on_result(None)

    def process_queue(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        """Settle those whose adapter can serve, and those that can't be served in time."""
        left: dict[QueuedRequest, None] = {}
        ready = self._seats_by_name(SlotState.READY)
        for waiter in in_service_order(self._queue, now_ms):
            seats = ready.get(waiter.adapter_name)
            if seats is None or not self._place(waiter, seats, now_ms, work):
                left[waiter] = None
        places = sum(runner.slot_count for runner in self.runners.values())
        idle = self._idle.count(now_ms, work)
        for waiter, refusal in self._pace.check_queue(list(left), places, idle, now_ms):
            del left[waiter]
            self._refuse(waiter, refusal, now_ms)
        self._queue = left
        self._settled_ms = now_ms

    def process_queue_for_adapter(
        self, name: str, now_ms: int, work: dict[ServerLife, ServerWork]
    ) -> None:
        """Settle those who wait for an adapter that has just come."""
        waiting = [waiter for waiter in self._queue if waiter.adapter_name == name]
        for waiter in waiting:
            if self._place(waiter, self._ready_seats(name), now_ms, work):
                del self._queue[waiter]

    def _held(
        self,
        waiter: QueuedRequest,
        ready: Sequence[SlotOnRunner],
        work: dict[ServerLife, ServerWork],
        now_ms: int,
    ) -> SlotOnRunner | None:
        """Return where a request can be served now, the least crowded of several.

        Where its caller leaves before it is read it can't be: it would only lengthen the queue.
        """
        found = []
        for runner, seat in ready:
            if runner.life in waiter.excluded_runners or seat.ref.version < waiter.min_version:
                continue
            if self._is_retired(seat.ref):
                continue
            granted = self._grants.tokens(runner.life, now_ms)
            if waiter.can_prefill_in_time(work.get(runner.life, _NO_WORK), granted, now_ms):
                found.append((_crowd(work, runner.life) + granted, len(found), runner, seat))
        return min(found)[2:] if found else None

    def _outlasted_ms(
        self, waiter: QueuedRequest, now_ms: int, work: dict[ServerLife, ServerWork]
    ) -> int | None:
        """Return when a request can come back that no runner can read in time.

        ``None`` where one can: then it may wait for its adapter.
        """
        if waiter.read_by_ms is None:
            return None
        least_ms: int | None = None
        for runner in self.runners.values():
            if runner.life in waiter.excluded_runners:
                continue
            at = work.get(runner.life, _NO_WORK)
            if waiter.can_prefill_in_time(at, 0, now_ms):
                # Usually the first one that is looked at.
                return None
            late_ms = waiter.prefill_done_ms(at, 0, now_ms) - waiter.read_by_ms
            least_ms = late_ms if least_ms is None else min(least_ms, late_ms)
        return least_ms

    def _seats_by_name(self, state: SlotState) -> dict[str, list[SlotOnRunner]]:
        """Return the seats in a state by adapter: looked for by each of hundreds who wait."""
        found: dict[str, list[SlotOnRunner]] = {}
        for runner in self.runners.values():
            for name, seat in runner.slots.items():
                if seat.state is state:
                    found.setdefault(name, []).append((runner, seat))
        return found

    def plan(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> list[OrderStep]:
        """Return the orders to send now, at most one a runner.

        :param work: what all nodes have in progress by runner.
        """
        self._tick(now_ms, work)
        steps = []
        for runner in self.runners.values():
            step = self._overdue(runner, now_ms)
            if step is not None:
                runner.has_call_in_progress = True
                steps.append(step)
        takers = CandidateRunners(self._idle, now_ms, work, self.load_limit.may_be_in_progress)
        steps += self._copies(now_ms, work, takers)
        steps += self._loads(now_ms, work, takers)
        self._note_among(steps, takers.cold_loads_in_progress)
        return steps

    def _note_among(self, steps: list[OrderStep], cold_incoming: int) -> None:
        """Note beside how many others loads began: those of one plan begin together."""
        for step in steps:
            seat = self.runners[step.life].slots.get(step.name)
            if step.operation is Operation.LOAD and not step.is_confirmation and seat is not None:
                seat.concurrent_loads = cold_incoming

    def _overdue(self, runner: RunnerSlots, now_ms: int) -> OrderStep | None:
        """Return what a runner is to be told before anything new."""
        if runner.has_call_in_progress or not runner.is_known() or runner.report_due_ms:
            return None
        if runner.unconfirmed_order is not None:
            return runner.unconfirmed_order
        if runner.model is None:
            return self._model_step(runner, now_ms)
        # Before the questions: four late loads, asked for each 20 ms, held it up for 2.4 s.
        closing = self._closing(runner, now_ms)
        if closing is not None:
            return closing
        for seat in runner.slots.values():
            if seat.state is SlotState.LOADING and now_ms >= seat.confirm_at_ms:
                return self._step(runner, Operation.LOAD, seat.ref, confirms=True)
            if seat.state is SlotState.UNLOADING and now_ms >= seat.confirm_at_ms:
                return self._step(runner, Operation.UNLOAD, seat.ref, confirms=True)
        return None

    def _closing(self, runner: RunnerSlots, now_ms: int) -> OrderStep | None:
        """Return the unload of a version whose time is over.

        A runner may keep what waits in its queue for seconds, also when its node has closed the
        connection, and begin it on the old version; told to unload, it refuses what has not begun.
        """
        for seat in runner.slots.values():
            if seat.state is SlotState.READY and self._is_retired(seat.ref):
                return self._drop(runner, seat, now_ms)
        return None

    def _drop(self, runner: RunnerSlots, seat: Slot, now_ms: int) -> OrderStep:
        seat.state = SlotState.UNLOADING
        seat.state_since_ms = now_ms
        return self._step(runner, Operation.UNLOAD, seat.ref)

    def _model_step(self, runner: RunnerSlots, now_ms: int) -> OrderStep | None:
        if runner.loading_model is not None:
            if now_ms < runner.model_confirm_at_ms:
                return None
            name = runner.loading_model
            return OrderStep(runner.life, Operation.LOAD, name, None, runner.sequence or 0, True)
        name = self._model_wanted()
        if name is None or not self._model_loads.allows(now_ms):
            return None
        runner.loading_model = name
        runner.model_load_started_ms = now_ms
        self._model_loads.record_start(now_ms)
        return OrderStep(runner.life, Operation.LOAD, name, None, runner.sequence or 0)

    def _model_wanted(self) -> str | None:
        """Return the base model with the fewest runners."""
        held: dict[str, int] = {model.name: 0 for model in self.traits.models}
        for runner in self.runners.values():
            name = runner.model or runner.loading_model
            if name in held:
                held[name] += 1
        fits = [m.name for m in self.traits.models if m.memory_mb <= self.traits.weights_mb]
        return min(fits, key=lambda name: held[name], default=None)

    def _loads(
        self, now_ms: int, work: dict[ServerLife, ServerWork], takers: CandidateRunners
    ) -> list[OrderStep]:
        """Return loads for those who wait, most urgent first, and the unloads they need."""
        steps = []
        seen: set[str] = set()
        held_back = False
        for waiter in in_service_order(self._queue, now_ms):
            if waiter.adapter_name in seen or _coming(
                waiter, takers.loading_slots(waiter.adapter_name)
            ):
                continue
            if len(seen) >= MAX_ADAPTERS_PER_PLAN:
                break
            seen.add(waiter.adapter_name)
            may_fetch = self.load_limit.allows(takers.cold_loads_in_progress, now_ms)
            held_back = held_back or not may_fetch
            ref = self._newest_ref(waiter)
            runner = self._choice.select(waiter, ref, takers, may_fetch)
            if runner is None:
                continue
            step = self._make_room_or_load(runner, ref, now_ms, work, takers)
            if step is not None:
                steps.append(step)
        if not held_back:
            self.load_limit.mark_unconstrained()
        return steps

    def _copies(
        self, now_ms: int, work: dict[ServerLife, ServerWork], takers: CandidateRunners
    ) -> list[OrderStep]:
        """Return the load of an adapter that crowds its runner at a second one.

        Only while places are left over: with all places in use a copy would take one from somebody
        who has none at all.
        """
        left_over = takers.idle_slot_count - len({w.adapter_name for w in self._queue})
        if left_over < MIN_IDLE_SLOTS:
            return []
        wanted = find_wanted_replica(self.runners.values(), self._loads_by_runner, work)
        last_ms = self._copied_ms.get(wanted.adapter_name, 0) if wanted is not None else 0
        if wanted is None or now_ms - last_ms < REPLICA_PAUSE_MS:
            return []
        worth = self._heat.score_of(wanted.adapter_name, now_ms) / (wanted.replica_count + 1)
        for runner in wanted.targets:
            if runner.available_slots(now_ms) <= 0:
                seat = self._idle.least_valuable(runner, now_ms, work)
                if seat is None or self._idle.value_of(seat, now_ms) > worth:
                    continue
            ref = AdapterRef(wanted.adapter_name, wanted.version)
            step = self._make_room_or_load(runner, ref, now_ms, work, takers)
            if step is None:
                continue
            if step.operation is Operation.LOAD:
                self.replica_load_count += 1
                self._copied_ms[wanted.adapter_name] = now_ms
            return [step]
        return []

    def _make_room_or_load(
        self,
        runner: RunnerSlots,
        ref: AdapterRef,
        now_ms: int,
        work: dict[ServerLife, ServerWork],
        takers: CandidateRunners,
    ) -> OrderStep | None:
        old = runner.slots.get(ref.name)
        if runner.available_slots(now_ms) <= 0 and old is None:
            unused = self._idle.least_valuable(runner, now_ms, work)
            if unused is None:
                return None
            step = self._drop(runner, unused, now_ms)
        else:
            step = self._load(runner, ref, now_ms)
        runner.has_call_in_progress = True
        takers.refresh(runner)
        return step

    def _load(self, runner: RunnerSlots, ref: AdapterRef, now_ms: int) -> OrderStep:
        seat = runner.reserve_slot(ref, now_ms)
        self.load_count += 1
        self.cold_load_count += seat.is_cold
        version = ref.version if ref.version > 1 else None
        return OrderStep(runner.life, Operation.LOAD, ref.name, version, runner.sequence or 0)

    def _newest_ref(self, waiter: QueuedRequest) -> AdapterRef:
        return AdapterRef(
            waiter.adapter_name, max(waiter.min_version, self._newest.get(waiter.adapter_name, 1))
        )

    def handle_order_result(self, step: OrderStep, answer: OrderResult, now_ms: int) -> bool:
        """Take the answer to an order; return whether the duty is still this node's."""
        runner = self.runners.get(step.life)
        if runner is None:
            return not isinstance(answer, Superseded)
        runner.has_call_in_progress = False
        match answer:
            case Accepted(complete=complete):
                self._accepted(runner, step, complete, now_ms)
            case Unanswered():
                # Sent again under the same condition: whichever of the two is carried out first
                # makes the other fail, so the order takes effect once.
                runner.unconfirmed_order = step
            case Stale():
                self._unclear(runner, step, now_ms)
            case Unusable():
                self._undo(runner, step)
                self._unclear(runner, step, now_ms)
            case Gone():
                self.remove_runner(step.life)
            case Superseded():
                return False
        return True

    def _accepted(self, runner: RunnerSlots, step: OrderStep, complete: bool, now_ms: int) -> None:
        if not step.is_confirmation or step is runner.unconfirmed_order:
            runner.sequence = step.sequence + (not step.is_confirmation)
            runner.sequence_updated_ms = now_ms
        runner.unconfirmed_order = None
        if "/" not in step.name:
            if complete:
                runner.model, runner.loading_model = step.name, None
            runner.model_confirm_at_ms = now_ms + MODEL_CONFIRM_INTERVAL_MS
            return
        seat = runner.slots.get(step.name)
        if seat is None:
            return
        if complete:
            if step.operation is Operation.LOAD:
                if seat.is_cold and seat.state is SlotState.LOADING and seat.concurrent_loads:
                    # Counted to when the question was due: a busy holder that asks late would take
                    # the store for slow.
                    seen_ms = seat.confirm_at_ms if step.is_confirmation else now_ms
                    self.load_limit.record_load(
                        seen_ms - seat.state_since_ms, seat.concurrent_loads, now_ms
                    )
                runner.mark_loaded(step.name, now_ms)
            else:
                runner.mark_unloaded(step.name)
            return
        usual_ms = COLD_LOAD_MS if seat.is_cold else WARM_LOAD_MS
        if step.operation is Operation.UNLOAD:
            # It waits for its runs, seconds if they are long: asked again ever more seldom.
            usual_ms = CONFIRM_INTERVAL_MS + int(
                (now_ms - seat.state_since_ms) * UNLOAD_CONFIRM_SHARE
            )
        elif step.is_confirmation:
            usual_ms = CONFIRM_INTERVAL_MS
        seat.confirm_at_ms = now_ms + usual_ms

    def _undo(self, runner: RunnerSlots, step: OrderStep) -> None:
        """Take back what was believed of an order that was never carried out."""
        if step.is_confirmation:
            return
        runner.unconfirmed_order = None
        seat = runner.slots.get(step.name)
        if "/" not in step.name:
            runner.loading_model = None
            self._model_loads.undo_start()
        elif seat is not None and step.operation is Operation.LOAD:
            del runner.slots[step.name]
        elif seat is not None:
            seat.state = SlotState.READY

    def _unclear(self, runner: RunnerSlots, step: OrderStep, now_ms: int) -> None:
        """Ask the runner what it holds before it gets another order."""
        if isinstance(step, OrderStep) and not step.is_confirmation:
            self._undo(runner, step)
        runner.unconfirmed_order = None
        runner.report_due_ms = now_ms + CONFIRM_INTERVAL_MS

    def _step(
        self, runner: RunnerSlots, operation: Operation, ref: AdapterRef, confirms: bool = False
    ) -> OrderStep:
        version = ref.version if operation is Operation.LOAD and ref.version > 1 else None
        return OrderStep(runner.life, operation, ref.name, version, runner.sequence or 0, confirms)

    def _tick(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        self._note_use(now_ms, work)
        if now_ms - self._ticked_ms < USAGE_UPDATE_INTERVAL_MS:
            return
        span_s = min(1.0, (now_ms - self._ticked_ms) / 1000)
        self._ticked_ms = now_ms
        for life in self.runners:
            at = work.get(life, _NO_WORK)
            self._loads_by_runner.record(life, at, span_s)
            for name, count in at.requests_by_adapter.items():
                self._heat.add(name, count * span_s, now_ms)
        self._heat.remove_unused(now_ms)

    def _note_use(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        """Note which seats are seen in use: from here on the use itself keeps the place."""
        for life, runner in self.runners.items():
            for name in work.get(life, _NO_WORK).requests_by_adapter:
                seat = runner.slots.get(name)
                if seat is not None:
                    seat.last_used_ms = now_ms
                    seat.granted_until_ms = 0


_NO_WORK: Final = ServerWork()


def _coming(waiter: QueuedRequest, loading: Sequence[SlotOnRunner]) -> bool:
    """Tell whether an adapter is on its way to a runner that a request may go to."""
    return any(
        runner.life not in waiter.excluded_runners and seat.ref.version >= waiter.min_version
        for runner, seat in loading
    )


def _crowd(work: dict[ServerLife, ServerWork], life: ServerLife) -> int:
    at_server = work.get(life, _NO_WORK)
    return at_server.pending_prefill_tokens + 60 * at_server.requests
