"""Nodes in virtual time before a store that falls silent: what is asked then gets no answer."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs
import orjson

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.server_life import ServerLife
from monsoonflow.entry.cluster_state import ClusterState
from monsoonflow.entry.daemon import MAINTENANCE_INTERVAL_MS
from monsoonflow.entry.store_follower import (
    NODE_RECORD_PREFIX,
    StoreFollower,
    StoreWatches,
    encode_node_record,
)
from monsoonflow.fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS, HeartbeatRounds
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.platform.outside import RowDecoders
from monsoonflow.storage.models import ChangedRow, Changes, Unavailable
from tests.entry.conftest import CONFIG, MODEL
from tests.randomised.virtual import VirtualFlag, VirtualTasks, World

SERVERS = RowDecoders.server_collection
OPERATOR = RowDecoders.operator_collection
OWN = RowDecoders.own_collection
ADAPTER = f"{MODEL}/a1"
ANSWER_MS = 4
BEAT_MS = 1_000
"""How often a server writes its entry."""

LOST = 0.02
"""Share of reports between nodes that are lost."""


@attrs.define
class Waiting:
    """A question that waits for a change."""

    collection: str
    after: int
    answer: Callable[[Changes], None]


class Store:
    """The rows of all collections; while it is silent it takes nothing and answers nothing.

    :param forgets: questions that wait when it falls silent are never answered; else they are
        answered after the silence.
    """

    def __init__(self, world: World, forgets: bool) -> None:
        self.world = world
        self.forgets = forgets
        self.silent = False
        self.slow_ms = ANSWER_MS
        self.loses = 0
        self.version = 1
        self.calls = 0
        self._rows: dict[tuple[str, str], ChangedRow] = {}
        self._waiting: list[Waiting] = []

    def put(self, collection: str, key: str, value: dict[str, Any]) -> bool:
        """Write a row; return whether that is confirmed."""
        return self._change(collection, key, orjson.dumps(value))

    def remove(self, collection: str, key: str) -> bool:
        """Remove a row; return whether that is confirmed."""
        return self._change(collection, key, None)

    def _change(self, collection: str, key: str, body: bytes | None) -> bool:
        if self.silent:
            return False
        self.version += 1
        self._rows[collection, key] = ChangedRow(key, self.version, body)
        for waiting in [w for w in self._waiting if w.collection == collection]:
            self._waiting.remove(waiting)
            self._answer(waiting)
        return True

    def fall_silent(self, for_ms: int) -> None:
        """Answer nobody for a time."""
        self.silent = True
        if self.forgets:
            self._waiting.clear()
        self.world.later(for_ms, self._speak)

    def _speak(self) -> None:
        self.silent = False

    def rows(self, collection: str, after: int = 0) -> Changes:
        """Return the rows of a collection that changed after a version."""
        found = [row for (of, _), row in self._rows.items() if of == collection]
        rows = sorted((row for row in found if row.version > after), key=lambda row: row.version)
        return Changes(tuple(rows), self.version)

    def ask(self, collection: str, after: int, wait_ms: int, answer: Callable) -> None:
        """Take a question."""
        self.calls += 1
        if self.silent:
            return
        if self.loses and collection == SERVERS:
            self.loses -= 1
            return
        waiting = Waiting(collection, after, answer)
        if wait_ms <= 0 or self.rows(collection, after).rows:
            self._answer(waiting)
            return
        self._waiting.append(waiting)
        self.world.later(wait_ms, lambda: self._waited(waiting))

    def _waited(self, waiting: Waiting) -> None:
        if waiting in self._waiting and not self.silent:
            self._waiting.remove(waiting)
            self._answer(waiting)

    def _answer(self, waiting: Waiting) -> None:
        result = self.rows(waiting.collection, waiting.after)
        self.world.later(self.slow_ms, lambda: waiting.answer(result))


class Feed:
    """One watch's way to the store; a question without an answer in time is given up."""

    def __init__(self, store: Store, tasks: VirtualTasks) -> None:
        self._store = store
        self._tasks = tasks
        self._asked: VirtualFlag | None = None

    def read_all(self, collection: str) -> Changes | Unavailable:
        """Return all rows."""
        return self._ask(collection, 0, 0, 1_500)

    def changes(
        self, collection: str, after: int, wait_ms: int, answer_ms: int = 1_500
    ) -> Changes | Unavailable:
        """Return what changed, as soon as there is something."""
        return self._ask(collection, after, wait_ms, wait_ms + answer_ms)

    def hang_up(self) -> None:
        """Give the question in progress up."""
        if self._asked is not None:
            self._asked.set()

    def _ask(self, collection: str, after: int, wait_ms: int, within_ms: int) -> Any:
        answered, box = self._tasks.flag(), []

        def answer(result: Changes) -> None:
            box.append(result)
            answered.set()

        self._asked = answered
        self._store.ask(collection, after, wait_ms, answer)
        answered.wait(within_ms)
        self._asked = None
        return box[0] if box else Unavailable("no answer")


@attrs.define(eq=False)
class Node:
    """A node that follows the store and tells the others."""

    card: NodeRecord
    tasks: VirtualTasks
    beliefs: ClusterState
    view: FleetView
    rounds: HeartbeatRounds
    followed: StoreWatches | None = None
    following: StoreFollower | None = None
    sequence: int = 0


class Fleet:
    """Nodes before one store, in virtual time."""

    def __init__(self, count: int, drain_ms: int, seed: int = 1, forgets: bool = False) -> None:
        self.world = World()
        self.world.time_ms = 100_000.0
        self.rng = random.Random(seed)
        self.store = Store(self.world, forgets)
        self.drain_ms = drain_ms
        self.leaving: set[str] = set()
        self.gone: set[str] = set()
        self.config_version = 0
        self.mute: set[str] = set()
        self.lost = LOST
        self.told_everybody = 0
        for server_id in ("i-1", "i-2", "i-3"):
            self._beat(server_id)
        self.configure()
        self.name_version(1)
        self.nodes = [self._node(f"n{number}") for number in range(count)]
        self.by_name = {node.card.name: node for node in self.nodes}

    def run(self, for_ms: int) -> None:
        """Let time pass."""
        self.world.run(self.world.time_ms + for_ms)

    def configure(self) -> bool:
        """Put the next configuration; return whether that is confirmed."""
        version = self.config_version + 1
        confirmed = self.store.put(OPERATOR, "config", {**CONFIG, "version": version})
        self.config_version = version if confirmed else self.config_version
        return confirmed

    def name_version(self, version: int) -> bool:
        """Name a version of the adapter; return whether that is confirmed."""
        value = {"model": MODEL, "adapter": "a1", "version": version}
        return self.store.put(OPERATOR, f"version/{MODEL}.a1", value)

    def start(self, server_id: str) -> None:
        """Let a server come."""
        self._beat(server_id)

    def remove(self, server_id: str) -> None:
        """Remove a server's entry without a word before."""
        self.gone.add(server_id)
        self.store.remove(SERVERS, server_id)

    def leave(self, server_id: str) -> bool:
        """Let a server say that it leaves; return whether that is confirmed."""
        self.leaving.add(server_id)
        return self._write_entry(server_id)

    def add_card(self, name: str) -> bool:
        """Let a node that starts write its card; return whether that is confirmed."""
        card = NodeRecord(name, name, "dc", "1:1", "1:2", "1:3")
        return self.store.put(OWN, NODE_RECORD_PREFIX + name, encode_node_record(card))

    def last_after_ms(self, knows: Callable[[Node], bool], most_ms: int) -> int:
        """Return how long it takes until the last node knows something that is confirmed now."""
        began_ms = self.world.time_ms
        while not all(knows(node) for node in self.nodes):
            if self.world.time_ms - began_ms > most_ms:
                break
            self.run(20)
        return int(self.world.time_ms - began_ms)

    def _beat(self, server_id: str) -> None:
        if server_id in self.gone:
            return
        self._write_entry(server_id)
        self.world.later(BEAT_MS + self.rng.uniform(-20, 20), lambda: self._beat(server_id))

    def _write_entry(self, server_id: str) -> bool:
        entry = {
            "service": "plain",
            "address": f"10.0.0.{server_id[-1]}:80",
            "zone": "dc",
            "version": "v1",
            "slots": 4,
            "state": "draining" if server_id in self.leaving else "ready",
            "coldRemainingMs": 0,
            "sequence": self.store.version,
        }
        return self.store.put(SERVERS, server_id, entry)

    def _node(self, name: str) -> Node:
        tasks, clock = VirtualTasks(self.world), self.world
        card = NodeRecord(name, name, "dc", name, name, name)
        node = Node(card, tasks, ClusterState(clock), FleetView(name), HeartbeatRounds(name))
        following = StoreFollower(
            RowDecoders(),
            node.beliefs,
            node.view,
            clock,
            lambda _: None,
            lambda _: None,
            lambda: self._tell(node),
            lambda: self._tell(node, everybody=True),
        )
        node.following = following
        node.followed = following.start(lambda: Feed(self.store, tasks), tasks, self.drain_ms)
        self.world.later(
            self.rng.uniform(0, HEARTBEAT_INTERVAL_MS), lambda: self._tell_for_good(node)
        )
        self.world.later(MAINTENANCE_INTERVAL_MS, lambda: self._sweep_for_good(node))
        return node

    def add_node(self) -> Node:
        """Start one more node."""
        node = self._node(f"n{len(self.nodes)}")
        self.nodes.append(node)
        self.by_name[node.card.name] = node
        return node

    def _sweep_for_good(self, node: Node) -> None:
        node.followed.servers.look_again()
        node.beliefs.server_registry.pop_removed(self.world.now_ms())
        self.world.later(MAINTENANCE_INTERVAL_MS, lambda: self._sweep_for_good(node))

    def _tell_for_good(self, node: Node) -> None:
        self._tell(node)
        self.world.later(HEARTBEAT_INTERVAL_MS, lambda: self._tell_for_good(node))

    def _tell(self, node: Node, everybody: bool = False) -> None:
        if node.followed is None:
            return
        node.sequence += 1
        report = Heartbeat(
            node.card,
            node.sequence,
            True,
            False,
            1,
            node.followed.reaches_store(),
            departed_servers=node.beliefs.recently_departed_servers(),
            added_servers=node.beliefs.recently_added_servers(),
            versions=node.beliefs.recent_versions(),
        )
        others = [name for name in self.by_name if name != node.card.name]
        self.told_everybody += everybody
        for name in others if everybody else node.rounds.next_peers(others, (), False):
            if name not in self.mute and self.rng.random() >= self.lost:
                self.world.later(2, lambda other=self.by_name[name]: self._hear(other, report))

    def _hear(self, node: Node, report: Heartbeat) -> None:
        if not node.view.receive(report, self.world.now_ms()):
            return
        node.following.handle_heartbeat(report)
        if node.beliefs.handle_heartbeat(report):
            node.followed.servers.poke()


def left(server_id: str) -> Callable[[Node], bool]:
    """Return what tells whether a node sends nothing more to a server."""
    life = ServerLife(server_id)
    return lambda node: not node.beliefs.server_registry.is_accepting_work(life)


def configured(version: int) -> Callable[[Node], bool]:
    """Return what tells whether a configuration is in force at a node."""
    return (
        lambda node: node.beliefs.route_table is not None
        and node.beliefs.route_table.version >= version
    )


def named(version: int) -> Callable[[Node], bool]:
    """Return what tells whether a node knows a version of the adapter."""
    return lambda node: node.beliefs.version_by_adapter.get(AdapterRef(ADAPTER, 1).name) == version


def carded(name: str) -> Callable[[Node], bool]:
    """Return what tells whether a node knows another one's card."""
    return lambda node: name in node.view.record_by_name
