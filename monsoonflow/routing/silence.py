"""Notices a server that gives no sign while requests wait at it."""

from __future__ import annotations

import attrs

from .pauses import MOST_DOUBLINGS, pause_ms


@attrs.define(slots=True)
class Silence:
    """Whether one server gives signs while requests wait at it.

    A server whose process stands still takes requests into its kernel's buffers and answers none.
    Nothing calls them back: it reads them when it goes on, long after their callers have gone, and
    also after it was given up as gone. So one that owes a sign gets nothing but single trials.

    :param waiting: ids of the requests that have been sent and have not ended.
    :param within_ms: how soon a sign is due after the last one.
    :param due_ms: when one is due; ``None`` while none is owed.
    :param missed: how often in a row none came.
    :param trial_from_ms: when the next request may be sent after one was missed.
    """

    waiting: set[str] = attrs.Factory(set)
    within_ms: int = 0
    due_ms: int | None = None
    missed: int = 0
    trial_from_ms: int = 0

    def sent(self, request: str, now_ms: int, within_ms: int) -> None:
        """Take that a request goes out."""
        self.waiting.add(request)
        self.within_ms = within_ms
        if self.due_ms is None:
            self.due_ms = now_ms + within_ms

    def broken(self, now_ms: int) -> int:
        """Take a sign of life; return how many had been missed."""
        missed, self.missed = self.missed, 0
        self.due_ms = now_ms + self.within_ms if len(self.waiting) > 1 else None
        return missed

    def ended(self, request: str) -> None:
        """Take that a request waits no longer."""
        self.waiting.discard(request)
        if not self.waiting:
            self.due_ms = None

    def look(self, now_ms: int) -> bool:
        """Count a sign that is overdue as missed; return whether it was."""
        if self.due_ms is None or now_ms < self.due_ms:
            return False
        self.trial_from_ms = now_ms + pause_ms(self.missed)
        self.missed = min(self.missed + 1, MOST_DOUBLINGS)
        self.due_ms = None
        return True

    def holds_back(self, now_ms: int) -> bool:
        """Tell whether nothing more should be sent: a trial is under way, or not due yet."""
        return self.missed > 0 and (now_ms < self.trial_from_ms or self.due_ms is not None)
