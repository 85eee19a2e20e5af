"""Estimates the time to the first event of a generation from recent requests."""

from __future__ import annotations

from typing import Final

BASE_LATENCY_MS: Final = 50
"""Time that does not depend on the prompt: the network round trip and one engine step."""

INITIAL_MS_PER_TOKEN: Final = 0.1
"""Initial estimate: 250 ms for a typical prompt of 2,000 tokens."""

SMOOTHING: Final = 0.1
"""Weight of one request in the moving average: about the last ten requests count, half a second on
a busy node."""

MIN_PROMPT_TOKENS: Final = 200
"""Shorter prompts count as this long: their time is dominated by the queue, not by the prefill."""


class FirstEventEstimator:
    """Time to the first event, per prompt token, as this node observes it.

    >>> estimator = FirstEventEstimator()
    >>> estimator.expected_ms(2_000)
    250
    >>> for _ in range(100):
    ...     estimator.record(1_000, 450)
    >>> estimator.expected_ms(2_000)
    850
    """

    def __init__(self) -> None:
        self._ms_per_token = INITIAL_MS_PER_TOKEN

    def record(self, prompt_tokens: int, took_ms: int) -> None:
        """Record the time from sending a prompt to its first event."""
        ms_per_token = max(0, took_ms - BASE_LATENCY_MS) / max(MIN_PROMPT_TOKENS, prompt_tokens)
        self._ms_per_token += (ms_per_token - self._ms_per_token) * SMOOTHING

    def expected_ms(self, prompt_tokens: int) -> int:
        """Return the expected time from sending a prompt to its first event."""
        return round(BASE_LATENCY_MS + self._ms_per_token * prompt_tokens)
