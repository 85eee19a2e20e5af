"""Leaves out lines that repeat, and counts them."""

from __future__ import annotations

from typing import Final

import attrs

MAX_LINES_PER_SECOND: Final = 20
"""Lines of one kind and cause written in a second; at overload refusals repeat the same."""


@attrs.define(slots=True)
class _LineCounts:
    last_second: int = -1
    written_count: int = 0
    left_out_count: int = 0


class Sampler:
    """Decides which lines of a kind are written: the first of each second always are.

    >>> sampler = Sampler(max_lines_per_second=1)
    >>> sampler.allows("refused", "full", 0), sampler.allows("refused", "full", 10)
    (True, False)
    >>> sampler.left_out(1_000)
    [('refused', 'full', 1)]
    """

    def __init__(self, max_lines_per_second: int = MAX_LINES_PER_SECOND) -> None:
        self._max_lines_per_second = max_lines_per_second
        self._counts_by_kind_and_cause: dict[tuple[str, str], _LineCounts] = {}

    def allows(self, kind: str, cause: str, now_ms: int) -> bool:
        """Tell whether a line is written; one that is not is counted."""
        known = self._counts_by_kind_and_cause.setdefault((kind, cause), _LineCounts())
        second = now_ms // 1000
        if second != known.last_second:
            known.last_second = second
            known.written_count = 0
        if known.written_count >= self._max_lines_per_second:
            known.left_out_count += 1
            return False
        known.written_count += 1
        return True

    def left_out(self, now_ms: int) -> list[tuple[str, str, int]]:
        """Return what was left out in seconds that are over, and count anew."""
        second = now_ms // 1000
        told = []
        for (kind, cause), known in list(self._counts_by_kind_and_cause.items()):
            if known.last_second >= second:
                continue
            if known.left_out_count:
                told.append((kind, cause, known.left_out_count))
            del self._counts_by_kind_and_cause[kind, cause]
        return told
