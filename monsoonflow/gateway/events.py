"""Cuts a stream of server-sent events at whole events."""

from __future__ import annotations

from typing import Final

MAX_EVENT_BYTES: Final = 1 << 20
"""An event that never ends is a fault of the server."""


class EventCutter:
    r"""Holds back the part of a stream that is not a whole event yet.

    A stream that broke off can only go on after a whole event: half an event from one server and
    the rest from another would be a text that neither of them made.

    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> cutter.last_event, cutter.feed(b"ta: b\n\n")
    (b'1', b'id: 2\ndata: b\n\n')
    """

    def __init__(self, last_event: bytes | None = None) -> None:
        self.last_event = last_event
        self.held = b""
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete with these bytes."""
        text = self.held + data if self.held else data
        end = _end_of_whole(text)
        whole, self.held = text[:end], text[end:]
        if whole:
            self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        self.events += whole.count(b"\n\n") + whole.count(b"\r\n\r\n")
        start = whole.rfind(b"\nid:")
        if start >= 0:
            start += 1
        elif whole.startswith(b"id:"):
            start = 0
        else:
            return
        self.last_event = whole[start + 3 : whole.index(b"\n", start)].strip()


def _end_of_whole(text: bytes) -> int:
    plain, crlf = text.rfind(b"\n\n"), text.rfind(b"\r\n\r\n")
    return max(plain + 2 if plain >= 0 else 0, crlf + 4 if crlf >= 0 else 0)


def first_event_id(whole: bytes) -> bytes | None:
    r"""Return the id of the first event that has one.

    >>> first_event_id(b"x-v: 2\nid: 7\ndata: a\n\n")
    b'7'
    """
    for line in whole.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None
