"""Tests of the cell lease: who may send orders to a cell's runners, and who may claim the lease."""

from __future__ import annotations

import pytest

from monsoonflow.ownership.cell_lease import (
    MAX_STANDBYS,
    CellLeaseRow,
    CellLeaseWatch,
    HeldCellLease,
)
from monsoonflow.ownership.models import LeaseTiming

TIMING = LeaseTiming(3_000, 300)
ROW = CellLeaseRow("cell", "a", "b-a", 5, 0, ("b", "c"))


def held_lease(fenced: bool) -> HeldCellLease:
    lease = HeldCellLease(TIMING, fenced)
    lease.record_write(ROW, 10, sent_ms=1_000)
    return lease


@pytest.mark.parametrize("fenced", [True, False])
def test_holder_may_order_until_its_lease_runs_out(fenced):
    lease = held_lease(fenced)
    assert lease.may_order(3_699, 5, is_store_lost=False, peer_silence_ms=50)
    assert not lease.may_order(3_700, 5, is_store_lost=False, peer_silence_ms=50)


def test_unfenced_holder_stops_with_its_lease_during_a_store_outage():
    """The store is down, and runners obey orders of any node.

    Another node may have claimed just before the outage; only the lease prevents two holders.
    """
    assert not held_lease(False).may_order(3_700, 5, is_store_lost=True, peer_silence_ms=50)


def test_fenced_holder_continues_during_a_store_outage():
    assert held_lease(True).may_order(60_000, 5, is_store_lost=True, peer_silence_ms=50)


def test_holder_that_hears_no_peer_stops():
    """The holder was suspended or is isolated: it has received no heartbeat for a second.

    A newer claim may exist that it does not know of.
    """
    assert not held_lease(True).may_order(60_000, 5, is_store_lost=True, peer_silence_ms=1_000)


def test_holder_without_peers_continues():
    assert held_lease(True).may_order(60_000, 5, is_store_lost=True, peer_silence_ms=None)


def test_holder_stops_at_once_when_it_learns_of_a_newer_claim():
    assert not held_lease(True).may_order(1_100, 6, is_store_lost=False, peer_silence_ms=50)


def test_late_answer_to_a_renewal_does_not_prolong_the_lease():
    """The process is suspended while the answer to its renewal is in transit.

    Counted from the answer, its lease would overlap with that of a node that claimed meanwhile.
    """
    lease = held_lease(False)
    lease.record_write(ROW, 11, sent_ms=2_000)
    assert not lease.may_order(9_000, 5, is_store_lost=False, peer_silence_ms=10)


def watch(fenced: bool, row: CellLeaseRow | None = ROW) -> CellLeaseWatch:
    watched = CellLeaseWatch(TIMING, fenced)
    watched.record_row(row, 10, 1_000)
    return watched


def test_unrenewed_lease_may_be_claimed_after_its_duration_and_the_margin():
    assert not watch(False).may_claim("b", "b-b", 4_300, True, True)
    assert watch(False).may_claim("b", "b-b", 4_301, True, True)


def test_renewal_restarts_the_wait_of_a_candidate():
    watched = watch(False)
    watched.record_row(ROW, 11, 3_000)
    assert not watched.may_claim("b", "b-b", 4_500, True, True)


def test_older_row_version_is_ignored():
    watched = watch(False)
    watched.record_row(None, 3, 1_100)
    assert watched.row == ROW


def test_fenced_silent_holder_may_be_replaced_at_once():
    assert watch(True).may_claim("b", "b-b", 1_800, is_holder_silent=True, hears_most_peers=True)


def test_node_that_hears_no_peer_does_not_replace_the_holder():
    """A node is isolated: it hears from no peer, while the holder works.

    By its claim the lease would move from a working node to one that no peer can reach.
    """
    assert not watch(True).may_claim(
        "b", "b-b", 1_800, is_holder_silent=True, hears_most_peers=False
    )


def test_released_lease_may_be_claimed():
    row = CellLeaseRow("cell", "a", "b-a", 5, 1, is_released=True)
    assert watch(False, row).may_claim("b", "b-b", 1_001, False, True)


def test_restarted_holder_may_claim_its_own_lease_again():
    assert watch(False).may_claim("a", "another boot", 1_001, False, True)
    assert not watch(False).may_claim("a", "b-a", 1_001, False, True)


def test_no_two_nodes_use_the_same_epoch():
    """The holder fails during a store outage; standbys take over, then a node claims in the store.

    Two holders with the same fencing number could both send orders to one runner.
    """
    epochs = [ROW.taken_over_by(name, "boot").epoch for name in ROW.standbys]
    assert len({ROW.epoch, *epochs, ROW.next_epoch()}) == 2 + len(epochs)
    assert ROW.next_epoch() > max(epochs)
    assert ROW.taken_over_by("z", "boot") is None
    row = CellLeaseRow("cell", "a", "b-a", 5, 0, ("b", "c", "d", "e"))
    assert row.taken_over_by("e", "boot") is None
    assert row.taken_over_by("d", "boot").epoch == 5 + MAX_STANDBYS < row.next_epoch()


def test_second_standby_keeps_its_epoch_after_the_first_has_taken_over():
    """The holder fails, then its first standby, too, and the store is still down."""
    first = ROW.taken_over_by("b", "boot")
    assert first.taken_over_by("c", "boot").epoch == ROW.taken_over_by("c", "boot").epoch
    assert first.taken_over_by("b", "boot") is None
