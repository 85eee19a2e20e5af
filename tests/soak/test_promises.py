"""Tests of judging what callers got: each broken promise is seen."""

from __future__ import annotations

import pytest

from soak.const import ONCE_PATH
from soak.processes import Record
from soak.promises import NOT_RUN, broken_promises


def ended(status, own=True, path=ONCE_PATH):
    return Record(
        "callers", 0, "ended", {"request": "r", "path": path, "status": status, "own": own}
    )


def at_server(event, server="i-1"):
    return Record(server, 0, event, {"request": "r", "status": 503})


def test_a_request_that_ran_once_and_was_answered_breaks_nothing():
    assert not broken_promises([ended(200)], [at_server("reached")])


def test_a_request_that_ran_twice_is_seen():
    assert broken_promises([ended(200)], [at_server("reached"), at_server("reached", "i-2")])


def test_a_request_that_may_run_again_may_run_twice():
    servers = [at_server("reached"), at_server("reached", "i-2")]
    assert not broken_promises([ended(200, path="/look/x")], servers)


@pytest.mark.parametrize("status", sorted(NOT_RUN))
def test_a_refusal_of_what_ran_is_seen(status):
    assert broken_promises([ended(status)], [at_server("reached")])


def test_a_refusal_of_what_its_server_turned_away_is_true():
    assert not broken_promises([ended(503)], [at_server("reached"), at_server("unrun")])


def test_an_answer_that_is_another_requests_is_seen():
    assert broken_promises([ended(200, own=False)], [at_server("reached")])


@pytest.mark.parametrize("status", [99, 600, 700])
def test_a_status_that_does_not_exist_is_found(status):
    assert broken_promises([ended(status, path="/look/x")], [at_server("reached")])


def arrival(customer, has_key=False):
    return Record("i-1", 0, "reached", {"request": "r", "customer": customer, "has_key": has_key})


def ended_of(customer):
    fields = {"request": "r", "path": "/look/x", "status": 200, "own": True, "customer": customer}
    return Record("callers", 0, "ended", fields)


def test_a_request_with_its_customers_name_breaks_nothing():
    assert not broken_promises([ended_of("large")], [arrival("large")])


@pytest.mark.parametrize("named", ["small", None])
def test_a_request_that_names_another_customer_is_seen(named):
    assert broken_promises([ended_of("large")], [arrival(named)])


def test_a_key_that_reaches_a_server_is_seen():
    assert broken_promises([ended_of("large")], [arrival("large", has_key=True)])


def test_a_request_with_an_unknown_key_that_reaches_a_server_is_seen():
    assert broken_promises([ended_of(None)], [arrival(None)])
