"""Expects when a generation's first event comes, from how long the last ones took."""

from __future__ import annotations

from typing import Final

BASE_LATENCY_MS: Final = 50
"""Part that does not grow with the prompt: the way there and back, and one step."""

INITIAL_MS_PER_TOKEN: Final = 0.1
"""Before anything was measured: 250 ms for a usual prompt of 2,000 tokens."""

SMOOTHING: Final = 0.1
"""Weight of one measurement: the last ten or so count, half a second of a busy node."""

MIN_PROMPT_TOKENS: Final = 200
"""Shorter prompts tell of the queue rather than of reading."""


class FirstEventEstimator:
    """Milliseconds a prompt token until the first event, as this node sees it.

    >>> pace = FirstEventEstimator()
    >>> pace.expected_ms(2_000)
    250
    >>> for _ in range(100):
    ...     pace.record(1_000, 450)
    >>> pace.expected_ms(2_000)
    850
    """

    def __init__(self) -> None:
        self._ms_per_token = INITIAL_MS_PER_TOKEN

    def record(self, prompt_tokens: int, took_ms: int) -> None:
        """Take how long a prompt took from its sending to the first event."""
        seen = max(0, took_ms - BASE_LATENCY_MS) / max(MIN_PROMPT_TOKENS, prompt_tokens)
        self._ms_per_token += (seen - self._ms_per_token) * SMOOTHING

    def expected_ms(self, prompt_tokens: int) -> int:
        """Return how long a prompt is expected to take."""
        return round(BASE_LATENCY_MS + self._ms_per_token * prompt_tokens)
