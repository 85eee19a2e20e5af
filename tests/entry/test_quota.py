"""Quotas of customers through real entry nodes."""

from __future__ import annotations

from types import SimpleNamespace

import attrs
import gevent
import pytest

from monsoonflow.entry.settings import PeerBounds
from tests.entry.conftest import MODEL, wait_for

KEY = "key-of-alpha"


def alpha(rate=1_000, burst=5_000, **changes):
    fields = {"name": "alpha", "apiKeys": [KEY], "billingUnit": "token_stream", "plainTokens": 200}
    return {**fields, "ratePerS": rate, "burst": burst, **changes}


@pytest.fixture
def limited_fleet(fleet):
    fleet.bounds = PeerBounds(lease_ms=900, fenced=True, retry_reserve=54)
    fleet.plain("i-1")
    return fleet


def ask(fleet, node, request_id, tokens="1000,500", path="look"):
    headers = {"Authorization": f"Bearer {KEY}"}
    if tokens is not None:
        headers["X_Token_Count"] = tokens
    return fleet.ask(node, f"/{path}/x", request_id, b"body", **headers)


def start(fleet, customer, count=1):
    fleet.configure(tenants=[customer, {"name": "beta", "apiKeys": ["key-of-beta"]}])
    return [fleet.node() for _ in range(count)]


def statuses(fleet, node, count, **changes):
    return [ask(fleet, node, f"r{number}", **changes).head.status for number in range(count)]


def test_requests_beyond_the_quota_get_429_and_reach_no_server(limited_fleet):
    [node] = start(limited_fleet, alpha())
    found = statuses(limited_fleet, node, 8)
    assert found[:3] == [200] * 3
    assert found[4:] == [429] * 4
    assert len(limited_fleet.servers[0].requests) == found.count(200)


def test_a_refusal_says_when_to_retry_and_the_retry_is_served(limited_fleet):
    [node] = start(limited_fleet, alpha(rate=3_000, burst=3_000))
    answers = [ask(limited_fleet, node, f"r{number}") for number in range(4)]
    refused = next(answer for answer in answers if answer.head.status == 429)
    retry_after_s = float(refused.head.value(b"retry-after"))
    assert 0.2 <= retry_after_s <= 3
    gevent.sleep(retry_after_s + 1)
    assert ask(limited_fleet, node, "again").head.status == 200


def test_other_customers_are_not_limited(limited_fleet):
    [node] = start(limited_fleet, alpha())
    statuses(limited_fleet, node, 8)
    answer = limited_fleet.ask(node, "/look/x", "b", b"", Authorization="Bearer key-of-beta")
    assert answer.head.status == 200


def test_a_request_without_a_token_count_uses_the_plain_price(limited_fleet):
    [node] = start(limited_fleet, alpha(rate=1, burst=600))
    assert statuses(limited_fleet, node, 5, tokens=None) == [200, 200, 200, 429, 429]


def test_a_quota_in_requests_counts_requests(limited_fleet):
    [node] = start(limited_fleet, alpha(rate=1, burst=3, billingUnit="request"))
    # A part of a request that is left admits one now and then.
    node.daemon.fleet_quota._rng = SimpleNamespace(random=lambda: 1.0)
    assert statuses(limited_fleet, node, 5) == [200, 200, 200, 429, 429]


def test_units_of_requests_that_no_server_ran_are_given_back(limited_fleet):
    limited_fleet.servers[0].faults.shed = 1_000
    [node] = start(limited_fleet, alpha(rate=1, burst=3_000))
    assert statuses(limited_fleet, node, 6) == [503] * 6
    limited_fleet.servers[0].faults.shed = 0
    gevent.sleep(0.5)
    assert ask(limited_fleet, node, "later").head.status == 200


def test_a_retried_request_is_counted_once(limited_fleet):
    limited_fleet.plain("i-2")
    [node] = start(limited_fleet, alpha(rate=1, burst=3_000))
    for server in limited_fleet.servers:
        server.faults.fail = 1
    assert ask(limited_fleet, node, "r1").head.status == 500
    assert sum(len(server.requests) for server in limited_fleet.servers) == 2
    assert ask(limited_fleet, node, "r2").head.status == 200


def test_a_request_larger_than_the_burst_is_served_from_a_full_bucket(limited_fleet):
    limited_fleet.bounds = attrs.evolve(limited_fleet.bounds, quota_slack=17_000)
    [node] = start(limited_fleet, alpha(rate=4_200, burst=4_200))
    assert ask(limited_fleet, node, "r1", "6000,1000").head.status == 200


def test_a_request_that_the_quota_can_never_allow_is_refused(limited_fleet):
    [node] = start(limited_fleet, alpha())
    assert ask(limited_fleet, node, "r1", "900000000,1").head.status == 429


def test_nodes_share_a_quota(limited_fleet):
    nodes = start(limited_fleet, alpha(rate=10, burst=6_000), 3)
    wait_for(
        lambda: all(
            len(node.daemon.quota_peer_tracker.peers(node.daemon.clock.now_ms()).fresh) == 2
            for node in nodes
        )
    )
    for number in range(30):
        ask(limited_fleet, nodes[number % 3], f"r{number}")
        gevent.sleep(0.05)
    assert 2 <= len(limited_fleet.servers[0].requests) <= 5


def test_a_lower_limit_applies_to_the_next_request(limited_fleet):
    [node] = start(limited_fleet, alpha(rate=1, burst=90_000))
    assert ask(limited_fleet, node, "r1").head.status == 200
    limited_fleet.configure(version=2, tenants=[alpha(rate=1, burst=1_000)])
    wait_for(lambda: node.daemon.config_version() == 2)
    assert statuses(limited_fleet, node, 2) == [429, 429]


def test_a_restarted_node_does_not_grant_the_burst_again(limited_fleet):
    [node] = start(limited_fleet, alpha(rate=100, burst=5_000))
    daemon = node.daemon
    daemon.fleet_quota._starts_full = False
    daemon.fleet_quota._started_ms = daemon.clock.now_ms()
    assert statuses(limited_fleet, node, 3) == [429] * 3


def test_a_stream_over_quota_is_refused_before_a_slot_is_requested(limited_fleet):
    runner = limited_fleet.runner("e-1")
    [node] = start(limited_fleet, alpha(rate=1, burst=100))
    answer = limited_fleet.ask(
        node,
        "/read/x",
        "r1",
        b"prompt",
        Authorization=f"Bearer {KEY}",
        X_Model=f"{MODEL}/a1",
        X_Token_Count="1000,20",
    )
    assert answer.head.status == 429
    assert not runner.adapters


def test_a_quota_without_a_burst_admits_requests(limited_fleet):
    [node] = start(limited_fleet, alpha(rate=10, burst=0, billingUnit="request"))
    found = statuses(limited_fleet, node, 12)
    assert found[:5] == [200] * 5
    assert 429 in found


def test_nodes_of_a_large_fleet_with_few_requests_each_share_a_quota(limited_fleet, monkeypatch):
    """Nodes without callers are told little of their peers, but may get single requests."""
    # Changes of servers are announced to all nodes, and usage beside them.
    monkeypatch.setattr("monsoonflow.entry.cluster_state.ANNOUNCE_MS", 0)
    nodes = start(limited_fleet, alpha(rate=1, burst=5, billingUnit="request"), 30)
    assert not nodes[0].daemon.view.is_small()
    for number in range(54):
        ask(limited_fleet, nodes[number % 30], f"r{number}")
        gevent.sleep(0.15)
    assert len(limited_fleet.servers[0].requests) <= 8 + 5 + 1
