"""Tests of idempotency keys, admission limits, the retry budget and the server balancer."""

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


def test_key_belongs_to_one_request(keys):
    assert keys.admit("acme", "k", b"body", "r1", 0) == NewKey()
    assert keys.admit("acme", "k", b"body", "r2", 10) == KnownKey("r1")
    assert keys.admit("acme", "k", b"other", "r3", 20) == KeyConflict()


def test_each_customer_has_its_own_keys(keys):
    keys.admit("acme", "k", b"body", "r1", 0)
    assert keys.admit("other", "k", b"else", "r2", 0) == NewKey()


def test_full_key_store_refuses_new_keys_and_keeps_old_ones(keys):
    """More keys arrive than can be stored: the new ones are refused.

    Dropping an old key would let its request run a second time.
    """
    keys.admit("acme", "a", b"", "r1", 0)
    keys.admit("acme", "b", b"", "r2", 0)
    assert keys.admit("acme", "c", b"", "r3", 0) == KeysFull()
    assert keys.admit("acme", "a", b"", "r4", 0) == KnownKey("r1")


def test_key_of_a_request_that_did_not_run_is_released(keys):
    keys.admit("acme", "k", b"body", "r1", 0)
    keys.record_end("acme", "k", 5, has_run=False)
    assert keys.admit("acme", "k", b"body", "r2", 10) == NewKey()


def test_key_is_kept_for_the_retention_time_after_its_request(keys):
    keys.admit("acme", "k", b"body", "r1", 0)
    keys.record_end("acme", "k", 100, has_run=True)
    assert keys.admit("acme", "k", b"body", "r2", 1_000) == KnownKey("r1")
    assert keys.admit("acme", "k", b"body", "r3", 1_200) == NewKey()


def test_refusal_is_immediate_and_says_when_to_retry():
    admission = Admission(Limits(max_queue_per_runner=10, max_per_customer=5))
    for number in range(100):
        admission.record_start("x")
        admission.record_end("x")
        admission.record_run_end("m1", 50, number * 100)
    refusal = admission.check("acme", "m1", 10, 60_000, 10_000)
    assert refusal.reason == "the queue is full"
    assert 250 <= refusal.retry_after_ms <= 1_000
    assert admission.mean_run_ms("m1") == 50
    too_late = admission.check("acme", "m1", 9, 300, 10_000)
    assert too_late.reason == "the queue is longer than the time left"
    assert admission.check("acme", "m1", 3, 60_000, 10_000) is None


def test_concurrent_requests_per_customer_are_limited():
    admission = Admission(Limits(max_per_customer=1))
    admission.record_start("acme")
    assert admission.check("acme", "m1", 0, 1_000, 0).status == 429
    assert admission.check("other", "m1", 0, 1_000, 0) is None


def test_retries_are_a_share_of_first_attempts():
    budget = RetryBudget(share=0.1, reserve=2)
    initially_spent = sum(budget.try_spend() for _ in range(10))
    for _ in range(100):
        budget.record_first_attempt()
    assert initially_spent == 2
    assert sum(budget.try_spend() for _ in range(10)) == 2


def test_server_with_fewest_own_calls_is_picked():
    balancer = LeastCallsBalancer(random.Random(1))
    first = balancer.pick(["a", "b"])
    second = balancer.pick(["a", "b"])
    assert {first, second} == {"a", "b"}
    balancer.record_end(first)
    assert balancer.pick(["a", "b"]) == first
    assert balancer.pick([]) is None
