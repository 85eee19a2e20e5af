"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import re
from typing import Final

EVENT_END: Final = re.compile(rb"\n(?:\r?\n)+")
LINE_END: Final = re.compile(rb"\r?\n")
MAX_EVENT_BYTES: Final = 1 << 20
"""Longest event: a server that sends a longer one is faulty."""


class EventSplitter:
    r"""Holds back the end of a stream until it is a complete event.

    An interrupted stream can be resumed at another server only after a complete event: half an
    event from one server and the rest from another would be a text that neither has generated.

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

    @property
    def is_inside_event(self) -> bool:
        r"""Return whether the bytes received so far end inside an event.

        Blank lines and complete comments after the last event belong to none.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"data: a\n\n: comment\n"), splitter.is_inside_event
        (b'data: a\n\n', False)
        >>> splitter.feed(b"id: 2\n"), splitter.is_inside_event
        (b'', True)
        """
        *lines, unfinished = LINE_END.split(self.incomplete)
        return bool(unfinished) or any(line and not line.startswith(b":") for line in lines)

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete with these bytes."""
        text = self.incomplete + data if self.incomplete else data
        ends = [found.end() for found in EVENT_END.finditer(text)]
        end = ends[-1] if ends else 0
        events, self.incomplete = text[:end], text[end:]
        if events:
            self._record_events(events, len(ends))
        return events

    def _record_events(self, events: bytes, count: int) -> None:
        self.event_count += count
        start = events.rfind(b"\nid:")
        if start >= 0:
            start += 1
        elif events.startswith(b"id:"):
            start = 0
        else:
            return
        self.last_event_id = events[start + 3 : events.index(b"\n", start)].strip()


def first_event_id(events: bytes) -> bytes | None:
    r"""Return the id of the first event that has one.

    >>> first_event_id(b"x-v: 2\nid: 7\ndata: a\n\n")
    b'7'
    """
    for line in events.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None
