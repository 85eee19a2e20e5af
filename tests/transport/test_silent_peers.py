"""Peers that are silent for a moment keep their connections, and lost ones are noticed soon."""

from __future__ import annotations

import socket as native

import gevent
import pytest
from gevent import socket

from monsoonflow.transport.sockets import connect

PAUSE_S = 2.0
"""A sound server may be silent for so long."""

NOTICED_WITHIN_S = 3.0
"""Callers of a stream leave after a longer gap."""

BODY_BYTES = 4_000_000
"""More than the buffers of both sides hold."""


@pytest.fixture
def listener():
    """Return a socket whose connections have small buffers."""
    listening = socket.socket()
    listening.setsockopt(native.SOL_SOCKET, native.SO_RCVBUF, 4_096)
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    yield listening
    listening.close()


def address_of(listening):
    return f"127.0.0.1:{listening.getsockname()[1]}"


def test_a_request_to_a_server_that_does_not_read_for_a_moment_is_not_cut(listener):
    """The kernel dropped a connection whose peer left its bytes unread for 1.5 s."""
    received = []

    def read_after_a_pause():
        peer, _ = listener.accept()
        gevent.sleep(PAUSE_S)
        while sum(map(len, received)) < BODY_BYTES:
            received.append(peer.recv(1_000_000))
        peer.sendall(b"done")

    reader = gevent.spawn(read_after_a_pause)
    sock = connect(address_of(listener))
    sock.settimeout(10)
    sock.sendall(bytes(BODY_BYTES))
    assert sock.recv(4) == b"done"
    reader.get()
    sock.close()


def drop_times_s(sock):
    """Return after which silence Linux drops a connection: an idle one, and one with sent bytes.

    Once a user timeout is set, it decides instead of the number of probes: the first probe that is
    due when it has passed finds the connection lost.
    """
    idle_s, interval_s = (
        sock.getsockopt(native.IPPROTO_TCP, option)
        for option in (native.TCP_KEEPIDLE, native.TCP_KEEPINTVL)
    )
    user_s = sock.getsockopt(native.IPPROTO_TCP, native.TCP_USER_TIMEOUT) / 1000
    probe_s = idle_s + interval_s
    while probe_s < user_s:
        probe_s += interval_s
    return probe_s, user_s


def test_a_silence_of_two_seconds_ends_no_connection_and_three_end_any(listener):
    """The user timeout of 1.5 s ended idle connections at the first probe, whatever their count."""
    sock = connect(address_of(listener))
    times_s = drop_times_s(sock)
    sock.close()
    assert all(PAUSE_S < time_s <= NOTICED_WITHIN_S for time_s in times_s), times_s
