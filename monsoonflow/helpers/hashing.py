"""Orders candidates by rendezvous hashing, so that all nodes agree without talking."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, best first, by highest random weight for a key.

    Losing one candidate moves only the keys that it held.

    :param key: what is to be placed.
    :param candidates: the names to choose among.

    >>> order = rank("invoice-7", ["a", "b", "c"])
    >>> rank("invoice-7", [name for name in "abc" if name != order[0]]) == order[1:]
    True
    """
    return sorted(candidates, key=lambda name: (-weight(key, name), name))


def best(key: str, candidates: Iterable[str]) -> str | None:
    """Return the first of :func:`rank` without sorting, or ``None`` when there is no candidate."""
    return max(candidates, key=lambda name: (weight(key, name), name), default=None)


def weight(key: str, candidate: str) -> int:
    """Return the 64-bit weight of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())
