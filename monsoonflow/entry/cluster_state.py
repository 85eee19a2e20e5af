"""What this node currently knows: the configuration, the servers and the adapter versions."""

from __future__ import annotations

import logging
from typing import Final

import attrs

from ..core.adapter import AdapterRef
from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..discovery.models import DepartedServer
from ..discovery.registry import ServerRegistry
from ..fleet.models import Heartbeat, RecentVersion
from ..logs import events, log
from ..routing.routes import RouteTable

_LOGGER = logging.getLogger(__name__)
ANNOUNCE_MS = 10_000
"""How long changes are repeated to peers: longer than a peer is ordinarily cut off from the store
and from this node at the same time."""


MAX_REMEMBERED_VERSIONS: Final = 16
"""Publications of one adapter that are remembered. Even if the operator publishes more than three
versions a second for the whole bound of five seconds, only the oldest is forgotten, and the next
one stands in for it."""


LONG_AGO_MS: Final = -1_000_000_000
"""Stands for an unknown time before this node began to follow the store."""


@attrs.frozen(slots=True)
class _PublishedVersion:
    """A version and the earliest time at which it may have been published."""

    version: int
    at_ms: int


class ClusterState:
    """The newest state of the cluster that this node has learnt from the store or from peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.route_table: RouteTable | None = None
        self.route_table_body = b""
        self.server_registry = ServerRegistry()
        self.version_by_adapter: dict[str, int] = {}
        self._published_by_adapter: dict[str, list[_PublishedVersion]] = {}
        self._requested_ms_by_life: dict[ServerLife, int] = {}

    def apply_route_table(self, route_table: RouteTable, body: bytes, source: str) -> bool:
        """Apply a configuration if it is newer than the current one; return whether it was."""
        if self.route_table is not None and route_table.version <= self.route_table.version:
            return False
        self.route_table = route_table
        self.route_table_body = body
        log(
            _LOGGER,
            events.Configuration(
                version=route_table.version, routes=len(route_table.routes()), source=source
            ),
        )
        return True

    def record_version(self, ref: AdapterRef, source: str, at_ms: int | None = None) -> bool:
        """Record that a version of an adapter was published; return whether it is a newer one.

        :param at_ms: the earliest time of publication; ``None``: just now. All nodes count the time
            limit of an old version from this moment: counted from its own reading, a node that
            starts or learns of the version late would allow the old one for longer.
        """
        now_ms = self._clock.now_ms()
        at_ms = now_ms if at_ms is None else min(at_ms, now_ms)
        published = self._published_by_adapter.setdefault(ref.name, [])
        if self.version_by_adapter.get(ref.name, 0) >= ref.version:
            _record_earlier_publication(published, ref.version, at_ms)
            return False
        self.version_by_adapter[ref.name] = ref.version
        published.append(_PublishedVersion(ref.version, at_ms))
        del published[:-MAX_REMEMBERED_VERSIONS]
        age_ms = now_ms - at_ms if at_ms > LONG_AGO_MS else None
        log(_LOGGER, events.AdapterVersion(adapter=str(ref), source=source, age_ms=age_ms))
        return True

    def superseded_at_ms(self, adapter: str, version: int) -> int | None:
        """Return when a version of an adapter ceased to be the newest; ``None``: it still is.

        Each version is judged by the first newer one: judged by the newest one, versions published
        in quick succession would keep the oldest in use for ever.
        """
        published = self._published_by_adapter.get(adapter, ())
        return next(
            (publication.at_ms for publication in published if publication.version > version), None
        )

    def has_been_superseded_for(self, ref: AdapterRef, longer_than_ms: float) -> bool:
        """Return whether a version has not been the newest for longer than a given time."""
        superseded_ms = self.superseded_at_ms(ref.name, ref.version)
        return superseded_ms is not None and self._clock.now_ms() - superseded_ms > longer_than_ms

    def recent_versions(self) -> tuple[RecentVersion, ...]:
        """Return the versions that were published recently."""
        now_ms = self._clock.now_ms()
        return tuple(
            RecentVersion(AdapterRef(name, published[-1].version), now_ms - published[-1].at_ms)
            for name, published in self._published_by_adapter.items()
            if now_ms - published[-1].at_ms <= ANNOUNCE_MS
        )

    def recently_departed_servers(self) -> tuple[DepartedServer, ...]:
        """Return the servers that recently announced, or were reported, to be leaving."""
        return tuple(self.server_registry.recently_left(self._clock.now_ms(), ANNOUNCE_MS))

    def recently_added_servers(self) -> tuple[ServerLife, ...]:
        """Return the servers that were added recently."""
        return tuple(self.server_registry.recently_added(self._clock.now_ms(), ANNOUNCE_MS))

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a peer's servers and versions; return whether it names unknown servers."""
        if not (
            heartbeat.departed_servers
            or heartbeat.versions
            or heartbeat.added_servers
            or self._requested_ms_by_life
        ):
            return False
        now_ms = self._clock.now_ms()
        for departed in heartbeat.departed_servers:
            self.server_registry.record_peer_report(departed, now_ms, heartbeat.name)
        for named_version in heartbeat.versions:
            self.record_version(named_version.ref, heartbeat.name, now_ms - named_version.age_ms)
        # An unknown server is reported only once: if a heartbeat keeps naming a server that the
        # store does not hold, each node would otherwise ask the store twice a second.
        unknown_lives = {
            life for life in heartbeat.added_servers if not self.server_registry.is_known(life)
        }
        new_lives = unknown_lives - self._requested_ms_by_life.keys()
        self._requested_ms_by_life.update(dict.fromkeys(new_lives, now_ms))
        for life, requested_ms in list(self._requested_ms_by_life.items()):
            if now_ms - requested_ms > ANNOUNCE_MS:
                del self._requested_ms_by_life[life]
        return bool(new_lives)


def _record_earlier_publication(
    published: list[_PublishedVersion], version: int, at_ms: int
) -> None:
    """Correct the time of a known version that was published earlier than recorded."""
    for index, known in enumerate(published):
        if known.version == version and at_ms < known.at_ms:
            published[index] = _PublishedVersion(version, at_ms)
