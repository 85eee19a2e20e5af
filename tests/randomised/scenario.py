"""One seeded run: nodes, engines, callers, operators and faults; and what must hold."""

from __future__ import annotations

import random

from monsoonflow.client import Client
from monsoonflow.configuration.models import Plan
from monsoonflow.configuration.planner import IntentError, PlanRequest, propose
from monsoonflow.core.outcome import tag
from monsoonflow.helpers import ids
from monsoonflow.node.assembly import assemble
from monsoonflow.node.context import Edges
from monsoonflow.node.settings import NodeSettings, load_settings
from monsoonflow.storage.retrying_table import RetryingTable
from script.fleet import bring_in_intent

from .engines import EngineClient, FakeEngine, Record
from .fakes import FakeObjects, FakeTable, FakeVms, TableClient, Weather
from .faults import Faults
from .judge import Asked, Judge
from .network import CallerTransport, ControlFake, Network, Process, RelayFake
from .virtual import VirtualTasks, World

ENGINES = 4
NODES = 5
ADAPTERS = 12
CUSTOMERS = ("ledger", "harbor")
QUIET_MS = 45_000
DEADLINE_MS = 20_000


class Scenario(Faults, Judge):
    """Runs one seed."""

    def __init__(
        self, seed: int, busy_ms: int = 40_000, requests: int = 160, intensity: float = 1.0
    ) -> None:
        self.seed = seed
        self.intensity = intensity
        self.busy_ms = busy_ms
        self.requests = requests
        self.rng = random.Random(seed)
        id_rng = random.Random(seed + 1)
        ids.use_source(lambda count: id_rng.randbytes(count).hex())
        self.world = World()
        self.weather = Weather(random.Random(seed + 2))
        self.network = Network(self.world, self.weather)
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.vms = FakeVms()
        self.record = Record()
        self.engine_by_address = {
            f"engine-{number}": FakeEngine(
                self.world, self.weather, f"engine-{number}", number % 2 == 0, self.record
            )
            for number in range(ENGINES)
        }
        self.processes: dict[str, Process] = {}
        self.asked: list[Asked] = []
        self.accepted: list[str] = []
        self.versions: dict[str, int] = {}
        self.outside = VirtualTasks(self.world)
        self.faults_on = True

    # Running

    def run(self) -> list[str]:
        """Run the seed and return every broken promise."""
        for number in range(NODES):
            self.start_node(f"node-{number}")
        self.outside.spawn(self._configure)
        self.world.run(8_000)
        self.outside.spawn(self._traffic, self.requests)
        for fault in self._faults():
            self.outside.spawn(self._repeat, fault)
        self.outside.spawn(self._operators)
        self.world.run(8_000 + self.busy_ms)
        self._heal()
        self.world.run(8_000 + self.busy_ms + QUIET_MS)
        before = len(self.asked)
        self.outside.spawn(self._traffic, 20)
        self.world.run(8_000 + self.busy_ms + 2 * QUIET_MS)
        return self._judge(before)

    def start_node(self, name: str) -> Process:
        """Start a node process, under a new address."""
        tasks = VirtualTasks(self.world)
        process = Process(name, tasks)
        address = f"10.0.{len(self.network.process_by_address)}.1"
        settings = node_settings(name, address)
        table = TableClient(self.world, self.weather, tasks, self.table, name)
        edges = Edges(
            table=RetryingTable(table, tasks),
            objects=self.objects,
            vms=self.vms,
            control=ControlFake(self.network, tasks, name),
            relay=RelayFake(self.network, tasks, name),
            open_engine=lambda address: EngineClient(
                self.world, self.weather, tasks, self.engine_by_address[address], name
            ),
        )
        rng = random.Random(self.rng.random())
        process.node = assemble(settings, self.world, tasks, edges, rng)
        self.processes[name] = process
        self.network.process_by_address[settings["http"]] = process
        self.network.process_by_address[settings["rpc"]] = process
        tasks.spawn(self._boot, process)
        return process

    def _boot(self, process: Process) -> None:
        process.node.config_loop.load()
        for loop in process.node.loops:
            process.tasks.spawn(loop)
        process.tasks.spawn(self._watch_version, process)

    def _watch_version(self, process: Process) -> None:
        """Assert from outside that a node's configuration never goes back."""
        seen = 0
        while True:
            version = process.node.context.config.version
            if version < seen:
                self.record.violations.append(f"{process.name} went from {seen} to {version}")
            seen = version
            process.tasks.sleep(200)

    def _configure(self) -> None:
        for address, engine in self.engine_by_address.items():
            runner = {
                "runner_id": address,
                "address": address,
                "base_model": "base-1",
                "data_centre": "dc-1",
                "checks_fencing": engine.checks_fencing,
                "draining": False,
            }
            self._apply_surely({"kind": "put_runner", "runner": runner})
        for customer in CUSTOMERS:
            self._apply_surely(bring_in_intent(customer, ADAPTERS // 2))

    def _apply_surely(self, intent: dict) -> None:
        while not self._apply("node-0", intent):
            self.outside.sleep(300)

    def _apply(self, name: str, intent: dict) -> bool:
        """Propose and confirm in the node's own process; tell whether it was accepted."""
        process = self.processes[name]
        done = self.outside.flag()
        result: list[bool] = []

        def work() -> None:
            result.append(self._propose_and_confirm(process, intent))
            done.set()

        process.tasks.deliver(lambda: process.tasks.spawn(work))
        done.wait(20_000)
        return bool(result and result[0])

    def _propose_and_confirm(self, process: Process, intent: dict) -> bool:
        config_loop, context = process.node.config_loop, process.node.context
        config_loop.read()
        request = PlanRequest(ids.new_id("p"), "operator", 1, 3.0)
        plan = propose(intent, context.config, request)
        if isinstance(plan, IntentError):
            return False
        if not config_loop.store.save_plan(plan, ids.new_id("op")):
            return False
        confirmed = config_loop.store.confirm(plan.plan_id, ids.new_id("op"), 1)
        if not isinstance(confirmed, Plan):
            self.weather.count("plans refused")
            return False
        self.accepted.append(plan.plan_id)
        config_loop.read()
        return True

    # Callers and operators

    def _traffic(self, count: int) -> None:
        for _ in range(count):
            number = len(self.asked)
            customer = self.rng.choice(CUSTOMERS)
            adapter = min(int(self.rng.paretovariate(0.8)) - 1, ADAPTERS // 2 - 1)
            model = f"{customer}-{adapter}" + self.rng.choice(("", "@1", "@2"))
            tokens = self.rng.choice((3, 10, 60, 200))
            asked = Asked(model, f"prompt-{number}", tokens, self.rng.random() < 0.5)
            self.asked.append(asked)
            self.outside.spawn(self._ask, asked, customer)
            self.outside.sleep(self.rng.expovariate(1 / (self.busy_ms / self.requests)))

    def _ask(self, asked: Asked, customer: str) -> None:
        addresses = [
            process.node.context.me.http
            for process in self.processes.values()
            if not process.tasks.dead
        ]
        self.rng.shuffle(addresses)
        transport = CallerTransport(self.network, self.outside, customer)
        client = Client(addresses, "", self.world, transport)
        asked.reply = client.complete(
            asked.model, asked.prompt, asked.tokens, asked.repeatable, deadline_ms=DEADLINE_MS
        )
        self.weather.count(f"outcome {tag(asked.reply.outcome)}")
        served = f" on {asked.reply.model}" if asked.reply.model else ""
        self.weather.note(f"caller: {asked.prompt!r} is {tag(asked.reply.outcome)}{served}")

    def _operators(self) -> None:
        """Two operators race with moves of the same adapters."""
        while self.faults_on:
            for _ in range(2):
                customer = self.rng.choice(CUSTOMERS)
                intent = {
                    "kind": "move_version",
                    "adapter": f"{customer}-{self.rng.randrange(ADAPTERS // 2)}",
                    "version": self.rng.choice((1, 2)),
                    "close_previous": False,
                }
                name = self.rng.choice(sorted(self.processes))
                self.outside.spawn(self._apply, name, intent)
            self.outside.sleep(self.rng.uniform(1_000, 4_000))


def node_settings(name: str, address: str) -> NodeSettings:
    """Return a node's settings for a run."""
    settings = load_settings(
        {
            "node": name,
            "data-centre": "dc-1",
            "http": f"{address}:80",
            "rpc": f"{address}:81",
            "table": "http://table",
            "objects": "http://objects",
            "vms": "http://vms",
            "loads-per-second": "6",
            "operator-token": "operator-token-0123456789",
            "node-token": "node-token-0123456789abcd",
            "poll-ms": "400",
            "heartbeat-ms": "300",
            "lease-ms": "3000",
            "lease-margin-ms": "500",
            "max-outage-ms": "12000",
            "silence-ms": "3000",
            "report-lag-ms": "600",
            "address-ttl-ms": "3000",
        },
        {},
    )
    assert isinstance(settings, NodeSettings), settings
    return settings
