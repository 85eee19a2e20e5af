"""Counts what was sent to runners so lately that no report tells of it yet."""

from __future__ import annotations

from collections import deque

from ..core.server_life import ServerLife


class RecentlySent:
    """The prompt tokens of requests that were lately sent to runners.

    The load that it is made for: a hot adapter's runner gets ten requests between two reports. Each
    judged by the last report alone, all of them find the same room there.

    :param unreported_ms: after how long reports tell of a request.

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
        # Also where nobody asks: it would grow with each request that is sent.
        self._drop_reported(sent, now_ms)
        sent.append((now_ms, tokens))

    def tokens(self, life: ServerLife, now_ms: int) -> int:
        """Return what is on its way to a runner unreported."""
        sent = self._sent_by_life.get(life)
        if not sent:
            return 0
        self._drop_reported(sent, now_ms)
        return sum(tokens for _, tokens in sent)

    def _drop_reported(self, sent: deque[tuple[int, int]], now_ms: int) -> None:
        while sent and now_ms - sent[0][0] > self._report_delay_ms:
            sent.popleft()

    def forget(self, life: ServerLife) -> None:
        """Drop a runner that is gone."""
        self._sent_by_life.pop(life, None)
