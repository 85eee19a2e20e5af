"""Nodes that are partitioned from all servers, while callers, store and peers reach them."""

from __future__ import annotations

import gevent
import pytest

from tests.entry.conftest import wait_for
from tests.entry.partition import Cut, heal, make_partitionable, partition

CONTACT_S = 3.0
"""How long after the beginning of a partition callers may notice it."""

REQUESTS = 12
SERVED_SHARE = 2 / 3
"""Share of what the other nodes serve that a node without a path must serve."""


@pytest.fixture
def partitionable(fleet, monkeypatch):
    """Return a fleet of three nodes whose connections to servers can be cut."""
    make_partitionable(monkeypatch)
    for name in ("p-1", "p-2"):
        fleet.plain(name)
    for name in ("i-1", "i-2"):
        fleet.runner(name)
    for _ in range(3):
        fleet.node()
    fleet.holder()
    return fleet


def bystander(fleet):
    """Return a node that does not hold the cell lease."""
    return next(node for node in fleet.nodes if node is not fleet.holder())


def served(fleet, node, kind, prefix, adapters=("a1",)):
    """Send requests of a kind, one after the other; return how many are served."""
    count = 0
    for number in range(REQUESTS):
        name = f"{prefix}-{kind}-{number}"
        if kind in ("look", "write"):
            answer = fleet.ask(node, f"/{kind}/x", name, b"body", deadline_ms=1_500)
        else:
            answer = fleet.generate(node, adapters[number % len(adapters)], name, kind)
        count += answer.head.status == 200
    return count


@pytest.mark.parametrize("cut", list(Cut))
@pytest.mark.parametrize("kind", ["look", "write", "read", "once"])
def test_a_node_without_a_path_to_the_servers_serves_its_callers(partitionable, cut, kind):
    """Such a node refused callers whom its peers could serve."""
    fleet = partitionable
    node = bystander(fleet)
    other = next(peer for peer in fleet.nodes if peer is not node)
    assert served(fleet, node, kind, "before") == REQUESTS
    partition(node, cut)
    ends = gevent.spawn(served, fleet, node, kind, "during")
    gevent.sleep(CONTACT_S)
    ends.join()
    expected = served(fleet, other, kind, "other")
    assert served(fleet, node, kind, "after") >= SERVED_SHARE * expected
    assert all(count == 1 for server in fleet.servers for count in server.ran.values())


@pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET])
def test_adapters_are_loaded_while_the_lease_holder_has_no_path_to_the_runners(partitionable, cut):
    """Such a holder kept the cell lease: adapters were loaded for nobody."""
    fleet = partitionable
    holder = fleet.holder()
    other = next(node for node in fleet.nodes if node is not holder)
    assert served(fleet, other, "read", "before") == REQUESTS
    partition(holder, cut)
    ends = gevent.spawn(served, fleet, holder, "look", "during")
    gevent.sleep(CONTACT_S)
    ends.join()
    adapters = tuple(f"b{number}" for number in range(4))
    assert served(fleet, other, "read", "after", adapters) == REQUESTS


def test_callers_are_not_sent_to_a_node_without_a_path_to_the_servers(partitionable):
    """Such a node stayed advertised."""
    fleet = partitionable
    node = bystander(fleet)

    def advertised():
        return [
            node.address in peer.daemon.address_directory.choose("zone-1")[0]
            for peer in fleet.nodes
        ]

    wait_for(lambda: all(advertised()))
    partition(node, Cut.HANG)
    served(fleet, node, "look", "during")
    wait_for(lambda: not any(advertised()), within_s=CONTACT_S)
    heal(node)
    wait_for(lambda: all(advertised()))


def test_open_connections_are_used_while_all_nodes_are_refused_new_ones(partitionable):
    """Without a peer to forward to, callers would be refused although connections still work."""
    fleet = partitionable
    node = bystander(fleet)
    assert served(fleet, node, "look", "before") == REQUESTS
    for peer in fleet.nodes:
        partition(peer, Cut.REFUSE_NEW)
        peer.daemon.service_paths.check_is_lost("plain", 2)
    wait_for(lambda: all(peer.daemon.service_paths.is_lost("plain") for peer in fleet.nodes))
    assert served(fleet, node, "look", "during") >= SERVED_SHARE * REQUESTS


def test_callers_are_refused_at_once_while_no_node_reaches_a_server(partitionable):
    """Requests must not wait for connections that nobody can open."""
    fleet = partitionable
    node = bystander(fleet)
    for peer in fleet.nodes:
        partition(peer, Cut.HANG)
        for connection in peer.daemon.connection_pools.connections:
            connection.close()
    served(fleet, node, "look", "during")
    wait_for(lambda: all(peer.daemon.service_paths.is_lost("plain") for peer in fleet.nodes))
    gevent.sleep(0.3)
    began_ms = node.daemon.clock.now_ms()
    answer = fleet.ask(node, "/look/x", "late", b"body", deadline_ms=1_500)
    assert answer.head.status == 503
    assert float(answer.head.value(b"retry-after")) > 0
    assert node.daemon.clock.now_ms() - began_ms < 100


def test_only_peers_may_hand_a_request_over(partitionable):
    """A caller that sends the header of a forwarded request could shift its deadline."""
    fleet = partitionable
    node = bystander(fleet)
    answer = fleet.ask(node, "/look/x", "r1", b"body", X_Monsoonflow_Forwarded="60000,9")
    assert answer.head.status == 200
    (request,) = [request for server in fleet.servers for request in server.requests]
    assert request.value(b"x-monsoonflow-forwarded") is None
    assert 1_500 < int(request.value(b"x-deadline-ms")) <= 2_000


def test_a_forwarded_request_reaches_its_server_as_the_caller_sent_it(partitionable):
    fleet = partitionable
    node = bystander(fleet)
    partition(node, Cut.RESET)
    wait_for(lambda: node.daemon.service_paths.check_is_lost("plain", 2))
    began_ms = node.daemon.clock.now_ms()
    answer = fleet.ask(node, "/look/a?b=c", "r1", b"body", deadline_ms=1_500, X_Own="1")
    took_ms = node.daemon.clock.now_ms() - began_ms
    assert answer.head.status == 200
    (request,) = [request for server in fleet.servers for request in server.requests]
    assert (request.target, request.body) == (b"/look/a?b=c", b"body")
    assert request.value(b"x-own") == b"1"
    assert request.value(b"x-monsoonflow-forwarded") is None
    assert 1_500 - took_ms - 50 <= int(request.value(b"x-deadline-ms")) <= 1_500
    usage = [peer.daemon.retry_budget.usage_by_service(began_ms) for peer in fleet.nodes]
    assert sum(counts["plain"].first_attempts for counts in usage if "plain" in counts) == 1


def forwarded_request(fleet, work_ms, deadline_ms):
    """Return a node without a path, the servers, and a caller whose request a server has got."""
    node = bystander(fleet)
    partition(node, Cut.RESET)
    wait_for(lambda: node.daemon.service_paths.check_is_lost("plain", 2))
    servers = [server for server in fleet.servers if server.service == "plain"]
    for server in servers:
        server.faults.slow_ms = work_ms
    caller = gevent.spawn(fleet.ask, node, "/write/x", "r1", b"body", deadline_ms=deadline_ms)
    wait_for(lambda: any(server.requests for server in servers))
    return node, servers, caller


def test_a_server_stops_working_when_the_caller_of_a_forwarded_request_leaves(partitionable):
    """The peer must notice that nobody waits for the answer any more."""
    _, servers, caller = forwarded_request(partitionable, work_ms=5_000, deadline_ms=4_000)
    caller.kill()
    wait_for(lambda: any(server.left for server in servers), within_s=0.5)


def test_a_request_is_not_sent_again_after_its_peer_was_lost(partitionable):
    """The peer may have sent it to a server, so it is neither refused as not run nor repeated."""
    node, servers, caller = forwarded_request(partitionable, work_ms=600, deadline_ms=2_000)
    for connections in list(node.daemon.forwarding_pools.connections):
        connections._sock.shutdown(2)
    assert caller.get().head.status == 502
    gevent.sleep(0.7)
    assert sum(server.ran["r1"] for server in servers) == 1


def test_servers_are_used_again_soon_after_a_partition(partitionable):
    """Pauses that doubled during the partition must not outlast it."""
    fleet = partitionable
    node = bystander(fleet)
    partition(node, Cut.HANG)
    for number in range(3):
        served(fleet, node, "look", f"during-{number}")
        gevent.sleep(0.8)
    heal(node)
    wait_for(lambda: not node.daemon.service_paths.is_lost("plain"), within_s=1)
    assert served(fleet, node, "look", "after") == REQUESTS
    assert not any(
        node.daemon.health_tracker.is_paused(server.server_id, node.daemon.clock.now_ms())
        for server in fleet.servers
        if server.service == "plain"
    )


def test_refused_connections_of_a_node_without_a_path_are_no_crashes_of_servers(partitionable):
    """Requests that such a node had at three servers were quarantined on all nodes for an hour."""
    fleet = partitionable
    fleet.plain("p-3")
    node = bystander(fleet)
    wait_for(lambda: len(node.daemon.cluster_state.server_registry.servers_of("plain")) == 3)
    servers = [server for server in fleet.servers if server.service == "plain"]
    for server in servers:
        server.faults.slow_ms = 400
    callers = [
        gevent.spawn(fleet.ask, node, "/write/x", f"r{number}", b"body", deadline_ms=1_500)
        for number in range(9)
    ]
    wait_for(lambda: all(server.requests for server in servers))
    partition(node, Cut.RESET)
    gevent.joinall(callers)
    gevent.sleep(0.5)
    answers = [
        fleet.ask(peer, "/write/x", f"again-{peer.address}", b"body") for peer in fleet.nodes
    ]
    assert [answer.head.status for answer in answers] == [200] * len(fleet.nodes)
    assert not any(peer.daemon.quarantine_manager.suspects.quarantined() for peer in fleet.nodes)


def test_a_refusal_that_a_peer_passes_on_rests_servers_at_the_peer_only(partitionable):
    """The time that a peer tells callers is no word of a server to the node between."""
    fleet = partitionable
    node = bystander(fleet)
    peers = [peer for peer in fleet.nodes if peer is not node]
    partition(node, Cut.REFUSE_NEW)
    wait_for(lambda: served(fleet, node, "look", "before") == REQUESTS)
    for server in fleet.servers:
        server.faults.shed, server.faults.rest = 1_000_000, "3"
    assert served(fleet, node, "look", "resting") == 0
    answer = fleet.ask(node, "/look/x", "refused", b"body", deadline_ms=1_500)
    assert answer.head.status == 503
    assert answer.head.value(b"retry-after") is not None
    assert node.daemon.server_limits.resting_count() == 0
    assert any(peer.daemon.server_limits.resting_count() for peer in peers)
