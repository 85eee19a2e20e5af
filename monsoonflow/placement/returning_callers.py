"""Remembers which callers were refused a slot, and when they made their first attempt.

During a rush, refused callers retry. A latency objective counts from a caller's first attempt; if a
retry were treated as a new request, it would get a slot before callers that can still be answered
in time.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final, TypeAlias

import attrs

RETENTION_MS: Final = 30_000
"""Longer than callers wait; a later prompt with the same last part is a new request."""

MAX_ENTRIES: Final = 4_096
"""Several hundred refusals a second for as long as a caller waits; 0.5 MB."""

PromptKey: TypeAlias = tuple[str, str]
"""An adapter and the last part of the prompt, which identifies the request or its session."""


@attrs.frozen(slots=True)
class _RefusedCaller:
    first_attempt_ms: int
    refused_ms: int


class ReturningCallers:
    """The callers that were refused recently, by prompt.

    Deadlines identify a returning caller only on routes whose callers all use the same one. On
    other routes deadlines differ by more than callers wait (by 15 % of 15 s on one route).

    >>> callers = ReturningCallers()
    >>> callers.record_refusal(("m/a1", "5c1e"), first_attempt_ms=100, now_ms=700)
    >>> callers.first_attempt_ms(("m/a1", "5c1e"), now_ms=1_500)
    100
    >>> callers.first_attempt_ms(("m/a1", "9"), 1_500)
    """

    def __init__(self) -> None:
        self._refused_by_prompt: OrderedDict[PromptKey, _RefusedCaller] = OrderedDict()

    def record_refusal(self, prompt: PromptKey, first_attempt_ms: int, now_ms: int) -> None:
        """Record that a caller was refused."""
        self._refused_by_prompt[prompt] = _RefusedCaller(first_attempt_ms, now_ms)
        self._refused_by_prompt.move_to_end(prompt)
        while len(self._refused_by_prompt) > MAX_ENTRIES:
            self._refused_by_prompt.popitem(last=False)

    def first_attempt_ms(self, prompt: PromptKey, now_ms: int) -> int | None:
        """Return when a refused caller made its first attempt; ``None`` for a new caller."""
        refused = self._refused_by_prompt.get(prompt)
        if refused is None or now_ms - refused.refused_ms > RETENTION_MS:
            return None
        return refused.first_attempt_ms
