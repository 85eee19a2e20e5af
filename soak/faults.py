"""Draws what happens to a fleet from a seed, and does it."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Final

import attrs

from stand_ins.links import Mode

from .answer_faults import (
    answers_broken_off,
    answers_invalid,
    answers_sent_twice,
    answers_unframed,
    answers_without_end,
    server_crashes,
)
from .const import CONTACT_MS, LAPSE_S, SERVES_MS, USUAL_WORK_MS
from .crowd_faults import callers_crowd
from .customer_faults import customer_rushes
from .customers import Rush
from .fleet import STORE, Fleet
from .judge import Disturbance
from .notice_faults import leaves_by_word, servers_rest
from .part_faults import part_turns_bad
from .partitions import Partition
from .release_faults import callers_reset, release
from .store_faults import store_returns_from_copy

GRACE_S: Final = 8.0
"""How long a node that is told to stop may take."""

CRASHED_S: Final = (1.5, 4.0)
"""How long a server that has crashed by itself is gone."""

NODE_STARTS_S: Final = 2.0
"""How long a node takes to start, on a busy machine."""

PAUSE_S: Final = (0.4, 2.5)
"""Least and longest pause between two troubles."""

RUSHES: Final = "customer-rushes"
"""The kind that is load rather than a fault, so it excuses nothing."""

LIMITS_PER_S: Final = ("0.5", "1", "2.5", "8")
NEED_S: Final = (4.0, 15.0)
"""Least and longest time for which servers name a limit."""

BRITTLE_REJECTIONS: Final = 4
"""Rejections in a second that brittle servers withstand."""

BRITTLE_WORK_MS: Final = 350
"""What a request takes at a brittle server: more arrive than it processes."""

ALL_IN_NEED_SHARE: Final = 0.3
"""How often all servers of a service are in need at once."""


@attrs.define
class FaultInjector:
    """Injects faults as a seed draws them.

    :param kinds: which of :data:`KINDS` may come; all of them where none is named.
    :ivar ending: nodes that were told to stop, or killed, and have not started again.
    :ivar partitions: when nodes were partitioned from all servers.
    :ivar partitioned: nodes that are so now.
    :ivar brittle: services whose servers are brittle now.
    :ivar brittle_services: services whose servers were brittle, once for each time.
    :ivar rushes: when which customer sent many times its usual requests.
    :ivar faults: when faults of any kind were in force, without the recovery.
    :ivar calm_until: no further trouble begins before, on the monotonic clock.
    """

    fleet: Fleet
    rng: random.Random
    kinds: tuple[str, ...] = ()
    disturbances: list[Disturbance] = attrs.Factory(list)
    counts: dict[str, int] = attrs.Factory(dict)
    ending: set[str] = attrs.Factory(set)
    partitions: list[Partition] = attrs.Factory(list)
    partitioned: set[str] = attrs.Factory(set)
    brittle: set[str] = attrs.Factory(set)
    brittle_services: list[str] = attrs.Factory(list)
    rushes: list[Rush] = attrs.Factory(list)
    faults: list[Disturbance] = attrs.Factory(list)
    calm_until: float = 0.0
    _ends: list[tuple[float, Callable[[], None]]] = attrs.Factory(list)

    def inject(self, until: float) -> None:
        """Bring trouble until a moment of the monotonic clock; then end all that goes on."""
        kinds = self.kinds or tuple(KINDS)
        next_at = time.monotonic()
        while (now := time.monotonic()) < until:
            self._end_due(now)
            self._replace_crashed()
            if now >= max(next_at, self.calm_until):
                kind = self.rng.choice(kinds)
                self.counts[kind] = self.counts.get(kind, 0) + 1
                self.begin(kind)
                next_at = now + self.rng.uniform(*PAUSE_S)
            time.sleep(0.02)
        self._end_due(float("inf"))

    def begin(self, kind: str) -> None:
        """Begin a trouble and note until when its last change comes, as a fault of its kind."""
        ends_before, now_s = len(self._ends), time.monotonic()
        now_ms = round(time.time() * 1000)
        KINDS[kind](self)
        if kind != RUSHES:
            last_s = max([now_s, *(at_s for at_s, _ in self._ends[ends_before:])])
            until_ms = now_ms + round((last_s - now_s) * 1000)
            self.faults.append(Disturbance(kind, now_ms, until_ms))

    def _replace_crashed(self) -> None:
        for server in self.fleet.remove_crashed():
            self.disturbed(server, LAPSE_S)
            self.later(
                self.rng.uniform(*CRASHED_S), lambda server=server: self.fleet.add_like(server)
            )

    def later(self, after_s: float, end: Callable[[], None]) -> None:
        """Do something after a while."""
        self._ends.append((time.monotonic() + after_s, end))

    def disturbed(self, name: str, for_s: float, is_process: bool = True) -> None:
        """Note that a process or its links are harmed."""
        now_ms = round(time.time() * 1000)
        until_ms = now_ms + round(for_s * 1000)
        self.disturbances.append(Disturbance(name, now_ms, until_ms, is_process))

    def some_nodes(self) -> list[str]:
        """Return a few nodes, or all of them."""
        nodes = self.fleet.nodes
        return self.rng.sample(nodes, self.rng.choice((1, 2, len(nodes))))

    def a_server(self) -> str:
        """Return a server that has not left."""
        return self.rng.choice(self.fleet.servers)

    def server_leaves(self, server: str | None = None) -> None:
        """Let a server leave, with a word or without."""
        without_word = self.rng.random() < 0.3
        self.fleet.leave(server or self.a_server(), SERVES_MS, without_word)

    def node_is_killed(self) -> None:
        """Kill a node, which starts again soon."""
        _node_killed(self)

    def leaves_soon(self) -> None:
        """Let a server leave shortly after a trouble."""
        self.later(self.rng.uniform(0.05, 1.5), self.server_leaves)

    def _end_due(self, now: float) -> None:
        due = [entry for entry in self._ends if entry[0] <= now]
        self._ends = [entry for entry in self._ends if entry[0] > now]
        for _, end in due:
            end()


def _store_connections_silent(injector: FaultInjector) -> None:
    for node in injector.some_nodes():
        injector.disturbed(node, 0, is_process=False)
        injector.fleet.set_link(node, Mode.OLD_SILENT)
    injector.leaves_soon()


def _store_connections_reset(injector: FaultInjector) -> None:
    for node in injector.some_nodes():
        injector.disturbed(node, 0, is_process=False)
        injector.fleet.reset_link(node)
    injector.leaves_soon()


def _store_cut(injector: FaultInjector) -> None:
    for_s = injector.rng.uniform(0.5, 5.0)
    mode = injector.rng.choice((Mode.SILENT, Mode.REFUSES))
    for node in injector.some_nodes():
        injector.disturbed(node, for_s, is_process=False)
        injector.fleet.set_link(node, mode)
        injector.later(for_s, lambda node=node: injector.fleet.set_link(node, Mode.WORKS))
    injector.later(for_s * injector.rng.uniform(0.2, 1.5), injector.server_leaves)


def _store_stands_still(injector: FaultInjector) -> None:
    for_s = injector.rng.uniform(0.3, 5.0)
    injector.disturbed(STORE, for_s)
    injector.fleet.stop(STORE)
    injector.later(for_s, lambda: injector.fleet.go_on(STORE))
    injector.later(for_s + injector.rng.uniform(0.0, 3.0), injector.server_leaves)


def _store_forgets(injector: FaultInjector) -> None:
    injector.fleet.processes.command(STORE, "forget_history")
    injector.leaves_soon()


def _server_stands_still(injector: FaultInjector) -> None:
    """A server stands still, for longer than its entry lasts or for a moment beside its leave."""
    server = injector.a_server()
    if injector.rng.random() < 0.5:
        for_s = LAPSE_S + injector.rng.uniform(1.0, 4.0)
    else:
        for_s = injector.rng.uniform(0.3, 3.0)
        injector.server_leaves(server)
    injector.disturbed(server, for_s)
    injector.fleet.stop(server)
    injector.later(for_s, lambda: injector.fleet.go_on(server))


def _entry_lapses(injector: FaultInjector) -> None:
    """A server serves on while its entry lapses, and comes back into the list."""
    server = injector.a_server()
    for_s = LAPSE_S + injector.rng.uniform(0.5, 4.0)
    injector.disturbed(server, for_s)
    injector.fleet.lapse(server, round(for_s * 1_000))
    injector.later(for_s, lambda: None)


def _server_connections_silent(injector: FaultInjector) -> None:
    server = injector.a_server()
    injector.fleet.set_link(server, injector.rng.choice((Mode.OLD_SILENT, Mode.SILENT)))
    for_s = injector.rng.uniform(0.5, 3.0)
    injector.disturbed(server, for_s)
    injector.later(for_s, lambda: injector.fleet.set_link(server, Mode.WORKS))
    if injector.rng.random() < 0.5:
        injector.server_leaves(server)


def _node_stands_still(injector: FaultInjector) -> None:
    for_s = injector.rng.uniform(0.3, 3.0)
    node = injector.rng.choice(injector.fleet.nodes)
    injector.disturbed(node, for_s)
    injector.fleet.stop(node)
    injector.later(for_s, lambda: injector.fleet.go_on(node))
    injector.leaves_soon()


def _node_killed(injector: FaultInjector) -> None:
    _node_ends(injector, injector.fleet.kill_node, injector.rng.uniform(0.1, 2.0))


def _node_stops(injector: FaultInjector) -> None:
    _node_ends(injector, injector.fleet.end_node, GRACE_S)


def _node_ends(injector: FaultInjector, end: Callable[[str], None], again_s: float) -> None:
    """Let a node end and start again; one that ends already is left alone."""
    running = [node for node in injector.fleet.nodes if node not in injector.ending]
    if len(running) > 1:
        node = injector.rng.choice(running)
        injector.ending.add(node)
        injector.disturbed(node, again_s + NODE_STARTS_S)
        end(node)
        injector.later(again_s, lambda: _start_again(injector, node))
    injector.leaves_soon()


def _start_again(injector: FaultInjector, node: str) -> None:
    injector.fleet.start_again(node)
    injector.ending.discard(node)


def _server_misbehaves(injector: FaultInjector) -> None:
    """A server fails, sheds, loses answers, or turns slow for a while."""
    server = injector.a_server()
    fault = injector.rng.choice(("fail", "shed", "lose", "slow_ms"))
    injector.fleet.misbehave(server, **{fault: injector.rng.choice((10, 40, 300))})
    injector.later(
        injector.rng.uniform(1.0, 4.0),
        lambda: injector.fleet.misbehave(server, fail=0, shed=0, lose=0, slow_ms=USUAL_WORK_MS),
    )


def _servers_in_need(injector: FaultInjector) -> None:
    """One server, or all of its service, name a limit for the requests of all nodes."""
    fleet, server = injector.fleet, injector.a_server()
    servers = [server]
    if injector.rng.random() < ALL_IN_NEED_SHARE:
        service = fleet.service_by_server[server]
        servers = [name for name in fleet.servers if fleet.service_by_server[name] == service]
    limit = injector.rng.choice(LIMITS_PER_S)
    for name in servers:
        fleet.misbehave(name, limit=limit)
    for_s = injector.rng.uniform(*NEED_S)
    injector.later(for_s, lambda: _end_need(fleet, servers))


def _end_need(fleet: Fleet, servers: list[str]) -> None:
    for name in servers:
        fleet.misbehave(name, limit=None)


def _nodes_without_servers(injector: FaultInjector) -> None:
    """Some nodes, or all of a zone, are partitioned from all servers."""
    fleet, rng = injector.fleet, injector.rng
    free = [node for node in fleet.nodes if node not in injector.partitioned]
    count = min(len(free), rng.choice((1, 1, max(1, len(fleet.nodes) // 2))))
    if not count or len(free) == count:
        return
    mode, resets_open = rng.choice(
        ((Mode.SILENT, False), (Mode.REFUSES, True), (Mode.REFUSES, False))
    )
    for_s = rng.uniform(5.0, 9.0)
    began_ms = round(time.time() * 1000)
    for node in rng.sample(free, count):
        injector.partitioned.add(node)
        injector.partitions.append(Partition(node, began_ms, began_ms + round(for_s * 1000)))
        fleet.partition(node, mode, resets_open)
        injector.later(for_s, lambda node=node: _end_partition(injector, node))


def _end_partition(injector: FaultInjector, node: str) -> None:
    injector.fleet.heal(node)
    injector.partitioned.discard(node)


def _servers_brittle(injector: FaultInjector) -> None:
    """All servers of a service are brittle, let nobody wait, and are slow."""
    fleet = injector.fleet
    service = fleet.service_by_server[injector.a_server()]
    if service in injector.brittle:
        return
    injector.brittle.add(service)
    injector.brittle_services.append(service)
    servers = [name for name in fleet.servers if fleet.service_by_server[name] == service]
    _change(fleet, servers, brittle=BRITTLE_REJECTIONS)
    told_s = CONTACT_MS / 1_000
    injector.later(told_s, lambda: _change(fleet, servers, max_waiting=0, slow_ms=BRITTLE_WORK_MS))
    injector.later(
        told_s + injector.rng.uniform(*NEED_S),
        lambda: _end_brittle(injector, service, servers),
    )


def _end_brittle(injector: FaultInjector, service: str, servers: list[str]) -> None:
    _change(injector.fleet, servers, brittle=None, max_waiting=None, slow_ms=USUAL_WORK_MS)
    injector.brittle.discard(service)


def _change(fleet: Fleet, servers: list[str], **faults: int | None) -> None:
    for name in servers:
        fleet.misbehave(name, **faults)


def _server_pauses(injector: FaultInjector) -> None:
    """A sound server is silent for a second or two; that excuses nothing."""
    server = injector.a_server()
    injector.fleet.stop(server)
    injector.later(injector.rng.uniform(1.0, 2.0), lambda: injector.fleet.go_on(server))


def _changes_in_series(injector: FaultInjector) -> None:
    """Configurations follow each other quickly, with signals to nodes that settings changed."""
    for number in range(injector.rng.randint(2, 5)):
        injector.later(number * 0.15, injector.fleet.change_configuration)
        node = injector.rng.choice(injector.fleet.nodes)
        if node not in injector.ending:
            injector.later(number * 0.1, lambda node=node: injector.fleet.reload_node(node))


def _leaves(injector: FaultInjector) -> None:
    injector.server_leaves()


KINDS: Final[dict[str, Callable[[FaultInjector], None]]] = {
    "leaves": _leaves,
    "store-connections-silent": _store_connections_silent,
    "store-connections-reset": _store_connections_reset,
    "store-cut": _store_cut,
    "store-stands-still": _store_stands_still,
    "store-forgets": _store_forgets,
    "store-returns": store_returns_from_copy,
    "server-stands-still": _server_stands_still,
    "server-connections-silent": _server_connections_silent,
    "node-stands-still": _node_stands_still,
    "node-killed": _node_killed,
    "node-stops": _node_stops,
    "server-misbehaves": _server_misbehaves,
    "servers-in-need": _servers_in_need,
    "nodes-without-servers": _nodes_without_servers,
    "servers-brittle": _servers_brittle,
    "server-pauses": _server_pauses,
    "changes-in-series": _changes_in_series,
    "answers-unframed": answers_unframed,
    "answers-broken-off": answers_broken_off,
    "server-crashes": server_crashes,
    "release": release,
    "callers-reset": callers_reset,
    "part-turns-bad": part_turns_bad,
    "leaves-by-word": leaves_by_word,
    "servers-rest": servers_rest,
    "answers-without-end": answers_without_end,
    "answers-sent-twice": answers_sent_twice,
    "answers-invalid": answers_invalid,
    "entry-lapses": _entry_lapses,
    "callers-crowd": callers_crowd,
    RUSHES: customer_rushes,
}
