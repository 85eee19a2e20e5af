"""What callers send that nobody controls: requests without their end, in many small parts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

HEAD_START: Final = (
    b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: h\r\nX-Deadline-Ms: 20000\r\n"
)
POST_START: Final = HEAD_START.replace(b"GET", b"POST", 1)


def chunked_body(size: int, chunk_bytes: int) -> Iterable[bytes]:
    """Return a request with a chunked body that lacks its end.

    :param size: of the payload, in bytes.
    """
    yield POST_START + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    whole, rest = divmod(size, chunk_bytes)
    at_once = max(1, 65_536 // len(chunk))
    for done in range(0, whole, at_once):
        yield chunk * min(at_once, whole - done)
    if rest:
        yield b"%x\r\n%s\r\n" % (rest, b"x" * rest)


def head_of_lines(line: bytes, size: int, end: bytes = b"") -> bytes:
    """Return a head of a given size that consists of as many lines as fit."""
    count, rest = divmod(size - len(HEAD_START) - len(end), len(line))
    return HEAD_START + line * (count - 1) + line[:-2] + b"x" * rest + b"\r\n" + end
