"""The judge of partitions: callers of nodes without servers against the others."""

from __future__ import annotations

import pytest

from soak.partitions import Partition, worse_served
from soak.processes import Record

PARTITION = Partition("node-1", 10_000, 20_000)


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
    found = worse_served([*cut, *others], [PARTITION], str, lambda node, at_ms: False)
    assert len(found) == count


def test_nodes_that_were_harmed_otherwise_do_not_count():
    records = [*requests("node-1", 0, 30), *requests("node-2", 95, 5)]
    assert not worse_served(records, [PARTITION], str, lambda node, at_ms: node == "node-1")
