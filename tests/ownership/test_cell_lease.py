"""Tests of the right to give orders to a cell's runners."""

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


def held(fenced: bool) -> HeldCellLease:
    duty = HeldCellLease(TIMING, fenced)
    duty.record_write(ROW, 10, sent_ms=1_000)
    return duty


@pytest.mark.parametrize("fenced", [True, False])
def test_a_holder_orders_while_its_lease_lasts(fenced):
    duty = held(fenced)
    assert duty.may_order(3_699, 5, is_store_lost=False, peer_silence_ms=50)
    assert not duty.may_order(3_700, 5, is_store_lost=False, peer_silence_ms=50)


def test_without_fences_an_outage_ends_the_right_with_the_lease():
    """The store is down and runners take orders from anybody.

    Another node may have claimed just before the outage: only the lease keeps the two apart.
    """
    assert not held(False).may_order(3_700, 5, is_store_lost=True, peer_silence_ms=50)


def test_with_fences_a_holder_goes_on_through_an_outage():
    assert held(True).may_order(60_000, 5, is_store_lost=True, peer_silence_ms=50)


def test_a_holder_that_hears_nobody_stops():
    """The holder was frozen, or is cut off: it has not heard another node for a second.

    A newer claim may exist that it can't know of.
    """
    assert not held(True).may_order(60_000, 5, is_store_lost=True, peer_silence_ms=1_000)


def test_a_node_alone_goes_on():
    assert held(True).may_order(60_000, 5, is_store_lost=True, peer_silence_ms=None)


def test_a_newer_claim_ends_the_right_at_once():
    assert not held(True).may_order(1_100, 6, is_store_lost=False, peer_silence_ms=50)


def test_a_late_answer_to_a_renewal_gives_no_more_time_than_was_asked_for():
    """The process is frozen while the answer to its renewal is on the way.

    Counted from the answer, its lease would outlast that of a node that claimed meanwhile.
    """
    duty = held(False)
    duty.record_write(ROW, 11, sent_ms=2_000)
    assert not duty.may_order(9_000, 5, is_store_lost=False, peer_silence_ms=10)


def watch(fenced: bool, row: CellLeaseRow | None = ROW) -> CellLeaseWatch:
    watched = CellLeaseWatch(TIMING, fenced)
    watched.record_row(row, 10, 1_000)
    return watched


def test_a_silent_lease_is_claimed_after_its_time_and_the_margin():
    assert not watch(False).may_claim("b", "b-b", 4_300, True, True)
    assert watch(False).may_claim("b", "b-b", 4_301, True, True)


def test_a_renewal_starts_the_count_anew():
    watched = watch(False)
    watched.record_row(ROW, 11, 3_000)
    assert not watched.may_claim("b", "b-b", 4_500, True, True)


def test_an_old_read_does_not_count():
    watched = watch(False)
    watched.record_row(None, 3, 1_100)
    assert watched.row == ROW


def test_where_fences_are_checked_a_silent_holder_is_replaced_at_once():
    assert watch(True).may_claim("b", "b-b", 1_800, is_holder_silent=True, hears_most_peers=True)


def test_a_node_that_hears_nobody_else_does_not_replace_the_holder():
    """A node is cut off: all are silent for it, the holder is well.

    Claiming would take the duty from a node that does its work to one that nobody can ask.
    """
    assert not watch(True).may_claim(
        "b", "b-b", 1_800, is_holder_silent=True, hears_most_peers=False
    )


def test_a_released_duty_is_free():
    row = CellLeaseRow("cell", "a", "b-a", 5, 1, is_released=True)
    assert watch(False, row).may_claim("b", "b-b", 1_001, False, True)


def test_a_restarted_holder_claims_its_own_duty_anew():
    assert watch(False).may_claim("a", "another boot", 1_001, False, True)
    assert not watch(False).may_claim("a", "b-a", 1_001, False, True)


def test_no_two_nodes_ever_use_one_epoch():
    """The holder is lost while the store is down; heirs go on, then somebody claims in the store.

    Two holders with one fencing number could both order one runner.
    """
    heirs = [ROW.taken_over_by(name, "boot").epoch for name in ROW.standbys]
    assert len({ROW.epoch, *heirs, ROW.next_epoch()}) == 2 + len(heirs)
    assert ROW.next_epoch() > max(heirs)
    assert ROW.taken_over_by("z", "boot") is None
    many = CellLeaseRow("cell", "a", "b-a", 5, 0, ("b", "c", "d", "e"))
    assert many.taken_over_by("e", "boot") is None
    assert many.taken_over_by("d", "boot").epoch == 5 + MAX_STANDBYS < many.next_epoch()


def test_an_heir_of_an_heir_has_the_number_that_it_always_had():
    """The holder is lost, then its first heir too, and the store is still down."""
    first = ROW.taken_over_by("b", "boot")
    assert first.taken_over_by("c", "boot").epoch == ROW.taken_over_by("c", "boot").epoch
    assert first.taken_over_by("b", "boot") is None
