"""Entry nodes that send generations to runners and hear of each other in rounds; virtual time."""

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
from monsoonflow.gateway.job import Job
from monsoonflow.gateway.models import Call, Chosen, NoServer
from monsoonflow.gateway.runner_chooser import RunnerChooser
from monsoonflow.routing.health import HealthTracker
from monsoonflow.routing.in_flight import InFlight, ServerWork, Ticket
from monsoonflow.routing.overload import overloaded_runners
from monsoonflow.routing.routes import EngineTraits, Route, RouteKind, Service, Target
from monsoonflow.transport.models import Request

HOLDER = "n0"
STEP_MS = 10
TOKENS_PER_MS = 19.2
PROMPT = 2_368
LEAVES_MS = 4_044
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
    first_event_timeout_ms=LEAVES_MS,
)


@attrs.define
class NoPlaces:
    """A placement that knows holders and finds no other place."""

    held: dict[str, dict[ServerLife, int]]
    asked: int = 0

    def runners_with_adapter(self, adapter: str) -> dict[ServerLife, int]:
        """Return who holds an adapter."""
        return self.held.get(adapter, {})

    def wanted_version(self, adapter: str) -> int | None:
        """Return that no version was named."""
        return None

    def request_slot(self, *_: object, **__: object) -> NoServer:
        """Refuse."""
        self.asked += 1
        return NoServer("no place", 500)

    def start_deadline_ms(self, adapter: str, version: int) -> int | None:
        """Return no bound."""
        return None


@attrs.define(eq=False)
class Sent:
    """A request at a runner."""

    node: Node
    job: Job
    chosen: Chosen
    ticket: Ticket
    left: float


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

    def report(self, now_ms: int) -> Heartbeat:
        """Return its word about itself, as it would arrive: a copy."""
        self.sequence += 1
        work = {}
        for life, at in self.in_flight.work_by_server.items():
            work[life] = ServerWork()
            work[life].add(at)
        report = Heartbeat(self.card, self.sequence, True, False, 1, True, work_by_server=work)
        return self._as_holder(report, now_ms) if self.card.name == HOLDER else report

    def _as_holder(self, report: Heartbeat, now_ms: int) -> Heartbeat:
        """Return a report with what the holder of the runners' duty tells beside."""
        claim = CellLeaseClaim("s", HOLDER, 1)
        self.view.apply_claim(claim)
        total = dict(report.work_by_server)
        for life in {
            life for r in self.view.heartbeats(now_ms, 2_000) for life in r.work_by_server
        }:
            total[life] = self.backlog.work_at(life, "s", now_ms)
        pace = self.backlog.prefill_rate.tokens_per_ms(None, now_ms)
        return attrs.evolve(
            report, claims=(claim,), overloaded_runners=overloaded_runners(total, pace)
        )


@attrs.define
class Crowd:
    """Nodes, runners that read the most urgent first, and what becomes of requests."""

    placement: NoPlaces
    node_count: int
    lives: tuple[ServerLife, ...]
    tokens_per_ms: float = TOKENS_PER_MS
    slow: dict[ServerLife, float] = attrs.Factory(dict)
    read_by_life: Counter[ServerLife] = attrs.Factory(Counter)
    lost_by_life: Counter[ServerLife] = attrs.Factory(Counter)
    clock: ManualClock = attrs.Factory(lambda: ManualClock(100_000))
    rng: random.Random = attrs.Factory(lambda: random.Random(5))
    nodes: list[Node] = attrs.Factory(list)
    queues: dict[ServerLife, list[Sent]] = attrs.Factory(dict)
    sent: int = 0
    read: int = 0
    lost: int = 0
    refused: int = 0
    taken_back: int = 0
    waits_ms: list[int] = attrs.Factory(list)

    def __attrs_post_init__(self) -> None:
        book = ServerRegistry()
        for number, life in enumerate(self.lives, start=1):
            address = f"1.1.1.{number}:1"
            book.put(BackendServer(life, "s", address, "dc", 96, models=(HeldModel("m"),)), 0)
            self.queues[life] = []
        self.nodes = [self._node(f"n{i}", book) for i in range(self.node_count)]
        for node in self.nodes:
            for other in self.nodes:
                node.view.add_record(other.card)

    def _node(self, name: str, book: ServerRegistry) -> Node:
        view, in_flight = FleetView(name), InFlight()
        backlog = Backlog(in_flight, view)
        chooser = RunnerChooser(
            book, backlog, HealthTracker(), self.placement, self.clock, self.rng, "dc"
        )
        card = NodeRecord(name, "b", "dc", "1.1.1.2:1", "1.1.1.2:2", "1.1.1.2:3")
        return Node(card, view, in_flight, backlog, chooser, HeartbeatRounds(name))

    def arrive(self, node: Node, adapter: str, route: Route = ROUTE) -> Chosen | NoServer:
        """Let one request come to a node."""
        now_ms = self.clock.now_ms()
        call = Call("q", "h", "/a/", model="m", adapter=adapter, prompt_tokens=PROMPT)
        request = Request(b"POST", b"/a/", "1.1", [], b"", True, now_ms)
        until_ms = now_ms + route.timeout_ms
        job = Job(request, call, route, SERVICE, now_ms, until_ms, until_ms)
        found = node.chooser.choose(call, route, SERVICE, job, now_ms)
        if isinstance(found, NoServer):
            self.refused += 1
            return found
        self.sent += 1
        node.backlog.record_sent(found, now_ms)
        ticket = node.in_flight.begin(
            found.life,
            now_ms,
            adapter,
            found.prefill_tokens,
            found.memory_tokens,
            job.rank_at(now_ms),
        )
        self.queues[found.life].append(Sent(node, job, found, ticket, float(PROMPT)))
        return found

    def run(self, for_ms: int, each_step: Callable[[int], None]) -> None:
        """Let time pass; nodes report in rounds, runners read, callers leave.

        :param each_step: called with the time, to let requests arrive.
        """
        end_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            for number, node in enumerate(self.nodes):
                if (now_ms + number * 70) % HEARTBEAT_INTERVAL_MS < STEP_MS:
                    self._tell(node, now_ms)
            each_step(now_ms)
            for life in self.lives:
                self._read(life, now_ms)

    def _tell(self, node: Node, now_ms: int) -> None:
        report = node.report(now_ms)
        by_name = {other.card.name: other for other in self.nodes if other is not node}
        for name in node.rounds.next_peers(by_name, {HOLDER}, node.card.name == HOLDER):
            by_name[name].view.receive(report, now_ms)

    def _read(self, life: ServerLife, now_ms: int) -> None:
        queue = self.queues[life]
        for waits in list(queue):
            if now_ms >= waits.job.cancel_at_ms():
                waits.node.in_flight.end(waits.ticket)
                queue.remove(waits)
                self.taken_back += 1
                self.lost += 1
            elif now_ms >= waits.job.request.arrived_ms + LEAVES_MS:
                waited_ms = now_ms - waits.ticket.sent_ms
                waits.node.backlog.record_missing_first_event(waits.chosen, waited_ms, now_ms)
                waits.node.in_flight.end(waits.ticket)
                queue.remove(waits)
                self.lost += 1
                self.lost_by_life[life] += 1
        budget = self.tokens_per_ms * STEP_MS / self.slow.get(life, 1.0)
        for waits in sorted(queue, key=lambda waits: waits.job.route.priority):
            taken = min(budget, waits.left)
            waits.left -= taken
            budget -= taken
            if waits.left <= 0:
                self._first_event(waits, now_ms)
                queue.remove(waits)

    def _first_event(self, waits: Sent, now_ms: int) -> None:
        self.read += 1
        self.read_by_life[waits.chosen.life] += 1
        self.waits_ms.append(now_ms - waits.job.request.arrived_ms)
        waits.node.backlog.record_first_event(waits.chosen, now_ms - waits.ticket.sent_ms, now_ms)
        waits.node.in_flight.end(waits.ticket)
