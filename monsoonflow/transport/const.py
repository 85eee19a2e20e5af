"""Sizes, timeouts and headers of the transport."""

from __future__ import annotations

from typing import Final

BODILESS_STATUSES: Final = frozenset({204, 304})
"""Statuses of answers that have no body, whatever their headers say."""

READ_BYTES: Final = 65_536
"""Maximum bytes per read; one read holds a complete request of typical size."""

MAX_PENDING_BYTES: Final = 65_536
"""Bytes of a caller's next request that are buffered while its previous one is being served."""

MAX_ANSWER_HEAD_BYTES: Final = 65_536
"""Maximum size of an answer's head; a server that sends more is faulty."""

MAX_FRAMING_BYTES: Final = 65_536
"""Maximum bytes of chunk extensions or trailer fields in a row; nobody needs any of them."""

MAX_CALL_BYTES: Final = 1 << 20
"""Maximum body of the answer to an ordinary control call: a runner's report lists a few hundred
adapters."""

MAX_LARGE_CALL_BYTES: Final = 8 << 20
"""The same for what may be large: pages of the store, configurations and snapshots of peers."""

TURN_BYTES: Final = 65_536
TURN_S: Final = 0.005
"""A task that has read this much lets others run once the event loop's round is this old: a socket
that always has data would never let them."""

TURN_LINE_BYTES: Final = 64
"""What a line counts beside its bytes: to parse a short header or piece of a body takes about as
long as to read this much."""

TURN_PAUSE_S: Final = 0.000_5
TURN_WAIT_S: Final = 0.000_01
"""A reader that had its turn pauses longer than one that still waits: the latter comes first.

Pauses of zero would let other ready tasks run, but neither timers nor sockets be served.
"""

MIN_BODY_BYTES_PER_S: Final = 4_096
"""A caller whose body arrives more slowly than this, after its first seconds, is refused."""

USER_TIMEOUT_MS: Final = 2_500
"""Time without acknowledgement after which the kernel drops a connection (TCP_USER_TIMEOUT).

A sound server may be silent for up to two seconds. Callers of a stream leave after a gap of a few
seconds, until which it has to go on at another server.
"""

KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
"""Probes detect a connection that was lost without a reset within three seconds: the first one that
is due after the user timeout finds it lost, whatever their number."""

CONNECT_TIMEOUT_MS: Final = 500
"""Longest wait for a connection within a region, where a round trip takes 3 ms.

TCP retransmits a lost packet only after a second.
"""

WRITE_TIMEOUT_MS: Final = 5_000
"""Longest wait for a peer that does not read what is sent to it."""

SEND_BUFFER_BYTES: Final = 131_072
"""What the kernel holds for a caller that does not read; it uses twice this value. By default it
would grow to 4 MB a connection. A link of 200 Mbit/s with a round trip of 5 ms needs 125 KB."""

RECEIVE_BUFFER_BYTES: Final = 32_768
"""What the kernel holds of a caller's bytes that nobody reads; it uses twice this value. By default
it would grow to 6 MB a connection. A round trip of 6 ms still carries 5 MB a second."""

LINGER_MS: Final = 300
"""How long a caller's remaining bytes are read before its connection is closed.

Closing with unread bytes sends a reset, which may overtake the answer.
"""

MAX_LINGER_MS: Final = 1_000
MAX_LINGER_BYTES: Final = 1 << 20
"""Bounds of the same for a caller that goes on sending."""

LISTEN_BACKLOG: Final = 1_024

MAX_INTERIM_ANSWERS: Final = 8
"""Maximum informational (1xx) answers before a final one; a server that sends more is faulty."""

REPLY_BUFFER_BYTES: Final = 262_144
"""Answers up to this size are read completely before forwarding begins.

If such an answer breaks off, the request can still be retried.
"""

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
"""Headers that concern one connection, not the message: never forwarded.

The content length is set again for the forwarded message.
"""
