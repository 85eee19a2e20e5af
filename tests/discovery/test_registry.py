"""Tests of the registry of backend servers."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer, DepartedServer
from monsoonflow.discovery.registry import ServerRegistry

ONE = BackendServer(ServerLife("i-1"), "s", "10.0.0.1:80", "dc", 4)
TWO = BackendServer(ServerLife("i-2"), "s", "10.0.0.2:80", "dc", 4)


@pytest.fixture
def registry():
    servers = ServerRegistry()
    servers.put(ONE, 0)
    servers.put(TWO, 0)
    return servers


def names(registry):
    return [server.life for server in registry.servers_of("s")]


def test_leaving_server_gets_no_new_requests(registry):
    registry.put(attrs.evolve(ONE, is_leaving=True), 10)
    assert names(registry) == ["i-2"]
    assert not registry.is_accepting_work("i-1")


def test_life_that_left_is_never_used_again(registry):
    """A node that was disconnected forwards an outdated list.

    A life of a server that has announced that it is leaving stays that way.
    """
    registry.put(attrs.evolve(ONE, is_leaving=True), 10)
    registry.put(ONE, 20)
    assert names(registry) == ["i-2"]


def test_server_with_a_removed_entry_is_removed_at_once(registry):
    registry.remove("i-1", 10)
    assert names(registry) == ["i-2"]
    assert registry.recently_left(20, 1_000) == [DepartedServer("i-1", False, 10)]


def test_servers_with_missing_entries_are_kept_after_an_outage(registry):
    """During a store outage entries of running servers expire; they are back within two seconds.

    If they were removed at once, no server would be left when the store returns.
    """
    registry.keep_missing_until(3_500)
    registry.replace_all([TWO], 1_010)
    assert names(registry) == ["i-1", "i-2"]
    registry.put(ONE, 2_000)
    assert registry.pop_removed(3_500) == []
    assert names(registry) == ["i-1", "i-2"]


def test_server_whose_entry_stays_missing_is_removed(registry):
    registry.keep_missing_until(3_500)
    registry.replace_all([TWO], 1_010)
    assert registry.pop_removed(3_500) == ["i-1"]
    assert names(registry) == ["i-2"]


def test_server_that_a_peer_reports_as_leaving_gets_no_new_requests(registry):
    registry.mark_leaving("i-1", 10, "told")
    assert names(registry) == ["i-2"]
