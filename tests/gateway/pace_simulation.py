"""Simulates nodes, one lease holder and runners of different speed; virtual time, no network."""

from __future__ import annotations

import random
from collections import Counter

import attrs

from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer, HeldModel
from monsoonflow.discovery.registry import ServerRegistry
from monsoonflow.fleet import codec
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.gateway.backlog import Backlog
from monsoonflow.gateway.job import Job
from monsoonflow.gateway.models import Call, Chosen, NoServer
from monsoonflow.gateway.runner_chooser import RunnerChooser
from monsoonflow.placement.request_queue import NoSlot, Placed, QueuedRequest
from monsoonflow.placement.scheduler import AdapterScheduler
from monsoonflow.placement.slots import SlotState
from monsoonflow.routing.health import HealthTracker
from monsoonflow.routing.in_flight import InFlight, ServerWork, Ticket, sum_work
from monsoonflow.routing.routes import BaseModel, EngineTraits, Route, RouteKind, Service, Target
from monsoonflow.transport.models import Request
from tests.gateway.unlimited_servers import UnlimitedServers
from tests.placement.conftest import MODEL, FakeRunner

QUEUED = ServerLife("queued")
"""Stands for a runner that the lease holder has yet to choose."""

STEP_MS = 10
TOKENS_PER_MS = 19.2
HEARTBEAT_MS = 200
LINK_DELAY_MS = 50
PLAN_MS = 20
DEADLINE_MS = 5_000


@attrs.define
class RunnerModel:
    """How a simulated runner processes requests.

    :param factor: how many times slower than normal it prefills and generates.
    :param start_delay_ms: time by which it starts each request late.
    """

    factor: float = 1.0
    start_delay_ms: int = 0


@attrs.define(eq=False)
class Running:
    """A request at a runner."""

    node: SimulatedNode
    chosen: Chosen
    ticket: Ticket
    arrived_ms: int
    sent_ms: int
    starts_ms: int
    remaining_tokens: float
    remaining_events: int
    event_progress: float = 0.0
    last_event_ms: int | None = None


@attrs.define(eq=False)
class SimulatedNode:
    """One entry node."""

    record: NodeRecord
    view: FleetView
    in_flight: InFlight
    backlog: Backlog
    chooser: RunnerChooser = attrs.field(init=False)
    sequence: int = 0

    def heartbeat(self, now_ms: int) -> bytes:
        """Return the node's heartbeat as bytes, as peers receive it."""
        self.sequence += 1
        pace = self.backlog.pace
        return codec.encode_heartbeat(
            Heartbeat(
                self.record,
                self.sequence,
                True,
                False,
                1,
                True,
                work_by_server=self.in_flight.work_by_server,
                pace_by_server=pace.announced_paces(now_ms) if pace is not None else None,
            )
        )


@attrs.define
class CellPlacement:
    """What a node knows of the slots; queues slot requests at the scheduler of the simulation."""

    simulation: PaceSimulation
    node: SimulatedNode

    def runners_with_adapter(self, adapter: str, among=None) -> dict[ServerLife, int]:
        """Return the holders of an adapter as of the last residency report."""
        return self.simulation.residency.get(adapter, {})

    def wanted_version(self, adapter: str) -> None:
        """Return ``None``: the operator has requested no version."""
        return

    def start_deadline_ms(self, adapter: str, version: int) -> None:
        """Return ``None``: requests may begin at any time."""
        return

    def request_slot(self, call, route, service, job, overloaded=()) -> Chosen:
        """Queue the request; the simulation sends it once a slot is granted."""
        self.simulation.queue_request(self.node, job, overloaded)
        return Chosen(QUEUED, "")


@attrs.define
class PaceSimulation:
    """A cell with real choosers, a real scheduler and simulated runners.

    :param model_by_life: the runners; the models may be changed between runs.
    :param adapters: number of adapters.
    :param zipf_exponent: of their popularity; 0 for equal probability.
    :param prompt_tokens: prompt length of each request.
    :param events: events of each answer.
    :param event_gap_ms: time between events at a runner of factor 1 with few requests.
    :param is_pace_used: whether the part takes effect.
    :param is_pace_used_by_holder: whether it does at the lease holder's scheduler.
    :param sent_by_life: requests sent, by runner.
    :param first_event_ms: times from arrival to the first event.
    :param took_ms: times from arrival to the end of the answer.
    :param sent_log: time and runner of each request sent.
    """

    model_by_life: dict[ServerLife, RunnerModel]
    node_count: int
    slot_count: int = 3
    adapters: int = 40
    zipf_exponent: float = 0.0
    prompt_tokens: int = 600
    events: int = 8
    event_gap_ms: float = 20.0
    objective_ms: int = 600
    seed: int = 1
    is_pace_used: bool = True
    is_pace_used_by_holder: bool = True
    clock: ManualClock = attrs.Factory(lambda: ManualClock(100_000))
    nodes: list[SimulatedNode] = attrs.Factory(list)
    fake_by_life: dict[ServerLife, FakeRunner] = attrs.Factory(dict)
    running_by_life: dict[ServerLife, list[Running]] = attrs.Factory(dict)
    residency: dict[str, dict[ServerLife, int]] = attrs.Factory(dict)
    deliveries: list[tuple[int, int, SimulatedNode, bytes]] = attrs.Factory(list)
    sent_by_life: Counter[ServerLife] = attrs.Factory(Counter)
    sent_log: list[tuple[int, ServerLife]] = attrs.Factory(list)
    first_event_ms: list[int] = attrs.Factory(list)
    took_ms: list[int] = attrs.Factory(list)
    arrived: int = 0
    refused: int = 0
    rng: random.Random = attrs.field(init=False)
    arrival_rng: random.Random = attrs.field(init=False)
    adapter_weights: list[float] = attrs.field(init=False)
    service: Service = attrs.field(init=False)
    route: Route = attrs.field(init=False)
    scheduler: AdapterScheduler = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        # Arrivals must not depend on how often the choosers draw a number.
        self.arrival_rng = random.Random(self.seed)
        self.rng = random.Random(self.seed + 1_000)
        self.adapter_weights = [
            1 / rank**self.zipf_exponent for rank in range(1, self.adapters + 1)
        ]
        traits = EngineTraits(
            96, 120_000, 35_200, self.slot_count, 2.8, (BaseModel(MODEL, 34_300, 2_000, 1_000, 40),)
        )
        self.service = Service("s", engine=traits)
        self.route = Route(
            "r",
            "h",
            "/a/",
            RouteKind.STREAM,
            (Target("s", 1),),
            timeout_ms=DEADLINE_MS,
            objective_ms=self.objective_ms,
            priority=1,
            first_event_timeout_ms=4_000,
        )
        registry = ServerRegistry()
        self.scheduler = self._scheduler(traits)
        for number, life in enumerate(self.model_by_life, start=1):
            address = f"1.1.1.{number}:1"
            registry.put(BackendServer(life, "s", address, "dc", 96, models=(HeldModel(MODEL),)), 0)
            self.fake_by_life[life] = FakeRunner(life, slot_count=self.slot_count)
            self.running_by_life[life] = []
            self.scheduler.add_runner(life)
        for number in range(self.node_count):
            self.nodes.append(self._node(f"n{number}", registry))
        for node in self.nodes:
            for other in self.nodes:
                node.view.add_record(other.record)

    def _scheduler(self, traits: EngineTraits) -> AdapterScheduler:
        if not (self.is_pace_used and self.is_pace_used_by_holder):
            return AdapterScheduler(traits, {})
        return AdapterScheduler(
            traits, {}, pace_of=lambda life, now_ms: self.holder.backlog.pace_of(life, now_ms)
        )

    def _node(self, name: str, registry: ServerRegistry) -> SimulatedNode:
        record = NodeRecord(name, "b", "dc", "1.1.1.2:1", "1.1.1.2:2", "1.1.1.2:3")
        view, in_flight = FleetView(name), InFlight()
        backlog = Backlog(in_flight, view)
        if not self.is_pace_used:
            backlog.pace = None
        node = SimulatedNode(record, view, in_flight, backlog)
        node.chooser = RunnerChooser(
            registry,
            node.backlog,
            HealthTracker(),
            UnlimitedServers(),
            CellPlacement(self, node),
            self.clock,
            self.rng,
            "dc",
        )
        return node

    @property
    def holder(self) -> SimulatedNode:
        """Return the lease holder, which gets requests of callers like the other nodes."""
        return self.nodes[0]

    def total_work(self) -> dict[ServerLife, ServerWork]:
        """Return the work of all nodes as far as the lease holder knows it."""
        now_ms = self.clock.now_ms()
        return sum_work(
            self.holder.view.work_by_server(now_ms), self.holder.in_flight.work_by_server
        )

    def run(self, duration_ms: int, requests_per_s: float) -> None:
        """Advance the time while requests arrive at random nodes."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            self._exchange_heartbeats(now_ms)
            if now_ms % PLAN_MS == 0:
                self._plan(now_ms)
            if now_ms % 100 == 0:
                self._report_residency()
            expected = requests_per_s * STEP_MS / 1000
            while expected > 0:
                if self.arrival_rng.random() < expected:
                    self.receive_request(self.arrival_rng.choice(self.nodes), now_ms)
                expected -= 1
            for life in self.model_by_life:
                self._process(life, now_ms)

    def reset_counts(self) -> None:
        """Start counting anew."""
        self.sent_by_life.clear()
        self.first_event_ms.clear()
        self.took_ms.clear()
        self.sent_log.clear()
        self.arrived = self.refused = 0

    def share_of(self, lives) -> float:
        """Return the share of requests that were sent to some runners."""
        total = max(1, sum(self.sent_by_life.values()))
        return sum(self.sent_by_life[life] for life in lives) / total

    def late_share(self) -> float:
        """Return the share of requests that were refused or late at their first event."""
        late = sum(took > self.objective_ms for took in self.first_event_ms)
        return (late + self.refused) / max(1, len(self.first_event_ms) + self.refused)

    def share_over(self, limit_ms: int) -> float:
        """Return the share of requests that were refused or took longer until their end."""
        over = sum(took > limit_ms for took in self.took_ms)
        return (over + self.refused) / max(1, len(self.took_ms) + self.refused)

    def _exchange_heartbeats(self, now_ms: int) -> None:
        for number, node in enumerate(self.nodes):
            if (now_ms + number * 70) % HEARTBEAT_MS < STEP_MS:
                data = node.heartbeat(now_ms)
                for other in self.nodes:
                    if other is not node:
                        due_ms = now_ms + LINK_DELAY_MS
                        self.deliveries.append((due_ms, len(self.deliveries), other, data))
        due = [entry for entry in self.deliveries if entry[0] <= now_ms]
        self.deliveries = [entry for entry in self.deliveries if entry[0] > now_ms]
        for _, _, node, data in due:
            self.receive_heartbeat(node, codec.decode(data), now_ms)

    def receive_heartbeat(self, node: SimulatedNode, heartbeat: Heartbeat, now_ms: int) -> None:
        """Let a node receive a peer's heartbeat."""
        node.view.receive(heartbeat, now_ms)
        if node.backlog.pace is not None:
            node.backlog.pace.receive(heartbeat.name, heartbeat.pace_by_server, now_ms)

    def _report_residency(self) -> None:
        self.residency = {}
        for life, runner in self.scheduler.runners.items():
            for name, slot in runner.slots.items():
                if slot.state is SlotState.READY:
                    self.residency.setdefault(name, {})[life] = slot.ref.version

    def _plan(self, now_ms: int) -> None:
        scheduler, work = self.scheduler, self.total_work()
        for life in scheduler.runners_needing_report(now_ms):
            self.fake_by_life[life].settle(now_ms)
            scheduler.handle_report(life, self.fake_by_life[life].report(), now_ms)
        scheduler.process_queue(now_ms, work)
        for step in scheduler.plan(now_ms, work):
            result = self.fake_by_life[step.life].order(step, now_ms)
            scheduler.handle_order_result(step, result, now_ms)
        scheduler.process_queue(now_ms, work)

    def receive_request(self, node: SimulatedNode, now_ms: int) -> None:
        """Let a request for a random adapter arrive at a node."""
        self.arrived += 1
        number = self.arrival_rng.choices(range(self.adapters), self.adapter_weights)[0]
        adapter = f"{MODEL}/a{number}"
        call = Call("q", "h", "/a/", model=MODEL, adapter=adapter, prompt_tokens=self.prompt_tokens)
        request = Request(b"POST", b"/a/", "1.1", [], b"", True, now_ms)
        deadline_ms = now_ms + DEADLINE_MS
        job = Job(request, call, self.route, self.service, now_ms, deadline_ms, deadline_ms)
        chosen = node.chooser.choose(call, self.route, self.service, job, now_ms)
        if isinstance(chosen, NoServer):
            self.refused += 1
        elif chosen.life != QUEUED:
            self._send(node, job, chosen)

    def queue_request(self, node: SimulatedNode, job: Job, overloaded) -> None:
        """Queue a slot request at the lease holder."""
        now_ms = self.clock.now_ms()

        def handle(result: Placed | NoSlot | None) -> None:
            if not isinstance(result, Placed):
                self.refused += 1
                return
            sent_ms = self.clock.now_ms()
            queue = node.backlog.queue_ahead(result.life, job, sent_ms)
            call = job.call
            self._send(
                node,
                job,
                Chosen(
                    result.life,
                    "",
                    call.adapter,
                    result.version,
                    call.prompt_tokens,
                    call.prompt_tokens,
                    queue=queue,
                ),
            )

        self.scheduler.request_slot(
            QueuedRequest(
                adapter_name=job.call.adapter,
                min_version=1,
                priority=1,
                first_attempt_ms=now_ms,
                on_time_until_ms=now_ms + self.objective_ms - 200,
                deadline_ms=now_ms + 3_000,
                excluded_runners=frozenset(overloaded),
                on_result=handle,
                rank=job.rank_at(now_ms),
                prompt_tokens=self.prompt_tokens,
                read_by_ms=now_ms + Backlog.max_queue_ms(job, now_ms),
                tokens_per_ms=node.backlog.prefill_rate.tokens_per_ms(None, now_ms),
            ),
            now_ms,
            self.total_work(),
        )

    def _send(self, node: SimulatedNode, job: Job, chosen: Chosen) -> None:
        now_ms = self.clock.now_ms()
        fake = self.fake_by_life[chosen.life]
        fake.settle(now_ms)
        if job.call.adapter not in fake.held:
            # The adapter was unloaded since the last residency report.
            self.queue_request(node, job, ())
            return
        self.sent_by_life[chosen.life] += 1
        self.sent_log.append((now_ms, chosen.life))
        node.backlog.record_sent(chosen, now_ms)
        ticket = node.in_flight.begin(
            chosen.life,
            now_ms,
            chosen.adapter,
            chosen.prefill_tokens,
            chosen.memory_tokens,
            job.rank_at(now_ms),
        )
        self.running_by_life[chosen.life].append(
            Running(
                node,
                chosen,
                ticket,
                job.request.arrived_ms,
                now_ms,
                now_ms + self.model_by_life[chosen.life].start_delay_ms,
                float(self.prompt_tokens),
                self.events,
            )
        )

    def _process(self, life: ServerLife, now_ms: int) -> None:
        model, running = self.model_by_life[life], self.running_by_life[life]
        decoding = sum(request.remaining_tokens <= 0 for request in running)
        gap_ms = self.event_gap_ms * model.factor * (1 + decoding / 32)
        budget_tokens = TOKENS_PER_MS * STEP_MS / model.factor
        for request in list(running):
            if now_ms < request.starts_ms:
                continue
            if request.remaining_tokens > 0:
                used_tokens = min(budget_tokens, request.remaining_tokens)
                request.remaining_tokens -= used_tokens
                budget_tokens -= used_tokens
                if request.remaining_tokens <= 0:
                    self._record_first_event(request, now_ms)
                continue
            request.event_progress += STEP_MS / gap_ms
            while request.event_progress >= 1:
                request.event_progress -= 1
                request.remaining_events -= 1
                self.record_event(request, now_ms)
            if request.remaining_events <= 0:
                self.took_ms.append(now_ms - request.arrived_ms)
                request.node.in_flight.end(request.ticket)
                running.remove(request)

    def record_event(self, request: Running, now_ms: int) -> None:
        """Let the node of a request see another event of its answer."""
        request.node.backlog.record_gap(request.chosen, now_ms - request.last_event_ms, now_ms)
        request.last_event_ms = now_ms

    def _record_first_event(self, request: Running, now_ms: int) -> None:
        request.last_event_ms = now_ms
        request.remaining_events -= 1
        self.first_event_ms.append(now_ms - request.arrived_ms)
        request.node.in_flight.record_first_event(request.ticket)
        request.node.backlog.record_first_event(request.chosen, now_ms - request.sent_ms, now_ms)


def lives(count: int) -> tuple[ServerLife, ...]:
    """Return the lives of some runners."""
    return tuple(ServerLife(f"i-{number}") for number in range(count))


def runners(*models: RunnerModel) -> dict[ServerLife, RunnerModel]:
    """Return runners by life."""
    return dict(zip(lives(len(models)), models, strict=True))
