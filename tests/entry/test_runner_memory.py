"""Tests that nodes and the lease holder respect the KV cache of runners; real nodes on loopback."""

from __future__ import annotations

import json

import gevent
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.entry.peers import SLOT_REQUEST_PATH
from monsoonflow.transport.client import ConnectionPools, call
from tests.entry.conftest import MODEL, wait_for

KV_TOKENS = 100_000
"""The KV cache of a runner in the configuration of these tests."""


@pytest.fixture
def runners(fleet):
    """Return two runners that hold an adapter."""
    runners = [fleet.runner("i-1"), fleet.runner("i-2")]
    for runner in runners:
        runner.adapters["a1"] = 1
    return runners


@pytest.fixture
def node(fleet, runners):
    """Return a node that holds the cell lease and knows where the adapter is."""
    node = fleet.node()
    fleet.holder()
    wait_for(lambda: len(node.daemon.cell_leases.residency.holders(f"{MODEL}/a1")) == 2)
    return node


def ask_for_slot(node, **changes):
    """Send a slot request as a peer; return the status of the answer."""
    slot_request = {
        "cell": "llm",
        "adapter": f"{MODEL}/a1",
        "version": 1,
        "priority": 0,
        "wait_ms": 500,
        "on_time_ms": 500,
        "avoid": [],
        "session": None,
        "lacking": [],
        "waited_ms": 0,
        "tried_ms": 0,
        **changes,
    }
    pools = ConnectionPools(MonotonicClock())
    address, body = node.daemon.settings.peer_address, json.dumps(slot_request).encode()
    return call(pools, address, "POST", SLOT_REQUEST_PATH, body, 2_000).head.status


def use_memory(node, life, tokens):
    """Let this node have a request at a runner that needs some KV cache."""
    in_flight = node.daemon.in_flight
    return in_flight.begin(life, node.daemon.clock.now_ms(), f"{MODEL}/a1", 0, tokens)


def lives(node):
    """Return the runners that hold the adapter."""
    return sorted(node.daemon.cell_leases.residency.holders(f"{MODEL}/a1"))


@pytest.mark.parametrize(("prompt_tokens", "status"), [(KV_TOKENS - 1, 200), (KV_TOKENS, 503)])
def test_a_prompt_that_exceeds_a_runner_is_refused_for_good(
    fleet, node, runners, prompt_tokens, status
):
    """A runner that begins such a request crashes, and with each retry another one does.

    503 states that nothing ran; another status of this node would blame the caller. A retry within
    seconds would fail as well.
    """
    answer = fleet.ask(
        node,
        "/read/x",
        "large",
        b"prompt",
        X_Model=f"{MODEL}/a1",
        X_Token_Count=f"{prompt_tokens},20",
    )
    assert answer.head.status == status
    is_refused = status == 503
    retry_after = answer.head.value(b"retry-after")
    assert (retry_after is not None and float(retry_after) >= 10) is is_refused
    assert sum(runner.ran["large"] for runner in runners) == (not is_refused)
    counted = node.daemon.metrics.memory_decisions.labels("too_large")._value.get()
    assert counted == is_refused


def test_a_request_is_sent_to_the_runner_with_room(fleet, node, runners):
    """The node's own requests fill one runner; no report of a peer is needed to know that."""
    full, other = lives(node)
    use_memory(node, full, KV_TOKENS)
    for number in range(6):
        assert fleet.generate(node, "a1", f"r{number}").head.status == 200
    by_life = {runner.server_id: len(runner.requests) for runner in runners}
    assert by_life[full.server_id] == 0
    assert by_life[other.server_id] == 6


def test_a_request_waits_while_no_runner_has_room_and_is_served_once_one_has(fleet, node, runners):
    """It must neither preempt a stream nor be refused while there is time."""
    tickets = [use_memory(node, life, KV_TOKENS) for life in lives(node)]
    task = gevent.spawn(fleet.generate, node, "a1", "waits")
    gevent.sleep(0.4)
    assert not task.ready()
    node.daemon.in_flight.end(tickets[0])
    assert task.get(timeout=3).head.status == 200


def test_a_request_for_which_no_runner_gets_room_is_refused_with_the_time_of_a_retry(fleet, node):
    """It is refused like a request without a slot: nothing ran, and the caller may retry."""
    for life in lives(node):
        use_memory(node, life, KV_TOKENS)
    answer = fleet.generate(node, "a1", "refused")
    assert answer.head.status == 503
    assert answer.head.value(b"retry-after") is not None


def test_a_node_that_sends_no_need_gets_a_slot_as_before(node):
    """A node of the previous release: its request must not wait for memory."""
    for life in lives(node):
        use_memory(node, life, 3 * KV_TOKENS)
    assert ask_for_slot(node) == 200
    assert ask_for_slot(node, memory_tokens=120) == 429


def test_a_holder_that_ignores_the_need_grants_a_slot_as_before(fleet, node, monkeypatch):
    """A holder of the previous release: the field is unknown to it."""
    for life in lives(node):
        use_memory(node, life, 3 * KV_TOKENS)
    request_slot = node.daemon.cell_leases.request_slot

    def ignore_need(lease, slot_request):
        known = {key: value for key, value in slot_request.items() if key != "memory_tokens"}
        return request_slot(lease, known)

    monkeypatch.setattr(node.daemon.cell_leases, "request_slot", ignore_need)
    assert fleet.generate(node, "a1", "r").head.status == 200


@pytest.mark.parametrize(
    "value", [None, -1, -(2**62), 1.5, 1e300, "120", "", True, [], {}, 2**80], ids=repr
)
def test_an_unusable_need_counts_as_unknown_and_is_logged_once(node, caplog, value):
    """Values of peers are untrusted: a wrong one must not fail or delay any request."""
    caplog.set_level("INFO")
    for _ in range(2):
        assert ask_for_slot(node, memory_tokens=value) == 200
    lines = [line for line in caplog.messages if "event=unusable_slot_need" in line]
    assert len(lines) == 1


def test_a_huge_need_does_not_delay_others(node):
    """A need above the cache counts as the whole cache, so only its own request waits."""
    for life in lives(node):
        use_memory(node, life, 1)
    task = gevent.spawn(ask_for_slot, node, memory_tokens=2**62)
    gevent.sleep(0.05)
    assert ask_for_slot(node, memory_tokens=120) == 200
    assert task.get(timeout=3) == 429


def test_the_holder_logs_and_counts_the_runners_that_it_left_out(node, caplog):
    """The cause of a wait at the holder must be found there."""
    caplog.set_level("INFO")
    for life in lives(node):
        use_memory(node, life, KV_TOKENS)
    assert ask_for_slot(node, memory_tokens=120) == 429
    [line] = [line for line in caplog.messages if "event=slots_full" in line]
    assert "cell=llm adapter=m/a1 need=120 capacity=100000 left_out=" in line
    assert "result=noslot" in line
    assert node.daemon.metrics.memory_decisions.labels("slots_full")._value.get() == 1


def test_without_the_store_the_memory_is_still_respected(fleet, node, runners):
    """Only heartbeats and slot requests are used, so a lost store changes nothing."""
    full, other = lives(node)
    use_memory(node, full, KV_TOKENS)
    fleet.store.stop()
    gevent.sleep(0.5)
    for number in range(4):
        assert fleet.generate(node, "a1", f"r{number}").head.status == 200
    by_life = {runner.server_id: len(runner.requests) for runner in runners}
    assert (by_life[full.server_id], by_life[other.server_id]) == (0, 4)


def test_after_the_lease_holder_was_killed_the_memory_is_still_respected(fleet, node, runners):
    """The other node sends by its own view until a successor plans, which knows the reports."""
    survivor = fleet.node()
    wait_for(lambda: len(lives(survivor)) == 2)
    full, other = lives(survivor)
    use_memory(survivor, full, KV_TOKENS)
    fleet.holder().kill()
    for number in range(20):
        assert fleet.generate(survivor, "a1", f"r{number}").head.status == 200
        gevent.sleep(0.1)
    by_life = {runner.server_id: len(runner.requests) for runner in runners}
    assert (by_life[full.server_id], by_life[other.server_id]) == (0, 20)
