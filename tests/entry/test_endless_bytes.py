"""One server sends bytes without end; the rest of its service serves as before."""

from __future__ import annotations

import resource

import gevent
import pytest

from stand_ins.endless_sender import START_BY_KIND
from tests.entry.conftest import wait_for
from tests.loop_watch import LoopWatch

MAX_LOOP_DELAY_S = 0.05
MAX_GROWTH_MB = 60
FORWARDED_KINDS = {"chunked body", "body with a huge length", "body until the connection ends"}
"""Kinds that are answers of a size which the route may forward while they arrive."""

ENDLESS_KINDS = [
    kind
    for kind in START_BY_KIND
    if kind not in FORWARDED_KINDS | {"bytes after a complete answer", "tiny chunks", "events"}
]


@pytest.fixture
def register(fleet, start_sender):
    """Return a function that registers a server which sends without end."""

    def start(kind: str, service: str = "plain", pause_s: float = 0.0) -> None:
        sound = fleet.plain("i-1")
        entry = {**sound.entry(), "address": start_sender(kind, pause_s), "service": service}
        fleet.store.put("servers", "i-endless", entry)

    return start


def peak_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


@pytest.mark.parametrize("kind", ENDLESS_KINDS)
def test_callers_are_served_beside_a_server_that_sends_without_end(fleet, register, kind):
    """Its node was deaf while it read, lost its leases and ran out of memory."""
    register(kind)
    node = fleet.node()
    wait_for(lambda: len(node.daemon.cluster_state.server_registry.server_by_life) == 2)
    watch, before_mb = LoopWatch(), peak_mb()
    statuses = []

    def ask(number: int) -> None:
        answer = fleet.ask(node, "/look/x", f"r{number}", method="GET")
        statuses.append(answer.head.status)

    for number in range(40):
        gevent.spawn(ask, number)
        gevent.sleep(0.02)
    wait_for(lambda: len(statuses) == 40)
    assert statuses == [200] * 40
    assert watch.stop() <= MAX_LOOP_DELAY_S
    assert peak_mb() - before_mb <= MAX_GROWTH_MB


@pytest.mark.parametrize("kind", sorted(FORWARDED_KINDS))
def test_an_endless_answer_that_is_forwarded_ends_with_the_request(fleet, register, kind):
    """It never looks complete, and other callers are served meanwhile."""
    register(kind)
    node = fleet.node()
    wait_for(lambda: len(node.daemon.cluster_state.server_registry.server_by_life) == 2)
    watch, before_mb = LoopWatch(), peak_mb()
    whole, broken = [], []

    def ask(number: int) -> None:
        try:
            answer = fleet.ask(node, "/look/x", f"r{number}", method="GET", deadline_ms=1_000)
            whole.append(answer)
        except AssertionError as error:
            broken.append(error)

    tasks = [gevent.spawn(ask, number) for number in range(12)]
    gevent.joinall(tasks, timeout=8)
    assert all(len(answer.body) < 100_000 for answer in whole)
    assert any(answer.head.status == 200 for answer in whole)
    assert len(whole) + len(broken) == 12
    assert watch.stop() <= MAX_LOOP_DELAY_S
    assert peak_mb() - before_mb <= MAX_GROWTH_MB


def test_a_request_that_may_run_once_gets_no_false_answer_of_an_endless_server(fleet, register):
    register("trailer fields")
    node = fleet.node()
    wait_for(lambda: len(node.daemon.cluster_state.server_registry.server_by_life) == 2)
    statuses = {
        fleet.ask(node, "/write/x", f"r{number}", b"a record").head.status for number in range(8)
    }
    assert statuses <= {200, 502, 504}
    assert 200 in statuses
