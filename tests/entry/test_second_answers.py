"""Servers that send an answer a second time when the next one on the connection is due."""

from __future__ import annotations

import pytest

from tests.entry.conftest import wait_for


@pytest.fixture
def runners(fleet):
    return [fleet.runner("i-1"), fleet.runner("i-2")]


@pytest.fixture
def entry_node(fleet, runners):
    node = fleet.node()
    fleet.holder()
    for runner in runners:
        runner.faults.slow_ms = 150
    return node


def holder_of(runners, adapter):
    (runner,) = [one for one in runners if adapter in one.adapters]
    return runner


def runs(runners, request_id):
    return sum(runner.ran[request_id] for runner in runners)


@pytest.mark.parametrize("number", range(4))
def test_a_second_refusal_is_not_taken_for_the_answer_to_the_next_attempt(
    fleet, entry_node, runners, number
):
    """The request, which may run once, was sent on to another runner while the first one ran it."""
    adapter = f"a{number}"
    assert fleet.generate(entry_node, adapter, "first", "once").head.status == 200
    runner = holder_of(runners, adapter)
    runner.adapters.pop(adapter)
    runner.faults.second_answers = 1
    answer = fleet.generate(entry_node, adapter, "r", "once")
    assert runs(runners, "r") == 1
    assert answer.head.status == 200


def test_a_second_refusal_is_not_taken_for_the_answer_to_a_caller_that_returns(fleet, entry_node):
    """A caller sends its request again, with the same id, on any connection."""
    server = fleet.plain("i-3")
    registry = entry_node.daemon.cluster_state.server_registry
    wait_for(lambda: registry.servers_of("plain"))
    server.faults.shed, server.faults.second_answers = 1, 1
    statuses = [fleet.ask(entry_node, "/write/x", "r", b"a record").head.status for _ in range(3)]
    assert set(statuses) <= {200, 503}
    assert server.ran["r"] == statuses.count(200)


def test_a_second_answer_to_an_order_is_not_taken_for_the_answer_to_the_next_one(
    fleet, entry_node, runners
):
    """A load that a runner refused was taken for done, and one that it accepted for refused."""
    for runner in runners:
        runner.faults.second_answers = 100
    statuses = [
        fleet.generate(entry_node, f"a{number}", f"r{number}").head.status for number in range(12)
    ]
    assert statuses == [200] * 12
    assert not any(runner.overfull for runner in runners)
