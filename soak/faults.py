"""Draws what happens to a fleet from a seed, and does it."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Final

import attrs

from stand_ins.links import Mode

from .const import HEARTBEAT_MS, USUAL_WORK_MS
from .fleet import STORE, Fleet
from .judge import Disturbance

SERVES_MS: Final = 6_000
"""How long a server that leaves goes on."""

GRACE_S: Final = 8.0
"""How long a node that is told to stop may take."""

NODE_STARTS_S: Final = 2.0
"""How long a node takes to start, on a busy machine."""

LAPSE_S: Final = HEARTBEAT_MS * 3 / 1_000
PAUSE_S: Final = (0.4, 2.5)
"""Least and longest pause between two troubles."""


@attrs.define
class Weather:
    """Troubles as they come.

    :param kinds: which of :data:`KINDS` may come; all of them where none is named.
    :ivar ending: nodes that were told to stop, or killed, and have not started again.
    """

    fleet: Fleet
    rng: random.Random
    kinds: tuple[str, ...] = ()
    disturbances: list[Disturbance] = attrs.Factory(list)
    counts: dict[str, int] = attrs.Factory(dict)
    ending: set[str] = attrs.Factory(set)
    _ends: list[tuple[float, Callable[[], None]]] = attrs.Factory(list)

    def blow(self, until: float) -> None:
        """Bring trouble until a moment of the monotonic clock; then end all that goes on."""
        kinds = self.kinds or tuple(KINDS)
        next_at = time.monotonic()
        while (now := time.monotonic()) < until:
            self._end_due(now)
            if now >= next_at:
                kind = self.rng.choice(kinds)
                self.counts[kind] = self.counts.get(kind, 0) + 1
                KINDS[kind](self)
                next_at = now + self.rng.uniform(*PAUSE_S)
            time.sleep(0.02)
        self._end_due(float("inf"))

    def later(self, after_s: float, end: Callable[[], None]) -> None:
        """Do something after a while."""
        self._ends.append((time.monotonic() + after_s, end))

    def disturbed(self, name: str, for_s: float) -> None:
        """Note that a process or its links are harmed."""
        now_ms = round(time.time() * 1000)
        self.disturbances.append(Disturbance(name, now_ms, now_ms + round(for_s * 1000)))

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

    def leaves_soon(self) -> None:
        """Let a server leave shortly after a trouble."""
        self.later(self.rng.uniform(0.05, 1.5), self.server_leaves)

    def _end_due(self, now: float) -> None:
        due = [entry for entry in self._ends if entry[0] <= now]
        self._ends = [entry for entry in self._ends if entry[0] > now]
        for _, end in due:
            end()


def _store_connections_silent(weather: Weather) -> None:
    for node in weather.some_nodes():
        weather.disturbed(node, 0)
        weather.fleet.set_link(node, Mode.OLD_SILENT)
    weather.leaves_soon()


def _store_connections_reset(weather: Weather) -> None:
    for node in weather.some_nodes():
        weather.disturbed(node, 0)
        weather.fleet.reset_link(node)
    weather.leaves_soon()


def _store_cut(weather: Weather) -> None:
    for_s = weather.rng.uniform(0.5, 5.0)
    mode = weather.rng.choice((Mode.SILENT, Mode.REFUSES))
    for node in weather.some_nodes():
        weather.disturbed(node, for_s)
        weather.fleet.set_link(node, mode)
        weather.later(for_s, lambda node=node: weather.fleet.set_link(node, Mode.WORKS))
    weather.later(for_s * weather.rng.uniform(0.2, 1.5), weather.server_leaves)


def _store_stands_still(weather: Weather) -> None:
    for_s = weather.rng.uniform(0.3, 5.0)
    weather.disturbed(STORE, for_s)
    weather.fleet.stop(STORE)
    weather.later(for_s, lambda: weather.fleet.go_on(STORE))
    weather.later(for_s + weather.rng.uniform(0.0, 3.0), weather.server_leaves)


def _store_forgets(weather: Weather) -> None:
    weather.fleet.processes.command(STORE, "forget_history")
    weather.leaves_soon()


def _server_stands_still(weather: Weather) -> None:
    """A server stands still, for longer than its entry lasts or for a moment beside its leave."""
    server = weather.a_server()
    if weather.rng.random() < 0.5:
        for_s = LAPSE_S + weather.rng.uniform(1.0, 4.0)
    else:
        for_s = weather.rng.uniform(0.3, 3.0)
        weather.server_leaves(server)
    weather.disturbed(server, for_s)
    weather.fleet.stop(server)
    weather.later(for_s, lambda: weather.fleet.go_on(server))


def _server_connections_silent(weather: Weather) -> None:
    server = weather.a_server()
    weather.fleet.set_link(server, weather.rng.choice((Mode.OLD_SILENT, Mode.SILENT)))
    weather.later(weather.rng.uniform(0.5, 3.0), lambda: weather.fleet.set_link(server, Mode.WORKS))
    if weather.rng.random() < 0.5:
        weather.server_leaves(server)


def _node_stands_still(weather: Weather) -> None:
    for_s = weather.rng.uniform(0.3, 3.0)
    node = weather.rng.choice(weather.fleet.nodes)
    weather.disturbed(node, for_s)
    weather.fleet.stop(node)
    weather.later(for_s, lambda: weather.fleet.go_on(node))
    weather.leaves_soon()


def _node_killed(weather: Weather) -> None:
    _node_ends(weather, weather.fleet.kill_node, weather.rng.uniform(0.1, 2.0))


def _node_stops(weather: Weather) -> None:
    _node_ends(weather, weather.fleet.end_node, GRACE_S)


def _node_ends(weather: Weather, end: Callable[[str], None], again_s: float) -> None:
    """Let a node end and start again; one that ends already is left alone."""
    running = [node for node in weather.fleet.nodes if node not in weather.ending]
    if len(running) > 1:
        node = weather.rng.choice(running)
        weather.ending.add(node)
        weather.disturbed(node, again_s + NODE_STARTS_S)
        end(node)
        weather.later(again_s, lambda: _start_again(weather, node))
    weather.leaves_soon()


def _start_again(weather: Weather, node: str) -> None:
    weather.fleet.start_again(node)
    weather.ending.discard(node)


def _server_misbehaves(weather: Weather) -> None:
    """A server fails, sheds, loses answers, or turns slow for a while."""
    server = weather.a_server()
    fault = weather.rng.choice(("fail", "shed", "lose", "slow_ms"))
    weather.fleet.misbehave(server, **{fault: weather.rng.choice((10, 40, 300))})
    weather.later(
        weather.rng.uniform(1.0, 4.0),
        lambda: weather.fleet.misbehave(server, fail=0, shed=0, lose=0, slow_ms=USUAL_WORK_MS),
    )


def _leaves(weather: Weather) -> None:
    weather.server_leaves()


KINDS: Final[dict[str, Callable[[Weather], None]]] = {
    "leaves": _leaves,
    "store-connections-silent": _store_connections_silent,
    "store-connections-reset": _store_connections_reset,
    "store-cut": _store_cut,
    "store-stands-still": _store_stands_still,
    "store-forgets": _store_forgets,
    "server-stands-still": _server_stands_still,
    "server-connections-silent": _server_connections_silent,
    "node-stands-still": _node_stands_still,
    "node-killed": _node_killed,
    "node-stops": _node_stops,
    "server-misbehaves": _server_misbehaves,
}
