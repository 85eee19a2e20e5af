"""Tests of the retry budget that all nodes of the fleet share."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.routing.budget import FleetRetryBudget, PeerRetryUsage, RetryAllowance, RetryUsage

ALLOWANCE = RetryAllowance(0.2, 54, 10_000)


def peer_usage(reported, sharing_nodes=None):
    """Return the usage of peers that all exchange heartbeats with this node."""
    connected_nodes = len(reported) + 1
    return PeerRetryUsage(tuple(reported), sharing_nodes or connected_nodes, connected_nodes)


def send_retry(budget, now_ms=0):
    budget.grant_retry("s", now_ms)
    budget.record_sent_retry("s", now_ms)


def send_all_allowed(budget, peers, now_ms=0):
    count = 0
    while budget.headroom("s", peers, now_ms).is_allowed and count < 1_000:
        send_retry(budget, now_ms)
        count += 1
    return count


@pytest.mark.parametrize("nodes", [1, 2, 7, 30])
def test_connected_nodes_together_stay_within_the_budget(nodes):
    """All servers fail and every node sends all retries that it may.

    If the nodes together exceeded the budget, they would add load to a failing service.
    """
    budgets = [FleetRetryBudget(ALLOWANCE) for _ in range(nodes)]
    total = 0
    for _ in range(200):
        usages = [budget.usage("s", 0) for budget in budgets]
        for index, budget in enumerate(budgets):
            peers = usages[:index] + usages[index + 1 :]
            if budget.headroom("s", peer_usage(peers), 0).is_allowed:
                send_retry(budget)
                total += 1
    assert 5 <= total <= 54


def test_isolated_nodes_together_stay_within_the_budget():
    total = sum(send_all_allowed(FleetRetryBudget(ALLOWANCE), peer_usage([], 7)) for _ in range(7))
    assert total <= 54


def test_first_attempts_earn_retries():
    budget = FleetRetryBudget(ALLOWANCE)
    for _ in range(400):
        budget.record_first_attempt("s", 0)
    allowed = send_all_allowed(budget, peer_usage([RetryUsage(100, 0)]))
    assert 60 < allowed <= 0.2 * 500 + 54


def test_retries_are_available_again_after_the_window():
    budget = FleetRetryBudget(ALLOWANCE)
    first = send_all_allowed(budget, peer_usage([RetryUsage()]), 0)
    assert send_all_allowed(budget, peer_usage([RetryUsage()]), 9_999) == 0
    assert send_all_allowed(budget, peer_usage([RetryUsage()]), 10_000) == first


def test_each_service_has_its_own_budget():
    budget = FleetRetryBudget(ALLOWANCE)
    send_all_allowed(budget, peer_usage([RetryUsage()]))
    assert budget.headroom("other", peer_usage([RetryUsage()]), 0).is_allowed


def test_granted_retry_counts_until_one_window_after_it_is_sent():
    budget = FleetRetryBudget(ALLOWANCE)
    budget.grant_retry("s", 0)
    assert budget.usage("s", 30_000).retries == 1
    budget.record_sent_retry("s", 30_000)
    assert budget.usage("s", 39_999).retries == 1
    assert budget.usage("s", 40_000).retries == 0
    budget.grant_retry("s", 40_000)
    budget.cancel_retry("s")
    assert budget.usage("s", 40_000).retries == 0


def test_node_uses_only_its_part_until_peers_have_received_its_usage():
    """All nodes may retry at the same moment, and receive each other's usage only a while later."""
    peers = PeerRetryUsage((RetryUsage(),) * 5, 6, 6, max_heartbeat_age_ms=800)
    budget = FleetRetryBudget(ALLOWANCE)
    first = send_all_allowed(budget, peers, 0)
    assert 5 <= first <= 54 / 6
    assert send_all_allowed(budget, peers, 799) == 0
    assert 1 <= send_all_allowed(budget, peers, 800) <= first


def test_silent_nodes_keep_their_share_of_the_reserve():
    budget = FleetRetryBudget(ALLOWANCE)
    assert send_all_allowed(budget, PeerRetryUsage((RetryUsage(), RetryUsage()), 6, 3)) <= 54 / 2


def test_restarted_process_has_hardly_any_retries():
    budget = FleetRetryBudget(ALLOWANCE, started_ms=0)
    for _ in range(200):
        budget.record_first_attempt("s", 1_000)
    not_entitled = attrs.evolve(peer_usage([RetryUsage()]), is_entitled=False)
    assert send_all_allowed(budget, not_entitled, 2_000) <= 0.2 * 200 * 0.15
    assert (budget.counted_ms(2_000), budget.counted_ms(12_000)) == (2_000, 10_000)
