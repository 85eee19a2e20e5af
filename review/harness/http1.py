"""A small HTTP/1.1 reader and writer for the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


class Malformed(Exception):
    """Bytes that are no HTTP message."""


@dataclass
class Message:
    """A request or an answer.

    :param start: the three words of the first line.
    :param headers: by name in lower case; the last one counts.
    :param complete: whether the whole body has arrived.
    """

    start: tuple[str, str, str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Malformed(f"the connection ended in {error.partial[:60]!r}") from None
        return None
    except asyncio.LimitOverrunError:
        raise Malformed("the head is too long") from None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    words = lines[0].split(" ", 2)
    if len(words) < 3:
        raise Malformed(f"no first line: {lines[0][:60]!r}")
    message = Message((words[0], words[1], words[2]))
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon:
            raise Malformed(f"no header: {line[:60]!r}")
        message.headers[name.lower()] = value.strip()
    return message


async def read_body(
    reader: asyncio.StreamReader, message: Message, ends_with_connection: bool = False
) -> None:
    """Read the body of a message whose head was read.

    :param ends_with_connection: whether a body without a length goes on to the end.
    """
    if "chunked" in message.headers.get("transfer-encoding", ""):
        await _read_chunks(reader, message)
    elif "content-length" in message.headers:
        length = int(message.headers["content-length"])
        try:
            message.body = await reader.readexactly(length)
            message.complete = True
        except asyncio.IncompleteReadError as error:
            message.body = error.partial
    elif ends_with_connection:
        message.body = await reader.read()
        message.complete = True
    else:
        message.complete = True


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    pieces = []
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                message.complete = True
                break
            pieces.append(piece[:-2])
    except (asyncio.IncompleteReadError, ValueError):
        pass
    message.body = b"".join(pieces)


REASONS = {200: "OK", 202: "Accepted", 421: "Misdirected Request", 503: "Service Unavailable"}


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a whole answer with a length."""
    return encode_head(status, {**headers, "Content-Length": str(len(body))}) + body


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a whole request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
