"""Which request with quarantined parts is sent to see whether they still crash servers."""

from __future__ import annotations

import time

import gevent

from monsoonflow.quarantine.manager import ROW_PREFIX, TRIAL_INTERVAL_MS, QuarantineManager
from monsoonflow.quarantine.models import RequestTraits
from monsoonflow.quarantine.parts import KEY_PREFIX, TRIALS_AFTER_MS
from tests.quarantine.conftest import put, read

BAD = KEY_PREFIX + "p1"
TRAITS = RequestTraits("f1", ("p0", "p1"))


def trials_in(table, key=BAD):
    """Return how many trials the table counts."""
    return table.rows[ROW_PREFIX + key].value.get("trials", 0)


def test_the_request_that_finds_its_part_due_is_tried(manager, table, clock):
    """The next request with a rare part came to the trial's node only after a minute."""
    put(table, manager, BAD)
    assert not manager.begin_trial(TRAITS)
    clock.advance(TRIALS_AFTER_MS[0] + 1)
    assert [manager.begin_trial(TRAITS) for _ in range(3)] == [True, False, False]
    assert trials_in(table) == 1


def test_one_node_tries_a_part(manager, table, clock):
    """All nodes find the part due at once, and could each crash a server."""
    other = QuarantineManager("b", None, table, None, clock, lambda: None)
    put(table, manager, BAD)
    read(table, other)
    clock.advance(TRIALS_AFTER_MS[0] + 1)
    assert [node.begin_trial(TRAITS) for node in (manager, other, other)] == [True, False, False]
    assert trials_in(table) == 1


def test_a_node_begins_one_trial_at_a_time(manager, table, clock):
    """What one trial shows may make another unnecessary."""
    put(table, manager, BAD)
    put(table, manager, KEY_PREFIX + "p2")
    clock.advance(TRIALS_AFTER_MS[0] + 1)
    assert manager.begin_trial(TRAITS)
    assert not manager.begin_trial(RequestTraits("f2", ("p0", "p2")))
    clock.advance(TRIAL_INTERVAL_MS)
    assert manager.begin_trial(RequestTraits("f3", ("p0", "p2")))


def test_a_part_without_a_row_is_not_tried(manager, table, clock):
    """Without the row, nodes can't agree on who tries it."""
    put(table, manager, BAD)
    table.rows.clear()
    clock.advance(TRIALS_AFTER_MS[0] + 1)
    assert not manager.begin_trial(TRAITS)


def test_a_request_does_not_wait_for_a_store_that_does_not_answer(manager, table, clock):
    """It waited beyond its own time for the store, where it had been refused at once before."""
    put(table, manager, BAD)
    clock.advance(TRIALS_AFTER_MS[0] + 1)
    get = table.get
    table.get = lambda key: (gevent.sleep(1.0), get(key))[1]
    began_s = time.perf_counter()
    assert not manager.begin_trial(TRAITS)
    assert time.perf_counter() - began_s <= 0.5
    gevent.sleep(1.0)
    assert manager.begin_trial(TRAITS)
    assert trials_in(table) == 1
