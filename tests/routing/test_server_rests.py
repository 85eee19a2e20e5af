"""Servers that ask a node for rest, and how the node returns to them."""

from __future__ import annotations

import random

import pytest

from monsoonflow.routing.server_rests import (
    MAX_REST_MS,
    RECOVERY_MS,
    RETENTION_MS,
    SPREAD_SHARE,
    STEP_MS,
    STEPS,
    ServerRests,
)

MANY = 1_000
LONGEST_MS = round(1_000 * (1 + SPREAD_SHARE))


@pytest.fixture
def rests():
    """Return the rests of a node to which i-1 has asked for a second without requests."""
    known = ServerRests(random.Random(1))
    known.record_rest("i-1", 1_000, MANY, 0)
    return known


def send_while_allowed(rests, now_ms):
    """Send as many requests as a server may get now; return how many."""
    count = 0
    while rests.may_send("i-1", 0, now_ms) and count < 1_000:
        rests.record_sent("i-1", now_ms)
        count += 1
    return count


def test_a_resting_server_gets_nothing_until_its_rest_ends(rests):
    assert not any(rests.may_send("i-1", 0, at_ms) for at_ms in range(1_000))
    assert rests.may_send("i-1", 0, LONGEST_MS)


def test_a_shorter_rest_does_not_end_a_longer_one(rests):
    assert not rests.record_rest("i-1", 100, MANY, 500)
    assert not rests.may_send("i-1", 0, 999)
    rests.record_rest("i-1", 2_000, MANY, 600)
    assert not rests.may_send("i-1", 0, 2_599)


def test_a_node_returns_with_few_requests(rests):
    """All requests that had waited for the end of a rest made the server shed again."""
    sent = [send_while_allowed(rests, LONGEST_MS + step * STEP_MS) for step in range(STEPS)]
    assert sent == [1, 1, 2, 4, 8, 16, 32, 64]
    assert send_while_allowed(rests, LONGEST_MS + STEPS * STEP_MS) == 1_000


def test_answers_let_a_node_return_sooner(rests):
    assert send_while_allowed(rests, LONGEST_MS) == 1
    rests.record_answer("i-1", LONGEST_MS)
    assert send_while_allowed(rests, LONGEST_MS) == 2


def test_an_answer_to_a_request_from_before_the_rest_proves_nothing(rests):
    assert send_while_allowed(rests, LONGEST_MS) == 1
    rests.record_answer("i-1", 999)
    assert send_while_allowed(rests, LONGEST_MS) == 0


def test_a_server_that_sheds_again_rests_again(rests):
    assert send_while_allowed(rests, LONGEST_MS) == 1
    assert rests.record_rest("i-1", 1_000, 1, LONGEST_MS + 3)
    assert send_while_allowed(rests, LONGEST_MS + 1_000) == 0
    assert send_while_allowed(rests, 2 * LONGEST_MS + 3) == 1


def test_a_node_has_fewer_requests_at_a_server_than_when_it_was_turned_away():
    """As many as before made the server shed again as soon as its rest was over."""
    rests = ServerRests(random.Random(1))
    rests.record_rest("i-1", 1_000, 8, 0)
    rests.record_sent("i-1", LONGEST_MS)
    later_ms = LONGEST_MS + STEPS * STEP_MS
    assert [rests.may_send("i-1", requests, later_ms) for requests in (6, 7)] == [True, False]
    assert rests.may_send("i-1", 7, LONGEST_MS + RECOVERY_MS)
    assert rests.may_send("i-1", MANY, LONGEST_MS + RETENTION_MS + 1)


def test_a_server_that_refuses_everything_does_not_count_as_small():
    """The first request after a rest was refused too: one at a time was allowed from then on."""
    rests = ServerRests(random.Random(1))
    rests.record_rest("i-1", 1_000, 8, 0)
    rests.record_rest("i-1", 1_000, 1, 5)
    back_ms = LONGEST_MS + 5
    rests.record_sent("i-1", back_ms)
    rests.record_rest("i-1", 1_000, 1, back_ms + 5)
    rests.record_sent("i-1", back_ms + 5 + LONGEST_MS)
    assert rests.may_send("i-1", 6, back_ms + 5 + LONGEST_MS + STEPS * STEP_MS)


def test_no_server_is_lost_by_a_mistyped_time():
    rests = ServerRests(random.Random(1))
    rests.record_rest("i-1", 10**12, 1, 0)
    assert rests.may_send("i-1", 0, round(MAX_REST_MS * (1 + SPREAD_SHARE)))


def test_nodes_that_were_turned_away_together_return_spread_out():
    ends_ms = set()
    for seed in range(90):
        rests = ServerRests(random.Random(seed))
        rests.record_rest("i-1", 3_000, 1, 0)
        ends_ms.add(rests.ends_in_ms("i-1", 0) // 10)
    assert len(ends_ms) >= 25


def test_another_life_does_not_rest(rests):
    assert rests.may_send("i-1@2", 0, 0)
    rests.forget_unused(frozenset({"i-1@2"}))
    assert rests.may_send("i-1", 0, 0)
