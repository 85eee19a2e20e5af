"""Duties before runners that check no fencing numbers: one holder at a time, and seldom none."""

from __future__ import annotations

import random

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.entry.lease_loop import CellLeaseLoop
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.ownership.cell_lease import (
    PROMISE_MS,
    UNNAMED_CLAIM_DELAY_MS,
    CellLeaseRow,
    CellLeaseWatch,
)
from monsoonflow.ownership.models import LeaseTiming
from monsoonflow.storage.models import Unavailable
from tests.entry.one_row import OneRowTable

LEASE_MS = 3_000
STEP_MS = 50


@attrs.define
class Node:
    """One node: its view, its loop and whether it runs, reaches the store and hears the others."""

    name: str
    view: FleetView
    loop: CellLeaseLoop
    runs: bool = True
    deaf: bool = False
    sequence: int = 0
    leaving: bool = False
    boot: str = ""
    refused: bool = False
    unanswered: bool = False

    def report(self, now_ms: int) -> Heartbeat:
        """Return its word about itself."""
        self.sequence += 1
        claim = self.loop.current_claim()
        claims = () if claim is None else (claim,)
        self.view.record_sent(self.sequence, claims, now_ms)
        card = NodeRecord(self.name, self.boot, "dc", "1:1", "1:2", "1:3")
        return Heartbeat(
            card,
            self.sequence,
            not self.leaving,
            self.leaving,
            1,
            True,
            claims=claims,
            acks=self.view.holder_acks(),
        )


@attrs.define
class Gate:
    """The table as one node reaches it: it may be refused while others are served."""

    table: OneRowTable
    node: Node

    def get(self, key: str) -> object:
        """Return the row, or nothing."""
        return None if self.node.refused or self.table.down else self.table.get(key)

    def commit(self, transaction: object) -> object:
        """Write the row where the node is not refused."""
        if self.node.refused:
            return Unavailable("refused")
        result = self.table.commit(transaction)
        return Unavailable("no answer") if self.node.unanswered else result


@attrs.define
class Fleet:
    """Some nodes before one table, in virtual time."""

    clock: ManualClock
    table: OneRowTable
    nodes: dict[str, Node]
    holders: list[set[str]] = attrs.Factory(list)
    cut: set[tuple[str, str]] = attrs.Factory(set)

    def run(self, for_ms: int) -> None:
        """Let time pass: reports every 200 ms, a look at the duty every 100 ms."""
        for _ in range(for_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            living = [node for node in self.nodes.values() if node.runs]
            if now_ms % 200 == 0:
                self._tell(living, now_ms)
            for node in living if now_ms % 100 == 0 else ():
                node.loop.step()
            self.holders.append({n.name for n in living if n.loop.holds(now_ms)})
            assert len(self.holders[-1]) <= 1

    def _tell(self, living: list[Node], now_ms: int) -> None:
        reports = [node.report(now_ms) for node in living if not node.deaf]
        for node in living:
            for report in reports if not node.deaf else ():
                if (report.name, node.name) not in self.cut:
                    node.view.receive(report, now_ms)

    def start(self, name: str, boot: str) -> None:
        """Let a node start, with nothing remembered."""
        view = FleetView(name)
        node = Node(name, view, None, boot=boot)
        node.loop = CellLeaseLoop(
            "llm",
            name,
            boot,
            LEASE_MS,
            False,
            Gate(self.table, node),
            view,
            self.clock,
            lambda: not node.leaving,
            lambda: True,
        )
        self.nodes[name] = node

    def read(self, *names: str) -> None:
        """Let nodes read the duty's row, as their watch does at leisure."""
        for name in names:
            self.nodes[name].loop.handle_row(self.table.row)

    def holder(self) -> str | None:
        """Return who may order now."""
        return next(iter(self.holders[-1]), None)

    def without_ms(self) -> int:
        """Return how long nobody held the duty since the last look."""
        return STEP_MS * sum(not holders for holders in self.holders)


@pytest.fixture
def fleet() -> Fleet:
    """Return four nodes of which ``a`` holds the duty."""
    clock, table = ManualClock(100_000), OneRowTable()
    found = Fleet(clock, table, {})
    for name in ("a", "b", "c", "d"):
        found.start(name, f"boot-{name}")
    found.run(2_000)
    found.nodes["a"].loop.loaded = True
    found.run(1_000)
    found.read("b", "c", "d")
    for node in found.nodes.values():
        node.loop.loaded = True
    found.run(500)
    assert found.holder() == "a"
    found.holders.clear()
    return found


def lose_store(fleet: Fleet, *names: str) -> None:
    """Let the store be down for all, or refuse some nodes."""
    fleet.table.down = not names
    for node in fleet.nodes.values():
        if not names or node.name in names:
            node.loop.store_reachable = False


def test_a_holder_goes_on_through_an_outage_of_the_store(fleet):
    """The store is down for five seconds; all nodes hear each other.

    By its lease alone the holder would stop after a second, and nothing could be loaded.
    """
    lose_store(fleet)
    fleet.run(5_000)
    assert fleet.without_ms() == 0


def test_a_holder_that_the_store_refuses_is_not_replaced_while_the_others_hear_it(fleet):
    """The store turns the holder away and serves the others: its row stands still for them."""
    fleet.nodes["a"].refused = True
    fleet.nodes["a"].loop.store_reachable = False
    fleet.run(4_000)
    assert fleet.holder() == "a"
    assert fleet.without_ms() == 0


def test_a_holder_whose_claimants_are_silent_stops_with_its_lease(fleet):
    """The holder is cut off from one node that may claim: that node may do so at any moment."""
    lose_store(fleet)
    fleet.nodes["d"].runs = False
    fleet.run(4_000)
    assert fleet.holder() is None


def test_a_holder_goes_on_for_a_bounded_time(fleet):
    """A node that nobody named may claim in the end: by then the holder has stopped."""
    lose_store(fleet)
    fleet.run(LEASE_MS + UNNAMED_CLAIM_DELAY_MS)
    assert fleet.holder() is None


def test_a_holder_that_dies_is_replaced_within_two_seconds(fleet):
    """The holder's VM loses power. Its lease alone, read at leisure, took 3.4 to 4.3 s."""
    fleet.nodes["a"].runs = False
    fleet.run(2_500)
    assert fleet.holder() in ("b", "c", "d")
    assert fleet.without_ms() <= 2_000


def test_a_claimant_that_starts_again_has_heard_the_holder_before_it_may_claim(fleet):
    """It has forgotten its promise; by its own start it waits as long as the promise lasts."""
    lose_store(fleet)
    old = fleet.nodes["b"]
    fleet.start("b", "boot-b2")
    assert old.view.received_claim("llm") is not None
    fleet.read("b")
    fleet.nodes["b"].loop.loaded = True
    fleet.table.down = False
    fleet.run(PROMISE_MS + 1_000)
    assert fleet.holder() == "a"


def test_a_node_that_was_not_named_waits_for_those_that_were():
    row = CellLeaseRow("llm", "a", "boot-a", 5, 3, ("b",))
    watch = CellLeaseWatch(LeaseTiming(1_200, 120), False)
    watch.record_row(row, 10, 1_000)
    assert watch.may_claim("b", "boot-b", 2_400, True, True)
    assert not watch.may_claim("z", "boot-z", 2_400, True, True)
    assert watch.may_claim("z", "boot-z", 2_400 + UNNAMED_CLAIM_DELAY_MS, True, True)


def test_a_claimant_that_hears_the_holder_does_not_claim():
    row = CellLeaseRow("llm", "a", "boot-a", 5, 3, ("b",))
    watch = CellLeaseWatch(LeaseTiming(1_200, 120), False)
    watch.record_row(row, 10, 1_000)
    assert not watch.may_claim("b", "boot-b", 60_000, is_holder_silent=False, hears_most_peers=True)


def test_a_duty_does_not_come_back_within_the_time_of_a_lease():
    """It goes from one node to another and, released, back to the first within a second.

    Orders of both may be on their way to one runner that tells them apart by nothing.
    """
    row = CellLeaseRow("llm", "b", "boot-b", 9, 3, ("a",), is_released=True, previous_holder="a")
    watch = CellLeaseWatch(LeaseTiming(1_200, 120), False, return_delay_ms=3_000)
    watch.record_row(row, 10, 1_000)
    assert not watch.may_claim("a", "boot-a", 2_000, True, True)
    assert watch.may_claim("c", "boot-c", 2_000, True, True)
    assert watch.may_claim("a", "boot-a", 4_001, True, True)


def test_a_lease_counts_from_when_its_holder_told_it():
    """The row is read only when the holder is silent: its lease is older than the reading."""
    row = CellLeaseRow("llm", "a", "boot-a", 5, 3, ("b",))
    watch = CellLeaseWatch(LeaseTiming(1_200, 120), False)
    watch.record_row(row, 10, 5_000, announced_ms=3_000)
    assert watch.may_claim("b", "boot-b", 5_001, True, True)


def test_who_heard_a_report_without_the_claim_has_promised_nothing(fleet):
    """The holder stopped telling its claim; an answer to such a report gives it no right."""
    view = fleet.nodes["a"].view
    other = fleet.nodes["b"].report(fleet.clock.now_ms())
    assert view.acked_claim_sent_ms("b", "boot-a", "llm") is not None
    view.record_sent(999, (), fleet.clock.now_ms())
    heard = tuple(attrs.evolve(entry, sequence=999) for entry in other.acks)
    view.receive(attrs.evolve(other, sequence=5_000, acks=heard), fleet.clock.now_ms())
    assert view.acked_claim_sent_ms("b", "boot-a", "llm") is None


def test_a_released_duty_is_taken_at_once(fleet):
    """The holder stops. Its row is read as soon as it says so, not when the watch comes round."""
    node = fleet.nodes["a"]
    node.leaving = True
    node.loop.release_row(*node.loop.drop_lease())
    fleet.run(1_000)
    assert fleet.holder() in ("b", "c", "d")
    assert fleet.without_ms() <= 700


def test_a_holder_that_a_claimant_never_heard_stops_with_its_lease(fleet):
    """One link is cut one way: the holder hears a node that does not hear it, and names it."""
    fleet.cut = {("a", "b")}
    fleet.start("b", "boot-b2")
    fleet.read("b")
    fleet.nodes["b"].loop.loaded = True
    fleet.run(1_000)
    assert "b" in fleet.table.row.value["heirs"]
    fleet.nodes["a"].refused = True
    fleet.nodes["a"].loop.store_reachable = False
    fleet.run(5_000)
    assert fleet.holder() == "b"


def test_a_claimant_that_starts_again_keeps_the_promise_of_its_life_before(fleet):
    """The holder goes on by what a node said before it started again and forgot."""
    fleet.nodes["a"].refused = True
    fleet.nodes["a"].loop.store_reachable = False
    fleet.run(2_500)
    fleet.cut = {("a", "b"), ("b", "a")}
    fleet.start("b", "boot-b2")
    fleet.read("b")
    fleet.nodes["b"].loop.loaded = True
    fleet.run(1_000)
    assert fleet.holder() == "a"
    fleet.run(3_000)
    assert fleet.holder() == "b"


def test_a_renewal_without_answer_may_have_named_a_claimant(fleet):
    """A renewal that names a new node is written and not answered; then the store is lost."""
    fleet.nodes["d"].runs = False
    fleet.run(2_500)
    assert "d" not in fleet.table.row.value["heirs"]
    fleet.cut = {("a", "d"), ("d", "a")}
    fleet.start("d", "boot-d2")
    counter = fleet.table.row.value["counter"]
    while fleet.table.row.value["counter"] == counter:
        fleet.run(STEP_MS)
    fleet.cut = {("a", "d")}
    fleet.run(250)
    fleet.nodes["a"].unanswered = True
    fleet.run(300)
    assert "d" in fleet.table.row.value["heirs"]
    fleet.nodes["a"].refused = True
    fleet.nodes["a"].loop.store_reachable = False
    fleet.read("d")
    fleet.nodes["d"].loop.loaded = True
    fleet.run(4_000)
    assert fleet.holder() == "d"


def trouble(fleet: Fleet, rng: random.Random, number: int) -> None:
    """Let something happen to a node, a link or the store."""
    node = fleet.nodes[rng.choice(sorted(fleet.nodes))]
    match rng.randrange(9):
        case 0:
            node.runs = False
        case 1:
            fleet.start(node.name, f"boot-{node.name}-{number}")
            fleet.nodes[node.name].loop.loaded = True
        case 2:
            node.deaf = not node.deaf
        case 3:
            fleet.table.down = not fleet.table.down
        case 4 | 5:
            node.refused = not node.refused
            node.loop.store_reachable = not node.refused
        case 6:
            fleet.cut ^= {(node.name, rng.choice(sorted(fleet.nodes)))}
        case 7:
            fleet.cut.clear()
        case 8:
            released = node.loop.drop_lease()
            if released is not None:
                node.loop.release_row(*released)
    for reader in fleet.nodes.values():
        if not reader.refused and not fleet.table.down and rng.random() < 0.4:
            reader.loop.handle_row(fleet.table.row)


@pytest.mark.parametrize("seed", range(40))
def test_there_are_never_two_holders(fleet, seed):
    """Nodes die, start again, go deaf, one way or both; the store is down or refuses some."""
    rng = random.Random(seed)
    for number in range(60):
        trouble(fleet, rng, number)
        fleet.run(rng.choice((100, 300, 600, 1_600)))
    for name in sorted(fleet.nodes):
        fleet.start(name, f"boot-{name}-last")
        fleet.nodes[name].loop.loaded = True
    fleet.table.down = False
    fleet.cut.clear()
    fleet.run(500)
    fleet.read(*fleet.nodes)
    fleet.run(UNNAMED_CLAIM_DELAY_MS + LEASE_MS + 2_000)
    assert fleet.holder() is not None
