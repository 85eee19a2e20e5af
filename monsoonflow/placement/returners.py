"""Remembers who was refused a place, and since when its caller has tried.

The load that it is made for: a rush in which refused callers come back. A latency objective counts
from a caller's first try; taken for new, one that comes back would get a place before callers that
can still be answered in time.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final, TypeAlias

import attrs

KEPT_MS: Final = 30_000
"""Longer than callers wait; after it a prompt with the same last part is a new request."""

MOST_KEPT: Final = 4_096
"""Some hundred refusals a second through the time that a caller waits; 0.5 MB."""

Prompt: TypeAlias = tuple[str, str]
"""An adapter and the last part of the prompt, which belongs to the request or its session."""


@attrs.frozen(slots=True)
class _Refused:
    since_ms: int
    at_ms: int


class Returners:
    """The callers that were refused lately, by what they asked for.

    Deadlines tell it only where all callers of a route name the same: on others they differ by more
    than they wait (by 15 % of 15 s on one route).

    >>> returners = Returners()
    >>> returners.refused(("m/a1", "5c1e"), since_ms=100, now_ms=700)
    >>> returners.since_ms(("m/a1", "5c1e"), now_ms=1_500), returners.since_ms(("m/a1", "9"), 1_500)
    (100, None)
    """

    def __init__(self) -> None:
        self._by_prompt: OrderedDict[Prompt, _Refused] = OrderedDict()

    def refused(self, prompt: Prompt, since_ms: int, now_ms: int) -> None:
        """Note that a caller was sent away."""
        self._by_prompt[prompt] = _Refused(since_ms, now_ms)
        self._by_prompt.move_to_end(prompt)
        while len(self._by_prompt) > MOST_KEPT:
            self._by_prompt.popitem(last=False)

    def since_ms(self, prompt: Prompt, now_ms: int) -> int | None:
        """Return when a caller that was sent away first came; ``None`` for a new one."""
        entry = self._by_prompt.get(prompt)
        if entry is None or now_ms - entry.at_ms > KEPT_MS:
            return None
        return entry.since_ms
