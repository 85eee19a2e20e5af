"""When a node counts as one whose word the others need fresh."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.entry.node_activity import NodeActivity
from monsoonflow.fleet.models import CellLeaseClaim, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.routing.budget import MIN_BUSY_REQUESTS, FleetRetryBudget, RetryAllowance
from monsoonflow.routing.in_flight import InFlight

WINDOW_MS = 10_000
CARD = NodeRecord("n", "b", "dc", "1:1", "1:2", "1:3")


@attrs.define
class Node:
    """What one node's activity is judged by."""

    clock: ManualClock
    view: FleetView
    in_flight: InFlight
    budget: FleetRetryBudget
    watches: bool = False
    begun: int = 0
    activity: NodeActivity | None = None

    def begin(self) -> None:
        """Count a beginning."""
        self.begun += 1


@pytest.fixture
def node() -> Node:
    """Return a node without callers in a fleet of many."""
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, WINDOW_MS))
    node = Node(ManualClock(0), FleetView("a"), InFlight(), budget)
    node.activity = NodeActivity(
        node.view, node.in_flight, budget, node.clock, lambda: node.watches, node.begin
    )
    for number in range(30):
        node.view.add_record(attrs.evolve(CARD, name=f"n{number}"))
    assert not node.activity.refresh()
    return node


def test_a_request_now_and_then_makes_no_node_active(node: Node):
    """Checks of the configuration come to each node once a second, also to those without callers.

    With four requests in ten seconds as the sign of callers, all of 195 nodes counted as active and
    nothing was saved: 0.35 GB between data centres in a minute, as before.
    """
    for _ in range(MIN_BUSY_REQUESTS - 1):
        node.budget.record_first_attempt("s", node.clock.now_ms())
    assert not node.activity.refresh()


def test_a_node_with_callers_is_active_while_its_requests_count(node: Node):
    for _ in range(MIN_BUSY_REQUESTS):
        node.budget.record_first_attempt("s", node.clock.now_ms())
    assert node.activity.refresh()
    node.clock.advance(WINDOW_MS + 1)
    assert not node.activity.refresh()


def test_a_long_answer_is_told_until_it_ends(node: Node):
    ticket = node.in_flight.begin(ServerLife("i-1"), node.clock.now_ms())
    node.clock.advance(WINDOW_MS * 2)
    assert node.activity.refresh()
    node.in_flight.end(ticket)
    assert not node.activity.refresh()


def test_watchers_holders_and_heirs_are_active(node: Node):
    node.watches = True
    assert node.activity.refresh()
    node.watches = False
    node.view.apply_claim(CellLeaseClaim("s", "b", 1, ("c", "a")))
    assert node.activity.refresh()


def test_a_node_that_gets_callers_looks_for_servers_once(node: Node):
    """A server came twenty seconds ago; nodes without callers were not told.

    Its first callers' requests were placed at that server by the holder, and the node knew no such
    server: it would have learnt of it minutes later.
    """
    node.in_flight.begin(ServerLife("i-1"), node.clock.now_ms())
    for _ in range(3):
        assert node.activity.refresh()
    assert node.begun == 1


def test_in_a_small_fleet_all_are_active():
    view, budget = FleetView("a"), FleetRetryBudget(RetryAllowance(0.2, 10, WINDOW_MS))
    for number in range(6):
        view.add_record(attrs.evolve(CARD, name=f"n{number}"))
    activity = NodeActivity(view, InFlight(), budget, ManualClock(0), lambda: False, lambda: None)
    assert activity.refresh()
