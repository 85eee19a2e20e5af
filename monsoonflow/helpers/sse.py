"""Writes and reads server-sent events, the usual framing of streamed completions."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, Final

import attrs
import orjson

KEEP_ALIVE: Final = b": keep-alive\n\n"
DONE: Final = b"data: [DONE]\n\n"
MAX_EVENT_BYTES: Final = 1 << 20


@attrs.frozen(slots=True)
class SseEvent:
    """One event; a comment (keep-alive) has neither identifier nor data."""

    event_id: int | None = None
    name: str = "message"
    data: bytes = b""

    def json(self) -> Any:
        """Return the decoded data, or ``None`` when it is not JSON."""
        try:
            return orjson.loads(self.data)
        except orjson.JSONDecodeError:
            return None


def encode(data: Any, event_id: int | None = None, name: str | None = None) -> bytes:
    r"""Return one event with JSON data.

    >>> encode({"a": 1}, event_id=4)
    b'id: 4\ndata: {"a":1}\n\n'
    """
    head = b"" if event_id is None else b"id: %d\n" % event_id
    if name is not None:
        head += b"event: %s\n" % name.encode()
    return head + b"data: " + orjson.dumps(data) + b"\n\n"


def decode(pieces: Iterable[bytes]) -> Iterator[SseEvent]:
    r"""Yield events from pieces of a byte stream, however it was cut.

    An event that the stream ends within is not yielded. One above the size limit ends the stream.

    >>> [event.event_id for event in decode([b"id: 1\nda", b"ta: x\n\n:", b" ping\n\nid: 2"])]
    [1, None]
    """
    rest = bytearray()
    for piece in pieces:
        # Only what is new is searched: pieces may be single bytes.
        searched_bytes = max(0, len(rest) - 1)
        rest += piece
        if rest.find(b"\n\n", searched_bytes) < 0:
            if len(rest) > MAX_EVENT_BYTES:
                return
            continue
        *events, rest = rest.split(b"\n\n")
        for event in events:
            yield _parse(bytes(event))


def _parse(block: bytes) -> SseEvent:
    head, mark, data = block.partition(b"\ndata: ")
    number = head[4:]
    if mark and head.startswith(b"id: ") and number.isdigit() and b"\n" not in data:
        return SseEvent(int(number), "message", data)
    return _parse_lines(block)


def _parse_lines(block: bytes) -> SseEvent:
    """Parse an event that is not an identifier and one line of data, as chunks are."""
    event_id: int | None = None
    name = "message"
    data = b""
    for line in block.split(b"\n"):
        field, _, value = line.partition(b": ")
        if field == b"data":
            data = value if not data else data + b"\n" + value
        elif field == b"id" and value.isdigit():
            event_id = int(value)
        elif field == b"event":
            name = value.decode(errors="replace")
    return SseEvent(event_id, name, data)
