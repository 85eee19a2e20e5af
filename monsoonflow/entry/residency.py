"""Which runners can serve an adapter now, as far as this node knows."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from ..core.adapter import AdapterRef
from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..fleet.models import ResidentAdapters

MISSING_REPORT_MS: Final = 400
"""How long a runner's own answer that it lacks an adapter overrides the holder's older report."""


MAX_HISTORY: Final = 64
"""Adapters of which a runner is assumed to keep copies."""


class Residency:
    """The runners that hold each adapter: reported by lease holders, corrected by the runners."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._versions_by_server: dict[str, dict[str, int]] = {}
        self._missing_until_ms: dict[tuple[str, str], int] = {}
        self._history_by_server: dict[str, OrderedDict[AdapterRef, None]] = {}
        self._report_by_cell: dict[str, tuple[ResidentAdapters, ...]] = {}

    def apply_peer_report(self, cell: str, report: tuple[ResidentAdapters, ...]) -> None:
        """Apply the report of a cell's holder, unless it has been applied before.

        It is looked up ten times a second and sent once a second in a large fleet: applying it each
        time would cost as much as the heartbeats of all other nodes, and overwrite what this node
        has learnt of a runner meanwhile.
        """
        if self._report_by_cell.get(cell) is not report:
            self._report_by_cell[cell] = report
            self.apply_report(report)

    def apply_report(self, report: tuple[ResidentAdapters, ...]) -> None:
        """Apply a holder's report about its runners; it replaces what was known of them."""
        for held in report:
            self._add_to_history(held)
            self._versions_by_server[held.life] = {ref.name: ref.version for ref in held.adapters}

    def _add_to_history(self, held: ResidentAdapters) -> None:
        history = self._history_by_server.setdefault(held.life, OrderedDict())
        for ref in held.adapters:
            history[ref] = None
            history.move_to_end(ref)
        while len(history) > MAX_HISTORY:
            history.popitem(last=False)

    def history(self, life: ServerLife) -> list[AdapterRef]:
        """Return what a runner was ever reported to hold, oldest first: it keeps copies of that.

        A node that takes a cell lease over would otherwise fetch again what runners have at hand.
        """
        return list(self._history_by_server.get(life, ()))

    def record_granted(self, life: ServerLife, adapter: AdapterRef) -> None:
        """Record that a runner was just found to hold an adapter."""
        self._missing_until_ms.pop((life, adapter.name), None)
        self._versions_by_server.setdefault(life, {})[adapter.name] = adapter.version

    def record_missing(self, life: ServerLife, name: str) -> None:
        """Record a runner's answer that it does not hold an adapter."""
        self._versions_by_server.get(life, {}).pop(name, None)
        self._missing_until_ms[life, name] = self._clock.now_ms() + MISSING_REPORT_MS

    def runners_lacking(self, name: str) -> list[ServerLife]:
        """Return the runners that recently answered that they lack an adapter."""
        now_ms = self._clock.now_ms()
        return [
            life
            for (life, missing_name), until_ms in self._missing_until_ms.items()
            if missing_name == name and until_ms > now_ms
        ]

    def holders(self, name: str) -> dict[str, int]:
        """Return the version that each runner holds of an adapter."""
        now_ms = self._clock.now_ms()
        return {
            life: version_by_name[name]
            for life, version_by_name in self._versions_by_server.items()
            if name in version_by_name and self._missing_until_ms.get((life, name), 0) <= now_ms
        }

    def forget(self, life: ServerLife) -> None:
        """Drop a runner that is gone."""
        self._versions_by_server.pop(life, None)
        self._history_by_server.pop(life, None)
        for key in [key for key in self._missing_until_ms if key[0] == life]:
            del self._missing_until_ms[key]
