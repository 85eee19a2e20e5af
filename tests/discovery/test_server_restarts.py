"""A server that starts again under its id: which of its lives is known, whatever comes when."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer, HeldModel
from monsoonflow.discovery.registry import EARLIER_LIFE_ACCEPT_MS, ServerRegistry

OLD = ServerLife.of("i-1", 1_000)
NEW = ServerLife.of("i-1", 2_000)
HOLDS = (HeldModel("m", 1, (AdapterRef("m/a1", 1),)),)
BEFORE = BackendServer(OLD, "s", "10.0.0.1:80", "dc", 4, models=HOLDS)
AFTER = attrs.evolve(BEFORE, life=NEW, models=())
OTHER = BackendServer(ServerLife.of("i-2", 500), "s", "10.0.0.2:80", "dc", 4)


@pytest.fixture
def book():
    found = ServerRegistry()
    found.put(BEFORE, 0, 10)
    found.put(OTHER, 0, 11)
    return found


def lives(book):
    return sorted(server.life for server in book.servers_of("s"))


def test_a_server_that_starts_again_is_used_at_once_and_holds_nothing(book):
    """A runner crashes and is back under its id within a poll; only the new entry is seen.

    Remembered by its id, it would be believed to hold what it lost, or be shunned as gone.
    """
    book.put(AFTER, 100, 12)
    assert lives(book) == [NEW, OTHER.life]
    assert book.server_by_life[NEW].models == ()
    assert not book.is_accepting_work(OLD)
    assert book.pop_removed(200) == [OLD]


def test_a_server_that_is_removed_first_comes_back_under_its_id(book):
    """The entry lapses, then the new life registers: the removal meant the life before."""
    book.remove("i-1", 50)
    assert lives(book) == [OTHER.life]
    book.put(AFTER, 100, 13)
    assert lives(book) == [NEW, OTHER.life]


def test_a_life_that_left_stays_left_while_the_next_one_is_used(book):
    book.put(attrs.evolve(BEFORE, is_leaving=True), 50, 12)
    assert lives(book) == [OTHER.life]
    book.put(AFTER, 100, 13)
    assert lives(book) == [NEW, OTHER.life]
    assert book.recently_left(150, 1_000) == [OLD]


def test_a_late_entry_of_the_life_before_does_not_win(book):
    """A write of the old process reaches the store after the new process has registered.

    Taken, it would bring back a server that is gone with all that it held, or take the living one
    out of use: the old entry may say that it is leaving.
    """
    book.put(AFTER, 100, 12)
    book.put(attrs.evolve(BEFORE, is_leaving=True), 150, 13)
    assert lives(book) == [NEW, OTHER.life]
    assert book.server_by_life[NEW] == AFTER


def test_a_late_entry_that_comes_twice_around_a_word_of_the_living_does_not_win(book):
    book.put(AFTER, 100, 12)
    book.put(BEFORE, 150, 13)
    book.put(AFTER, 800, 14)
    book.put(BEFORE, 150 + EARLIER_LIFE_ACCEPT_MS, 15)
    assert lives(book) == [NEW, OTHER.life]


def test_a_life_whose_clock_was_set_back_is_known_once_it_goes_on_speaking(book):
    """A VM's clock is set back when its server starts again: the newer life is born earlier.

    Left aside for good, the server would never be used again.
    """
    later = attrs.evolve(BEFORE, life=ServerLife.of("i-1", 400), models=())
    book.put(later, 100, 12)
    assert lives(book) == [OLD, OTHER.life]
    book.put(later, 100 + EARLIER_LIFE_ACCEPT_MS, 13)
    assert lives(book) == [later.life, OTHER.life]


def test_a_servers_own_answer_tells_its_new_life_before_its_entry_does(book):
    assert book.confirm_life(OLD, HOLDS, 50)
    assert not book.confirm_life(NEW, (), 100)
    assert lives(book) == [NEW, OTHER.life]
    assert book.server_by_life[NEW].models == ()
    book.put(AFTER, 900, 12)
    assert lives(book) == [NEW, OTHER.life]


def test_an_answer_of_the_life_before_that_was_on_its_way_is_left_aside(book):
    """A report is asked for; the server starts again and registers; then the old answer comes."""
    book.put(AFTER, 100, 12)
    assert not book.confirm_life(OLD, HOLDS, 110)
    assert lives(book) == [NEW, OTHER.life]
    assert book.server_by_life[NEW].models == ()


def test_a_peers_word_on_a_life_concerns_that_life_only(book):
    """Peers disagree on the birth: one has not heard of the restart and says the server leaves."""
    book.put(AFTER, 100, 12)
    book.mark_leaving(OLD, 120, "told")
    assert lives(book) == [NEW, OTHER.life]


def test_an_unreadable_entry_takes_a_server_out_of_use_and_does_not_forget_it(book, caplog):
    """Another writer spoils a good entry: nothing new goes there, and what runs there goes on."""
    caplog.set_level("INFO")
    for _ in range(3):
        book.mark_unreadable("i-1", "Expected `int`, got `str`")
    assert lives(book) == [OTHER.life]
    assert OLD in book.server_by_life
    assert len([r for r in caplog.records if "i-1" in r.getMessage()]) == 1
    book.put(BEFORE, 900, 14)
    assert lives(book) == [OLD, OTHER.life]


def test_an_entry_without_its_birth_is_another_writers_where_births_are_told(book):
    book.put(attrs.evolve(BEFORE, life=ServerLife("i-1")), 50, 12)
    assert lives(book) == [OTHER.life]
    book.put(attrs.evolve(OTHER, life=ServerLife("i-3"), address="10.0.0.3:80"), 60, 13)
    assert lives(book) == [OTHER.life]
    book.put(BEFORE, 70, 14)
    assert lives(book) == [OLD, OTHER.life]


def test_one_entry_with_a_birth_does_not_unsettle_a_deployment_without_births():
    """Another writer's entry tells a birth; the servers here never do."""
    book = ServerRegistry()
    for number in range(3):
        life = ServerLife(f"i-{number}")
        book.put(BackendServer(life, "s", f"10.0.0.{number}:80", "dc"), 0, number)
    book.put(attrs.evolve(BEFORE, life=ServerLife.of("x", 5), address="10.0.0.9:80"), 10, 9)
    assert set(lives(book)) >= {"i-0", "i-1", "i-2"}


def test_an_address_belongs_to_who_registered_it_last(book):
    """Two entries name one address: requests to the other would be refused by a stranger."""
    taker = attrs.evolve(OTHER, life=ServerLife.of("i-9", 3_000), address=BEFORE.address)
    book.put(taker, 100, 12)
    assert lives(book) == [OTHER.life, taker.life]
    book.put(BEFORE, 200, 13)
    assert lives(book) == [OTHER.life, taker.life]


def test_without_births_the_later_write_has_the_address():
    book = ServerRegistry()
    one = BackendServer(ServerLife("i-1"), "s", "10.0.0.1:80", "dc")
    book.put(one, 0, 1)
    book.put(attrs.evolve(one, life=ServerLife("i-2")), 10, 2)
    assert lives(book) == ["i-2"]
    book.put(one, 1_200, 3)
    assert lives(book) == ["i-1"]
    book.remove("i-1", 1_300)
    assert lives(book) == ["i-2"]
