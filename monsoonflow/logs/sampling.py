"""Leaves out lines that repeat, and counts them."""

from __future__ import annotations

from typing import Final

import attrs

PER_SECOND: Final = 20
"""Lines of one kind and cause written in a second; at overload refusals repeat the same."""


@attrs.define(slots=True)
class _Kind:
    second: int = -1
    written: int = 0
    left_out: int = 0


class Sampler:
    """Decides which lines of a kind are written: the first of each second always are.

    >>> sampler = Sampler(per_second=1)
    >>> sampler.allows("refused", "full", 0), sampler.allows("refused", "full", 10)
    (True, False)
    >>> sampler.left_out(1_000)
    [('refused', 'full', 1)]
    """

    def __init__(self, per_second: int = PER_SECOND) -> None:
        self._per_second = per_second
        self._kinds: dict[tuple[str, str], _Kind] = {}

    def allows(self, kind: str, cause: str, now_ms: int) -> bool:
        """Tell whether a line is written; one that is not is counted."""
        known = self._kinds.setdefault((kind, cause), _Kind())
        second = now_ms // 1000
        if second != known.second:
            known.second = second
            known.written = 0
        if known.written >= self._per_second:
            known.left_out += 1
            return False
        known.written += 1
        return True

    def left_out(self, now_ms: int) -> list[tuple[str, str, int]]:
        """Return what was left out in seconds that are over, and count anew."""
        second = now_ms // 1000
        told = []
        for (kind, cause), known in list(self._kinds.items()):
            if known.second >= second:
                continue
            if known.left_out:
                told.append((kind, cause, known.left_out))
            del self._kinds[kind, cause]
        return told
