"""Tests of judging servers by how their requests end."""

from __future__ import annotations

from monsoonflow.routing.backoff import INITIAL_BACKOFF_MS, MAX_BACKOFF_MS
from monsoonflow.routing.health import HealthTracker


def test_failures_count_and_fade():
    conditions = HealthTracker()
    for now_ms in range(0, 1_000, 100):
        conditions.record_result("i", False, 50, now_ms)
    assert conditions.failure_share("i", 1_000) > 0.8
    assert conditions.failure_share("i", 10_000) < 0.2


def test_a_server_that_can_not_be_reached_is_left_alone_for_longer_each_time():
    conditions = HealthTracker()
    conditions.record_unreachable("i", 0)
    assert conditions.is_paused("i", INITIAL_BACKOFF_MS - 1)
    assert not conditions.is_paused("i", INITIAL_BACKOFF_MS)
    conditions.record_unreachable("i", 500)
    assert conditions.is_paused("i", 500 + 2 * INITIAL_BACKOFF_MS - 1)
    for now_ms in range(10_000, 60_000, 5_000):
        conditions.record_unreachable("i", now_ms)
        assert not conditions.is_paused("i", now_ms + MAX_BACKOFF_MS)


def test_many_requests_that_fail_at_once_count_as_one_sign():
    """Ten requests wait at a server when it goes.

    Each tells the same; doubling the pause for each would shut the server out for long.
    """
    conditions = HealthTracker()
    for _ in range(10):
        conditions.record_unreachable("i", 0)
    assert not conditions.is_paused("i", INITIAL_BACKOFF_MS)


def test_a_good_answer_ends_the_pause():
    conditions = HealthTracker()
    conditions.record_unreachable("i", 0)
    conditions.record_result("i", True, 40, 10)
    assert not conditions.is_paused("i", 11)
    assert conditions.latency_ms("i", 80) == 40
