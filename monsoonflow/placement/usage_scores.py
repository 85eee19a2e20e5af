"""How much adapters were used lately: which of them are worth their places."""

from __future__ import annotations

import math
from typing import Final

HALF_LIFE_MS: Final = 8_000
MAX_SCORES: Final = 8_000
MIN_SCORE: Final = 0.001
"""Adapters below this are forgotten when many are known."""


class UsageScores:
    """The use of adapters, fading.

    >>> heat = UsageScores()
    >>> heat.add("a", 2.0, 0)
    >>> round(heat.score_of("a", HALF_LIFE_MS), 3), heat.score_of("b", 0)
    (1.0, 0.0)
    """

    def __init__(self) -> None:
        self._by_name: dict[str, tuple[float, int]] = {}

    def score_of(self, name: str, now_ms: int) -> float:
        """Return how much an adapter was used lately."""
        value, at_ms = self._by_name.get(name, (0.0, now_ms))
        return value * math.exp2((at_ms - now_ms) / HALF_LIFE_MS)

    def add(self, name: str, by: float, now_ms: int) -> None:
        """Count use: requests in progress times seconds."""
        self._by_name[name] = (self.score_of(name, now_ms) + by, now_ms)

    def remove_unused(self, now_ms: int) -> None:
        """Forget what was hardly used, when much is known."""
        if len(self._by_name) <= MAX_SCORES:
            return
        kept = {
            n: known for n, known in self._by_name.items() if self.score_of(n, now_ms) > MIN_SCORE
        }
        self._by_name = kept
