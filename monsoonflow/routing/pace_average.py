"""A mean in which older values count less."""

from __future__ import annotations

import attrs


@attrs.define(slots=True)
class PaceAverage:
    """The mean of values, and the weight that it has.

    :param half_life_ms: time after which a value counts half.
    :param max_weight: largest weight, as a number of values: beyond it, a new value replaces a
        fixed share of the mean.
    """

    half_life_ms: int
    max_weight: float
    mean: float = 0.0
    weight: float = 0.0
    updated_ms: int = 0

    def add(self, value: float, now_ms: int) -> None:
        """Add a value."""
        weight = self.weight_at(now_ms)
        self.mean += (value - self.mean) / (weight + 1.0)
        self.weight = min(self.max_weight, weight + 1.0)
        self.updated_ms = max(self.updated_ms, now_ms)

    def weight_at(self, now_ms: int) -> float:
        """Return the weight that is left."""
        age_ms = now_ms - self.updated_ms
        return self.weight * 0.5 ** (age_ms / self.half_life_ms) if age_ms > 0 else self.weight
