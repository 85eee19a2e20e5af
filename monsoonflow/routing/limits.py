"""Admission limits and retry budgets; a refusal is immediate and says when to come back."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

import attrs

RUN_TIME_SMOOTHING: Final = 0.05


@dataclass(frozen=True, slots=True)
class Refusal:
    """Tells why a request is not admitted and when coming back helps."""

    reason: str
    retry_after_ms: int
    status: int = 503


@attrs.define(slots=True)
class DrainRate:
    """Measures how many requests end per second, as a decaying average."""

    half_life_ms: int = 5_000
    _decayed_count: float = 0.0
    _updated_ms: int | None = None

    def record_end(self, now_ms: int) -> None:
        """Count one end."""
        self._decayed_count = self._decayed(now_ms) + 1.0
        self._updated_ms = now_ms

    def per_second(self, now_ms: int) -> float:
        """Return the rate; zero when nothing ended for long."""
        return self._decayed(now_ms) * math.log(2) * 1000 / self.half_life_ms

    def _decayed(self, now_ms: int) -> float:
        if self._updated_ms is None:
            return 0.0
        return self._decayed_count * math.exp2((self._updated_ms - now_ms) / self.half_life_ms)


@attrs.frozen(slots=True)
class Limits:
    """Bounds on what one node takes.

    :param max_queue_per_runner: waiting requests per runner.
    :param max_per_customer: requests of one customer at one time.
    """

    max_queue_per_runner: int = 512
    max_per_customer: int = 1024


class Admission:
    """Decides whether a request may wait at a runner."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.active_by_customer: dict[str, int] = {}
        self._drain_by_runner: dict[str, DrainRate] = {}
        self._mean_run_ms_by_runner: dict[str, float] = {}

    def check(
        self, customer: str, runner_id: str, queued: int, time_left_ms: int, now_ms: int
    ) -> Refusal | None:
        """Return why a request is refused, or ``None``.

        A request that would wait past its deadline is refused at once: waiting would take a place
        from one that can still be served.
        """
        if self.active_by_customer.get(customer, 0) >= self.limits.max_per_customer:
            return Refusal("too many requests of this customer at one time", 1_000, 429)
        drain = self._drain_by_runner.get(runner_id)
        rate = drain.per_second(now_ms) if drain else 0.0
        expected_ms = int(queued / rate * 1000) if rate > 0.1 else 0
        expected_ms += self.mean_run_ms(runner_id)
        retry_after_ms = min(max(expected_ms // 2, 250), 30_000)
        if queued >= self.limits.max_queue_per_runner:
            return Refusal("the queue is full", retry_after_ms)
        if expected_ms > time_left_ms:
            return Refusal("the queue is longer than the time left", retry_after_ms)
        return None

    def record_start(self, customer: str) -> None:
        """Count a request of a customer."""
        self.active_by_customer[customer] = self.active_by_customer.get(customer, 0) + 1

    def record_end(self, customer: str) -> None:
        """Count the end of a request."""
        left = self.active_by_customer.get(customer, 1) - 1
        if left > 0:
            self.active_by_customer[customer] = left
        else:
            self.active_by_customer.pop(customer, None)

    def record_run_end(self, runner_id: str, run_ms: int | None, now_ms: int) -> None:
        """Count a run that left a runner.

        :param run_ms: how long it ran, where it ran to its end.
        """
        self._drain_by_runner.setdefault(runner_id, DrainRate()).record_end(now_ms)
        if run_ms is not None:
            known = self._mean_run_ms_by_runner.get(runner_id, float(run_ms))
            self._mean_run_ms_by_runner[runner_id] = known + (run_ms - known) * RUN_TIME_SMOOTHING

    def mean_run_ms(self, runner_id: str) -> int:
        """Return how long a run takes at a runner, on average; 0 while unknown."""
        return int(self._mean_run_ms_by_runner.get(runner_id, 0.0))


class RetryBudget:
    """Allows retries as a share of first tries, so that a failing fleet is not loaded further.

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
        """Earn a share of a retry."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take one retry, if the budget allows."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
