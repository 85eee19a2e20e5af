"""Calculates how long a holder waits after a plan before it plans for the next changes.

The expected load is some hundred slot requests, reports and answers to orders a second, each of
which is a change.
"""

from __future__ import annotations

from typing import Final

MAX_PLAN_SHARE: Final = 0.2
"""Share of its time that a busy holder may spend on plans; the rest is for slot requests, reports
and the answers to its orders."""

MAX_PAUSE_MS: Final = 10
"""Longest pause. An adapter needs some four plans until it can serve; with pauses of up to 30 ms
after each, a holder of 45 runners granted half as many slots in a burst."""


def pause_after_plan_ms(took_ms: int) -> int:
    """Return how long to wait after a plan that took so long.

    The clock's whole milliseconds are right on average: a plan of 0.3 ms is measured as 1 ms about
    one time in three, and as 0 ms otherwise.

    >>> [pause_after_plan_ms(took_ms) for took_ms in (0, 1, 2, 50)]
    [0, 4, 8, 10]
    """
    return min(MAX_PAUSE_MS, round(took_ms * (1 / MAX_PLAN_SHARE - 1)))
