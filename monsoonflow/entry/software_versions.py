"""Tells which software versions the servers of each service have had lately.

What two versions generate does not fit together. While a service has had one version for longer
than any stream lives, nobody needs to know at which version a stream began.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeAlias

import attrs

from ..core.clock import Clock
from ..discovery.registry import ServerRegistry
from ..logs import events, log
from ..storage.coverage import Coverage
from .version_record import VersionRecord

_LOGGER = logging.getLogger(__name__)
STREAM_LIFE_MS: Final = 30_000
"""Longer than any stream lives. Callers wait for 15 to 20 s; the rest is for the moment between the
departure of a version's last server and the last request that is sent to it."""

UNSTATED_VERSION: Final = ""
"""Stands for the version of servers that state none, as a version of its own: next to a server that
states one they may have another."""


@dataclass(frozen=True, slots=True)
class OneVersion:
    """The service has had at most one version for longer than any stream lives.

    :param software_version: ``None`` if it has had no server.
    """

    software_version: str | None


@dataclass(frozen=True, slots=True)
class SeveralVersions:
    """The service has had several versions within the life of a stream."""

    versions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NoConclusion:
    """It is not known which versions the service has had."""

    reason: str


Conclusion: TypeAlias = OneVersion | SeveralVersions | NoConclusion


@attrs.define(slots=True)
class _ServiceVersions:
    """The versions of one service.

    :param present: those of the servers that are listed now.
    :param last_seen_ms: when each other version was last listed or heard of.
    """

    present: set[str] = attrs.Factory(set)
    last_seen_ms: dict[str, int] = attrs.Factory(dict)


class SoftwareVersions:
    """The software versions of each service within the life of a stream.

    :param coverage: returns for which time the list of servers is known; ``None`` before the start.
    :param relies_on_peers: returns whether peers announce new servers to this node, which then asks
        the store for them rarely.
    :param is_first_start: whether the whole system starts for the first time: no streams began
        before.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        clock: Clock,
        coverage: Callable[[], Coverage | None],
        relies_on_peers: Callable[[], bool] = lambda: False,
        is_first_start: bool = False,
        stream_life_ms: int = STREAM_LIFE_MS,
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._coverage = coverage
        self._relies_on_peers = relies_on_peers
        self._is_first_start = is_first_start
        self.stream_life_ms = stream_life_ms
        self._versions_by_service: dict[str, _ServiceVersions] = {}
        self._registry_version: int | None = None
        self._services_with_several: set[str] = set()
        self._announced_ms: int | None = None

    def record_server_row(self, server_id: str) -> None:
        """Record the version of a server whose entry was applied.

        Between two calls of :meth:`maintain` the entry may be removed again.
        """
        life = self._registry.life_of(server_id)
        server = self._registry.server_by_life.get(life) if life is not None else None
        if server is not None:
            versions = self._versions_by_service.setdefault(server.service, _ServiceVersions())
            versions.present.add(server.software_version or UNSTATED_VERSION)

    def record_heard(self, service: str, software_version: str) -> None:
        """Record that a peer has begun a stream at a version, which this node may not know yet."""
        versions = self._versions_by_service.setdefault(service, _ServiceVersions())
        versions.last_seen_ms[software_version] = self._clock.now_ms()

    def record_announced(self) -> None:
        """Record that a peer has announced servers that this node has not read yet.

        They may be of another version, and peers begin streams there already.
        """
        self._announced_ms = self._clock.now_ms()

    def refresh(self) -> None:
        """Apply the current list of servers."""
        if self._registry.version != self._registry_version:
            self._registry_version = self._registry.version
            self._apply_list()

    def maintain(self) -> None:
        """Apply the current list of servers and drop what is past; call it once a second or so.

        A version is last seen when its absence is noticed, which must not be long after it left.
        """
        self.refresh()
        self._drop_past()
        self._log_changes()

    def _apply_list(self) -> None:
        now_ms = self._clock.now_ms()
        listed: dict[str, set[str]] = {}
        # Servers that are leaving go on with their streams, and so do those that get no new ones.
        for server in self._registry.server_by_life.values():
            listed.setdefault(server.service, set()).add(
                server.software_version or UNSTATED_VERSION
            )
        for service in listed.keys() | self._versions_by_service.keys():
            versions = self._versions_by_service.setdefault(service, _ServiceVersions())
            present = listed.get(service, set())
            for version in versions.present - present:
                versions.last_seen_ms[version] = now_ms
            versions.present = present

    def _drop_past(self) -> None:
        since_ms = self._clock.now_ms() - self.stream_life_ms
        for versions in self._versions_by_service.values():
            for version, seen_ms in list(versions.last_seen_ms.items()):
                if seen_ms < since_ms:
                    del versions.last_seen_ms[version]

    def _log_changes(self) -> None:
        for service in self._versions_by_service:
            seen = self.seen(service)
            if (len(seen) > 1) != (service in self._services_with_several):
                self._services_with_several ^= {service}
                log(
                    _LOGGER,
                    events.SoftwareVersionsChanged(
                        service=service, versions=",".join(sorted(seen)), several=len(seen) > 1
                    ),
                )

    def present(self, service: str) -> set[str]:
        """Return the versions of the servers that are listed now."""
        versions = self._versions_by_service.get(service)
        return set() if versions is None else set(versions.present)

    def seen(self, service: str) -> set[str]:
        """Return the versions that this node has seen within the life of a stream."""
        versions = self._versions_by_service.get(service)
        if versions is None:
            return set()
        since_ms = self._clock.now_ms() - self.stream_life_ms
        past = {name for name, seen_ms in versions.last_seen_ms.items() if seen_ms >= since_ms}
        return versions.present | past

    def age_ms(self, service: str, software_version: str) -> int:
        """Return how long ago a version was last seen; 0 if it is listed or was never seen."""
        versions = self._versions_by_service.get(service)
        if versions is None or software_version in versions.present:
            return 0
        now_ms = self._clock.now_ms()
        return now_ms - versions.last_seen_ms.get(software_version, now_ms)

    def is_list_current(self) -> bool:
        """Return whether the list of servers is known up to now."""
        return self._current_coverage() is not None

    def _current_coverage(self) -> Coverage | None:
        """Return for which time the list of servers is known, if it is known up to now."""
        coverage = self._coverage()
        if coverage is None or not coverage.is_current(self._clock.now_ms()):
            return None
        is_announced_read = self._announced_ms is None or coverage.until_ms >= self._announced_ms
        return coverage if is_announced_read else None

    def knows_all_past(self) -> bool:
        """Return whether this node has followed the list since the system's first start."""
        coverage = self._coverage()
        return self._is_first_start and coverage is not None and not coverage.has_gap()

    def conclude(self, service: str) -> Conclusion:
        """Return what the list of servers of the last ``stream_life_ms`` says.

        A node whose list is old, or was for some of that time, draws no conclusion that a service
        has one version. That it has several is certain in any case.
        """
        self.refresh()
        coverage = self._current_coverage()
        if coverage is None:
            return self._conclude_from(service, set(), "the list of servers is old")
        followed_ms = self._clock.now_ms() - coverage.since_ms
        if not self.knows_all_past() and followed_ms < self.stream_life_ms:
            return self._conclude_from(service, set(), "the versions of the past are not known")
        return self._conclude_from(service, set())

    def conclude_with_record(self, service: str, record: VersionRecord | None) -> Conclusion:
        """Return what the store's record of past versions and the list of servers say together.

        The list must be known without a gap since the record was read.
        """
        self.refresh()
        coverage = self._current_coverage()
        if coverage is None:
            return self._conclude_from(service, set(), "the list of servers is old")
        if record is None or coverage.service_offset_ms is None:
            return self._conclude_from(service, set(), "the store has no record of past versions")
        if coverage.since_ms > record.read_ms + coverage.max_gap_ms:
            return self._conclude_from(
                service, set(), "the record of past versions was read too long ago"
            )
        service_now_ms = self._clock.now_ms() + coverage.service_offset_ms
        if service_now_ms - record.since_ms < self.stream_life_ms:
            return self._conclude_from(service, set(), "the record of past versions is too short")
        recorded = record.versions_since(service_now_ms - self.stream_life_ms)
        return self._conclude_from(service, recorded)

    def _conclude_from(
        self, service: str, recorded: set[str], gap: str | None = None
    ) -> Conclusion:
        """Return the conclusion from the versions that were seen or recorded.

        :param gap: why other versions may have been missed; several are certain in any case.
        """
        versions = self.seen(service) | recorded
        if len(versions) > 1:
            return SeveralVersions(tuple(sorted(versions)))
        return OneVersion(next(iter(versions), None)) if gap is None else NoConclusion(gap)

    def may_have_several(self, service: str) -> bool:
        """Return whether peers must be told of begun streams.

        A node that relies on its peers can't tell by its own list that there is one version only.
        It learns of another one as soon as any peer does, which is sufficient here: a stream that
        peers were not told of is unknown to them, but none goes on at a wrong version.
        """
        match self.conclude(service):
            case OneVersion():
                return False
            case SeveralVersions():
                return True
        coverage = self._coverage()
        if coverage is None or coverage.first_ms is None or not self._relies_on_peers():
            return True
        listed_for_ms = self._clock.now_ms() - coverage.first_ms
        return not self._is_first_start and listed_for_ms < self.stream_life_ms
