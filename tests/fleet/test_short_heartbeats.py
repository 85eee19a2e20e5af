"""Nodes of a large fleet: those with callers know each other's work, the rest that they live."""

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
"""Share of datagrams that is lost."""

WARM_MS = 25_000
"""After it each has heard each, also where one datagram was lost, and what was told whole at the
first meeting counts no longer."""


@attrs.define(eq=False)
class Node:
    """One node with what it knows of the others."""

    card: NodeRecord
    view: FleetView
    rounds: HeartbeatRounds
    active: bool
    phase_ms: int
    budget: FleetRetryBudget
    retries: SharedRetryBudget
    sequence: int = 0
    up: bool = True
    requests: int = 0
    sent_bytes: int = 0
    sent: int = 0

    def report(self) -> Heartbeat:
        """Return its word about itself."""
        self.sequence += 1
        name = self.card.name
        claim = self.view.claim_of("s")
        return Heartbeat(
            self.card,
            self.sequence,
            True,
            False,
            1,
            True,
            work_by_server={LIFE: ServerWork(self.requests)} if self.requests else {},
            retry_usage_by_service={"s": RetryUsage(self.requests, 0)} if self.requests else {},
            claims=(claim,) if claim is not None and claim.holder == name else (),
            residency=None,
            is_active=self.active or name in self.view.holder_and_standby_names(),
            retry_history=self.retries.retry_history(),
        )


class Fleet:
    """Nodes that tell each other in rounds, each at its own moment; some datagrams are lost."""

    def __init__(self, count: int, active: int) -> None:
        self.clock = ManualClock(START_MS)
        self.rng = random.Random(3)
        self.measures = False
        self.by_name = {f"n{i}": self._node(f"n{i}", i < active) for i in range(count)}
        cards = [node.card for node in self.by_name.values()]
        for node in self.by_name.values():
            node.view.apply_claim(CellLeaseClaim("s", "n0", 1, ("n1", "n2", "n3")))
            for card in cards:
                node.view.add_record(card)

    def _node(self, name: str, active: bool) -> Node:
        card = NodeRecord(name, f"b-{name}", "dc", f"{name}:1", f"{name}:2", f"{name}:3")
        phase_ms = self.rng.randrange(0, HEARTBEAT_INTERVAL_MS, STEP_MS)
        view, budget = FleetView(name), FleetRetryBudget(RetryAllowance(0.2, 430, 10_000))
        retries = SharedRetryBudget(budget, view, self.clock, partial(self._is_active, name))
        return Node(card, view, HeartbeatRounds(name), active, phase_ms, budget, retries)

    def _is_active(self, name: str) -> bool:
        node = self.by_name[name]
        return node.active or name in node.view.holder_and_standby_names()

    def run(self, for_ms: int) -> None:
        """Let time pass."""
        until_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < until_ms:
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            for node in self.by_name.values():
                if node.up and (now_ms + node.phase_ms) % HEARTBEAT_INTERVAL_MS == 0:
                    self._tell(node, now_ms)

    def _tell(self, node: Node, now_ms: int) -> None:
        report, view = node.report(), node.view
        others = [name for name in self.by_name if name != node.card.name]
        active = view.active_peer_names() if report.is_active else ()
        idle = not report.is_active and now_ms - START_MS >= STARTUP_FULL_RATE_MS
        told = node.rounds.next_peers(
            others, view.holder_and_standby_names(), view.holds_cell_lease(), active, idle
        )
        whole = set(view.full_heartbeat_recipients(told))
        sign = ShortHeartbeat.from_heartbeat(report, False)
        sizes = (0, 0)
        if self.measures:
            sizes = len(codec.encode_short_heartbeat(sign)), len(codec.encode_heartbeat(report))
        for name in told:
            node.sent += 1
            node.sent_bytes += sizes[name in whole]
            other = self.by_name[name]
            if not other.up or self.rng.random() < LOST:
                continue
            if name in whole:
                other.view.receive(report, now_ms)
            else:
                other.view.receive_short(sign, now_ms)

    def active(self) -> list[Node]:
        """Return the nodes with callers."""
        return [node for node in self.by_name.values() if node.active]

    def idle(self) -> list[Node]:
        """Return the nodes without."""
        return [node for node in self.by_name.values() if not node.active]


@pytest.fixture(scope="module")
def warm() -> Fleet:
    """Return 195 nodes that have told each other for a while, 30 of them with callers."""
    fleet = Fleet(195, 30)
    fleet.run(WARM_MS)
    return fleet


@pytest.fixture
def fleet(warm: Fleet) -> Fleet:
    """Return 195 nodes of a test's own."""
    return copy.deepcopy(warm)


@pytest.mark.parametrize(("count", "active"), [(7, 7), (90, 18), (195, 30)])
def test_no_node_counts_as_silent_while_all_are_up(warm: Fleet, count: int, active: int):
    fleet = copy.deepcopy(warm) if count == len(warm.by_name) else Fleet(count, active)
    if fleet.clock.now_ms() < START_MS + WARM_MS:
        fleet.run(WARM_MS)
    for _ in range(10):
        fleet.run(500)
        now_ms = fleet.clock.now_ms()
        for node in fleet.by_name.values():
            assert len(node.view.heartbeats(now_ms)) == count - 1


@pytest.mark.parametrize(("count", "active"), [(90, 18), (195, 30)])
def test_nodes_with_callers_know_each_others_work(count: int, active: int):
    """Told in turn with all the others, a node's work was 3.4 s old among 195.

    A runner got from thirty nodes what each of them alone would have found room for.
    """
    fleet = Fleet(count, active)
    fleet.run(4_000)
    ages_ms = []
    for _ in range(20):
        for node in fleet.active():
            node.requests += 1
        fleet.run(1_000)
        want = fleet.active()[0].requests
        for node in fleet.active():
            seen = node.view.work_at(LIFE, fleet.clock.now_ms()).requests
            ages_ms.append(seen / (want * (active - 1)))
    assert sum(ages_ms) / len(ages_ms) > 0.97


def test_the_rest_hear_little_and_say_little(fleet: Fleet):
    """195 nodes sent 11,700 datagrams a second, with 0.3 GB between data centres in a minute."""
    for node in fleet.active():
        node.requests = 5
    for node in fleet.by_name.values():
        node.sent = node.sent_bytes = 0
    fleet.measures = True
    fleet.run(10_000)
    idle = [node for node in fleet.idle() if node.card.name not in ("n1", "n2", "n3")]
    assert max(node.sent for node in idle) <= 21 * 10
    assert max(node.sent_bytes for node in idle) <= 4_000 * 10
    assert sum(node.sent for node in fleet.by_name.values()) <= 8_500 * 10


def test_a_node_that_gets_callers_is_known_to_the_others_and_knows_them(fleet: Fleet):
    for node in fleet.active():
        node.requests = 2
    newcomer = fleet.idle()[-1]
    assert newcomer.view.work_at(LIFE, fleet.clock.now_ms()).requests == 0
    newcomer.active, newcomer.requests = True, 1
    fleet.run(4_000)
    now_ms = fleet.clock.now_ms()
    assert newcomer.view.work_at(LIFE, now_ms).requests >= 29 * 2
    others = [node for node in fleet.active() if node is not newcomer]
    knowing = sum(node.view.work_at(LIFE, now_ms).requests == 29 * 2 + 1 for node in others)
    assert knowing >= 28


def test_what_a_node_had_in_progress_ends_with_its_callers(fleet: Fleet):
    leaver, other = fleet.active()[5], fleet.active()[6]
    leaver.requests = 3
    fleet.run(4_000)
    assert other.view.work_at(LIFE, fleet.clock.now_ms()).requests == 3
    leaver.active, leaver.requests = False, 0
    fleet.run(11_000)
    assert other.view.work_at(LIFE, fleet.clock.now_ms()).requests == 0


def test_a_node_that_was_told_no_retries_keeps_to_its_share(fleet: Fleet):
    """It has just got its first callers, and thirty others have used up what all share.

    It knows that they have callers, not what they have spent: it counts them as unheard.
    """
    newcomer = fleet.idle()[-1]
    budget = FleetRetryBudget(RetryAllowance(0.2, 430, 10_000))
    retries = SharedRetryBudget(budget, newcomer.view, fleet.clock)
    allowed = sum(retries.reserve_retry("s").is_allowed for _ in range(430))
    assert 1 <= allowed <= 430 / 30


def test_idle_nodes_keep_no_retries_from_those_that_need_them(fleet: Fleet):
    """All thirty with callers may spend all that is used, before they hear of each other."""
    for node in fleet.active():
        node.requests = 1
    fleet.run(4_000)
    allowed = 0
    for node in fleet.active():
        while node.retries.reserve_retry("s").is_allowed:
            allowed += 1
    assert 430 * 0.85 - 40 <= allowed <= 430 * 0.85


SIGN = ShortHeartbeat(
    "b", "b-1", 7, True, False, True, False, 12, 3, (CellLeaseClaim("s", "b", 4, ("c",), 9),)
)
CARD = NodeRecord("b", "b-1", "dc", "1.1.1.2:1", "1.1.1.2:2", "1.1.1.2:3", 2.15)


def test_a_sign_of_life_survives_the_wire():
    with_card = attrs.evolve(SIGN, record=CARD)
    spent = attrs.evolve(SIGN, retry_usage_by_service={"s": RetryUsage(9, 2)})
    held = attrs.evolve(SIGN, quarantined_fingerprints=("f1", "f2"))
    for sign in (SIGN, with_card, spent, held, attrs.evolve(SIGN, is_active=True, is_leaving=True)):
        assert codec.decode(codec.encode_short_heartbeat(sign)) == sign


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
def test_a_spoilt_sign_is_none(data: bytes):
    assert codec.decode(data) is None


def test_a_cut_sign_is_none():
    whole = codec.encode_short_heartbeat(attrs.evolve(SIGN, record=CARD))
    assert all(codec.decode(whole[:size]) is None for size in range(len(whole)))


def test_a_sign_of_a_node_that_nobody_knows_changes_nothing():
    view = FleetView("a")
    assert view.needs_full_heartbeat(SIGN)
    assert view.receive_short(SIGN, 0) is None
    assert view.heartbeats(0) == []
    view.add_record(attrs.evolve(CARD, boot="b-0"))
    assert view.needs_full_heartbeat(SIGN)
    view.add_record(CARD)
    assert not view.needs_full_heartbeat(SIGN)
    assert view.receive_short(SIGN, 0).record == CARD


def test_retries_of_a_node_without_callers_count():
    """Its checks are sent once more now and then: 165 such nodes have some sixty in ten seconds."""
    view = FleetView("a")
    view.add_record(CARD)
    view.receive_short(attrs.evolve(SIGN, retry_usage_by_service={"s": RetryUsage(9, 2)}), 0)
    budget = FleetRetryBudget(RetryAllowance(0.2, 430, 10_000))
    others = SharedRetryBudget(budget, view, ManualClock(100)).peer_usage("s")
    assert others.reported == (RetryUsage(9, 2),)
    assert (others.sharing_nodes, others.connected_nodes) == (1, 1)


def test_an_overtaken_sign_is_dropped():
    view = FleetView("a")
    view.add_record(CARD)
    assert view.receive_short(SIGN, 0) is not None
    assert view.receive_short(SIGN, 50) is None
    older = attrs.evolve(SIGN, sequence=6, is_ready=False)
    assert view.receive_short(older, 60) is None
    assert view.heartbeat_of("b").is_ready


def test_a_restarted_node_has_nothing_of_its_former_life():
    view = FleetView("a")
    work = {LIFE: ServerWork(3)}
    view.receive(Heartbeat(CARD, 9, True, False, 1, True, work_by_server=work), 0)
    card = attrs.evolve(CARD, boot="b-2")
    view.receive_short(attrs.evolve(SIGN, boot="b-2", sequence=1, is_active=True, record=card), 100)
    assert view.work_at(LIFE, 100).requests == 0
    assert view.heartbeat_of("b").boot == "b-2"


def test_a_change_of_work_replaces_what_it_names():
    """A holder reads a node's whole work each 0.4 s, and its changes within a moment."""
    view, other = FleetView("a"), ServerLife("i-2")
    work = {LIFE: ServerWork(3, 100), other: ServerWork(1)}
    view.receive(Heartbeat(CARD, 9, True, False, 1, True, work_by_server=work), 0)
    change = WorkDelta("b", "b-1", 10, {LIFE: ServerWork(), other: ServerWork(4)})
    view.receive_work_delta(codec.decode(codec.encode_work_delta(change)), 50)
    assert view.work_at(LIFE, 50).requests == 0
    assert view.work_at(other, 50).requests == 4
    assert view.heartbeat_of("b").work_by_server == {other: ServerWork(4)}


def test_a_change_that_was_overtaken_or_belongs_to_another_life_changes_nothing():
    view = FleetView("a")
    work = {LIFE: ServerWork(3)}
    report = Heartbeat(CARD, 9, True, False, 1, True, work_by_server=work)
    view.receive_work_delta(WorkDelta("b", "b-1", 8, {LIFE: ServerWork(1)}), 0)
    assert view.work_at(LIFE, 0).requests == 0
    view.receive(report, 0)
    view.receive_work_delta(WorkDelta("b", "b-1", 9, {LIFE: ServerWork(1)}), 10)
    view.receive_work_delta(WorkDelta("b", "b-0", 12, {LIFE: ServerWork(1)}), 10)
    assert view.work_at(LIFE, 10).requests == 3
    view.receive_work_delta(WorkDelta("b", "b-1", 12, {LIFE: ServerWork(1)}), 20)
    assert not view.receive(attrs.evolve(report, sequence=11), 30)
    assert view.work_at(LIFE, 30).requests == 1


def test_changes_and_whole_words_come_to_the_same_sum():
    """Words in any order, lost or not: the last whole word of each node settles the sum."""
    rng = random.Random(7)
    lives = [ServerLife(f"i-{i}") for i in range(5)]
    view = FleetView("a")
    work_by_node = {f"n{i}": {} for i in range(4)}
    for step in range(500):
        name = rng.choice(sorted(work_by_node))
        card = attrs.evolve(CARD, name=name)
        life, work = rng.choice(lives), work_by_node[name]
        work[life] = ServerWork(rng.randrange(3), rng.randrange(100))
        if rng.random() < 0.3:
            told = {life: at for life, at in work.items() if not at.is_empty()}
            view.receive(Heartbeat(card, step + 1, True, False, 1, True, work_by_server=told), step)
        elif rng.random() < 0.8:
            view.receive_work_delta(WorkDelta(name, "b-1", step + 1, {life: work[life]}), step)
    for name, work in work_by_node.items():
        told = {life: at for life, at in work.items() if not at.is_empty()}
        card = attrs.evolve(CARD, name=name)
        view.receive(Heartbeat(card, 1_000, True, False, 1, True, work_by_server=told), 500)
    for life in lives:
        want = sum(work.get(life, ServerWork()).requests for work in work_by_node.values())
        assert view.work_at(life, 500).requests == want
