"""Node records that the store has lost."""

from __future__ import annotations

import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.entry.node_registration import REMOVE_AFTER_MS, NodeRegistration
from monsoonflow.fleet.models import NodeRecord
from monsoonflow.fleet.view import FleetView
from tests.entry.one_row import OneRowTable
from tests.randomised.virtual import VirtualTasks, World


def record(name):
    return NodeRecord(name, f"boot-{name}", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3")


@pytest.fixture
def clock():
    return ManualClock(100_000)


@pytest.fixture
def view():
    known = FleetView("b")
    for name in ("a", "b", "gone"):
        known.add_record(record(name))
    return known


@pytest.fixture
def registration(view, clock):
    table = OneRowTable()
    table.is_down = True
    return NodeRegistration(lambda: record("b"), table, view, VirtualTasks(World()), clock)


def test_the_record_of_a_node_that_does_not_write_it_again_is_forgotten(registration, view, clock):
    """The store reports no removal of a row that it has lost: it would be kept for ever."""
    registration.handle_record_lost("gone")
    registration._remove_departed_nodes()
    assert "gone" in view.record_by_name
    clock.advance(REMOVE_AFTER_MS + 1)
    registration._remove_departed_nodes()
    assert "gone" not in view.record_by_name
    assert "a" in view.record_by_name


def test_the_own_record_is_missing_once_the_store_has_lost_it(registration, view):
    registration.handle_record_lost("b")
    assert "b" not in view.record_by_name
