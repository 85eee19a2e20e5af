"""Tests of how requests that crash servers are found."""

from __future__ import annotations

import random

import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.quarantine.broken_connections import BROKEN_CONNECTION_TTL_MS
from monsoonflow.quarantine.models import QuarantinedRequest, ServerCrash
from monsoonflow.quarantine.suspects import (
    IGNORE_AFTER_LIFT_MS,
    MAX_QUARANTINED,
    MAX_SUSPECTS,
    QUARANTINE_TTL_MS,
    SUSPICION_TTL_MS,
    Suspects,
)

LIVES = tuple(ServerLife(f"i-{number}") for number in range(40))


def crash_server(suspects, fingerprint, number, now_ms=0):
    suspects.record_broken_connection(fingerprint, LIVES[number], now_ms)
    return suspects.record_server_crash(LIVES[number], now_ms)


def test_a_request_is_quarantined_after_three_server_crashes():
    suspects = Suspects("a")
    assert crash_server(suspects, "f", 0) == crash_server(suspects, "f", 1) == []
    assert not suspects.is_quarantined("f")
    (request,) = crash_server(suspects, "f", 2)
    assert request == QuarantinedRequest("f", LIVES[:3], "a")
    assert suspects.is_quarantined("f")


def test_a_crash_that_several_nodes_have_seen_counts_once():
    suspects = Suspects("a")
    for source in ("b", "c", "d"):
        suspects.record_crash(ServerCrash("f", LIVES[0]), 0, source)
    crash_server(suspects, "f", 0)
    assert not suspects.must_run_alone("f")


def test_crashes_seen_by_different_nodes_add_up():
    suspects = Suspects("a")
    crash_server(suspects, "f", 0)
    assert suspects.record_crash(ServerCrash("f", LIVES[1]), 0, "b") is None
    assert suspects.must_run_alone("f")
    assert suspects.record_crash(ServerCrash("f", LIVES[2]), 0, "c") is not None


def test_a_broken_connection_without_a_crash_does_not_make_a_request_suspect():
    """Answers are lost on the network while the servers continue to run."""
    suspects = Suspects("a")
    for life in LIVES:
        suspects.record_broken_connection("f", life, 0)
    assert not suspects.is_quarantined("f")
    assert suspects.record_server_crash(LIVES[0], BROKEN_CONNECTION_TTL_MS + 1) == []


def test_old_broken_connections_of_a_server_are_dropped():
    suspects = Suspects("a")
    for number in range(10_000):
        suspects.record_broken_connection(f"f{number}", LIVES[0], number * 100)
    assert len(suspects.broken_requests_at(LIVES[0])) <= BROKEN_CONNECTION_TTL_MS // 100 + 1


def test_a_connection_that_breaks_long_after_a_crash_is_not_part_of_it():
    """Without known start times, a restarted server may have the same id as before its crash."""
    suspects = Suspects("a")
    for life in LIVES[:3]:
        suspects.record_server_crash(life, 0)
        assert suspects.record_broken_connection("f", life, BROKEN_CONNECTION_TTL_MS + 1) == []


def test_a_broken_connection_that_is_noticed_after_the_crash_counts():
    suspects = Suspects("a")
    for life in LIVES[:3]:
        suspects.record_server_crash(life, 0)
        requests = suspects.record_broken_connection("f", life, 10)
    assert [request.fingerprint for request in requests] == ["f"]


def test_a_request_that_was_answered_completely_is_no_suspect():
    suspects = Suspects("a")
    crash_server(suspects, "f", 0)
    crash_server(suspects, "f", 1)
    suspects.record_completed("f", 5)
    assert not suspects.must_run_alone("f")
    assert suspects.record_crash(ServerCrash("f", LIVES[1]), 6, "b") is None
    assert suspects.own_crashes(6, 1_000, 9) == ()


def test_a_peer_that_does_not_know_of_a_lift_does_not_undo_it():
    """Two nodes would announce to each other forever what an operator has lifted."""
    suspects = Suspects("a")
    suspects.quarantine(QuarantinedRequest("f", (), "b"), 0)
    assert suspects.lift("f", 100)
    assert not suspects.quarantine(QuarantinedRequest("f", (), "b"), 100 + IGNORE_AFTER_LIFT_MS)
    assert suspects.quarantine(QuarantinedRequest("f", (), "b"), 101 + IGNORE_AFTER_LIFT_MS)


def test_quarantine_and_suspicion_expire():
    suspects = Suspects("a")
    for number in range(3):
        crash_server(suspects, "f", number)
    crash_server(suspects, "g", 5)
    assert suspects.lift_expired(QUARANTINE_TTL_MS) == []
    assert suspects.lift_expired(QUARANTINE_TTL_MS + 1) == ["f"]
    assert not suspects.is_quarantined("f")
    crash_server(suspects, "g", 6, SUSPICION_TTL_MS + 1)
    assert not suspects.must_run_alone("g")


def test_the_numbers_of_suspects_and_quarantined_requests_are_limited():
    suspects = Suspects("a")
    for number in range(MAX_SUSPECTS + 50):
        suspects.record_crash(ServerCrash(f"f{number}", LIVES[0]), 0, "b")
        suspects.quarantine(QuarantinedRequest(f"q{number}", (), "b"), 0)
    assert len(suspects.quarantined()) == MAX_QUARANTINED
    assert suspects.is_quarantined(f"q{MAX_SUSPECTS + 49}")


@pytest.mark.parametrize("seed", range(5))
def test_innocent_requests_are_rarely_quarantined(seed):
    """Each attempt ends in a crash with a chance of one in five; a request has four attempts."""
    rng = random.Random(seed)
    suspects, quarantined, served = Suspects("a"), 0, 0
    for number in range(4_000):
        for _ in range(4):
            life = ServerLife(f"i-{rng.randrange(6)}-{number // 40}")
            if rng.random() >= 0.2:
                suspects.record_completed(f"r{number}", number)
                served += 1
                break
            suspects.record_broken_connection(f"r{number}", life, number)
            suspects.record_server_crash(life, number)
        quarantined += suspects.is_quarantined(f"r{number}")
    assert served >= 3_900
    assert quarantined <= 4_000 * 0.01


def test_crashes_that_a_part_of_prompts_explains_count_no_more():
    """Bystanders of a bad part were refused for an hour, also after the part had been found."""
    suspects = Suspects("a")
    for number in range(3):
        crash_server(suspects, "f", number)
        crash_server(suspects, "g", number + 10)
    assert suspects.excuse(LIVES[:3], 0) == ["f"]
    assert not suspects.is_quarantined("f")
    assert suspects.is_quarantined("g")
    later_ms = IGNORE_AFTER_LIFT_MS + 1
    for life in LIVES[:3]:
        assert suspects.record_crash(ServerCrash("f", life), later_ms, "b") is None
    assert not suspects.must_run_alone("f")
