"""Estimates when a runner finishes the prefill of a prompt, from the queue ahead of it."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.server_life import ServerLife
from .first_event import BASE_LATENCY_MS

INITIAL_TOKENS_PER_MS: Final = 20.0
"""Initial estimate: a typical engine prefills 10,000 tokens in half a second."""

INITIAL_WEIGHT_TOKENS: Final = 10_000
"""Weight of the initial estimate, in tokens: after two or three long queues it hardly counts."""

SHARED_WEIGHT_TOKENS: Final = 40_000
"""Weight of the rate of all runners in the rate of one runner, in tokens. A node that sends three
generations a second to fifty runners has too few observations of each for a rate of its own."""

OBSERVATION_HALF_LIFE_MS: Final = 12_000
"""Time after which an observation counts half, so that a runner that became slow is soon
detected."""

MIN_DRAIN_MS: Final = 500
"""Shortest retry delay for a caller refused because of a long queue: before that, this node has no
newer information about the queue."""

MIN_QUEUE_SHARE: Final = 0.5
"""An observation counts only if at least this share of the pending tokens was ahead of the request
itself: at an idle runner the time to the first event is mostly the network and the engine's
steps."""


@attrs.define(slots=True)
class _Observations:
    """Prefilled tokens and the time taken, as sums in which older observations count less."""

    tokens: float = 0.0
    took_ms: float = 0.0
    decayed_at_ms: int = 0

    def add(self, tokens: float, took_ms: float, now_ms: int) -> None:
        self.decay(now_ms)
        self.tokens += tokens
        self.took_ms += took_ms

    def decay(self, now_ms: int) -> None:
        factor = 0.5 ** (max(0, now_ms - self.decayed_at_ms) / OBSERVATION_HALF_LIFE_MS)
        self.tokens *= factor
        self.took_ms *= factor
        self.decayed_at_ms = now_ms


class PrefillRate:
    """Prompt tokens that runners prefill per millisecond, as this node observes it.

    The tokens are those that callers declare. The rate therefore includes prompts that a runner
    skips because they are in its cache, and prefill of requests that this node does not know of.

    >>> rate = PrefillRate()
    >>> rate.expected_ms("i-1", 200_000, 0)
    10050
    >>> for _ in range(50):
    ...     rate.record("i-1", 100_000, 2_000, 2_550, 0)
    >>> rate.expected_ms("i-1", 200_000, 0)
    5050
    """

    def __init__(self) -> None:
        self._all_runners = _Observations()
        self._observations_by_life: dict[ServerLife, _Observations] = {}

    def record(
        self, life: ServerLife, tokens: int, prompt_tokens: int, took_ms: int, now_ms: int
    ) -> None:
        """Record the time from sending a prompt to its first event.

        :param tokens: tokens pending at the runner until then, including the prompt's own.
        :param prompt_tokens: the prompt's own tokens.
        :param took_ms: time from sending the prompt to its first event.
        """
        if tokens - prompt_tokens < tokens * MIN_QUEUE_SHARE or tokens <= 0:
            return
        prefill_ms = max(1, took_ms - BASE_LATENCY_MS)
        self._all_runners.add(tokens, prefill_ms, now_ms)
        self._observations_by_life.setdefault(life, _Observations()).add(tokens, prefill_ms, now_ms)

    def record_overdue(
        self, life: ServerLife, tokens: int, prompt_tokens: int, waited_ms: int, now_ms: int
    ) -> None:
        """Record that a prompt had no first event after ``waited_ms``.

        This counts only if the first event was due by then. Without it, a runner that processes
        nothing would keep the rate it had before.
        """
        if waited_ms > self.expected_ms(life, tokens, now_ms):
            self.record(life, tokens, prompt_tokens, waited_ms, now_ms)

    def tokens_per_ms(self, life: ServerLife | None, now_ms: int) -> float:
        """Return the prefill rate of a runner, or of all runners if ``life`` is ``None``."""
        self._all_runners.decay(now_ms)
        shared_rate = (self._all_runners.tokens + INITIAL_WEIGHT_TOKENS) / (
            self._all_runners.took_ms + INITIAL_WEIGHT_TOKENS / INITIAL_TOKENS_PER_MS
        )
        own = self._observations_by_life.get(life) if life is not None else None
        if own is None:
            return shared_rate
        own.decay(now_ms)
        return (own.tokens + SHARED_WEIGHT_TOKENS) / (
            own.took_ms + SHARED_WEIGHT_TOKENS / shared_rate
        )

    def expected_ms(self, life: ServerLife | None, tokens: int, now_ms: int) -> int:
        """Return the expected time until a runner has prefilled the given pending tokens."""
        return round(BASE_LATENCY_MS + tokens / self.tokens_per_ms(life, now_ms))

    def forget(self, life: ServerLife) -> None:
        """Drop the observations of a removed runner."""
        self._observations_by_life.pop(life, None)
