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
TELL_MS = 10_000
"""How long news is repeated to other nodes: longer than they may be cut off from the store and from
this node at the same time on an ordinary day."""


MOST_VERSIONS: Final = 16
"""Versions of one adapter whose naming is remembered: named more than three a second for the whole
bound of five seconds, only the oldest is forgotten, and it is told by the next."""


LONG_AGO_MS: Final = -1_000_000_000
"""When something happened of which only this is known: before this node began to follow."""


@attrs.frozen(slots=True)
class _Named:
    """When a version was named, at the earliest."""

    version: int
    at_ms: int


class Beliefs:
    """The newest state of the world that this node has learnt, from the store or from peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.table: RouteTable | None = None
        self.table_body = b""
        self.book = ServerRegistry()
        self.version_by_adapter: dict[str, int] = {}
        self._named_by_adapter: dict[str, list[_Named]] = {}
        self._asked_for: dict[ServerLife, int] = {}

    def take_table(self, table: RouteTable, body: bytes, source: str) -> bool:
        """Put a configuration in force; never one that is older than what is in force."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.table_body = body
        log(
            _LOGGER,
            events.Configuration(version=table.version, routes=len(table.routes()), source=source),
        )
        return True

    def take_version(self, ref: AdapterRef, source: str, at_ms: int | None = None) -> bool:
        """Take that a version of an adapter is named; return whether it is news.

        :param at_ms: when it was named at the earliest; ``None``: just now. All nodes have one term
            for an old version, from the naming: counted from its own reading, a node that starts or
            hears late would begin another.
        """
        now_ms = self._clock.now_ms()
        at_ms = now_ms if at_ms is None else min(at_ms, now_ms)
        named = self._named_by_adapter.setdefault(ref.name, [])
        if self.version_by_adapter.get(ref.name, 0) >= ref.version:
            _named_earlier(named, ref.version, at_ms)
            return False
        self.version_by_adapter[ref.name] = ref.version
        named.append(_Named(ref.version, at_ms))
        del named[:-MOST_VERSIONS]
        age_ms = now_ms - at_ms if at_ms > LONG_AGO_MS else None
        log(_LOGGER, events.AdapterVersion(adapter=str(ref), source=source, age_ms=age_ms))
        return True

    def passed_by_ms(self, adapter: str, version: int) -> int | None:
        """Return when a version of an adapter ceased to be the newest; ``None``: it has not.

        Each version is judged from its own naming: counted from the newest one, versions named in
        quick succession would keep the oldest in use for ever.
        """
        named = self._named_by_adapter.get(adapter, ())
        return next((entry.at_ms for entry in named if entry.version > version), None)

    def passed_for(self, ref: AdapterRef, longer_than_ms: float) -> bool:
        """Tell whether a version has not been the newest for longer than a time."""
        passed_ms = self.passed_by_ms(ref.name, ref.version)
        return passed_ms is not None and self._clock.now_ms() - passed_ms > longer_than_ms

    def recent_versions(self) -> tuple[RecentVersion, ...]:
        """Return the versions that were named lately."""
        now_ms = self._clock.now_ms()
        return tuple(
            RecentVersion(AdapterRef(name, named[-1].version), now_ms - named[-1].at_ms)
            for name, named in self._named_by_adapter.items()
            if now_ms - named[-1].at_ms <= TELL_MS
        )

    def recent_left(self) -> tuple[ServerLife, ...]:
        """Return the servers that lately said, or were said, to be leaving."""
        return tuple(self.book.recently_left(self._clock.now_ms(), TELL_MS))

    def recent_came(self) -> tuple[ServerLife, ...]:
        """Return the servers that lately came."""
        return tuple(self.book.recently_added(self._clock.now_ms(), TELL_MS))

    def take_report(self, report: Heartbeat) -> bool:
        """Take what another node says of servers and versions; return whether it knows of more."""
        now_ms = self._clock.now_ms()
        for life in report.departed_servers:
            if life in self.book.server_by_life:
                self.book.mark_leaving(life, now_ms, f"told by {report.name}")
        for told in report.versions:
            self.take_version(told.ref, report.name, now_ms - told.age_ms)
        # Asked for once: a report that goes on naming what the store does not hold would make each
        # node ask twice a second.
        unknown = {life for life in report.added_servers if not self.book.is_known(life)}
        news = unknown - self._asked_for.keys()
        self._asked_for.update(dict.fromkeys(news, now_ms))
        for life, at_ms in list(self._asked_for.items()):
            if now_ms - at_ms > TELL_MS:
                del self._asked_for[life]
        return bool(news)


def _named_earlier(named: list[_Named], version: int, at_ms: int) -> None:
    """Take the word that a version that is known was named earlier than was thought."""
    for place, known in enumerate(named):
        if known.version == version and at_ms < known.at_ms:
            named[place] = _Named(version, at_ms)
