"""Answers that a handler gives: nothing that is not valid HTTP is written to a caller."""

from __future__ import annotations

import pytest

from monsoonflow.transport.models import Request
from monsoonflow.transport.reply import Reply

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
INVALID = {
    "status 0": (0, b"OK", (b"X-Name", b"x")),
    "status 99": (99, b"OK", (b"X-Name", b"x")),
    "an informational status": (103, b"OK", (b"X-Name", b"x")),
    "status 600": (600, b"OK", (b"X-Name", b"x")),
    "a line end in the reason": (200, b"OK\r\nX-Other: x", (b"X-Name", b"x")),
    "a control byte in the reason": (200, b"O\x1bK", (b"X-Name", b"x")),
    "a blank in a name": (200, b"OK", (b"X Name", b"x")),
    "a blank before the colon": (200, b"OK", (b"X-Name ", b"x")),
    "a control byte in a name": (200, b"OK", (b"X\x07Name", b"x")),
    "a colon in a name": (200, b"OK", (b"X-Name:", b"x")),
    "a byte above 127 in a name": (200, b"OK", (b"X-N\xe9", b"x")),
    "no name": (200, b"OK", (b"", b"x")),
    "a line end in a value": (200, b"OK", (b"X-Name", b"x\r\nX-Other: x")),
    "a NUL in a value": (200, b"OK", (b"X-Name", b"\x00")),
}


@pytest.mark.parametrize("name", INVALID)
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_an_invalid_head_is_not_written(listen, name, method):
    """Whoever gave it, the caller's parser would refuse it or take it for something else."""
    status, reason, header = INVALID[name]

    def handle(_request: Request, reply: Reply) -> None:
        reply.send_whole(status, [header], b"ok", reason)

    received = listen(handle).exchange(REQUEST.replace(b"GET", method))
    assert received.startswith(b"HTTP/1.1 500 Internal Server Error\r\n")
    assert received.count(b"HTTP/1.1") == 1
    assert b"X-Other" not in received


@pytest.mark.parametrize("reason", [b"", b"OK", b"a\tb", b"\xc3\xa9"])
@pytest.mark.parametrize("value", [b"", b"x", b"a\t b", b"\xff"])
def test_a_valid_head_is_written_as_it_is(listen, reason, value):
    def handle(_request: Request, reply: Reply) -> None:
        reply.send_whole(599, [(b"!#$%&'*+-.^_`|~0aZ", value)], b"ok", reason)

    received = listen(handle).exchange(
        REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    )
    assert received.startswith(b"HTTP/1.1 599 %s\r\n!#$%%&'*+-.^_`|~0aZ: %s\r\n" % (reason, value))
