"""Chooses among runners of different pace, and tells when a faster one is worth a load."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping
from typing import Final

from ..core.server_life import ServerLife
from ..routing.runner_pace import EQUAL_PACE_FACTOR
from .backlog import Backlog
from .job import Job

NEAR_BEST_FACTOR: Final = 1.25
"""Runners whose cost exceeds the smallest by at most this factor are near-best: nodes that learn of
a slow runner at once must not all turn to the same other one."""

MIN_GAIN_MS: Final = 60
"""A faster runner is asked for only if it saves at least this time: a load of a cached adapter
takes 25 ms, and the answer of the lease holder a few milliseconds more."""


def choose_life(
    cost_by_life: Mapping[ServerLife, float],
    pace_by_life: Mapping[ServerLife, float],
    rng: random.Random,
) -> ServerLife:
    """Return the runner with the smallest cost; with unequal paces, one of the near-best.

    A near-best runner is chosen with a probability in proportion to its speed.
    """
    best = min(cost_by_life, key=cost_by_life.__getitem__)
    if all(pace == 1.0 for pace in pace_by_life.values()):
        return best
    limit = cost_by_life[best] * NEAR_BEST_FACTOR
    near_best = [life for life, cost in cost_by_life.items() if cost <= limit]
    return rng.choices(near_best, [1 / pace_by_life[life] for life in near_best])[0]


def is_faster_elsewhere(
    backlog: Backlog, life: ServerLife, others: Collection[ServerLife], job: Job, now_ms: int
) -> bool:
    """Return whether a load on a faster runner may save time over a runner with the adapter.

    :param life: the best runner that holds the adapter.
    :param others: all runners that the request may be sent to.
    """
    if backlog.pace is None or job.is_resuming():
        return False
    pace = backlog.pace_of(life, now_ms)
    if pace <= 1.0:
        return False
    fastest = min((backlog.pace_of(other, now_ms) for other in others), default=pace)
    if pace <= fastest * EQUAL_PACE_FACTOR:
        return False
    level = backlog.pace.level(job.service.name, now_ms)
    common_ms = backlog.prefill_rate.expected_ms(None, job.call.prompt_tokens, now_ms)
    return common_ms * level * (pace - fastest) >= MIN_GAIN_MS
