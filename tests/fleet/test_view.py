"""Tests of what nodes know of each other."""

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
from monsoonflow.fleet import codec
from monsoonflow.fleet.models import (
    CellLeaseClaim,
    Heartbeat,
    HeartbeatAck,
    NodeRecord,
    RecentVersion,
    ResidentAdapters,
    RetryHistory,
)
from monsoonflow.fleet.view import ALIVE_TIMEOUT_MS, FleetView
from monsoonflow.gateway.budget import SharedRetryBudget
from monsoonflow.quarantine.models import ServerCrash
from monsoonflow.routing.budget import FleetRetryBudget, RetryAllowance, RetryUsage
from monsoonflow.routing.in_flight import ServerWork

CARD = NodeRecord("b", "b-1", "dc", "1.1.1.2:1", "1.1.1.2:2", "1.1.1.2:3")
REPORT = Heartbeat(
    record=CARD,
    sequence=7,
    is_ready=True,
    is_leaving=False,
    config_version=12,
    is_store_reachable=True,
    work_by_server={
        ServerLife("i-1"): ServerWork(2, 100, 300, Counter({"m/a1": 2}), {1: 60, 6: 40})
    },
    retry_usage_by_service={"s": RetryUsage(10, 2)},
    departed_servers=(ServerLife("i-9"),),
    versions=(RecentVersion(AdapterRef("m/a1", 3), 1_200),),
    claims=(CellLeaseClaim("s", "b", 4),),
    residency=(ResidentAdapters(ServerLife("i-1"), (AdapterRef("m/a1", 3),)),),
    acks=(HeartbeatAck("a", "a-1", 12),),
    added_servers=(ServerLife.of("i-2", 1_764_718_000_123),),
    overloaded_runners={ServerLife("i-1"): {0: 2_000, 1: 30_000}},
    retry_history=RetryHistory(9_000, frozenset({"a", "c"}), {"s": 3}, 2),
    crashes=(ServerCrash("f1", ServerLife("i-7")),),
    quarantined_fingerprints=("f9",),
)


@pytest.fixture
def view():
    found = FleetView("a")
    found.receive(REPORT, 0)
    return found


def test_a_report_survives_the_wire():
    assert codec.decode(codec.encode_heartbeat(REPORT)) == REPORT
    faster = attrs.evolve(REPORT, record=attrs.evolve(CARD, cores=2.151))
    assert codec.decode(codec.encode_heartbeat(faster)) == faster


def test_reports_are_understood_between_nodes_of_two_versions():
    """Nodes are replaced one after the other; one that tells no cores or ages is heard, and hears.

    An older node takes the card's six texts and the first thirteen fields as they stand; a version
    that it tells was named just now, and it tells nothing of crowded runners.
    """
    fields = orjson.loads(zlib.decompress(codec.encode_heartbeat(REPORT)))
    assert fields[1] == ["b", "b-1", "dc", "1.1.1.2:1", "1.1.1.2:2", "1.1.1.2:3"]
    older = fields[:13]
    heard = tuple(attrs.evolve(named, age_ms=0) for named in REPORT.versions)
    expected = attrs.evolve(
        REPORT, versions=heard, overloaded_runners=None, retry_history=RetryHistory()
    )
    expected = attrs.evolve(expected, crashes=(), quarantined_fingerprints=())
    assert codec.decode(zlib.compress(orjson.dumps(older))) == expected


@pytest.mark.parametrize(("told", "cores"), [("4", 1.0), (None, 1.0), (-1, 1.0), (1e300, 1_024.0)])
def test_a_report_is_good_whatever_it_tells_of_its_machine(told, cores):
    fields = orjson.loads(zlib.decompress(codec.encode_heartbeat(REPORT)))
    fields[13] = told
    assert codec.decode(zlib.compress(orjson.dumps(fields))).record.cores == cores


def test_a_view_knows_what_machines_have(view):
    view.add_record(attrs.evolve(CARD, name="fast", cores=4.0))
    assert (view.cores_of("fast"), view.cores_of("b"), view.cores_of("unheard")) == (4.0, 1.0, 1.0)
    assert FleetView("a", 2.0).cores_of("a") == 2.0


@given(st.binary(max_size=200))
@settings(max_examples=200, derandomize=True)
def test_no_datagram_breaks_the_reader(data):
    assert codec.decode(data) is None


@given(st.recursive(st.none() | st.integers(-9, 9) | st.text(max_size=5), st.lists, max_leaves=12))
@settings(max_examples=200, derandomize=True)
def test_no_json_breaks_the_reader(data):
    fields = [codec.HEARTBEAT_FORMAT, data, 1, 1, 1, *[data] * 8]
    codec.decode(zlib.compress(orjson.dumps(fields)))


def test_an_overtaken_report_is_dropped(view):
    assert not view.receive(attrs.evolve(REPORT, sequence=6, is_ready=False), 10)
    assert view.heartbeat_of("b").is_ready
    assert view.receive(attrs.evolve(REPORT, record=attrs.evolve(CARD, boot="b-2"), sequence=1), 20)


def test_a_node_unheard_is_down(view):
    assert view.is_alive("b", ALIVE_TIMEOUT_MS)
    assert not view.is_alive("b", ALIVE_TIMEOUT_MS + 1)
    assert view.heartbeats(ALIVE_TIMEOUT_MS + 1) == []


def test_a_node_whose_port_refuses_is_down_at_once(view):
    view.mark_refused("b")
    assert not view.is_alive("b", 1)
    view.receive(attrs.evolve(REPORT, sequence=8), 5)
    assert view.is_alive("b", 6)


def test_the_retries_of_a_silent_node_count_until_the_window_has_passed(view):
    clock = ManualClock()
    budget = FleetRetryBudget(RetryAllowance(0.2, 54, 10_000))
    retries = SharedRetryBudget(budget, view, clock)
    clock.advance(10_000)
    assert retries.peer_usage("s").past_retries == 2
    clock.advance(1)
    assert retries.peer_usage("s").past_retries == 0


def test_the_word_of_a_node_that_does_not_hear_this_one_is_no_share_of_it(view):
    """Packets are lost one way: the other spends by what it heard before, and so would this one."""
    clock = ManualClock()
    retries = SharedRetryBudget(FleetRetryBudget(RetryAllowance(0.2, 54, 10_000)), view, clock)
    others = retries.peer_usage("s")
    assert (others.connected_nodes, others.sharing_nodes, others.past_retries) == (2, 2, 0)
    assert others.reported == (RetryUsage(10, 2),)
    deaf = RetryHistory(10_000, frozenset({"c"}))
    view.receive(attrs.evolve(REPORT, sequence=8, retry_history=deaf), 0)
    others = retries.peer_usage("s")
    assert (others.connected_nodes, others.sharing_nodes, others.past_retries) == (1, 2, 2)


def test_a_process_that_starts_again_takes_over_what_others_remember():
    """The retries of the process before were forgotten at once, by itself and by the others."""
    clock = ManualClock(5_000)
    view = FleetView("a")
    budget = FleetRetryBudget(RetryAllowance(0.2, 54, 10_000), started_ms=5_000)
    retries = SharedRetryBudget(budget, view, clock)
    assert not retries.peer_usage("s").is_entitled
    memory = RetryHistory(10_000, frozenset({"a"}), {"s": 40}, 1)
    view.receive(attrs.evolve(REPORT, retry_history=memory), 5_000)
    others = retries.peer_usage("s")
    assert (others.is_entitled, others.past_retries, others.ended_processes) == (True, 40, 1)


@pytest.mark.parametrize("change", [{"is_active": False}, {"is_leaving": True}])
def test_processes_that_end_without_a_share_take_none_of_the_reserve(change):
    """A hundred nodes without callers start again: nothing of the reserve was left for the rest."""
    view = FleetView("a")
    for number in range(100):
        card = attrs.evolve(CARD, name=f"n{number}")
        view.receive(attrs.evolve(REPORT, record=card, **change), 0)
        view.receive(attrs.evolve(REPORT, record=attrs.evolve(card, boot="b-2"), sequence=1), 500)
    budget = FleetRetryBudget(RetryAllowance(0.2, 54, 10_000))
    assert SharedRetryBudget(budget, view, ManualClock(600)).peer_usage("s").ended_processes == 0


def test_the_retries_of_a_process_that_has_ended_stay_in_the_window(view):
    view.receive(attrs.evolve(REPORT, record=attrs.evolve(CARD, boot="b-2"), sequence=1), 500)
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


def test_work_is_summed_over_the_others(view):
    view.receive(attrs.evolve(REPORT, record=attrs.evolve(CARD, name="c")), 0)
    work = view.work_at(ServerLife("i-1"), 10)
    assert (work.requests, work.requests_by_adapter["m/a1"]) == (4, 4)


def test_the_highest_epoch_names_the_holder(view):
    view.apply_claim(CellLeaseClaim("s", "c", 3))
    assert view.claim_of("s").holder == "b"
    view.apply_claim(CellLeaseClaim("s", "c", 5))
    assert view.claim_of("s").holder == "c"


def test_nodes_are_counted_by_card_and_by_report(view):
    view.add_record(NodeRecord("z", "b", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"))
    assert view.node_count() == 3
    view.remove_record("z")
    assert view.node_count() == 2


def test_who_is_heard_can_be_reached(view):
    """A new node sends reports; the others have not read its card in the store yet.

    Without its addresses nobody would answer, and it would hear of nobody for seconds.
    """
    assert view.record_by_name["b"] == CARD
