"""Stopping a node: accepted requests are finished, and none is accepted that can't be."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket

from monsoonflow.entry import stopping
from monsoonflow.fleet import codec
from monsoonflow.fleet.models import NodeRecord
from tests.entry.conftest import wait_for


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
