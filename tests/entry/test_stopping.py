"""Stopping a node: what was taken is finished, and nothing is taken that can't be."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket

from monsoonflow.entry import stopping
from tests.entry.conftest import wait_for


@pytest.fixture
def stopping_node(fleet, monkeypatch):
    """Return a node that stops while a long stream runs through it, and the runner."""
    monkeypatch.setattr(stopping, "OUTLAST_ADDRESSES_MS", 300)
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
