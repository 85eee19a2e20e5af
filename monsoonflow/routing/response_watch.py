"""Detects a server that sends no response while it has requests in progress."""

from __future__ import annotations

import attrs

from .backoff import MAX_DOUBLINGS, backoff_ms


@attrs.define(slots=True)
class ResponseWatch:
    """Watches whether one server responds while it has requests in progress.

    If a server's process is suspended, its kernel still accepts and buffers requests. They cannot
    be recalled: the process reads them when it resumes, long after the callers have left and even
    after the server was treated as removed. Therefore an unresponsive server gets only one probe
    request at a time.

    :param pending_requests: ids of the requests that were sent and have not finished.
    :param timeout_ms: time within which the next response is expected.
    :param due_ms: when the next response is expected; ``None`` while none is.
    :param missed_count: consecutive times that no response arrived in time.
    :param probe_from_ms: when the next request may be sent after a missed response.
    """

    pending_requests: set[str] = attrs.Factory(set)
    timeout_ms: int = 0
    due_ms: int | None = None
    missed_count: int = 0
    probe_from_ms: int = 0

    def record_sent(self, request: str, now_ms: int, timeout_ms: int) -> None:
        """Record that a request was sent."""
        self.pending_requests.add(request)
        self.timeout_ms = timeout_ms
        if self.due_ms is None:
            self.due_ms = now_ms + timeout_ms

    def record_response(self, now_ms: int) -> int:
        """Record a response; return how many responses had been missed before it."""
        missed_count, self.missed_count = self.missed_count, 0
        self.due_ms = now_ms + self.timeout_ms if len(self.pending_requests) > 1 else None
        return missed_count

    def record_finished(self, request: str) -> None:
        """Record that a request is finished."""
        self.pending_requests.discard(request)
        if not self.pending_requests:
            self.due_ms = None

    def check_overdue(self, now_ms: int) -> bool:
        """Count an overdue response as missed; return whether one was overdue."""
        if self.due_ms is None or now_ms < self.due_ms:
            return False
        self.probe_from_ms = now_ms + backoff_ms(self.missed_count)
        self.missed_count = min(self.missed_count + 1, MAX_DOUBLINGS)
        self.due_ms = None
        return True

    def is_held_back(self, now_ms: int) -> bool:
        """Return whether no request should be sent: a probe is in progress or not allowed yet."""
        return self.missed_count > 0 and (now_ms < self.probe_from_ms or self.due_ms is not None)
