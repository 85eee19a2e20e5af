"""Servers that say in their answers that they leave, or ask for rest, behind real entry nodes."""

from __future__ import annotations

import itertools
import time

import gevent
import pytest

from monsoonflow.core.server_life import ServerLife
from tests.entry.conftest import wait_for
from tests.entry.server_notices import (
    MAX_IN_REST,
    arrivals_by_node,
    generate,
    late_arrivals,
    look,
    most_in_a_rest,
    send_for,
    share_served,
    told_rests,
)

MIN_SHARE_SERVED = 0.98
REFUSED_WITHIN_S = 0.3
"""How soon a request is refused that no server takes."""

FIRST_STEP_S = 0.08
"""Shorter than the time after which a node sends a second request to a server that is silent."""

KINDS = pytest.mark.parametrize(("add", "ask"), [("plain", look), ("runner", generate)])


def add_servers(fleet, add, count=3):
    """Add servers of one kind; model runners hold the adapter that callers ask for."""
    servers = [getattr(fleet, add)(f"i-{number}") for number in range(count)]
    if add == "runner":
        for server in servers:
            server.adapters["a1"] = 1
    return servers


def begin(fleet, add, ask, nodes=1):
    """Return the servers of a fleet that has answered some requests, the busiest one first."""
    servers = add_servers(fleet, add)
    for _ in range(nodes):
        fleet.node()
    if add == "runner":
        fleet.holder()
    wait_for(lambda: ask(fleet, fleet.nodes[0], "n1-first").head.status == 200)
    send_for(fleet, ask, 0.5)
    return sorted(servers, key=lambda server: len(server.arrived), reverse=True)


@KINDS
@pytest.mark.parametrize("is_store_down", [False, True])
def test_no_request_reaches_a_server_long_after_it_said_that_it_leaves(
    fleet, add, ask, is_store_down
):
    """Only the store's entry counted: 130 requests reached a server later than 2 s."""
    leaving = begin(fleet, add, ask)[0]
    fleet.store.faults.down = is_store_down
    leaving.faults.leaving = True
    asked = send_for(fleet, ask, 6.0)
    assert leaving.said
    assert late_arrivals(leaving) == []
    assert share_served(asked) >= MIN_SHARE_SERVED


@KINDS
def test_no_node_sends_to_a_server_of_which_a_peer_has_heard_that_it_leaves(fleet, add, ask):
    """Each node had to be told by an answer of its own, and the holder placed adapters there."""
    leaving = begin(fleet, add, ask, nodes=3)[0]
    fleet.store.faults.down = True
    leaving.faults.leaving = True
    send_for(fleet, ask, 3.0)
    told_s = leaving.said[0].at_s
    assert [at_s for at_s, _ in leaving.arrived if at_s > told_s + 1.0] == []


def test_no_adapter_is_loaded_at_a_runner_that_says_that_it_leaves(fleet):
    """The holder ordered four loads within 0.6 s at a runner that was about to exit."""
    _, *leaving = begin(fleet, "runner", generate)
    fleet.store.faults.down = True
    for runner in leaving:
        runner.faults.leaving = True
    load_adapters(fleet, "b")
    asked = itertools.count()
    with gevent.Timeout(6):
        while not all(runner.said for runner in leaving):
            load_adapters(fleet, f"d{next(asked)}-", count=1)
    gevent.sleep(0.5)
    sequences = [runner.sequence for runner in leaving]
    load_adapters(fleet, "c")
    assert [runner.sequence for runner in leaving] == sequences


def load_adapters(fleet, prefix, count=4):
    """Ask for adapters that no runner holds."""
    for number in range(count):
        assert fleet.generate(fleet.nodes[0], f"{prefix}{number}", f"n1-{prefix}{number}")
        gevent.sleep(0.2)


@KINDS
@pytest.mark.parametrize("resting_count", [1, 2])
def test_servers_that_ask_for_rest_get_it_while_others_serve(fleet, add, ask, resting_count):
    """A server that refuses at once looks idle beside busy ones, and got most requests."""
    servers = begin(fleet, add, ask)
    for resting in servers[:resting_count]:
        resting.faults.shed, resting.faults.rest = 1_000_000, "3"
    for busy in servers[resting_count:]:
        busy.faults.slow_ms = 150
    asked = send_for(fleet, ask, 7.0, pause_s=0.06)
    assert told_rests(servers)
    assert most_in_a_rest(servers) <= MAX_IN_REST
    assert share_served(asked) >= MIN_SHARE_SERVED


@KINDS
def test_callers_are_refused_at_once_while_all_servers_rest(fleet, add, ask):
    """Each request was tried at each server, 81 of them at one within its 3 s of rest."""
    servers = begin(fleet, add, ask)
    for server in servers:
        server.faults.shed, server.faults.rest = 1_000_000, "3"
    asked = send_for(fleet, ask, 4.0)
    assert most_in_a_rest(servers) <= MAX_IN_REST
    refused = [one for one in asked if one.status == 503]
    assert len(refused) >= 0.9 * len(asked)
    assert max(one.took_s for one in refused) <= REFUSED_WITHIN_S
    assert all(one.retry_after_s is not None for one in refused)


@KINDS
def test_all_are_served_soon_after_the_rests_end(fleet, add, ask):
    """The time until the first server is back counts from its word."""
    servers = begin(fleet, add, ask)
    for server in servers:
        server.faults.shed, server.faults.rest = 1_000_000, "2"
    send_for(fleet, ask, 0.5)
    for server in servers:
        server.faults.shed = 0
    end_s = max(said.at_s + said.rest_s for server in servers for said in server.said)
    gevent.sleep(max(0.0, end_s + 1.0 - time.monotonic()))
    assert most_in_a_rest(servers) <= MAX_IN_REST
    assert share_served(send_for(fleet, ask, 2.0)) == 1.0


def test_the_only_holder_of_an_adapter_rests(fleet):
    """Its requests were sent to it again and again, though another runner could load it."""
    runners = [fleet.runner("i-1"), fleet.runner("i-2")]
    node = fleet.node()
    fleet.holder()
    wait_for(lambda: generate(fleet, node, "n1-first").head.status == 200)
    [resting] = [runner for runner in runners if runner.begun]
    resting.faults.shed, resting.faults.rest = 1_000_000, "3"
    asked = send_for(fleet, generate, 4.0)
    assert most_in_a_rest(runners) <= MAX_IN_REST
    assert share_served(asked) >= MIN_SHARE_SERVED


@KINDS
def test_nodes_return_to_a_rested_server_one_request_at_a_time(fleet, add, ask):
    """All requests that came after a rest went to the servers at once, which shed again."""
    servers = begin(fleet, add, ask, nodes=3)
    for server in servers:
        server.faults.shed, server.faults.rest = 1_000_000, "1"
    send_for(fleet, ask, 0.7, pause_s=0.01)
    for server in servers:
        server.faults.shed, server.faults.slow_ms = 0, 300
    ended_s = time.monotonic()
    send_for(fleet, ask, 1.2, pause_s=0.01)
    returns = [
        [at_s for at_s, name in arrivals_by_node(server) if name == node and at_s > ended_s]
        for server in servers
        for node in ("n1", "n2", "n3")
    ]
    assert sum(map(bool, returns)) >= 6
    for arrived_s in filter(None, returns):
        assert sum(at_s < arrived_s[0] + FIRST_STEP_S for at_s in arrived_s) == 1


def test_a_rest_is_asked_of_one_node(fleet):
    """A single rejection must not empty a server of the whole fleet."""
    server = fleet.plain("i-1")
    nodes = [fleet.node() for _ in range(2)]
    for number, node in enumerate(nodes):
        wait_for(lambda node=node, number=number: served(fleet, node, f"first-{number}"))
    server.faults.shed, server.faults.rest = 1, "3"
    assert not served(fleet, nodes[0], "n1-refused")
    assert not served(fleet, nodes[0], "n1-resting")
    assert served(fleet, nodes[1], "n2-served")
    assert most_in_a_rest([server]) == 0


def test_the_next_life_of_a_server_neither_leaves_nor_rests(fleet):
    """What a process said of itself ended with it."""
    server = fleet.plain("i-1")
    server.born = 1_000
    fleet.store.put("servers", "i-1", server.entry())
    node = fleet.node()
    wait_for(lambda: served(fleet, node, "n1-first"))
    server.faults.leaving, server.faults.shed, server.faults.rest = True, 1, "60"
    assert not served(fleet, node, "n1-told")
    server.faults.leaving = False
    fleet.store.put("servers", "i-1", server.entry(sequence=2))
    gevent.sleep(0.5)
    assert not served(fleet, node, "n1-same-life")
    server.born = 2_000
    fleet.store.put("servers", "i-1", server.entry())
    wait_for(lambda: served(fleet, node, "n1-next-life"), within_s=2)


def served(fleet, node, request_id):
    """Return whether a request is answered with success."""
    return look(fleet, node, request_id).head.status == 200


@pytest.mark.parametrize("refusals", [1, 6])
def test_a_server_is_tried_within_a_second_of_the_end_of_its_rest(fleet, refusals):
    """Others served all requests meanwhile, and its capacity lay idle for seconds."""
    servers = [fleet.plain("i-1"), fleet.plain("i-2")]
    daemon = (node := fleet.node()).daemon
    wait_for(lambda: len(daemon.cluster_state.server_registry.servers_of("plain")) == 2)
    rested, other = map(ServerLife, ("i-1", "i-2"))
    for server in servers:
        server.faults.slow_ms = 20
    for life in (rested, other) * 30:
        daemon.health_tracker.record_result(life, True, 25, daemon.clock.now_ms())
    for _ in range(refusals):
        daemon.health_tracker.record_result(rested, False, 2, daemon.clock.now_ms())
        daemon.server_limits.record_rest(rested, 300)
    gevent.sleep(0.35)
    for number in range(20):
        assert served(fleet, node, f"after-{number}")
        gevent.sleep(0.02)
    assert servers[0].requests
