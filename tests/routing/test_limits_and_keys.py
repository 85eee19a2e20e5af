"""Tests of keys, limits and the choice among servers."""

from __future__ import annotations

import random

import pytest

from monsoonflow.routing.balancer import LeastCallsBalancer
from monsoonflow.routing.idempotency_keys import (
    IdempotencyKeys,
    KeyConflict,
    KeysFull,
    KnownKey,
    NewKey,
)
from monsoonflow.routing.limits import Admission, Limits, RetryBudget


@pytest.fixture
def keys():
    return IdempotencyKeys(retention_ms=1_000, max_keys=2)


def test_key_stands_for_one_request(keys):
    assert keys.admit("acme", "k", b"body", "r1", 0) == NewKey()
    assert keys.admit("acme", "k", b"body", "r2", 10) == KnownKey("r1")
    assert keys.admit("acme", "k", b"other", "r3", 20) == KeyConflict()


def test_keys_of_customers_never_meet(keys):
    keys.admit("acme", "k", b"body", "r1", 0)
    assert keys.admit("other", "k", b"else", "r2", 0) == NewKey()


def test_full_book_refuses_rather_than_forgets(keys):
    """More keys arrive than can be kept.

    Forgetting an old one would let its request run a second time; the new ones are refused.
    """
    keys.admit("acme", "a", b"", "r1", 0)
    keys.admit("acme", "b", b"", "r2", 0)
    assert keys.admit("acme", "c", b"", "r3", 0) == KeysFull()
    assert keys.admit("acme", "a", b"", "r4", 0) == KnownKey("r1")


def test_key_of_what_did_not_run_is_free_again(keys):
    keys.admit("acme", "k", b"body", "r1", 0)
    keys.record_end("acme", "k", 5, has_run=False)
    assert keys.admit("acme", "k", b"body", "r2", 10) == NewKey()


def test_ended_key_is_kept_for_its_time(keys):
    keys.admit("acme", "k", b"body", "r1", 0)
    keys.record_end("acme", "k", 100, has_run=True)
    assert keys.admit("acme", "k", b"body", "r2", 1_000) == KnownKey("r1")
    assert keys.admit("acme", "k", b"body", "r3", 1_200) == NewKey()


def test_refusal_is_at_once_and_tells_when_to_come_back():
    admission = Admission(Limits(max_queue_per_runner=10, max_per_customer=5))
    for number in range(100):
        admission.record_start("x")
        admission.record_end("x")
        admission.record_run_end("m1", 50, number * 100)
    refusal = admission.check("acme", "m1", 10, 60_000, 10_000)
    assert refusal.reason == "the queue is full"
    assert 250 <= refusal.retry_after_ms <= 1_000
    assert admission.mean_run_ms("m1") == 50
    late = admission.check("acme", "m1", 9, 300, 10_000)
    assert late.reason == "the queue is longer than the time left"
    assert admission.check("acme", "m1", 3, 60_000, 10_000) is None


def test_customer_can_hold_only_so_many_requests():
    admission = Admission(Limits(max_per_customer=1))
    admission.record_start("acme")
    assert admission.check("acme", "m1", 0, 1_000, 0).status == 429
    assert admission.check("other", "m1", 0, 1_000, 0) is None


def test_retries_are_a_share_of_first_tries():
    budget = RetryBudget(share=0.1, reserve=2)
    spent = sum(budget.try_spend() for _ in range(10))
    for _ in range(100):
        budget.record_first_attempt()
    assert spent == 2
    assert sum(budget.try_spend() for _ in range(10)) == 2


def test_server_with_fewest_own_calls_is_chosen():
    choice = LeastCallsBalancer(random.Random(1))
    first = choice.pick(["a", "b"])
    second = choice.pick(["a", "b"])
    assert {first, second} == {"a", "b"}
    choice.record_end(first)
    assert choice.pick(["a", "b"]) == first
    assert choice.pick([]) is None
