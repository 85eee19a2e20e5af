"""Tests that no request is sent to a runner that can't process it before its caller leaves."""

from __future__ import annotations

import attrs

from monsoonflow.core.server_life import ServerLife
from monsoonflow.gateway.models import Chosen, NoServer
from tests.gateway.runner_simulation import ROUTE, TOKENS_PER_MS, FixedPlacement, RunnerSimulation

HOT, OTHER = ServerLife("i-1"), ServerLife("i-2")


def arrivals(simulation: RunnerSimulation, adapter: str, per_second: float):
    """Return a step function that lets requests for an adapter arrive at random nodes."""

    def step(_now_ms: int) -> None:
        if simulation.rng.random() < per_second / 100:
            simulation.receive_request(simulation.rng.choice(simulation.nodes), adapter)

    return step


def test_no_request_is_sent_to_a_runner_whose_queue_takes_too_long():
    """Forty nodes get 30 requests/s for one adapter; its only runner processes eight of them.

    Without the check, each node sent all of its requests to the runner that held the adapter. The
    median pending prefill at a send was 32,933 tokens and the 90th percentile 245,510, which is
    12.8 s of processing, while callers leave after 4 s. Of 237 requests that were sent behind more
    than 100,000 tokens, only 13 got a first event, all others behind them waited longer, and no
    caller was told when to retry. With a limit at the caller's leaving instead of the cancellation
    0.7 s before it, one of seven requests was still sent in vain.
    """
    simulation = RunnerSimulation(FixedPlacement({"a": {HOT: 1}}), 40, (HOT,))
    simulation.run(4_000, arrivals(simulation, "a", 30))
    before = (simulation.sent, simulation.processed, simulation.lost)
    simulation.run(16_000, arrivals(simulation, "a", 30))
    sent, processed, lost = (
        after - earlier
        for after, earlier in zip(
            (simulation.sent, simulation.processed, simulation.lost), before, strict=True
        )
    )
    assert lost <= sent * 0.1, (sent, processed, lost)
    assert simulation.refused > 100
    # The limit must not leave the runner idle.
    assert processed * 2_368 >= 16_000 * TOKENS_PER_MS * 0.85, (sent, processed, lost)


def test_many_nodes_do_not_overload_a_runner_between_two_heartbeats():
    """Eighty-nine nodes get 60 requests/s for one adapter; its runner processes eight of them.

    Each node receives each peer's heartbeat only every 1.6 s. With these alone, all nodes see the
    same free capacity at the same time: 62 of 139 requests that were sent were lost. The holder of
    the cell lease exchanges heartbeats with all nodes every 200 ms, so its view is used.
    """
    simulation = RunnerSimulation(FixedPlacement({"a": {HOT: 1}}), 89, (HOT,))
    simulation.run(4_000, arrivals(simulation, "a", 60))
    before = (simulation.sent, simulation.lost)
    simulation.run(12_000, arrivals(simulation, "a", 60))
    sent, lost = simulation.sent - before[0], simulation.lost - before[1]
    assert lost <= sent * 0.1, (sent, lost)


def test_another_runner_with_the_adapter_is_used_before_requests_are_lost():
    """Two runners hold the adapter: no request is lost while one of them can process it in time."""
    simulation = RunnerSimulation(FixedPlacement({"a": {HOT: 1, OTHER: 1}}), 12, (HOT, OTHER))
    simulation.run(10_000, arrivals(simulation, "a", 12))
    assert (simulation.lost, simulation.refused) == (0, 0)


def test_an_urgent_request_is_not_refused_because_of_less_urgent_ones():
    """Runners process the most urgent requests first, however many others are queued.

    With more than 200,000 pending tokens of less urgent requests, 19 of 19 urgent ones got their
    first event, the median after 0.6 s. If those tokens counted as ahead, all of them would be
    refused.
    """
    simulation = RunnerSimulation(FixedPlacement({"a": {HOT: 1}}), 1, (HOT,))
    node = simulation.nodes[0]
    node.in_flight.begin(HOT, 0, "a", 300_000, 0, 1)
    assert isinstance(simulation.receive_request(node, "a"), NoServer)
    urgent = simulation.receive_request(node, "a", attrs.evolve(ROUTE, priority=0))
    assert isinstance(urgent, Chosen)
    assert urgent.queue.pending_prefill_tokens == 0


@attrs.define
class OldVersion(FixedPlacement):
    """A placement whose adapter has an old version on which requests may begin until a deadline."""

    deadline_ms: int = 0

    def start_deadline_ms(self, adapter: str, version: int) -> int | None:
        """Return the deadline."""
        return self.deadline_ms


def test_no_request_is_sent_to_an_old_version_that_it_can_only_begin_after_the_start_deadline():
    """A runner holds version 1, version 2 was just requested, and 2 s of prefill are queued there.

    The caller would wait that long, but requests may begin on version 1 only for another second.
    Sent there, the request would begin too late or would have to be cancelled: two nodes sent such
    requests 0.8 and 1.7 s after version 2 was confirmed, and they began 5.1 and 5.7 s after it.
    """
    placement = OldVersion({"a": {HOT: 1}})
    simulation = RunnerSimulation(placement, 1, (HOT,))
    (node,) = simulation.nodes
    now_ms = simulation.clock.now_ms()
    node.in_flight.begin(HOT, now_ms, None, int(2_000 * TOKENS_PER_MS), rank=0)
    placement.deadline_ms = now_ms + 3_000
    assert isinstance(simulation.receive_request(node, "a"), Chosen)
    placement.deadline_ms = now_ms + 1_000
    assert isinstance(simulation.receive_request(node, "a"), NoServer)
    assert placement.slot_request_count == 1
