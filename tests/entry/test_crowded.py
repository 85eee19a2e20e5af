"""A runner that holds the adapter, behind a queue that outlasts the request: real entry nodes."""

from __future__ import annotations

import pytest

from monsoonflow.core.server_life import ServerLife
from tests.entry.conftest import Node, wait_for

LONG_QUEUE = 500_000
"""Prompt tokens: some 25 s of reading, where callers have 2 s."""


def crowd(node: Node, life: str, tokens: int = LONG_QUEUE) -> None:
    """Let much be waiting at a runner, as this node knows it."""
    now_ms = node.daemon.clock.now_ms()
    node.daemon.in_flight.begin(ServerLife(life), now_ms, "m/z", tokens, tokens)


def holder_of(answer) -> str:
    return answer.head.value(b"x-instance-id").decode()


@pytest.mark.parametrize("through", ["the holder", "another node"])
def test_a_second_copy_is_loaded_where_the_request_can_be_read(fleet, through):
    """One runner holds the adapter and has 500,000 prompt tokens to read; another is idle.

    Sent to the first, as all of 303 requests were that one runner turned away in a day, a request
    waits until its caller has left. A load at the other one takes a third of a second.
    """
    runners = [fleet.runner("i-1"), fleet.runner("i-2")]
    one = fleet.node()
    fleet.holder()
    asked = one if through == "the holder" else fleet.node((one.daemon.settings.peer_address,))
    first = holder_of(fleet.generate(one, "a1", "r1"))
    wait_for(lambda: asked.daemon.cell_leases.residency.holders("m/a1"))
    crowd(asked, first)
    answer = fleet.generate(asked, "a1", "r2")
    assert answer.head.status == 200
    assert holder_of(answer) != first
    assert all("a1" in runner.adapters for runner in runners)


def test_who_can_be_read_nowhere_in_time_is_told_at_once(fleet):
    """The only runner has 25 s of reading before it: its caller is told at once when to come back.

    Held until its time is over, the caller can't come back at all.
    """
    fleet.runner("i-1")
    one = fleet.node()
    fleet.holder()
    fleet.generate(one, "a1", "r1")
    crowd(one, "i-1")
    began_ms = one.daemon.clock.now_ms()
    answer = fleet.generate(one, "a1", "r2")
    assert answer.head.status == 503
    assert one.daemon.clock.now_ms() - began_ms < 300
    assert float(answer.head.value(b"retry-after")) >= 0.5
