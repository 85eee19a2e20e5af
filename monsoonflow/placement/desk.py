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
    OrderAnswer,
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
from .copies import RunnerLoads, wanted_copy
from .heat import Heat
from .idle import IdlePlaces
from .kept_copies import KeptCopies
from .load_limit import LoadLimit
from .model_loads import LONG_AGO_MS, ModelLoads
from .returners import Returners
from .runner_choice import RunnerChoice
from .seats import RunnerSeats, Seat, SeatState, Step, places
from .takers import Held, Takers
from .waiting import NoPlace, Pace, Placed, Waiter, in_order

COLD_LOAD_MS: Final = 250
WARM_LOAD_MS: Final = 25
"""Usual times of a load (the store's sheet); first guesses, then the runner is asked."""

CONFIRM_EVERY_MS: Final = 20
"""Pause between questions whether a load is complete: a question costs a round trip of 3 ms."""

UNLOAD_PAUSE_SHARE: Final = 0.25
"""Share of the time that an unload has taken after which it is asked for again: its place is free a
quarter later than it could be, at the most."""

MODEL_CONFIRM_EVERY_MS: Final = 250

LATE_ORDER_MS: Final = 12_000
"""How long an order without an answer may still be carried out (the sheet of troubles: 2 to 12 s
later). Given to one life of a runner, it may meet the next one under the same id."""

GRANT_MS: Final = 600
"""How long a grant keeps its adapter until the request shows up in its node's report."""


ASK_HEAT: Final = 0.3
"""What being asked for counts: a third of a second of use, so that what is asked for again and
again is kept though each of its requests is short."""

REPORT_RETRY_MS: Final = 150
REPORT_LAG_MS: Final = 500
"""A runner's report is some hundred milliseconds old: one that knows fewer orders than were
accepted is asked for again until this age."""

COPY_PAUSE_MS: Final = 1_500
"""A copy is loaded in 250 ms and then draws requests as others end: before that is seen in the load
of its runner, a second one would be one too many."""

MOST_LOOKED_AT: Final = 64
"""Adapters that a place is looked for in one plan, most urgent first: more than the weight store
sends at once. With 400 waiting before 44 runners a plan took 81 ms, and orders waited for it; 14 ms
now."""

TICK_MS: Final = 40
"""How often use is added up: a fifth of the time for which nodes' word of it is good."""

SETTLED_MS: Final = 100
"""A look at all who wait is good for a newcomer so long: the longest pause between two plans."""

UNREPORTED_MS: Final = 250
"""A request shows up in its node's next report, 200 ms later at most, and a moment on the way."""

PLACES_KEPT_FREE: Final = 2
"""Places that stay for who comes next while copies are made."""


class Desk:
    """The seats of all runners of one cell, and who waits for one.

    :param newest: the newest version by adapter, where the operator named one.
    :param load_window_ms: the window in which loads of base models are counted.
    :param over: tells whether a version may soon begin no more, so that its runners must drop it.
    :param since_ms: since when this node gives orders to the cell's runners.
    """

    def __init__(
        self,
        traits: EngineTraits,
        newest: dict[str, int],
        load_window_ms: int = 5_000,
        over: Callable[[AdapterRef], bool] = lambda ref: False,
        since_ms: int = LONG_AGO_MS,
    ) -> None:
        self.traits = traits
        self._newest = newest
        self._over = over
        self.runners: dict[ServerLife, RunnerSeats] = {}
        self._waiters: dict[Waiter, None] = {}
        self._settled_ms: int | None = None
        self._heat = Heat()
        self._idle = IdlePlaces(self.runners, self._heat, newest)
        self._kept = KeptCopies()
        self._choice = RunnerChoice(self._kept)
        self._loads_by_runner = RunnerLoads()
        self.load_limit = LoadLimit()
        self._ticked_ms = 0
        self._model_loads = ModelLoads(traits.loads_per_s, load_window_ms, since_ms)
        self._pace = Pace()
        self._grants = RecentlySent(UNREPORTED_MS)
        self._returners = Returners()
        self.loads = 0
        self.cold_loads = 0
        self.copies = 0
        self._copied_ms: dict[str, int] = {}

    @property
    def waiters(self) -> list[Waiter]:
        """Return who waits."""
        return list(self._waiters)

    def came(
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
        runner = self.runners[life] = RunnerSeats(life, places(self.traits), kept=self._kept)
        if restarted_ms is not None:
            runner.spare_until_ms = restarted_ms + LATE_ORDER_MS
        for ref in history:
            runner.remember(ref)

    def gone(self, life: ServerLife) -> None:
        """Take a runner out of the cell."""
        runner = self.runners.pop(life, None)
        if runner is not None:
            runner.forget_all()
        self._loads_by_runner.forget(life)
        self._grants.forget(life)

    def doubt(self, life: ServerLife, name: str, now_ms: int) -> None:
        """Take a runner's own word that it lacks an adapter that is believed to be there.

        The load is ordered once more: it does nothing where the adapter is there after all, and
        nobody is sent to it before. An order of a former holder that was carried out late has
        unloaded it unseen.
        """
        runner = self.runners.get(life)
        seat = runner.ready(name) if runner is not None else None
        if seat is not None:
            seat.state = SeatState.LOADING
            seat.since_ms = seat.check_at_ms = now_ms
            seat.among = 0

    def reported(self, life: ServerLife, report: RunnerReport | None, now_ms: int) -> None:
        """Take a runner's report, asked for because its state was unclear."""
        runner = self.runners.get(life)
        if runner is None:
            return
        runner.ordering = False
        runner.report_at_ms = now_ms + REPORT_RETRY_MS
        if report is None:
            return
        overtaken = runner.sequence is not None and report.sequence < runner.sequence
        if overtaken and now_ms - runner.sequence_at_ms < REPORT_LAG_MS:
            return
        runner.adopt(report, now_ms)
        runner.report_at_ms = 0

    def wants_report(self, now_ms: int) -> list[str]:
        """Return the runners that must be asked what they hold."""
        return [
            runner.life
            for runner in self.runners.values()
            if not runner.ordering
            and (not runner.known() or runner.report_at_ms > 0)
            and now_ms >= runner.report_at_ms
        ]

    def ask(self, waiter: Waiter, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        """Take a request that needs an adapter; it is settled now or later.

        Only its own adapter's seats are looked at; the others who wait have their turn in the next
        plan.
        """
        self._heat.add(waiter.name, ASK_HEAT, now_ms)
        self._recognise(waiter, now_ms)
        waiter.load_ms = self._load_ms(waiter)
        outlasted_ms = self._outlasted_ms(waiter, now_ms, work)
        if outlasted_ms is not None:
            self._refuse(waiter, NoPlace(max(MIN_DRAIN_MS, outlasted_ms)), now_ms)
            return
        if self._settled_ms is None or now_ms - self._settled_ms > SETTLED_MS:
            self._waiters[waiter] = None
            self.settle_waiters(now_ms, work)
            return
        if self._place(waiter, self._ready_seats(waiter.name), now_ms, work):
            return
        refusal = self._pace.newcomer(waiter, now_ms)
        if refusal is None:
            self._waiters[waiter] = None
        else:
            self._refuse(waiter, refusal, now_ms)

    def _ready_seats(self, name: str) -> list[Held]:
        return [
            (runner, seat)
            for runner in self.runners.values()
            if (seat := runner.seats.get(name)) is not None and seat.state is SeatState.READY
        ]

    def _place(
        self,
        waiter: Waiter,
        ready: Sequence[Held],
        now_ms: int,
        work: dict[ServerLife, ServerWork],
    ) -> bool:
        """Give a request a place where its adapter can serve now; return whether there is one."""
        held = self._held(waiter, ready, work, now_ms)
        if held is None:
            return False
        runner, seat = held
        seat.granted_until_ms = now_ms + GRANT_MS
        seat.used_ms = now_ms
        self._grants.add(runner.life, waiter.prompt_tokens, now_ms)
        self._pace.placed(waiter, now_ms)
        waiter.settle(Placed(runner.life, seat.ref.version, waiter.tried_ms))
        return True

    def _refuse(self, waiter: Waiter, refusal: NoPlace, now_ms: int) -> None:
        self._sent_away(waiter, now_ms)
        waiter.settle(refusal)

    def _recognise(self, waiter: Waiter, now_ms: int) -> None:
        """Count the time of a caller that was sent away and comes back from its first try."""
        if waiter.session is None:
            return
        since_ms = self._returners.since_ms((waiter.name, waiter.session), now_ms)
        if since_ms is not None and since_ms < waiter.since_ms:
            further_ms = waiter.since_ms - since_ms
            waiter.since_ms = since_ms
            waiter.tried_ms += further_ms
            waiter.on_time_until_ms -= further_ms

    def _sent_away(self, waiter: Waiter, now_ms: int) -> None:
        if waiter.session is not None:
            self._returners.refused((waiter.name, waiter.session), waiter.since_ms, now_ms)

    def _load_ms(self, waiter: Waiter) -> int:
        return WARM_LOAD_MS if self._kept.of(self._newest_ref(waiter)) else COLD_LOAD_MS

    def forget(self, waiter: Waiter, now_ms: int) -> None:
        """Drop a request that no longer waits."""
        if waiter in self._waiters:
            del self._waiters[waiter]
            self._sent_away(waiter, now_ms)

    def close(self) -> None:
        """Send all who wait elsewhere: the duty is another node's now."""
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters:
            waiter.settle(None)

    def settle_waiters(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        """Settle those whose adapter can serve, and those that can't be served in time."""
        left: dict[Waiter, None] = {}
        ready = self._seats_by_name(SeatState.READY)
        for waiter in in_order(self._waiters, now_ms):
            seats = ready.get(waiter.name)
            if seats is None or not self._place(waiter, seats, now_ms, work):
                left[waiter] = None
        places = sum(runner.slots for runner in self.runners.values())
        idle = self._idle.count(now_ms, work)
        for waiter, refusal in self._pace.hopeless(list(left), places, idle, now_ms):
            del left[waiter]
            self._refuse(waiter, refusal, now_ms)
        self._waiters = left
        self._settled_ms = now_ms

    def settle_adapter(self, name: str, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        """Settle those who wait for an adapter that has just come."""
        waiting = [waiter for waiter in self._waiters if waiter.name == name]
        for waiter in waiting:
            if self._place(waiter, self._ready_seats(name), now_ms, work):
                del self._waiters[waiter]

    def _held(
        self,
        waiter: Waiter,
        ready: Sequence[Held],
        work: dict[ServerLife, ServerWork],
        now_ms: int,
    ) -> Held | None:
        """Return where a request can be served now, the least crowded of several.

        Where its caller leaves before it is read it can't be: it would only lengthen the queue.
        """
        found = []
        for runner, seat in ready:
            if runner.life in waiter.avoid or seat.ref.version < waiter.version:
                continue
            if self._over(seat.ref):
                continue
            granted = self._grants.tokens(runner.life, now_ms)
            if waiter.read_in_time(work.get(runner.life, _NO_WORK), granted, now_ms):
                found.append((_crowd(work, runner.life) + granted, len(found), runner, seat))
        return min(found)[2:] if found else None

    def _outlasted_ms(
        self, waiter: Waiter, now_ms: int, work: dict[ServerLife, ServerWork]
    ) -> int | None:
        """Return when a request can come back that no runner can read in time.

        ``None`` where one can: then it may wait for its adapter.
        """
        if waiter.read_by_ms is None:
            return None
        least_ms: int | None = None
        for runner in self.runners.values():
            if runner.life in waiter.avoid:
                continue
            at = work.get(runner.life, _NO_WORK)
            if waiter.read_in_time(at, 0, now_ms):
                # Usually the first one that is looked at.
                return None
            late_ms = waiter.read_at_ms(at, 0, now_ms) - waiter.read_by_ms
            least_ms = late_ms if least_ms is None else min(least_ms, late_ms)
        return least_ms

    def _seats_by_name(self, state: SeatState) -> dict[str, list[Held]]:
        """Return the seats in a state by adapter: looked for by each of hundreds who wait."""
        found: dict[str, list[Held]] = {}
        for runner in self.runners.values():
            for name, seat in runner.seats.items():
                if seat.state is state:
                    found.setdefault(name, []).append((runner, seat))
        return found

    def plan(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> list[Step]:
        """Return the orders to send now, at most one a runner.

        :param work: what all nodes have in progress by runner.
        """
        self._tick(now_ms, work)
        steps = []
        for runner in self.runners.values():
            step = self._overdue(runner, now_ms)
            if step is not None:
                runner.ordering = True
                steps.append(step)
        takers = Takers(self._idle, now_ms, work, self.load_limit.on_its_way)
        steps += self._copies(now_ms, work, takers)
        steps += self._loads(now_ms, work, takers)
        self._note_among(steps, takers.cold_incoming)
        return steps

    def _note_among(self, steps: list[Step], cold_incoming: int) -> None:
        """Note beside how many others loads began: those of one plan begin together."""
        for step in steps:
            seat = self.runners[step.life].seats.get(step.name)
            if step.operation is Operation.LOAD and not step.confirms and seat is not None:
                seat.among = cold_incoming

    def _overdue(self, runner: RunnerSeats, now_ms: int) -> Step | None:
        """Return what a runner is to be told before anything new."""
        if runner.ordering or not runner.known() or runner.report_at_ms:
            return None
        if runner.doubtful is not None:
            return runner.doubtful
        if runner.model is None:
            return self._model_step(runner, now_ms)
        # Before the questions: four late loads, asked for each 20 ms, held it up for 2.4 s.
        closing = self._closing(runner, now_ms)
        if closing is not None:
            return closing
        for seat in runner.seats.values():
            if seat.state is SeatState.LOADING and now_ms >= seat.check_at_ms:
                return self._step(runner, Operation.LOAD, seat.ref, confirms=True)
            if seat.state is SeatState.DROPPING and now_ms >= seat.check_at_ms:
                return self._step(runner, Operation.UNLOAD, seat.ref, confirms=True)
        return None

    def _closing(self, runner: RunnerSeats, now_ms: int) -> Step | None:
        """Return the unload of a version whose time is over.

        A runner may keep what waits in its queue for seconds, also when its node has closed the
        connection, and begin it on the old version; told to unload, it refuses what has not begun.
        """
        for seat in runner.seats.values():
            if seat.state is SeatState.READY and self._over(seat.ref):
                return self._drop(runner, seat, now_ms)
        return None

    def _drop(self, runner: RunnerSeats, seat: Seat, now_ms: int) -> Step:
        seat.state = SeatState.DROPPING
        seat.since_ms = now_ms
        return self._step(runner, Operation.UNLOAD, seat.ref)

    def _model_step(self, runner: RunnerSeats, now_ms: int) -> Step | None:
        if runner.model_loading is not None:
            if now_ms < runner.model_check_at_ms:
                return None
            name = runner.model_loading
            return Step(runner.life, Operation.LOAD, name, None, runner.sequence or 0, True)
        name = self._model_wanted()
        if name is None or not self._model_loads.allowed(now_ms):
            return None
        runner.model_loading = name
        runner.model_since_ms = now_ms
        self._model_loads.began(now_ms)
        return Step(runner.life, Operation.LOAD, name, None, runner.sequence or 0)

    def _model_wanted(self) -> str | None:
        """Return the base model with the fewest runners."""
        held: dict[str, int] = {model.name: 0 for model in self.traits.models}
        for runner in self.runners.values():
            name = runner.model or runner.model_loading
            if name in held:
                held[name] += 1
        fits = [m.name for m in self.traits.models if m.memory_mb <= self.traits.weights_mb]
        return min(fits, key=lambda name: held[name], default=None)

    def _loads(self, now_ms: int, work: dict[ServerLife, ServerWork], takers: Takers) -> list[Step]:
        """Return loads for those who wait, most urgent first, and the unloads they need."""
        steps = []
        seen: set[str] = set()
        held_back = False
        for waiter in in_order(self._waiters, now_ms):
            if waiter.name in seen or _coming(waiter, takers.loading(waiter.name)):
                continue
            if len(seen) >= MOST_LOOKED_AT:
                break
            seen.add(waiter.name)
            may_fetch = self.load_limit.allows(takers.cold_incoming, now_ms)
            held_back = held_back or not may_fetch
            ref = self._newest_ref(waiter)
            runner = self._choice.best(waiter, ref, takers, may_fetch)
            if runner is None:
                continue
            step = self._make_room_or_load(runner, ref, now_ms, work, takers)
            if step is not None:
                steps.append(step)
        if not held_back:
            self.load_limit.calm()
        return steps

    def _copies(
        self, now_ms: int, work: dict[ServerLife, ServerWork], takers: Takers
    ) -> list[Step]:
        """Return the load of an adapter that crowds its runner at a second one.

        Only while places are left over: with all places in use a copy would take one from somebody
        who has none at all.
        """
        left_over = takers.idle_places - len({w.name for w in self._waiters})
        if left_over < PLACES_KEPT_FREE:
            return []
        wanted = wanted_copy(self.runners.values(), self._loads_by_runner, work)
        last_ms = self._copied_ms.get(wanted.name, 0) if wanted is not None else 0
        if wanted is None or now_ms - last_ms < COPY_PAUSE_MS:
            return []
        worth = self._heat.of(wanted.name, now_ms) / (wanted.copies + 1)
        for runner in wanted.targets:
            if runner.room(now_ms) <= 0:
                seat = self._idle.least_valuable(runner, now_ms, work)
                if seat is None or self._idle.value(seat, now_ms) > worth:
                    continue
            ref = AdapterRef(wanted.name, wanted.version)
            step = self._make_room_or_load(runner, ref, now_ms, work, takers)
            if step is None:
                continue
            if step.operation is Operation.LOAD:
                self.copies += 1
                self._copied_ms[wanted.name] = now_ms
            return [step]
        return []

    def _make_room_or_load(
        self,
        runner: RunnerSeats,
        ref: AdapterRef,
        now_ms: int,
        work: dict[ServerLife, ServerWork],
        takers: Takers,
    ) -> Step | None:
        old = runner.seats.get(ref.name)
        if runner.room(now_ms) <= 0 and old is None:
            unused = self._idle.least_valuable(runner, now_ms, work)
            if unused is None:
                return None
            step = self._drop(runner, unused, now_ms)
        else:
            step = self._load(runner, ref, now_ms)
        runner.ordering = True
        takers.changed(runner)
        return step

    def _load(self, runner: RunnerSeats, ref: AdapterRef, now_ms: int) -> Step:
        seat = runner.begin_load(ref, now_ms)
        self.loads += 1
        self.cold_loads += seat.cold
        version = ref.version if ref.version > 1 else None
        return Step(runner.life, Operation.LOAD, ref.name, version, runner.sequence or 0)

    def _newest_ref(self, waiter: Waiter) -> AdapterRef:
        return AdapterRef(waiter.name, max(waiter.version, self._newest.get(waiter.name, 1)))

    def answered(self, step: Step, answer: OrderAnswer, now_ms: int) -> bool:
        """Take the answer to an order; return whether the duty is still this node's."""
        runner = self.runners.get(step.life)
        if runner is None:
            return not isinstance(answer, Superseded)
        runner.ordering = False
        match answer:
            case Accepted(complete=complete):
                self._accepted(runner, step, complete, now_ms)
            case Unanswered():
                # Sent again under the same condition: whichever of the two is carried out first
                # makes the other fail, so the order takes effect once.
                runner.doubtful = step
            case Stale():
                self._unclear(runner, step, now_ms)
            case Unusable():
                self._undo(runner, step)
                self._unclear(runner, step, now_ms)
            case Gone():
                self.gone(step.life)
            case Superseded():
                return False
        return True

    def _accepted(self, runner: RunnerSeats, step: Step, complete: bool, now_ms: int) -> None:
        if not step.confirms or step is runner.doubtful:
            runner.sequence = step.sequence + (not step.confirms)
            runner.sequence_at_ms = now_ms
        runner.doubtful = None
        if "/" not in step.name:
            if complete:
                runner.model, runner.model_loading = step.name, None
            runner.model_check_at_ms = now_ms + MODEL_CONFIRM_EVERY_MS
            return
        seat = runner.seats.get(step.name)
        if seat is None:
            return
        if complete:
            if step.operation is Operation.LOAD:
                if seat.cold and seat.state is SeatState.LOADING and seat.among:
                    # Counted to when the question was due: a busy holder that asks late would take
                    # the store for slow.
                    seen_ms = seat.check_at_ms if step.confirms else now_ms
                    self.load_limit.complete(seen_ms - seat.since_ms, seat.among, now_ms)
                runner.loaded(step.name, now_ms)
            else:
                runner.dropped(step.name)
            return
        usual_ms = COLD_LOAD_MS if seat.cold else WARM_LOAD_MS
        if step.operation is Operation.UNLOAD:
            # It waits for its runs, seconds if they are long: asked again ever more seldom.
            usual_ms = CONFIRM_EVERY_MS + int((now_ms - seat.since_ms) * UNLOAD_PAUSE_SHARE)
        elif step.confirms:
            usual_ms = CONFIRM_EVERY_MS
        seat.check_at_ms = now_ms + usual_ms

    def _undo(self, runner: RunnerSeats, step: Step) -> None:
        """Take back what was believed of an order that was never carried out."""
        if step.confirms:
            return
        runner.doubtful = None
        seat = runner.seats.get(step.name)
        if "/" not in step.name:
            runner.model_loading = None
            self._model_loads.undone()
        elif seat is not None and step.operation is Operation.LOAD:
            del runner.seats[step.name]
        elif seat is not None:
            seat.state = SeatState.READY

    def _unclear(self, runner: RunnerSeats, step: Step, now_ms: int) -> None:
        """Ask the runner what it holds before it gets another order."""
        if isinstance(step, Step) and not step.confirms:
            self._undo(runner, step)
        runner.doubtful = None
        runner.report_at_ms = now_ms + CONFIRM_EVERY_MS

    def _step(
        self, runner: RunnerSeats, operation: Operation, ref: AdapterRef, confirms: bool = False
    ) -> Step:
        version = ref.version if operation is Operation.LOAD and ref.version > 1 else None
        return Step(runner.life, operation, ref.name, version, runner.sequence or 0, confirms)

    def _tick(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        self._note_use(now_ms, work)
        if now_ms - self._ticked_ms < TICK_MS:
            return
        span_s = min(1.0, (now_ms - self._ticked_ms) / 1000)
        self._ticked_ms = now_ms
        for life in self.runners:
            at = work.get(life, _NO_WORK)
            self._loads_by_runner.note(life, at, span_s)
            for name, count in at.requests_by_adapter.items():
                self._heat.add(name, count * span_s, now_ms)
        self._heat.forget_cold(now_ms)

    def _note_use(self, now_ms: int, work: dict[ServerLife, ServerWork]) -> None:
        """Note which seats are seen in use: from here on the use itself keeps the place."""
        for life, runner in self.runners.items():
            for name in work.get(life, _NO_WORK).requests_by_adapter:
                seat = runner.seats.get(name)
                if seat is not None:
                    seat.used_ms = now_ms
                    seat.granted_until_ms = 0


_NO_WORK: Final = ServerWork()


def _coming(waiter: Waiter, loading: Sequence[Held]) -> bool:
    """Tell whether an adapter is on its way to a runner that a request may go to."""
    return any(
        runner.life not in waiter.avoid and seat.ref.version >= waiter.version
        for runner, seat in loading
    )


def _crowd(work: dict[ServerLife, ServerWork], life: ServerLife) -> int:
    at_server = work.get(life, _NO_WORK)
    return at_server.pending_prefill_tokens + 60 * at_server.requests
