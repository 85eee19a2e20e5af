"""Tests of the lease of a node, for its holder and for claim candidates."""

from __future__ import annotations

import pytest

from monsoonflow.ownership.lease import HeldLease, LeaseWatch
from monsoonflow.ownership.models import LeaseTiming
from monsoonflow.ownership.takeover_guard import TakeoverGuard
from monsoonflow.runner.const import Permission

TIMING = LeaseTiming(3_000, 500)


@pytest.fixture
def lease():
    held = HeldLease(TIMING, max_outage_ms=60_000)
    assert held.record_renewal(sent_ms=0, now_ms=40)
    return held


@pytest.fixture
def watch():
    return LeaseWatch(TIMING, max_outage_ms=60_000)


def test_validity_counts_from_before_the_renewal_was_sent(lease):
    assert lease.is_held(2_499)
    assert not lease.is_held(2_500)


def test_late_answer_does_not_revive_a_lapsed_lease(lease):
    """A renewal is sent in time, the process is suspended, and the answer is read after expiry.

    A successor may have claimed meanwhile. If the answer counted, there would be two owners, and
    one would evict adapters that the other's requests use.
    """
    assert not lease.record_renewal(sent_ms=2_000, now_ms=2_700)
    assert not lease.is_held(2_700)
    assert not lease.record_renewal(sent_ms=2_750, now_ms=2_760)


def test_answer_to_an_earlier_renewal_does_not_shorten_the_lease(lease):
    assert lease.record_renewal(sent_ms=2_000, now_ms=2_100)
    assert lease.record_renewal(sent_ms=1_000, now_ms=2_200)
    assert lease.is_held(4_499)


def test_promises_of_all_successors_extend_the_lease(lease):
    lease.record_promise("s1", requested_ms=2_000, for_ms=3_000)
    lease.record_promise("s2", requested_ms=2_100, for_ms=3_000)
    assert lease.extend_by_promises(("s1", "s2"), 2_200)
    assert lease.is_held(4_400)
    assert not lease.is_held(4_500)


def test_lease_is_not_extended_without_every_promise(lease):
    """The table is down and one of two successors is isolated.

    That one may have claimed just before, so the holder must stop when its lease runs out.
    """
    lease.record_promise("s1", requested_ms=2_000, for_ms=3_000)
    lease.extend_by_promises(("s1", "s2"), 2_200)
    assert not lease.is_held(2_500)


def test_promises_do_not_extend_the_lease_beyond_the_longest_outage(lease):
    for now_ms in range(2_000, 70_000, 1_000):
        if not lease.is_held(now_ms):
            break
        lease.record_promise("s1", now_ms, 3_000)
        lease.extend_by_promises(("s1",), now_ms)
    assert 59_000 <= now_ms <= 60_000


def test_candidate_waits_longer_than_the_lease_lasts(watch):
    watch.record_row("n1.1", 5, read_ms=100)
    assert not watch.has_lapsed("n1.1", True, last_read_ms=3_600, now_ms=3_600)
    assert watch.has_lapsed("n1.1", True, last_read_ms=3_601, now_ms=3_601)


def test_silence_counts_only_up_to_the_last_read(watch):
    """During an outage of the table the candidate does not see the holder's renewals.

    If the time without reads counted, every node would claim from every other as soon as the table
    is reachable again.
    """
    watch.record_row("n1.1", 5, read_ms=100)
    assert not watch.has_lapsed("n1.1", True, last_read_ms=200, now_ms=90_000)


def test_node_that_is_no_successor_waits_for_the_longest_outage(watch):
    watch.record_row("n1.1", 5, read_ms=0)
    assert not watch.has_lapsed("n1.1", False, 60_000, 60_000)
    assert watch.has_lapsed("n1.1", False, 63_600, 63_600)


def test_promise_delays_a_claim(watch):
    watch.record_row("n1.1", 5, read_ms=0)
    assert watch.promise("n1.1", 3_000, now_ms=3_000)
    assert not watch.has_lapsed("n1.1", True, 5_000, 5_000)
    assert watch.has_lapsed("n1.1", True, 6_001, 6_001)


def test_no_promise_after_a_claim_has_begun(watch):
    """A successor has begun to write its claim when the holder requests a promise.

    The claim may already be in the table; with a promise both would own the runner.
    """
    watch.record_row("n1.1", 5, read_ms=0)
    watch.begin_claim("n1.1")
    assert not watch.promise("n1.1", 3_000, now_ms=4_000)
    watch.record_row("n1.1", 6, read_ms=4_100)
    assert watch.promise("n1.1", 3_000, now_ms=4_200)


def test_candidate_never_claims_while_the_lease_is_held():
    """Checks the timing for different delays between a renewal and its effect.

    The renewal takes effect at any time after it was sent, and the candidate reads it later still.
    """
    for effect_delay in range(0, 4_000, 250):
        lease, watch = HeldLease(TIMING), LeaseWatch(TIMING)
        lease.record_renewal(0, 0)
        watch.record_row("n1.1", 1, read_ms=effect_delay)
        for now_ms in range(effect_delay, 9_000, 50):
            if watch.has_lapsed("n1.1", True, now_ms, now_ms):
                assert not lease.is_held(now_ms)


@pytest.mark.parametrize(
    ("checks_fencing", "is_fenced", "now_ms", "expected"),
    [
        (True, True, 0, Permission.ALL),
        (True, False, 99_999, Permission.NOTHING),
        (False, True, 9_999, Permission.NO_EVICTION),
        (False, True, 10_000, Permission.ALL),
    ],
)
def test_takeover_guard_permits_only_what_is_safe(checks_fencing, is_fenced, now_ms, expected):
    assert TakeoverGuard(checks_fencing, 10_000, is_fenced).permission(now_ms) is expected
