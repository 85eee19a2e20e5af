"""Whether a node reaches a service at all, judged by connections to several of its servers."""

from __future__ import annotations

import random

import gevent
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer
from monsoonflow.gateway.service_paths import ServicePaths
from monsoonflow.helpers.gevent_tasks import GeventTasks
from monsoonflow.transport.models import Lost


class FakeConnection:
    """A connection that nothing is sent on."""


class FakePools:
    """Connections to servers, some of which can't be opened."""

    def __init__(self):
        self.unreachable = set()
        self.opened = []
        self.delay_s = 0.0
        self.kept = {}

    def open(self, address, timeout_ms):
        """Open a connection or fail."""
        self.opened.append(address)
        gevent.sleep(self.delay_s)
        if address in self.unreachable:
            return Lost(False, "no connection: ConnectionRefusedError", True)
        return FakeConnection()

    def add_idle(self, key, connection):
        """Keep a connection."""
        self.kept[key] = connection


SERVERS = [BackendServer(ServerLife(f"i-{n}"), "s", f"10.0.0.{n}:1", "dc") for n in range(3)]


@pytest.fixture
def pools():
    return FakePools()


@pytest.fixture
def paths(pools):
    return ServicePaths(
        lambda service: SERVERS, pools, GeventTasks(), MonotonicClock(), random.Random(1)
    )


def lose_all(pools):
    pools.unreachable = {server.address for server in SERVERS}


def test_a_service_is_lost_when_none_of_its_servers_can_be_reached(paths, pools):
    lose_all(pools)
    assert paths.check_is_lost("s", failures=2)
    assert paths.lost_services() == ("s",)


def test_one_server_that_accepts_connections_shows_that_there_is_a_path(paths, pools):
    lose_all(pools)
    pools.unreachable.discard(SERVERS[2].address)
    assert not paths.check_is_lost("s", failures=2)
    assert list(pools.kept) == [SERVERS[2].life]


def test_a_failed_connection_is_neither_checked_nor_waited_for_while_others_respond(paths, pools):
    """A request at a server that had just ended waited half a second before its next attempt."""
    lose_all(pools)
    paths.record_response("s")
    with gevent.Timeout(0.1):
        assert not paths.check_is_lost("s", failures=1)
    assert not pools.opened


def test_requests_that_fail_together_share_a_check(paths, pools):
    lose_all(pools)
    pools.delay_s = 0.05
    checks = [gevent.spawn(paths.check_is_lost, "s", 2) for _ in range(20)]
    gevent.joinall(checks)
    assert all(check.value for check in checks)
    assert len(pools.opened) == len(SERVERS)


def test_a_check_during_which_the_process_stood_still_proves_nothing(paths, pools):
    """After a suspension, connections that were ready count as timed out."""
    lose_all(pools)
    pools.delay_s = 0.6
    assert not paths.check_is_lost("s", failures=2)
    gevent.sleep(0.2)
    assert not paths.is_lost("s")


def test_a_service_that_does_not_respond_is_checked(paths, pools):
    lose_all(pools)
    loop = gevent.spawn(paths.run)
    paths.record_sent("s")
    gevent.sleep(1.1)
    assert paths.is_lost("s")
    pools.unreachable.clear()
    gevent.sleep(0.6)
    assert not paths.is_lost("s")
    loop.kill()
