"""Keeps the latest decisions in memory, so that they can be explained."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Final

import attrs

from .clock import Clock

MAX_SUBJECTS: Final = 2048
MAX_EVENTS_PER_SUBJECT: Final = 32


@attrs.frozen(slots=True)
class Event:
    """Records one decision about a subject (a request, a runner or a plan).

    :param fields: names and values in turn; a node keeps thousands, and a mapping each would take
        twice the memory.
    """

    at_ms: int
    event: str
    fields: tuple[Any, ...]

    def sentence(self) -> str:
        """Return the event as readable text."""
        pairs = zip(self.fields[::2], self.fields[1::2], strict=True)
        details = ", ".join(f"{key} {value}" for key, value in pairs)
        return f"{self.event}{': ' + details if details else ''}"


class Journal:
    """Holds a bounded number of events for a bounded number of subjects; oldest go first.

    >>> from .clock import ManualClock
    >>> journal = Journal(ManualClock())
    >>> journal.record("r1", "admitted", adapter="a@1")
    >>> [event.sentence() for event in journal.events_of("r1")]
    ['admitted: adapter a@1']
    """

    def __init__(self, clock: Clock, max_subjects: int = MAX_SUBJECTS) -> None:
        self._clock = clock
        self._max_subjects = max_subjects
        self._events_by_subject: OrderedDict[str, list[Event]] = OrderedDict()

    def record(self, subject: str, event: str, **fields: Any) -> None:
        """Add one event about a subject."""
        events = self._events_by_subject.get(subject)
        if events is None:
            events = self._events_by_subject[subject] = []
            if len(self._events_by_subject) > self._max_subjects:
                self._events_by_subject.popitem(last=False)
        flat = tuple(part for pair in fields.items() for part in pair)
        events.append(Event(self._clock.now_ms(), event, flat))
        if len(events) > MAX_EVENTS_PER_SUBJECT:
            del events[0]

    def events_of(self, subject: str) -> list[Event]:
        """Return what is still known of a subject, oldest first."""
        return list(self._events_by_subject.get(subject, ()))
