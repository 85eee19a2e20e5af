"""Simulates nodes that share a retry budget, in virtual time, and counts arrivals at servers."""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from collections.abc import Collection

import attrs

from monsoonflow.core.clock import ManualClock
from monsoonflow.fleet.gossip import STARTUP_FULL_RATE_MS
from monsoonflow.fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS, HeartbeatRounds
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.gateway.budget import SharedRetryBudget
from monsoonflow.routing.budget import FleetRetryBudget, RetryAllowance

SERVICE = "s"
STEP_MS = 20
ALLOWANCE = RetryAllowance(0.2, 52, 10_000)
LINK_MS = 5
WORK_MS = 300
SOCKET_DATAGRAMS = 300
"""How many datagrams wait in the socket of a node that does not read; more are lost."""


@attrs.define
class RetryCounter:
    """Counts the retries that arrive at servers in sliding windows, over all nodes."""

    allowance: RetryAllowance
    requests_ms: list[int] = attrs.Factory(list)
    retries_ms: list[int] = attrs.Factory(list)

    def excess(self) -> float:
        """Return the most retries over the allowed number in any window; below zero: none."""
        return max(
            (self._retries(start) - self._allowed(start) for start in self.retries_ms),
            default=-self.allowance.reserve,
        )

    def _retries(self, start_ms: int) -> int:
        return _count_within(self.retries_ms, start_ms, self.allowance.window_ms)

    def _allowed(self, start_ms: int) -> float:
        window_ms = self.allowance.window_ms
        starts = (start_ms, start_ms - window_ms, start_ms - window_ms // 2)
        requests = max(_count_within(self.requests_ms, start, window_ms) for start in starts)
        return self.allowance.ratio * requests + self.allowance.reserve


def _count_within(times_ms: list[int], start_ms: int, span_ms: int) -> int:
    return bisect_left(times_ms, start_ms + span_ms) - bisect_left(times_ms, start_ms)


@attrs.define(eq=False)
class _Process:
    """One run of a node's process."""

    record: NodeRecord
    view: FleetView
    budget: FleetRetryBudget
    retries: SharedRetryBudget
    rounds: HeartbeatRounds
    started_ms: int
    sequence: int = 0
    busy_until_ms: int = 0
    waiting_retries: list[int] = attrs.Factory(list)
    """When the retries that were granted will be sent."""


@attrs.define(eq=False)
class Node:
    """A node, its process and the heartbeats that have arrived for it."""

    name: str
    requests_per_s: float
    phase_ms: int
    process: _Process | None = None
    active: bool = False
    boots: int = 0
    restart_at_ms: int = 0
    suspended_until_ms: int = 0
    side: int = 0
    inbox: list[tuple[int, Heartbeat]] = attrs.Factory(list)


@attrs.define
class RetryFleet:
    """Nodes, callers, and servers that fail a share of the requests they get.

    :param count: the number of nodes.
    :param per_s: requests of callers per second at each node.
    :param wait_ms: the longest that a retry waits for a slot.
    :param lost: the share of heartbeats that is lost.
    :param idle: the number of nodes without callers.
    :param fails: the share of requests that servers fail.
    """

    count: int
    seed: int = 1
    per_s: float = 3.0
    wait_ms: int = 0
    lost: float = 0.01
    idle: int = 0
    fails: float = 0.0
    counter: RetryCounter = attrs.Factory(lambda: RetryCounter(ALLOWANCE))
    clock: ManualClock = attrs.Factory(lambda: ManualClock(100_000))
    nodes: list[Node] = attrs.Factory(list)
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        for number in range(self.count):
            rate = 0.0 if number < self.idle else self.per_s
            node = Node(f"n{number}", rate, self.rng.randrange(0, HEARTBEAT_INTERVAL_MS, STEP_MS))
            self.nodes.append(node)
            self._start(node)
        for node in self.nodes:
            for other in self.nodes:
                node.process.view.add_record(other.process.record)

    def _start(self, node: Node) -> None:
        node.boots += 1
        node.active = False
        name = node.name
        record = NodeRecord(
            name, f"{name}-{node.boots}", "dc", f"{name}:1", f"{name}:2", f"{name}:3"
        )
        started_ms = None if node.boots == 1 else self.clock.now_ms()
        view, budget = FleetView(name), FleetRetryBudget(ALLOWANCE, started_ms)
        for other in self.nodes:
            if other.process is not None and other is not node:
                view.add_record(other.process.record)
        retries = SharedRetryBudget(budget, view, self.clock, lambda: node.active)
        node.process = _Process(
            record, view, budget, retries, HeartbeatRounds(name), self.clock.now_ms()
        )
        node.inbox.clear()

    def kill(self, numbers: Collection[int], back_ms: int = 500) -> None:
        """End processes without a last heartbeat; they start again a while later."""
        for number in numbers:
            self.nodes[number].process = None
            self.nodes[number].restart_at_ms = self.clock.now_ms() + back_ms

    def partition(self, sides: Collection[int]) -> None:
        """Partition the network: nodes receive heartbeats only of nodes on the same side."""
        for node, side in zip(self.nodes, sides, strict=True):
            node.side = side

    def suspend(self, numbers: Collection[int], for_ms: int) -> None:
        """Suspend the processes of nodes."""
        for number in numbers:
            self.nodes[number].suspended_until_ms = self.clock.now_ms() + for_ms

    def run(self, for_ms: int) -> None:
        """Advance the time."""
        until_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < until_ms:
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            for node in self.rng.sample(self.nodes, len(self.nodes)):
                if node.process is None and now_ms >= node.restart_at_ms:
                    self._start(node)
                if node.process is not None:
                    self._step(node, node.process, now_ms)

    def _step(self, node: Node, process: _Process, now_ms: int) -> None:
        is_suspended = now_ms < node.suspended_until_ms
        arrived = [heartbeat for at_ms, heartbeat in node.inbox if at_ms <= now_ms]
        if is_suspended:
            # Requests wait in the sockets, but they were sent and count for the allowance.
            self._receive_requests(node, None, now_ms)
            return
        node.inbox = [entry for entry in node.inbox if entry[0] > now_ms]
        for heartbeat in arrived:
            process.view.receive(heartbeat, now_ms)
        if (now_ms + node.phase_ms) % HEARTBEAT_INTERVAL_MS == 0:
            self._send_heartbeat(node, process, now_ms)
        self._receive_requests(node, process, now_ms)
        self._send_retries(process, now_ms)

    def _receive_requests(self, node: Node, process: _Process | None, now_ms: int) -> None:
        if self.rng.random() >= node.requests_per_s * STEP_MS / 1_000:
            return
        self.counter.requests_ms.append(now_ms)
        if process is None:
            return
        process.retries.record_request(SERVICE)
        process.busy_until_ms = now_ms + WORK_MS
        self._maybe_fail(process, now_ms)

    def _maybe_fail(self, process: _Process, now_ms: int) -> None:
        """Let a server fail a request that has reached it, with the set probability."""
        if self.rng.random() < self.fails and process.retries.reserve_retry(SERVICE).is_allowed:
            process.waiting_retries.append(now_ms + self.rng.randint(0, self.wait_ms))

    def _send_retries(self, process: _Process, now_ms: int) -> None:
        due = [at_ms for at_ms in process.waiting_retries if at_ms <= now_ms]
        process.waiting_retries = [at_ms for at_ms in process.waiting_retries if at_ms > now_ms]
        for _ in due:
            process.retries.record_retry_sent(SERVICE)
            insort(self.counter.retries_ms, now_ms)
            self._maybe_fail(process, now_ms)

    def crash_server(self, each: int) -> None:
        """Let a server crash that has some requests of each node in progress."""
        for node in self.nodes:
            if node.process is None:
                continue
            now_ms = self.clock.now_ms()
            for _ in range(each):
                if node.process.retries.reserve_retry(SERVICE).is_allowed:
                    node.process.waiting_retries.append(now_ms + self.rng.randint(0, self.wait_ms))

    def send_waiting(self) -> None:
        """Let all retries that wait for a slot be sent at once."""
        for node in self.nodes:
            if node.process is not None:
                node.process.waiting_retries = [0] * len(node.process.waiting_retries)

    def _send_heartbeat(self, node: Node, process: _Process, now_ms: int) -> None:
        process.sequence += 1
        view = process.view
        in_progress = bool(process.waiting_retries) or now_ms < process.busy_until_ms
        is_active = view.is_small() or in_progress or process.budget.is_busy(now_ms)
        node.active = is_active
        heartbeat = Heartbeat(
            process.record,
            process.sequence,
            True,
            False,
            1,
            True,
            retry_usage_by_service=process.budget.usage_by_service(now_ms),
            is_active=is_active,
            retry_history=process.retries.retry_history(),
        )
        peers = {peer.name: peer for peer in self.nodes if peer is not node}
        active_peers = view.active_peer_names() if is_active else ()
        is_idle = not is_active and now_ms - process.started_ms >= STARTUP_FULL_RATE_MS
        for name in process.rounds.next_peers(peers, (), False, active_peers, is_idle):
            peer = peers[name]
            if peer.side != node.side or peer.process is None or self.rng.random() < self.lost:
                continue
            if len(peer.inbox) < SOCKET_DATAGRAMS:
                peer.inbox.append((now_ms + LINK_MS, heartbeat))
