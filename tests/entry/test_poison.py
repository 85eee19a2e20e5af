"""Requests that crash servers, with real entry nodes."""

from __future__ import annotations

import gevent
import pytest

from monsoonflow.transport.client import Answer, ConnectionPools, call
from stand_ins.platform_runner import RunnerFaults
from tests.entry.conftest import HOST, MODEL, wait_for
from tests.entry.crashing_runners import Supervisor

POISON = b"poison"


@pytest.fixture
def supervisor(fleet):
    """Yield the supervisor of five runners that the poison crashes, with three nodes."""
    supervisor = Supervisor(fleet)
    supervisor.faults.poison = POISON
    supervisor.add_runners(5)
    for _ in range(3):
        fleet.node()
    fleet.holder()
    yield supervisor
    supervisor.stop()


def send(fleet, node, request_id, body, path="read"):
    """Send a request for a generation; return the answer, or how it was lost."""
    headers = (
        (b"X-Request-Id", request_id.encode()),
        (b"X-Deadline-Ms", b"2000"),
        (b"X-Model", f"{MODEL}/a1".encode()),
        (b"X-Token-Count", b"100,20"),
    )
    pools = ConnectionPools(fleet.nodes[0].daemon.clock)
    return call(pools, node.address, "POST", f"/{path}/x", body, 5_000, headers, host=HOST)


def test_a_request_that_crashed_three_servers_reaches_no_other(fleet, supervisor):
    """The request returns with another id at any node; one such had crashed eighteen servers."""
    for number in range(24):
        send(fleet, fleet.nodes[number % 3], f"p{number}", POISON)
        gevent.sleep(0.1)
    assert len(supervisor.crashed) <= 4


def test_requests_beside_one_that_crashes_servers_are_served(fleet, supervisor):
    """Other requests run at the same servers when these crash."""
    answers = []
    for number in range(24):
        node = fleet.nodes[number % 3]
        innocent_tasks = [
            gevent.spawn(send, fleet, node, f"g{number}-{n}", b"good %d" % n) for n in (1, 2)
        ]
        send(fleet, node, f"p{number}", POISON)
        answers += [task.get() for task in innocent_tasks]
        gevent.sleep(0.1)
    later = [answer for answer in answers[16:] if isinstance(answer, Answer)]
    served = sum(answer.head.status == 200 for answer in later)
    assert served >= 0.9 * len(answers[16:])


def test_a_running_suspect_is_not_joined_by_another(fleet, supervisor):
    """Innocent requests that were still being answered ran at the third server with the culprit."""
    supervisor.event_ms = 80
    for server in fleet.servers:
        server.event_ms = 80
    node = fleet.nodes[0]
    bodies = (b"good 1", b"good 2", POISON)
    for number in range(3):
        tasks = [
            gevent.spawn(send, fleet, node, f"r{number}-{index}", body)
            for index, body in enumerate(bodies)
        ]
        gevent.joinall(tasks)
        wait_for(lambda: len(fleet.servers) == 5)
    suspects = [node.daemon.quarantine_manager.suspects for node in fleet.nodes]
    assert max(len(suspect_list.quarantined()) for suspect_list in suspects) <= 1


def test_a_node_that_starts_knows_the_quarantined_requests(fleet, supervisor):
    for number in range(6):
        send(fleet, fleet.nodes[number % 3], f"p{number}", POISON)
        gevent.sleep(0.1)
    wait_for(lambda: len(fleet.servers) == 5)
    newcomer = fleet.node()
    crashed = len(supervisor.crashed)
    for number in range(4):
        send(fleet, newcomer, f"p-new{number}", POISON)
        gevent.sleep(0.2)
    assert len(supervisor.crashed) == crashed


def test_quarantined_requests_are_known_after_all_nodes_were_killed(fleet, supervisor):
    for number in range(6):
        send(fleet, fleet.nodes[number % 3], f"p{number}", POISON)
        gevent.sleep(0.1)
    for node in fleet.nodes:
        node.kill()
    fleet.nodes.clear()
    wait_for(lambda: len(fleet.servers) == 5)
    newcomer = fleet.node()
    fleet.holder()
    crashed = len(supervisor.crashed)
    for number in range(4):
        send(fleet, newcomer, f"p-new{number}", POISON)
        gevent.sleep(0.2)
    assert len(supervisor.crashed) == crashed


def test_a_failed_run_does_not_clear_a_suspected_request(fleet, supervisor):
    """A server that fails some of its requests has not run this one to its end."""
    for node in fleet.nodes[1:]:
        node.kill()
    node = fleet.nodes[0]
    fleet.holder()
    send(fleet, node, "p0", POISON)
    wait_for(lambda: len(supervisor.crashed) == 2)
    supervisor.faults.poison, supervisor.faults.fail = None, 9
    answer = send(fleet, node, "p1", POISON)
    assert answer.head.status == 500
    supervisor.faults.poison, supervisor.faults.fail = POISON, 0
    send(fleet, node, "p2", POISON)
    wait_for(lambda: node.daemon.quarantine_manager.suspects.quarantined())
    assert len(supervisor.crashed) <= 4


def test_requests_at_servers_that_leave_and_exit_are_not_suspects(fleet):
    """A stream that the exits of three leaving servers had cut off was quarantined."""
    supervisor = Supervisor(fleet, restart_delay_s=60)
    supervisor.event_ms = 100
    supervisor.add_runners(8)
    for server in fleet.servers:
        server.faults = RunnerFaults(slow_ms=150)
    node = fleet.node()
    fleet.holder()
    stream = gevent.spawn(send, fleet, node, "s0", b"sound")
    for number in range(1, 4):
        server = wait_for(lambda: next((one for one in fleet.servers if one.begun), None))
        server.faults.leaving = True
        wait_for(lambda server=server: server.said)
        gevent.sleep(0.1)
        server.crash()
        server.begun.clear()
        gevent.sleep(0.1)
        if stream.dead:
            stream = gevent.spawn(send, fleet, node, f"s{number}", b"sound")
    stream.join()
    supervisor.stop()
    assert node.daemon.quarantine_manager.suspects.quarantined() == []
