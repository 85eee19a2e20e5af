"""Tests of what is judged when the store returns from a copy."""

from __future__ import annotations

import pytest

from monsoonflow.report.timeline import LogEntry
from soak.configurations import outdated_requests
from soak.orders import shared_numbers
from soak.processes import Record

CONFIRMED = [
    Record("store", 1_000, "configured", {"version": 1}),
    Record("store", 5_000, "configured", {"version": 2}),
    Record("store", 9_000, "configured", {"version": 2}),
]


def accepted(at_ms, config, node="n1"):
    return LogEntry(at_ms, node, "request_accepted", {"request": "r", "config": str(config)})


def found(*logs):
    return outdated_requests(CONFIRMED, logs, lambda _node, at_ms: at_ms)


@pytest.mark.parametrize(("at_ms", "is_late"), [(6_900, False), (7_100, True)])
def test_a_confirmed_configuration_must_be_in_force_in_time(at_ms, is_late):
    assert bool(found(accepted(at_ms, 1))) == is_late


def test_a_configuration_that_was_served_is_never_served_older():
    assert found(accepted(5_100, 2), accepted(5_200, 1))
    started = LogEntry(5_150, "n1", "started", {})
    assert not found(accepted(5_100, 2), started, accepted(5_200, 1))
    assert not found(accepted(5_100, 2), accepted(5_200, 1, node="n2"))


def test_a_node_is_not_held_to_its_bound_while_it_or_the_store_is_disturbed():
    late = accepted(7_100, 1)
    assert not outdated_requests(CONFIRMED, [late], lambda _node, at_ms: max(at_ms, 6_000))
    assert not outdated_requests(CONFIRMED, [late], lambda _node, at_ms: at_ms + 10)


def test_two_holders_with_one_number_are_found():
    def ordered(holder, fence, status=202):
        fields = {"holder": holder, "fence": fence, "status": status}
        return Record("i-1", 1_000, "ordered", fields)

    assert shared_numbers([ordered("a", 1), ordered("b", 1)])
    assert not shared_numbers([ordered("a", 1), ordered("b", 5), ordered("a", 5, 412)])
