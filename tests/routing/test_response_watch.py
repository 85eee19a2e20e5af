"""Tests of detecting a server that does not respond while it has requests in progress."""

from __future__ import annotations

import pytest

from monsoonflow.routing.backoff import INITIAL_BACKOFF_MS, MAX_BACKOFF_MS
from monsoonflow.routing.health import HealthTracker

RESPONSE_TIMEOUT_MS = 600


@pytest.fixture
def health():
    return HealthTracker()


def send_for(health, from_ms, for_ms, every_ms=20, lasts_ms=1_000):
    """Send requests to a server that never responds, whenever allowed; return the send times."""
    sent_ms, open_until_ms = [], {}
    for now_ms in range(from_ms, from_ms + for_ms, every_ms):
        for request, until_ms in list(open_until_ms.items()):
            if now_ms >= until_ms:
                del open_until_ms[request]
                health.record_finished("i", request, now_ms)
        if not health.is_paused("i", now_ms):
            health.record_sent("i", f"r{now_ms}", now_ms, RESPONSE_TIMEOUT_MS)
            open_until_ms[f"r{now_ms}"] = now_ms + lasts_ms
            sent_ms.append(now_ms)
    return sent_ms


def test_unresponsive_server_gets_one_probe_at_a_time(health):
    """A suspended process would process all requests sent to it as soon as it resumes."""
    sent_ms = send_for(health, 0, 20_000)
    probes_ms = [at_ms for at_ms in sent_ms if at_ms >= RESPONSE_TIMEOUT_MS]
    assert len(probes_ms) <= 2 + 20_000 // MAX_BACKOFF_MS
    gaps_ms = [later - earlier for earlier, later in zip(probes_ms, probes_ms[1:], strict=False)]
    assert min(gaps_ms) >= RESPONSE_TIMEOUT_MS + INITIAL_BACKOFF_MS
    assert max(gaps_ms) <= RESPONSE_TIMEOUT_MS + MAX_BACKOFF_MS + 20


def test_response_ends_the_pause_at_once(health):
    send_for(health, 0, 700)
    assert health.is_paused("i", 700)
    health.record_response("i", 720)
    assert not health.is_paused("i", 720)


def test_server_that_responds_to_any_request_is_not_paused(health):
    """A server with a queue must not be paused, though the last requests in it wait for long."""
    pending = []
    for now_ms in range(0, 6_000, 100):
        assert not health.is_paused("i", now_ms)
        for request in (f"{now_ms}-a", f"{now_ms}-b"):
            health.record_sent("i", request, now_ms, RESPONSE_TIMEOUT_MS)
            pending.append(request)
        if now_ms >= 500:
            health.record_response("i", now_ms)
            health.record_finished("i", pending.pop(0), now_ms)
    assert len(pending) > 60


def test_no_response_is_expected_without_pending_requests(health):
    health.record_sent("i", "r1", 0, RESPONSE_TIMEOUT_MS)
    health.record_response("i", 40)
    health.record_finished("i", "r1", 40)
    assert not health.is_paused("i", 60_000)


def test_request_that_ends_before_the_timeout_does_not_pause_its_server(health):
    health.record_sent("i", "r1", 0, RESPONSE_TIMEOUT_MS)
    health.record_finished("i", "r1", 100)
    assert not health.is_paused("i", 60_000)


def test_request_that_was_never_sent_expects_no_response(health):
    health.record_finished("i", "r1", 100)
    health.record_response("i", 200)
    assert not health.is_paused("i", 60_000)


def test_start_and_end_of_an_unresponsive_phase_are_each_logged_once(health, caplog):
    caplog.set_level("INFO")
    send_for(health, 0, 900)
    health.record_response("i", 1_000)
    health.record_response("i", 1_020)
    logged = [line.split()[0] for line in caplog.messages]
    assert logged == ["event=server_silent", "event=server_answers"]
