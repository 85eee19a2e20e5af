"""Tests of which ports tests and the demo get."""

from __future__ import annotations

import itertools
import socket

import pytest

from script import ports


@pytest.fixture
def only_port(monkeypatch):
    """Leave one port to give."""
    number = ports.free_port()
    monkeypatch.setattr(ports, "_ports", itertools.cycle([number]))
    return number


def test_a_port_whose_connections_have_just_ended_is_free(only_port):
    """A worker that used its ports within a minute found none free."""
    server = socket.create_server(("127.0.0.1", only_port))
    client = socket.create_connection(("127.0.0.1", only_port))
    accepted, _ = server.accept()
    accepted.close()
    assert client.recv(1) == b""
    client.close()
    server.close()
    assert ports.free_port() == only_port


def test_a_port_that_is_listened_at_is_not_free(only_port):
    with (
        socket.create_server(("127.0.0.1", only_port)),
        pytest.raises(AssertionError, match="no port is free"),
    ):
        ports.free_port()
