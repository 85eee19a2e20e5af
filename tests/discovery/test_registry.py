"""Tests of the list of backend servers."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer
from monsoonflow.discovery.registry import ServerRegistry

ONE = BackendServer(ServerLife("i-1"), "s", "10.0.0.1:80", "dc", 4)
TWO = BackendServer(ServerLife("i-2"), "s", "10.0.0.2:80", "dc", 4)


@pytest.fixture
def book():
    found = ServerRegistry()
    found.put(ONE, 0)
    found.put(TWO, 0)
    return found


def names(book):
    return [server.life for server in book.servers_of("s")]


def test_a_server_that_says_it_leaves_gets_nothing_new(book):
    book.put(attrs.evolve(ONE, is_leaving=True), 10)
    assert names(book) == ["i-2"]
    assert not book.is_accepting_work("i-1")


def test_a_server_that_has_left_never_comes_back_under_its_name(book):
    """A node that was cut off sends on an old list.

    The id names one life of the server: once it is leaving it stays so.
    """
    book.put(attrs.evolve(ONE, is_leaving=True), 10)
    book.put(ONE, 20)
    assert names(book) == ["i-2"]


def test_a_removed_entry_is_gone_at_once(book):
    book.remove("i-1", 10)
    assert names(book) == ["i-2"]
    assert book.recently_left(20, 1_000) == ["i-1"]


def test_after_an_outage_missing_entries_are_waited_for(book):
    """The store was down; entries of living servers lapsed and come back within two seconds.

    Dropping them at once would leave no server at the very moment the store is back.
    """
    book.keep_missing_until(3_500)
    book.replace_all([TWO], 1_010)
    assert names(book) == ["i-1", "i-2"]
    book.put(ONE, 2_000)
    assert book.pop_removed(3_500) == []
    assert names(book) == ["i-1", "i-2"]


def test_an_entry_that_stays_missing_is_gone(book):
    book.keep_missing_until(3_500)
    book.replace_all([TWO], 1_010)
    assert book.pop_removed(3_500) == ["i-1"]
    assert names(book) == ["i-2"]


def test_a_word_from_a_peer_counts(book):
    book.mark_leaving("i-1", 10, "told")
    assert names(book) == ["i-2"]
