"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import re
from typing import Final

EVENT_END: Final = re.compile(rb"\n(?:\r?\n)+")
MAX_UNFINISHED_END_BYTES: Final = 2
"""How much of the end of an event may have arrived before the rest of it."""

LINE_END: Final = re.compile(rb"\r?\n")
EVENT_FIELD: Final = re.compile(rb"^(?:data|id)(?:[:\r\n]|$)", re.MULTILINE)
ID_FIELD: Final = re.compile(rb"^id:([^\r\n]*)", re.MULTILINE)
MAX_EVENT_BYTES: Final = 1 << 20
"""Longest event: a server that sends a longer one is faulty."""


class EventSplitter:
    r"""Holds back the end of a stream until it is a complete event.

    An interrupted stream can be resumed at another server only after a complete event: half an
    event from one server and the rest from another would be a text that neither has generated.

    :param is_position_known: whether the last event has an id, after which a stream can be resumed.
    :param repeats: whether an event came whose id is not above that of the one before. It and what
        follows are held back: the caller must not get an event twice.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_event_id, splitter.feed(b"ta: b\n\n")
    (b'1', b'id: 2\ndata: b\n\n')
    >>> splitter.feed(b"id: 3\ndata: c\n\nid: 2\ndata: d\n\n"), splitter.repeats
    (b'id: 3\ndata: c\n\n', True)
    """

    def __init__(self, last_event_id: bytes | None = None) -> None:
        self.last_event_id = last_event_id
        self.incomplete = b""
        self.event_count = 0
        self.is_position_known = True
        self.repeats = False

    @property
    def is_inside_event(self) -> bool:
        r"""Return whether the bytes received so far end inside an event.

        Blank lines and comments after the last event belong to none.

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"data: a\n\n: comment\n: com"), splitter.is_inside_event
        (b'data: a\n\n', False)
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 2\n"), splitter.is_inside_event
        (b'', True)
        """
        # Bare carriage returns may end lines as well: such events are only told apart at the end.
        if b"\n" not in self.incomplete and self.incomplete.endswith(b"\r\r"):
            return False
        return any(
            line and not line.startswith(b":")
            for line in LINE_END.split(self.incomplete.removesuffix(b"\r"))
        )

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete with these bytes."""
        searched = max(0, len(self.incomplete) - MAX_UNFINISHED_END_BYTES)
        text = self.incomplete + data if self.incomplete else data
        end = 0
        for found in EVENT_END.finditer(text, searched):
            event = text[end : found.end()]
            ids = ID_FIELD.findall(event)
            event_id = ids[-1].strip() if ids else None
            if self._is_repeated(event_id):
                self.repeats = True
                break
            self._record_event(event, event_id)
            end = found.end()
        events, self.incomplete = text[:end], text[end:]
        return events

    def begin(self) -> None:
        """Begin with the answer of another server, which goes on after the last event."""
        self.incomplete, self.repeats = b"", False

    def _is_repeated(self, event_id: bytes | None) -> bool:
        last = self.last_event_id
        if event_id is None or last is None or not (event_id.isdigit() and last.isdigit()):
            return False
        return _number_key(event_id) <= _number_key(last)

    def _record_event(self, event: bytes, event_id: bytes | None) -> None:
        # Comments and settings of the connection, which end like events, are none.
        if EVENT_FIELD.search(event) is None:
            return
        self.event_count += 1
        self.is_position_known = event_id is not None
        if event_id is not None:
            self.last_event_id = event_id


def _number_key(digits: bytes) -> tuple[int, bytes]:
    """Return a key that orders numbers; ``int`` refuses those of thousands of digits.

    >>> _number_key(b"9") < _number_key(b"010") < _number_key(b"9" * 5_000)
    True
    """
    significant = digits.lstrip(b"0")
    return len(significant), significant
