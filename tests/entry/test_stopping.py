"""Stopping a node: what was taken is finished, and nothing is taken that can't be."""

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
    """Return a node that stops while a long stream runs through it, and the runner."""
    monkeypatch.setattr(stopping, "KEEP_LISTENING_MS", 300)
    runner = fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    fleet.generate(node, "a1", "warm")
    runner.events, runner.event_ms = 40, 35
    kept = socket.create_connection(tuple(node.address.split(":")))
    answers = []
    gevent.spawn(lambda: answers.append(fleet.generate(node, "a1", "long")))
    wait_for(lambda: runner.ran["long"])
    ended = gevent.spawn(stopping.stop_gracefully, node.daemon)
    return node, runner, kept, answers, ended


def test_a_request_that_comes_long_after_the_word_to_stop_is_not_taken(fleet, stopping_node):
    """A node has got the word to stop; a long stream keeps it alive.

    Seconds later a caller sends a request on a connection that it had kept. Taken, it would be cut
    off by the end of the grace period. It is told at once that nothing ran, and to come back.
    """
    node, runner, kept, answers, ended = stopping_node
    gevent.sleep(0.6)
    kept.sendall(
        b"POST /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: late\r\n"
        b"X-Model: m/a1\r\nX-Token-Count: 10,5\r\nContent-Length: 0\r\n\r\n"
    )
    kept.settimeout(2)
    answer = kept.recv(10_000)
    assert answer.startswith(b"HTTP/1.1 503 ") or answer == b""
    if answer:
        assert b"Retry-After" in answer
    assert runner.ran["late"] == 0
    with pytest.raises(OSError, match="refused"):
        socket.create_connection(tuple(node.address.split(":")))
    wait_for(lambda: answers)
    assert answers[0].body.count(b"id: ") == 40
    ended.join(5)
    assert ended.ready()


def test_a_request_that_comes_right_after_the_word_to_stop_is_served(fleet, stopping_node):
    node, runner, _, answers, _ = stopping_node
    runner.event_ms = 1
    assert fleet.generate(node, "a1", "soon").head.status == 200
    wait_for(lambda: answers)


def test_all_hear_at_once_that_a_node_stops(fleet, monkeypatch):
    """Forty nodes answer callers where to go; one of those they name is told to stop.

    Told in turns of twelve, the last of 195 hears it after 3.4 s and goes on naming a node that
    takes no new connections after 2.5 s.
    """
    monkeypatch.setattr(stopping, "KEEP_LISTENING_MS", 100)
    daemon = fleet.node().daemon
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(("127.0.0.1", 0))
    where = f"127.0.0.1:{listener.getsockname()[1]}"
    for number in range(40):
        daemon.view.add_record(NodeRecord(f"other{number}", "b", "dc", "1:1", "1:2", where))
    leaving = []

    def listen() -> None:
        while True:
            told = codec.decode(listener.recv(60_000))
            if told.is_leaving:
                leaving.append(told.sequence)

    listening = gevent.spawn(listen)
    ended = gevent.spawn(stopping.stop_gracefully, daemon)
    gevent.sleep(0.1)
    listening.kill()
    assert leaving.count(min(leaving)) == 40
    ended.join(5)
