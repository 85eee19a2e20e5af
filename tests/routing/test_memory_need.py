"""Tests of the estimate of the KV cache that a request needs, and of whether a runner has room."""

from __future__ import annotations

import random

import pytest

from monsoonflow.routing.memory_need import (
    INITIAL_MARGIN,
    MAX_ROUTES,
    MIN_SAMPLES,
    OutputLengths,
)
from monsoonflow.routing.memory_room import MemoryUse, exceeds_runner, has_room

KV_TOKENS = 119_663
MAX_TOKENS = 400


@pytest.fixture
def lengths() -> OutputLengths:
    """Return lengths without history."""
    return OutputLengths()


@pytest.mark.parametrize(
    "hint",
    [None, 0, -1, 401, 10**400, float("nan"), float("inf"), float("-inf"), "20", b"20", [], True],
)
def test_an_invalid_hint_counts_as_the_maximum_and_is_not_learned_from(lengths, hint):
    """A hint that can't be right would reserve too little, or make a response's ratio useless."""
    for _ in range(2 * MIN_SAMPLES):
        lengths.record("r", hint, MAX_TOKENS, 1, is_complete=True)
    assert lengths.expected_tokens("r", hint, MAX_TOKENS) == MAX_TOKENS
    assert lengths.margin("r") == INITIAL_MARGIN


@pytest.mark.parametrize(("hint", "expected"), [(1, 4), (10, 40), (100, 400), (101, 400)])
def test_without_history_a_hint_may_be_wrong_by_a_factor_of_four(lengths, hint, expected):
    """An empty history right after startup must not reserve too little."""
    assert lengths.expected_tokens("r", hint, MAX_TOKENS) == expected


def test_without_a_known_maximum_only_the_prompt_counts(lengths):
    """A request that states no maximum was counted with its prompt before, and still is."""
    assert lengths.expected_tokens("r", 20, 0) == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("sigma", [0.3, 0.7, 1.2])
def test_the_margin_covers_95_of_100_responses(lengths, seed, sigma):
    """Hints are correct at the median and often far off: most responses must fit their estimate."""
    rng = random.Random(seed)
    for _ in range(128):
        lengths.record("r", 20, 10_000, round(20 * rng.lognormvariate(0, sigma)), is_complete=True)
    drawn = [round(20 * rng.lognormvariate(0, sigma)) for _ in range(2_000)]
    expected = lengths.expected_tokens("r", 20, 10_000)
    assert sum(actual <= expected for actual in drawn) / len(drawn) >= 0.88


@pytest.mark.parametrize("tokens_per_event", [1, 4, 20])
def test_the_margin_does_not_depend_on_how_many_tokens_an_event_carries(lengths, tokens_per_event):
    """Events are counted, not tokens: with 20 tokens in each, lengths would seem a twentieth."""
    rng = random.Random(1)
    for _ in range(128):
        events = 2_000 * rng.lognormvariate(0, 0.7) / tokens_per_event
        lengths.record("r", 2_000, 100_000, round(events), is_complete=True)
    assert 2.0 < lengths.margin("r") < 5.0


def test_responses_that_were_cut_off_for_their_length_count(lengths):
    """Otherwise only short responses are learned from, and the margin falls."""
    for _ in range(2 * MIN_SAMPLES):
        lengths.record("r", 10, MAX_TOKENS, 10, is_complete=True)
    before = lengths.margin("r")
    for _ in range(MIN_SAMPLES):
        lengths.record("r", 10, MAX_TOKENS, 2, is_complete=False)
    assert lengths.margin("r") == before
    for _ in range(MIN_SAMPLES):
        lengths.record("r", 10, MAX_TOKENS, 60, is_complete=False)
    assert lengths.margin("r") == 6.0


def test_one_route_does_not_change_the_margin_of_another_and_routes_are_bounded(lengths):
    """A configuration may have thousands of routes: memory of a node must not grow with them."""
    for number in range(3 * MAX_ROUTES):
        for _ in range(MIN_SAMPLES):
            lengths.record(f"r{number}", 10, MAX_TOKENS, 10, is_complete=True)
    assert lengths.margin("other") == INITIAL_MARGIN
    assert lengths.margin(f"r{3 * MAX_ROUTES - 1}") == 1.0
    assert lengths.margin("r0") == INITIAL_MARGIN


@pytest.mark.parametrize(("need", "fitting"), [(1_246, 96), (2_368, 50)])
def test_a_runner_holds_a_full_batch_of_short_requests_and_fifty_of_the_typical_prompt(
    need, fitting
):
    """A check that leaves a tenth of the memory free would make a runner refuse a full batch."""
    use = [MemoryUse(number * need) for number in range(fitting + 1)]
    assert [has_room(need, one, KV_TOKENS) for one in use] == [True] * fitting + [False]


@pytest.mark.parametrize("reported", [-1, -(10**9)])
def test_a_negative_report_makes_no_more_room_than_an_idle_runner_has(reported):
    """Reports of peers are untrusted."""
    assert has_room(100, MemoryUse(reported), 100)
    assert not has_room(100, MemoryUse(reported, 1), 100)


def test_a_prompt_that_fills_the_cache_exceeds_a_runner():
    """Generating needs one token more; a runner that takes such a request crashes."""
    assert not exceeds_runner(KV_TOKENS - 1, KV_TOKENS)
    assert exceeds_runner(KV_TOKENS, KV_TOKENS)
    assert not any(exceeds_runner(10**9, unknown) for unknown in (0, -1))
