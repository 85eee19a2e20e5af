"""Admission limits and a retry budget; a refusal is immediate and says when to retry."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

import attrs

RUN_TIME_SMOOTHING: Final = 0.05
"""Weight of one run in the moving average of the run time."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not admitted, and when a retry may succeed.

    :param status: HTTP status of the answer.
    """

    reason: str
    retry_after_ms: int
    status: int = 503


@attrs.define(slots=True)
class DrainRate:
    """Measures how many requests end per second, as an exponentially decaying average."""

    half_life_ms: int = 5_000
    _decayed_count: float = 0.0
    _updated_ms: int | None = None

    def record_end(self, now_ms: int) -> None:
        """Count the end of one request."""
        self._decayed_count = self._decayed(now_ms) + 1.0
        self._updated_ms = now_ms

    def per_second(self, now_ms: int) -> float:
        """Return the rate; close to zero if no request has ended for a long time."""
        return self._decayed(now_ms) * math.log(2) * 1000 / self.half_life_ms

    def _decayed(self, now_ms: int) -> float:
        if self._updated_ms is None:
            return 0.0
        return self._decayed_count * math.exp2((self._updated_ms - now_ms) / self.half_life_ms)


@attrs.frozen(slots=True)
class Limits:
    """Limits on the requests that one node admits.

    :param max_queue_per_runner: maximum number of queued requests per runner.
    :param max_per_customer: maximum number of concurrent requests of one customer.
    """

    max_queue_per_runner: int = 512
    max_per_customer: int = 1024


class Admission:
    """Decides whether a request may join a runner's queue."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.active_by_customer: dict[str, int] = {}
        self._drain_by_runner: dict[str, DrainRate] = {}
        self._mean_run_ms_by_runner: dict[str, float] = {}

    def check(
        self, customer: str, runner_id: str, queued: int, time_left_ms: int, now_ms: int
    ) -> Refusal | None:
        """Return the refusal of a request, or ``None`` if it is admitted.

        A request that would miss its deadline in the queue is refused at once: queued, it would
        delay requests that can still be served in time.
        """
        if self.active_by_customer.get(customer, 0) >= self.limits.max_per_customer:
            return Refusal("too many requests of this customer at one time", 1_000, 429)
        drain_rate = self._drain_by_runner.get(runner_id)
        per_second = drain_rate.per_second(now_ms) if drain_rate else 0.0
        expected_ms = int(queued / per_second * 1000) if per_second > 0.1 else 0
        expected_ms += self.mean_run_ms(runner_id)
        retry_after_ms = min(max(expected_ms // 2, 250), 30_000)
        if queued >= self.limits.max_queue_per_runner:
            return Refusal("the queue is full", retry_after_ms)
        if expected_ms > time_left_ms:
            return Refusal("the queue is longer than the time left", retry_after_ms)
        return None

    def record_start(self, customer: str) -> None:
        """Count the start of a customer's request."""
        self.active_by_customer[customer] = self.active_by_customer.get(customer, 0) + 1

    def record_end(self, customer: str) -> None:
        """Count the end of a customer's request."""
        remaining = self.active_by_customer.get(customer, 1) - 1
        if remaining > 0:
            self.active_by_customer[customer] = remaining
        else:
            self.active_by_customer.pop(customer, None)

    def record_run_end(self, runner_id: str, run_ms: int | None, now_ms: int) -> None:
        """Record that a run has ended at a runner.

        :param run_ms: duration of the run; ``None`` if it did not complete.
        """
        self._drain_by_runner.setdefault(runner_id, DrainRate()).record_end(now_ms)
        if run_ms is not None:
            mean_ms = self._mean_run_ms_by_runner.get(runner_id, float(run_ms))
            self._mean_run_ms_by_runner[runner_id] = (
                mean_ms + (run_ms - mean_ms) * RUN_TIME_SMOOTHING
            )

    def mean_run_ms(self, runner_id: str) -> int:
        """Return the average duration of a run at a runner; 0 while unknown."""
        return int(self._mean_run_ms_by_runner.get(runner_id, 0.0))


class RetryBudget:
    """Limits retries to a share of first attempts, so that they do not overload failing runners.

    :param share: retries earned per first attempt.
    :param reserve: initial and maximum number of saved retries.

    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.record_first_attempt(); budget.record_first_attempt()
    >>> budget.try_spend()
    True
    """

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._max_tokens = reserve
        self._tokens = reserve

    def record_first_attempt(self) -> None:
        """Record a first attempt, which earns a share of a retry."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
