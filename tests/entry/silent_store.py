"""Nodes in virtual time that share a store, which answers no requests for some time."""

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
from monsoonflow.platform.store_era import GENERATION_VERSIONS, generation_of, row_version
from monsoonflow.storage.models import ChangedRow, Changes, HistoryLost, Unavailable
from tests.entry.conftest import CONFIG, MODEL
from tests.randomised.virtual import VirtualFlag, VirtualTasks, World

SERVERS = RowDecoders.server_collection
OPERATOR = RowDecoders.operator_collection
OWN = RowDecoders.own_collection
ADAPTER = f"{MODEL}/a1"
ANSWER_DELAY_MS = 4
ENTRY_WRITE_INTERVAL_MS = 1_000
"""How often a server writes its entry."""

LOSS_SHARE = 0.02
"""Share of heartbeats between nodes that are lost."""


@attrs.define
class WaitingRequest:
    """A request for changes that waits until there are some."""

    collection: str
    after: int
    answer: Callable[[Changes], None]


class Store:
    """The rows of all collections; a silent store accepts no writes and answers no requests.

    :param drops_waiting: requests that wait when the silence begins are never answered; otherwise
        they are answered after it.
    :ivar answers_to_lose: how many of the next requests for servers get no answer.
    """

    def __init__(self, world: World, drops_waiting: bool) -> None:
        self.world = world
        self.drops_waiting = drops_waiting
        self.silent = False
        self.answer_delay_ms = ANSWER_DELAY_MS
        self.answers_to_lose = 0
        self.generation = 0
        self.version = 1
        self.calls = 0
        self._rows: dict[tuple[str, str], ChangedRow] = {}
        self._waiting_requests: list[WaitingRequest] = []

    def put(self, collection: str, key: str, value: dict[str, Any]) -> bool:
        """Write a row; return whether the write is confirmed."""
        return self._change(collection, key, orjson.dumps(value))

    def remove(self, collection: str, key: str) -> bool:
        """Remove a row; return whether the removal is confirmed."""
        return self._change(collection, key, None)

    def _change(self, collection: str, key: str, body: bytes | None) -> bool:
        if self.silent:
            return False
        self.version += 1
        self._rows[collection, key] = ChangedRow(key, self.version, body)
        for request in [
            request for request in self._waiting_requests if request.collection == collection
        ]:
            self._waiting_requests.remove(request)
            self._answer(request)
        return True

    def copy(self) -> tuple[int, dict[tuple[str, str], ChangedRow]]:
        """Return a copy of the rows and their newest version."""
        return self.version, dict(self._rows)

    def return_from(self, copy: tuple[int, dict[tuple[str, str], ChangedRow]]) -> None:
        """Forget what was written after a copy; requests that wait are never answered."""
        self._waiting_requests.clear()
        self.generation += 1
        number = copy[0] % GENERATION_VERSIONS
        self.version = row_version(self.generation, number)
        self._rows = {
            place: attrs.evolve(
                row, version=row_version(self.generation, row.version % GENERATION_VERSIONS)
            )
            for place, row in copy[1].items()
        }

    def fall_silent(self, for_ms: int) -> None:
        """Answer no requests for a time."""
        self.silent = True
        if self.drops_waiting:
            self._waiting_requests.clear()
        self.world.later(for_ms, self._end_silence)

    def _end_silence(self) -> None:
        self.silent = False

    def rows(self, collection: str, after: int = 0) -> Changes:
        """Return the rows of a collection that changed after a version."""
        changed = [
            row for (row_collection, _), row in self._rows.items() if row_collection == collection
        ]
        rows = sorted((row for row in changed if row.version > after), key=lambda row: row.version)
        return Changes(tuple(rows), self.version, generation=self.generation)

    def handle_request(self, collection: str, after: int, wait_ms: int, answer: Callable) -> None:
        """Answer a request for changes now, at the next change, or after ``wait_ms``."""
        self.calls += 1
        if self.silent:
            return
        if self.answers_to_lose and collection == SERVERS:
            self.answers_to_lose -= 1
            return
        request = WaitingRequest(collection, after, answer)
        if wait_ms <= 0 or self.rows(collection, after).rows:
            self._answer(request)
            return
        self._waiting_requests.append(request)
        self.world.later(wait_ms, lambda: self._handle_wait_end(request))

    def _handle_wait_end(self, request: WaitingRequest) -> None:
        if request in self._waiting_requests and not self.silent:
            self._waiting_requests.remove(request)
            self._answer(request)

    def _answer(self, request: WaitingRequest) -> None:
        result = self.rows(request.collection, request.after)
        self.world.later(self.answer_delay_ms, lambda: request.answer(result))


class Feed:
    """One watch's connection to the store; a request without an answer in time fails."""

    def __init__(self, store: Store, tasks: VirtualTasks) -> None:
        self._store = store
        self._tasks = tasks
        self._request_done: VirtualFlag | None = None

    def read_all(self, collection: str) -> Changes | Unavailable:
        """Return all rows."""
        return self._request(collection, 0, 0, 1_500)

    def changes(
        self, collection: str, after: int, wait_ms: int, answer_timeout_ms: int = 1_500
    ) -> Changes | HistoryLost | Unavailable:
        """Return the rows that changed, as soon as there are any."""
        result = self._request(collection, after, wait_ms, wait_ms + answer_timeout_ms)
        if isinstance(result, Changes) and result.generation != generation_of(after):
            return HistoryLost()
        return result

    def cancel_request(self) -> None:
        """Abandon the request in progress."""
        if self._request_done is not None:
            self._request_done.set()

    def _request(self, collection: str, after: int, wait_ms: int, timeout_ms: int) -> Any:
        done, results = self._tasks.flag(), []

        def answer(result: Changes) -> None:
            results.append(result)
            done.set()

        self._request_done = done
        self._store.handle_request(collection, after, wait_ms, answer)
        done.wait(timeout_ms)
        self._request_done = None
        return results[0] if results else Unavailable("no answer")


@attrs.define(eq=False)
class Node:
    """A node that follows the store and sends heartbeats to its peers."""

    record: NodeRecord
    tasks: VirtualTasks
    cluster_state: ClusterState
    view: FleetView
    rounds: HeartbeatRounds
    store_watches: StoreWatches | None = None
    store_follower: StoreFollower | None = None
    sequence: int = 0


class Fleet:
    """Nodes that share one store, in virtual time.

    :ivar nodes_not_receiving: names of nodes that receive no heartbeats.
    :ivar loss_share: share of heartbeats that are lost.
    """

    def __init__(
        self, count: int, drain_ms: int, seed: int = 1, drops_waiting: bool = False
    ) -> None:
        self.world = World()
        self.world.time_ms = 100_000.0
        self.rng = random.Random(seed)
        self.store = Store(self.world, drops_waiting)
        self.drain_ms = drain_ms
        self.draining_servers: set[str] = set()
        self.removed_servers: set[str] = set()
        self.config_version = 0
        self.nodes_not_receiving: set[str] = set()
        self.loss_share = LOSS_SHARE
        self.broadcasts = 0
        for server_id in ("i-1", "i-2", "i-3"):
            self._write_entry_loop(server_id)
        self.configure()
        self.publish_version(1)
        self.nodes = [self._node(f"n{number}") for number in range(count)]
        self.node_by_name = {node.record.name: node for node in self.nodes}

    def run(self, for_ms: int) -> None:
        """Advance the time."""
        self.world.run(self.world.time_ms + for_ms)

    def configure(self) -> bool:
        """Write the next configuration; return whether the write is confirmed."""
        version = self.config_version + 1
        confirmed = self.store.put(OPERATOR, "config", {**CONFIG, "version": version})
        self.config_version = version if confirmed else self.config_version
        return confirmed

    def publish_version(self, version: int) -> bool:
        """Publish a version of the adapter; return whether the write is confirmed."""
        value = {"model": MODEL, "adapter": "a1", "version": version}
        return self.store.put(OPERATOR, f"version/{MODEL}.a1", value)

    def start(self, server_id: str) -> None:
        """Start a server."""
        self._write_entry_loop(server_id)

    def remove(self, server_id: str) -> None:
        """Remove a server's entry that was not marked as draining before."""
        self.removed_servers.add(server_id)
        self.store.remove(SERVERS, server_id)

    def drain(self, server_id: str) -> bool:
        """Mark a server as draining; return whether the write is confirmed."""
        self.draining_servers.add(server_id)
        return self._write_entry(server_id)

    def add_node_record(self, name: str) -> bool:
        """Write the node record of a new node; return whether the write is confirmed."""
        record = NodeRecord(name, name, "dc", "1:1", "1:2", "1:3")
        return self.store.put(OWN, NODE_RECORD_PREFIX + name, encode_node_record(record))

    def until_all_know_ms(self, knows: Callable[[Node], bool], max_ms: int) -> int:
        """Return how many ms it takes until every node knows a change that is confirmed now.

        :param knows: tells whether a node knows the change.
        :param max_ms: stops waiting after this time.
        """
        started_ms = self.world.time_ms
        while not all(knows(node) for node in self.nodes):
            if self.world.time_ms - started_ms > max_ms:
                break
            self.run(20)
        return int(self.world.time_ms - started_ms)

    def _write_entry_loop(self, server_id: str) -> None:
        if server_id in self.removed_servers:
            return
        self._write_entry(server_id)
        self.world.later(
            ENTRY_WRITE_INTERVAL_MS + self.rng.uniform(-20, 20),
            lambda: self._write_entry_loop(server_id),
        )

    def _write_entry(self, server_id: str) -> bool:
        entry = {
            "service": "plain",
            "address": f"10.0.0.{server_id[-1]}:80",
            "zone": "dc",
            "version": "v1",
            "slots": 4,
            "state": "draining" if server_id in self.draining_servers else "ready",
            "coldRemainingMs": 0,
            "sequence": self.store.version,
        }
        return self.store.put(SERVERS, server_id, entry)

    def _node(self, name: str) -> Node:
        tasks, clock = VirtualTasks(self.world), self.world
        record = NodeRecord(name, name, "dc", name, name, name)
        node = Node(record, tasks, ClusterState(clock), FleetView(name), HeartbeatRounds(name))
        store_follower = StoreFollower(
            RowDecoders(),
            node.cluster_state,
            node.view,
            clock,
            lambda _: None,
            lambda _: None,
            lambda: self._send_heartbeat(node),
            lambda: self._send_heartbeat(node, to_all=True),
        )
        node.store_follower = store_follower
        node.store_watches = store_follower.start(
            lambda: Feed(self.store, tasks), tasks, self.drain_ms
        )
        self.world.later(
            self.rng.uniform(0, HEARTBEAT_INTERVAL_MS), lambda: self._heartbeat_loop(node)
        )
        self.world.later(MAINTENANCE_INTERVAL_MS, lambda: self._maintenance_loop(node))
        return node

    def add_node(self) -> Node:
        """Start another node."""
        node = self._node(f"n{len(self.nodes)}")
        self.nodes.append(node)
        self.node_by_name[node.record.name] = node
        return node

    def _maintenance_loop(self, node: Node) -> None:
        node.store_watches.servers.end_overlong_pause()
        node.cluster_state.server_registry.pop_removed(self.world.now_ms())
        self.world.later(MAINTENANCE_INTERVAL_MS, lambda: self._maintenance_loop(node))

    def _heartbeat_loop(self, node: Node) -> None:
        self._send_heartbeat(node)
        self.world.later(HEARTBEAT_INTERVAL_MS, lambda: self._heartbeat_loop(node))

    def _send_heartbeat(self, node: Node, to_all: bool = False) -> None:
        if node.store_watches is None:
            return
        node.sequence += 1
        heartbeat = Heartbeat(
            node.record,
            node.sequence,
            True,
            False,
            1,
            node.store_watches.reaches_store(),
            departed_servers=node.cluster_state.recently_departed_servers(),
            added_servers=node.cluster_state.recently_added_servers(),
            versions=node.cluster_state.recent_versions(),
        )
        peers = [name for name in self.node_by_name if name != node.record.name]
        self.broadcasts += to_all
        for name in peers if to_all else node.rounds.next_peers(peers, (), False):
            if name not in self.nodes_not_receiving and self.rng.random() >= self.loss_share:
                self.world.later(
                    2, lambda peer=self.node_by_name[name]: self._receive(peer, heartbeat)
                )

    def _receive(self, node: Node, heartbeat: Heartbeat) -> None:
        if not node.view.receive(heartbeat, self.world.now_ms()):
            return
        node.store_follower.handle_heartbeat(heartbeat)
        if node.cluster_state.handle_heartbeat(heartbeat):
            node.store_watches.servers.request_soon()


def has_stopped_using(server_id: str) -> Callable[[Node], bool]:
    """Return a function that tells whether a node sends nothing more to a server."""
    life = ServerLife(server_id)
    return lambda node: not node.cluster_state.server_registry.is_accepting_work(life)


def has_configuration(version: int) -> Callable[[Node], bool]:
    """Return a function that tells whether a configuration is in force at a node."""
    return (
        lambda node: node.cluster_state.route_table is not None
        and node.cluster_state.route_table.version >= version
    )


def has_adapter_version(version: int) -> Callable[[Node], bool]:
    """Return a function that tells whether a node knows a version of the adapter."""
    return (
        lambda node: node.cluster_state.version_by_adapter.get(AdapterRef(ADAPTER, 1).name)
        == version
    )


def has_node_record(name: str) -> Callable[[Node], bool]:
    """Return a function that tells whether a node has the node record of another one."""
    return lambda node: name in node.view.record_by_name
