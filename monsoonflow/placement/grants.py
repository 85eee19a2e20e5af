"""Counts what was sent to runners so lately that no report tells of it yet."""

from __future__ import annotations

from collections import deque
from typing import Final

from ..core.server_life import ServerLife

UNREPORTED_MS: Final = 250
"""A request shows up in its node's next report, 200 ms later at most, and a moment on the way."""


class Grants:
    """The prompt tokens of requests that were lately granted a runner.

    The load that it is made for: a hot adapter's runner takes ten grants between two reports. Each
    judged by the last report alone, all of them find the same room there.

    >>> grants = Grants()
    >>> grants.add("i-1", 2_000, 0)
    >>> grants.tokens("i-1", 100), grants.tokens("i-1", 400)
    (2000, 0)
    """

    def __init__(self) -> None:
        self._by_life: dict[ServerLife, deque[tuple[int, int]]] = {}

    def add(self, life: ServerLife, tokens: int, now_ms: int) -> None:
        """Count a request that is about to be sent."""
        self._by_life.setdefault(life, deque()).append((now_ms, tokens))

    def tokens(self, life: ServerLife, now_ms: int) -> int:
        """Return what is on its way to a runner unreported."""
        granted = self._by_life.get(life)
        if not granted:
            return 0
        while granted and now_ms - granted[0][0] > UNREPORTED_MS:
            granted.popleft()
        return sum(tokens for _, tokens in granted)

    def forget(self, life: ServerLife) -> None:
        """Drop a runner that is gone."""
        self._by_life.pop(life, None)
