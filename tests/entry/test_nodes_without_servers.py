"""Nodes that are partitioned from all servers, while callers, store and peers reach them."""

from __future__ import annotations

import gevent
import pytest

from tests.entry.conftest import wait_for
from tests.entry.partition import Cut, heal, make_partitionable, partition

CONTACT_S = 3.0
"""How long after the beginning of a partition callers may notice it."""

REQUESTS = 12
SERVED_SHARE = 2 / 3
"""Share of what the other nodes serve that a node without a path must serve."""


@pytest.fixture
def partitionable(fleet, monkeypatch):
    """Return a fleet of three nodes whose connections to servers can be cut."""
    make_partitionable(monkeypatch)
    for name in ("p-1", "p-2"):
        fleet.plain(name)
    for name in ("i-1", "i-2"):
        fleet.runner(name)
    for _ in range(3):
        fleet.node()
    fleet.holder()
    return fleet


def bystander(fleet):
    """Return a node that does not hold the cell lease."""
    return next(node for node in fleet.nodes if node is not fleet.holder())


def served(fleet, node, kind, prefix, adapters=("a1",)):
    """Send requests of a kind, one after the other; return how many are served."""
    count = 0
    for number in range(REQUESTS):
        name = f"{prefix}-{kind}-{number}"
        if kind in ("look", "write"):
            answer = fleet.ask(node, f"/{kind}/x", name, b"body", deadline_ms=1_500)
        else:
            answer = fleet.generate(node, adapters[number % len(adapters)], name, kind)
        count += answer.head.status == 200
    return count


@pytest.mark.parametrize("cut", list(Cut))
@pytest.mark.parametrize("kind", ["look", "write", "read", "once"])
def test_a_node_without_a_path_to_the_servers_serves_its_callers(partitionable, cut, kind):
    """Such a node refused callers whom its peers could serve."""
    fleet = partitionable
    node = bystander(fleet)
    other = next(peer for peer in fleet.nodes if peer is not node)
    assert served(fleet, node, kind, "before") == REQUESTS
    partition(node, cut)
    ends = gevent.spawn(served, fleet, node, kind, "during")
    gevent.sleep(CONTACT_S)
    ends.join()
    expected = served(fleet, other, kind, "other")
    assert served(fleet, node, kind, "after") >= SERVED_SHARE * expected
    assert all(count == 1 for server in fleet.servers for count in server.ran.values())


@pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET])
def test_adapters_are_loaded_while_the_lease_holder_has_no_path_to_the_runners(partitionable, cut):
    """Such a holder kept the cell lease: adapters were loaded for nobody."""
    fleet = partitionable
    holder = fleet.holder()
    other = next(node for node in fleet.nodes if node is not holder)
    assert served(fleet, other, "read", "before") == REQUESTS
    partition(holder, cut)
    ends = gevent.spawn(served, fleet, holder, "look", "during")
    gevent.sleep(CONTACT_S)
    ends.join()
    adapters = tuple(f"b{number}" for number in range(4))
    assert served(fleet, other, "read", "after", adapters) == REQUESTS


def test_callers_are_not_sent_to_a_node_without_a_path_to_the_servers(partitionable):
    """Such a node stayed advertised."""
    fleet = partitionable
    node = bystander(fleet)

    def advertised():
        return [
            node.address in peer.daemon.address_directory.choose("zone-1")[0]
            for peer in fleet.nodes
        ]

    wait_for(lambda: all(advertised()))
    partition(node, Cut.HANG)
    served(fleet, node, "look", "during")
    wait_for(lambda: not any(advertised()), within_s=CONTACT_S)
    heal(node)
    wait_for(lambda: all(advertised()))
