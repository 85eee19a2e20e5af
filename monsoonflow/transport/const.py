"""Limits of the transport."""

from __future__ import annotations

from typing import Final

READ_BYTES: Final = 65_536
"""Bytes asked for at a read; one read takes a whole call of the usual size."""

MAX_PENDING_BYTES: Final = 65_536
"""Bytes of a caller's next call that are read while its last one is being served."""

MAX_ANSWER_HEAD_BYTES: Final = 65_536
"""Bytes of an answer's head; a server that sends more is faulty."""

USER_TIMEOUT_MS: Final = 1_500
"""Unacknowledged data or probes for so long mean that the peer is gone (kernel's user timeout).

Well under the shortest deadlines (1.5 s and more) plus one retry, well over a lost packet's repeat.
"""

KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
"""A connection that went silent without a reset is found within about three seconds."""

CONNECT_TIMEOUT_MS: Final = 500
"""Longest wait for a connection inside one region: the round trip is 3 ms, a lost packet comes
again after a second."""

WRITE_TIMEOUT_MS: Final = 5_000
"""Longest wait for a peer that does not read."""

LINGER_MS: Final = 300
"""How long a refused caller's remaining bytes are read: a reset must not overtake the answer."""

LISTEN_BACKLOG: Final = 1_024

MAX_INTERIM_ANSWERS: Final = 8
"""Informational answers before a final one; more mean a faulty server."""

REPLY_BUFFER_BYTES: Final = 262_144
"""Answers up to this size are read whole before a byte is passed on, so that one that breaks off
can still be tried again."""

HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Headers that concern one connection, not the message: never passed on. The length is set anew."""
