"""Tests of short heartbeats and work deltas, and of a large fleet that uses them.

Nodes with callers must know each other's work; of the others it is enough to know they are alive.
"""

from __future__ import annotations

import copy
import random
from functools import partial

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.fleet import codec
from monsoonflow.fleet.gossip import STARTUP_FULL_RATE_MS
from monsoonflow.fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS, HeartbeatRounds
from monsoonflow.fleet.models import (
    CellLeaseClaim,
    Heartbeat,
    NodeRecord,
    ShortHeartbeat,
    WorkDelta,
)
from monsoonflow.fleet.view import FleetView
from monsoonflow.gateway.budget import SharedRetryBudget
from monsoonflow.routing.budget import FleetRetryBudget, RetryAllowance, RetryUsage
from monsoonflow.routing.in_flight import ServerWork

LIFE = ServerLife("i-1")
START_MS = 100_000
STEP_MS = 50
LOST = 0.01
"""The share of datagrams that is lost."""

WARM_UP_MS = 25_000
"""After this time each node has received a heartbeat of each peer, even if one datagram was lost,
and the full heartbeats of the first contacts have expired."""


@attrs.define(eq=False)
class Node:
    """One node with what it knows of its peers."""

    record: NodeRecord
    view: FleetView
    rounds: HeartbeatRounds
    has_callers: bool
    phase_ms: int
    budget: FleetRetryBudget
    retries: SharedRetryBudget
    sequence: int = 0
    is_up: bool = True
    requests: int = 0
    sent_bytes: int = 0
    sent_messages: int = 0

    def next_heartbeat(self) -> Heartbeat:
        """Return its next heartbeat."""
        self.sequence += 1
        name = self.record.name
        claim = self.view.claim_of("s")
        return Heartbeat(
            self.record,
            self.sequence,
            True,
            False,
            1,
            True,
            work_by_server={LIFE: ServerWork(self.requests)} if self.requests else {},
            retry_usage_by_service={"s": RetryUsage(self.requests, 0)} if self.requests else {},
            claims=(claim,) if claim is not None and claim.holder == name else (),
            residency=None,
            is_active=self.has_callers or name in self.view.holder_and_standby_names(),
            retry_history=self.retries.retry_history(),
        )


class Fleet:
    """Nodes that exchange heartbeats in rounds, each at its own time; some datagrams are lost."""

    def __init__(self, count: int, active: int) -> None:
        self.clock = ManualClock(START_MS)
        self.rng = random.Random(3)
        self.counts_bytes = False
        self.node_by_name = {f"n{i}": self._node(f"n{i}", i < active) for i in range(count)}
        records = [node.record for node in self.node_by_name.values()]
        for node in self.node_by_name.values():
            node.view.apply_claim(CellLeaseClaim("s", "n0", 1, ("n1", "n2", "n3")))
            for record in records:
                node.view.add_record(record)

    def _node(self, name: str, has_callers: bool) -> Node:
        record = NodeRecord(name, f"b-{name}", "dc", f"{name}:1", f"{name}:2", f"{name}:3")
        phase_ms = self.rng.randrange(0, HEARTBEAT_INTERVAL_MS, STEP_MS)
        view, budget = FleetView(name), FleetRetryBudget(RetryAllowance(0.2, 430, 10_000))
        retries = SharedRetryBudget(budget, view, self.clock, partial(self._is_active, name))
        return Node(record, view, HeartbeatRounds(name), has_callers, phase_ms, budget, retries)

    def _is_active(self, name: str) -> bool:
        node = self.node_by_name[name]
        return node.has_callers or name in node.view.holder_and_standby_names()

    def run(self, for_ms: int) -> None:
        """Advance the time."""
        until_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < until_ms:
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            for node in self.node_by_name.values():
                if node.is_up and (now_ms + node.phase_ms) % HEARTBEAT_INTERVAL_MS == 0:
                    self._send_heartbeat(node, now_ms)

    def _send_heartbeat(self, node: Node, now_ms: int) -> None:
        heartbeat, view = node.next_heartbeat(), node.view
        peers = [name for name in self.node_by_name if name != node.record.name]
        active_peers = view.active_peer_names() if heartbeat.is_active else ()
        is_idle = not heartbeat.is_active and now_ms - START_MS >= STARTUP_FULL_RATE_MS
        recipients = node.rounds.next_peers(
            peers, view.holder_and_standby_names(), view.holds_cell_lease(), active_peers, is_idle
        )
        full = set(view.full_heartbeat_recipients(recipients))
        short = ShortHeartbeat.from_heartbeat(heartbeat, False)
        sizes = (0, 0)
        if self.counts_bytes:
            sizes = len(codec.encode_short_heartbeat(short)), len(codec.encode_heartbeat(heartbeat))
        for name in recipients:
            node.sent_messages += 1
            node.sent_bytes += sizes[name in full]
            peer = self.node_by_name[name]
            if not peer.is_up or self.rng.random() < LOST:
                continue
            if name in full:
                peer.view.receive(heartbeat, now_ms)
            else:
                peer.view.receive_short(short, now_ms)

    def active(self) -> list[Node]:
        """Return the nodes with callers."""
        return [node for node in self.node_by_name.values() if node.has_callers]

    def idle(self) -> list[Node]:
        """Return the nodes without callers."""
        return [node for node in self.node_by_name.values() if not node.has_callers]


@pytest.fixture(scope="module")
def warm() -> Fleet:
    """Return 195 nodes that have exchanged heartbeats for a while, 30 of them with callers."""
    fleet = Fleet(195, 30)
    fleet.run(WARM_UP_MS)
    return fleet


@pytest.fixture
def fleet(warm: Fleet) -> Fleet:
    """Return a copy of the warmed-up fleet for one test."""
    return copy.deepcopy(warm)


@pytest.mark.parametrize(("count", "active"), [(7, 7), (90, 18), (195, 30)])
def test_no_node_counts_as_silent_while_all_are_up(warm: Fleet, count: int, active: int):
    fleet = copy.deepcopy(warm) if count == len(warm.node_by_name) else Fleet(count, active)
    if fleet.clock.now_ms() < START_MS + WARM_UP_MS:
        fleet.run(WARM_UP_MS)
    for _ in range(10):
        fleet.run(500)
        now_ms = fleet.clock.now_ms()
        for node in fleet.node_by_name.values():
            assert len(node.view.heartbeats(now_ms)) == count - 1


@pytest.mark.parametrize(("count", "active"), [(90, 18), (195, 30)])
def test_nodes_with_callers_know_each_others_work(count: int, active: int):
    """With heartbeats to all peers in turn, a node's work was known after 3.4 s among 195 nodes.

    Each of thirty nodes then sent a runner as much work as it had room for.
    """
    fleet = Fleet(count, active)
    fleet.run(4_000)
    known_shares = []
    for _ in range(20):
        for node in fleet.active():
            node.requests += 1
        fleet.run(1_000)
        expected = fleet.active()[0].requests
        for node in fleet.active():
            known = node.view.work_at(LIFE, fleet.clock.now_ms()).requests
            known_shares.append(known / (expected * (active - 1)))
    assert sum(known_shares) / len(known_shares) > 0.97


def test_nodes_without_callers_exchange_few_messages(fleet: Fleet):
    """195 nodes sent 11,700 datagrams per second, and 0.3 GB per minute between data centres."""
    for node in fleet.active():
        node.requests = 5
    for node in fleet.node_by_name.values():
        node.sent_messages = node.sent_bytes = 0
    fleet.counts_bytes = True
    fleet.run(10_000)
    idle = [node for node in fleet.idle() if node.record.name not in ("n1", "n2", "n3")]
    assert max(node.sent_messages for node in idle) <= 21 * 10
    assert max(node.sent_bytes for node in idle) <= 4_000 * 10
    assert sum(node.sent_messages for node in fleet.node_by_name.values()) <= 8_500 * 10


def test_node_that_gets_its_first_callers_exchanges_work_with_other_active_nodes(fleet: Fleet):
    for node in fleet.active():
        node.requests = 2
    newcomer = fleet.idle()[-1]
    assert newcomer.view.work_at(LIFE, fleet.clock.now_ms()).requests == 0
    newcomer.has_callers, newcomer.requests = True, 1
    fleet.run(4_000)
    now_ms = fleet.clock.now_ms()
    assert newcomer.view.work_at(LIFE, now_ms).requests >= 29 * 2
    others = [node for node in fleet.active() if node is not newcomer]
    knowing = sum(node.view.work_at(LIFE, now_ms).requests == 29 * 2 + 1 for node in others)
    assert knowing >= 28


def test_work_of_a_node_is_dropped_when_it_has_no_callers_any_more(fleet: Fleet):
    node, peer = fleet.active()[5], fleet.active()[6]
    node.requests = 3
    fleet.run(4_000)
    assert peer.view.work_at(LIFE, fleet.clock.now_ms()).requests == 3
    node.has_callers, node.requests = False, 0
    fleet.run(11_000)
    assert peer.view.work_at(LIFE, fleet.clock.now_ms()).requests == 0


def test_node_that_does_not_know_its_peers_retries_keeps_to_its_share(fleet: Fleet):
    """It has just got its first callers, and thirty peers have used up the shared budget.

    It knows that they have callers, but not how many retries they have sent, so it must not assume
    that any of the budget is left beyond its share.
    """
    newcomer = fleet.idle()[-1]
    budget = FleetRetryBudget(RetryAllowance(0.2, 430, 10_000))
    retries = SharedRetryBudget(budget, newcomer.view, fleet.clock)
    allowed = sum(retries.reserve_retry("s").is_allowed for _ in range(430))
    assert 1 <= allowed <= 430 / 30


def test_idle_nodes_do_not_reduce_the_retries_of_active_nodes(fleet: Fleet):
    """The thirty nodes with callers may use the whole usable budget before they know of each other.

    It is 85 % of the allowance.
    """
    for node in fleet.active():
        node.requests = 1
    fleet.run(4_000)
    allowed = 0
    for node in fleet.active():
        while node.retries.reserve_retry("s").is_allowed:
            allowed += 1
    assert 430 * 0.85 - 40 <= allowed <= 430 * 0.85


SHORT = ShortHeartbeat(
    "b", "b-1", 7, True, False, True, False, 12, 3, (CellLeaseClaim("s", "b", 4, ("c",), 9),)
)
RECORD = NodeRecord("b", "b-1", "dc", "1.1.1.2:1", "1.1.1.2:2", "1.1.1.2:3", 2.15)


def test_short_heartbeat_is_unchanged_after_encoding_and_decoding():
    with_record = attrs.evolve(SHORT, record=RECORD)
    with_usage = attrs.evolve(SHORT, retry_usage_by_service={"s": RetryUsage(9, 2)})
    with_quarantine = attrs.evolve(SHORT, quarantined_fingerprints=("f1", "f2"))
    for short in (
        SHORT,
        with_record,
        with_usage,
        with_quarantine,
        attrs.evolve(SHORT, is_active=True, is_leaving=True),
    ):
        assert codec.decode(codec.encode_short_heartbeat(short)) == short


@pytest.mark.parametrize(
    "data",
    [
        b"[",
        b"[]",
        b'["s1"]',
        b'["s1","b","b-1",7,1,12,3,[],[],null]',
        b'["s1","b","b-1",7,1,12,3,[],[],null,{"s":[1,2,3]}]',
        b'["s2","b","b-1",7,1,12,3,[],[],null,{}]',
        b'["s1","b","b-1","x",1,12,3,[],[],null,{}]',
        b'["s1","b","b-1",7,1,12,3,[["s"]],[],null,{}]',
        b'["s1","b","b-1",7,1,12,3,[],[],["b"],{}]',
        b'["s1","b","b-1",7,1,12,3,[],{"a":1},null,{}]',
    ],
)
def test_malformed_short_heartbeat_is_rejected(data: bytes):
    assert codec.decode(data) is None


def test_truncated_short_heartbeat_is_rejected():
    data = codec.encode_short_heartbeat(attrs.evolve(SHORT, record=RECORD))
    assert all(codec.decode(data[:size]) is None for size in range(len(data)))


def test_short_heartbeat_of_a_node_without_known_record_is_ignored():
    view = FleetView("a")
    assert view.needs_full_heartbeat(SHORT)
    assert view.receive_short(SHORT, 0) is None
    assert view.heartbeats(0) == []
    view.add_record(attrs.evolve(RECORD, boot="b-0"))
    assert view.needs_full_heartbeat(SHORT)
    view.add_record(RECORD)
    assert not view.needs_full_heartbeat(SHORT)
    assert view.receive_short(SHORT, 0).record == RECORD


def test_retries_of_a_node_without_callers_count():
    """Its health checks are sometimes retried: 165 such nodes have about sixty in ten seconds."""
    view = FleetView("a")
    view.add_record(RECORD)
    view.receive_short(attrs.evolve(SHORT, retry_usage_by_service={"s": RetryUsage(9, 2)}), 0)
    budget = FleetRetryBudget(RetryAllowance(0.2, 430, 10_000))
    peer_usage = SharedRetryBudget(budget, view, ManualClock(100)).peer_usage("s")
    assert peer_usage.reported == (RetryUsage(9, 2),)
    assert (peer_usage.sharing_nodes, peer_usage.connected_nodes) == (1, 1)


def test_outdated_short_heartbeat_is_ignored():
    view = FleetView("a")
    view.add_record(RECORD)
    assert view.receive_short(SHORT, 0) is not None
    assert view.receive_short(SHORT, 50) is None
    older = attrs.evolve(SHORT, sequence=6, is_ready=False)
    assert view.receive_short(older, 60) is None
    assert view.heartbeat_of("b").is_ready


def test_restarted_node_has_no_work_of_its_earlier_boot():
    view = FleetView("a")
    work = {LIFE: ServerWork(3)}
    view.receive(Heartbeat(RECORD, 9, True, False, 1, True, work_by_server=work), 0)
    record = attrs.evolve(RECORD, boot="b-2")
    view.receive_short(
        attrs.evolve(SHORT, boot="b-2", sequence=1, is_active=True, record=record), 100
    )
    assert view.work_at(LIFE, 100).requests == 0
    assert view.heartbeat_of("b").boot == "b-2"


def test_work_delta_replaces_the_work_at_its_servers():
    """A holder receives a node's full work every 0.4 s, and its changes within milliseconds."""
    view, other = FleetView("a"), ServerLife("i-2")
    work = {LIFE: ServerWork(3, 100), other: ServerWork(1)}
    view.receive(Heartbeat(RECORD, 9, True, False, 1, True, work_by_server=work), 0)
    delta = WorkDelta("b", "b-1", 10, {LIFE: ServerWork(), other: ServerWork(4)})
    view.receive_work_delta(codec.decode(codec.encode_work_delta(delta)), 50)
    assert view.work_at(LIFE, 50).requests == 0
    assert view.work_at(other, 50).requests == 4
    assert view.heartbeat_of("b").work_by_server == {other: ServerWork(4)}


def test_work_delta_that_is_outdated_or_of_another_boot_is_ignored():
    view = FleetView("a")
    work = {LIFE: ServerWork(3)}
    heartbeat = Heartbeat(RECORD, 9, True, False, 1, True, work_by_server=work)
    view.receive_work_delta(WorkDelta("b", "b-1", 8, {LIFE: ServerWork(1)}), 0)
    assert view.work_at(LIFE, 0).requests == 0
    view.receive(heartbeat, 0)
    view.receive_work_delta(WorkDelta("b", "b-1", 9, {LIFE: ServerWork(1)}), 10)
    view.receive_work_delta(WorkDelta("b", "b-0", 12, {LIFE: ServerWork(1)}), 10)
    assert view.work_at(LIFE, 10).requests == 3
    view.receive_work_delta(WorkDelta("b", "b-1", 12, {LIFE: ServerWork(1)}), 20)
    assert not view.receive(attrs.evolve(heartbeat, sequence=11), 30)
    assert view.work_at(LIFE, 30).requests == 1


def test_work_deltas_and_heartbeats_add_up_to_the_same_totals():
    """Messages arrive in any order or are lost; the last heartbeat of each node sets its work."""
    rng = random.Random(7)
    lives = [ServerLife(f"i-{i}") for i in range(5)]
    view = FleetView("a")
    work_by_node = {f"n{i}": {} for i in range(4)}
    for step in range(500):
        name = rng.choice(sorted(work_by_node))
        record = attrs.evolve(RECORD, name=name)
        life, work = rng.choice(lives), work_by_node[name]
        work[life] = ServerWork(rng.randrange(3), rng.randrange(100))
        if rng.random() < 0.3:
            remaining = {
                life: at_server for life, at_server in work.items() if not at_server.is_empty()
            }
            view.receive(
                Heartbeat(record, step + 1, True, False, 1, True, work_by_server=remaining), step
            )
        elif rng.random() < 0.8:
            view.receive_work_delta(WorkDelta(name, "b-1", step + 1, {life: work[life]}), step)
    for name, work in work_by_node.items():
        remaining = {
            life: at_server for life, at_server in work.items() if not at_server.is_empty()
        }
        record = attrs.evolve(RECORD, name=name)
        view.receive(Heartbeat(record, 1_000, True, False, 1, True, work_by_server=remaining), 500)
    for life in lives:
        expected = sum(work.get(life, ServerWork()).requests for work in work_by_node.values())
        assert view.work_at(life, 500).requests == expected
