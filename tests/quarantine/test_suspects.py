"""Who is to blame when servers end."""

from __future__ import annotations

import random

import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.quarantine.models import Ending, Quarantined
from monsoonflow.quarantine.suspects import (
    DOUBT_MS,
    LIFTED_MS,
    MOST_QUARANTINED,
    MOST_SUSPECTED,
    QUARANTINED_MS,
    SUSPECTED_MS,
    Suspects,
)

LIVES = tuple(ServerLife(f"i-{number}") for number in range(40))


def end(suspects, fingerprint, number, now_ms=0):
    suspects.broke(fingerprint, LIVES[number], now_ms)
    return suspects.server_ended(LIVES[number], now_ms)


def test_three_servers_must_end_under_a_request():
    suspects = Suspects("a")
    assert end(suspects, "f", 0) == end(suspects, "f", 1) == []
    assert not suspects.is_quarantined("f")
    (found,) = end(suspects, "f", 2)
    assert found == Quarantined("f", LIVES[:3], "a")
    assert suspects.is_quarantined("f")


def test_one_server_that_several_nodes_see_end_counts_once():
    suspects = Suspects("a")
    for source in ("b", "c", "d"):
        suspects.take(Ending("f", LIVES[0]), 0, source)
    end(suspects, "f", 0)
    assert not suspects.runs_apart("f")


def test_what_different_nodes_see_adds_up():
    suspects = Suspects("a")
    end(suspects, "f", 0)
    assert suspects.take(Ending("f", LIVES[1]), 0, "b") is None
    assert suspects.runs_apart("f")
    assert suspects.take(Ending("f", LIVES[2]), 0, "c") is not None


def test_a_connection_that_breaks_at_a_server_that_lives_on_blames_nobody():
    """Answers are lost on their way while the servers go on."""
    suspects = Suspects("a")
    for life in LIVES:
        suspects.broke("f", life, 0)
    assert not suspects.is_quarantined("f")
    assert suspects.server_ended(LIVES[0], DOUBT_MS + 1) == []


def test_a_server_that_loses_answers_for_long_is_not_remembered_with_all_of_them():
    suspects = Suspects("a")
    for number in range(10_000):
        suspects.broke(f"f{number}", LIVES[0], number * 100)
    assert len(suspects.broken_at(LIVES[0])) <= DOUBT_MS // 100 + 1


def test_a_break_long_after_an_end_is_another_lifes():
    """Where births are not told, a server that starts again may bear the name of the one before."""
    suspects = Suspects("a")
    for life in LIVES[:3]:
        suspects.server_ended(life, 0)
        assert suspects.broke("f", life, DOUBT_MS + 1) == []


def test_a_break_that_is_noticed_after_the_end_counts():
    suspects = Suspects("a")
    for life in LIVES[:3]:
        suspects.server_ended(life, 0)
        found = suspects.broke("f", life, 10)
    assert [one.fingerprint for one in found] == ["f"]


def test_a_request_that_was_answered_whole_is_not_to_blame():
    suspects = Suspects("a")
    end(suspects, "f", 0)
    end(suspects, "f", 1)
    suspects.completed("f", 5)
    assert not suspects.runs_apart("f")
    assert suspects.take(Ending("f", LIVES[1]), 6, "b") is None
    assert suspects.own_endings(6, 1_000, 9) == ()


def test_the_word_of_a_node_that_has_not_heard_does_not_undo_a_lift():
    """Two nodes would tell each other for ever what an operator has lifted."""
    suspects = Suspects("a")
    suspects.hold(Quarantined("f", (), "b"), 0)
    assert suspects.lift("f", 100)
    assert not suspects.hold(Quarantined("f", (), "b"), 100 + LIFTED_MS)
    assert suspects.hold(Quarantined("f", (), "b"), 101 + LIFTED_MS)


def test_a_quarantine_and_a_suspicion_end_by_time():
    suspects = Suspects("a")
    for number in range(3):
        end(suspects, "f", number)
    end(suspects, "g", 5)
    assert suspects.expired(QUARANTINED_MS) == []
    assert suspects.expired(QUARANTINED_MS + 1) == ["f"]
    assert not suspects.is_quarantined("f")
    end(suspects, "g", 6, SUSPECTED_MS + 1)
    assert not suspects.runs_apart("g")


def test_tables_are_bounded():
    suspects = Suspects("a")
    for number in range(MOST_SUSPECTED + 50):
        suspects.take(Ending(f"f{number}", LIVES[0]), 0, "b")
        suspects.hold(Quarantined(f"q{number}", (), "b"), 0)
    assert len(suspects.quarantined()) == MOST_QUARANTINED
    assert suspects.is_quarantined(f"q{MOST_SUSPECTED + 49}")


@pytest.mark.parametrize("seed", range(5))
def test_bystanders_of_servers_that_crash_by_themselves_are_hardly_ever_blamed(seed):
    """A fifth of the servers ends again and again; each request is tried four times."""
    rng = random.Random(seed)
    suspects, blamed, served = Suspects("a"), 0, 0
    for number in range(4_000):
        for _ in range(4):
            life = ServerLife(f"i-{rng.randrange(6)}-{number // 40}")
            if rng.random() >= 0.2:
                suspects.completed(f"r{number}", number)
                served += 1
                break
            suspects.broke(f"r{number}", life, number)
            suspects.server_ended(life, number)
        blamed += suspects.is_quarantined(f"r{number}")
    assert served >= 3_900
    assert blamed <= 4_000 * 0.01
