"""What a holder's desk knows of its runners, as it is told to other nodes and to itself."""

from __future__ import annotations

from typing import Final

from ..core.server_life import ServerLife
from ..fleet.models import ResidentAdapters
from ..placement.scheduler import AdapterScheduler
from ..placement.slots import RunnerSlots, SlotState

FULL_REPORT_INTERVAL_MS: Final = 100
"""How often this node is told all again, as often as a quiet holder plans: that mends what its own
requests have noted of runners meanwhile."""


class ResidencyReporter:
    """The word about each runner, kept while it is the same.

    Made and taken anew after each plan, that of 45 runners took a tenth of all that a busy holder
    does.
    """

    def __init__(self) -> None:
        self._current_by_life: dict[ServerLife, ResidentAdapters] = {}
        self._reported_by_life: dict[ServerLife, ResidentAdapters] = {}
        self._last_full_report_ms: int | None = None

    def report(self, desk: AdapterScheduler) -> tuple[ResidentAdapters, ...]:
        """Return what all known runners of a desk can serve now."""
        words = {r.life: self._resident_adapters(r) for r in desk.runners.values() if r.is_known()}
        self._current_by_life = words
        return tuple(words.values())

    def report_changes(self, desk: AdapterScheduler, now_ms: int) -> tuple[ResidentAdapters, ...]:
        """Return what has changed since this was last asked, and all of it at times."""
        words = self.report(desk)
        taken, self._reported_by_life = self._reported_by_life, self._current_by_life
        if (
            self._last_full_report_ms is None
            or now_ms - self._last_full_report_ms >= FULL_REPORT_INTERVAL_MS
        ):
            self._last_full_report_ms = now_ms
            return words
        return tuple(word for word in words if taken.get(word.life) is not word)

    def _resident_adapters(self, runner: RunnerSlots) -> ResidentAdapters:
        ready = SlotState.READY
        refs = tuple([seat.ref for seat in runner.slots.values() if seat.state is ready])
        known = self._current_by_life.get(runner.life)
        if known is not None and known.adapters == refs:
            return known
        return ResidentAdapters(runner.life, refs)
