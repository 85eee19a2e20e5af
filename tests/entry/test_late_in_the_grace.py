"""Requests that come at any moment of a planned stop are answered whole, or not run."""

from __future__ import annotations

import attrs
import gevent
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.entry import stopping
from monsoonflow.transport.client import ConnectionPools, ServerConnection
from monsoonflow.transport.models import BrokenAnswer
from tests.entry.conftest import HOST, MODEL, Fleet, Node, route

INTERVAL_MS = 80
TIMEOUT_MS = 6_000
SLOW_MS = 350
ROUTES = [
    route("look", "idempotent", "plain"),
    route("write", "non_idempotent", "plain", attempts=1),
    route("read", "stream", "llm", resumable=True, gapAimMs=400),
    route("once", "stream", "llm", attempts=1, gapAimMs=400),
]


@attrs.define
class Sent:
    """A request of the test, and what its caller got.

    :param status: ``None`` without the head of an answer.
    """

    request_id: str
    path: str
    is_kept: bool
    status: int | None = None
    is_complete: bool = False
    has_retry_time: bool = False


@attrs.define
class Callers:
    """Callers that send one request after the other, each on a connection of its own."""

    node: Node
    sent: list[Sent] = attrs.Factory(list)
    tasks: list[gevent.Greenlet] = attrs.Factory(list)
    _pools: ConnectionPools = attrs.Factory(lambda: ConnectionPools(MonotonicClock()))
    _kept: list[ServerConnection] = attrs.Factory(list)

    def connect(self, count: int) -> None:
        """Open connections for later, each after a request that was answered on it."""
        self._kept = [self._pools.open(self.node.address) for _ in range(count)]
        gevent.joinall(
            [
                gevent.spawn(self._exchange, connection, Sent(f"before-{number}", "look", True))
                for number, connection in enumerate(self._kept)
            ]
        )

    def send(self, path: str, is_kept: bool) -> None:
        """Send a request in the background, on a kept connection or a new one."""
        connection = self._kept.pop() if is_kept else self._pools.open(self.node.address, 200)
        if not isinstance(connection, ServerConnection):
            return
        sent = Sent(f"r{len(self.sent)}", path, is_kept)
        self.sent.append(sent)
        self.tasks.append(gevent.spawn(self._exchange, connection, sent))

    def _exchange(self, connection: ServerConnection, sent: Sent) -> None:
        lines = [
            f"POST /{sent.path}/x HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {sent.request_id}",
            f"X-Deadline-Ms: {TIMEOUT_MS}",
            f"X-Model: {MODEL}",
            "X-Token-Count: 100,20",
            "Content-Length: 6",
        ]
        until_ms = self._pools.clock.now_ms() + TIMEOUT_MS
        try:
            connection.send("\r\n".join(lines).encode() + b"\r\n\r\n", b"prompt")
            head = connection.read_head(until_ms)
            sent.status = head.status
            sent.has_retry_time = head.value(b"retry-after") is not None
            while connection.read_piece(until_ms) is not None:
                pass
            sent.is_complete = True
        except (OSError, BrokenAnswer):
            pass


@pytest.fixture(params=[2_000, 3_000, 8_000], ids="grace {} ms".format)
def stopping_fleet(fleet: Fleet, request):
    """Return two nodes with a grace period, a server and a runner, in calm."""
    fleet.bounds = attrs.evolve(fleet.bounds, grace_ms=request.param)
    fleet.configure(routes=ROUTES)
    server, runner = fleet.plain("p-1"), fleet.runner("i-1")
    nodes = [fleet.node(), fleet.node()]
    holder = fleet.holder()
    server.faults.slow_ms = SLOW_MS
    runner.events, runner.event_ms = 5, SLOW_MS // 5
    (node,) = [node for node in nodes if node is not holder]
    return fleet, node, server, runner


@pytest.mark.parametrize("is_kept", [False, True])
def test_no_request_of_a_planned_stop_runs_without_its_answer(stopping_fleet, is_kept):
    """Requests late in the grace were passed on and cut at its end, those that run once too."""
    fleet, node, server, runner = stopping_fleet
    callers = Callers(node)
    count = fleet.bounds.grace_ms // INTERVAL_MS
    callers.connect(4 * count if is_kept else 0)
    stop_task = gevent.spawn(stopping.stop_gracefully, node.daemon)
    stop_task.link(lambda _task: node.kill())
    for _ in range(count):
        for path in ("look", "write", "read", "once"):
            callers.send(path, is_kept)
        gevent.sleep(INTERVAL_MS / 1_000)
    gevent.joinall(callers.tasks, timeout=TIMEOUT_MS / 1_000)
    assert stop_task.ready()
    ran = server.ran + runner.ran
    unanswered = [one for one in callers.sent if ran[one.request_id] and not one.is_complete]
    assert unanswered == []
    refused = [one for one in callers.sent if one.status not in (200, None)]
    assert [one for one in refused if one.status != 503 or not one.has_retry_time] == []
    assert not any(ran[one.request_id] for one in refused)
    assert {one.path for one in callers.sent if one.status == 200} == {
        "look",
        "write",
        "read",
        "once",
    }
