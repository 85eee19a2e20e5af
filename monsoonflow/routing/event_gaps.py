"""Learns how the gap between the events of a stream depends on the requests at a runner."""

from __future__ import annotations

import math
from typing import Final

import attrs

GAP_HALF_LIFE_MS: Final = 12_000
"""Time after which an observed gap counts half."""

MIN_EXPECTED_SHARE: Final = 0.3
"""Smallest expected gap, as a share of the mean gap: a line through few observations may fall below
zero."""

MIN_LOG_RATIO: Final = -1.0
MAX_LOG_RATIO: Final = 2.0
"""Bounds of one observation: the last events of a stream may arrive together, and a stream may
pause for seconds."""

MIN_SPREAD: Final = 1.0
"""Variance of the number of requests from which on a slope is computed."""


@attrs.define(slots=True)
class EventGaps:
    """A line through the gaps of all runners of a cell, by the requests at the runner.

    Without it, a runner would seem slow because it has more requests than others.

    >>> gaps = EventGaps()
    >>> for number in range(200):
    ...     gaps.add(20.0 + 2 * (number % 8), number % 8, number)
    >>> round(gaps.expected_ms(10))
    40
    """

    weight: float = 0.0
    mean_gap_ms: float = 0.0
    mean_requests: float = 0.0
    _variance_sum: float = 0.0
    _covariance_sum: float = 0.0
    _updated_ms: int = 0

    def add(self, gap_ms: float, requests: int, now_ms: int) -> None:
        """Add the gap between two events of a stream.

        :param requests: requests of all nodes at the runner.
        """
        if now_ms > self._updated_ms:
            factor = 0.5 ** ((now_ms - self._updated_ms) / GAP_HALF_LIFE_MS)
            self.weight *= factor
            self._variance_sum *= factor
            self._covariance_sum *= factor
            self._updated_ms = now_ms
        self.weight += 1.0
        requests_off = requests - self.mean_requests
        self.mean_requests += requests_off / self.weight
        gap_off_ms = gap_ms - self.mean_gap_ms
        self.mean_gap_ms += gap_off_ms / self.weight
        self._variance_sum += requests_off * (requests - self.mean_requests)
        self._covariance_sum += requests_off * (gap_ms - self.mean_gap_ms)

    def expected_ms(self, requests: int) -> float:
        """Return the gap that the line gives for a number of requests."""
        slope_ms = 0.0
        if self._variance_sum > MIN_SPREAD * self.weight:
            slope_ms = max(0.0, self._covariance_sum / self._variance_sum)
        expected_ms = self.mean_gap_ms + slope_ms * (requests - self.mean_requests)
        return max(1.0, MIN_EXPECTED_SHARE * self.mean_gap_ms, expected_ms)

    def log_ratio(self, gap_ms: float, requests: int) -> float:
        """Return the logarithm of a gap over the expected one."""
        log_ratio = math.log(max(1.0, gap_ms) / self.expected_ms(requests))
        return min(MAX_LOG_RATIO, max(MIN_LOG_RATIO, log_ratio))
