"""What callers are told when they ask which address to use."""

from __future__ import annotations

import pytest

from monsoonflow.platform.directory import directory_handler
from monsoonflow.transport.models import Request


class Reply:
    """Takes an answer."""

    status = 0
    body = b""

    def whole(self, status: int, _headers: object, body: bytes = b"") -> None:
        """Take a whole one."""
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
def test_any_question_is_answered(query: bytes, zone: str | None):
    """A question with an unknown zone, none, or fifty fields gets addresses all the same."""
    asked = []

    def choose(where: str | None) -> tuple[list[str], float]:
        asked.append(where)
        return ["1.1.1.1:1"], 2.0

    reply = Reply()
    request = Request(b"GET", b"/v1/resolve" + query, "1.1", [], b"", True, 0)
    directory_handler(choose)(request, reply)
    assert asked == [zone]
    assert (reply.status, reply.body) == (200, b'{"addresses":["1.1.1.1:1"],"ttlS":2.0}')
