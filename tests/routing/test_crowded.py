"""Tests of which word on a runner's queue counts."""

from __future__ import annotations

from monsoonflow.routing.crowded import as_told
from monsoonflow.routing.in_flight import ServerWork

NOTHING = ServerWork()
HEARD = ServerWork(20, 90_000, 100_000, unread_by_rank={0: 10_000, 1: 80_000})


def test_the_holders_word_replaces_what_was_heard_long_ago():
    at = as_told(HEARD, NOTHING, {0: 4_000, 1: 30_000}, 2_000, 20.0)
    assert (at.unread_tokens, at.unread_ahead(0)) == (36_000, 6_000)


def test_a_runner_that_the_holder_does_not_name_is_not_crowded():
    """Its queue was read meanwhile: refused for what was heard long ago, it would stand idle."""
    assert as_told(HEARD, NOTHING, None, 0, 20.0).unread_tokens == 20_000


def test_what_a_node_sent_itself_counts_whatever_is_told():
    own = ServerWork(9, 60_000, 60_000, unread_by_rank={1: 60_000})
    for told in (None, {1: 30_000}):
        assert as_told(HEARD, own, told, 0, 20.0).unread_ahead(1) == 60_000
