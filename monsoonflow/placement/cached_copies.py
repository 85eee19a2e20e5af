"""Index of the runners that keep a cached copy of an adapter."""

from __future__ import annotations

from collections.abc import Collection

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife


class CachedCopies:
    """The runners that are expected to keep a cached copy, by adapter version.

    >>> cached_copies = CachedCopies()
    >>> ref, newer_ref = AdapterRef("m/a1", 2), AdapterRef("m/a1", 3)
    >>> cached_copies.add(ref, ServerLife("i-1"))
    >>> cached_copies.add(ref, ServerLife("i-2"))
    >>> cached_copies.remove(ref, ServerLife("i-1"))
    >>> list(cached_copies.runners_with(ref)), list(cached_copies.runners_with(newer_ref))
    (['i-2'], [])
    """

    def __init__(self) -> None:
        self._lives_by_ref: dict[AdapterRef, dict[ServerLife, None]] = {}

    def runners_with(self, ref: AdapterRef) -> Collection[ServerLife]:
        """Return the runners that keep a cached copy of an adapter version."""
        return self._lives_by_ref.get(ref, ())

    def add(self, ref: AdapterRef, life: ServerLife) -> None:
        """Record that a runner keeps a cached copy."""
        self._lives_by_ref.setdefault(ref, {})[life] = None

    def remove(self, ref: AdapterRef, life: ServerLife) -> None:
        """Record that a runner no longer keeps a cached copy, or was removed."""
        lives = self._lives_by_ref.get(ref)
        if lives is None:
            return
        lives.pop(life, None)
        if not lives:
            del self._lives_by_ref[ref]
