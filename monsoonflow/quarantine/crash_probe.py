"""Finds out whether a server whose connection broke has ended."""

from __future__ import annotations

from typing import Final

import attrs
from gevent.event import AsyncResult

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..transport.client import Pools
from ..transport.models import Lost

PROBE_TIMEOUT_MS: Final = 250
"""A port that refuses does so within a round trip; one that does not answer says nothing."""

PROBE_RESULT_TTL_MS: Final = 1_000
"""All that was on a server looks at it within a moment: one connection tells for all."""


@attrs.define(slots=True)
class _Probe:
    at_ms: int
    result: AsyncResult = attrs.Factory(AsyncResult)


class CrashProbe:
    """Asks a server's port: that of a process that is gone refuses."""

    def __init__(self, pools: Pools, clock: Clock) -> None:
        self._pools = pools
        self._clock = clock
        self._probe_by_life: dict[ServerLife, _Probe] = {}

    def has_crashed(self, life: ServerLife, address: str) -> bool:
        """Tell whether a server has ended, as far as its port tells."""
        now_ms = self._clock.now_ms()
        for known, look in list(self._probe_by_life.items()):
            if now_ms - look.at_ms > PROBE_RESULT_TTL_MS:
                del self._probe_by_life[known]
        look = self._probe_by_life.get(life)
        if look is not None:
            return look.result.get()
        look = self._probe_by_life[life] = _Probe(now_ms)
        refused = False
        try:
            refused = self._is_connection_refused(address)
        finally:
            # Also where the caller whose task looks leaves meanwhile: others wait for the result.
            look.result.set(refused)
        return refused

    def _is_connection_refused(self, address: str) -> bool:
        connection = self._pools.open(address, PROBE_TIMEOUT_MS)
        if isinstance(connection, Lost):
            return connection.refused
        connection.close()
        return False
