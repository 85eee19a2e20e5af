"""Tells how long a holder waits after a plan before it plans for the next news.

The load that it is made for: some hundred questions, reports and answers to orders a second, each
of which is news.
"""

from __future__ import annotations

from typing import Final

MAX_PLAN_SHARE: Final = 0.2
"""Share of its time that a busy holder may spend on plans; the rest is for questions, reports, and
the answers to its orders."""

MAX_PAUSE_MS: Final = 10
"""Longest pause. An adapter needs some four plans until it serves; paused for up to 30 ms after
each, a holder of 45 runners in a rush gave half as many places."""


def pause_after_plan_ms(took_ms: int) -> int:
    """Return how long to wait after a plan that took so long.

    The clock's whole milliseconds are right on the mean: of plans of 0.3 ms each third is seen.

    >>> [pause_after_plan_ms(took_ms) for took_ms in (0, 1, 2, 50)]
    [0, 4, 8, 10]
    """
    return min(MAX_PAUSE_MS, round(took_ms * (1 / MAX_PLAN_SHARE - 1)))
