"""Requests under which servers end, before real entry nodes."""

from __future__ import annotations

import gevent
import pytest

from monsoonflow.transport.client import Answer, Pools, call
from stand_ins.platform_runner import RunnerFaults
from tests.entry.conftest import HOST, MODEL, wait_for

POISON = b"poison"
BACK_S = 0.5


class Supervisor:
    """Starts runners that have ended again, each as another server at its address."""

    def __init__(self, fleet) -> None:
        self._fleet = fleet
        self.ended: list[str] = []
        self.faults = RunnerFaults(poison=POISON)
        self.event_ms = 5
        self._task = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            for server in list(self._fleet.servers):
                if server.crashes and server.server_id not in self.ended:
                    self.ended.append(server.server_id)
                    gevent.spawn_later(BACK_S, self._start_again, server)
            gevent.sleep(0.01)

    def _start_again(self, server) -> None:
        self._fleet.store.remove("servers", server.server_id)
        self._fleet.servers.remove(server)
        runner = type(server)(f"{server.server_id}x", server.address, server.service, MODEL)
        runner.faults = self.faults
        runner.event_ms = self.event_ms
        runner.start()
        self._fleet.servers.append(runner)
        self._fleet.store.put("servers", runner.server_id, runner.entry())

    def stop(self) -> None:
        """Start nothing again."""
        self._task.kill()


@pytest.fixture
def poisoned(fleet):
    """Return three nodes before five runners that end under the poison and come back."""
    supervisor = Supervisor(fleet)
    for number in range(5):
        fleet.runner(f"i-{number}").faults = supervisor.faults
    for _ in range(3):
        fleet.node()
    fleet.holder()
    yield supervisor
    supervisor.stop()


def send(fleet, node, request_id, body, path="read"):
    """Send a generation; return the answer, or what was lost of it."""
    told = (
        (b"X-Request-Id", request_id.encode()),
        (b"X-Deadline-Ms", b"2000"),
        (b"X-Model", f"{MODEL}/a1".encode()),
        (b"X-Token-Count", b"100,20"),
    )
    pools = Pools(fleet.nodes[0].daemon.clock)
    return call(pools, node.address, "POST", f"/{path}/x", body, 5_000, told, host=HOST)


def test_a_request_under_which_three_servers_ended_reaches_no_more(fleet, poisoned):
    """It comes again with another id at any node; eighteen servers had ended under one."""
    for number in range(24):
        send(fleet, fleet.nodes[number % 3], f"p{number}", POISON)
        gevent.sleep(0.1)
    assert len(poisoned.ended) <= 4


def test_what_ran_beside_a_request_under_which_servers_end_is_served(fleet, poisoned):
    """Innocent requests are on the same servers when these end."""
    answers = []
    for number in range(24):
        node = fleet.nodes[number % 3]
        beside = [gevent.spawn(send, fleet, node, f"g{number}-{n}", b"good %d" % n) for n in (1, 2)]
        send(fleet, node, f"p{number}", POISON)
        answers += [task.get() for task in beside]
        gevent.sleep(0.1)
    later = [answer for answer in answers[16:] if isinstance(answer, Answer)]
    served = sum(answer.head.status == 200 for answer in later)
    assert served >= 0.9 * len(answers[16:])


def test_a_suspect_that_has_begun_is_not_joined_by_the_next(fleet, poisoned):
    """Bystanders that were still being answered were on the third server with the culprit."""
    poisoned.event_ms = 80
    for server in fleet.servers:
        server.event_ms = 80
    node = fleet.nodes[0]
    bodies = (b"good 1", b"good 2", POISON)
    for number in range(3):
        tasks = [
            gevent.spawn(send, fleet, node, f"r{number}-{place}", body)
            for place, body in enumerate(bodies)
        ]
        gevent.joinall(tasks)
        wait_for(lambda: len(fleet.servers) == 5)
    suspects = [one.daemon.quarantine_manager.suspects for one in fleet.nodes]
    assert max(len(found.quarantined()) for found in suspects) <= 1


def test_a_node_that_starts_knows_which_requests_reach_no_server(fleet, poisoned):
    for number in range(6):
        send(fleet, fleet.nodes[number % 3], f"p{number}", POISON)
        gevent.sleep(0.1)
    wait_for(lambda: len(fleet.servers) == 5)
    newcomer = fleet.node()
    ended = len(poisoned.ended)
    for number in range(4):
        send(fleet, newcomer, f"p-new{number}", POISON)
        gevent.sleep(0.2)
    assert len(poisoned.ended) == ended


def test_all_nodes_are_killed_and_still_know_which_requests_reach_no_server(fleet, poisoned):
    for number in range(6):
        send(fleet, fleet.nodes[number % 3], f"p{number}", POISON)
        gevent.sleep(0.1)
    for node in fleet.nodes:
        node.kill()
    fleet.nodes.clear()
    wait_for(lambda: len(fleet.servers) == 5)
    newcomer = fleet.node()
    fleet.holder()
    ended = len(poisoned.ended)
    for number in range(4):
        send(fleet, newcomer, f"p-new{number}", POISON)
        gevent.sleep(0.2)
    assert len(poisoned.ended) == ended


def test_a_server_that_fails_a_request_does_not_clear_it(fleet, poisoned):
    """One server fails part of what it gets; it has not run the request whole."""
    for node in fleet.nodes[1:]:
        node.kill()
    node = fleet.nodes[0]
    fleet.holder()
    send(fleet, node, "p0", POISON)
    wait_for(lambda: len(poisoned.ended) == 2)
    poisoned.faults.poison, poisoned.faults.fail = None, 9
    answer = send(fleet, node, "p1", POISON)
    assert answer.head.status == 500
    poisoned.faults.poison, poisoned.faults.fail = POISON, 0
    send(fleet, node, "p2", POISON)
    wait_for(lambda: node.daemon.quarantine_manager.suspects.quarantined())
    assert len(poisoned.ended) <= 4
