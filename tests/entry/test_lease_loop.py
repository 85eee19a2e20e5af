"""Claiming a cell lease, given the store's row and the peers' heartbeats."""

from __future__ import annotations

import attrs
import orjson
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.entry.cell_lease_row import decode_cell_lease
from monsoonflow.entry.lease_loop import CellLeaseLoop
from monsoonflow.fleet.models import CellLeaseClaim, Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.ownership.cell_lease import first_epoch
from monsoonflow.placement.load_limit import LearnedLoads
from tests.entry.one_row import OneRowTable

RECORD = NodeRecord("b", "b-b", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3")
HEARTBEAT = Heartbeat(RECORD, 1, True, False, 1, True)


def heartbeat(name, sequence=1):
    """Return a heartbeat of a node."""
    return attrs.evolve(HEARTBEAT, record=attrs.evolve(RECORD, name=name), sequence=sequence)


@pytest.fixture
def clock():
    return ManualClock(100_000)


@pytest.fixture
def table():
    return OneRowTable()


@pytest.fixture
def make_loop(clock, table):
    """Return a function that creates a node's lease loop and its view of its peers."""

    def build(name, peers=()):
        view = FleetView(name)
        for peer in peers:
            view.add_record(NodeRecord(peer, "x", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"))
        loop = CellLeaseLoop(
            "llm", name, f"boot-{name}", 3_000, True, table, view, clock, lambda: True, lambda: True
        )
        loop.loaded = True
        return loop, view

    return build


def run_loop(clock, loop, for_ms=1_000):
    for _ in range(for_ms // 100):
        loop.step()
        clock.advance(100)


def test_a_free_lease_is_claimed_and_kept(make_loop, clock, table):
    loop, _ = make_loop("a")
    run_loop(clock, loop, 5_000)
    assert loop.holds(clock.now_ms())
    assert table.row.value["counter"] >= 3
    assert table.row.value["epoch"] == 1


def test_a_just_started_node_does_not_claim_from_a_holder_not_heard_from_yet(
    make_loop, clock, table
):
    """All nodes start together; one has claimed, and its first heartbeat is still on its way.

    A claim at once would move the lease for no reason, and loads in progress would be forgotten.
    """
    holder, _ = make_loop("a", ["b", "c"])
    run_loop(clock, holder, 300)
    loop, view = make_loop("b", ["a", "c"])
    view.receive(heartbeat("c"), clock.now_ms())
    loop.handle_row(table.row)
    run_loop(clock, loop, 500)
    assert table.row.value["holder"] == "a"


def test_a_restarted_holder_reclaims_its_lease_at_once(make_loop, clock, table):
    """All nodes lose power and restart; the row still names one of them, from its previous run.

    Nobody else may claim the lease yet. While that node waited for its turn behind the others, the
    fleet had no holder for half a second, just as every caller returned.
    """
    peers = ["b", "c", "d", "e", "f"]
    previous, _ = make_loop("z", peers)
    previous._boot = "boot-before"
    run_loop(clock, previous, 1_500)
    assert table.row.value["holder"] == "z"
    restarted, view = make_loop("z", peers)
    won_ms = []
    restarted._on_won = lambda: won_ms.append(clock.now_ms())
    for peer in peers:
        view.receive(heartbeat(peer), clock.now_ms())
    restarted.handle_row(table.row)
    started_ms = clock.now_ms()
    run_loop(clock, restarted, 1_000)
    assert won_ms
    assert won_ms[0] - started_ms <= 100


def test_a_silent_holder_is_replaced(make_loop, clock, table):
    holder, _ = make_loop("a", ["b", "c"])
    run_loop(clock, holder, 300)
    loop, view = make_loop("b", ["a", "c"])
    view.receive(heartbeat("a"), clock.now_ms())
    loop.handle_row(table.row)
    for sequence in range(2, 14):
        view.receive(heartbeat("c", sequence), clock.now_ms())
        run_loop(clock, loop, 100)
    assert table.row.value["holder"] == "b"
    assert table.row.value["epoch"] == 5
    holder.handle_row(table.row)
    assert not holder.holds(clock.now_ms())


def test_a_node_that_loses_the_race_to_claim_holds_no_lease(make_loop, clock, table):
    winner, _ = make_loop("a")
    loser, _ = make_loop("b")
    run_loop(clock, winner, 200)
    run_loop(clock, loser, 200)
    assert winner.holds(clock.now_ms())
    assert not loser.holds(clock.now_ms())


def test_a_standby_continues_without_the_store_and_claims_again_afterwards(make_loop, clock, table):
    holder, view_a = make_loop("a", ["b"])
    view_a.receive(HEARTBEAT, clock.now_ms())
    run_loop(clock, holder, 300)
    assert table.row.value["heirs"] == ["b"]
    standby, view_b = make_loop("b", ["a"])
    view_b.receive(heartbeat("a"), clock.now_ms())
    standby.handle_row(table.row)
    table.is_down, standby.store_reachable = True, False
    run_loop(clock, standby, 1_500)
    assert standby.held_lease.row.epoch == 2
    view_b.receive(heartbeat("c"), clock.now_ms())
    assert standby.holds(clock.now_ms())
    table.is_down, standby.store_reachable = False, True
    run_loop(clock, standby, 2_000)
    assert table.row.value == {**table.row.value, "holder": "b", "epoch": 5}


def test_a_claim_that_the_store_does_not_confirm_gives_no_lease(make_loop, clock, table):
    loop, _ = make_loop("a")
    table.is_down = True
    run_loop(clock, loop, 1_000)
    assert not loop.holds(clock.now_ms())


def test_a_position_in_the_standby_list_is_never_given_to_another_node(make_loop, clock, table):
    """A standby is replaced by a new node while the holder continues.

    A position in the list stands for an epoch: if it were given to another node, two nodes that
    read different lists would use the same epoch.
    """
    holder, view = make_loop("a", ["b"])
    view.receive(heartbeat("b"), clock.now_ms())
    run_loop(clock, holder, 1_400)
    assert table.row.value["heirs"] == ["b"]
    for sequence in range(1, 20):
        for name in ("c", "d", "e"):
            view.receive(heartbeat(name, sequence), clock.now_ms())
        run_loop(clock, holder, 200)
    assert table.row.value["heirs"][0] == "b"
    assert len(table.row.value["heirs"]) == 3


def test_a_standby_named_after_the_row_was_read_may_take_over(make_loop, clock, table):
    """The holder announced a new standby a moment ago; that node reads rows seconds later."""
    standby, view = make_loop("b", ["a"])
    view.receive(heartbeat("a"), clock.now_ms())
    standby.store_reachable = False
    view.apply_claim(CellLeaseClaim("llm", "a", 9, ("b",)))
    run_loop(clock, standby, 1_500)
    assert standby.held_lease.row.epoch == 10


def test_a_new_holder_knows_what_the_previous_one_learned_of_the_weight_store(
    make_loop, clock, table
):
    """After a loss of power the adapters of all callers were loaded eight at a time."""
    previous, _ = make_loop("z")
    previous.learned_loads = LearnedLoads(27, 255)
    run_loop(clock, previous, 3_000)
    restarted, _ = make_loop("z")
    restarted.handle_row(table.row)
    run_loop(clock, restarted, 5_000)
    assert restarted.held_lease.row.learned_loads == LearnedLoads(27, 255)


@pytest.mark.parametrize(
    "stored", [None, [27], [27, "255"], [-1, 255], [27, 0], [10**9, 255], {"limit": 27}, [1.5, 2]]
)
def test_a_malformed_value_of_a_row_does_not_hide_its_lease(stored):
    """Without the row no node could claim the lease."""
    fields = {"holder": "z", "boot": "b", "epoch": 3, "counter": 1, "released": False}
    row = decode_cell_lease("llm", orjson.dumps({**fields, "loads": stored}))
    assert row.epoch == 3
    assert row.learned_loads is None


@pytest.mark.parametrize("has_row", [True, False])
def test_a_holder_claims_again_when_the_store_has_returned_from_a_copy(
    make_loop, clock, table, has_row
):
    """The holder lost its lease, and no node could claim it."""
    loop, _ = make_loop("a")
    run_loop(clock, loop, 500)
    copied = table.row
    run_loop(clock, loop, 3_000)
    table.return_from(copied if has_row else None)
    for _ in range(20):
        run_loop(clock, loop, 100)
        assert loop.holds(clock.now_ms())
    assert table.row.value["epoch"] == first_epoch(1)


def test_a_claim_after_a_return_has_a_higher_number_than_all_forgotten_ones(
    make_loop, clock, table
):
    """The node knows nothing but the copy; a forgotten holder had used the next number."""
    previous, _ = make_loop("a")
    run_loop(clock, previous, 300)
    copied = table.row
    table.return_from(copied)
    loop, _ = make_loop("b")
    loop.handle_row(table.row)
    run_loop(clock, loop, 4_000)
    assert table.row.value["holder"] == "b"
    assert table.row.value["epoch"] > copied.value["epoch"] + 1_000


@pytest.mark.parametrize("has_row", [True, False])
def test_a_lease_is_not_claimed_from_a_holder_that_the_store_has_forgotten(
    make_loop, clock, table, has_row
):
    """The copy names a holder that is gone; its successor announces the lease all the time."""
    first, _ = make_loop("z")
    run_loop(clock, first, 300)
    copied = table.row
    loop, view = make_loop("b", ["a", "c"])
    table.return_from(copied if has_row else None)
    if has_row:
        loop.handle_row(table.row)
    claim = CellLeaseClaim("llm", "a", 9, (), 3)
    for sequence in range(1, 41):
        view.receive(attrs.evolve(heartbeat("a", sequence), claims=(claim,)), clock.now_ms())
        view.receive(heartbeat("c", sequence), clock.now_ms())
        run_loop(clock, loop, 100)
    assert not loop.holds(clock.now_ms())


def test_a_stopping_holder_releases_the_row_of_the_copy(make_loop, clock, table):
    loop, _ = make_loop("a")
    run_loop(clock, loop, 500)
    row, version = loop.drop_lease()
    table.return_from(table.row)
    loop.release_row(row, version)
    assert table.row.value["released"]


def test_a_node_that_lost_the_lease_does_not_take_it_back_from_a_copy(make_loop, clock, table):
    """The copy names this node; another one has claimed since, and announces it."""
    loop, view = make_loop("b", ["a", "c"])
    run_loop(clock, loop, 500)
    copied = table.row
    claim = CellLeaseClaim("llm", "a", 9, (), 3)
    view.receive(attrs.evolve(heartbeat("a"), claims=(claim,)), clock.now_ms())
    run_loop(clock, loop, 100)
    assert loop.held_lease.row is None
    table.return_from(copied)
    loop.handle_row(table.row)
    for sequence in range(2, 30):
        view.receive(attrs.evolve(heartbeat("a", sequence), claims=(claim,)), clock.now_ms())
        run_loop(clock, loop, 100)
    assert not loop.holds(clock.now_ms())
