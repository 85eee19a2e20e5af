"""A fleet of nodes in virtual time that keep and look up the software versions of streams."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs
import orjson

from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer
from monsoonflow.discovery.registry import ServerRegistry
from monsoonflow.entry.software_versions import STREAM_LIFE_MS, SoftwareVersions
from monsoonflow.entry.stream_versions import FleetStreamVersions
from monsoonflow.entry.version_records import VersionRecords
from monsoonflow.fleet import codec
from monsoonflow.fleet.models import BegunStreams, Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.gateway.models import AnyVersion, KnownVersion, UnknownVersion
from monsoonflow.storage.coverage import Coverage
from monsoonflow.storage.models import (
    ChangedRow,
    CommitResult,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
)
from tests.randomised.virtual import VirtualTasks, World

SERVICE = "llm"
NETWORK_MS = 2
STORE_MS = 5
POLL_MS = 800
MAX_GAP_MS = 2_000
HEARTBEAT_MS = 200
MAINTENANCE_MS = 500
STORE_CLOCK_OFFSET_MS = 5_000_000
START_MS = 100_000
TIMEOUT_MS = 1_000


@attrs.define
class Store:
    """The store: listed servers and the rows of the nodes."""

    servers: dict[str, str] = attrs.Factory(dict)
    rows: dict[str, Row] = attrs.Factory(dict)
    version: int = 0
    writes: int = 0
    reads: int = 0


@attrs.define
class StoreClient:
    """One node's client of the store."""

    node: Node
    fleet: StreamFleet

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row."""
        self.fleet.store.reads += 1
        self.node.tasks.sleep(STORE_MS)
        if not self.node.reaches_store:
            self.node.tasks.sleep(1_500)
            return Unavailable("no answer")
        return self.fleet.store.rows.get(key)

    def era(self) -> int:
        """Return that the store loses no rows."""
        return 0

    def commit(self, transaction: Transaction) -> CommitResult:
        """Write rows if their versions are still the expected ones."""
        store = self.fleet.store
        self.node.tasks.sleep(STORE_MS)
        if not self.node.reaches_store:
            return Unavailable("no answer")
        for key, expected in transaction.conditions.items():
            row = store.rows.get(key)
            if (row.version if row is not None else 0) != expected:
                return Conflict()
        store.version += 1
        store.writes += 1
        for key, value in transaction.puts.items():
            store.rows[key] = Row(key, store.version, {**value, "op": transaction.operation_id})
        return Committed(store.version)


class Node:
    """One run of a node's process."""

    def __init__(self, fleet: StreamFleet, name: str, is_first_start: bool, keeps: bool) -> None:
        self.fleet = fleet
        self.name = name
        self.keeps = keeps
        self.world = fleet.world
        self.tasks = VirtualTasks(self.world)
        self.view = FleetView(name)
        self.registry = ServerRegistry()
        self.server_coverage = Coverage(MAX_GAP_MS)
        self.own_coverage = Coverage(MAX_GAP_MS)
        self.reaches_store = True
        self.polls_servers = True
        self.sequence = 0
        self.boot = f"b{next(fleet.boots)}"
        self.found: list[str] = []
        address = f"{name}:1"
        self.record = NodeRecord(name, self.boot, "z", address, address, address)
        self.versions = SoftwareVersions(
            self.registry,
            self.world,
            lambda: self.server_coverage,
            lambda: not self.polls_servers,
            is_first_start,
        )
        self.records = VersionRecords(
            self.versions,
            StoreClient(self, fleet),
            self.tasks,
            self.world,
            lambda: self.server_coverage,
            lambda: self.own_coverage,
            lambda: (SERVICE,) if fleet.holder() is self else (),
        )
        self.streams = FleetStreamVersions(
            self.view,
            self.world,
            self.tasks,
            self.versions,
            self.records,
            self,
            lambda: self.tasks.spawn(self.poll_store),
            self.found.append,
        )
        for loop, interval_ms in (
            (self.beat, HEARTBEAT_MS),
            (self.poll, POLL_MS),
            (self.streams.maintain, MAINTENANCE_MS),
        ):
            self.tasks.spawn(self._repeat, loop, interval_ms)

    def _repeat(self, step: Callable[[], None], interval_ms: int) -> None:
        while True:
            step()
            self.tasks.sleep(interval_ms)

    def beat(self) -> None:
        """Send a heartbeat to all peers."""
        self.sequence += 1
        heartbeat = Heartbeat(
            self.record,
            self.sequence,
            True,
            False,
            1,
            self.reaches_store,
            keeps_stream_versions=self.keeps,
        )
        for peer in self.fleet.reachable(self):
            peer.view.receive(heartbeat, self.world.now_ms())

    def poll(self) -> None:
        """Read the store, unless this node leaves that to its peers."""
        if self.polls_servers or self.server_coverage.first_ms is None:
            self.poll_store()

    def poll_store(self) -> None:
        """Read the listed servers and the rows of the nodes."""
        if not self.reaches_store:
            return
        now_ms = self.world.now_ms()
        listed = self.fleet.store.servers
        for server_id, version in listed.items():
            life = ServerLife(server_id)
            address = f"10.0.0.{int(server_id[2:])}:1"
            server = BackendServer(life, SERVICE, address, "z", software_version=version)
            self.registry.put(server, now_ms)
            self.versions.record_server_row(server_id)
        for life in list(self.registry.server_by_life):
            if life.server_id not in listed:
                self.registry.remove(life.server_id, now_ms)
        for coverage in (self.server_coverage, self.own_coverage):
            coverage.record_answer(now_ms)
            coverage.record_service_clock(now_ms + STORE_CLOCK_OFFSET_MS, now_ms)
        for key, row in self.fleet.store.rows.items():
            self.records.apply_row(ChangedRow(key, row.version, orjson.dumps(row.value)))

    def tell(self, address: str, begun: BegunStreams) -> None:
        """Send a datagram, which may be lost."""
        data = codec.encode_begun_streams(begun)
        self.fleet.datagrams += 1
        self.fleet.datagram_bytes += len(data)
        peer = self.fleet.peer_at(self, address)
        if peer is None or self.fleet.rng.random() < self.fleet.lost_share:
            return
        self.world.later(NETWORK_MS, lambda: peer.tasks.deliver(lambda: peer.receive(data)))

    def receive(self, data: bytes) -> None:
        """Receive a datagram; a node of an earlier release can't read it."""
        begun = codec.decode(data)
        if self.keeps:
            self.streams.handle_begun(begun)

    def ask(self, address: str, body: bytes, timeout_ms: int) -> bytes | None:
        """Call a peer."""
        self.fleet.questions += 1
        name = address.partition(":")[0]
        peer = self.fleet.peer_at(self, address)
        if peer is None and self.fleet.node_by_name[name].tasks.dead:
            self.tasks.sleep(NETWORK_MS)
            return None
        if peer is None:
            self.tasks.sleep(timeout_ms)
            return None
        self.tasks.sleep(2 * NETWORK_MS + self.fleet.delay_ms_by_name.get(name, 0))
        return peer.streams.answer_question(body) if peer.keeps else None

    def begin(self, request_id: str, version: str) -> None:
        """Receive the first event of a stream."""
        self.streams.record_begun(SERVICE, request_id, version)

    def find(
        self, request_id: str, timeout_ms: int = TIMEOUT_MS
    ) -> KnownVersion | AnyVersion | UnknownVersion:
        """Look up a stream, and let the time pass that this takes."""
        results: list[Any] = []

        def search() -> None:
            results.append(self.streams.find(SERVICE, request_id, timeout_ms))

        self.tasks.spawn(search)
        started_ms = self.world.now_ms()
        while not results and self.world.now_ms() - started_ms < 10 * TIMEOUT_MS:
            self.world.run(self.world.now_ms() + 1)
        self.fleet.longest_search_ms = max(
            self.fleet.longest_search_ms, self.world.now_ms() - started_ms
        )
        return results[0]


class StreamFleet:
    """Nodes and a store."""

    def __init__(self, count: int, is_first_start: bool = True, seed: int = 1) -> None:
        self.world = World()
        self.world.run(START_MS)
        self.rng = random.Random(seed)
        self.store = Store()
        self.boots = itertools.count()
        self.node_by_name: dict[str, Node] = {}
        self.cut_off: set[str] = set()
        self.lost_share = 0.0
        self.delay_ms_by_name: dict[str, int] = {}
        self.datagrams = 0
        self.datagram_bytes = 0
        self.questions = 0
        self.longest_search_ms = 0
        self.servers = itertools.count(1)
        self.set_versions("v1", "v1")
        for number in range(count):
            self.start(f"n{number}", is_first_start)

    def __getitem__(self, index: int) -> Node:
        return self.node_by_name[f"n{index}"]

    def start(self, name: str, is_first_start: bool = False, keeps: bool = True) -> Node:
        """Start a node's process."""
        self.node_by_name[name] = Node(self, name, is_first_start, keeps)
        return self.node_by_name[name]

    def run(self, by_ms: int) -> None:
        """Let a time pass."""
        self.world.run(self.world.now_ms() + by_ms)

    def kill(self, *nodes: Node) -> None:
        """Kill processes; what they know is gone."""
        for node in nodes:
            node.tasks.kill()

    def restart_all(self) -> None:
        """Kill all processes at the same moment and start them again."""
        names = list(self.node_by_name)
        self.kill(*self.node_by_name.values())
        self.run(300)
        for name in names:
            self.start(name)

    def set_versions(self, *versions: str) -> None:
        """Replace all listed servers."""
        self.store.servers = {f"i-{next(self.servers)}": version for version in versions}

    def add_server(self, version: str) -> str:
        """List one more server."""
        server_id = f"i-{next(self.servers)}"
        self.store.servers[server_id] = version
        return server_id

    def live(self) -> list[Node]:
        """Return the nodes that run."""
        return [node for node in self.node_by_name.values() if not node.tasks.dead]

    def holder(self) -> Node | None:
        """Return the node that holds the lease of the cell."""
        return next((node for node in self.live() if node.reaches_store), None)

    def reachable(self, node: Node) -> list[Node]:
        """Return the running peers to which a node has a path."""
        side = node.name in self.cut_off
        return [
            peer for peer in self.live() if peer is not node and (peer.name in self.cut_off) == side
        ]

    def peer_at(self, node: Node, address: str) -> Node | None:
        """Return the running peer at an address, if there is a path to it."""
        peer = self.node_by_name[address.partition(":")[0]]
        return peer if peer in self.reachable(node) else None


LIFE_MS = STREAM_LIFE_MS
