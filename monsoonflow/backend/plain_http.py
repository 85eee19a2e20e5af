"""Passes calls on to the servers of plain services over the strict transport.

The target goes on as it was sent, headers in their order, and no connection with bytes left over is
used again: a library that tidies either up could lead a call elsewhere than its caller meant.
"""

from __future__ import annotations

import ssl
from collections.abc import Iterator
from typing import Final
from urllib.parse import urlsplit

import attrs

from ..core.clock import Clock
from ..transport.client import ConnectionPools, ServerConnection
from ..transport.models import AnswerHead, BrokenAnswer, Header, Lost

BODY_METHODS: Final = frozenset({b"POST", b"PUT", b"PATCH"})


@attrs.frozen(slots=True)
class Onward:
    """A call as it goes to a server.

    :param target: path and query as the caller sent them, from the service's own root.
    :param request_id: this node's own name of the call.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    request_id: str


@attrs.define(slots=True)
class OpenAnswer:
    """An answer whose head is there and whose body is still to be read."""

    head: AnswerHead
    _key: str
    _connection: ServerConnection
    _client: PlainClient
    _whole: bool = False

    def pieces(self) -> Iterator[bytes]:
        """Yield the body as it comes.

        :raises OSError: when the connection broke or fell silent.
        :raises BrokenAnswer: when the body ends before its end.
        """
        while (piece := self._connection.read_piece(self._client.patience())) is not None:
            yield piece
        self._whole = True

    def close(self) -> None:
        """Keep the connection when the answer was read to its end, else end it."""
        if self._whole:
            self._client.pools.release(self._key, self._connection, self.head)
        else:
            self._connection.close()


class PlainClient:
    """Calls servers of plain services; never sends a call twice by itself.

    :param silence_ms: the longest time without a byte before a connection counts as lost.
    """

    def __init__(self, clock: Clock, silence_ms: int) -> None:
        self._clock = clock
        self._silence_ms = silence_ms
        self.pools = ConnectionPools(clock)
        self._tls = ssl.create_default_context()

    def patience(self) -> int:
        """Return until when the next byte must have come."""
        return self._clock.now_ms() + self._silence_ms

    def open(self, address: str, call: Onward, fresh: bool) -> OpenAnswer | Lost:
        """Send a call and return as soon as the head of its answer is there.

        :param address: the server's address, ``http://IP:PORT`` with or without a path.
        :param fresh: use no resting connection: one may have gone silent, and a call that may not
            be repeated would be lost on it.
        """
        place = urlsplit(address)
        tls = self._tls if place.scheme == "https" else None
        if fresh or tls is not None:
            connection = self.pools.open(place.netloc, tls=tls)
        else:
            connection = self.pools.acquire(address, place.netloc, request_id=call.request_id)
        if isinstance(connection, Lost):
            return connection
        try:
            connection.send(
                _head(place.netloc, place.path, call),
                call.body,
                call.method == b"HEAD",
                call.request_id,
            )
            head = connection.read_head(self.patience())
        except (OSError, BrokenAnswer) as error:
            connection.close()
            return Lost(True, type(error).__name__)
        except BaseException:
            connection.close()
            raise
        return OpenAnswer(head, address, connection, self)


def _head(host: str, base: str, call: Onward) -> bytes:
    target = base.rstrip("/").encode() + call.target
    lines = [b"%s %s HTTP/1.1" % (call.method, target), b"Host: " + host.encode()]
    lines += [b"%s: %s" % header for header in call.headers]
    lines.append(b"X-Request-Id: " + call.request_id.encode())
    if call.body or call.method in BODY_METHODS:
        lines.append(b"Content-Length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"
