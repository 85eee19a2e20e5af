"""What a node must do in time goes on while other nodes have fallen silent."""

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

CONFIG_MS = 2_000
"""How soon changed settings and routes must be in force."""

SILENT = 4


def report(number: int, config_version: int) -> Heartbeat:
    """Return the word of a node that has a configuration."""
    name = f"p{number}"
    card = NodeRecord(name, name, "dc", "127.0.0.1:1", f"127.0.0.1:{2 + number}", "127.0.0.1:3")
    return Heartbeat(card, 1, True, False, config_version, True)


def test_settings_are_read_in_time_while_other_nodes_are_silent(fleet):
    """Four nodes have told of a newer configuration and have frozen since.

    This one asks each of them for it, a second each, and meanwhile reads no changed settings, drops
    no server that stayed missing, and closes no connection that rested too long.
    """
    one = fleet.node()
    daemon = one.daemon

    def silent(address, path, body, timeout_ms):
        gevent.sleep(timeout_ms / 1000)
        return Lost(True, "no answer")

    daemon.peer_client.call = silent
    for number in range(SILENT):
        daemon.view.receive(report(number, 99), daemon.clock.now_ms())
    gevent.sleep(MAINTENANCE_INTERVAL_MS / 1000 * 1.5)
    changed = attrs.evolve(daemon.settings, seeds=("127.0.0.9:1",))
    daemon._reread_settings = lambda: changed
    changed_ms = daemon.clock.now_ms()
    while daemon.settings != changed:
        gevent.sleep(0.02)
    assert daemon.clock.now_ms() - changed_ms < CONFIG_MS


@pytest.mark.parametrize("silent", [1, SILENT])
def test_who_was_heard_last_is_asked_first_for_a_newer_configuration(silent: int):
    """Asked in the order in which they were first heard, those that froze since come first."""
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
        view.receive(report(number, 9), clock.now_ms())
        clock.advance(200)
    began_ms, beliefs = clock.now_ms(), ClusterState(clock)
    client.fetch_newer_configuration(beliefs)
    assert beliefs.route_table.version == 9
    assert clock.now_ms() - began_ms < FETCH_TIMEOUT_MS
