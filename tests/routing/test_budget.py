"""Tests of the retry budget that all nodes share."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.routing.budget import FleetRetryBudget, PeerRetryUsage, RetryAllowance, RetryUsage

ALLOWANCE = RetryAllowance(0.2, 54, 10_000)


def heard(told, sharers=None):
    """Return what is known where all of some others are heard."""
    counted = len(told) + 1
    return PeerRetryUsage(tuple(told), sharers or counted, counted)


def spend(budget, now_ms=0):
    budget.grant_retry("s", now_ms)
    budget.record_sent_retry("s", now_ms)


def retries_allowed(budget, others, now_ms=0):
    count = 0
    while budget.headroom("s", others, now_ms).is_allowed and count < 1_000:
        spend(budget, now_ms)
        count += 1
    return count


@pytest.mark.parametrize("nodes", [1, 2, 7, 30])
def test_nodes_that_hear_each_other_stay_inside_together(nodes):
    """All servers fail, every node retries all it may.

    The sum of the nodes must stay inside the budget, or a failing service is loaded further.
    """
    budgets = [FleetRetryBudget(ALLOWANCE) for _ in range(nodes)]
    total = 0
    for _ in range(200):
        spent = [budget.usage("s", 0) for budget in budgets]
        for index, budget in enumerate(budgets):
            others = spent[:index] + spent[index + 1 :]
            if budget.headroom("s", heard(others), 0).is_allowed:
                spend(budget)
                total += 1
    assert 5 <= total <= 54


def test_nodes_that_hear_nobody_stay_inside_together():
    total = sum(retries_allowed(FleetRetryBudget(ALLOWANCE), heard([], 7)) for _ in range(7))
    assert total <= 54


def test_requests_earn_retries():
    budget = FleetRetryBudget(ALLOWANCE)
    for _ in range(400):
        budget.record_first_attempt("s", 0)
    allowed = retries_allowed(budget, heard([RetryUsage(100, 0)]))
    assert 60 < allowed <= 0.2 * 500 + 54


def test_the_window_slides():
    budget = FleetRetryBudget(ALLOWANCE)
    first = retries_allowed(budget, heard([RetryUsage()]), 0)
    assert retries_allowed(budget, heard([RetryUsage()]), 9_999) == 0
    assert retries_allowed(budget, heard([RetryUsage()]), 10_000) == first


def test_services_do_not_share():
    budget = FleetRetryBudget(ALLOWANCE)
    retries_allowed(budget, heard([RetryUsage()]))
    assert budget.headroom("other", heard([RetryUsage()]), 0).is_allowed


def test_a_retry_that_was_granted_counts_until_it_is_sent_and_a_window_on():
    budget = FleetRetryBudget(ALLOWANCE)
    budget.grant_retry("s", 0)
    assert budget.usage("s", 30_000).retries == 1
    budget.record_sent_retry("s", 30_000)
    assert budget.usage("s", 39_999).retries == 1
    assert budget.usage("s", 40_000).retries == 0
    budget.grant_retry("s", 40_000)
    budget.cancel_retry("s")
    assert budget.usage("s", 40_000).retries == 0


def test_before_the_others_have_heard_a_node_spends_only_its_part():
    """All may want to at the same moment; a while later each sees what the others took."""
    others = PeerRetryUsage((RetryUsage(),) * 5, 6, 6, max_heartbeat_age_ms=800)
    budget = FleetRetryBudget(ALLOWANCE)
    first = retries_allowed(budget, others, 0)
    assert 5 <= first <= 54 / 6
    assert retries_allowed(budget, others, 799) == 0
    assert 1 <= retries_allowed(budget, others, 800) <= first


def test_silent_nodes_keep_their_share_of_the_reserve():
    budget = FleetRetryBudget(ALLOWANCE)
    assert retries_allowed(budget, PeerRetryUsage((RetryUsage(), RetryUsage()), 6, 3)) <= 54 / 2


def test_a_process_that_remembers_nothing_has_hardly_any_retries():
    budget = FleetRetryBudget(ALLOWANCE, started_ms=0)
    for _ in range(200):
        budget.record_first_attempt("s", 1_000)
    unknown = attrs.evolve(heard([RetryUsage()]), is_entitled=False)
    assert retries_allowed(budget, unknown, 2_000) <= 0.2 * 200 * 0.15
    assert (budget.counted_ms(2_000), budget.counted_ms(12_000)) == (2_000, 10_000)
