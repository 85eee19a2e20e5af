"""Keeps loads of base models under the rate that the weight store allows."""

from __future__ import annotations

import math
from typing import Final

HOLDER_SHARE: Final = 0.5
"""Share of a window's loads that one holder begins: the next one starts with an empty count."""

LONG_AGO_MS: Final = -1_000_000_000


class ModelLoadLimit:
    """The loads of base models that this holder began lately.

    A new holder does not know what those before it have begun. Its share grows with the time that
    it holds the duty, so that any number of holders in one window have one share together, beside
    that of the one that held it before.

    :param window_ms: the window in which the operator counts them.
    :param since_ms: since when this holder holds the duty.

    >>> loads = ModelLoadLimit(loads_per_s=1.0)
    >>> [loads.allows(0) and loads.record_start(0) is None for _ in range(4)]
    [True, True, False, False]
    >>> loads.allows(5_000)
    True
    """

    def __init__(
        self, loads_per_s: float, window_ms: int = 5_000, holder_since_ms: int = LONG_AGO_MS
    ) -> None:
        self._loads_per_s = loads_per_s
        self._window_ms = window_ms
        self._since_ms = holder_since_ms
        self._began_ms: list[int] = []

    def allows(self, now_ms: int) -> bool:
        """Tell whether one more may begin."""
        window_ms = self._window_ms
        self._began_ms = [at_ms for at_ms in self._began_ms if now_ms - at_ms < window_ms]
        held_ms = min(window_ms, now_ms - self._since_ms)
        allowed = math.floor(self._loads_per_s * held_ms / 1000 * HOLDER_SHARE)
        if held_ms == window_ms:
            # At the lowest rates a share of a window is less than one load.
            allowed = max(1, allowed)
        return len(self._began_ms) < allowed

    def record_start(self, now_ms: int) -> None:
        """Count a load."""
        self._began_ms.append(now_ms)

    def undo_start(self) -> None:
        """Take the last one back: its order was never carried out."""
        if self._began_ms:
            self._began_ms.pop()
