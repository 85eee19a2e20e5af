"""Requests of customers with API keys through a real entry node."""

from __future__ import annotations

import logging

import gevent
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.client import ConnectionPools, call
from tests.entry.conftest import CONFIG, route, wait_for

KEY = "key-of-alpha-1"
ALPHA = {"name": "alpha", "apiKeys": [KEY, "key-of-alpha-2"], "priority": 1}
BETA = {"name": "beta", "apiKeys": ["key-of-beta"], "priority": 0}
ROUTES = [
    *CONFIG["routes"],
    route("open", "idempotent", "plain", public=True),
    route("later", "idempotent", "plain", priority=2),
]


@pytest.fixture
def entry_node(fleet):
    fleet.configure(routes=ROUTES, tenants=[ALPHA, BETA])
    fleet.plain("i-1")
    return fleet.node()


def ask(fleet, node, path="look", key=KEY, request_id="r1", **headers):
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    return fleet.ask(node, f"/{path}/x", request_id, b"body", **headers)


def configure(fleet, node, version, tenants):
    fleet.configure(version=version, routes=ROUTES, tenants=tenants)
    wait_for(lambda: node.daemon.config_version() == version)


def received_headers(fleet):
    return {name.lower(): value for name, value in fleet.servers[0].requests[-1].headers}


def test_a_server_receives_the_customers_name_and_not_the_key(fleet, entry_node):
    answer = ask(fleet, entry_node, X_Tenant="beta")
    assert answer.head.status == 200
    headers = received_headers(fleet)
    assert headers[b"x-tenant"] == b"alpha"
    assert b"authorization" not in headers
    assert fleet.servers[0].requests[-1].values(b"x-tenant") == [b"alpha"]


@pytest.mark.parametrize(
    "authorization",
    [
        "",
        "Bearer",
        "Bearer unknown",
        f"bearer {KEY}",
        f"Bearer  {KEY}",
        f"Bearer {KEY.upper()}",
        f"Basic {KEY}",
        KEY,
        "Bearer " + "k" * 8_000,
        "Bearer kéy",
    ],
)
def test_a_request_without_a_valid_key_is_401_and_reaches_no_server(
    fleet, entry_node, authorization
):
    answer = ask(fleet, entry_node, key=None, Authorization=authorization)
    assert answer.head.status == 401
    assert not fleet.servers[0].requests


def test_a_request_without_a_key_is_401(fleet, entry_node):
    assert ask(fleet, entry_node, key=None, X_Tenant="alpha").head.status == 401
    assert not fleet.servers[0].requests


def test_two_keys_in_one_request_are_401(fleet, entry_node):
    answer = ask(fleet, entry_node, authorization="Bearer other")
    assert answer.head.status == 401
    assert not fleet.servers[0].requests


def test_a_key_longer_than_the_head_may_be_is_refused_by_the_framing(fleet, entry_node):
    answer = ask(fleet, entry_node, key="k" * 65_536)
    assert answer.head.status == 431
    assert not fleet.servers[0].requests


@pytest.mark.parametrize(
    ("key", "customer"), [(None, None), ("unknown", None), ("key-of-beta", b"beta")]
)
def test_a_public_route_needs_no_key_and_forwards_none(fleet, entry_node, key, customer):
    answer = ask(fleet, entry_node, "open", key, X_Tenant="alpha")
    assert answer.head.status == 200
    headers = received_headers(fleet)
    assert headers.get(b"x-tenant") == customer
    assert b"authorization" not in headers


def test_headers_pass_unchanged_in_a_configuration_without_customers(fleet):
    fleet.plain("i-1")
    node = fleet.node()
    assert ask(fleet, node, X_Tenant="own").head.status == 200
    headers = received_headers(fleet)
    assert (headers[b"x-tenant"], headers[b"authorization"]) == (b"own", b"Bearer " + KEY.encode())


def test_no_key_is_valid_when_the_last_customer_is_removed(fleet, entry_node):
    configure(fleet, entry_node, 2, [])
    assert ask(fleet, entry_node).head.status == 401
    assert ask(fleet, entry_node, "open").head.status == 200


def test_a_removed_key_is_refused_also_on_an_open_connection(fleet, entry_node):
    assert ask(fleet, entry_node).head.status == 200
    configure(fleet, entry_node, 2, [{**ALPHA, "apiKeys": ["key-of-alpha-2"]}, BETA])
    assert ask(fleet, entry_node, request_id="r2").head.status == 401
    assert ask(fleet, entry_node, key="key-of-alpha-2", request_id="r3").head.status == 200


def test_a_removed_key_stays_removed_when_an_older_configuration_arrives(fleet, entry_node):
    configure(fleet, entry_node, 3, [BETA])
    fleet.configure(version=2, routes=ROUTES, tenants=[ALPHA])
    gevent.sleep(0.3)
    assert ask(fleet, entry_node).head.status == 401


def test_a_request_that_was_accepted_runs_to_its_end_after_its_key_was_removed(fleet, entry_node):
    fleet.servers[0].faults.slow_ms = 600
    asked = gevent.spawn(ask, fleet, entry_node)
    wait_for(lambda: fleet.servers[0].requests)
    configure(fleet, entry_node, 2, [BETA])
    assert asked.get().head.status == 200


def test_a_request_that_was_accepted_is_retried_after_its_key_was_removed(fleet, entry_node):
    fleet.plain("i-2")
    for server in fleet.servers:
        server.faults.slow_ms = 500
        server.faults.fail = 1
    wait_for(lambda: len(entry_node.daemon.cluster_state.server_registry.servers_of("plain")) == 2)
    asked = gevent.spawn(ask, fleet, entry_node)
    wait_for(lambda: any(server.requests for server in fleet.servers))
    configure(fleet, entry_node, 2, [BETA])
    asked.get()
    assert [len(server.requests) for server in fleet.servers] == [1, 1]
    names = {server.requests[0].value(b"x-tenant") for server in fleet.servers}
    assert names == {b"alpha"}


def test_a_key_that_moves_to_another_customer_names_that_customer(fleet, entry_node):
    configure(fleet, entry_node, 2, [{**ALPHA, "apiKeys": []}, {**BETA, "apiKeys": [KEY]}])
    assert ask(fleet, entry_node).head.status == 200
    assert received_headers(fleet)[b"x-tenant"] == b"beta"


def test_an_unknown_key_is_503_while_the_store_does_not_answer(fleet, entry_node):
    """The key may have been added meanwhile, and callers do not retry after 401."""
    assert ask(fleet, entry_node, key="new").head.status == 401
    fleet.store.stop()
    wait_for(lambda: not entry_node.daemon.store_watches.reaches_store(), 20)
    answer = ask(fleet, entry_node, key="new", request_id="r2")
    assert answer.head.status == 503
    assert answer.head.value(b"retry-after") is not None
    assert ask(fleet, entry_node, request_id="r3").head.status == 200


def test_an_unknown_key_is_503_while_a_peer_has_a_newer_configuration(
    fleet, entry_node, monkeypatch
):
    other = fleet.node()
    monkeypatch.setattr(entry_node.daemon.peer_client, "fetch_newer_configuration", lambda *_: None)
    monkeypatch.setattr(other.daemon, "config_version", lambda: 9)
    wait_for(lambda: not entry_node.daemon.configuration_status().is_current)
    assert ask(fleet, entry_node, key="new").head.status == 503


def test_no_output_contains_a_key(fleet, entry_node, caplog):
    caplog.set_level(logging.DEBUG)
    for path, key in [("look", KEY), ("look", "secret-unknown"), ("none", KEY), ("open", KEY)]:
        ask(fleet, entry_node, path, key)
    ask(fleet, entry_node, key=KEY, X_Token_Count="-1,1")
    fleet.configure(version=9, tenants=[ALPHA, {**BETA, "apiKeys": [KEY]}])
    gevent.sleep(0.3)
    address = entry_node.daemon.settings.metrics_address
    answer = call(ConnectionPools(MonotonicClock()), address, "GET", "/metrics", b"", 2_000)
    metrics = answer.body.decode()
    assert "event=request_unauthorized" in caplog.text
    for secret in (KEY, "secret-unknown"):
        assert secret not in caplog.text
        assert secret not in metrics


@pytest.mark.parametrize(
    "count", ["-1,10", "10,-1", "1e3,1", "99999999999,1", "1_0,1", "x,1", "1,1,1", "٣,1"]
)
def test_a_malformed_token_count_is_400(fleet, entry_node, count):
    assert ask(fleet, entry_node, X_Token_Count=count).head.status == 400
    assert not fleet.servers[0].requests


@pytest.mark.parametrize(
    "tenants",
    [
        [{"apiKeys": ["k"]}],
        [{"name": "", "apiKeys": ["k"]}],
        [{"name": "a", "apiKeys": [1]}],
        [{"name": "a", "apiKeys": [""]}],
        [{"name": "a", "apiKeys": "k"}],
        [{"name": "a", "ratePerS": -1}],
        [{"name": "a", "ratePerS": "1"}],
        [{"name": "a", "billingUnit": "moons"}],
        [{"name": "a", "plainTokens": 0}],
        [{"name": "a"}, {"name": "a"}],
        [ALPHA, {**BETA, "apiKeys": [KEY]}],
        {"name": "a"},
    ],
)
def test_an_invalid_customer_leaves_the_last_valid_configuration_in_force(
    fleet, entry_node, tenants
):
    fleet.configure(version=2, routes=ROUTES, tenants=tenants)
    gevent.sleep(0.3)
    assert ask(fleet, entry_node).head.status == 200
    assert entry_node.daemon.config_version() == 1


def test_a_thousand_customers_with_ten_thousand_keys_are_looked_up_at_once(fleet, entry_node):
    tenants = [
        {"name": f"c{number}", "apiKeys": [f"k-{number}-{key}" for key in range(10)]}
        for number in range(1_000)
    ]
    configure(fleet, entry_node, 2, tenants)
    assert ask(fleet, entry_node, key="k-777-3").head.status == 200
    assert received_headers(fleet)[b"x-tenant"] == b"c777"


def test_the_customers_priority_goes_before_the_routes(fleet, entry_node):
    table = entry_node.daemon.cluster_state.route_table
    urgent_route, later_route = route_with_priority(table, 0), route_with_priority(table, 2)
    alpha, beta = table.customer_by_key[KEY], table.customer_by_key["key-of-beta"]
    order = [
        table.priority_of(urgent_route, beta),
        table.priority_of(later_route, beta),
        table.priority_of(urgent_route, alpha),
        table.priority_of(later_route, alpha),
    ]
    assert order == sorted(set(order))


def route_with_priority(table, priority):
    return next(known for known in table.routes() if known.priority == priority)
