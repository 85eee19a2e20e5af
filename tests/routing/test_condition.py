"""Tests of judging servers by how their requests end."""

from __future__ import annotations

from monsoonflow.routing.condition import Conditions
from monsoonflow.routing.pauses import MAX_PAUSE_MS, UNREACHED_PAUSE_MS


def test_failures_count_and_fade():
    conditions = Conditions()
    for now_ms in range(0, 1_000, 100):
        conditions.ended("i", False, 50, now_ms)
    assert conditions.failure_share("i", 1_000) > 0.8
    assert conditions.failure_share("i", 10_000) < 0.2


def test_a_server_that_can_not_be_reached_is_left_alone_for_longer_each_time():
    conditions = Conditions()
    conditions.unreached("i", 0)
    assert conditions.paused("i", UNREACHED_PAUSE_MS - 1)
    assert not conditions.paused("i", UNREACHED_PAUSE_MS)
    conditions.unreached("i", 500)
    assert conditions.paused("i", 500 + 2 * UNREACHED_PAUSE_MS - 1)
    for now_ms in range(10_000, 60_000, 5_000):
        conditions.unreached("i", now_ms)
        assert not conditions.paused("i", now_ms + MAX_PAUSE_MS)


def test_many_requests_that_fail_at_once_count_as_one_sign():
    """Ten requests wait at a server when it goes.

    Each tells the same; doubling the pause for each would shut the server out for long.
    """
    conditions = Conditions()
    for _ in range(10):
        conditions.unreached("i", 0)
    assert not conditions.paused("i", UNREACHED_PAUSE_MS)


def test_a_good_answer_ends_the_pause():
    conditions = Conditions()
    conditions.unreached("i", 0)
    conditions.ended("i", True, 40, 10)
    assert not conditions.paused("i", 11)
    assert conditions.latency_ms("i", 80) == 40
