"""What this node takes to be true: the configuration, the servers, and the adapter versions."""

from __future__ import annotations

import logging
from typing import Final

import attrs

from ..core.adapter import AdapterRef
from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..discovery.registry import ServerRegistry
from ..fleet.models import Heartbeat, RecentVersion
from ..logs import events, log
from ..routing.routes import RouteTable

_LOGGER = logging.getLogger(__name__)
ANNOUNCE_MS = 10_000
"""How long news is repeated to other nodes: longer than they may be cut off from the store and from
this node at the same time on an ordinary day."""


MAX_REMEMBERED_VERSIONS: Final = 16
"""Versions of one adapter whose naming is remembered: named more than three a second for the whole
bound of five seconds, only the oldest is forgotten, and it is told by the next."""


LONG_AGO_MS: Final = -1_000_000_000
"""When something happened of which only this is known: before this node began to follow."""


@attrs.frozen(slots=True)
class _PublishedVersion:
    """When a version was named, at the earliest."""

    version: int
    at_ms: int


class ClusterState:
    """The newest state of the world that this node has learnt, from the store or from peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.route_table: RouteTable | None = None
        self.route_table_body = b""
        self.server_registry = ServerRegistry()
        self.version_by_adapter: dict[str, int] = {}
        self._published_by_adapter: dict[str, list[_PublishedVersion]] = {}
        self._requested_ms_by_life: dict[ServerLife, int] = {}

    def apply_route_table(self, table: RouteTable, body: bytes, source: str) -> bool:
        """Put a configuration in force; never one that is older than what is in force."""
        if self.route_table is not None and table.version <= self.route_table.version:
            return False
        self.route_table = table
        self.route_table_body = body
        log(
            _LOGGER,
            events.Configuration(version=table.version, routes=len(table.routes()), source=source),
        )
        return True

    def record_version(self, ref: AdapterRef, source: str, at_ms: int | None = None) -> bool:
        """Take that a version of an adapter is named; return whether it is news.

        :param at_ms: when it was named at the earliest; ``None``: just now. All nodes have one term
            for an old version, from the naming: counted from its own reading, a node that starts or
            hears late would begin another.
        """
        now_ms = self._clock.now_ms()
        at_ms = now_ms if at_ms is None else min(at_ms, now_ms)
        named = self._published_by_adapter.setdefault(ref.name, [])
        if self.version_by_adapter.get(ref.name, 0) >= ref.version:
            _record_earlier_publication(named, ref.version, at_ms)
            return False
        self.version_by_adapter[ref.name] = ref.version
        named.append(_PublishedVersion(ref.version, at_ms))
        del named[:-MAX_REMEMBERED_VERSIONS]
        age_ms = now_ms - at_ms if at_ms > LONG_AGO_MS else None
        log(_LOGGER, events.AdapterVersion(adapter=str(ref), source=source, age_ms=age_ms))
        return True

    def superseded_at_ms(self, adapter: str, version: int) -> int | None:
        """Return when a version of an adapter ceased to be the newest; ``None``: it has not.

        Each version is judged from its own naming: counted from the newest one, versions named in
        quick succession would keep the oldest in use for ever.
        """
        named = self._published_by_adapter.get(adapter, ())
        return next((entry.at_ms for entry in named if entry.version > version), None)

    def has_been_superseded_for(self, ref: AdapterRef, longer_than_ms: float) -> bool:
        """Tell whether a version has not been the newest for longer than a time."""
        passed_ms = self.superseded_at_ms(ref.name, ref.version)
        return passed_ms is not None and self._clock.now_ms() - passed_ms > longer_than_ms

    def recent_versions(self) -> tuple[RecentVersion, ...]:
        """Return the versions that were named lately."""
        now_ms = self._clock.now_ms()
        return tuple(
            RecentVersion(AdapterRef(name, named[-1].version), now_ms - named[-1].at_ms)
            for name, named in self._published_by_adapter.items()
            if now_ms - named[-1].at_ms <= ANNOUNCE_MS
        )

    def recently_departed_servers(self) -> tuple[ServerLife, ...]:
        """Return the servers that lately said, or were said, to be leaving."""
        return tuple(self.server_registry.recently_left(self._clock.now_ms(), ANNOUNCE_MS))

    def recently_added_servers(self) -> tuple[ServerLife, ...]:
        """Return the servers that lately came."""
        return tuple(self.server_registry.recently_added(self._clock.now_ms(), ANNOUNCE_MS))

    def handle_heartbeat(self, report: Heartbeat) -> bool:
        """Take what another node says of servers and versions; return whether it knows of more."""
        now_ms = self._clock.now_ms()
        for life in report.departed_servers:
            if life in self.server_registry.server_by_life:
                self.server_registry.mark_leaving(life, now_ms, f"told by {report.name}")
        for told in report.versions:
            self.record_version(told.ref, report.name, now_ms - told.age_ms)
        # Asked for once: a report that goes on naming what the store does not hold would make each
        # node ask twice a second.
        unknown = {life for life in report.added_servers if not self.server_registry.is_known(life)}
        news = unknown - self._requested_ms_by_life.keys()
        self._requested_ms_by_life.update(dict.fromkeys(news, now_ms))
        for life, at_ms in list(self._requested_ms_by_life.items()):
            if now_ms - at_ms > ANNOUNCE_MS:
                del self._requested_ms_by_life[life]
        return bool(news)


def _record_earlier_publication(named: list[_PublishedVersion], version: int, at_ms: int) -> None:
    """Take the word that a version that is known was named earlier than was thought."""
    for place, known in enumerate(named):
        if known.version == version and at_ms < known.at_ms:
            named[place] = _PublishedVersion(version, at_ms)
