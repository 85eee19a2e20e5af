"""Tests of what is known of a runner's reading pace."""

from __future__ import annotations

import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.routing.first_event import BASE_LATENCY_MS
from monsoonflow.routing.prefill_rate import INITIAL_TOKENS_PER_MS, PrefillRate

ONE, OTHER = ServerLife("i-1"), ServerLife("i-2")


def test_the_first_guess_is_given_up_as_soon_as_queues_are_read():
    """Engines that read a tenth of the guess: three long queues tell, no more is needed."""
    pace = PrefillRate()
    for _ in range(3):
        pace.record(ONE, 40_000, 2_000, BASE_LATENCY_MS + 20_000, 0)
    assert pace.tokens_per_ms(OTHER, 0) == pytest.approx(2.0, rel=0.15)


def test_an_idle_runner_tells_nothing():
    """At an idle runner 2,000 tokens take 300 ms: the way there and the engine's steps.

    Taken for reading, that is 7 tokens a millisecond where a queue is read at 19.
    """
    pace = PrefillRate()
    for _ in range(100):
        pace.record(ONE, 2_000, 2_000, 300, 0)
    assert pace.tokens_per_ms(ONE, 0) == INITIAL_TOKENS_PER_MS


def test_a_slow_runner_is_told_from_the_others():
    """One runner turns slow; the others' pace stays what it was."""
    pace = PrefillRate()
    for number in range(30):
        pace.record(ServerLife(f"i-{number}"), 40_000, 2_000, BASE_LATENCY_MS + 2_000, 0)
    for _ in range(5):
        pace.record(ONE, 40_000, 2_000, BASE_LATENCY_MS + 10_000, 0)
    assert pace.tokens_per_ms(ONE, 0) < 6
    assert pace.tokens_per_ms(OTHER, 0) > 12


def test_what_is_never_read_counts_once_it_is_overdue():
    """Callers leave before their first event: only what should have come by then tells something.

    Left out, a runner that reads nothing would be taken for as fast as it was before.
    """
    pace = PrefillRate()
    pace.record_overdue(ONE, 200_000, 2_000, 4_000, 0)
    assert pace.tokens_per_ms(ONE, 0) == INITIAL_TOKENS_PER_MS
    for _ in range(5):
        pace.record_overdue(ONE, 20_000, 2_000, 4_000, 0)
    assert pace.tokens_per_ms(ONE, 0) < 10


def test_old_observations_fade():
    """A runner that was slow for a while is believed to be as fast as the others a minute later."""
    pace = PrefillRate()
    for _ in range(5):
        pace.record(ONE, 40_000, 2_000, BASE_LATENCY_MS + 20_000, 0)
    slow = pace.tokens_per_ms(ONE, 0)
    assert pace.tokens_per_ms(ONE, 90_000) > 3 * slow
