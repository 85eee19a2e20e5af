"""Tests of the relative pace of runners."""

from __future__ import annotations

import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.routing.runner_pace import (
    MAX_ANNOUNCED_PACES,
    MAX_PACE,
    MIN_PACE,
    PACE_HALF_LIFE_MS,
    RunnerPace,
)

LIVES = tuple(ServerLife(f"i-{number}") for number in range(5))
SLOW = LIVES[4]
GAP_MS = 25


@pytest.fixture
def pace():
    return RunnerPace()


def observe(pace, until_ms, slow_factor, from_ms=0, every_ms=100, gaps=True):
    """Record a first event and a gap at each runner in turn, the last one slower by a factor."""
    for now_ms in range(from_ms, until_ms, every_ms):
        for life in LIVES:
            factor = slow_factor if life == SLOW else 1.0
            pace.record_first_event(life, "s", 200, 200 * factor, now_ms)
            if gaps:
                pace.record_gap(life, "s", GAP_MS * factor, 3, now_ms)


def test_empty_history_treats_all_runners_as_equal(pace):
    """Right after its start a node must decide as without this part."""
    assert [pace.pace_of(life, 0) for life in LIVES] == [1.0] * 5
    assert pace.announced_paces(0) == {}
    assert pace.crossings(0) == []


def test_equal_runners_are_exactly_equal(pace):
    observe(pace, 3_000, 1.0)
    assert [pace.pace_of(life, 3_000) for life in LIVES] == [1.0] * 5
    assert pace.announced_paces(3_000) == {}


@pytest.mark.parametrize("factor", [0.4, 1.5, 2.43, 6.0])
def test_pace_is_the_factor_to_the_median(pace, factor):
    observe(pace, 5_000, factor)
    assert pace.pace_of(SLOW, 5_000) == pytest.approx(factor, rel=0.15)
    assert pace.pace_of(LIVES[0], 5_000) == 1.0
    assert set(pace.announced_paces(5_000)) == {SLOW}


def test_half_of_the_runners_slow_leaves_the_fast_ones_as_reference(pace):
    for now_ms in range(0, 3_000, 100):
        for number, life in enumerate(LIVES[:4]):
            pace.record_first_event(life, "s", 200, 200 if number < 2 else 700, now_ms)
    assert pace.pace_of(LIVES[0], 3_000) == 1.0
    assert pace.pace_of(LIVES[3], 3_000) > 2.5


def test_cells_have_medians_of_their_own(pace):
    """The runners of another service may run a larger model, and are not slow because of that."""
    observe(pace, 3_000, 1.0)
    for now_ms in range(0, 3_000, 100):
        for life in ("j-1", "j-2"):
            pace.record_first_event(ServerLife(life), "other", 200, 900, now_ms)
    assert pace.pace_of(ServerLife("j-1"), 3_000) == 1.0


def test_late_starts_count_although_the_gaps_are_normal(pace):
    """A runner that starts each request 0.5 s late generates as fast as the others."""
    for now_ms in range(0, 3_000, 100):
        for life in LIVES:
            took_ms = 700 if life == SLOW else 200
            pace.record_first_event(life, "s", 200, took_ms, now_ms)
            pace.record_gap(life, "s", GAP_MS, 3, now_ms)
    assert pace.pace_of(SLOW, 3_000) > 2.5


def test_runner_with_more_requests_is_not_slow(pace):
    """Gaps grow with the batch; a runner must not be avoided because it is used."""
    for now_ms in range(0, 4_000, 50):
        for number, life in enumerate(LIVES):
            requests = 2 + 3 * number + now_ms // 50 % 3
            pace.record_gap(life, "s", 20 + 2 * requests, requests, now_ms)
    assert [pace.pace_of(life, 4_000) for life in LIVES] == [1.0] * 5


def test_pace_returns_to_one_without_observations(pace):
    """An avoided runner must get requests again, which show whether it has recovered."""
    observe(pace, 5_000, 3.0)
    before = pace.pace_of(SLOW, 5_000)
    halved = pace.pace_of(SLOW, 6_000 + PACE_HALF_LIFE_MS)
    assert halved == pytest.approx(before**0.5, rel=0.2)
    assert pace.pace_of(SLOW, 25_000) == 1.0
    assert pace.announced_paces(25_000) == {}


def test_recovered_runner_is_known_after_a_few_observations(pace):
    observe(pace, 5_000, 3.0)
    observe(pace, 15_000, 1.0, from_ms=13_000)
    assert pace.pace_of(SLOW, 15_000) == 1.0


def test_lasting_change_is_known_within_two_seconds(pace):
    observe(pace, 5_000, 0.7)
    observe(pace, 7_000, 3.0, from_ms=5_000)
    assert pace.pace_of(SLOW, 7_000) > 1.8


def test_spell_of_a_moment_does_not_stay_in_the_pace(pace):
    """A spell of 0.6 s is over before a load elsewhere would pay off; its end must be seen soon."""
    observe(pace, 5_000, 1.0, every_ms=20)
    for from_ms, until_ms, factor in ((5_000, 5_600, 2.5), (5_600, 7_000, 1.0)):
        for now_ms in range(from_ms, until_ms, 20):
            for life in LIVES:
                gap_ms = GAP_MS * (factor if life == SLOW else 1.0)
                pace.record_gap(life, "s", gap_ms, 3, now_ms)
    assert pace.pace_of(SLOW, 7_000) == 1.0


def test_runner_with_few_observations_is_not_announced_for_noise(pace):
    """A single first event that is half late says little."""
    observe(pace, 3_000, 1.0)
    pace.record_first_event(ServerLife("new"), "s", 200, 300, 3_000)
    assert pace.pace_of(ServerLife("new"), 3_000) == 1.0
    assert pace.announced_paces(3_000) == {}


def test_announcements_are_used_without_own_observations(pace):
    """A node with three requests a second sees each of thirty runners once in ten seconds."""
    for peer in range(5):
        pace.receive(f"n{peer}", {SLOW: 2.4}, 100 * peer)
    assert pace.pace_of(SLOW, 500) > 1.8


def test_announcements_are_not_passed_on(pace):
    """Otherwise two nodes would confirm a pace to each other for ever."""
    observe(pace, 3_000, 1.0)
    for now_ms in range(3_000, 4_000, 100):
        pace.receive("n1", {SLOW: 20.0}, now_ms)
    assert SLOW not in pace.announced_paces(4_000)


def test_own_observations_outweigh_one_peer_with_a_slow_link(pace):
    observe(pace, 4_000, 1.0)
    for now_ms in range(3_000, 4_000, 200):
        pace.receive("n1", {SLOW: 1.6}, now_ms)
    assert pace.pace_of(SLOW, 4_000) == 1.0


def test_announcements_of_a_killed_node_expire(pace):
    for now_ms in range(0, 2_000, 200):
        pace.receive("n1", {SLOW: 3.0}, now_ms)
    assert pace.pace_of(SLOW, 2_000) > 2
    assert pace.pace_of(SLOW, 20_000) == 1.0


def test_withdrawn_announcement_lowers_the_pace(pace):
    for now_ms in range(0, 2_000, 200):
        pace.receive("n1", {SLOW: 3.0}, now_ms)
    pace.receive("n1", None, 2_000)
    before = pace.pace_of(SLOW, 2_000)
    assert before > 2
    pace.receive("n1", {}, 2_000)
    assert pace.pace_of(SLOW, 2_000) < before


def test_announced_paces_are_bounded_in_number_and_value(pace):
    for number in range(200):
        for now_ms in range(0, 1_000, 100):
            life = ServerLife(f"i-{number}")
            took_ms = 1 if number == 1 else 200 if number % 2 else 1_000_000
            pace.record_first_event(life, "s", 200, took_ms, now_ms)
    announced = pace.announced_paces(1_000)
    assert len(announced) == MAX_ANNOUNCED_PACES
    assert len(pace.announced_paces(1_000, limit=10)) == 10
    assert all(MIN_PACE <= value <= MAX_PACE for value in announced.values())


def test_change_is_reported_once_with_its_age(pace):
    observe(pace, 3_000, 3.0)
    (crossing,) = pace.crossings(3_000)
    assert (crossing.life, crossing.before) == (SLOW, 1.0)
    assert crossing.pace > 2
    assert 0 < crossing.age_ms <= 100
    assert pace.crossings(3_000) == []
    (back,) = pace.crossings(30_000)
    assert back.pace == 1.0
    assert back.before > 2


def test_removed_runner_is_forgotten(pace):
    observe(pace, 3_000, 3.0)
    pace.receive("n1", {SLOW: 3.0}, 3_000)
    pace.forget(SLOW)
    assert pace.pace_of(SLOW, 3_000) == 1.0
    pace.receive("n1", {ServerLife("unknown"): 3.0}, 3_000)
    pace.keep_only(frozenset(LIVES))
    assert pace.slow_count(3_000) == 0
