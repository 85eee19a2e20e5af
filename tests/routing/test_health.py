"""Tests of server health, which is tracked by the results of requests."""

from __future__ import annotations

from monsoonflow.routing.backoff import INITIAL_BACKOFF_MS, MAX_BACKOFF_MS
from monsoonflow.routing.health import HealthTracker


def test_failure_share_rises_with_failures_and_decays():
    health = HealthTracker()
    for now_ms in range(0, 1_000, 100):
        health.record_result("i", False, 50, now_ms)
    assert health.failure_share("i", 1_000) > 0.8
    assert health.failure_share("i", 10_000) < 0.2


def test_pause_doubles_with_each_unreachable_result():
    health = HealthTracker()
    health.record_unreachable("i", 0)
    assert health.is_paused("i", INITIAL_BACKOFF_MS - 1)
    assert not health.is_paused("i", INITIAL_BACKOFF_MS)
    health.record_unreachable("i", 500)
    assert health.is_paused("i", 500 + 2 * INITIAL_BACKOFF_MS - 1)
    for now_ms in range(10_000, 60_000, 5_000):
        health.record_unreachable("i", now_ms)
        assert not health.is_paused("i", now_ms + MAX_BACKOFF_MS)


def test_concurrent_failures_count_as_one():
    """Ten requests are in progress at a server when it ends.

    All ten report the same fault. If the pause doubled with each of them, the server would get
    no requests for a long time.
    """
    health = HealthTracker()
    for _ in range(10):
        health.record_unreachable("i", 0)
    assert not health.is_paused("i", INITIAL_BACKOFF_MS)


def test_successful_response_ends_the_pause():
    health = HealthTracker()
    health.record_unreachable("i", 0)
    health.record_result("i", True, 40, 10)
    assert not health.is_paused("i", 11)
    assert health.latency_ms("i", 80) == 40
