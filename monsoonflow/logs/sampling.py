"""Limits how many log lines of one kind and cause are written, and counts the others."""

from __future__ import annotations

from typing import Final

import attrs

MAX_LINES_PER_SECOND: Final = 20
"""Lines of one kind and cause written each second: at overload, refusals repeat the same line."""


@attrs.define(slots=True)
class _LineCounts:
    """Lines of one kind and cause in the last second that had any."""

    last_second: int = -1
    written_count: int = 0
    left_out_count: int = 0


class Sampler:
    """Decides which lines of one kind and cause are written: the first ones of each second.

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
        """Return whether a line may be written; count it where not."""
        counts = self._counts_by_kind_and_cause.setdefault((kind, cause), _LineCounts())
        second = now_ms // 1000
        if second != counts.last_second:
            counts.last_second = second
            counts.written_count = 0
        if counts.written_count >= self._max_lines_per_second:
            counts.left_out_count += 1
            return False
        counts.written_count += 1
        return True

    def left_out(self, now_ms: int) -> list[tuple[str, str, int]]:
        """Return kind, cause and number of the lines left out in past seconds; reset the counts."""
        second = now_ms // 1000
        left_out = []
        for (kind, cause), counts in list(self._counts_by_kind_and_cause.items()):
            if counts.last_second >= second:
                continue
            if counts.left_out_count:
                left_out.append((kind, cause, counts.left_out_count))
            del self._counts_by_kind_and_cause[kind, cause]
        return left_out
