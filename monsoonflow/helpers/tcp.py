"""What the kernel knows of a TCP connection."""

from __future__ import annotations

import fcntl
import sys
import termios


def unacknowledged_bytes(file_number: int) -> int:
    """Return how much of what was sent has not been received by the peer's kernel.

    Whatever the peer sends acknowledges all that its kernel had received until then.

    :raises OSError: when the socket is closed.
    """
    return int.from_bytes(fcntl.ioctl(file_number, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
