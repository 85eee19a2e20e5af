"""Cell leases where runners check no fencing tokens: never two holders, and seldom none."""

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
    """One node: its view, its lease loop, and its faults.

    :ivar is_isolated: sends and receives no heartbeats.
    :ivar is_refused: the store refuses it.
    :ivar loses_answers: the store applies its writes, but the answers are lost.
    """

    name: str
    view: FleetView
    lease_loop: CellLeaseLoop
    is_running: bool = True
    is_isolated: bool = False
    sequence: int = 0
    is_leaving: bool = False
    boot_id: str = ""
    is_refused: bool = False
    loses_answers: bool = False

    def heartbeat(self, now_ms: int) -> Heartbeat:
        """Return the node's next heartbeat."""
        self.sequence += 1
        claim = self.lease_loop.current_claim()
        claims = () if claim is None else (claim,)
        self.view.record_sent(self.sequence, claims, now_ms)
        record = NodeRecord(self.name, self.boot_id, "dc", "1:1", "1:2", "1:3")
        return Heartbeat(
            record,
            self.sequence,
            not self.is_leaving,
            self.is_leaving,
            1,
            True,
            claims=claims,
            acks=self.view.holder_acks(),
        )


@attrs.define
class NodeTable:
    """The table as one node reaches it: the store may refuse this node and serve the others."""

    table: OneRowTable
    node: Node

    def get(self, key: str) -> object:
        """Return the row, if the node reaches it."""
        if self.node.is_refused or self.table.is_down:
            return Unavailable("refused")
        return self.table.get(key)

    def era(self) -> int:
        """Return the era of the store."""
        return self.table.era()

    def commit(self, transaction: object) -> object:
        """Write the row, unless the node is refused."""
        if self.node.is_refused:
            return Unavailable("refused")
        result = self.table.commit(transaction)
        return Unavailable("no answer") if self.node.loses_answers else result


@attrs.define
class Fleet:
    """Nodes that share one table, in virtual time.

    :ivar holders: the nodes that held the lease at each step.
    :ivar cut_links: links, as sender and receiver, that lose all heartbeats.
    """

    clock: ManualClock
    table: OneRowTable
    nodes: dict[str, Node]
    holders: list[set[str]] = attrs.Factory(list)
    cut_links: set[tuple[str, str]] = attrs.Factory(set)

    def run(self, for_ms: int) -> None:
        """Advance the time: heartbeats every 200 ms, a step of the lease loops every 100 ms."""
        for _ in range(for_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            running = [node for node in self.nodes.values() if node.is_running]
            if now_ms % 200 == 0:
                self._exchange_heartbeats(running, now_ms)
            for node in running if now_ms % 100 == 0 else ():
                node.lease_loop.step()
            self.holders.append({n.name for n in running if n.lease_loop.holds(now_ms)})
            assert len(self.holders[-1]) <= 1

    def _exchange_heartbeats(self, running: list[Node], now_ms: int) -> None:
        heartbeats = [node.heartbeat(now_ms) for node in running if not node.is_isolated]
        for node in running:
            for heartbeat in heartbeats if not node.is_isolated else ():
                if (heartbeat.name, node.name) not in self.cut_links:
                    node.view.receive(heartbeat, now_ms)

    def start(self, name: str, boot_id: str) -> None:
        """Start a node that remembers nothing of its previous run."""
        view = FleetView(name)
        node = Node(name, view, None, boot_id=boot_id)
        node.lease_loop = CellLeaseLoop(
            "llm",
            name,
            boot_id,
            LEASE_MS,
            False,
            NodeTable(self.table, node),
            view,
            self.clock,
            lambda: not node.is_leaving,
            lambda: True,
        )
        self.nodes[name] = node

    def read(self, *names: str) -> None:
        """Read the lease row at these nodes, as their store watches do now and then."""
        for name in names:
            self.nodes[name].lease_loop.handle_row(self.table.row)

    def holder(self) -> str | None:
        """Return the node that may send orders now."""
        return next(iter(self.holders[-1]), None)

    def without_holder_ms(self) -> int:
        """Return how long nobody held the lease since ``holders`` was cleared."""
        return STEP_MS * sum(not holders for holders in self.holders)


@pytest.fixture
def fleet() -> Fleet:
    """Return four nodes of which ``a`` holds the lease."""
    clock, table = ManualClock(100_000), OneRowTable()
    new_fleet = Fleet(clock, table, {})
    for name in ("a", "b", "c", "d"):
        new_fleet.start(name, f"boot-{name}")
    new_fleet.run(2_000)
    new_fleet.nodes["a"].lease_loop.loaded = True
    new_fleet.run(1_000)
    new_fleet.read("b", "c", "d")
    for node in new_fleet.nodes.values():
        node.lease_loop.loaded = True
    new_fleet.run(500)
    assert new_fleet.holder() == "a"
    new_fleet.holders.clear()
    return new_fleet


def lose_store(fleet: Fleet, *names: str) -> None:
    """Make the store unavailable to some nodes, or to all when none are given."""
    fleet.table.is_down = not names
    for node in fleet.nodes.values():
        if not names or node.name in names:
            node.lease_loop.store_reachable = False


def test_a_holder_continues_through_a_store_outage(fleet):
    """The store is down for five seconds; all nodes receive each other's heartbeats.

    By its lease alone the holder would stop after a second, and nothing could be loaded.
    """
    lose_store(fleet)
    fleet.run(5_000)
    assert fleet.without_holder_ms() == 0


def test_a_holder_that_the_store_refuses_is_not_replaced_while_peers_hear_from_it(fleet):
    """The store refuses the holder and serves the others, which see no renewals in the row."""
    fleet.nodes["a"].is_refused = True
    fleet.nodes["a"].lease_loop.store_reachable = False
    fleet.run(4_000)
    assert fleet.holder() == "a"
    assert fleet.without_holder_ms() == 0


def test_a_holder_stops_with_its_lease_when_a_candidate_is_silent(fleet):
    """The holder is cut off from one claim candidate, which may claim at any moment."""
    lose_store(fleet)
    fleet.nodes["d"].is_running = False
    fleet.run(4_000)
    assert fleet.holder() is None


def test_a_holder_continues_without_the_store_for_a_bounded_time(fleet):
    """A node that is not a named candidate may claim later, once the holder has stopped."""
    lose_store(fleet)
    fleet.run(LEASE_MS + UNNAMED_CLAIM_DELAY_MS)
    assert fleet.holder() is None


def test_a_holder_that_dies_is_replaced_within_two_seconds(fleet):
    """The holder's VM loses power. By its lease alone, read now and then, it took 3.4 to 4.3 s."""
    fleet.nodes["a"].is_running = False
    fleet.run(2_500)
    assert fleet.holder() in ("b", "c", "d")
    assert fleet.without_holder_ms() <= 2_000


def test_a_restarted_candidate_hears_from_the_holder_before_it_may_claim(fleet):
    """The node has forgotten its promise, so it waits from its start as long as a promise lasts."""
    lose_store(fleet)
    old = fleet.nodes["b"]
    fleet.start("b", "boot-b2")
    assert old.view.received_claim("llm") is not None
    fleet.read("b")
    fleet.nodes["b"].lease_loop.loaded = True
    fleet.table.is_down = False
    fleet.run(PROMISE_MS + 1_000)
    assert fleet.holder() == "a"


def test_an_unnamed_node_waits_for_the_named_candidates():
    row = CellLeaseRow("llm", "a", "boot-a", 5, 3, ("b",))
    watch = CellLeaseWatch(LeaseTiming(1_200, 120), False)
    watch.record_row(row, 10, 1_000)
    assert watch.may_claim("b", "boot-b", 2_400, True, True)
    assert not watch.may_claim("z", "boot-z", 2_400, True, True)
    assert watch.may_claim("z", "boot-z", 2_400 + UNNAMED_CLAIM_DELAY_MS, True, True)


def test_a_candidate_that_hears_from_the_holder_does_not_claim():
    row = CellLeaseRow("llm", "a", "boot-a", 5, 3, ("b",))
    watch = CellLeaseWatch(LeaseTiming(1_200, 120), False)
    watch.record_row(row, 10, 1_000)
    assert not watch.may_claim("b", "boot-b", 60_000, is_holder_silent=False, hears_most_peers=True)


def test_a_lease_does_not_return_to_a_node_within_its_duration():
    """The lease moves to another node and, once released, could return within a second.

    Orders of both may be on their way to one runner, which can't tell them apart.
    """
    row = CellLeaseRow("llm", "b", "boot-b", 9, 3, ("a",), is_released=True, previous_holder="a")
    watch = CellLeaseWatch(LeaseTiming(1_200, 120), False, return_delay_ms=3_000)
    watch.record_row(row, 10, 1_000)
    assert not watch.may_claim("a", "boot-a", 2_000, True, True)
    assert watch.may_claim("c", "boot-c", 2_000, True, True)
    assert watch.may_claim("a", "boot-a", 4_001, True, True)


def test_a_lease_is_counted_from_when_its_holder_announced_it():
    """The row is read only once the holder is silent: its lease is older than that read."""
    row = CellLeaseRow("llm", "a", "boot-a", 5, 3, ("b",))
    watch = CellLeaseWatch(LeaseTiming(1_200, 120), False)
    watch.record_row(row, 10, 5_000, announced_ms=3_000)
    assert watch.may_claim("b", "boot-b", 5_001, True, True)


def test_an_ack_of_a_heartbeat_without_the_claim_is_no_promise(fleet):
    """The holder no longer announces its claim; an ack of such a heartbeat gives it no right."""
    view = fleet.nodes["a"].view
    ack_heartbeat = fleet.nodes["b"].heartbeat(fleet.clock.now_ms())
    assert view.acked_claim_sent_ms("b", "boot-a", "llm") is not None
    view.record_sent(999, (), fleet.clock.now_ms())
    acks = tuple(attrs.evolve(entry, sequence=999) for entry in ack_heartbeat.acks)
    view.receive(attrs.evolve(ack_heartbeat, sequence=5_000, acks=acks), fleet.clock.now_ms())
    assert view.acked_claim_sent_ms("b", "boot-a", "llm") is None


def test_a_released_lease_is_claimed_at_once(fleet):
    """The holder stops. Peers read its row as soon as it announces that, not at the next poll."""
    node = fleet.nodes["a"]
    node.is_leaving = True
    node.lease_loop.release_row(*node.lease_loop.drop_lease())
    fleet.run(1_000)
    assert fleet.holder() in ("b", "c", "d")
    assert fleet.without_holder_ms() <= 700


def test_a_holder_that_a_candidate_never_heard_from_stops_with_its_lease(fleet):
    """One link is cut in one direction: the holder hears from a node that does not hear from it."""
    fleet.cut_links = {("a", "b")}
    fleet.start("b", "boot-b2")
    fleet.read("b")
    fleet.nodes["b"].lease_loop.loaded = True
    fleet.run(1_000)
    assert "b" in fleet.table.row.value["heirs"]
    fleet.nodes["a"].is_refused = True
    fleet.nodes["a"].lease_loop.store_reachable = False
    fleet.run(5_000)
    assert fleet.holder() == "b"


def test_a_restarted_candidate_keeps_the_promise_of_its_previous_run(fleet):
    """The holder continues by what a node promised before it restarted and forgot."""
    fleet.nodes["a"].is_refused = True
    fleet.nodes["a"].lease_loop.store_reachable = False
    fleet.run(2_500)
    fleet.cut_links = {("a", "b"), ("b", "a")}
    fleet.start("b", "boot-b2")
    fleet.read("b")
    fleet.nodes["b"].lease_loop.loaded = True
    fleet.run(1_000)
    assert fleet.holder() == "a"
    fleet.run(3_000)
    assert fleet.holder() == "b"


def test_a_renewal_without_an_answer_may_have_named_a_candidate(fleet):
    """A renewal that names a new candidate is written but not answered; then the store is lost."""
    fleet.nodes["d"].is_running = False
    fleet.run(2_500)
    assert "d" not in fleet.table.row.value["heirs"]
    fleet.cut_links = {("a", "d"), ("d", "a")}
    fleet.start("d", "boot-d2")
    counter = fleet.table.row.value["counter"]
    while fleet.table.row.value["counter"] == counter:
        fleet.run(STEP_MS)
    fleet.cut_links = {("a", "d")}
    fleet.run(250)
    fleet.nodes["a"].loses_answers = True
    fleet.run(300)
    assert "d" in fleet.table.row.value["heirs"]
    fleet.nodes["a"].is_refused = True
    fleet.nodes["a"].lease_loop.store_reachable = False
    fleet.read("d")
    fleet.nodes["d"].lease_loop.loaded = True
    fleet.run(4_000)
    assert fleet.holder() == "d"


def cause_random_fault(fleet: Fleet, rng: random.Random, fault_number: int) -> None:
    """Cause a random fault at a node, a link or the store, or end one."""
    node = fleet.nodes[rng.choice(sorted(fleet.nodes))]
    match rng.randrange(9):
        case 0:
            node.is_running = False
        case 1:
            fleet.start(node.name, f"boot-{node.name}-{fault_number}")
            fleet.nodes[node.name].lease_loop.loaded = True
        case 2:
            node.is_isolated = not node.is_isolated
        case 3:
            fleet.table.is_down = not fleet.table.is_down
        case 4 | 5:
            node.is_refused = not node.is_refused
            node.lease_loop.store_reachable = not node.is_refused
        case 6:
            fleet.cut_links ^= {(node.name, rng.choice(sorted(fleet.nodes)))}
        case 7:
            fleet.cut_links.clear()
        case 8:
            released = node.lease_loop.drop_lease()
            if released is not None:
                node.lease_loop.release_row(*released)
    for reader in fleet.nodes.values():
        if not reader.is_refused and not fleet.table.is_down and rng.random() < 0.4:
            reader.lease_loop.handle_row(fleet.table.row)


@pytest.mark.parametrize("seed", range(40))
def test_there_are_never_two_holders(fleet, seed):
    """Nodes die, restart or lose links, one way or both ways; the store is down or refuses some."""
    rng = random.Random(seed)
    for fault_number in range(60):
        cause_random_fault(fleet, rng, fault_number)
        fleet.run(rng.choice((100, 300, 600, 1_600)))
    for name in sorted(fleet.nodes):
        fleet.start(name, f"boot-{name}-last")
        fleet.nodes[name].lease_loop.loaded = True
    fleet.table.is_down = False
    fleet.cut_links.clear()
    fleet.run(500)
    fleet.read(*fleet.nodes)
    fleet.run(UNNAMED_CLAIM_DELAY_MS + LEASE_MS + 2_000)
    assert fleet.holder() is not None


@pytest.mark.parametrize("seed", range(30))
def test_there_are_never_two_holders_when_the_store_returns_from_copies(fleet, seed):
    """As before, and the store forgets its last seconds; numbers that were forgotten stay used."""
    rng = random.Random(seed)
    epochs_by_holder: dict[str, set[int]] = {}
    copy = fleet.table.row
    for fault_number in range(60):
        cause_random_fault(fleet, rng, fault_number)
        copy = rng.choice((copy, fleet.table.row))
        if rng.random() < 0.3:
            fleet.table.return_from(copy)
        fleet.run(rng.choice((100, 300, 600, 1_600)))
        for node in fleet.nodes.values():
            if node.lease_loop.holds(fleet.clock.now_ms()):
                epoch = node.lease_loop.held_lease.row.epoch
                epochs_by_holder.setdefault(node.boot_id, set()).add(epoch)
    epochs = [epoch for held in epochs_by_holder.values() for epoch in held]
    assert len(epochs) == len(set(epochs))
