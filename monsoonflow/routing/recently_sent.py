"""Counts the prompt tokens sent to runners too recently to be in any report."""

from __future__ import annotations

from collections import deque

from ..core.server_life import ServerLife


class RecentlySent:
    """The prompt tokens of requests that were recently sent to runners.

    A runner with a popular adapter can get ten requests between two reports. Without this count,
    each of them would be placed by the last report alone and find the same free capacity.

    :param report_delay_ms: time after which reports include a request.

    >>> sent = RecentlySent(250)
    >>> sent.add("i-1", 2_000, 0)
    >>> sent.tokens("i-1", 100), sent.tokens("i-1", 400)
    (2000, 0)
    """

    def __init__(self, report_delay_ms: int) -> None:
        self._report_delay_ms = report_delay_ms
        self._sent_by_life: dict[ServerLife, deque[tuple[int, int]]] = {}

    def add(self, life: ServerLife, tokens: int, now_ms: int) -> None:
        """Count a request that is about to be sent."""
        sent = self._sent_by_life.setdefault(life, deque())
        # Also needed here: for a runner that is never queried, the queue would grow without bound.
        self._drop_reported(sent, now_ms)
        sent.append((now_ms, tokens))

    def tokens(self, life: ServerLife, now_ms: int) -> int:
        """Return the tokens sent to a runner that no report includes yet."""
        sent = self._sent_by_life.get(life)
        if not sent:
            return 0
        self._drop_reported(sent, now_ms)
        return sum(tokens for _, tokens in sent)

    def _drop_reported(self, sent: deque[tuple[int, int]], now_ms: int) -> None:
        while sent and now_ms - sent[0][0] > self._report_delay_ms:
            sent.popleft()

    def forget(self, life: ServerLife) -> None:
        """Drop the counts of a removed runner."""
        self._sent_by_life.pop(life, None)
