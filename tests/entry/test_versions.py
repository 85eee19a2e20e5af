"""Old versions of adapters: until when a request may begin on one, whoever knows what."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import gevent
import orjson
import pytest

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.clock import ManualClock
from monsoonflow.entry.cluster_state import ClusterState
from monsoonflow.entry.store_follower import StoreFollower
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.platform.outside import RowDecoders
from monsoonflow.storage.models import ChangedRow, Changes, HistoryLost, Unavailable
from tests.entry.conftest import MODEL

NAME = f"{MODEL}/a1"
CARD = NodeRecord("n0", "b", "dc", "1:1", "1:2", "1:3")


def row(version: int, row_version: int) -> ChangedRow:
    """Return the operator's word that a version is named."""
    body = {"model": MODEL, "adapter": "a1", "version": version}
    return ChangedRow(f"version/{MODEL}.a1", row_version, orjson.dumps(body))


class Feed:
    """A feed that gives the answers it was told to give."""

    def __init__(self) -> None:
        self.all = Changes((), 1)
        self.next: Changes | HistoryLost | Unavailable = Changes((), 1)

    def read_all(self, collection: str) -> Changes | Unavailable:
        """Return all rows."""
        return self.all

    def changes(
        self, collection: str, after: int, wait_ms: int, answer_ms: int
    ) -> Changes | HistoryLost | Unavailable:
        """Return the next answer."""
        return self.next


class NoTasks:
    """Tasks that never run."""

    def spawn(self, *_: object) -> None:
        """Start nothing."""


@attrs.define
class Node:
    """What a node knows, and its watch of the operator's rows."""

    clock: ManualClock
    feed: Feed
    beliefs: ClusterState
    step: Callable[[], int]


@pytest.fixture
def node() -> Node:
    clock, feed = ManualClock(100_000), Feed()
    beliefs = ClusterState(clock)
    nothing = [lambda *_: None] * 3
    following = StoreFollower(RowDecoders(), beliefs, FleetView("me"), clock, *nothing)
    followed = following.start(lambda: feed, NoTasks(), 3_000)
    return Node(clock, feed, beliefs, followed.operator.step)


def test_a_version_that_a_follower_reads_counts_from_now(node):
    node.step()
    node.clock.advance(10_000)
    node.feed.next = Changes((row(2, 2),), 2)
    node.step()
    assert node.beliefs.superseded_at_ms(NAME, 1) == node.clock.now_ms()


def test_a_node_that_starts_after_a_version_was_named_gives_the_old_one_no_new_term(node):
    """Nodes are stopped and started in turn while version 2 is named.

    Each counted the bound on version 1 from its own reading: one that started four seconds after
    the naming sent requests on version 1 for three seconds more, and left them in a runner's queue
    for four, of the five that all have together.
    """
    node.feed.all = Changes((row(2, 2),), 2)
    node.step()
    assert node.beliefs.superseded_at_ms(NAME, 1) <= node.clock.now_ms() - 60_000


@pytest.mark.parametrize("gap", [Unavailable("down"), HistoryLost()])
def test_a_version_named_in_a_gap_counts_from_the_last_answer_before_it(node, gap):
    node.step()
    node.step()
    heard_ms = node.clock.now_ms()
    node.clock.advance(1_000)
    node.feed.next = gap
    node.step()
    node.clock.advance(2_000)
    node.feed.next = node.feed.all = Changes((row(2, 9),), 9)
    node.step()
    assert node.beliefs.superseded_at_ms(NAME, 1) == heard_ms


def test_a_version_that_a_peer_tells_counts_from_when_the_peer_knew_it():
    """A report repeats news for ten seconds; whoever hears it late may not start the count anew."""
    clock = ManualClock(100_000)
    teller, hearer = ClusterState(clock), ClusterState(clock)
    teller.record_version(AdapterRef(NAME, 2), "store")
    named_ms = clock.now_ms()
    clock.advance(4_000)
    report = Heartbeat(CARD, 1, True, False, 1, True, versions=teller.recent_versions())
    hearer.handle_heartbeat(report)
    assert hearer.superseded_at_ms(NAME, 1) == named_ms


@pytest.fixture
def one(fleet):
    fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    return node


def test_what_waits_at_a_runner_that_keeps_it_never_begins_on_an_old_version(fleet, one):
    """A request waits in its runner's own queue, four seconds long, when version 2 is named.

    Its caller's time is over and its node closes the connection, but not every runner lets go of
    what waits for a caller that has gone: one began it on version 1 at 18.108 s, 5,093 ms after
    version 2 was confirmed and 230 ms after the caller's time. The runner itself has to be told.
    """
    (runner,) = fleet.servers
    fleet.generate(one, "a1", "r0")
    settings = one.daemon.settings
    bounds = attrs.evolve(settings.bounds, version_ms=1_000)
    one.daemon.settings = attrs.evolve(settings, bounds=bounds)
    runner.faults.queue_ms, runner.faults.keeps_left = 2_000, True
    told = {"X_Model": NAME, "X_Token_Count": "100,20"}
    waiting = gevent.spawn(fleet.ask, one, "/read/x", "r1", b"prompt", deadline_ms=900, **told)
    gevent.sleep(0.2)
    runner.newest["a1"] = 2
    fleet.store.put("op", f"version/{MODEL}.a1", {"model": MODEL, "adapter": "a1", "version": 2})
    waiting.get()
    gevent.sleep(1.5)
    assert ("r1", 1) not in runner.begun
    assert runner.adapters.get("a1") != 1
