"""Remembers who was refused a place, and since when its caller has tried.

The load that it is made for: a rush in which refused callers come back. A latency objective counts
from a caller's first try; taken for new, one that comes back would get a place before callers that
can still be answered in time.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final, TypeAlias

import attrs

RETENTION_MS: Final = 30_000
"""Longer than callers wait; after it a prompt with the same last part is a new request."""

MAX_ENTRIES: Final = 4_096
"""Some hundred refusals a second through the time that a caller waits; 0.5 MB."""

PromptKey: TypeAlias = tuple[str, str]
"""An adapter and the last part of the prompt, which belongs to the request or its session."""


@attrs.frozen(slots=True)
class _RefusedCaller:
    first_attempt_ms: int
    refused_ms: int


class ReturningCallers:
    """The callers that were refused lately, by what they asked for.

    Deadlines tell it only where all callers of a route name the same: on others they differ by more
    than they wait (by 15 % of 15 s on one route).

    >>> returners = ReturningCallers()
    >>> returners.record_refusal(("m/a1", "5c1e"), first_attempt_ms=100, now_ms=700)
    >>> returners.first_attempt_ms(("m/a1", "5c1e"), now_ms=1_500)
    100
    >>> returners.first_attempt_ms(("m/a1", "9"), 1_500)
    """

    def __init__(self) -> None:
        self._by_prompt: OrderedDict[PromptKey, _RefusedCaller] = OrderedDict()

    def record_refusal(self, prompt: PromptKey, first_attempt_ms: int, now_ms: int) -> None:
        """Note that a caller was sent away."""
        self._by_prompt[prompt] = _RefusedCaller(first_attempt_ms, now_ms)
        self._by_prompt.move_to_end(prompt)
        while len(self._by_prompt) > MAX_ENTRIES:
            self._by_prompt.popitem(last=False)

    def first_attempt_ms(self, prompt: PromptKey, now_ms: int) -> int | None:
        """Return when a caller that was sent away first came; ``None`` for a new one."""
        entry = self._by_prompt.get(prompt)
        if entry is None or now_ms - entry.refused_ms > RETENTION_MS:
            return None
        return entry.first_attempt_ms
