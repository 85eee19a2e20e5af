"""Expects when a model runner will have read a prompt, from what is to be read there before it."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.server_life import ServerLife
from .first_event import BASE_LATENCY_MS

INITIAL_TOKENS_PER_MS: Final = 20.0
"""First guess: an engine of the usual size reads 10,000 tokens in half a second."""

INITIAL_WEIGHT_TOKENS: Final = 10_000
"""What the first guess weighs, in tokens: after two or three long queues it no longer counts."""

SHARED_WEIGHT_TOKENS: Final = 40_000
"""What all runners' pace weighs in one runner's, in tokens: a node that sends three generations a
second to fifty runners sees each of them too seldom to know it from its own."""

OBSERVATION_HALF_LIFE_MS: Final = 12_000
"""After so long an observation counts half: a runner that turned slow is soon known to be."""

MIN_DRAIN_MS: Final = 500
"""Shortest time after which a caller that was sent away for a queue may come back: sooner, what is
known of the queue is as it was."""

MIN_QUEUE_SHARE: Final = 0.5
"""Only a request with at least this share of what was to be read ahead of itself tells of reading:
at an idle runner most of the time to the first event is the way there and the engine's steps."""


@attrs.define(slots=True)
class _Observations:
    """Tokens that were read, and the time that it took; older ones weigh less."""

    tokens: float = 0.0
    took_ms: float = 0.0
    decayed_at_ms: int = 0

    def add(self, tokens: float, took_ms: float, now_ms: int) -> None:
        self.decay(now_ms)
        self.tokens += tokens
        self.took_ms += took_ms

    def decay(self, now_ms: int) -> None:
        kept = 0.5 ** (max(0, now_ms - self.decayed_at_ms) / OBSERVATION_HALF_LIFE_MS)
        self.tokens *= kept
        self.took_ms *= kept
        self.decayed_at_ms = now_ms


class PrefillRate:
    """Prompt tokens that runners read in a millisecond, as this node sees it.

    The tokens are those that callers name. What a runner need not read since it keeps it, and what
    it reads of requests that nobody told of, is part of the pace.

    >>> pace = PrefillRate()
    >>> pace.expected_ms("i-1", 200_000, 0)
    10050
    >>> for _ in range(50):
    ...     pace.record("i-1", 100_000, 2_000, 2_550, 0)
    >>> pace.expected_ms("i-1", 200_000, 0)
    5050
    """

    def __init__(self) -> None:
        self._all_runners = _Observations()
        self._observations_by_life: dict[ServerLife, _Observations] = {}

    def record(
        self, life: ServerLife, tokens: int, prompt_tokens: int, took_ms: int, now_ms: int
    ) -> None:
        """Take how long a prompt took from its sending to the first event.

        :param tokens: that were to be read until then, ``own_tokens`` of them its own.
        """
        if tokens - prompt_tokens < tokens * MIN_QUEUE_SHARE or tokens <= 0:
            return
        reading_ms = max(1, took_ms - BASE_LATENCY_MS)
        self._all_runners.add(tokens, reading_ms, now_ms)
        self._observations_by_life.setdefault(life, _Observations()).add(tokens, reading_ms, now_ms)

    def record_overdue(
        self, life: ServerLife, tokens: int, prompt_tokens: int, waited_ms: int, now_ms: int
    ) -> None:
        """Take that a prompt was not read within a time.

        That says something only where it should have been read by then. Left out, a runner that
        reads nothing at all would be taken for as fast as it was.
        """
        if waited_ms > self.expected_ms(life, tokens, now_ms):
            self.record(life, tokens, prompt_tokens, waited_ms, now_ms)

    def tokens_per_ms(self, life: ServerLife | None, now_ms: int) -> float:
        """Return the pace of a runner; without one, of all."""
        self._all_runners.decay(now_ms)
        shared = (self._all_runners.tokens + INITIAL_WEIGHT_TOKENS) / (
            self._all_runners.took_ms + INITIAL_WEIGHT_TOKENS / INITIAL_TOKENS_PER_MS
        )
        own = self._observations_by_life.get(life) if life is not None else None
        if own is None:
            return shared
        own.decay(now_ms)
        return (own.tokens + SHARED_WEIGHT_TOKENS) / (own.took_ms + SHARED_WEIGHT_TOKENS / shared)

    def expected_ms(self, life: ServerLife | None, tokens: int, now_ms: int) -> int:
        """Return in how long a runner will have read what is to be read there."""
        return round(BASE_LATENCY_MS + tokens / self.tokens_per_ms(life, now_ms))

    def forget(self, life: ServerLife) -> None:
        """Drop a runner that is gone."""
        self._observations_by_life.pop(life, None)
