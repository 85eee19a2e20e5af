"""Remembers the software versions of the servers that began streams through this node."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import attrs

from ..core.clock import Clock
from .models import KnownVersion, UnknownVersion

STREAM_LIFE_MS: Final = 120_000
"""How long after an event of a stream its caller may take it up again."""

MAX_STREAMS: Final = 50_000
"""About 15 MB. Beyond it, the streams that had an event longest ago are forgotten."""


@attrs.frozen(slots=True)
class _BegunStream:
    software_version: str
    recorded_ms: int


@attrs.define(slots=True)
class LocalStreamVersions:
    """Knows the streams that began through this node, and no others.

    It never tells that any version will do: which versions served before this node started, and
    which servers its list still lacks, is unknown to it.

    :param max_streams: streams that are remembered.
    """

    clock: Clock
    max_streams: int = MAX_STREAMS
    _stream_by_key: OrderedDict[tuple[str, str], _BegunStream] = attrs.Factory(OrderedDict)

    def record_begun(self, service: str, request_id: str, software_version: str) -> None:
        """Record the software version of a server that has sent an event of a stream."""
        now_ms = self.clock.now_ms()
        key = (service, request_id)
        self._stream_by_key[key] = _BegunStream(software_version, now_ms)
        self._stream_by_key.move_to_end(key)
        self._remove_old(now_ms)

    def find(self, service: str, request_id: str, timeout_ms: int) -> KnownVersion | UnknownVersion:
        """Return the software version that began a stream."""
        self._remove_old(self.clock.now_ms())
        stream = self._stream_by_key.get((service, request_id))
        if stream is None:
            return UnknownVersion("it did not begin at this node")
        return KnownVersion(stream.software_version)

    def _remove_old(self, now_ms: int) -> None:
        streams = self._stream_by_key
        while streams:
            oldest = next(iter(streams.values()))
            is_expired = now_ms - oldest.recorded_ms > STREAM_LIFE_MS
            if not is_expired and len(streams) <= self.max_streams:
                return
            streams.popitem(last=False)
