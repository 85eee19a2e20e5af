"""Reads the events of a stream out of the bytes that came."""

from __future__ import annotations

from typing import Any

import attrs

EVENT_END = b"\n\n"


@attrs.frozen(slots=True)
class EventStream:
    """The events that came whole, and what was left after the last of them.

    :param ids: ``None`` for an event without an id.
    :param versions: of the software that generated each event; ``None`` where none is named.
    """

    ids: list[int | None]
    versions: list[str | None]
    is_last_whole: bool

    def fields(self) -> dict[str, Any]:
        """Return what is written down about it."""
        return {
            "events": self.ids,
            "versions": self.versions,
            "last_whole": self.is_last_whole,
        }


def read_events(body: bytes) -> EventStream:
    """Return the events of a body."""
    *events, rest = body.split(EVENT_END)
    ids = [_id_of(event) for event in events]
    return EventStream(ids, [_version_of(event) for event in events], not rest)


def _id_of(event: bytes) -> int | None:
    value = _field(event, b"id")
    return int(value) if value.isdigit() else None


def _version_of(event: bytes) -> str | None:
    """Return the second word of the data."""
    words = _field(event, b"data").split()
    return words[1].decode() if len(words) > 1 else None


def _field(event: bytes, wanted: bytes) -> bytes:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == wanted:
            return value.strip()
    return b""
