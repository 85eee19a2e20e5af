"""The judge of partitions: callers of nodes without servers against the others."""

from __future__ import annotations

import pytest

from soak.partitions import Partition, worse_served
from soak.processes import Record

PARTITION = Partition("node-1", 10_000, 20_000)
NODES = ("node-1", "node-2", "node-3")


def ended(node, status, sent_ms):
    fields = {"node": node, "status": status, "took_ms": 100}
    return Record("callers", sent_ms + 100, "ended", fields)


def requests(node, served, refused, sent_ms=15_000):
    return [ended(node, 200, sent_ms)] * served + [ended(node, 503, sent_ms)] * refused


@pytest.mark.parametrize(
    ("cut", "others", "count"),
    [
        (requests("node-1", 10, 20), requests("node-2", 95, 5), 1),
        (requests("node-1", 20, 10), requests("node-2", 95, 5), 0),
        (requests("node-1", 10, 20), requests("node-2", 40, 60), 0),
        (requests("node-1", 0, 11), requests("node-2", 95, 5), 0),
        (requests("node-1", 0, 30, 12_000), requests("node-2", 95, 5), 0),
        (requests("node-1", 0, 30, 20_000), requests("node-2", 95, 5), 0),
    ],
)
def test_a_partition_counts_if_its_callers_are_served_far_worse(cut, others, count):
    found = worse_served([*cut, *others], [PARTITION], NODES, str, lambda node, at_ms: False)
    assert len(found) == count


def test_nodes_that_were_harmed_otherwise_do_not_count():
    records = [*requests("node-1", 0, 30), *requests("node-2", 95, 5)]
    assert not worse_served(records, [PARTITION], NODES, str, lambda node, at_ms: node == "node-1")


@pytest.mark.parametrize(
    ("disturbed", "count"), [(("node-2",), 1), (("node-3",), 1), (("node-2", "node-3"), 0)]
)
def test_nothing_is_asked_of_a_partitioned_node_while_all_others_are_disturbed(disturbed, count):
    """Both peers of two nodes were stopping or killed, so that no node reached a server."""
    records = [*requests("node-1", 0, 30), *requests("node-2", 95, 5, 19_000)]

    def is_excused(node, at_ms):
        return node in disturbed and at_ms < 19_000

    assert len(worse_served(records, [PARTITION], NODES, str, is_excused)) == count
