"""Cuts a stream of server-sent events at whole events."""

from __future__ import annotations

from typing import Final

MAX_EVENT_BYTES: Final = 1 << 20
"""An event that never ends is a fault of the server."""


class EventSplitter:
    r"""Holds back the part of a stream that is not a whole event yet.

    A stream that broke off can only go on after a whole event: half an event from one server and
    the rest from another would be a text that neither of them made.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_event_id, splitter.feed(b"ta: b\n\n")
    (b'1', b'id: 2\ndata: b\n\n')
    """

    def __init__(self, last_event_id: bytes | None = None) -> None:
        self.last_event_id = last_event_id
        self.incomplete = b""
        self.event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete with these bytes."""
        text = self.incomplete + data if self.incomplete else data
        end = _end_of_last_event(text)
        whole, self.incomplete = text[:end], text[end:]
        if whole:
            self._record_events(whole)
        return whole

    def _record_events(self, whole: bytes) -> None:
        self.event_count += whole.count(b"\n\n") + whole.count(b"\r\n\r\n")
        start = whole.rfind(b"\nid:")
        if start >= 0:
            start += 1
        elif whole.startswith(b"id:"):
            start = 0
        else:
            return
        self.last_event_id = whole[start + 3 : whole.index(b"\n", start)].strip()


def _end_of_last_event(text: bytes) -> int:
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
