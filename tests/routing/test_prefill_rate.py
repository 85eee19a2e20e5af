"""Tests of the estimate of a runner's prefill rate."""

from __future__ import annotations

import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.routing.first_event import BASE_LATENCY_MS
from monsoonflow.routing.prefill_rate import INITIAL_TOKENS_PER_MS, PrefillRate

ONE, OTHER = ServerLife("i-1"), ServerLife("i-2")


def test_initial_estimate_is_replaced_after_a_few_long_queues():
    """Engines that prefill at a tenth of the initial rate are known after three long queues."""
    rate = PrefillRate()
    for _ in range(3):
        rate.record(ONE, 40_000, 2_000, BASE_LATENCY_MS + 20_000, 0)
    assert rate.tokens_per_ms(OTHER, 0) == pytest.approx(2.0, rel=0.15)


def test_requests_at_an_idle_runner_are_not_counted():
    """At an idle runner 2,000 tokens take 300 ms, mostly for the network and the engine's steps.

    As prefill time that would be 7 tokens per millisecond, where a queue is processed at 19.
    """
    rate = PrefillRate()
    for _ in range(100):
        rate.record(ONE, 2_000, 2_000, 300, 0)
    assert rate.tokens_per_ms(ONE, 0) == INITIAL_TOKENS_PER_MS


def test_slow_runner_does_not_change_the_rate_of_the_others():
    """One runner becomes slow; the rate of the others stays the same."""
    rate = PrefillRate()
    for number in range(30):
        rate.record(ServerLife(f"i-{number}"), 40_000, 2_000, BASE_LATENCY_MS + 2_000, 0)
    for _ in range(5):
        rate.record(ONE, 40_000, 2_000, BASE_LATENCY_MS + 10_000, 0)
    assert rate.tokens_per_ms(ONE, 0) < 6
    assert rate.tokens_per_ms(OTHER, 0) > 12


def test_prompt_without_first_event_counts_once_it_is_overdue():
    """Callers leave before their first event, which counts only if the event was due by then.

    Without it, a runner that processes nothing would keep the rate it had before.
    """
    rate = PrefillRate()
    rate.record_overdue(ONE, 200_000, 2_000, 4_000, 0)
    assert rate.tokens_per_ms(ONE, 0) == INITIAL_TOKENS_PER_MS
    for _ in range(5):
        rate.record_overdue(ONE, 20_000, 2_000, 4_000, 0)
    assert rate.tokens_per_ms(ONE, 0) < 10


def test_old_observations_decay():
    """A runner that was slow for a while has the rate of the others again a minute later."""
    rate = PrefillRate()
    for _ in range(5):
        rate.record(ONE, 40_000, 2_000, BASE_LATENCY_MS + 20_000, 0)
    slow_tokens_per_ms = rate.tokens_per_ms(ONE, 0)
    assert rate.tokens_per_ms(ONE, 90_000) > 3 * slow_tokens_per_ms
