"""How long a server that gives no sign is left alone."""

from __future__ import annotations

from typing import Final

INITIAL_BACKOFF_MS: Final = 400
MAX_BACKOFF_MS: Final = 3_000
"""A server that can't be reached gets a new try after a pause that doubles up to this."""

MAX_DOUBLINGS: Final = 8


def backoff_ms(failures: int) -> int:
    """Return the pause after so many others in a row.

    >>> [backoff_ms(failures) for failures in range(5)]
    [400, 800, 1600, 3000, 3000]
    """
    return min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**failures)
