"""Notices a server that gives no sign while requests wait at it."""

from __future__ import annotations

import attrs

from .backoff import MAX_DOUBLINGS, backoff_ms


@attrs.define(slots=True)
class ResponseWatch:
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

    pending_requests: set[str] = attrs.Factory(set)
    timeout_ms: int = 0
    due_ms: int | None = None
    missed_count: int = 0
    probe_from_ms: int = 0

    def record_sent(self, request: str, now_ms: int, timeout_ms: int) -> None:
        """Take that a request goes out."""
        self.pending_requests.add(request)
        self.timeout_ms = timeout_ms
        if self.due_ms is None:
            self.due_ms = now_ms + timeout_ms

    def record_response(self, now_ms: int) -> int:
        """Take a sign of life; return how many had been missed."""
        missed, self.missed_count = self.missed_count, 0
        self.due_ms = now_ms + self.timeout_ms if len(self.pending_requests) > 1 else None
        return missed

    def record_finished(self, request: str) -> None:
        """Take that a request waits no longer."""
        self.pending_requests.discard(request)
        if not self.pending_requests:
            self.due_ms = None

    def check_overdue(self, now_ms: int) -> bool:
        """Count a sign that is overdue as missed; return whether it was."""
        if self.due_ms is None or now_ms < self.due_ms:
            return False
        self.probe_from_ms = now_ms + backoff_ms(self.missed_count)
        self.missed_count = min(self.missed_count + 1, MAX_DOUBLINGS)
        self.due_ms = None
        return True

    def is_held_back(self, now_ms: int) -> bool:
        """Tell whether nothing more should be sent: a trial is under way, or not due yet."""
        return self.missed_count > 0 and (now_ms < self.probe_from_ms or self.due_ms is not None)
