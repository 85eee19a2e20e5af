"""Counts good and bad endings per objective in minutes, and says what made them bad."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Final

import attrs

from ..configuration.models import Objective
from ..core.clock import Clock
from ..core.outcome import Done, NotRun, Outcome

BUCKET_MS: Final = 60_000
MAX_BUCKETS: Final = 361
WINDOWS_MS: Final = {"5 min": 300_000, "1 h": 3_600_000, "6 h": 21_600_000}


class Cause(StrEnum):
    """Names what can burn a budget."""

    LOAD_STALL = "load stall"
    QUEUE = "queue"
    RETRY = "retry"
    REFUSAL = "refusal"
    BACKEND = "backend"


@attrs.frozen(slots=True)
class Ending:
    """How one request ended.

    :param first_ms: time to its first token, if one came.
    :param stall_ms: how long it waited for its adapter to be loaded.
    """

    priority: int
    group: str
    outcome: Outcome
    first_ms: int | None
    stall_ms: int
    attempts: int


@attrs.define(slots=True)
class Bucket:
    """One minute of one objective."""

    minute: int
    good: int = 0
    bad_by_cause: dict[str, int] = attrs.field(factory=dict)


def cause_of(ending: Ending, objective: Objective) -> Cause | None:
    """Return what made an ending bad for an objective, or ``None`` for a good one.

    >>> objective = Objective(priority=1, first_token_ms=500, share=0.95)
    >>> cause_of(Ending(1, "", Done(3, ""), 900, 700, 1), objective)
    <Cause.LOAD_STALL: 'load stall'>
    >>> cause_of(Ending(1, "", Done(3, ""), 400, 300, 1), objective) is None
    True
    """
    if isinstance(ending.outcome, NotRun):
        return Cause.REFUSAL
    if not isinstance(ending.outcome, Done):
        return Cause.BACKEND
    if ending.first_ms is None or ending.first_ms <= objective.first_token_ms:
        return None
    if ending.attempts > 1:
        return Cause.RETRY
    if ending.stall_ms * 2 > ending.first_ms:
        return Cause.LOAD_STALL
    return Cause.QUEUE


class BurnCounter:
    """Keeps six hours of minutes per objective, in memory."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets_by_name: dict[str, list[Bucket]] = {}

    def count(self, ending: Ending, objectives: Iterable[Objective]) -> None:
        """Count one ending against every objective that it falls under."""
        for objective in objectives:
            if objective.priority != ending.priority or objective.group not in ("", ending.group):
                continue
            bucket = self._bucket(objective.name)
            cause = cause_of(ending, objective)
            if cause is None:
                bucket.good += 1
            else:
                bucket.bad_by_cause[cause] = bucket.bad_by_cause.get(cause, 0) + 1

    def counts(self) -> dict[str, dict[str, dict]]:
        """Return the counts per objective and window, ready for JSON."""
        minute = self._clock.now_ms() // BUCKET_MS
        return {
            name: {
                window: _sum(buckets, minute - span_ms // BUCKET_MS)
                for window, span_ms in WINDOWS_MS.items()
            }
            for name, buckets in self._buckets_by_name.items()
        }

    def _bucket(self, name: str) -> Bucket:
        minute = self._clock.now_ms() // BUCKET_MS
        buckets = self._buckets_by_name.setdefault(name, [])
        if not buckets or buckets[-1].minute != minute:
            buckets.append(Bucket(minute))
            del buckets[:-MAX_BUCKETS]
        return buckets[-1]


def _sum(buckets: list[Bucket], after_minute: int) -> dict:
    good, bad = 0, {}
    for bucket in buckets:
        if bucket.minute <= after_minute:
            continue
        good += bucket.good
        for cause, count in bucket.bad_by_cause.items():
            bad[cause] = bad.get(cause, 0) + count
    return {"good": good, "bad": bad}
