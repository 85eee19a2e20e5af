"""Tests of the retry budget that all nodes share."""

from __future__ import annotations

import pytest

from monsoonflow.routing.budget import FleetRetryBudget, RetryAllowance, Spent

ALLOWANCE = RetryAllowance(0.2, 54, 10_000)


def retries_allowed(budget, others, nodes, now_ms=0):
    count = 0
    while budget.headroom("s", others, nodes, now_ms).allowed and count < 1_000:
        budget.retried("s", now_ms)
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
        spent = [budget.spent("s", 0) for budget in budgets]
        for index, budget in enumerate(budgets):
            others = spent[:index] + spent[index + 1 :]
            if budget.headroom("s", others, nodes, 0).allowed:
                budget.retried("s", 0)
                total += 1
    assert 5 <= total <= 54


def test_nodes_that_hear_nobody_stay_inside_together():
    total = sum(retries_allowed(FleetRetryBudget(ALLOWANCE), [], 7) for _ in range(7))
    assert total <= 54


def test_requests_earn_retries():
    budget = FleetRetryBudget(ALLOWANCE)
    for _ in range(400):
        budget.first("s", 0)
    allowed = retries_allowed(budget, [Spent(100, 0)], 2)
    assert 60 < allowed <= 0.2 * 500 + 54


def test_the_window_slides():
    budget = FleetRetryBudget(ALLOWANCE)
    first = retries_allowed(budget, [Spent()], 2, 0)
    assert retries_allowed(budget, [Spent()], 2, 9_999) == 0
    assert retries_allowed(budget, [Spent()], 2, 10_000) == first


def test_services_do_not_share():
    budget = FleetRetryBudget(ALLOWANCE)
    retries_allowed(budget, [Spent()], 2)
    assert budget.headroom("other", [Spent()], 2, 0).allowed
