"""Tests of which report of a runner's queue is used."""

from __future__ import annotations

from monsoonflow.routing.in_flight import ServerWork
from monsoonflow.routing.overload import apply_holder_report

NO_WORK = ServerWork()
KNOWN_WORK = ServerWork(20, 90_000, 100_000, pending_prefill_by_rank={0: 10_000, 1: 80_000})


def test_lease_holders_report_replaces_older_heartbeats():
    work = apply_holder_report(KNOWN_WORK, NO_WORK, {0: 4_000, 1: 30_000}, 2_000, 20.0)
    assert (work.pending_prefill_tokens, work.pending_prefill_ahead(0)) == (36_000, 6_000)


def test_runner_that_the_lease_holder_does_not_report_is_not_overloaded():
    """Its queue has been processed since; refused because of old heartbeats, it would be idle."""
    assert apply_holder_report(KNOWN_WORK, NO_WORK, None, 0, 20.0).pending_prefill_tokens == 20_000


def test_own_pending_tokens_are_the_lower_bound_of_any_report():
    own_work = ServerWork(9, 60_000, 60_000, pending_prefill_by_rank={1: 60_000})
    for reported in (None, {1: 30_000}):
        assert (
            apply_holder_report(KNOWN_WORK, own_work, reported, 0, 20.0).pending_prefill_ahead(1)
            == 60_000
        )
