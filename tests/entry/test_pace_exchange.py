"""Tests of how a node exchanges the paces of runners with its peers."""

from __future__ import annotations

import logging

import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.entry.pace_exchange import PaceExchange
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.routing.runner_pace import RunnerPace

SLOW = ServerLife("i-1")


@pytest.fixture
def clock():
    return ManualClock(1_000)


def heartbeat(name="n1", **fields):
    record = NodeRecord(name, "b1", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3")
    return Heartbeat(record, 1, True, False, 1, True, **fields)


def test_malformed_paces_are_logged_once_per_sender(clock, caplog):
    """Five heartbeats arrive each second; a peer with a fault must not fill the log."""
    exchange = PaceExchange(RunnerPace(), clock)
    with caplog.at_level(logging.WARNING):
        for name in ("n1", "n1", "n2", "n1"):
            exchange.handle_heartbeat(heartbeat(name, has_malformed_paces=True))
    assert len(caplog.records) == 2


def test_change_of_pace_is_logged_with_its_inputs(clock, caplog):
    exchange = PaceExchange(RunnerPace(), clock)
    for peer in range(6):
        exchange.handle_heartbeat(heartbeat(f"n{peer}", pace_by_server={SLOW: 3.0}))
    clock.advance(40)
    with caplog.at_level(logging.INFO):
        exchange.maintain(frozenset({SLOW}))
        exchange.maintain(frozenset({SLOW}))
    (record,) = caplog.records
    text = record.getMessage()
    for part in ("runner_pace_changed", "server=i-1", "before=1.0", "age_ms=40"):
        assert part in text
    assert exchange.slow_count() == 1


def test_paces_are_announced_once_a_second_in_a_large_fleet(clock):
    """In each of 100 heartbeats a second they would take 9 kB/s of a small link."""
    exchange = PaceExchange(RunnerPace(), clock)
    announced = []
    for _ in range(10):
        announced.append(exchange.announced_paces(is_fleet_small=False))
        clock.advance(200)
    assert announced == [{}, None, None, None, None] * 2
    assert exchange.announced_paces(is_fleet_small=True) == {}


def test_part_that_is_switched_off_announces_and_uses_nothing(clock):
    exchange = PaceExchange(None, clock)
    exchange.handle_heartbeat(heartbeat(pace_by_server={SLOW: 3.0}))
    exchange.maintain(frozenset())
    assert exchange.announced_paces(is_fleet_small=True) is None
    assert exchange.slow_count() == 0
