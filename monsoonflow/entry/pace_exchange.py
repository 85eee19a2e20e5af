"""Exchanges the paces of runners with peers, and logs those that change."""

from __future__ import annotations

import logging
from typing import Final

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..fleet.models import Heartbeat
from ..logs import events, log
from ..routing.runner_pace import MAX_ANNOUNCED_PACES, RunnerPace

_LOGGER = logging.getLogger(__name__)
LARGE_FLEET_INTERVAL_MS: Final = 1_000
"""How often paces are announced in a large fleet, where a node sends 100 heartbeats a second: with
ten slow runners they are 87 bytes of each, which is 8.7 kB/s, and 1.7 kB/s at this interval."""

LARGE_FLEET_PACES: Final = 10
"""Number of runners in one announcement in a large fleet; 64 of them would take 12 kB/s."""


class PaceExchange:
    """Connects the paces that this node keeps with its heartbeats.

    :param pace: ``None`` if all runners are treated as equal.
    """

    def __init__(self, pace: RunnerPace | None, clock: Clock) -> None:
        self._pace = pace
        self._clock = clock
        self._malformed_peers: set[str] = set()
        self._next_announced_ms = 0

    def announced_paces(self, is_fleet_small: bool) -> dict[ServerLife, float] | None:
        """Return the paces for this node's heartbeat; ``None`` if it announces none this time."""
        now_ms = self._clock.now_ms()
        if self._pace is None:
            return None
        if not is_fleet_small and now_ms < self._next_announced_ms:
            return None
        self._next_announced_ms = now_ms + LARGE_FLEET_INTERVAL_MS
        limit = MAX_ANNOUNCED_PACES if is_fleet_small else LARGE_FLEET_PACES
        return self._pace.announced_paces(now_ms, limit)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the paces that a peer announces."""
        if heartbeat.has_malformed_paces and heartbeat.name not in self._malformed_peers:
            self._malformed_peers.add(heartbeat.name)
            log(_LOGGER, events.MalformedPaces(peer=heartbeat.name))
        if self._pace is not None:
            self._pace.receive(heartbeat.name, heartbeat.pace_by_server, self._clock.now_ms())

    def maintain(self, registered: frozenset[ServerLife]) -> None:
        """Log the runners whose pace has changed, and drop those that are gone."""
        if self._pace is None:
            return
        self._pace.keep_only(registered)
        for crossing in self._pace.crossings(self._clock.now_ms()):
            log(
                _LOGGER,
                events.RunnerPaceChanged(
                    server=crossing.life,
                    pace=round(crossing.pace, 2),
                    before=round(crossing.before, 2),
                    observations=round(crossing.weight, 1),
                    age_ms=crossing.age_ms,
                ),
            )

    def slow_count(self) -> int:
        """Return the number of runners that are slower than the median of their cell."""
        return self._pace.slow_count(self._clock.now_ms()) if self._pace is not None else 0
