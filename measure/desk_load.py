"""A holder of a duty under load, in one process: its desk, its view and the question path are real.

The other nodes, the runners and the store are stand-ins: nodes report and ask as they do on the
wire, runners take orders after a round trip.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Final

import attrs
import gevent
import orjson

from monsoonflow.core.clock import Clock, MonotonicClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer
from monsoonflow.discovery.registry import ServerRegistry
from monsoonflow.entry.cell_leases import CellLease, CellLeases
from monsoonflow.entry.settings import PeerBounds
from monsoonflow.fleet import codec
from monsoonflow.fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.gateway.backlog import Backlog
from monsoonflow.helpers.gevent_tasks import GeventTasks
from monsoonflow.orders.models import Order, OrderResult, RunnerReport
from monsoonflow.placement.fair_share import FairShares
from monsoonflow.placement.slots import OrderStep
from monsoonflow.routing.in_flight import InFlight
from monsoonflow.routing.routes import EngineTraits, Service
from tests.placement.conftest import MODEL, TRAITS, FakeRunner

CELL: Final = "llm"
HOLDER: Final = "n0"
ROUND_TRIP_MS: Final = 3
"""Time from an order to its answer."""

TOLD_AFTER_MS: Final = 15
"""How long a node's news for the holder waits for more of it."""

STORE_LIMIT: Final = 48
"""Loads that the stand-in weight store carries at full speed."""

HEAD: Final = 20
HEAD_SHARE: Final = 0.3
"""A few adapters get this share of all questions; the rest is spread over all others."""

PATIENCE_MS: Final = (1_000, 4_000)
ON_TIME_MS: Final = 700
USE_MS: Final = (400, 1_600)
PROMPT_TOKENS: Final = (100, 4_000)


@attrs.frozen(slots=True)
class Size:
    """How large the fleet is and what is asked of its holder.

    :param questions: a second.
    """

    nodes: int
    runners: int
    places: int = 5
    questions: int = 300
    adapters: int = 10_000


class _Runners:
    """The way to stand-in runners."""

    def __init__(self, clock: Clock, runners: dict[ServerLife, FakeRunner]) -> None:
        self._clock = clock
        self._runners = runners

    def fetch_report(self, life: ServerLife, address: str) -> RunnerReport:
        gevent.sleep(ROUND_TRIP_MS / 1000)
        runner = self._runners[life]
        runner.settle(self._clock.now_ms())
        return runner.report()

    def send_order(self, life: ServerLife, address: str, order: Order) -> OrderResult:
        gevent.sleep(ROUND_TRIP_MS / 1000)
        step = OrderStep(life, order.operation, order.name, order.version, order.sequence)
        return self._runners[life].order(step, self._clock.now_ms())

    def close_connections(self, address: str) -> None:
        """Runners keep no connections here."""


class _HeldDuty:
    """The loop of a duty that stays this node's."""

    def __init__(self) -> None:
        self.held_lease = SimpleNamespace(row=SimpleNamespace(epoch=1, learned_loads=None))
        self.loaded = self.store_reachable = True

    def holds(self, now_ms: int) -> bool:
        return True

    def current_claim(self) -> None:
        return None

    def step(self) -> None:
        """Nothing is to be renewed."""


class _HoldersDuties(CellLeases):
    """The duties of a node that holds all of them from the start."""

    def _create_lease_loop(self, cell: str) -> Any:
        return _HeldDuty()


class _OpenPaths:
    """Paths to services that are never lost."""

    def lost_for_ms(self, service: str) -> None:
        return None

    def record_response(self, service: str) -> None:
        """Runners respond."""

    def record_unreachable(self, service: str) -> None:
        """Runners are reachable."""


class _Tasks(GeventTasks):
    """Tasks that can be ended together."""

    def __init__(self) -> None:
        self.started: list[gevent.Greenlet] = []

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> gevent.Greenlet:
        task = super().spawn(function, *arguments)
        self.started.append(task)
        return task


class _Metric:
    """Counts nothing."""

    def labels(self, *_: str) -> _Metric:
        return self

    def inc(self) -> None:
        """Count nothing."""

    def observe(self, _: float) -> None:
        """Count nothing."""


class _Reply:
    """Keeps an answer for the node that asked."""

    status = 0
    body = b""

    def has_caller_left(self) -> bool:
        return False

    def send_whole(self, status: int, headers: list, body: bytes = b"") -> None:
        self.status, self.body = status, body


@attrs.define(eq=False)
class Asker:
    """A node beside the holder: it asks, uses what it got, and reports.

    :param deliver: takes a report's bytes to the holder.
    """

    card: NodeRecord
    deliver: Callable[[bytes], None]
    sequence: int = 0
    telling: bool = False
    in_flight: InFlight = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Tell the holder soon when an adapter begins or ends to be in use."""
        self.in_flight = InFlight(self._tell_soon)

    def report(self) -> Heartbeat:
        """Return its word about itself."""
        self.sequence += 1
        work = self.in_flight.work_by_server
        return Heartbeat(self.card, self.sequence, True, False, 1, True, work)

    def tell(self) -> None:
        """Report to the holder."""
        self.deliver(codec.encode_heartbeat(self.report()))

    def tell_for_good(self, after_s: float) -> None:
        """Report in each round."""
        gevent.sleep(after_s)
        while True:
            self.tell()
            gevent.sleep(HEARTBEAT_INTERVAL_MS / 1000)

    def _tell_soon(self) -> None:
        if not self.telling:
            self.telling = True
            gevent.spawn_later(TOLD_AFTER_MS / 1000, self._tell)

    def _tell(self) -> None:
        self.telling = False
        self.tell()


class HolderLoad:
    """A holder with its fleet; ``clock`` may be a manual one where nothing is to run by itself."""

    def __init__(self, size: Size, seed: int = 1, clock: Clock | None = None) -> None:
        self.size = size
        self.rng = random.Random(seed)
        self.clock: Clock = clock or MonotonicClock()
        self.view = FleetView(HOLDER)
        self.in_flight = InFlight()
        at_store: list[int] = []
        self.runners = {
            life: FakeRunner(life, size.places, shared_store=STORE_LIMIT, in_progress=at_store)
            for life in (ServerLife(f"i-{number:08x}") for number in range(size.runners))
        }
        self._daemon = self._stand_in_daemon()
        self.duties = _HoldersDuties(self._daemon, _Runners(self.clock, self.runners))
        self.askers = [Asker(_card(f"n{i}"), self.deliver) for i in range(1, size.nodes)]
        self.placed = self.refused = self.unanswered = 0
        self.asked = 0
        self.wait_ms = 0

    def start(self) -> None:
        """Let the nodes report and the holder plan."""
        self.duties.start()
        for asker in self.askers:
            after_s = self.rng.uniform(0, HEARTBEAT_INTERVAL_MS / 1000)
            self._daemon.tasks.spawn(asker.tell_for_good, after_s)

    def stop(self) -> None:
        """End all that was started."""
        gevent.killall(self._daemon.tasks.started)

    def ask_for(self, for_s: float) -> None:
        """Let questions come at random for a while."""
        began_ms = self.clock.now_ms()
        due_ms = 0.0
        while due_ms < for_s * 1000:
            due_ms += self.rng.expovariate(self.size.questions / 1000)
            gevent.sleep(max(0.0, began_ms + due_ms - self.clock.now_ms()) / 1000)
            self._daemon.tasks.spawn(self.ask, self.rng.choice(self.askers), self.adapter())

    def adapter(self) -> str:
        """Return an adapter by how popular it is."""
        among = HEAD if self.rng.random() < HEAD_SHARE else self.size.adapters
        return f"{MODEL}/a{self.rng.randrange(among)}"

    def ask(self, asker: Asker, adapter: str) -> None:
        """Ask the holder for a place, and use it."""
        began_ms = self.clock.now_ms()
        reply = _Reply()
        body = orjson.dumps(self.question(adapter))
        self.asked += 1
        self.duties.answer_slot_request(SimpleNamespace(body=body), reply)
        self.wait_ms += self.clock.now_ms() - began_ms
        self.placed += reply.status == 200
        self.refused += reply.status == 429
        self.unanswered += reply.status not in (200, 429)
        if reply.status == 200:
            self.use(asker, ServerLife(orjson.loads(reply.body)["server"]), adapter)

    def question(self, adapter: str) -> dict[str, Any]:
        """Return what a node asks."""
        return {
            "cell": CELL,
            "adapter": adapter,
            "version": 1,
            "priority": self.rng.randrange(3),
            "wait_ms": self.rng.randint(*PATIENCE_MS),
            "on_time_ms": ON_TIME_MS,
            "avoid": [],
            "session": f"{self.rng.getrandbits(32):08x}",
            "lacking": [],
            "waited_ms": 0,
            "tried_ms": 0,
        }

    def use(self, asker: Asker, life: ServerLife, adapter: str) -> None:
        """Let a request run at a runner for a while."""
        tokens = self.rng.randint(*PROMPT_TOKENS)
        ticket = asker.in_flight.begin(life, self.clock.now_ms(), adapter, tokens, tokens)
        use_s = self.rng.uniform(*USE_MS) / 1000
        gevent.spawn_later(use_s / 2, asker.in_flight.record_first_event, ticket)
        gevent.spawn_later(use_s, asker.in_flight.end, ticket)

    def deliver(self, data: bytes) -> None:
        """Take a report as the holder does."""
        report = codec.decode(data)
        if report is not None:
            self.view.receive(report, self.clock.now_ms())

    def holders_report(self) -> bytes:
        """Return the bytes of the holder's own report."""
        residency = self.duties.own_residency()
        work = self.in_flight.work_by_server
        report = Heartbeat(_card(HOLDER), 1, True, False, 1, True, work, residency=residency)
        return codec.encode_heartbeat(report)

    @property
    def duty(self) -> CellLease:
        """Return the duty that is held."""
        return self.duties.lease_of(CELL)

    def _stand_in_daemon(self) -> Any:
        traits: EngineTraits = attrs.evolve(TRAITS, adapter_slots=self.size.places)
        book = ServerRegistry()
        now_ms = self.clock.now_ms()
        for port, life in enumerate(self.runners, 8_000):
            book.put(BackendServer(life, CELL, f"10.0.0.1:{port}", "dc"), now_ms)
        service = Service(CELL, engine=traits)
        return SimpleNamespace(
            clock=self.clock,
            tasks=_Tasks(),
            view=self.view,
            in_flight=self.in_flight,
            backlog=Backlog(self.in_flight, self.view),
            service_paths=_OpenPaths(),
            cluster_state=SimpleNamespace(
                server_registry=book,
                version_by_adapter={},
                has_been_superseded_for=lambda ref, longer_than_ms: False,
                route_table=SimpleNamespace(service_by_name={CELL: service}),
            ),
            settings=SimpleNamespace(name=HOLDER, bounds=PeerBounds()),
            store_watches=None,
            gossip=SimpleNamespace(send_round=lambda: None),
            customer_shares=SimpleNamespace(fair_shares=FairShares()),
            metrics=SimpleNamespace(
                orders=_Metric(),
                order_time=_Metric(),
                count_slot_refusal=lambda *_: None,
                count_slot_drain=lambda: None,
            ),
        )


def _card(name: str) -> NodeRecord:
    return NodeRecord(name, f"b-{name}", "dc", *["10.1.0.38:8149"] * 3)
