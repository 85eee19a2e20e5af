"""A node does its periodic work in time while peers don't answer."""

from __future__ import annotations

import attrs
import gevent
import orjson
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.entry.cluster_state import ClusterState
from monsoonflow.entry.daemon import MAINTENANCE_INTERVAL_MS
from monsoonflow.entry.peers import FETCH_TIMEOUT_MS, PeerClient
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.platform.outside import RowDecoders
from monsoonflow.transport.client import Answer
from monsoonflow.transport.models import AnswerHead, Lost
from tests.entry.conftest import CONFIG

CONFIG_BOUND_MS = 2_000
"""How soon changed settings and routes must be in force."""

SILENT_PEERS = 4


def heartbeat(number: int, config_version: int) -> Heartbeat:
    """Return a heartbeat of a peer that has a configuration version."""
    name = f"p{number}"
    record = NodeRecord(name, name, "dc", "127.0.0.1:1", f"127.0.0.1:{2 + number}", "127.0.0.1:3")
    return Heartbeat(record, 1, True, False, config_version, True)


def test_settings_are_reloaded_in_time_while_peers_are_silent(fleet):
    """Four peers have announced a newer configuration, and have frozen since.

    While this node requested it from each of them, for a second each, it read no changed settings,
    removed no servers that stayed missing, and closed no idle connections.
    """
    node = fleet.node()
    daemon = node.daemon

    def no_answer(address, path, body, timeout_ms):
        gevent.sleep(timeout_ms / 1000)
        return Lost(True, "no answer")

    daemon.peer_client.call = no_answer
    for number in range(SILENT_PEERS):
        daemon.view.receive(heartbeat(number, 99), daemon.clock.now_ms())
    gevent.sleep(MAINTENANCE_INTERVAL_MS / 1000 * 1.5)
    changed_settings = attrs.evolve(daemon.settings, seeds=("127.0.0.9:1",))
    daemon._reread_settings = lambda: changed_settings
    changed_ms = daemon.clock.now_ms()
    while daemon.settings != changed_settings:
        gevent.sleep(0.02)
    assert daemon.clock.now_ms() - changed_ms < CONFIG_BOUND_MS


@pytest.mark.parametrize("silent", [1, SILENT_PEERS])
def test_a_newer_configuration_is_requested_first_from_the_peer_heard_from_last(silent: int):
    """In the order of their first heartbeats, peers that froze since would be asked first."""
    clock, view = ManualClock(100_000), FleetView("me")
    client = PeerClient(view, clock, RowDecoders().table)
    body = orjson.dumps({**CONFIG, "version": 9})

    def call(address, path, body_sent, timeout_ms):
        if address == f"127.0.0.1:{2 + silent}":
            return Answer(AnswerHead(200, b"OK", [], len(body), False), body)
        clock.advance(timeout_ms)
        return Lost(True, "no answer")

    client.call = call
    for number in range(silent + 1):
        view.receive(heartbeat(number, 9), clock.now_ms())
        clock.advance(200)
    started_ms, cluster_state = clock.now_ms(), ClusterState(clock)
    client.fetch_newer_configuration(cluster_state)
    assert cluster_state.route_table.version == 9
    assert clock.now_ms() - started_ms < FETCH_TIMEOUT_MS
