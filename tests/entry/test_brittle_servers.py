"""Servers that fall over when nodes together make them reject too many requests."""

from __future__ import annotations

from collections import Counter

import gevent
import pytest

from script.ports import free_port
from stand_ins.platform_runner import PlatformServer

WORK_MS = 150
SLOTS = 2
NODES = 3
TOLERATED = 3
"""Rejections in a second that a server withstands."""

CONTACT_S = 3.0
"""How long after the servers became brittle they let nobody wait any more."""

RUN_S = 8.0
MAX_FALLS_PER_SERVICE = 2
MAX_FALLS_SHARE = 0.1


@pytest.fixture
def brittle(fleet):
    """Return a fleet whose three servers of a plain service are brittle and have been used."""
    for number in range(3):
        server = fleet._add(plain_server(f"p-{number}"))
        server.faults.slow_ms = WORK_MS
        server.faults.brittle = TOLERATED
    for _ in range(NODES):
        fleet.node()
    send_for(fleet, CONTACT_S, overload=0.6)
    for server in fleet.servers:
        server.faults.max_waiting = 0
    return fleet


def plain_server(name):
    """Return a server with few slots."""
    return PlatformServer(name, f"127.0.0.1:{free_port()}", "plain", slots=SLOTS)


def send_for(fleet, seconds, overload):
    """Send requests to all nodes in turn; return the statuses of the answers.

    :param overload: requests a second as a share of what the servers process.
    """
    capacity_per_s = len(fleet.servers) * SLOTS / (WORK_MS / 1000)
    callers = []
    for number in range(int(seconds * capacity_per_s * overload)):
        node = fleet.nodes[number % len(fleet.nodes)]
        name = f"r{overload}-{number}"
        callers.append(gevent.spawn(fleet.ask, node, "/look/x", name, b"body", deadline_ms=1_000))
        gevent.sleep(1 / (capacity_per_s * overload))
    gevent.joinall(callers, raise_error=True)
    return Counter(caller.value.head.status for caller in callers)


@pytest.mark.parametrize("overload", [0.6, 1.5, 4.0])
def test_brittle_servers_do_not_fall_over_under_load(brittle, overload):
    """Each node sent on after rejections, so that the servers fell over in turn."""
    statuses = send_for(brittle, RUN_S, overload)
    falls = sum(server.falls for server in brittle.servers)
    assert falls <= MAX_FALLS_PER_SERVICE + MAX_FALLS_SHARE * len(brittle.servers)
    assert statuses[200] >= 0.6 * min(1.0, 1 / overload) * statuses.total()
