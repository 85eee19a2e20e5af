"""Scores how much each adapter was used recently, to decide which ones keep their slots."""

from __future__ import annotations

import math
from typing import Final

HALF_LIFE_MS: Final = 8_000
MAX_SCORES: Final = 8_000
MIN_SCORE: Final = 0.001
"""Scores up to this value are removed when there are more than ``MAX_SCORES``."""


class UsageScores:
    """Exponentially decaying usage per adapter, in requests in progress times seconds.

    >>> scores = UsageScores()
    >>> scores.add("a", 2.0, 0)
    >>> round(scores.score_of("a", HALF_LIFE_MS), 3), scores.score_of("b", 0)
    (1.0, 0.0)
    """

    def __init__(self) -> None:
        self._score_by_adapter: dict[str, tuple[float, int]] = {}

    def score_of(self, name: str, now_ms: int) -> float:
        """Return the current score of an adapter; 0 if it has none."""
        score, updated_ms = self._score_by_adapter.get(name, (0.0, now_ms))
        return score * math.exp2((updated_ms - now_ms) / HALF_LIFE_MS)

    def add(self, name: str, usage: float, now_ms: int) -> None:
        """Add usage to an adapter's score: requests in progress times seconds."""
        self._score_by_adapter[name] = (self.score_of(name, now_ms) + usage, now_ms)

    def remove_unused(self, now_ms: int) -> None:
        """Remove the scores of adapters that are hardly used, if there are too many scores."""
        if len(self._score_by_adapter) <= MAX_SCORES:
            return
        kept = {
            name: entry
            for name, entry in self._score_by_adapter.items()
            if self.score_of(name, now_ms) > MIN_SCORE
        }
        self._score_by_adapter = kept
