"""Software versions of streams, with real entry nodes on loopback."""

from __future__ import annotations

import logging
import time

import attrs
import gevent
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.entry.software_versions import NoConclusion, OneVersion
from monsoonflow.gateway.models import KnownVersion, UnknownVersion
from monsoonflow.transport.client import ConnectionPools, call
from tests.entry.conftest import MODEL, wait_for

TIMEOUT_MS = 1_000


def add_runner(fleet, name, version):
    runner = fleet.runner(name)
    runner.start_again(1_000, MODEL)
    fleet.store.put("servers", name, runner.entry(version=version))
    return runner


def find(node, request_id):
    return node.daemon.stream_versions.find("llm", request_id, TIMEOUT_MS)


def hear_each_other(nodes):
    for node in nodes:
        wait_for(lambda node=node: len(node.daemon.stream_versions._keeping_peers()) == 2)


@pytest.fixture
def three_nodes(fleet):
    add_runner(fleet, "i-1", "v1")
    nodes = [fleet.node() for _ in range(3)]
    hear_each_other(nodes)
    return nodes


@pytest.fixture
def upgraded(fleet, three_nodes):
    add_runner(fleet, "i-2", "v1.1")
    for node in three_nodes:
        wait_for(lambda node=node: len(node.daemon.software_versions.seen("llm")) == 2)
    return three_nodes


def metrics_of(node):
    address = node.daemon.settings.metrics_address
    return call(ConnectionPools(MonotonicClock()), address, "GET", "/metrics", b"", 2_000).body


def test_a_stream_is_known_at_other_nodes_after_its_first_node_was_killed(upgraded, caplog):
    """Only the first node knew which server began it, and that node has gone."""
    first, *others = upgraded
    first.daemon.stream_versions.record_begun("llm", "r1", "v1.1")
    memories = [node.daemon.stream_versions.memory for node in others]
    wait_for(lambda: all(len(memory) == 1 for memory in memories))
    first.kill()
    for node in others:
        assert find(node, "r1") == KnownVersion("v1.1")


def test_a_stream_is_found_at_its_first_node_by_a_call(upgraded, monkeypatch, caplog):
    """The datagrams about it were lost."""
    caplog.set_level(logging.INFO)
    first, second, _ = upgraded
    monkeypatch.setattr(first.daemon.gossip, "send_begun_streams", lambda *_: None)
    first.daemon.stream_versions.record_begun("llm", "r1", "v1")
    started_s = time.monotonic()
    assert find(second, "r1") == KnownVersion("v1")
    assert time.monotonic() - started_s < 0.3
    assert b'stream_versions_total{found="peer"} 1.0' in metrics_of(second)
    (line,) = [text for text in caplog.messages if "event=stream_version_searched" in text]
    assert "resumes=r1 service=llm found=peer version=v1 asked=2" in line


def test_a_stream_that_nobody_knows_is_reported_as_unknown_soon(upgraded):
    started_s = time.monotonic()
    found = find(upgraded[0], "other")
    assert time.monotonic() - started_s < 0.5
    assert found == UnknownVersion("several versions served: v1,v1.1")
    assert b'stream_versions_total{found="unknown"} 1.0' in metrics_of(upgraded[0])


def test_streams_of_the_only_version_go_anywhere_and_no_peer_is_asked(three_nodes):
    for node in three_nodes:
        assert find(node, "r1") == KnownVersion("v1")
        assert b'stream_versions_total{found="any"} 1.0' in metrics_of(node)


def test_after_all_nodes_were_killed_streams_of_the_only_version_go_on(fleet, three_nodes):
    """All memory is gone: each stream taken up again would be unknown for thirty seconds."""
    record = ("monsoonflow", "software_versions/llm")
    wait_for(lambda: record in fleet.store.rows)
    for node in three_nodes:
        node.kill()
    fleet.first_start = False
    restarted = [fleet.node() for _ in range(3)]
    for node in restarted:
        assert find(node, "r1") == KnownVersion("v1")
        assert b'stream_versions_total{found="any_of_store"} 1.0' in metrics_of(node)


def test_after_all_nodes_were_killed_streams_of_two_versions_are_unknown(fleet, upgraded):
    """A guess would join what two versions generated."""
    upgraded[0].daemon.stream_versions.record_begun("llm", "r1", "v1")
    for node in upgraded:
        node.kill()
    fleet.first_start = False
    restarted = [fleet.node() for _ in range(3)]
    found = [find(node, "r1") for node in restarted]
    assert found == [UnknownVersion("several versions served: v1,v1.1")] * 3


def test_after_all_nodes_were_killed_streams_of_two_versions_go_on(fleet, upgraded):
    """Every stream that was in progress at such a kill is refused, though its servers are there."""
    upgraded[0].daemon.stream_versions.record_begun("llm", "r1", "v1")
    upgraded[1].daemon.stream_versions.record_begun("llm", "r2", "v1.1")
    gevent.sleep(1)
    for node in upgraded:
        node.kill()
    fleet.first_start = False
    restarted = [fleet.node() for _ in range(3)]
    assert [find(node, "r1") for node in restarted] == [KnownVersion("v1")] * 3
    assert [find(node, "r2") for node in restarted] == [KnownVersion("v1.1")] * 3


def test_nodes_without_the_store_do_not_conclude_that_there_is_one_version(fleet, three_nodes):
    """Their lists of servers are old: servers of another version may have come."""
    fleet.store.faults.down = True
    lists = [node.daemon.software_versions for node in three_nodes]
    wait_for(lambda: not any(one.is_list_current() for one in lists), within_s=8)
    assert isinstance(find(three_nodes[0], "r1"), UnknownVersion)
    fleet.store.faults.down = False


def test_a_node_that_has_not_read_an_announced_server_draws_no_conclusion(three_nodes):
    """The server may be of another version, and peers begin streams there already."""
    daemon, peer = three_nodes[0].daemon, three_nodes[1].daemon
    assert isinstance(daemon.software_versions.conclude("llm"), OneVersion)
    announced = attrs.evolve(peer.heartbeat(), added_servers=(ServerLife.of("i-9", 2_000),))
    daemon._handle_heartbeat(announced)
    assert isinstance(daemon.software_versions.conclude("llm"), NoConclusion)
    wait_for(lambda: isinstance(daemon.software_versions.conclude("llm"), OneVersion))


def test_a_malformed_question_of_a_peer_is_refused(three_nodes):
    address = three_nodes[0].daemon.settings.peer_address
    pools = ConnectionPools(MonotonicClock())
    for body in (b"", b"[]", b"{", b'{"service": 1, "stream": "r1"}'):
        answer = call(pools, address, "POST", "/v1/peer/stream-version", body, 1_000)
        assert answer.head.status == 400
