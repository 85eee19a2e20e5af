"""Requests whose adapter only an overloaded runner holds, with real entry nodes."""

from __future__ import annotations

import pytest

from monsoonflow.core.server_life import ServerLife
from tests.entry.conftest import Node, wait_for

LONG_QUEUE_TOKENS = 500_000
"""Pending prompt tokens: some 25 s of prefill, where callers wait 2 s."""


def overload(node: Node, life: str, tokens: int = LONG_QUEUE_TOKENS) -> None:
    """Make a node believe that many prompt tokens are pending at a runner."""
    now_ms = node.daemon.clock.now_ms()
    node.daemon.in_flight.begin(ServerLife(life), now_ms, "m/z", tokens, tokens)


def runner_of(answer) -> str:
    return answer.head.value(b"x-instance-id").decode()


@pytest.mark.parametrize("receiver", ["the holder", "another node"])
def test_a_second_copy_is_loaded_where_prefill_is_in_time(fleet, receiver):
    """One runner holds the adapter and has 500,000 prompt tokens pending; another is idle.

    A request sent to the first one waits until its caller has left, which happened to all of 303
    requests that one runner refused in a day. Loading the adapter at the other takes a third of a
    second.
    """
    runners = [fleet.runner("i-1"), fleet.runner("i-2")]
    node = fleet.node()
    fleet.holder()
    receiving_node = (
        node if receiver == "the holder" else fleet.node((node.daemon.settings.peer_address,))
    )
    first_runner = runner_of(fleet.generate(node, "a1", "r1"))
    wait_for(lambda: receiving_node.daemon.cell_leases.residency.holders("m/a1"))
    overload(receiving_node, first_runner)
    answer = fleet.generate(receiving_node, "a1", "r2")
    assert answer.head.status == 200
    assert runner_of(answer) != first_runner
    assert all("a1" in runner.adapters for runner in runners)


def test_a_request_without_prefill_in_time_anywhere_is_refused_at_once(fleet):
    """The only runner has 25 s of prefill pending: the caller is told at once when to retry.

    If the request were held until its deadline, the caller could not retry at all.
    """
    fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    fleet.generate(node, "a1", "r1")
    overload(node, "i-1")
    started_ms = node.daemon.clock.now_ms()
    answer = fleet.generate(node, "a1", "r2")
    assert answer.head.status == 503
    assert node.daemon.clock.now_ms() - started_ms < 300
    assert float(answer.head.value(b"retry-after")) >= 0.5
