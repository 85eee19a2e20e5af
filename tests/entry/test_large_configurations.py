"""Tests that a configuration with thousands of routes takes effect in time at every node."""

from __future__ import annotations

import time
import zlib
from collections.abc import Iterator

import gevent
import orjson
import pytest
from gevent import socket
from gevent.server import StreamServer

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.entry.peers import CONFIGURATION_PATH
from monsoonflow.transport.client import ConnectionPools, call
from monsoonflow.transport.sockets import split_address
from script.ports import free_port
from tests.entry.conftest import Fleet, Node, route, wait_for

ROUTES = 2_000
LINK_BYTES_PER_S = 625_000
"""A link of 5 Mbit/s, which takes 0.93 s for the answer with one configuration."""

IN_FORCE_WITHIN_S = 3.0
PIECE_BYTES = 8_192


class SlowLink:
    """Passes connections on to the store; what the store sends shares one slow link."""

    def __init__(self, target: str) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self.is_cut = False
        self._target = split_address(target)
        self._free_at = 0.0
        self._open: list[socket.socket] = []
        self._server = StreamServer(split_address(self.address), self._accept)
        self._server.start()

    def cut(self) -> None:
        """Reset what is open and refuse new connections."""
        self.is_cut = True
        for sock in self._open:
            sock.close()

    def stop(self) -> None:
        """Stop to pass anything on."""
        self.cut()
        self._server.stop()

    def _accept(self, node: socket.socket, _address: tuple[str, int]) -> None:
        if self.is_cut:
            return
        store = socket.create_connection(self._target)
        self._open += [node, store]
        upstream = gevent.spawn(self._pass_on, node, store, False)
        self._pass_on(store, node, True)
        upstream.kill()

    def _pass_on(self, source: socket.socket, sink: socket.socket, is_slow: bool) -> None:
        try:
            while data := source.recv(PIECE_BYTES):
                if is_slow:
                    self._free_at = max(self._free_at, time.monotonic())
                    self._free_at += len(data) / LINK_BYTES_PER_S
                    gevent.sleep(self._free_at - time.monotonic())
                sink.sendall(data)
        except OSError:
            return
        finally:
            source.close()
            sink.close()


@pytest.fixture
def links(fleet: Fleet) -> Iterator[list[SlowLink]]:
    """Yield the slow links of the nodes, one each."""
    slow_links = [SlowLink(fleet.store.address) for _ in range(3)]
    yield slow_links
    for link in slow_links:
        link.stop()


def configure_many(fleet: Fleet, version: int) -> None:
    """Write a configuration with many routes, of which the last is named after its version."""
    names = [f"route-{number}-{'x' * 40}" for number in range(ROUTES)] + [f"only-{version}"]
    routes = [route(name, "idempotent", "plain", timeoutMs=2_000) for name in names]
    fleet.configure(version=version, routes=routes)


def has_version(node: Node, version: int) -> bool:
    return node.daemon.config_version() >= version


def start_nodes(fleet: Fleet, links: list[SlowLink]) -> list[Node]:
    fleet.plain("i-1")
    nodes = [fleet.node(store_address=link.address) for link in links]
    for node in nodes:
        wait_for(lambda node=node: len(node.daemon.view.heartbeats(node.daemon.clock.now_ms())) > 1)
    return nodes


def test_large_configurations_in_quick_succession_take_effect_on_slow_links(fleet, links):
    """A node gave up an answer that was still arriving, and asked for all of it again."""
    nodes = start_nodes(fleet, links)
    for version in (11, 12, 13):
        configure_many(fleet, version)
        gevent.sleep(0.5)
    for node in nodes:
        wait_for(lambda node=node: has_version(node, 13), IN_FORCE_WITHIN_S)


def test_a_large_configuration_is_received_after_an_outage_of_the_store(fleet, links):
    """After an outage answers had to be complete within a second, which took longer on the link."""
    fleet.plain("i-1")
    node = fleet.node(store_address=links[0].address)
    links[0].cut()
    configure_many(fleet, 11)
    wait_for(lambda: not node.daemon.store_watches.reaches_store())
    gevent.sleep(1.5)
    links[0].is_cut = False
    wait_for(lambda: has_version(node, 11), IN_FORCE_WITHIN_S)


def test_a_large_configuration_takes_effect_while_a_peer_has_lost_the_store(fleet, links):
    """A peer that lost the store made the others cancel the answer that they were receiving."""
    nodes = start_nodes(fleet, links)
    configure_many(fleet, 11)
    gevent.sleep(0.4)
    links[0].cut()
    for node in nodes:
        wait_for(lambda node=node: has_version(node, 11), IN_FORCE_WITHIN_S)


def test_a_node_that_is_receiving_routes_answers_503_for_an_unknown_one(fleet, links):
    """Callers do not retry after 404, though the route was in the answer being received."""
    nodes = start_nodes(fleet, links)
    configure_many(fleet, 11)
    statuses = set()
    with gevent.Timeout(IN_FORCE_WITHIN_S):
        # The answer begins to arrive after a round trip.
        gevent.sleep(0.2)
        while (status := fleet.ask(nodes[1], "/only-11/x", "r1").head.status) != 200:
            statuses.add(status)
            gevent.sleep(0.05)
    assert statuses == {503}


@pytest.mark.parametrize("accepted", ["deflate", None])
def test_peers_of_an_earlier_release_get_configurations_without_compression(fleet, accepted):
    """A peer that can't decompress the answer would keep its old configuration."""
    node = fleet.node()
    configure_many(fleet, 11)
    wait_for(lambda: has_version(node, 11))
    headers = ((b"Accept-Encoding", accepted.encode()),) if accepted else ()
    pools = ConnectionPools(MonotonicClock())
    address = node.daemon.settings.peer_address
    answer = call(pools, address, "GET", CONFIGURATION_PATH, b"", 2_000, headers)
    body = zlib.decompress(answer.body) if accepted else answer.body
    assert orjson.loads(body)["version"] == 11
    assert len(answer.body) < len(body) / 5 or not accepted
