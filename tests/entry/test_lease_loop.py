"""Tests of claiming duties, with the store's row and the other nodes as given."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.entry.lease_loop import CellLeaseLoop
from monsoonflow.fleet.models import CellLeaseClaim, Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from tests.entry.one_row import OneRowTable

CARD = NodeRecord("b", "b-b", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3")
REPORT = Heartbeat(CARD, 1, True, False, 1, True)


def report(name, sequence=1):
    """Return a node's report."""
    return attrs.evolve(REPORT, record=attrs.evolve(CARD, name=name), sequence=sequence)


@pytest.fixture
def clock():
    return ManualClock(100_000)


@pytest.fixture
def table():
    return OneRowTable()


@pytest.fixture
def make(clock, table):
    """Return a function that makes one node's loop."""

    def build(name, others=()):
        view = FleetView(name)
        for other in others:
            view.add_record(NodeRecord(other, "x", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"))
        loop = CellLeaseLoop(
            "llm", name, f"boot-{name}", 3_000, True, table, view, clock, lambda: True, lambda: True
        )
        loop.loaded = True
        return loop, view

    return build


def turn(clock, loop, for_ms=1_000):
    for _ in range(for_ms // 100):
        loop.step()
        clock.advance(100)


def test_a_free_duty_is_claimed_and_kept(make, clock, table):
    loop, _ = make("a")
    turn(clock, loop, 5_000)
    assert loop.holds(clock.now_ms())
    assert table.row.value["counter"] >= 3
    assert table.row.value["epoch"] == 1


def test_a_node_that_has_just_started_does_not_take_a_duty_from_one_it_has_not_heard(
    make, clock, table
):
    """All nodes start together; one has claimed, and its first report is still on the way.

    Taken at once, the duty would change hands for nothing, and what was being loaded be forgotten.
    """
    holder, _ = make("a", ["b", "c"])
    turn(clock, holder, 300)
    loop, view = make("b", ["a", "c"])
    view.receive(report("c"), clock.now_ms())
    loop.handle_row(table.row)
    turn(clock, loop, 500)
    assert table.row.value["holder"] == "a"


def test_a_node_that_starts_again_takes_its_own_duty_back_at_once(make, clock, table):
    """All nodes lose power and start again; the duty is one of them's, by its life before.

    Nobody else may claim it yet. Waiting for its turn behind the others, the node left the fleet
    without a holder for half a second, while every caller came back.
    """
    others = ["b", "c", "d", "e", "f"]
    before, _ = make("z", others)
    before._boot = "boot-before"
    turn(clock, before, 1_500)
    assert table.row.value["holder"] == "z"
    again, view = make("z", others)
    won = []
    again._on_won = lambda: won.append(clock.now_ms())
    for other in others:
        view.receive(report(other), clock.now_ms())
    again.handle_row(table.row)
    began_ms = clock.now_ms()
    turn(clock, again, 1_000)
    assert won
    assert won[0] - began_ms <= 100


def test_a_silent_holder_is_replaced(make, clock, table):
    holder, _ = make("a", ["b", "c"])
    turn(clock, holder, 300)
    loop, view = make("b", ["a", "c"])
    view.receive(report("a"), clock.now_ms())
    loop.handle_row(table.row)
    for sequence in range(2, 14):
        view.receive(report("c", sequence), clock.now_ms())
        turn(clock, loop, 100)
    assert table.row.value["holder"] == "b"
    assert table.row.value["epoch"] == 5
    holder.handle_row(table.row)
    assert not holder.holds(clock.now_ms())


def test_a_lost_race_is_no_duty(make, clock, table):
    one, _ = make("a")
    two, _ = make("b")
    turn(clock, one, 200)
    turn(clock, two, 200)
    assert one.holds(clock.now_ms())
    assert not two.holds(clock.now_ms())


def test_an_heir_goes_on_without_the_store_and_claims_anew_after(make, clock, table):
    holder, view_a = make("a", ["b"])
    view_a.receive(REPORT, clock.now_ms())
    turn(clock, holder, 300)
    assert table.row.value["heirs"] == ["b"]
    heir, view_b = make("b", ["a"])
    view_b.receive(report("a"), clock.now_ms())
    heir.handle_row(table.row)
    table.down, heir.store_reachable = True, False
    turn(clock, heir, 1_500)
    assert heir.held_lease.row.epoch == 2
    view_b.receive(report("c"), clock.now_ms())
    assert heir.holds(clock.now_ms())
    table.down, heir.store_reachable = False, True
    turn(clock, heir, 2_000)
    assert table.row.value == {**table.row.value, "holder": "b", "epoch": 5}


def test_a_claim_that_was_refused_the_store_is_no_duty(make, clock, table):
    loop, _ = make("a")
    table.down = True
    turn(clock, loop, 1_000)
    assert not loop.holds(clock.now_ms())


def test_a_place_among_the_heirs_is_never_given_to_another(make, clock, table):
    """An heir is replaced by a new node while the holder goes on.

    Its place stands for an epoch number: two nodes that read different lists would use the same.
    """
    holder, view = make("a", ["b"])
    view.receive(report("b"), clock.now_ms())
    turn(clock, holder, 1_400)
    assert table.row.value["heirs"] == ["b"]
    for sequence in range(1, 20):
        for name in ("c", "d", "e"):
            view.receive(report(name, sequence), clock.now_ms())
        turn(clock, holder, 200)
    assert table.row.value["heirs"][0] == "b"
    assert len(table.row.value["heirs"]) == 3


def test_an_heir_named_since_the_row_was_read_is_one(make, clock, table):
    """The holder named an heir a moment ago and told it; the heir reads rows seconds later."""
    heir, view = make("b", ["a"])
    view.receive(report("a"), clock.now_ms())
    heir.store_reachable = False
    view.apply_claim(CellLeaseClaim("llm", "a", 9, ("b",)))
    turn(clock, heir, 1_500)
    assert heir.held_lease.row.epoch == 10
