"""Limits loads of base models to the rate that the weight store allows."""

from __future__ import annotations

import math
from typing import Final

HOLDER_SHARE: Final = 0.5
"""Share of a window's loads that one lease holder may start: the next holder's count starts at
0."""

LONG_AGO_MS: Final = -1_000_000_000
"""Default for when this node became the lease holder: longer ago than any window."""


class ModelLoadLimit:
    """Limits the loads of base models that this lease holder starts within a window.

    A new holder does not know which loads earlier holders have started. Its share grows with the
    time that it holds the cell lease. All holders within one window together therefore start no
    more than one share, in addition to the share of the holder before them.

    :param loads_per_s: rate of loads that the weight store allows.
    :param window_ms: window in which the operator counts loads.
    :param holder_since_ms: when this node became the lease holder.
    :param cells: number of cells whose lease holders share the rate.

    >>> limit = ModelLoadLimit(loads_per_s=1.0)
    >>> [limit.allows(0) and limit.record_start(0) is None for _ in range(4)]
    [True, True, False, False]
    >>> limit.allows(5_000)
    True
    """

    def __init__(
        self,
        loads_per_s: float,
        window_ms: int = 5_000,
        holder_since_ms: int = LONG_AGO_MS,
        cells: int = 1,
    ) -> None:
        self._loads_per_s = loads_per_s
        self.cells = cells
        self._window_ms = window_ms
        self._holder_since_ms = holder_since_ms
        self._started_ms: list[int] = []

    def allows(self, now_ms: int) -> bool:
        """Tell whether one more load may start."""
        window_ms = self._window_ms
        self._started_ms = [
            started_ms for started_ms in self._started_ms if now_ms - started_ms < window_ms
        ]
        held_ms = min(window_ms, now_ms - self._holder_since_ms)
        allowed = math.floor(self._loads_per_s / self.cells * held_ms / 1000 * HOLDER_SHARE)
        if held_ms == window_ms:
            # At the lowest rates a share of a window is less than one load.
            allowed = max(1, allowed)
        return len(self._started_ms) < allowed

    def record_start(self, now_ms: int) -> None:
        """Record that a load was started."""
        self._started_ms.append(now_ms)

    def undo_start(self) -> None:
        """Remove the last recorded start, whose order was never carried out."""
        if self._started_ms:
            self._started_ms.pop()
