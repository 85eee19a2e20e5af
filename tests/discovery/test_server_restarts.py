"""Tests of which life of a restarted server is known, in any order of its reports."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer, DepartedServer, HeldModel
from monsoonflow.discovery.registry import EARLIER_LIFE_ACCEPT_MS, ServerRegistry

OLD = ServerLife.of("i-1", 1_000)
NEW = ServerLife.of("i-1", 2_000)
LOADED = (HeldModel("m", 1, (AdapterRef("m/a1", 1),)),)
PREVIOUS = BackendServer(OLD, "s", "10.0.0.1:80", "dc", 4, models=LOADED)
RESTARTED = attrs.evolve(PREVIOUS, life=NEW, models=())
OTHER = BackendServer(ServerLife.of("i-2", 500), "s", "10.0.0.2:80", "dc", 4)


@pytest.fixture
def registry():
    servers = ServerRegistry()
    servers.put(PREVIOUS, 0, 10)
    servers.put(OTHER, 0, 11)
    return servers


def lives(registry):
    return sorted(server.life for server in registry.servers_of("s"))


def test_restarted_server_is_used_at_once_and_has_nothing_loaded(registry):
    """A runner crashes and restarts with the same id between two polls; only its new entry is seen.

    If it were identified by its id alone, it would seem to have its adapters still loaded, or be
    treated as departed.
    """
    registry.put(RESTARTED, 100, 12)
    assert lives(registry) == [NEW, OTHER.life]
    assert registry.server_by_life[NEW].models == ()
    assert not registry.is_accepting_work(OLD)
    assert registry.pop_removed(200) == [OLD]


def test_server_that_was_removed_is_added_again_with_its_new_life(registry):
    """The entry expires, then the new life registers: the removal applies to the previous life."""
    registry.remove("i-1", 50)
    assert lives(registry) == [OTHER.life]
    registry.put(RESTARTED, 100, 13)
    assert lives(registry) == [NEW, OTHER.life]


def test_previous_life_stays_departed_while_the_new_one_is_used(registry):
    registry.put(attrs.evolve(PREVIOUS, is_leaving=True), 50, 12)
    assert lives(registry) == [OTHER.life]
    registry.put(RESTARTED, 100, 13)
    assert lives(registry) == [NEW, OTHER.life]
    assert registry.recently_left(150, 1_000) == [DepartedServer(OLD, True, 100)]


def test_delayed_entry_of_the_previous_life_is_ignored(registry):
    """A write of the old process reaches the store after the new process has registered.

    If it were accepted, the previous life would be back with everything it had loaded, or the
    running server would get no requests, because the old entry may say that it is leaving.
    """
    registry.put(RESTARTED, 100, 12)
    registry.put(attrs.evolve(PREVIOUS, is_leaving=True), 150, 13)
    assert lives(registry) == [NEW, OTHER.life]
    assert registry.server_by_life[NEW] == RESTARTED


def test_entry_of_the_previous_life_is_ignored_while_the_new_life_is_reported(registry):
    registry.put(RESTARTED, 100, 12)
    registry.put(PREVIOUS, 150, 13)
    registry.put(RESTARTED, 800, 14)
    registry.put(PREVIOUS, 150 + EARLIER_LIFE_ACCEPT_MS, 15)
    assert lives(registry) == [NEW, OTHER.life]


def test_life_with_an_earlier_birth_time_is_accepted_if_it_is_still_reported(registry):
    """A VM's clock is set back when its server restarts: the newer life has an earlier birth time.

    If that life were always ignored, the server would never be used again.
    """
    newer = attrs.evolve(PREVIOUS, life=ServerLife.of("i-1", 400), models=())
    registry.put(newer, 100, 12)
    assert lives(registry) == [OLD, OTHER.life]
    registry.put(newer, 100 + EARLIER_LIFE_ACCEPT_MS, 13)
    assert lives(registry) == [newer.life, OTHER.life]


def test_new_life_is_known_from_the_servers_own_response_before_its_entry(registry):
    assert registry.confirm_life(OLD, LOADED, 50)
    assert not registry.confirm_life(NEW, (), 100)
    assert lives(registry) == [NEW, OTHER.life]
    assert registry.server_by_life[NEW].models == ()
    registry.put(RESTARTED, 900, 12)
    assert lives(registry) == [NEW, OTHER.life]


def test_delayed_response_of_the_previous_life_is_ignored(registry):
    """A report is requested; the server restarts and registers; then the old response arrives."""
    registry.put(RESTARTED, 100, 12)
    assert not registry.confirm_life(OLD, LOADED, 110)
    assert lives(registry) == [NEW, OTHER.life]
    assert registry.server_by_life[NEW].models == ()


def test_peer_report_of_a_leaving_life_does_not_affect_the_new_life(registry):
    """A peer that does not know of the restart yet reports that the server is leaving."""
    registry.put(RESTARTED, 100, 12)
    registry.mark_leaving(OLD, 120, "told")
    assert lives(registry) == [NEW, OTHER.life]


def test_server_with_an_unreadable_entry_is_not_used_and_stays_known(registry, caplog):
    """Another writer corrupts an entry: no new requests are sent, requests in progress continue."""
    caplog.set_level("INFO")
    for _ in range(3):
        registry.mark_unreadable("i-1", "Expected `int`, got `str`")
    assert lives(registry) == [OTHER.life]
    assert OLD in registry.server_by_life
    assert len([r for r in caplog.records if "i-1" in r.getMessage()]) == 1
    registry.put(PREVIOUS, 900, 14)
    assert lives(registry) == [OLD, OTHER.life]


def test_entry_without_birth_time_is_ignored_if_most_entries_have_one(registry):
    registry.put(attrs.evolve(PREVIOUS, life=ServerLife("i-1")), 50, 12)
    assert lives(registry) == [OTHER.life]
    registry.put(attrs.evolve(OTHER, life=ServerLife("i-3"), address="10.0.0.3:80"), 60, 13)
    assert lives(registry) == [OTHER.life]
    registry.put(PREVIOUS, 70, 14)
    assert lives(registry) == [OLD, OTHER.life]


def test_one_entry_with_a_birth_time_does_not_disable_servers_without_one():
    """Another writer's entry has a birth time; the servers of this deployment never have one."""
    registry = ServerRegistry()
    for number in range(3):
        life = ServerLife(f"i-{number}")
        registry.put(BackendServer(life, "s", f"10.0.0.{number}:80", "dc"), 0, number)
    registry.put(attrs.evolve(PREVIOUS, life=ServerLife.of("x", 5), address="10.0.0.9:80"), 10, 9)
    assert set(lives(registry)) >= {"i-0", "i-1", "i-2"}


def test_address_belongs_to_the_life_that_was_started_last(registry):
    """Two entries have one address: requests to the other server would be refused at this one."""
    new_owner = attrs.evolve(OTHER, life=ServerLife.of("i-9", 3_000), address=PREVIOUS.address)
    registry.put(new_owner, 100, 12)
    assert lives(registry) == [OTHER.life, new_owner.life]
    registry.put(PREVIOUS, 200, 13)
    assert lives(registry) == [OTHER.life, new_owner.life]


def test_without_birth_times_the_address_belongs_to_the_later_write():
    registry = ServerRegistry()
    one = BackendServer(ServerLife("i-1"), "s", "10.0.0.1:80", "dc")
    registry.put(one, 0, 1)
    registry.put(attrs.evolve(one, life=ServerLife("i-2")), 10, 2)
    assert lives(registry) == ["i-2"]
    registry.put(one, 1_200, 3)
    assert lives(registry) == ["i-1"]
    registry.remove("i-1", 1_300)
    assert lives(registry) == ["i-2"]
