"""Reads the events of a stream out of the bytes that came."""

from __future__ import annotations

from typing import Any

import attrs

EVENT_END = b"\n\n"


@attrs.frozen(slots=True)
class EventStream:
    """The events that came whole, and what was left after the last of them.

    :param ids: ``None`` for an event without an id.
    """

    ids: list[int | None]
    is_last_whole: bool

    def fields(self) -> dict[str, Any]:
        """Return what is written down about it."""
        return {"events": self.ids, "last_whole": self.is_last_whole}


def read_events(body: bytes) -> EventStream:
    """Return the events of a body."""
    *events, rest = body.split(EVENT_END)
    return EventStream([_id_of(event) for event in events], not rest)


def _id_of(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
