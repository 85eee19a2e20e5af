"""The judge of customers: one that sends little beside one in a rush."""

from __future__ import annotations

import random

import pytest

from soak.const import CONTACT_MS
from soak.customers import MIN_SENT, Rush, shares_in_rushes
from soak.faults import KINDS, RUSHES, FaultInjector
from soak.judge import Disturbance
from soak.processes import Record

RUSH = Rush("large", 10_000, 20_000)
SENT_MS = 12_000
TOOK_MS = 100


def requests(customer, served, refused, sent_ms=SENT_MS, path="/read/x"):
    return [
        Record(
            "callers",
            sent_ms + TOOK_MS,
            "ended",
            {
                "first": f"{customer}-{path}-{number}",
                "path": path,
                "customer": customer,
                "took_ms": TOOK_MS,
                "status": status,
            },
        )
        for number, status in enumerate([200] * served + [503] * refused)
    ]


def shut_out(records, is_excused=lambda from_ms, until_ms: False):
    """Return the customers that are judged as shut out beside the rush of ``large``."""
    shares = shares_in_rushes(records, [RUSH], is_excused)
    return [share.customer for share in shares if share.is_shut_out()]


@pytest.fixture
def of_rush():
    return requests("large", 50, 50)


@pytest.mark.parametrize(
    ("served", "refused", "is_shut_out"),
    [(0, MIN_SENT, True), (1, MIN_SENT - 1, True), (2, MIN_SENT - 2, False), (0, 7, False)],
)
def test_a_quarter_of_enough_requests_must_be_served(served, refused, is_shut_out, of_rush):
    """Guards against a customer that is served nothing unseen, and against judging chance."""
    assert bool(shut_out([*of_rush, *requests("small", served, refused)])) is is_shut_out


def test_a_customer_that_also_sends_a_lot_is_not_judged(of_rush):
    """Guards against holding the fleet to the bound for two customers in a rush."""
    assert not shut_out([*of_rush, *requests("small", 0, 50)])
    assert shut_out([*of_rush, *requests("small", 0, 49)]) == ["small"]


def test_nobody_is_shut_out_while_nobody_is_served():
    """Guards against blaming the rush for an outage that concerns all customers."""
    assert not shut_out([*requests("large", 0, 100), *requests("small", 0, 20)])


def test_requests_to_other_paths_hide_no_refused_streams(of_rush):
    """Guards against streams without a slot that pass since plain requests need none."""
    plain = [*requests("large", 100, 0, path="/look/x"), *requests("small", 20, 0, path="/look/x")]
    assert shut_out([*of_rush, *plain, *requests("small", 0, 10)]) == ["small"]


@pytest.mark.parametrize("sent_ms", [RUSH.from_ms - 1, RUSH.until_ms])
def test_only_requests_in_the_rush_with_a_valid_key_count(sent_ms, of_rush):
    """Guards against counting refusals of other times, and unknown keys, which get 401."""
    assert not shut_out([*of_rush, *requests("small", 0, 20, sent_ms), *requests(None, 0, 20)])


def test_the_tries_of_a_request_count_once(of_rush):
    """Guards against a stream that was taken up again and completed counting as refused."""
    tries = [*requests("small", 0, 20), *requests("small", 8, 0, SENT_MS + 300)]
    (share,) = shares_in_rushes([*of_rush, *tries], [RUSH], lambda from_ms, until_ms: False)
    assert (share.sent, share.served) == (20, 8)


@pytest.mark.parametrize(
    ("from_ms", "until_ms", "is_shut_out"),
    [
        (SENT_MS + TOOK_MS, SENT_MS + 900, False),
        (SENT_MS + TOOK_MS + 1, SENT_MS + 900, True),
        (0, SENT_MS - CONTACT_MS + 1, False),
        (0, SENT_MS - CONTACT_MS, True),
    ],
)
def test_requests_in_a_fault_or_its_recovery_are_excused(from_ms, until_ms, is_shut_out):
    """Guards against judging what a fault concerned, and against excusing anything else."""
    of_rush = requests("large", 100, 0, RUSH.until_ms - 1)
    is_excused = Disturbance("node-1", from_ms, until_ms).overlaps
    assert bool(shut_out([*of_rush, *requests("small", 0, 20)], is_excused)) is is_shut_out


@pytest.mark.parametrize(("kind", "faults"), [("server-pauses", 1), (RUSHES, 0)])
def test_faults_but_no_rushes_are_in_force_until_their_last_change(kind, faults, monkeypatch):
    """Guards against judging during a fault that notes no disturbance; a rush excuses nothing."""
    injector = FaultInjector(None, random.Random(1))
    monkeypatch.setitem(KINDS, kind, lambda given: given.later(2.0, list))
    injector.begin(kind)
    assert len(injector.faults) == faults
    assert all(2_000 <= fault.until_ms - fault.from_ms < 2_100 for fault in injector.faults)
