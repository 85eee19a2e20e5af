"""Bounds the length of values of callers that become keys."""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

MAX_KEY_CHARS: Final = 200
"""Longer than any name that the platform can hold."""

DIGEST_BYTES: Final = 16


def bounded_key(value: str) -> str:
    """Return a value, or a digest of one that is longer than any proper name.

    Keys outlive their requests: thousands of values of 16 KB would use up the memory. Equal values
    have equal keys on all nodes.

    >>> bounded_key("m/a1"), len(bounded_key("x" * 16_000))
    ('m/a1', 34)
    """
    if len(value) <= MAX_KEY_CHARS:
        return value
    return f"~{blake2b(value.encode(), digest_size=DIGEST_BYTES).hexdigest()}~"
