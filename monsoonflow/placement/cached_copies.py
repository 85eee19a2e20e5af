"""Tells which runners keep a copy of an adapter, without a look at each runner."""

from __future__ import annotations

from collections.abc import Collection

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife


class CachedCopies:
    """The runners that are thought to keep a copy, by adapter.

    >>> kept = CachedCopies()
    >>> ref = AdapterRef("m/a1", 2)
    >>> kept.add(ref, ServerLife("i-1"))
    >>> kept.add(ref, ServerLife("i-2"))
    >>> kept.remove(ref, ServerLife("i-1"))
    >>> list(kept.runners_with(ref)), list(kept.runners_with(AdapterRef("m/a1", 3)))
    (['i-2'], [])
    """

    def __init__(self) -> None:
        self._lives_by_ref: dict[AdapterRef, dict[ServerLife, None]] = {}

    def runners_with(self, ref: AdapterRef) -> Collection[ServerLife]:
        """Return the runners that keep a copy."""
        return self._lives_by_ref.get(ref, ())

    def add(self, ref: AdapterRef, life: ServerLife) -> None:
        """Note that a runner keeps a copy."""
        self._lives_by_ref.setdefault(ref, {})[life] = None

    def remove(self, ref: AdapterRef, life: ServerLife) -> None:
        """Note that a runner keeps a copy no longer, or is gone."""
        lives = self._lives_by_ref.get(ref)
        if lives is None:
            return
        lives.pop(life, None)
        if not lives:
            del self._lives_by_ref[ref]
