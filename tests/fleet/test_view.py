"""Tests of the encoding of heartbeats, and of what a node knows of its peers from them."""

from __future__ import annotations

import zlib
from collections import Counter

import attrs
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import DepartedServer
from monsoonflow.fleet import codec
from monsoonflow.fleet.models import (
    AnnouncedRejection,
    CellLeaseClaim,
    Heartbeat,
    HeartbeatAck,
    NodeRecord,
    RecentVersion,
    ResidentAdapters,
    RetryHistory,
    ShortHeartbeat,
    UsageDelta,
)
from monsoonflow.fleet.view import ALIVE_TIMEOUT_MS, FleetView
from monsoonflow.gateway.budget import SharedRetryBudget
from monsoonflow.quarantine.models import PartsCrash, ServerCrash, SoundPart
from monsoonflow.routing.budget import FleetRetryBudget, RetryAllowance, RetryUsage
from monsoonflow.routing.in_flight import ServerWork

RECORD = NodeRecord("b", "b-1", "dc", "1.1.1.2:1", "1.1.1.2:2", "1.1.1.2:3")
HEARTBEAT = Heartbeat(
    record=RECORD,
    sequence=7,
    is_ready=True,
    is_leaving=False,
    config_version=12,
    is_store_reachable=True,
    work_by_server={
        ServerLife("i-1"): ServerWork(2, 100, 300, Counter({"m/a1": 2}), {1: 60, 6: 40})
    },
    retry_usage_by_service={"s": RetryUsage(10, 2)},
    departed_servers=(DepartedServer(ServerLife("i-9"), True, 500),),
    versions=(RecentVersion(AdapterRef("m/a1", 3), 1_200),),
    claims=(CellLeaseClaim("s", "b", 4),),
    residency=(ResidentAdapters(ServerLife("i-1"), (AdapterRef("m/a1", 3),)),),
    acks=(HeartbeatAck("a", "a-1", 12),),
    added_servers=(ServerLife.of("i-2", 1_764_718_000_123),),
    overloaded_runners={ServerLife("i-1"): {0: 2_000, 1: 30_000}},
    retry_history=RetryHistory(9_000, frozenset({"a", "c"}), {"s": 3}, 2),
    crashes=(ServerCrash("f1", ServerLife("i-7")),),
    quarantined_fingerprints=("f9",),
    parts_crashes=(PartsCrash("f1", ServerLife("i-7"), {"p1": (ServerLife("i-6"),), "p2": ()}),),
    sound_parts=(SoundPart("p3", (ServerLife("i-5"), ServerLife("i-6"))),),
)


@pytest.fixture
def view():
    found = FleetView("a")
    found.receive(HEARTBEAT, 0)
    return found


def test_heartbeat_is_unchanged_after_encoding_and_decoding():
    assert codec.decode(codec.encode_heartbeat(HEARTBEAT)) == HEARTBEAT
    faster = attrs.evolve(HEARTBEAT, record=attrs.evolve(RECORD, cores=2.151))
    assert codec.decode(codec.encode_heartbeat(faster)) == faster


def test_heartbeat_of_an_older_version_is_understood():
    """Nodes are upgraded one after the other, so two versions exchange heartbeats meanwhile.

    An older node reads the six texts of the record and the first thirteen fields. It sends no cores
    and no overloaded runners, and for its adapter versions no ages, which then count as zero.
    """
    fields = orjson.loads(zlib.decompress(codec.encode_heartbeat(HEARTBEAT)))
    assert fields[1] == ["b", "b-1", "dc", "1.1.1.2:1", "1.1.1.2:2", "1.1.1.2:3"]
    older_fields = fields[:13]
    versions = tuple(attrs.evolve(version, age_ms=0) for version in HEARTBEAT.versions)
    expected = attrs.evolve(
        HEARTBEAT, versions=versions, overloaded_runners=None, retry_history=RetryHistory()
    )
    expected = attrs.evolve(expected, crashes=(), quarantined_fingerprints=())
    expected = attrs.evolve(expected, parts_crashes=(), sound_parts=())
    expected = attrs.evolve(expected, unreachable_services=None)
    expected = attrs.evolve(expected, departed_servers=(DepartedServer(ServerLife("i-9")),))
    assert codec.decode(zlib.compress(orjson.dumps(older_fields))) == expected


@pytest.mark.parametrize("services", [(), ("plain", "llm")])
def test_unreachable_services_are_announced_in_both_forms_of_a_heartbeat(services):
    heartbeat = attrs.evolve(HEARTBEAT, unreachable_services=services)
    assert codec.decode(codec.encode_heartbeat(heartbeat)) == heartbeat
    short = ShortHeartbeat.from_heartbeat(heartbeat, with_record=True)
    assert codec.decode(codec.encode_short_heartbeat(short)) == short
    assert short.to_heartbeat(None, RECORD).unreachable_services == services


@pytest.mark.parametrize(
    ("reported", "cores"), [("4", 1.0), (None, 1.0), (-1, 1.0), (1e300, 1_024.0)]
)
def test_heartbeat_with_an_impossible_number_of_cores_is_accepted(reported, cores):
    fields = orjson.loads(zlib.decompress(codec.encode_heartbeat(HEARTBEAT)))
    fields[13] = reported
    assert codec.decode(zlib.compress(orjson.dumps(fields))).record.cores == cores


def test_cores_of_a_node_are_known_from_its_record(view):
    view.add_record(attrs.evolve(RECORD, name="fast", cores=4.0))
    assert (view.cores_of("fast"), view.cores_of("b"), view.cores_of("unknown")) == (4.0, 1.0, 1.0)
    assert FleetView("a", 2.0).cores_of("a") == 2.0


@given(st.binary(max_size=200))
@settings(max_examples=200, derandomize=True)
def test_arbitrary_bytes_are_rejected_without_an_error(data):
    assert codec.decode(data) is None


@given(st.recursive(st.none() | st.integers(-9, 9) | st.text(max_size=5), st.lists, max_leaves=12))
@settings(max_examples=200, derandomize=True)
def test_arbitrary_json_fields_cause_no_error(data):
    fields = [codec.HEARTBEAT_FORMAT, data, 1, 1, 1, *[data] * 8]
    codec.decode(zlib.compress(orjson.dumps(fields)))


def test_outdated_heartbeat_is_ignored(view):
    assert not view.receive(attrs.evolve(HEARTBEAT, sequence=6, is_ready=False), 10)
    assert view.heartbeat_of("b").is_ready
    assert view.receive(
        attrs.evolve(HEARTBEAT, record=attrs.evolve(RECORD, boot="b-2"), sequence=1), 20
    )


def test_silent_node_counts_as_down(view):
    assert view.is_alive("b", ALIVE_TIMEOUT_MS)
    assert not view.is_alive("b", ALIVE_TIMEOUT_MS + 1)
    assert view.heartbeats(ALIVE_TIMEOUT_MS + 1) == []


def test_node_that_refuses_connections_counts_as_down_at_once(view):
    view.mark_refused("b")
    assert not view.is_alive("b", 1)
    view.receive(attrs.evolve(HEARTBEAT, sequence=8), 5)
    assert view.is_alive("b", 6)


def test_retries_of_a_silent_node_count_until_the_window_has_passed(view):
    clock = ManualClock()
    budget = FleetRetryBudget(RetryAllowance(0.2, 54, 10_000))
    retries = SharedRetryBudget(budget, view, clock)
    clock.advance(10_000)
    assert retries.peer_usage("s").past_retries == 2
    clock.advance(1)
    assert retries.peer_usage("s").past_retries == 0


def test_node_that_does_not_hear_this_one_does_not_share_the_budget_with_it(view):
    """Packets are lost in one direction: the peer decides by outdated heartbeats of this node.

    This node must therefore not rely on what the peer announces either.
    """
    clock = ManualClock()
    retries = SharedRetryBudget(FleetRetryBudget(RetryAllowance(0.2, 54, 10_000)), view, clock)
    peer_usage = retries.peer_usage("s")
    assert (peer_usage.connected_nodes, peer_usage.sharing_nodes, peer_usage.past_retries) == (
        2,
        2,
        0,
    )
    assert peer_usage.reported == (RetryUsage(10, 2),)
    without_this_node = RetryHistory(10_000, frozenset({"c"}))
    view.receive(attrs.evolve(HEARTBEAT, sequence=8, retry_history=without_this_node), 0)
    peer_usage = retries.peer_usage("s")
    assert (peer_usage.connected_nodes, peer_usage.sharing_nodes, peer_usage.past_retries) == (
        1,
        2,
        2,
    )


def test_restarted_process_takes_over_the_retry_history_of_its_peers():
    """Guards against forgetting the retries of the previous process when a node restarts."""
    clock = ManualClock(5_000)
    view = FleetView("a")
    budget = FleetRetryBudget(RetryAllowance(0.2, 54, 10_000), started_ms=5_000)
    retries = SharedRetryBudget(budget, view, clock)
    assert not retries.peer_usage("s").is_entitled
    history = RetryHistory(10_000, frozenset({"a"}), {"s": 40}, 1)
    view.receive(attrs.evolve(HEARTBEAT, retry_history=history), 5_000)
    peer_usage = retries.peer_usage("s")
    assert (peer_usage.is_entitled, peer_usage.past_retries, peer_usage.ended_processes) == (
        True,
        40,
        1,
    )


@pytest.mark.parametrize("change", [{"is_active": False}, {"is_leaving": True}])
def test_ended_processes_without_a_share_do_not_reduce_the_reserve(change):
    """After a hundred nodes without callers had restarted, nothing of the reserve was left."""
    view = FleetView("a")
    for number in range(100):
        record = attrs.evolve(RECORD, name=f"n{number}")
        view.receive(attrs.evolve(HEARTBEAT, record=record, **change), 0)
        view.receive(
            attrs.evolve(HEARTBEAT, record=attrs.evolve(record, boot="b-2"), sequence=1), 500
        )
    budget = FleetRetryBudget(RetryAllowance(0.2, 54, 10_000))
    assert SharedRetryBudget(budget, view, ManualClock(600)).peer_usage("s").ended_processes == 0


def test_retries_of_an_ended_process_count_until_the_window_has_passed(view):
    view.receive(attrs.evolve(HEARTBEAT, record=attrs.evolve(RECORD, boot="b-2"), sequence=1), 500)
    clock = ManualClock(10_499)
    retries = SharedRetryBudget(FleetRetryBudget(RetryAllowance(0.2, 54, 10_000)), view, clock)
    assert (
        retries.retry_history().past_retries_by_service,
        retries.retry_history().ended_processes,
    ) == (
        {"s": 2},
        1,
    )
    clock.advance(1)
    assert retries.retry_history().past_retries_by_service == {}


def test_work_is_summed_over_all_peers(view):
    view.receive(attrs.evolve(HEARTBEAT, record=attrs.evolve(RECORD, name="c")), 0)
    work = view.work_at(ServerLife("i-1"), 10)
    assert (work.requests, work.requests_by_adapter["m/a1"]) == (4, 4)


def test_claim_with_the_highest_epoch_names_the_holder(view):
    view.apply_claim(CellLeaseClaim("s", "c", 3))
    assert view.claim_of("s").holder == "b"
    view.apply_claim(CellLeaseClaim("s", "c", 5))
    assert view.claim_of("s").holder == "c"


def test_nodes_are_counted_by_records_and_heartbeats(view):
    view.add_record(NodeRecord("z", "b", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"))
    assert view.node_count() == 3
    view.remove_record("z")
    assert view.node_count() == 2


def test_record_in_a_heartbeat_is_used(view):
    """A new node sends heartbeats; its peers have not read its record in the store yet.

    Without its addresses they could not send to it, and it would know no peer for seconds.
    """
    assert view.record_by_name["b"] == RECORD


def test_rejections_by_brittle_servers_are_announced():
    rejections = {ServerLife("i-1"): AnnouncedRejection(4, 120)}
    heartbeat = attrs.evolve(HEARTBEAT, rejections_by_brittle_server=rejections)
    assert codec.decode(codec.encode_heartbeat(heartbeat)) == heartbeat
    delta = UsageDelta("b", "b-1", rejections_by_brittle_server=rejections)
    assert codec.decode(codec.encode_usage_delta(delta)) == delta
