"""How long a server that gives no sign is left alone."""

from __future__ import annotations

from typing import Final

UNREACHED_PAUSE_MS: Final = 400
MAX_PAUSE_MS: Final = 3_000
"""A server that can't be reached gets a new try after a pause that doubles up to this."""

MOST_DOUBLINGS: Final = 8


def pause_ms(times: int) -> int:
    """Return the pause after so many others in a row.

    >>> [pause_ms(times) for times in range(5)]
    [400, 800, 1600, 3000, 3000]
    """
    return min(MAX_PAUSE_MS, UNREACHED_PAUSE_MS * 2**times)
