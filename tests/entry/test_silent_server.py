"""Servers that take requests and answer nothing, as one does whose process stands still."""

from __future__ import annotations

import gevent
import pytest

from monsoonflow.transport.client import Answer

HANGS_MS = 60_000
NOTICED_MS = 500
"""A server seems to hang after 300 ms; what was sent before is on its way."""

FOR_MS = 3_000
EVERY_MS = 40
TRIALS = 3
"""One after each pause: 0.4, 0.8 and 1.6 s."""


def send_for(fleet, node, one, every_ms=EVERY_MS, for_ms=FOR_MS) -> list:
    """Send requests at a steady pace; return their answers."""
    tasks = []
    for number in range(for_ms // every_ms):
        tasks.append(gevent.spawn(one, number))
        gevent.sleep(every_ms / 1_000)
    gevent.joinall(tasks)
    return [task.value for task in tasks]


def sent_late(server, before: int, noticed_ms: int) -> int:
    """Return how many requests reached a server later than the first one and a while."""
    arrived = [request.arrived_ms for request in server.requests[before:]]
    return sum(at_ms > arrived[0] + noticed_ms for at_ms in arrived) if arrived else 0


@pytest.mark.parametrize(("path", "method"), [("write", "POST"), ("look", "GET")])
def test_a_server_that_answers_nothing_gets_no_more_than_trials(fleet, path, method):
    """Guards against requests that are put before a process that stands still, and read later."""
    servers = [fleet.plain(name) for name in ("a", "b", "c")]
    node = fleet.node()

    def one(number: int) -> Answer:
        return fleet.ask(node, f"/{path}/x", f"r{number}", method=method, deadline_ms=1_000)

    send_for(fleet, node, one, for_ms=800)
    silent = servers[0]
    silent.faults.slow_ms = HANGS_MS
    before = len(silent.requests)
    answers = send_for(fleet, node, one)
    assert sent_late(silent, before, NOTICED_MS) <= TRIALS
    unserved = sum(answer.head.status != 200 for answer in answers)
    assert unserved <= len(silent.requests) - before
