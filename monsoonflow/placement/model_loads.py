"""Keeps loads of base models under the rate that the weight store allows."""

from __future__ import annotations

import math
from typing import Final

HOLDERS_IN_A_WINDOW: Final = 2
"""Two holders in a row each start with an empty count: each uses its share of a window."""


class ModelLoads:
    """The loads of base models that this holder began lately.

    :param window_ms: the window in which the operator counts them.

    >>> loads = ModelLoads(loads_per_s=1.0)
    >>> [loads.allowed(0) and loads.began(0) is None for _ in range(4)]
    [True, True, False, False]
    >>> loads.allowed(5_000)
    True
    """

    def __init__(self, loads_per_s: float, window_ms: int = 5_000) -> None:
        self._loads_per_s = loads_per_s
        self._window_ms = window_ms
        self._began_ms: list[int] = []

    def allowed(self, now_ms: int) -> bool:
        """Tell whether one more may begin."""
        window_ms = self._window_ms
        self._began_ms = [at_ms for at_ms in self._began_ms if now_ms - at_ms < window_ms]
        allowed = self._loads_per_s * window_ms / 1000 / HOLDERS_IN_A_WINDOW
        return len(self._began_ms) < max(1, math.floor(allowed))

    def began(self, now_ms: int) -> None:
        """Count a load."""
        self._began_ms.append(now_ms)

    def undone(self) -> None:
        """Take the last one back: its order was never carried out."""
        if self._began_ms:
            self._began_ms.pop()
