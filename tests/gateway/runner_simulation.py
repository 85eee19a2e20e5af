"""Simulates entry nodes that send generations to runners and exchange heartbeats; virtual time."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import attrs

from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer, HeldModel
from monsoonflow.discovery.registry import ServerRegistry
from monsoonflow.fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS, HeartbeatRounds
from monsoonflow.fleet.models import CellLeaseClaim, Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.gateway.backlog import Backlog
from monsoonflow.gateway.event_splitter import EventSplitter
from monsoonflow.gateway.job import Job
from monsoonflow.gateway.models import Call, Chosen, Cut, NoServer, Passed
from monsoonflow.gateway.runner_chooser import RunnerChooser
from monsoonflow.gateway.runner_memory import RunnerMemory
from monsoonflow.placement import request_queue
from monsoonflow.placement.memory_grants import MemoryGrants
from monsoonflow.routing.health import HealthTracker
from monsoonflow.routing.in_flight import InFlight, ServerWork, Ticket, sum_work
from monsoonflow.routing.overload import overloaded_runners
from monsoonflow.routing.routes import EngineTraits, Route, RouteKind, Service, Target
from monsoonflow.routing.runner_pace import RunnerPace
from monsoonflow.transport.models import Request
from tests.gateway.unlimited_servers import UnlimitedServers

HOLDER = "n0"
STEP_MS = 10
TOKENS_PER_MS = 19.2
PROMPT_TOKENS = 2_368
CALLER_LEAVES_MS = 4_044
ENGINE = EngineTraits(96, 120_000, 35_200, 5, 2.8)
SERVICE = Service("s", engine=ENGINE)
ROUTE = Route(
    "r",
    "h",
    "/a/",
    RouteKind.STREAM,
    (Target("s", 1),),
    timeout_ms=5_054,
    objective_ms=1_011,
    priority=1,
    first_event_timeout_ms=CALLER_LEAVES_MS,
)


@attrs.define
class FixedPlacement:
    """A placement with a fixed set of loaded adapters that never loads another one."""

    loaded: dict[str, dict[ServerLife, int]]
    slot_request_count: int = 0

    def runners_with_adapter(self, adapter: str, among=None) -> dict[ServerLife, int]:
        """Return the adapter's version on each runner that holds it."""
        return self.loaded.get(adapter, {})

    def wanted_version(self, adapter: str) -> int | None:
        """Return ``None``: the operator has requested no version."""
        return None

    def request_slot(self, *_: object, **__: object) -> NoServer:
        """Refuse."""
        self.slot_request_count += 1
        return NoServer("no slot", 500)

    def start_deadline_ms(self, adapter: str, version: int) -> int | None:
        """Return ``None``: requests may begin at any time."""
        return None


@attrs.frozen
class Shape:
    """The lengths of a request, in tokens.

    :param output_tokens: what the runner really generates.
    """

    prompt_tokens: int = PROMPT_TOKENS
    length_hint: int | None = None
    max_output_tokens: int = 0
    output_tokens: int = 0


@attrs.define(eq=False)
class QueuedRequest:
    """A request in a runner's queue, or with a stream in progress.

    :param generated_tokens: output so far.
    """

    node: Node
    job: Job
    chosen: Chosen
    ticket: Ticket
    remaining_tokens: float
    shape: Shape = Shape()
    generated_tokens: float = 0.0

    def memory_tokens(self) -> float:
        """Return the KV cache that it uses: none before its prefill has begun."""
        if self.remaining_tokens >= self.shape.prompt_tokens:
            return 0.0
        return self.shape.prompt_tokens + self.generated_tokens


def slot_request(job: Job, need_tokens: int, now_ms: int) -> request_queue.QueuedRequest:
    """Return the slot request of a job as the lease holder queues it."""
    return request_queue.QueuedRequest(
        adapter_name=job.call.adapter or "",
        min_version=1,
        priority=job.priority,
        first_attempt_ms=job.first_tried_ms,
        on_time_until_ms=job.objective_deadline_ms(),
        deadline_ms=job.cancel_at_ms(),
        excluded_runners=frozenset(),
        on_result=lambda _: None,
        rank=job.rank_at(now_ms),
        prompt_tokens=job.call.prompt_tokens,
        read_by_ms=now_ms + Backlog.max_queue_ms(job, now_ms),
        tokens_per_ms=TOKENS_PER_MS,
        memory_tokens=need_tokens,
    )


@attrs.define(eq=False)
class Node:
    """One entry node."""

    card: NodeRecord
    view: FleetView
    in_flight: InFlight
    backlog: Backlog
    chooser: RunnerChooser
    rounds: HeartbeatRounds
    sequence: int = 0

    def heartbeat(self, now_ms: int) -> Heartbeat:
        """Return the node's heartbeat, with a copy of its work, as peers would receive it."""
        self.sequence += 1
        work_by_life = {}
        for life, work in self.in_flight.work_by_server.items():
            work_by_life[life] = ServerWork()
            work_by_life[life].add(work)
        heartbeat = Heartbeat(
            self.card, self.sequence, True, False, 1, True, work_by_server=work_by_life
        )
        return self._as_holder(heartbeat, now_ms) if self.card.name == HOLDER else heartbeat

    def _as_holder(self, heartbeat: Heartbeat, now_ms: int) -> Heartbeat:
        """Return the heartbeat with what the holder of the cell lease adds."""
        claim = CellLeaseClaim("s", HOLDER, 1)
        self.view.apply_claim(claim)
        total = dict(heartbeat.work_by_server)
        for life in {
            life for one in self.view.heartbeats(now_ms, 2_000) for life in one.work_by_server
        }:
            total[life] = self.backlog.work_at(life, "s", now_ms)
        tokens_per_ms = self.backlog.prefill_rate.tokens_per_ms(None, now_ms)
        return attrs.evolve(
            heartbeat, claims=(claim,), overloaded_runners=overloaded_runners(total, tokens_per_ms)
        )


@attrs.define
class RunnerSimulation:
    """Entry nodes, runners that process the most urgent requests first, and counts of results.

    :param slowdown_by_life: how many times slower than normal a runner processes prompts.
    :param caller_left_by_life: requests whose callers left while they waited at a runner.
    :param processed: requests that got their first event.
    :param lost: requests that were sent and got no first event.
    :param cancelled: those of them that were cancelled before their caller left.
    :param decode_ms_per_token: time between two tokens of a stream; 0 if requests end with their
        first event and use no KV cache.
    :param checks_memory: whether nodes check the KV cache of runners.
    :param preempted: streams that broke off since their runner's cache was full.
    :param avoidable: those of them that would have fitted at another runner with the adapter.
    :param completed: streams that were generated to their end.
    :param max_memory_tokens: the largest use of a runner's cache.
    :param compares_paces: whether nodes compare the paces of runners.
    :param waits_for_room: whether requests that get no runner wait at the lease holder, which
        assigns runners by its own view and what it has granted, until they would be cancelled.
    :param waiting: those requests, oldest first.
    """

    placement: FixedPlacement
    node_count: int
    lives: tuple[ServerLife, ...]
    tokens_per_ms: float = TOKENS_PER_MS
    slowdown_by_life: dict[ServerLife, float] = attrs.Factory(dict)
    processed_by_life: Counter[ServerLife] = attrs.Factory(Counter)
    caller_left_by_life: Counter[ServerLife] = attrs.Factory(Counter)
    clock: ManualClock = attrs.Factory(lambda: ManualClock(100_000))
    rng: random.Random = attrs.Factory(lambda: random.Random(5))
    nodes: list[Node] = attrs.Factory(list)
    queues: dict[ServerLife, list[QueuedRequest]] = attrs.Factory(dict)
    sent: int = 0
    processed: int = 0
    lost: int = 0
    refused: int = 0
    cancelled: int = 0
    waits_ms: list[int] = attrs.Factory(list)
    decode_ms_per_token: float = 0.0
    checks_memory: bool = False
    streams: dict[ServerLife, list[QueuedRequest]] = attrs.Factory(dict)
    preempted: int = 0
    avoidable: int = 0
    completed: int = 0
    max_memory_tokens: float = 0.0
    waits_for_room: bool = False
    compares_paces: bool = True
    waiting: list[tuple[Node, Job, Shape]] = attrs.Factory(list)
    grants: MemoryGrants = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.grants = MemoryGrants(ENGINE.memory_tokens if self.checks_memory else 0)
        registry = ServerRegistry()
        for number, life in enumerate(self.lives, start=1):
            address = f"1.1.1.{number}:1"
            registry.put(BackendServer(life, "s", address, "dc", 96, models=(HeldModel("m"),)), 0)
            self.queues[life] = []
            self.streams[life] = []
        self.nodes = [self._node(f"n{i}", registry) for i in range(self.node_count)]
        for node in self.nodes:
            for other in self.nodes:
                node.view.add_record(other.card)

    def _node(self, name: str, registry: ServerRegistry) -> Node:
        view, in_flight = FleetView(name), InFlight()
        pace = RunnerPace() if self.compares_paces else None
        backlog = Backlog(in_flight, view, pace=pace)
        chooser = RunnerChooser(
            registry,
            backlog,
            HealthTracker(),
            UnlimitedServers(),
            self.placement,
            self.clock,
            self.rng,
            "dc",
            RunnerMemory(backlog, is_enabled=self.checks_memory),
        )
        card = NodeRecord(name, "b", "dc", "1.1.1.2:1", "1.1.1.2:2", "1.1.1.2:3")
        return Node(card, view, in_flight, backlog, chooser, HeartbeatRounds(name))

    def receive_request(
        self, node: Node, adapter: str, route: Route = ROUTE, shape: Shape = Shape()
    ) -> Chosen | NoServer:
        """Let a node receive a request and send it to a runner or refuse it."""
        now_ms = self.clock.now_ms()
        call = Call(
            "q",
            "h",
            "/a/",
            model="m",
            adapter=adapter,
            prompt_tokens=shape.prompt_tokens,
            max_output_tokens=shape.max_output_tokens,
            length_hint=shape.length_hint,
        )
        request = Request(b"POST", b"/a/", "1.1", [], b"", True, now_ms)
        deadline_ms = now_ms + route.timeout_ms
        job = Job(request, call, route, SERVICE, now_ms, deadline_ms, deadline_ms)
        if self.decode_ms_per_token:
            job.splitter = EventSplitter()
        chosen = node.chooser.choose(call, route, SERVICE, job, now_ms)
        if not isinstance(chosen, NoServer):
            self._send(node, job, chosen, shape)
        elif self.waits_for_room:
            self.waiting.append((node, job, shape))
        else:
            self.refused += 1
        return chosen

    def _send_waiting(self, now_ms: int) -> None:
        """Send the requests that wait at the lease holder for a runner, or refuse them."""
        if not self.waiting:
            return
        holder = self.nodes[0]
        work = sum_work(holder.view.work_by_server(now_ms), holder.in_flight.work_by_server)
        waiting, self.waiting = self.waiting, []
        for node, job, shape in waiting:
            chosen = self._grant(node, job, work, now_ms)
            if chosen is not None:
                self._send(node, job, chosen, shape)
            elif now_ms < job.cancel_at_ms():
                self.waiting.append((node, job, shape))
            else:
                self.refused += 1

    def _grant(
        self, node: Node, job: Job, work: dict[ServerLife, ServerWork], now_ms: int
    ) -> Chosen | None:
        """Return the least used runner with room and time for a request, and count the grant."""
        need_tokens = node.chooser.memory.slot_need_tokens(job)
        request = slot_request(job, need_tokens, now_ms)
        best: tuple[int, ServerLife, ServerWork] | None = None
        for life in self.placement.runners_with_adapter(job.call.adapter):
            at_runner = work.get(life) or ServerWork()
            if self.grants.has_room(
                request, life, at_runner, now_ms
            ) and request.can_prefill_in_time(at_runner, 0, now_ms):
                candidate = (at_runner.pending_prefill_tokens + 60 * at_runner.requests, life)
                if best is None or candidate < best[:2]:
                    best = (*candidate, at_runner)
        if best is None:
            return None
        _, life, at_runner = best
        self.grants.add(request, life, at_runner, now_ms)
        prompt_tokens, need_tokens = job.call.prompt_tokens, node.chooser.memory.need_tokens(job)
        queue = node.backlog.queue_ahead(life, job, now_ms)
        adapter = job.call.adapter
        return Chosen(life, "a", adapter, 1, prompt_tokens, need_tokens, None, "placed", queue)

    def _send(self, node: Node, job: Job, chosen: Chosen, shape: Shape) -> None:
        now_ms = self.clock.now_ms()
        self.sent += 1
        node.backlog.record_sent(chosen, now_ms)
        ticket = node.in_flight.begin(
            chosen.life,
            now_ms,
            chosen.adapter,
            chosen.prefill_tokens,
            chosen.memory_tokens,
            job.rank_at(now_ms),
        )
        self.queues[chosen.life].append(
            QueuedRequest(node, job, chosen, ticket, float(shape.prompt_tokens), shape)
        )

    def run(self, duration_ms: int, on_step: Callable[[int], None]) -> None:
        """Advance the time: nodes send heartbeats in rounds, runners process queues, callers leave.

        :param on_step: called with the time of each step, to let requests arrive.
        """
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            for number, node in enumerate(self.nodes):
                if (now_ms + number * 70) % HEARTBEAT_INTERVAL_MS < STEP_MS:
                    self._send_heartbeat(node, now_ms)
            self._send_waiting(now_ms)
            on_step(now_ms)
            for life in self.lives:
                self._process_queue(life, now_ms)
                self._generate(life, now_ms)

    def memory_tokens(self, life: ServerLife) -> float:
        """Return the KV cache in use at a runner."""
        held = [*self.queues[life], *self.streams[life]]
        return sum(request.memory_tokens() for request in held)

    def _generate(self, life: ServerLife, now_ms: int) -> None:
        """Let all streams of a runner go on; preempt as many as exceed its KV cache."""
        for request in list(self.streams[life]):
            output_tokens = request.shape.output_tokens
            generated = request.generated_tokens + STEP_MS / self.decode_ms_per_token
            request.generated_tokens = min(output_tokens, generated)
            request.job.splitter.event_count = int(request.generated_tokens)
            memory = request.node.chooser.memory
            memory.record_progress(request.job, request.ticket, request.node.in_flight)
            if generated >= output_tokens:
                self._end_stream(life, request, Passed(), now_ms)
                self.completed += 1
        while self.memory_tokens(life) > ENGINE.memory_tokens:
            # The newest of the least urgent ones, as runners do.
            newest = max(
                enumerate(self.streams[life]), key=lambda item: (item[1].job.priority, item[0])
            )[1]
            self._end_stream(life, newest, Cut("preempted"), now_ms)
            self.preempted += 1
            others = set(self.placement.runners_with_adapter(newest.chosen.adapter)) - {life}
            need = newest.shape.prompt_tokens + newest.shape.output_tokens
            self.avoidable += any(
                self.memory_tokens(other) + need <= ENGINE.memory_tokens for other in others
            )
        self.max_memory_tokens = max(self.max_memory_tokens, self.memory_tokens(life))

    def _end_stream(
        self, life: ServerLife, request: QueuedRequest, result: Passed | Cut, now_ms: int
    ) -> None:
        self.streams[life].remove(request)
        request.node.in_flight.end(request.ticket)
        took_ms = now_ms - request.ticket.sent_ms
        request.node.chooser.memory.record_result(request.job, result, took_ms)

    def _send_heartbeat(self, node: Node, now_ms: int) -> None:
        heartbeat = node.heartbeat(now_ms)
        peer_by_name = {other.card.name: other for other in self.nodes if other is not node}
        for name in node.rounds.next_peers(peer_by_name, {HOLDER}, node.card.name == HOLDER):
            peer_by_name[name].view.receive(heartbeat, now_ms)

    def _process_queue(self, life: ServerLife, now_ms: int) -> None:
        queue = self.queues[life]
        for request in list(queue):
            if now_ms >= request.job.cancel_at_ms():
                request.node.in_flight.end(request.ticket)
                queue.remove(request)
                self.cancelled += 1
                self.lost += 1
            elif now_ms >= request.job.request.arrived_ms + CALLER_LEAVES_MS:
                waited_ms = now_ms - request.ticket.sent_ms
                request.node.backlog.record_missing_first_event(request.chosen, waited_ms, now_ms)
                request.node.in_flight.end(request.ticket)
                queue.remove(request)
                self.lost += 1
                self.caller_left_by_life[life] += 1
        budget_tokens = self.tokens_per_ms * STEP_MS / self.slowdown_by_life.get(life, 1.0)
        free_tokens = ENGINE.memory_tokens - self.memory_tokens(life)
        for request in sorted(queue, key=lambda request: request.job.route.priority):
            if self.decode_ms_per_token and not request.memory_tokens():
                # A prefill begins once the whole prompt fits.
                if request.shape.prompt_tokens > free_tokens or budget_tokens <= 0:
                    continue
                free_tokens -= request.shape.prompt_tokens
            processed_tokens = min(budget_tokens, request.remaining_tokens)
            request.remaining_tokens -= processed_tokens
            budget_tokens -= processed_tokens
            if request.remaining_tokens <= 0:
                self._record_first_event(request, now_ms)
                queue.remove(request)

    def _record_first_event(self, request: QueuedRequest, now_ms: int) -> None:
        self.processed += 1
        self.processed_by_life[request.chosen.life] += 1
        self.waits_ms.append(now_ms - request.job.request.arrived_ms)
        request.node.backlog.record_first_event(
            request.chosen, now_ms - request.ticket.sent_ms, now_ms
        )
        if self.decode_ms_per_token:
            request.node.in_flight.record_first_event(request.ticket)
            self.streams[request.chosen.life].append(request)
        else:
            request.node.in_flight.end(request.ticket)
