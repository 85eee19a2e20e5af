"""How long a server that does not respond gets no requests."""

from __future__ import annotations

from typing import Final

INITIAL_BACKOFF_MS: Final = 400
MAX_BACKOFF_MS: Final = 3_000
"""The pause after an unreachable server doubles with each failure up to this."""

MAX_DOUBLINGS: Final = 8
"""Limit of the counters of consecutive failures, so that the power stays small."""


def backoff_ms(failures: int) -> int:
    """Return the pause after a failure, given the number of consecutive failures before it.

    >>> [backoff_ms(failures) for failures in range(5)]
    [400, 800, 1600, 3000, 3000]
    """
    return min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**failures)
