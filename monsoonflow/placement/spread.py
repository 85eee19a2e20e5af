"""Decides over how many runners the work is spread: few fill batches, many hold more adapters."""

from __future__ import annotations

from typing import Final

import attrs

from ..helpers.hashing import rank
from .models import RunnerView

MAX_WAIT_FACTOR: Final = 20


@attrs.frozen(slots=True)
class SpreadTuning:
    """Balances batch efficiency against load stalls.

    :param fill: how full the batches of the runners in use may be on average; 0 uses all runners.
    :param stall_ms: the mean load stall above which more runners are used.
    :param settle_ms: the least time between two changes; a runner that is left loses what it holds.
    """

    fill: float = 0.0
    stall_ms: int = 250
    settle_ms: int = 8_000


@attrs.frozen(slots=True)
class Demand:
    """What the runners of one base model report together.

    :param runners: how many take new work.
    :param places: how many requests one runner's batch holds.
    :param requests: requests that run, or wait for a place in a batch only. Those that wait for
        their adapter are left out: more runners would not serve them sooner.
    :param stall_ms: mean load stall of late.
    :param oldest_wait_ms: how long the longest waiter has waited.
    """

    runners: int
    batch_size: int
    requests: int
    stall_ms: float
    oldest_wait_ms: int


class Spread:
    """Follows the demand with hysteresis, one runner at a time."""

    def __init__(self, tuning: SpreadTuning) -> None:
        self._tuning = tuning
        self._in_use: int | None = None
        self._changed_ms = 0
        self._smoothed: float | None = None

    def update(self, demand: Demand, now_ms: int) -> int:
        """Return how many runners to use."""
        if self._tuning.fill <= 0 or demand.runners <= 1:
            return demand.runners
        self._smoothed = self._smooth(demand.requests)
        if self._in_use is None:
            self._in_use = demand.runners
            self._changed_ms = now_ms
        self._in_use = max(1, min(self._in_use, demand.runners))
        if self._is_short(demand):
            self._change(1, demand, now_ms, self._tuning.settle_ms // 4)
        elif self._has_too_many(demand):
            self._change(-1, demand, now_ms, self._tuning.settle_ms)
        return self._in_use

    def _smooth(self, requests: int) -> float:
        if self._smoothed is None:
            return float(requests)
        return 0.8 * self._smoothed + 0.2 * requests

    def _fill(self, in_use: int, demand: Demand) -> float:
        return (self._smoothed or 0.0) / max(1, in_use * demand.batch_size)

    def _is_short(self, demand: Demand) -> bool:
        assert self._in_use is not None
        if self._fill(self._in_use, demand) > self._tuning.fill:
            return True
        if demand.stall_ms > self._tuning.stall_ms:
            return True
        return demand.oldest_wait_ms > MAX_WAIT_FACTOR * self._tuning.stall_ms

    def _has_too_many(self, demand: Demand) -> bool:
        assert self._in_use is not None
        if demand.stall_ms > self._tuning.stall_ms / 2:
            return False
        return self._fill(self._in_use - 1, demand) < 0.85 * self._tuning.fill

    def _change(self, by: int, demand: Demand, now_ms: int, settle_ms: int) -> None:
        assert self._in_use is not None
        if now_ms - self._changed_ms < settle_ms:
            return
        changed = max(1, min(demand.runners, self._in_use + by))
        if changed != self._in_use:
            self._in_use = changed
            self._changed_ms = now_ms


def demand_of(views: list[RunnerView]) -> Demand:
    """Return what runners report together."""
    served = sum(view.stall_weight for view in views)
    total_ms = sum(view.stall_total_ms for view in views)
    return Demand(
        runners=len(views),
        batch_size=max((view.max_batch for view in views), default=1),
        requests=sum(view.running + view.ready for view in views),
        stall_ms=total_ms / served if served > 0 else 0.0,
        oldest_wait_ms=max((view.oldest_wait_ms for view in views), default=0),
    )


def runners_in_use(base_model: str, runner_ids: list[str], count: int) -> list[str]:
    """Return the runners to use, in an order that all nodes agree on without talking."""
    return rank(f"spread/{base_model}", runner_ids)[:count]
