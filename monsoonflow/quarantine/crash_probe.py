"""Checks whether a server to which a connection broke has crashed."""

from __future__ import annotations

from typing import Final

import attrs
from gevent.event import AsyncResult

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..transport.client import ConnectionPools
from ..transport.models import Lost

PROBE_TIMEOUT_MS: Final = 250
"""A port without a process refuses within a round trip; no answer at all proves nothing."""

PROBE_RESULT_TTL_MS: Final = 1_000
"""All requests that were on a server ask at almost the same time, so one probe serves them all."""


@attrs.define(slots=True)
class _Probe:
    at_ms: int
    result: AsyncResult = attrs.Factory(AsyncResult)


class CrashProbe:
    """Connects to a server's port, which refuses if the server's process has ended."""

    def __init__(self, pools: ConnectionPools, clock: Clock) -> None:
        self._pools = pools
        self._clock = clock
        self._probe_by_life: dict[ServerLife, _Probe] = {}

    def has_crashed(self, life: ServerLife, address: str) -> bool:
        """Return whether a server has crashed; waits for the result of a probe that is running."""
        now_ms = self._clock.now_ms()
        for probed_life, probe in list(self._probe_by_life.items()):
            if now_ms - probe.at_ms > PROBE_RESULT_TTL_MS:
                del self._probe_by_life[probed_life]
        probe = self._probe_by_life.get(life)
        if probe is not None:
            return probe.result.get()
        probe = self._probe_by_life[life] = _Probe(now_ms)
        is_refused = False
        try:
            is_refused = self._is_connection_refused(address)
        finally:
            # Set it also if this task is stopped because its caller leaves: others wait for it.
            probe.result.set(is_refused)
        return is_refused

    def _is_connection_refused(self, address: str) -> bool:
        connection = self._pools.open(address, PROBE_TIMEOUT_MS)
        if isinstance(connection, Lost):
            return connection.refused
        connection.close()
        return False
