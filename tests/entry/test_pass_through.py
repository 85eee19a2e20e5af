"""Requests through a real entry node: what reaches a server, and what the caller receives."""

from __future__ import annotations

import re

import gevent
import pytest
from gevent import socket

from monsoonflow.core.server_life import ServerLife
from monsoonflow.entry.settings import PeerBounds
from tests.entry.conftest import HOST, route, wait_for


@pytest.fixture
def entry_node(fleet):
    fleet.plain("i-1")
    fleet.plain("i-2")
    return fleet.node()


def run_count(fleet, request_id):
    return sum(server.ran[request_id] for server in fleet.servers)


def test_a_request_reaches_a_server_unchanged(fleet, entry_node):
    answer = fleet.ask(entry_node, "/look/a%2Fb//c?x=1", "r1", b"body", X_Custom="v")
    assert answer.head.status == 200
    assert answer.body.endswith(b"/look/a%2Fb//c?x=1 body")
    assert answer.head.value(b"x-server-signature").startswith(b"sig-")
    request = next(server.requests[0] for server in fleet.servers if server.requests)
    assert request.value(b"x-custom") == b"v"
    assert request.value(b"host") == HOST.encode()
    assert 1_500 < int(request.value(b"x-deadline-ms")) <= 2_000


def test_headers_that_only_the_system_sets_are_dropped(fleet, entry_node):
    """A caller sends headers that instruct servers: a hold, a pin, another server's memory."""
    fleet.ask(
        entry_node,
        "/look/x",
        "r1",
        X_Hold="h",
        X_Pin_Ms="5",
        X_Kv_Backup="1.1.1.1:1",
        Kv_From="1.1.1.1:1/x",
        X_Request_Priority="0",
        X_Expect_Version="9",
        Connection="X-Request-Id, X-Other",
        X_Other="o",
    )
    request = next(server.requests[0] for server in fleet.servers if server.requests)
    names = {name.lower() for name, _ in request.headers}
    assert not names & {b"x-hold", b"x-pin-ms", b"x-kv-backup", b"kv-from", b"x-other"}
    assert not names & {b"x-request-priority", b"x-expect-version"}
    assert request.value(b"x-request-id") == b"r1"


def test_an_unknown_route_is_404_and_no_configuration_is_503(fleet, entry_node):
    assert fleet.ask(entry_node, "/none/x", "r1").head.status == 404
    entry_node.daemon.cluster_state.route_table = None
    answer = fleet.ask(entry_node, "/look/x", "r2")
    assert answer.head.status == 503
    assert answer.head.value(b"retry-after") is not None


def test_a_request_without_an_id_is_refused(fleet, entry_node):
    assert fleet.ask(entry_node, "/look/x", "").head.status == 400


def test_a_failed_idempotent_request_is_retried_once_at_another_server(fleet, entry_node):
    for server in fleet.servers:
        server.faults.fail = 1
    first, second = fleet.servers
    answer = fleet.ask(entry_node, "/look/x", "r1")
    assert answer.head.status == 500
    assert (first.ran["r1"], second.ran["r1"]) == (1, 1)
    assert fleet.ask(entry_node, "/look/x", "r2").head.status == 200


@pytest.mark.parametrize("fault", ["fail", "lose", "rot", "foreign", "shed_silently"])
def test_a_non_idempotent_request_is_sent_once(fleet, entry_node, fault):
    """A payment runs, and its answer is lost, corrupted, or belongs to another request.

    Sent again, it would pay twice. The caller gets an error that does not promise that nothing ran.
    """
    for server in fleet.servers:
        setattr(server.faults, fault, 1)
    answer = fleet.ask(entry_node, "/write/x", "r1", b"pay")
    assert answer.head.status in (500, 502, 504)
    assert run_count(fleet, "r1") <= 1
    assert sum(len(server.requests) for server in fleet.servers) <= 1


def test_a_request_that_was_refused_unrun_is_retried(fleet, entry_node):
    for server in fleet.servers:
        server.faults.shed = 1
    answer = fleet.ask(entry_node, "/write/x", "r1", b"pay")
    assert answer.head.status in (200, 503)
    if answer.head.status == 503:
        assert run_count(fleet, "r1") == 0
        assert answer.head.value(b"retry-after") is not None


def test_a_request_that_may_have_run_is_never_answered_as_not_run(fleet, entry_node):
    """One server runs the request and loses its answer; the other refuses it unrun each time.

    The last result is a refusal, but the request has run: 503 would promise that it has not.
    """
    first, second = fleet.servers
    first.faults.lose = 9
    second.faults.shed = 100
    entry_node.daemon.health_tracker.record_result(
        "i-2", False, 10, entry_node.daemon.clock.now_ms()
    )
    answer = fleet.ask(entry_node, "/look/x", "r1", deadline_ms=500)
    assert 1 <= first.ran["r1"] <= 2
    assert answer.head.status in (502, 504)


def test_an_answer_without_the_servers_signature_is_an_error(fleet, entry_node):
    for server in fleet.servers:
        server.faults.rot = 5
    assert fleet.ask(entry_node, "/look/x", "r1").head.status == 502


def test_a_server_at_a_reused_address_runs_no_requests_for_the_previous_one(fleet, entry_node):
    """A server has ended, and its address now belongs to another one.

    The request names the server life that it is meant for; the other server refuses it unrun.
    """
    for server in fleet.servers:
        server.server_id = "i-other"
    answer = fleet.ask(entry_node, "/write/x", "r1", b"pay")
    assert answer.head.status == 503
    assert run_count(fleet, "r1") == 0


def test_a_stopped_server_fails_no_requests(fleet, entry_node):
    fleet.servers[0].stop()
    statuses = [fleet.ask(entry_node, "/look/x", f"r{number}").head.status for number in range(20)]
    assert statuses == [200] * 20


def test_a_draining_server_gets_no_new_requests(fleet, entry_node):
    draining, staying = fleet.servers
    fleet.store.put("servers", "i-1", draining.entry(state="draining"))
    wait_for(
        lambda: not entry_node.daemon.cluster_state.server_registry.is_accepting_work(
            ServerLife("i-1")
        )
    )
    for number in range(10):
        fleet.ask(entry_node, "/look/x", f"r{number}")
    assert not draining.requests
    assert len(staying.requests) == 10


def test_a_request_is_answered_at_the_timeout_of_its_route(fleet, entry_node):
    """A server works for longer than the route's timeout.

    The caller is answered at the timeout. The request may have run, so 503 would be wrong.
    """
    short_route = route("write", "non_idempotent", "plain", attempts=1, timeoutMs=300)
    fleet.configure(version=2, routes=[short_route])
    wait_for(lambda: entry_node.daemon.cluster_state.route_table.version == 2)
    for server in fleet.servers:
        server.faults.slow_ms = 2_000
    started_s = gevent.get_hub().loop.now()
    answer = fleet.ask(entry_node, "/write/x", "r1")
    assert answer.head.status == 504
    assert gevent.get_hub().loop.now() - started_s < 0.6
    wait_for(lambda: sum(server.left for server in fleet.servers) == 1)


def test_a_disconnected_caller_ends_the_servers_work(fleet, entry_node):
    """A caller closes its connection while a server works for it.

    The server's connection is closed at once; otherwise the server would work for nobody.
    """
    for server in fleet.servers:
        server.faults.slow_ms = 3_000
    host, port = entry_node.address.split(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(
        b"POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
        b"X-Deadline-Ms: 2900\r\nContent-Length: 0\r\n\r\n"
    )
    wait_for(lambda: run_count(fleet, "r1"))
    sock.close()
    wait_for(lambda: sum(server.left for server in fleet.servers) == 1, 0.3)
    assert entry_node.daemon.in_flight.work_by_server == {}


def test_an_unusable_configuration_leaves_the_last_good_one_in_force(fleet, entry_node):
    fleet.store.put("op", "config", {"version": 9, "routes": "none"})
    fleet.store.put("op", "other", {"x": 1})
    fleet.store.rows["servers", "i-bad"] = (fleet.store.version, "%%%")
    fleet.store.put("servers", "i-worse", {"service": 5})
    gevent.sleep(0.2)
    assert fleet.ask(entry_node, "/look/x", "r1").head.status == 200
    assert entry_node.daemon.cluster_state.route_table.version == 1


def test_a_lower_configuration_version_never_comes_into_force(fleet, entry_node):
    fleet.configure(version=5)
    wait_for(lambda: entry_node.daemon.cluster_state.route_table.version == 5)
    fleet.configure(version=4, routes=[])
    gevent.sleep(0.2)
    assert entry_node.daemon.cluster_state.route_table.version == 5
    assert fleet.ask(entry_node, "/look/x", "r1").head.status == 200


def test_with_one_server_left_a_failed_request_is_retried_there(fleet):
    """Two of three servers are gone, and the last one fails one request in seven.

    Without another server the retry goes there; its answer is never replaced by one of the node.
    """
    server = fleet.plain("i-1")
    node = fleet.node()
    server.faults.fail = 1
    assert fleet.ask(node, "/look/x", "r1").head.status == 200
    server.faults.fail = 5
    answer = fleet.ask(node, "/look/x", "r2")
    assert answer.head.status == 500
    assert answer.head.value(b"x-server-signature") is not None


def test_requests_at_a_hanging_server_are_retried_at_another(fleet, entry_node):
    """One of two servers accepts requests and never answers; its recorded health is good.

    A request that may run twice is retried at the other one well before its deadline, and new
    requests go to the other one.
    """
    hanging, good = fleet.servers
    for _ in range(9):
        entry_node.daemon.health_tracker.record_result(
            ServerLife("i-1"), True, 1, entry_node.daemon.clock.now_ms()
        )
    hanging.faults.slow_ms = 30_000
    started_s = gevent.get_hub().loop.now()
    answers = [fleet.ask(entry_node, "/look/x", f"r{number}") for number in range(12)]
    assert [answer.head.status for answer in answers] == [200] * 12
    assert gevent.get_hub().loop.now() - started_s < 3
    assert sum(good.ran[f"r{number}"] for number in range(12)) == 12


def test_disconnected_callers_do_not_count_as_server_failures(fleet, entry_node):
    """Callers disconnect after a moment while a server works normally.

    Counted as failures, these would take work away from a healthy server.
    """
    for server in fleet.servers:
        server.faults.slow_ms = 2_000
    host, port = entry_node.address.split(":")
    for number in range(5):
        sock = socket.create_connection((host, int(port)))
        sock.sendall(
            b"POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%d\r\n"
            b"Content-Length: 0\r\n\r\n" % number
        )
        wait_for(lambda number=number: run_count(fleet, f"r{number}"))
        sock.close()
    wait_for(lambda: sum(server.left for server in fleet.servers) == 5, 1.0)
    now_ms = entry_node.daemon.clock.now_ms()
    failure_shares = [
        entry_node.daemon.health_tracker.failure_share(f"i-{number}", now_ms) for number in (1, 2)
    ]
    assert failure_shares == [0.0, 0.0]


def test_a_request_is_not_repeated_at_a_refusing_server(fleet):
    """One server of a service is left, and it refuses requests that it has no room for.

    A request was sent there every 2 ms until its deadline passed or the retries of the whole fleet
    were used up: ninety nodes caused 490 extra arrivals in ten seconds, where 454 are allowed. A
    request that no server accepts is refused at once, with a time to retry.
    """
    server = fleet.plain("i-1")
    node = fleet.node()
    server.faults.shed = 1_000
    answer = fleet.ask(node, "/look/x", "r1", method="GET", deadline_ms=1_000)
    assert answer.head.status == 503
    assert answer.head.value(b"retry-after") is not None
    assert 1_000 - server.faults.shed <= 2


def test_a_request_that_reached_no_server_uses_up_no_retry(fleet):
    """Several servers have ended; a request was refused only because it found one closed port."""
    fleet.bounds = PeerBounds(lease_ms=900, fenced=True, retry_ratio=0.0, retry_reserve=0.0)
    servers = [fleet.plain(f"i-{number}") for number in range(4)]
    node = fleet.node()
    wait_for(lambda: len(node.daemon.cluster_state.server_registry.servers_of("plain")) == 4)
    for server in servers[:3]:
        server.stop()
    answers = [fleet.ask(node, "/write/x", f"r{number}") for number in range(6)]
    assert [answer.head.status for answer in answers] == [200] * 6


def test_a_request_that_finds_every_port_closed_is_answered_at_once(fleet):
    """Attempts that use up no retry would continue from port to port until the deadline."""
    fleet.plain("i-1").stop()
    fleet.plain("i-2").stop()
    node = fleet.node()
    wait_for(lambda: len(node.daemon.cluster_state.server_registry.servers_of("plain")) == 2)
    started_ms = node.daemon.clock.now_ms()
    answer = fleet.ask(node, "/write/x", "r1")
    assert answer.head.status == 503
    assert node.daemon.clock.now_ms() - started_ms < 500
    assert node.daemon.retry_budget.usage("plain", started_ms).retries <= 12


def test_the_log_line_of_a_send_states_how_old_the_server_list_is(fleet, caplog):
    """Guards against late sends whose log can't tell if the node knew that the server left."""
    caplog.set_level("INFO")
    fleet.plain("a")
    node = fleet.node()
    assert fleet.ask(node, "/look/x", "r1").head.status == 200
    fleet.store.faults.silent = True
    gevent.sleep(2.2)
    assert fleet.ask(node, "/look/x", "r2").head.status == 200
    ages_ms = [
        int(re.search(r"servers_age_ms=(\d+)", line)[1])
        for line in caplog.messages
        if "event=request_sent" in line
    ]
    assert ages_ms[0] < 2_000 < ages_ms[1]
