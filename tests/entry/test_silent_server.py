"""Servers that accept requests and answer nothing, as when their process is suspended."""

from __future__ import annotations

import gevent
import pytest

from monsoonflow.transport.client import Answer

HANG_MS = 60_000
NOTICED_WITHIN_MS = 500
"""A server counts as unresponsive after 300 ms; requests sent before may still arrive."""

DURATION_MS = 3_000
SEND_INTERVAL_MS = 40
MAX_TRIALS = 3
"""One trial request after each pause: 0.4, 0.8 and 1.6 s."""


def send_steadily(
    fleet, node, send_one, interval_ms=SEND_INTERVAL_MS, duration_ms=DURATION_MS
) -> list:
    """Send requests at a steady rate; return their answers."""
    tasks = []
    for number in range(duration_ms // interval_ms):
        tasks.append(gevent.spawn(send_one, number))
        gevent.sleep(interval_ms / 1_000)
    gevent.joinall(tasks)
    return [task.value for task in tasks]


def sent_late(server, before: int, noticed_ms: int) -> int:
    """Return how many requests reached a server over ``noticed_ms`` after the first of them.

    :param before: how many earlier requests are left out.
    """
    arrived = [request.arrived_ms for request in server.requests[before:]]
    return sum(at_ms > arrived[0] + noticed_ms for at_ms in arrived) if arrived else 0


@pytest.mark.parametrize(("path", "method"), [("write", "POST"), ("look", "GET")])
def test_a_server_that_answers_nothing_gets_only_trial_requests(fleet, path, method):
    """Guards against requests that queue up at a suspended process, and run once it resumes."""
    servers = [fleet.plain(name) for name in ("a", "b", "c")]
    node = fleet.node()

    def send_one(number: int) -> Answer:
        return fleet.ask(node, f"/{path}/x", f"r{number}", method=method, deadline_ms=1_000)

    send_steadily(fleet, node, send_one, duration_ms=800)
    suspended = servers[0]
    suspended.faults.slow_ms = HANG_MS
    before = len(suspended.requests)
    answers = send_steadily(fleet, node, send_one)
    assert sent_late(suspended, before, NOTICED_WITHIN_MS) <= MAX_TRIALS
    unserved = sum(answer.head.status != 200 for answer in answers)
    assert unserved <= len(suspended.requests) - before
