"""Estimates the KV cache that a request needs, from the caller's hint and what responses took."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from typing import Final

import attrs

INITIAL_MARGIN: Final = 4.0
"""Assumed ratio of actual to hinted length while too few responses of a route are known. Hints are
often wrong by this factor."""

MIN_SAMPLES: Final = 20
"""Responses of a route from which its margin is learned: with fewer, the 95th percentile is just
the largest of them."""

MAX_SAMPLES: Final = 128
MARGIN_QUANTILE: Final = 0.95
"""Share of the responses that stay within their estimate. A runner holds dozens of requests, so
those that exceed theirs are made up for by the others."""

MAX_ROUTES: Final = 256
"""Routes whose margins are kept, the most recently used ones: a configuration may have 2,000."""


def valid_hint(hint: object, max_output_tokens: int) -> float | None:
    """Return a hint in tokens if it is a number between 1 and the maximum; otherwise ``None``.

    >>> [valid_hint(hint, 80) for hint in (20, 80.0, 0, -5, 81, float("nan"), "9", True, None)]
    [20.0, 80.0, None, None, None, None, None, None, None]
    """
    if isinstance(hint, bool) or not isinstance(hint, int | float):
        return None
    # Huge integers can't be converted, so they are compared first.
    if not 1 <= hint <= max_output_tokens or not math.isfinite(hint):
        return None
    return float(hint)


@attrs.define(slots=True)
class _LengthRatios:
    """Actual over hinted lengths of the latest responses of a route."""

    ratios: deque[float] = attrs.Factory(lambda: deque(maxlen=MAX_SAMPLES))
    margin: float = INITIAL_MARGIN

    def add(self, ratio: float) -> None:
        self.ratios.append(ratio)
        if len(self.ratios) < MIN_SAMPLES:
            return
        ordered = sorted(self.ratios)
        median = ordered[len(ordered) // 2]
        high = ordered[min(len(ordered) - 1, int(len(ordered) * MARGIN_QUANTILE))]
        # An event carries one token or more. Hints are correct at the median, so a lower median
        # shows how many tokens an event carries.
        self.margin = max(1.0, high / min(1.0, median))


class OutputLengths:
    """The margin between hinted and actual output lengths, by route.

    >>> lengths = OutputLengths()
    >>> lengths.expected_tokens("r", 10, 80), lengths.expected_tokens("r", None, 80)
    (40, 80)
    >>> for _ in range(30):
    ...     lengths.record("r", 10, 80, 15, is_complete=True)
    >>> lengths.expected_tokens("r", 10, 80)
    15
    """

    def __init__(self) -> None:
        self._ratios_by_route: OrderedDict[str, _LengthRatios] = OrderedDict()

    def margin(self, route: str) -> float:
        """Return the ratio of actual to hinted length that is planned for."""
        ratios = self._ratios_by_route.get(route)
        return INITIAL_MARGIN if ratios is None else ratios.margin

    def expected_tokens(self, route: str, hint: object, max_output_tokens: int) -> int:
        """Return the output tokens to plan for: at most the maximum, which is 0 if unknown."""
        tokens = valid_hint(hint, max_output_tokens)
        if tokens is None:
            return max(0, max_output_tokens)
        return min(max_output_tokens, math.ceil(tokens * self.margin(route)))

    def record(
        self, route: str, hint: object, max_output_tokens: int, events: int, is_complete: bool
    ) -> None:
        """Record the length of a response.

        A response that broke off shows a lower bound only. It counts if that exceeds the margin;
        otherwise the responses that were cut off for their length would never count.
        """
        tokens = valid_hint(hint, max_output_tokens)
        if tokens is None or events <= 0:
            return
        ratio = min(events, max_output_tokens) / tokens
        if not is_complete and ratio <= self.margin(route):
            return
        ratios = self._ratios_by_route.setdefault(route, _LengthRatios())
        self._ratios_by_route.move_to_end(route)
        ratios.add(ratio)
        if len(self._ratios_by_route) > MAX_ROUTES:
            self._ratios_by_route.popitem(last=False)
