"""Tests that a part of a peer's or runner's answer to a control call never counts as whole."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import orjson
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.entry.cluster_state import ClusterState
from monsoonflow.entry.peers import PeerClient
from monsoonflow.entry.store_follower import StoreFollower
from monsoonflow.fleet.models import NodeRecord
from monsoonflow.platform.engine import PlatformRunnerControl
from monsoonflow.platform.outside import RowDecoders
from tests.entry.conftest import CONFIG
from tests.raw_server import WITH_CHUNKS, WITHOUT_LENGTH, chunk, invalid_answers, with_length

CONFIGURATION = orjson.dumps(CONFIG)
SNAPSHOT = orjson.dumps([["servers", "i-1", "e30="], ["servers", "i-2", "e30="]])
REPORT = orjson.dumps(
    {
        "sequence": 3,
        "busy": False,
        "models": [],
        "incoming": [],
        "active": 0,
        "queued": 0,
        "kvUsed": 1,
        "kvTotal": 100,
    }
)
LIFE = ServerLife("i-1")


def answers(body: bytes) -> list[bytes]:
    """Return answers that break off in an orderly close, and whole ones with invalid heads."""
    return [
        *invalid_answers(body).values(),
        WITHOUT_LENGTH,
        WITHOUT_LENGTH + body[: len(body) // 2],
        WITHOUT_LENGTH + body[:-1],
        with_length(body[:-1], len(body)),
        WITH_CHUNKS + chunk(body),
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ]


class Peer:
    """A node's state and its one peer."""

    def __init__(self, address: str) -> None:
        clock = MonotonicClock()
        record = NodeRecord("n2", "b", "z", "", address, "", 1.0)
        heartbeat = SimpleNamespace(name="n2", config_version=99)
        view = SimpleNamespace(
            heartbeats=lambda _: [heartbeat],
            heartbeat_age_ms=lambda *_: 0,
            record_by_name={"n2": record},
        )
        decoders = RowDecoders()
        self.state = ClusterState(clock)
        self.follower = StoreFollower(
            decoders,
            self.state,
            view,
            clock,
            on_own_row=lambda _: None,
            on_server_departed=lambda _: None,
            on_change=lambda: None,
        )
        self.client = PeerClient(view, clock, decoders.table)


@pytest.fixture(autouse=True)
def time_limit():
    with gevent.Timeout(20):
        yield


@pytest.mark.parametrize("answer", answers(CONFIGURATION))
def test_a_part_of_a_configuration_is_not_applied(serve_raw, answer):
    """Routes and customers that are missing at the end would be refused."""
    peer = Peer(serve_raw(answer).address)
    peer.client.fetch_newer_configuration(peer.state)
    assert peer.state.route_table is None


@pytest.mark.parametrize("answer", answers(SNAPSHOT))
def test_a_part_of_a_snapshot_is_not_applied(serve_raw, answer):
    """A node that starts while the store is lost would not know of the servers at the end."""
    peer = Peer(serve_raw(answer).address)
    peer.client.fetch_snapshot((), "", peer.follower)
    assert not peer.client.has_snapshot


@pytest.mark.parametrize("answer", answers(REPORT))
def test_a_part_of_a_report_is_no_report(serve_raw, answer):
    """Models that are missing at the end of a report would count as unloaded."""
    control = PlatformRunnerControl(MonotonicClock())
    assert control.fetch_report(LIFE, serve_raw(answer).address) is None


def test_whole_answers_count(serve_raw):
    peer = Peer(serve_raw(with_length(CONFIGURATION)).address)
    peer.client.fetch_newer_configuration(peer.state)
    assert peer.state.route_table is not None
    peer = Peer(serve_raw(WITHOUT_LENGTH + SNAPSHOT).address)
    peer.client.fetch_snapshot((), "", peer.follower)
    assert peer.client.has_snapshot
    control = PlatformRunnerControl(MonotonicClock())
    assert control.fetch_report(LIFE, serve_raw(with_length(REPORT)).address) is not None
