"""Finds ports for processes and servers of tests and the demo."""

from __future__ import annotations

import itertools
import socket
from collections.abc import Iterator
from typing import Final

# Below the range from which the kernel takes the ports of outgoing connections: one of those could
# take a port between the look and the use.
FIRST_PORT: Final = 12_000
SLICE: Final = 300
SLICES: Final = 60
"""Each process that starts others takes its ports from a slice of its own: two test runs, or two
workers of one, would find the same port free in the moment between the look and the use."""

GUARDS_FROM: Final = FIRST_PORT + SLICE * SLICES
"""Whoever holds a slice listens at its guard, so that no other process takes it."""

_guard: socket.socket | None = None
_ports: Iterator[int] = iter(())


def free_port() -> int:
    """Return a port number that is free now and that nobody else here was given."""
    global _guard, _ports
    if _guard is None:
        _guard, first = _take_slice()
        _ports = itertools.cycle(range(first, first + SLICE))
    for number in itertools.islice(_ports, SLICE):
        # A port whose last connections have ended can be listened at again before the kernel has
        # forgotten them, a minute later. In that time one process may go through its whole slice.
        probe = _bound(number, reuses=True)
        if probe is not None:
            probe.close()
            return number
    raise AssertionError("no port is free")


def _take_slice() -> tuple[socket.socket, int]:
    for number in range(SLICES):
        guard = _bound(GUARDS_FROM + number)
        if guard is not None:
            guard.listen(1)
            return guard, FIRST_PORT + number * SLICE
    raise AssertionError("every slice of ports is taken")


def _bound(number: int, reuses: bool = False) -> socket.socket | None:
    probe = socket.socket()
    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuses)
    try:
        probe.bind(("127.0.0.1", number))
    except OSError:
        probe.close()
        return None
    return probe
