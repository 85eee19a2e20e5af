"""Until when a request may start on an old adapter version, however a node learns of a new one."""

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
RECORD = NodeRecord("n0", "b", "dc", "1:1", "1:2", "1:3")


def version_row(version: int, row_version: int) -> ChangedRow:
    """Return the operator's row that publishes a version."""
    body = {"model": MODEL, "adapter": "a1", "version": version}
    return ChangedRow(f"version/{MODEL}.a1", row_version, orjson.dumps(body))


class Feed:
    """A feed that returns the answers set in its attributes."""

    def __init__(self) -> None:
        self.all_rows = Changes((), 1)
        self.next_changes: Changes | HistoryLost | Unavailable = Changes((), 1)

    def read_all(self, collection: str) -> Changes | Unavailable:
        """Return all rows."""
        return self.all_rows

    def changes(
        self, collection: str, after: int, wait_ms: int, answer_timeout_ms: int
    ) -> Changes | HistoryLost | Unavailable:
        """Return the next answer."""
        return self.next_changes


class NoTasks:
    """Tasks that never run."""

    def spawn(self, *_: object) -> None:
        """Start nothing."""


@attrs.define
class Node:
    """What a node knows, and the step of its watch of the operator's rows."""

    clock: ManualClock
    feed: Feed
    cluster_state: ClusterState
    step: Callable[[], int]


@pytest.fixture
def node() -> Node:
    clock, feed = ManualClock(100_000), Feed()
    cluster_state = ClusterState(clock)
    no_callbacks = [lambda *_: None] * 3
    store_follower = StoreFollower(
        RowDecoders(), cluster_state, FleetView("me"), clock, *no_callbacks
    )
    store_watches = store_follower.start(lambda: feed, NoTasks(), 3_000)
    return Node(clock, feed, cluster_state, store_watches.operator.request_once)


def test_a_version_read_from_the_feed_counts_from_now(node):
    node.step()
    node.clock.advance(10_000)
    node.feed.next_changes = Changes((version_row(2, 2),), 2)
    node.step()
    assert node.cluster_state.superseded_at_ms(NAME, 1) == node.clock.now_ms()


def test_a_node_that_starts_after_a_publication_does_not_extend_the_old_version(node):
    """Nodes are restarted in turn while version 2 is published.

    Each counted the bound on version 1 from its own first read. One that started four seconds after
    the publication sent requests on version 1 for three seconds more and left them in a runner's
    queue for four, although the bound on all of this together is five seconds.
    """
    node.feed.all_rows = Changes((version_row(2, 2),), 2)
    node.step()
    assert node.cluster_state.superseded_at_ms(NAME, 1) <= node.clock.now_ms() - 60_000


@pytest.mark.parametrize("gap", [Unavailable("down"), HistoryLost()])
def test_a_version_published_in_a_gap_counts_from_the_last_answer_before_it(node, gap):
    node.step()
    node.step()
    last_answer_ms = node.clock.now_ms()
    node.clock.advance(1_000)
    node.feed.next_changes = gap
    node.step()
    node.clock.advance(2_000)
    node.feed.next_changes = node.feed.all_rows = Changes((version_row(2, 9),), 9)
    node.step()
    assert node.cluster_state.superseded_at_ms(NAME, 1) == last_answer_ms


def test_a_version_that_a_peer_announces_counts_from_when_the_peer_learnt_it():
    """Heartbeats repeat a version for ten seconds; a late one must not restart the count."""
    clock = ManualClock(100_000)
    sender, receiver = ClusterState(clock), ClusterState(clock)
    sender.record_version(AdapterRef(NAME, 2), "store")
    published_ms = clock.now_ms()
    clock.advance(4_000)
    heartbeat = Heartbeat(RECORD, 1, True, False, 1, True, versions=sender.recent_versions())
    receiver.handle_heartbeat(heartbeat)
    assert receiver.superseded_at_ms(NAME, 1) == published_ms


@pytest.fixture
def entry_node(fleet):
    fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    return node


def test_a_request_that_a_runner_keeps_queued_never_starts_on_an_old_version(fleet, entry_node):
    """A request waits in its runner's queue, four seconds long, when version 2 is published.

    Its deadline passes and its node closes the connection, but not every runner drops queued
    requests of disconnected callers: one started it on version 1 at 18.108 s, 5,093 ms after
    version 2 was confirmed and 230 ms after the deadline. An order to the runner has to stop it.
    """
    (runner,) = fleet.servers
    fleet.generate(entry_node, "a1", "r0")
    settings = entry_node.daemon.settings
    bounds = attrs.evolve(settings.bounds, version_ms=1_000)
    entry_node.daemon.settings = attrs.evolve(settings, bounds=bounds)
    runner.faults.queue_ms, runner.faults.keeps_left = 2_000, True
    headers = {"X_Model": NAME, "X_Token_Count": "100,20"}
    request = gevent.spawn(
        fleet.ask, entry_node, "/read/x", "r1", b"prompt", deadline_ms=900, **headers
    )
    gevent.sleep(0.2)
    runner.newest["a1"] = 2
    fleet.store.put("op", f"version/{MODEL}.a1", {"model": MODEL, "adapter": "a1", "version": 2})
    request.get()
    gevent.sleep(1.5)
    assert ("r1", 1) not in runner.begun
    assert runner.adapters.get("a1") != 1
