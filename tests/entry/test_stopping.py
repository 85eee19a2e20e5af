"""Stopping a node: accepted requests are finished, and none is accepted that can't be."""

from __future__ import annotations

import attrs
import gevent
import pytest
from gevent import socket

from monsoonflow.entry import stopping
from monsoonflow.fleet import codec
from monsoonflow.fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS
from monsoonflow.fleet.models import NodeRecord
from monsoonflow.transport.client import Answer
from stand_ins.platform_runner import PlatformRunner
from tests.entry.conftest import Fleet, Node, route, wait_for


@pytest.fixture
def stopping_node(fleet, monkeypatch):
    """Return a node that stops while a long stream runs through it, and what a test needs of it.

    That is the runner, a connection from before, the stream's answer later, and the stop task.
    """
    monkeypatch.setattr(stopping, "KEEP_LISTENING_MS", 300)
    runner = fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    fleet.generate(node, "a1", "warm")
    runner.events, runner.event_ms = 40, 35
    kept_connection = socket.create_connection(tuple(node.address.split(":")))
    answers = []
    gevent.spawn(lambda: answers.append(fleet.generate(node, "a1", "long")))
    wait_for(lambda: runner.ran["long"])
    stop_task = gevent.spawn(stopping.stop_gracefully, node.daemon)
    return node, runner, kept_connection, answers, stop_task


def test_a_request_long_after_the_stop_began_is_refused(fleet, stopping_node):
    """A node has been told to stop; a long stream keeps its process running.

    Seconds later a caller sends a request on a connection that it had kept. If accepted, it would
    be cut off at the end of the grace period. It is refused at once as not run, with a time to
    retry.
    """
    node, runner, kept_connection, answers, stop_task = stopping_node
    gevent.sleep(0.6)
    kept_connection.sendall(
        b"POST /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: late\r\n"
        b"X-Model: m/a1\r\nX-Token-Count: 10,5\r\nContent-Length: 0\r\n\r\n"
    )
    kept_connection.settimeout(2)
    answer = kept_connection.recv(10_000)
    assert answer.startswith(b"HTTP/1.1 503 ") or answer == b""
    if answer:
        assert b"Retry-After" in answer
    assert runner.ran["late"] == 0
    with pytest.raises(OSError, match="refused"):
        socket.create_connection(tuple(node.address.split(":")))
    wait_for(lambda: answers)
    assert answers[0].body.count(b"id: ") == 40
    stop_task.join(5)
    assert stop_task.ready()


def test_a_request_right_after_the_stop_began_is_served(fleet, stopping_node):
    node, runner, _, answers, _ = stopping_node
    runner.event_ms = 1
    assert fleet.generate(node, "a1", "soon").head.status == 200
    wait_for(lambda: answers)


def test_all_peers_are_notified_at_once_that_a_node_stops(fleet, monkeypatch):
    """Forty nodes give callers the addresses of nodes; one of the advertised nodes is stopped.

    Notified in rounds of twelve, the last of 195 learns of it after 3.4 s, and advertises until
    then a node that accepts no new connections after 2.5 s.
    """
    monkeypatch.setattr(stopping, "KEEP_LISTENING_MS", 100)
    daemon = fleet.node().daemon
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(("127.0.0.1", 0))
    peer_address = f"127.0.0.1:{listener.getsockname()[1]}"
    for number in range(40):
        daemon.view.add_record(NodeRecord(f"other{number}", "b", "dc", "1:1", "1:2", peer_address))
    leaving_sequences = []

    def listen() -> None:
        while True:
            heartbeat = codec.decode(listener.recv(60_000))
            if heartbeat.is_leaving:
                leaving_sequences.append(heartbeat.sequence)

    listen_task = gevent.spawn(listen)
    stop_task = gevent.spawn(stopping.stop_gracefully, daemon)
    gevent.sleep(0.1)
    listen_task.kill()
    assert leaving_sequences.count(min(leaving_sequences)) == 40
    stop_task.join(5)


PATIENT_ROUTES = [
    route("look", "idempotent", "plain", timeoutMs=10_000, targetLatencyMs=2_000),
    route("write", "non_idempotent", "plain", attempts=1, timeoutMs=10_000, targetLatencyMs=2_000),
    route("read", "stream", "llm", resumable=True, timeoutMs=15_000, targetLatencyMs=2_000),
    route("once", "stream", "llm", attempts=1, timeoutMs=15_000, targetLatencyMs=2_000),
]
"""Routes whose requests may wait for longer than a node that stops is there."""


@attrs.define
class Crowded:
    """A node whose only runner has all its places in use, by streams that go on."""

    fleet: Fleet
    node: Node
    runner: PlatformRunner
    answers: dict[str, Answer] = attrs.Factory(dict)
    streams: list[gevent.Greenlet] = attrs.Factory(list)

    def send(self, adapter: str, request_id: str, path: str = "once") -> gevent.Greenlet:
        """Send a request in the background."""
        return gevent.spawn(self._send, adapter, request_id, path)

    def _send(self, adapter: str, request_id: str, path: str) -> None:
        answer = self.fleet.generate(self.node, adapter, request_id, path, deadline_ms=12_000)
        self.answers[request_id] = answer

    def stop(self) -> gevent.Greenlet:
        """Tell the node to stop."""
        return gevent.spawn(stopping.stop_gracefully, self.node.daemon)


@pytest.fixture(params=[2_000, 3_000, 5_000], ids="grace {} ms".format)
def crowded(fleet, request):
    """Return a node with a grace period that is shorter than what its requests may wait."""
    fleet.bounds = attrs.evolve(fleet.bounds, grace_ms=request.param)
    fleet.configure(routes=PATIENT_ROUTES)
    runner = fleet.runner("i-1")
    nodes = [fleet.node(), fleet.node()]
    holder = fleet.holder()
    (node,) = [node for node in nodes if node is not holder]
    found = Crowded(fleet, node, runner)
    for number in range(3):
        found.send(f"a{number}", f"warm-{number}").join()
    runner.events, runner.event_ms = 1_000, 20
    for number in range(3):
        found.streams.append(found.send(f"a{number}", f"long-{number}"))
    wait_for(lambda: all(runner.ran[f"long-{number}"] for number in range(3)))
    # The holder learns of the streams by the next heartbeats.
    gevent.sleep(2 * HEARTBEAT_INTERVAL_MS / 1000)
    return found


def is_true_refusal(answer):
    head = answer.head
    return head.status == 503 and head.value(b"retry-after") is not None


@pytest.mark.parametrize("path", ["once", "read"])
@pytest.mark.parametrize("is_holder", [False, True])
def test_a_request_that_waits_for_a_place_is_refused_before_its_node_ends(crowded, path, is_holder):
    """Its connection was closed without an answer when the process ended."""
    if is_holder:
        crowded.node = crowded.fleet.holder()
    waiting = [crowded.send(f"b{number}", f"r{number}", path) for number in range(4)]
    gevent.sleep(0.2)
    stop_task = crowded.stop()
    gevent.sleep(0.2)
    waiting.append(crowded.send("b9", "later", path))
    gevent.joinall(waiting, timeout=6)
    assert not stop_task.ready()
    refused = [answer for name, answer in crowded.answers.items() if not name.startswith("warm")]
    assert len(refused) == 5
    assert all(map(is_true_refusal, refused))
    assert not any(crowded.runner.ran[name] for name in ("r0", "r1", "r2", "r3", "later"))
    stop_task.join(8)


def test_a_request_that_gets_its_place_before_its_node_ends_is_served(crowded):
    waiting = crowded.send("b1", "r")
    gevent.sleep(0.2)
    crowded.stop()
    crowded.runner.events = 3
    gevent.killall(crowded.streams)
    waiting.join(6)
    assert crowded.answers["r"].head.status == 200
    assert crowded.runner.ran["r"] == 1


@pytest.mark.parametrize(("path", "method"), [("look", "GET"), ("write", "POST")])
def test_a_request_at_a_silent_server_is_answered_before_its_node_ends(fleet, path, method):
    """It may have run, so that its caller is not told that it has not."""
    fleet.bounds = attrs.evolve(fleet.bounds, grace_ms=2_000)
    fleet.configure(routes=PATIENT_ROUTES)
    server = fleet.plain("i-1")
    node = fleet.node()
    server.faults.slow_ms = 20_000
    answers = []
    task = gevent.spawn(
        lambda: answers.append(
            fleet.ask(node, f"/{path}/x", "r", b"", method, deadline_ms=9_000).head.status
        )
    )
    wait_for(lambda: server.ran["r"])
    stop_task = gevent.spawn(stopping.stop_gracefully, node.daemon)
    task.join(3)
    assert answers in ([502], [504])
    stop_task.join(3)
    assert stop_task.ready()
