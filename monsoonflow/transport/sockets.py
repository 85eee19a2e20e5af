"""Sockets that detect a peer that no longer responds."""

from __future__ import annotations

import socket as native
import struct
import time
from functools import lru_cache
from typing import Final

import gevent
from gevent import socket

from .const import (
    CONNECT_TIMEOUT_MS,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    TURN_BYTES,
    TURN_LINE_BYTES,
    TURN_PAUSE_S,
    TURN_S,
    TURN_WAIT_S,
    USER_TIMEOUT_MS,
)


class LoopRound:
    """Time that readers of busy sockets have used since the event loop last served its sockets.

    The turn belongs to the loop, not to a reader: many together hold it no longer than one.
    """

    def __init__(self) -> None:
        self._iteration = 0
        self._began_s = 0.0

    def is_over(self) -> bool:
        """Return whether readers should leave the loop to others; the first call begins a round."""
        now_s = time.monotonic()
        iteration = gevent.get_hub().loop.iteration
        if iteration != self._iteration:
            self._iteration, self._began_s = iteration, now_s
        return now_s - self._began_s >= TURN_S


_ROUND: Final = LoopRound()


class Turns:
    """Lets other tasks run while one reads from a socket that always has data."""

    def __init__(self) -> None:
        self._read_bytes = 0

    def record_read(self, size: int, lines: int = 0) -> None:
        """Count what was read; when the round is over, wait for one that has time left.

        :param size: in bytes.
        :param lines: how many lines these are; a header or a piece of a body is at least one.
        """
        self._read_bytes += size + lines * TURN_LINE_BYTES
        if self._read_bytes < TURN_BYTES or not _ROUND.is_over():
            return
        self._read_bytes = 0
        gevent.sleep(TURN_PAUSE_S)
        while _ROUND.is_over():
            gevent.sleep(TURN_WAIT_S)


RESET_AT_CLOSE: Final = struct.pack("ii", 1, 0)
FLUSH_AT_CLOSE: Final = struct.pack("ii", 0, 0)
"""Values of SO_LINGER: discard what is unsent and reset the connection, or send it first."""


@lru_cache(maxsize=4_096)
def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``.

    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def set_socket_options(sock: socket.socket) -> None:
    """Set the options that all connections have.

    Without the user timeout, a peer that lost power holds a request until its deadline. Without the
    probes, a connection whose state a device on the path has dropped is never found to be lost.
    """
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_NODELAY, 1)
    sock.setsockopt(native.SOL_SOCKET, native.SO_KEEPALIVE, 1)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(native.IPPROTO_TCP, native.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def connect(address: str, timeout_ms: int = CONNECT_TIMEOUT_MS) -> socket.socket:
    """Return a new connection.

    :raises OSError: when it can't be established before the timeout.
    """
    sock = socket.socket(native.AF_INET, native.SOCK_STREAM)
    try:
        set_socket_options(sock)
        sock.settimeout(max(0.001, timeout_ms / 1000))
        sock.connect(split_address(address))
    except BaseException:
        sock.close()
        raise
    return sock


def is_readable(sock: socket.socket) -> bool:
    """Return whether bytes, a close or an error are pending on an idle connection."""
    try:
        sock._sock.recv(1, native.MSG_PEEK | native.MSG_DONTWAIT)  # noqa: SLF001
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
