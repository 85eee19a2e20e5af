"""Tests of which word on a runner's queue counts."""

from __future__ import annotations

from monsoonflow.routing.in_flight import ServerWork
from monsoonflow.routing.overload import apply_holder_report

NOTHING = ServerWork()
HEARD = ServerWork(20, 90_000, 100_000, pending_prefill_by_rank={0: 10_000, 1: 80_000})


def test_the_holders_word_replaces_what_was_heard_long_ago():
    at = apply_holder_report(HEARD, NOTHING, {0: 4_000, 1: 30_000}, 2_000, 20.0)
    assert (at.pending_prefill_tokens, at.pending_prefill_ahead(0)) == (36_000, 6_000)


def test_a_runner_that_the_holder_does_not_name_is_not_crowded():
    """Its queue was read meanwhile: refused for what was heard long ago, it would stand idle."""
    assert apply_holder_report(HEARD, NOTHING, None, 0, 20.0).pending_prefill_tokens == 20_000


def test_what_a_node_sent_itself_counts_whatever_is_told():
    own = ServerWork(9, 60_000, 60_000, pending_prefill_by_rank={1: 60_000})
    for told in (None, {1: 30_000}):
        assert apply_holder_report(HEARD, own, told, 0, 20.0).pending_prefill_ahead(1) == 60_000
