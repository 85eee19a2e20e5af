"""Reports which adapters a holder's runners can serve, to its peers and to the holder itself."""

from __future__ import annotations

from typing import Final

from ..core.server_life import ServerLife
from ..fleet.models import ResidentAdapters
from ..placement.scheduler import AdapterScheduler
from ..placement.slots import RunnerSlots, SlotState

FULL_REPORT_INTERVAL_MS: Final = 100
"""How often this node itself gets a full report, which is as often as an idle holder plans: it
corrects what this node's own requests have recorded of runners meanwhile."""


class ResidencyReporter:
    """Reports the adapters of each runner, and reuses the entries of those that have not changed.

    Building and applying the entries of 45 runners again after each plan would take a tenth of a
    busy holder's processor time. Slots that drain are left out, so that nodes request a slot.
    """

    def __init__(self) -> None:
        self._current_by_life: dict[ServerLife, ResidentAdapters] = {}
        self._reported_by_life: dict[ServerLife, ResidentAdapters] = {}
        self._last_full_report_ms: int | None = None

    def report(self, scheduler: AdapterScheduler) -> tuple[ResidentAdapters, ...]:
        """Return what all known runners of a scheduler can serve now."""
        entries = {
            runner.life: self._resident_adapters(runner)
            for runner in scheduler.runners.values()
            if runner.is_known()
        }
        self._current_by_life = entries
        return tuple(entries.values())

    def report_changes(
        self, scheduler: AdapterScheduler, now_ms: int
    ) -> tuple[ResidentAdapters, ...]:
        """Return the entries that have changed since the last call, periodically all of them."""
        entries = self.report(scheduler)
        previous, self._reported_by_life = self._reported_by_life, self._current_by_life
        if (
            self._last_full_report_ms is None
            or now_ms - self._last_full_report_ms >= FULL_REPORT_INTERVAL_MS
        ):
            self._last_full_report_ms = now_ms
            return entries
        return tuple(entry for entry in entries if previous.get(entry.life) is not entry)

    def _resident_adapters(self, runner: RunnerSlots) -> ResidentAdapters:
        ready = SlotState.READY
        refs = tuple(
            [
                slot.ref
                for slot in runner.slots.values()
                if slot.state is ready and slot.draining_level is None
            ]
        )
        current = self._current_by_life.get(runner.life)
        if current is not None and current.adapters == refs:
            return current
        return ResidentAdapters(runner.life, refs)
