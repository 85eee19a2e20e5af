"""Finds ports for processes and servers of tests and the demo."""

from __future__ import annotations

import itertools
import os
import socket

# Below the range from which the kernel takes the ports of outgoing connections: one of those could
# take a port between the look and the use.
_PORTS = itertools.cycle(range(12_000 + os.getpid() % 50 * 300, 31_000))


def free_port() -> int:
    """Return a port number that is free now and that nobody else here was given."""
    for number in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", number))
            except OSError:
                continue
            return number
    raise AssertionError("no port is free")
