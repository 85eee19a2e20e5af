"""Remembers which requests a server had when its connections broke, until it is known to crash."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final, Generic, TypeVar

import attrs

from ..core.server_life import ServerLife
from .bounded import trim

BROKEN_CONNECTION_TTL_MS: Final = 5_000
"""How long a broken connection is remembered. After this time it is known whether the server has
crashed."""

MAX_SERVERS: Final = 256

RequestT = TypeVar("RequestT")


@attrs.define(slots=True)
class BrokenConnections(Generic[RequestT]):
    """The requests that servers had when their connections broke, by fingerprint."""

    _broken_by_life: OrderedDict[ServerLife, dict[str, tuple[int, RequestT]]] = attrs.Factory(
        OrderedDict
    )
    _crashed_ms_by_life: OrderedDict[ServerLife, int] = attrs.Factory(OrderedDict)

    def record_broken(
        self, life: ServerLife, fingerprint: str, request: RequestT, now_ms: int
    ) -> dict[str, RequestT]:
        """Record that a server's connection broke while it had a request.

        :return: the requests that were at the server, if it has recently crashed.
        """
        known = self._broken_by_life.get(life, {})
        # Old entries are dropped, because a server may break connections for days without a crash.
        recent = {
            other: entry
            for other, entry in known.items()
            if now_ms - entry[0] <= BROKEN_CONNECTION_TTL_MS
        }
        recent[fingerprint] = now_ms, request
        self._broken_by_life[life] = recent
        trim(self._broken_by_life, MAX_SERVERS)
        crashed_ms = self._crashed_ms_by_life.get(life)
        has_crashed = crashed_ms is not None and now_ms - crashed_ms <= BROKEN_CONNECTION_TTL_MS
        return self._pop_requests(life, now_ms) if has_crashed else {}

    def record_crash(self, life: ServerLife, now_ms: int) -> dict[str, RequestT]:
        """Record that a server has crashed; return the requests that were at the server."""
        self._crashed_ms_by_life[life] = now_ms
        trim(self._crashed_ms_by_life, MAX_SERVERS)
        return self._pop_requests(life, now_ms)

    def fingerprints_at(self, life: ServerLife) -> list[str]:
        """Return the requests that a server had when its connections broke."""
        return list(self._broken_by_life.get(life, ()))

    def _pop_requests(self, life: ServerLife, now_ms: int) -> dict[str, RequestT]:
        return {
            fingerprint: request
            for fingerprint, (broken_ms, request) in self._broken_by_life.pop(life, {}).items()
            if now_ms - broken_ms <= BROKEN_CONNECTION_TTL_MS
        }
