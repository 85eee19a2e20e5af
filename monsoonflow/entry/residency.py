"""Which runners can serve an adapter now, as this node knows it."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from ..core.adapter import AdapterRef
from ..core.clock import Clock
from ..fleet.models import HeldAdapters

MISSING_MS: Final = 400
"""How long a runner's own word that it lacks an adapter goes before the holder's older report."""


MAX_HISTORY: Final = 64
"""Adapters of which a runner is thought to keep copies."""


class Residency:
    """The runners that hold each adapter: told by the cells' holders, mended by the runners."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refs_by_server: dict[str, dict[str, int]] = {}
        self._missing_until: dict[tuple[str, str], int] = {}
        self._history_by_server: dict[str, OrderedDict[AdapterRef, None]] = {}

    def take(self, told: tuple[HeldAdapters, ...]) -> None:
        """Take a holder's word about its runners; it replaces what was known of them."""
        for held in told:
            self._note(held)
            self._refs_by_server[held.server_id] = {ref.name: ref.version for ref in held.adapters}

    def _note(self, held: HeldAdapters) -> None:
        history = self._history_by_server.setdefault(held.server_id, OrderedDict())
        for ref in held.adapters:
            history[ref] = None
            history.move_to_end(ref)
        while len(history) > MAX_HISTORY:
            history.popitem(last=False)

    def history(self, server_id: str) -> list[AdapterRef]:
        """Return what a runner was ever told to hold, oldest first: it keeps copies of that.

        A node that takes a duty over would otherwise fetch again what runners have at hand.
        """
        return list(self._history_by_server.get(server_id, ()))

    def granted(self, server_id: str, ref: AdapterRef) -> None:
        """Take that a runner was just found to hold an adapter."""
        self._missing_until.pop((server_id, ref.name), None)
        self._refs_by_server.setdefault(server_id, {})[ref.name] = ref.version

    def missing(self, server_id: str, name: str) -> None:
        """Take the runner's word that it does not hold an adapter."""
        self._refs_by_server.get(server_id, {}).pop(name, None)
        self._missing_until[server_id, name] = self._clock.now_ms() + MISSING_MS

    def holders(self, name: str) -> dict[str, int]:
        """Return the version that each runner holds of an adapter."""
        now_ms = self._clock.now_ms()
        return {
            server_id: refs[name]
            for server_id, refs in self._refs_by_server.items()
            if name in refs and self._missing_until.get((server_id, name), 0) <= now_ms
        }

    def forget(self, server_id: str) -> None:
        """Drop a runner that is gone."""
        self._refs_by_server.pop(server_id, None)
        self._history_by_server.pop(server_id, None)
        for key in [key for key in self._missing_until if key[0] == server_id]:
            del self._missing_until[key]
