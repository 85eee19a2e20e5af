"""Tests of address lookups: which zone of a query is used, and the answer."""

from __future__ import annotations

import pytest

from monsoonflow.platform.directory import directory_handler
from monsoonflow.transport.models import Request


class FakeReply:
    """Records an answer."""

    status = 0
    body = b""

    def send_whole(self, status: int, _headers: object, body: bytes = b"") -> None:
        """Record a complete answer."""
        self.status, self.body = status, body


@pytest.mark.parametrize(
    ("query", "zone"),
    [
        (b"?name=h.example&region=r&zone=hall-a", "hall-a"),
        (b"?zone=" + b"x" * 1_000, "x" * 1_000),
        (b"?zone=%00%ff", "\x00\ufffd"),
        (b"?name=h.example", None),
        (b"?zone=", None),
        (b"?zone", None),
        (b"", None),
        (b"?" + b"&".join([b"a=b"] * 50) + b"&zone=hall-a", None),
        (b"?zone=hall-a&zone=hall-b", "hall-a"),
    ],
)
def test_any_query_gets_addresses(query: bytes, zone: str | None):
    """A query with an unknown zone, without one or with fifty fields gets addresses, too."""
    requested_zones = []

    def choose(requested_zone: str | None) -> tuple[list[str], float]:
        requested_zones.append(requested_zone)
        return ["1.1.1.1:1"], 2.0

    reply = FakeReply()
    request = Request(b"GET", b"/v1/resolve" + query, "1.1", [], b"", True, 0)
    directory_handler(choose)(request, reply)
    assert requested_zones == [zone]
    assert (reply.status, reply.body) == (200, b'{"addresses":["1.1.1.1:1"],"ttlS":2.0}')
