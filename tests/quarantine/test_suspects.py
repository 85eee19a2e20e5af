"""Who is to blame when servers end."""

from __future__ import annotations

import random

import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.quarantine.models import QuarantinedRequest, ServerCrash
from monsoonflow.quarantine.suspects import (
    BROKEN_CONNECTION_TTL_MS,
    IGNORE_AFTER_LIFT_MS,
    MAX_QUARANTINED,
    MAX_SUSPECTS,
    QUARANTINE_TTL_MS,
    SUSPICION_TTL_MS,
    Suspects,
)

LIVES = tuple(ServerLife(f"i-{number}") for number in range(40))


def end(suspects, fingerprint, number, now_ms=0):
    suspects.record_broken_connection(fingerprint, LIVES[number], now_ms)
    return suspects.record_server_crash(LIVES[number], now_ms)


def test_three_servers_must_end_under_a_request():
    suspects = Suspects("a")
    assert end(suspects, "f", 0) == end(suspects, "f", 1) == []
    assert not suspects.is_quarantined("f")
    (found,) = end(suspects, "f", 2)
    assert found == QuarantinedRequest("f", LIVES[:3], "a")
    assert suspects.is_quarantined("f")


def test_one_server_that_several_nodes_see_end_counts_once():
    suspects = Suspects("a")
    for source in ("b", "c", "d"):
        suspects.record_crash(ServerCrash("f", LIVES[0]), 0, source)
    end(suspects, "f", 0)
    assert not suspects.must_run_alone("f")


def test_what_different_nodes_see_adds_up():
    suspects = Suspects("a")
    end(suspects, "f", 0)
    assert suspects.record_crash(ServerCrash("f", LIVES[1]), 0, "b") is None
    assert suspects.must_run_alone("f")
    assert suspects.record_crash(ServerCrash("f", LIVES[2]), 0, "c") is not None


def test_a_connection_that_breaks_at_a_server_that_lives_on_blames_nobody():
    """Answers are lost on their way while the servers go on."""
    suspects = Suspects("a")
    for life in LIVES:
        suspects.record_broken_connection("f", life, 0)
    assert not suspects.is_quarantined("f")
    assert suspects.record_server_crash(LIVES[0], BROKEN_CONNECTION_TTL_MS + 1) == []


def test_a_server_that_loses_answers_for_long_is_not_remembered_with_all_of_them():
    suspects = Suspects("a")
    for number in range(10_000):
        suspects.record_broken_connection(f"f{number}", LIVES[0], number * 100)
    assert len(suspects.broken_requests_at(LIVES[0])) <= BROKEN_CONNECTION_TTL_MS // 100 + 1


def test_a_break_long_after_an_end_is_another_lifes():
    """Where births are not told, a server that starts again may bear the name of the one before."""
    suspects = Suspects("a")
    for life in LIVES[:3]:
        suspects.record_server_crash(life, 0)
        assert suspects.record_broken_connection("f", life, BROKEN_CONNECTION_TTL_MS + 1) == []


def test_a_break_that_is_noticed_after_the_end_counts():
    suspects = Suspects("a")
    for life in LIVES[:3]:
        suspects.record_server_crash(life, 0)
        found = suspects.record_broken_connection("f", life, 10)
    assert [one.fingerprint for one in found] == ["f"]


def test_a_request_that_was_answered_whole_is_not_to_blame():
    suspects = Suspects("a")
    end(suspects, "f", 0)
    end(suspects, "f", 1)
    suspects.record_completed("f", 5)
    assert not suspects.must_run_alone("f")
    assert suspects.record_crash(ServerCrash("f", LIVES[1]), 6, "b") is None
    assert suspects.own_crashes(6, 1_000, 9) == ()


def test_the_word_of_a_node_that_has_not_heard_does_not_undo_a_lift():
    """Two nodes would tell each other for ever what an operator has lifted."""
    suspects = Suspects("a")
    suspects.quarantine(QuarantinedRequest("f", (), "b"), 0)
    assert suspects.lift("f", 100)
    assert not suspects.quarantine(QuarantinedRequest("f", (), "b"), 100 + IGNORE_AFTER_LIFT_MS)
    assert suspects.quarantine(QuarantinedRequest("f", (), "b"), 101 + IGNORE_AFTER_LIFT_MS)


def test_a_quarantine_and_a_suspicion_end_by_time():
    suspects = Suspects("a")
    for number in range(3):
        end(suspects, "f", number)
    end(suspects, "g", 5)
    assert suspects.lift_expired(QUARANTINE_TTL_MS) == []
    assert suspects.lift_expired(QUARANTINE_TTL_MS + 1) == ["f"]
    assert not suspects.is_quarantined("f")
    end(suspects, "g", 6, SUSPICION_TTL_MS + 1)
    assert not suspects.must_run_alone("g")


def test_tables_are_bounded():
    suspects = Suspects("a")
    for number in range(MAX_SUSPECTS + 50):
        suspects.record_crash(ServerCrash(f"f{number}", LIVES[0]), 0, "b")
        suspects.quarantine(QuarantinedRequest(f"q{number}", (), "b"), 0)
    assert len(suspects.quarantined()) == MAX_QUARANTINED
    assert suspects.is_quarantined(f"q{MAX_SUSPECTS + 49}")


@pytest.mark.parametrize("seed", range(5))
def test_bystanders_of_servers_that_crash_by_themselves_are_hardly_ever_blamed(seed):
    """A fifth of the servers ends again and again; each request is tried four times."""
    rng = random.Random(seed)
    suspects, blamed, served = Suspects("a"), 0, 0
    for number in range(4_000):
        for _ in range(4):
            life = ServerLife(f"i-{rng.randrange(6)}-{number // 40}")
            if rng.random() >= 0.2:
                suspects.record_completed(f"r{number}", number)
                served += 1
                break
            suspects.record_broken_connection(f"r{number}", life, number)
            suspects.record_server_crash(life, number)
        blamed += suspects.is_quarantined(f"r{number}")
    assert served >= 3_900
    assert blamed <= 4_000 * 0.01
