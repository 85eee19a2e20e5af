"""Replays a load over one lease holder and its runners in virtual time, without a network."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from heapq import heappop, heappush

import attrs

from monsoonflow.core.server_life import ServerLife
from monsoonflow.placement.fair_share import FairShares
from monsoonflow.placement.queue_policy import DEFAULT_POLICY, QueuePolicy
from monsoonflow.placement.request_queue import NoSlot, Placed, QueuedRequest
from monsoonflow.placement.scheduler import AdapterScheduler
from monsoonflow.placement.slots import SlotState
from monsoonflow.placement.usage_reports import UsageReports
from monsoonflow.routing.customer_usage import CustomerUsage
from tests.placement.conftest import MODEL, TRAITS, FakeRunner, SimulatedCell

STEP_MS = 10
REPORT_INTERVAL_MS = 200
"""Interval of full heartbeats in a small fleet."""

WARM_UP_MS = 2_000
TAIL_MS = 8_000
"""Longer than a request waits."""

SLOT_WAIT_SHARE = 0.6
DEADLINE_RETRY_AFTER_MS = 500
FIRST_EVENT_MS = 100
RUN_MS = 450


@attrs.frozen
class Stream:
    """A kind of requests.

    :param weights: popularity of its adapters, most popular first.
    :param attempts: how often its callers ask, each time when they were told to.
    """

    name: str
    rate_per_s: float
    customer: str | None = None
    priority: int = 0
    objective_ms: int = 1_000
    deadline_ms: int = 3_000
    weights: tuple[float, ...] = (1.0,) * 40
    from_ms: int = 0
    until_ms: int = 1_000_000
    attempts: int = 1


@attrs.define
class Tally:
    """What became of the requests of a stream."""

    sent: int = 0
    served: int = 0
    waits_ms: list[int] = attrs.Factory(list)
    refusals_by_attempt: Counter[int] = attrs.Factory(Counter)

    @property
    def share(self) -> float:
        """Return the served share."""
        return self.served / max(1, self.sent)


@attrs.define
class Caller:
    """A caller, whose session key identifies it when it returns."""

    stream: Stream
    adapter: str
    session_key: str
    attempts: int = 0
    first_attempt_ms: int = 0
    is_counted: bool = False


class LoadReplay:
    """One holder, three runners with three slots each, and callers.

    :param streams: the load.
    :param run_ms: how long each request uses its slot after the load.
    """

    def __init__(
        self,
        streams: Iterable[Stream],
        seed: int,
        run_ms: int = RUN_MS,
        policy: QueuePolicy = DEFAULT_POLICY,
    ) -> None:
        self.streams = list(streams)
        self.run_ms = run_ms
        traits = attrs.evolve(TRAITS, adapter_slots=3)
        self.fair_shares = FairShares()
        scheduler = AdapterScheduler(traits, {}, policy=policy, fair_shares=self.fair_shares)
        self.cell = SimulatedCell(scheduler, {})
        self._usage = CustomerUsage()
        self._reports = UsageReports()
        for number in range(3):
            life = ServerLife(f"i-{number}")
            self.cell.runners[life] = FakeRunner(life, slot_count=3)
            self.cell.scheduler.add_runner(life)
        self._rng = random.Random(seed)
        self._waiting: dict[QueuedRequest, int] = {}
        self._arriving: list[tuple[int, int, Caller]] = []
        self._ends: list[tuple[int, int, ServerLife, str, str | None]] = []
        self.tally_by_stream = {stream.name: Tally() for stream in self.streams}
        self._sequence = 0
        self.refused_with_free_slot = 0

    def run(self, for_ms: int) -> dict[str, Tally]:
        """Replay the load; return the tally of the requests of a time after the warm-up.

        The load goes on until all of these have been answered: otherwise waiting requests would get
        the slots that become free at its end.
        """
        cell = self.cell
        cell.run(100)
        for after_ms, stream in self._arrivals(WARM_UP_MS + for_ms + TAIL_MS):
            caller = self._new_caller(stream)
            caller.is_counted = WARM_UP_MS <= after_ms < WARM_UP_MS + for_ms
            self._schedule(cell.now_ms + after_ms, caller)
        while self._waiting or self._arriving:
            while self._arriving and self._arriving[0][0] <= cell.now_ms:
                self._arrive(heappop(self._arriving)[2])
            self._step()
        return self.tally_by_stream

    def _arrivals(self, for_ms: int) -> list[tuple[int, Stream]]:
        arrivals = []
        for stream in self.streams:
            at_ms = stream.from_ms + self._rng.expovariate(stream.rate_per_s / 1000)
            while at_ms < min(for_ms, stream.until_ms):
                arrivals.append((int(at_ms), stream))
                at_ms += self._rng.expovariate(stream.rate_per_s / 1000)
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _new_caller(self, stream: Stream) -> Caller:
        number = self._rng.choices(range(len(stream.weights)), stream.weights)[0]
        self._sequence += 1
        return Caller(
            stream, f"{MODEL}/{stream.customer or stream.name}-{number}", str(self._sequence)
        )

    def _schedule(self, at_ms: int, caller: Caller) -> None:
        self._sequence += 1
        heappush(self._arriving, (at_ms, self._sequence, caller))

    def _step(self) -> None:
        cell = self.cell
        cell.now_ms += STEP_MS
        if cell.now_ms % REPORT_INTERVAL_MS == 0:
            totals = self._usage.totals_ms(cell.now_ms)
            used = self._reports.apply("n1", "boot", totals, cell.now_ms)
            self.fair_shares.record_usage(used, cell.now_ms)
        while self._ends and self._ends[0][0] <= cell.now_ms:
            _, _, life, name, customer = heappop(self._ends)
            if customer is not None:
                self._usage.end(customer, cell.now_ms)
            work = cell.work[life]
            work.requests -= 1
            work.requests_by_adapter[name] -= 1
            if not work.requests_by_adapter[name]:
                del work.requests_by_adapter[name]
        for request, left_ms in list(self._waiting.items()):
            if left_ms <= cell.now_ms:
                cell.scheduler.remove_request(request, cell.now_ms)
                request.on_result(NoSlot(DEADLINE_RETRY_AFTER_MS))
        cell.run_plan()

    def _arrive(self, caller: Caller) -> None:
        now_ms = self.cell.now_ms
        stream, name = caller.stream, caller.adapter
        tally = self.tally_by_stream[stream.name]
        caller.attempts += 1
        if caller.attempts == 1:
            tally.sent += caller.is_counted
            caller.first_attempt_ms = now_ms
        holder = self._runner_with(name)
        if holder is not None:
            self._start(caller, holder)
            return
        wait_ms = int(stream.deadline_ms * SLOT_WAIT_SHARE)

        def finish(result: Placed | NoSlot | None) -> None:
            self._waiting.pop(request, None)
            match result:
                case Placed(life=life):
                    self._start(caller, life)
                case NoSlot(retry_after_ms=retry_after_ms):
                    self.refused_with_free_slot += self._has_unneeded_slot()
                    self._refuse(caller, retry_after_ms)

        request = QueuedRequest(
            adapter_name=name,
            min_version=1,
            priority=stream.priority,
            first_attempt_ms=now_ms,
            on_time_until_ms=now_ms + stream.objective_ms - FIRST_EVENT_MS,
            deadline_ms=now_ms + wait_ms,
            excluded_runners=frozenset(),
            on_result=finish,
            customer=stream.customer,
            session_key=caller.session_key if stream.attempts > 1 else None,
        )
        self._waiting[request] = now_ms + wait_ms
        self.cell.scheduler.request_slot(request, now_ms, self.cell.work)

    def _refuse(self, caller: Caller, retry_after_ms: int) -> None:
        tally = self.tally_by_stream[caller.stream.name]
        tally.refusals_by_attempt[caller.attempts] += caller.is_counted
        if caller.attempts < caller.stream.attempts:
            self._schedule(self.cell.now_ms + retry_after_ms, caller)

    def _runner_with(self, name: str) -> ServerLife | None:
        """Return the runner that the residency report names for an adapter."""
        for runner in self.cell.scheduler.runners.values():
            slot = runner.slots.get(name)
            if slot is not None and slot.state is SlotState.READY and slot.draining_level is None:
                return runner.life
        return None

    def _has_unneeded_slot(self) -> bool:
        """Tell whether there are more free slots than adapters that wait for one."""
        scheduler = self.cell.scheduler
        free = sum(runner.free_slots() for runner in scheduler.runners.values())
        return free > len({request.adapter_name for request in scheduler.queued_requests})

    def _start(self, caller: Caller, life: ServerLife) -> None:
        now_ms = self.cell.now_ms
        stream, name = caller.stream, caller.adapter
        tally = self.tally_by_stream[stream.name]
        if caller.is_counted:
            tally.served += 1
            tally.waits_ms.append(now_ms - caller.first_attempt_ms)
        self.cell.start_requests(life, name.partition("/")[2])
        self._sequence += 1
        if stream.customer is not None:
            self._usage.begin(stream.customer, now_ms)
        end = (now_ms + self.run_ms, self._sequence, life, name, stream.customer)
        heappush(self._ends, end)


def zipf(count: int, exponent: float = 1.2) -> tuple[float, ...]:
    """Return Zipf weights."""
    return tuple(1 / (rank + 1) ** exponent for rank in range(count))
