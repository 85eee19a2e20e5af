"""Decides how many runners to use: few fill their batches better, many hold more adapters."""

from __future__ import annotations

from typing import Final

import attrs

from ..helpers.hashing import rank
from .models import RunnerView

MAX_WAIT_FACTOR: Final = 20
"""One more runner is used when a request has waited longer than this many times ``stall_ms``."""


@attrs.frozen(slots=True)
class SpreadTuning:
    """Balances batch efficiency against load stalls.

    :param fill: maximum average fill of the batches of the runners in use, from 0 to 1; 0 uses all
        runners.
    :param stall_ms: mean load stall beyond which more runners are used.
    :param settle_ms: minimum time from a change to the next reduction; a quarter of it to the next
        increase. A runner that is no longer used loses its adapters.
    """

    fill: float = 0.0
    stall_ms: int = 250
    settle_ms: int = 8_000


@attrs.frozen(slots=True)
class Demand:
    """Combined load of the runners of one base model.

    :param runners: number of runners that accept new work.
    :param batch_size: number of requests that fit into one runner's batch.
    :param requests: number of requests that are running or only wait for room in a batch. Requests
        that wait for their adapter are not counted: more runners would not serve them sooner.
    :param stall_ms: mean of recent load stalls.
    :param oldest_wait_ms: how long the oldest waiting request has waited.
    """

    runners: int
    batch_size: int
    requests: int
    stall_ms: float
    oldest_wait_ms: int


class Spread:
    """Adjusts the number of runners in use to the demand, with hysteresis and one at a time."""

    def __init__(self, tuning: SpreadTuning) -> None:
        self._tuning = tuning
        self._runners_in_use: int | None = None
        self._changed_ms = 0
        self._smoothed_requests: float | None = None

    def update(self, demand: Demand, now_ms: int) -> int:
        """Return the number of runners to use."""
        if self._tuning.fill <= 0 or demand.runners <= 1:
            return demand.runners
        self._smoothed_requests = self._smooth(demand.requests)
        if self._runners_in_use is None:
            self._runners_in_use = demand.runners
            self._changed_ms = now_ms
        self._runners_in_use = max(1, min(self._runners_in_use, demand.runners))
        if self._needs_more_runners(demand):
            self._change(1, demand, now_ms, self._tuning.settle_ms // 4)
        elif self._can_use_fewer_runners(demand):
            self._change(-1, demand, now_ms, self._tuning.settle_ms)
        return self._runners_in_use

    def _smooth(self, requests: int) -> float:
        if self._smoothed_requests is None:
            return float(requests)
        return 0.8 * self._smoothed_requests + 0.2 * requests

    def _batch_fill(self, in_use: int, demand: Demand) -> float:
        return (self._smoothed_requests or 0.0) / max(1, in_use * demand.batch_size)

    def _needs_more_runners(self, demand: Demand) -> bool:
        assert self._runners_in_use is not None
        if self._batch_fill(self._runners_in_use, demand) > self._tuning.fill:
            return True
        if demand.stall_ms > self._tuning.stall_ms:
            return True
        return demand.oldest_wait_ms > MAX_WAIT_FACTOR * self._tuning.stall_ms

    def _can_use_fewer_runners(self, demand: Demand) -> bool:
        assert self._runners_in_use is not None
        if demand.stall_ms > self._tuning.stall_ms / 2:
            return False
        return self._batch_fill(self._runners_in_use - 1, demand) < 0.85 * self._tuning.fill

    def _change(self, delta: int, demand: Demand, now_ms: int, settle_ms: int) -> None:
        assert self._runners_in_use is not None
        if now_ms - self._changed_ms < settle_ms:
            return
        new_count = max(1, min(demand.runners, self._runners_in_use + delta))
        if new_count != self._runners_in_use:
            self._runners_in_use = new_count
            self._changed_ms = now_ms


def demand_of(views: list[RunnerView]) -> Demand:
    """Return the combined load of some runners."""
    stall_weight = sum(view.stall_weight for view in views)
    stall_total_ms = sum(view.stall_total_ms for view in views)
    return Demand(
        runners=len(views),
        batch_size=max((view.max_batch for view in views), default=1),
        requests=sum(view.running + view.ready for view in views),
        stall_ms=stall_total_ms / stall_weight if stall_weight > 0 else 0.0,
        oldest_wait_ms=max((view.oldest_wait_ms for view in views), default=0),
    )


def runners_in_use(base_model: str, runner_ids: list[str], count: int) -> list[str]:
    """Return the runners to use, in an order that is the same on all nodes."""
    return rank(f"spread/{base_model}", runner_ids)[:count]
