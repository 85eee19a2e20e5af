"""Tests of noticing a server that gives no sign while requests wait at it."""

from __future__ import annotations

import pytest

from monsoonflow.routing.backoff import INITIAL_BACKOFF_MS, MAX_BACKOFF_MS
from monsoonflow.routing.health import HealthTracker

WITHIN_MS = 600


@pytest.fixture
def conditions():
    return HealthTracker()


def sent_for(conditions, from_ms, for_ms, every_ms=20, lasts_ms=1_000):
    """Send to a server that answers nothing, wherever it may be; return when."""
    sent_ms, open_until_ms = [], {}
    for now_ms in range(from_ms, from_ms + for_ms, every_ms):
        for request, until_ms in list(open_until_ms.items()):
            if now_ms >= until_ms:
                del open_until_ms[request]
                conditions.record_finished("i", request, now_ms)
        if not conditions.is_paused("i", now_ms):
            conditions.record_sent("i", f"r{now_ms}", now_ms, WITHIN_MS)
            open_until_ms[f"r{now_ms}"] = now_ms + lasts_ms
            sent_ms.append(now_ms)
    return sent_ms


def test_a_server_that_owes_a_sign_gets_single_trials(conditions):
    """Guards against requests put before a process that stands still: it reads them all later."""
    sent_ms = sent_for(conditions, 0, 20_000)
    trials = [at_ms for at_ms in sent_ms if at_ms >= WITHIN_MS]
    assert len(trials) <= 2 + 20_000 // MAX_BACKOFF_MS
    gaps = [later - earlier for earlier, later in zip(trials, trials[1:], strict=False)]
    assert min(gaps) >= WITHIN_MS + INITIAL_BACKOFF_MS
    assert max(gaps) <= WITHIN_MS + MAX_BACKOFF_MS + 20


def test_a_sign_ends_it_at_once(conditions):
    sent_for(conditions, 0, 700)
    assert conditions.is_paused("i", 700)
    conditions.record_response("i", 720)
    assert not conditions.is_paused("i", 720)


def test_a_server_that_answers_somebody_is_not_silent(conditions):
    """Guards against leaving alone a server that has a queue: the last in it wait for long."""
    waiting = []
    for now_ms in range(0, 6_000, 100):
        assert not conditions.is_paused("i", now_ms)
        for request in (f"{now_ms}-a", f"{now_ms}-b"):
            conditions.record_sent("i", request, now_ms, WITHIN_MS)
            waiting.append(request)
        if now_ms >= 500:
            conditions.record_response("i", now_ms)
            conditions.record_finished("i", waiting.pop(0), now_ms)
    assert len(waiting) > 60


def test_a_server_that_was_asked_nothing_owes_no_sign(conditions):
    conditions.record_sent("i", "r1", 0, WITHIN_MS)
    conditions.record_response("i", 40)
    conditions.record_finished("i", "r1", 40)
    assert not conditions.is_paused("i", 60_000)


def test_a_caller_that_leaves_early_shows_nothing_of_its_server(conditions):
    conditions.record_sent("i", "r1", 0, WITHIN_MS)
    conditions.record_finished("i", "r1", 100)
    assert not conditions.is_paused("i", 60_000)


def test_a_request_that_never_went_out_owes_no_sign(conditions):
    conditions.record_finished("i", "r1", 100)
    conditions.record_response("i", 200)
    assert not conditions.is_paused("i", 60_000)


def test_the_end_of_a_silence_is_told_once_and_so_is_its_beginning(conditions, caplog):
    caplog.set_level("INFO")
    sent_for(conditions, 0, 900)
    conditions.record_response("i", 1_000)
    conditions.record_response("i", 1_020)
    told = [line.split()[0] for line in caplog.messages]
    assert told == ["event=server_silent", "event=server_answers"]
