"""The messages that entry nodes exchange, and what they contain."""

from __future__ import annotations

import math
from typing import Any, Final

import attrs

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..discovery.models import DepartedServer
from ..quarantine.models import PartsCrash, ServerCrash, SoundPart
from ..routing.budget import RetryUsage
from ..routing.in_flight import ServerWork
from ..routing.overload import OverloadedRunners
from ..routing.quota import QuotaUsage

DEFAULT_CORES: Final = 1.0
"""Assumed for a node that reports no value, or none that is possible."""

MIN_CORES: Final = 1 / 64
MAX_CORES: Final = 1_024.0
"""Bounds for reported values; no machine that runs an entry node lies outside them."""


def bounded_cores(value: object) -> float:
    """Return a reported number of processor cores, limited to the allowed range.

    A wrong value only changes the node's rank among the candidates for a cell lease. It is
    therefore corrected, and the message that contains it stays valid.

    >>> [bounded_cores(value) for value in (2.15, None, "4", -1, 10**400)]
    [2.15, 1.0, 1.0, 1.0, 1024.0]
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        return DEFAULT_CORES
    return float(min(max(value, MIN_CORES), MAX_CORES))


@attrs.frozen(slots=True)
class NodeRecord:
    """How to reach an entry node; kept in the store.

    :param boot: identifies one run of the node's process.
    :param callers_address: where callers send requests.
    :param peer_address: where peers make calls.
    :param report_address: where peers send heartbeats, as datagrams.
    :param cores: the node's processor capacity, in seconds of one reference core per second: its
        share of a core times that core's speed.
    """

    name: str
    boot: str
    data_centre: str
    callers_address: str
    peer_address: str
    report_address: str
    cores: float = DEFAULT_CORES


@attrs.frozen(slots=True)
class CellLeaseClaim:
    """Who holds the lease of a cell, and so sends orders to its runners, as far as a node knows.

    :param epoch: the fencing token of the holder's orders; it rises with each new holder.
    :param standbys: the nodes that may take over while the store is unreachable, in this order.
    :param counter: the number of the holder's last renewal.
    """

    cell: str
    holder: str
    epoch: int
    standbys: tuple[str, ...] = ()
    counter: int = 0


@attrs.frozen(slots=True)
class HeartbeatAck:
    """Names the newest heartbeat that a node has received from a lease holder."""

    name: str
    boot: str
    sequence: int


@attrs.frozen(slots=True)
class ResidentAdapters:
    """The adapters that a runner can serve now, as far as the lease holder of its cell knows."""

    life: ServerLife
    adapters: tuple[AdapterRef, ...]


@attrs.frozen(slots=True)
class RecentVersion:
    """An adapter version that was published recently.

    :param age_ms: the time from its publication to the heartbeat; a lower bound, since the node
        may have learned of the version late.
    """

    ref: AdapterRef
    age_ms: int


@attrs.frozen(slots=True)
class RetryHistory:
    """What a node knows of retries beyond its own count.

    :param counted_ms: for how long its process has counted retries, at most the budget's window.
    :param fresh_peers: the peers with callers whose last heartbeat it considers fresh.
    :param past_retries_by_service: retries of processes that ended within the window.
    :param ended_processes: the number of those processes.
    """

    counted_ms: int = 0
    fresh_peers: frozenset[str] = frozenset()
    past_retries_by_service: dict[str, int] = attrs.Factory(dict)
    ended_processes: int = 0


@attrs.frozen(slots=True)
class AnnouncedLimit:
    """What a node has seen of the limit of a server for requests of all nodes.

    :param rate_per_s: ``None`` if the server does not name one any more.
    :param age_ms: how long this has been so, at least.
    """

    rate_per_s: float | None
    age_ms: int


@attrs.frozen(slots=True)
class AnnouncedRejection:
    """A rejection by a brittle server for want of room.

    :param requests: requests of all nodes that the server had, as far as the node knew.
    :param age_ms: how long ago it was, at least.
    """

    requests: int
    age_ms: int


@attrs.frozen(slots=True)
class Heartbeat:
    """The full state that a node announces to its peers; a newer heartbeat replaces it completely.

    :param record: how to reach the node; a peer that receives the heartbeat need not have read the
        node's record in the store.
    :param sequence: rises with each message of one boot.
    :param is_store_reachable: whether the node reaches the store.
    :param retry_usage_by_service: the requests and retries that the node has counted.
    :param departed_servers: servers that, as the node learned recently, have left or are leaving.
    :param versions: adapter versions that the node learned of recently.
    :param claims: the cell leases that the node holds.
    :param residency: set by the lease holder of a cell; ``None`` means unchanged since its last
        announcement.
    :param acks: the newest heartbeats of lease holders that the node has received. For a while
        after each, the node does not claim the lease.
    :param added_servers: servers that the node learned of recently.
    :param overloaded_runners: set by the lease holder of a cell: its runners with long queues. More
        recent than what the other nodes know of each other's work; ``None`` from other nodes.
    :param lag_ms: the typical delay with which the node runs tasks that are due.
    :param is_active: whether the node has requests, holds a cell lease or is a standby. Peers need
        fresh heartbeats of such a node; of any other they need little more than that it is alive.
    :param retry_history: what the node knows of retries beyond its own count.
    :param crashes: servers that, as the node saw recently, crashed, with the requests they had.
    :param quarantined_fingerprints: the fingerprints of requests, and the keys of parts of prompts,
        that must reach no server.
    :param parts_crashes: recent crashes that may be due to parts of prompts.
    :param sound_parts: parts of prompts that are not the cause of some crashes.
    :param quota_usage_by_customer: what the node has admitted of customers with a quota.
    :param limit_by_server: limits of servers that the node has seen last.
    :param usage_by_limited_server: what the node has sent to servers with limits.
    :param unreachable_services: services of which the node reaches no server; ``None`` from a node
        of an earlier release.
    :param rejections_by_brittle_server: recent rejections by brittle servers.
    :param keeps_stream_versions: whether the node keeps for its peers which software version began
        a stream; a node of an earlier release does not.
    :param pace_by_server: relative paces of runners that deviate from the median of their cell, by
        the node's own observations; ``None`` means unchanged since its last announcement.
    :param has_malformed_paces: whether some of the paces received could not be used; not sent.
    :param runner_ms_by_customer: for how long the node's requests have been at runners since its
        start, by customer. As received, so it may have any type; ``None`` if the message does not
        contain it.
    :param store_era: the era that the store has stated to the node, which rises when it loses rows.
    """

    record: NodeRecord
    sequence: int
    is_ready: bool
    is_leaving: bool
    config_version: int
    is_store_reachable: bool
    work_by_server: dict[ServerLife, ServerWork] = attrs.Factory(dict)
    retry_usage_by_service: dict[str, RetryUsage] = attrs.Factory(dict)
    departed_servers: tuple[DepartedServer, ...] = ()
    versions: tuple[RecentVersion, ...] = ()
    claims: tuple[CellLeaseClaim, ...] = ()
    residency: tuple[ResidentAdapters, ...] | None = ()
    acks: tuple[HeartbeatAck, ...] = ()
    added_servers: tuple[ServerLife, ...] = ()
    overloaded_runners: OverloadedRunners | None = None
    lag_ms: int = 0
    is_active: bool = True
    retry_history: RetryHistory = RetryHistory()
    crashes: tuple[ServerCrash, ...] = ()
    quarantined_fingerprints: tuple[str, ...] = ()
    quota_usage_by_customer: dict[str, QuotaUsage] = attrs.Factory(dict)
    limit_by_server: dict[ServerLife, AnnouncedLimit] = attrs.Factory(dict)
    usage_by_limited_server: dict[ServerLife, QuotaUsage] = attrs.Factory(dict)
    unreachable_services: tuple[str, ...] | None = ()
    rejections_by_brittle_server: dict[ServerLife, AnnouncedRejection] = attrs.Factory(dict)
    keeps_stream_versions: bool = False
    parts_crashes: tuple[PartsCrash, ...] = ()
    sound_parts: tuple[SoundPart, ...] = ()
    pace_by_server: dict[ServerLife, float] | None = None
    has_malformed_paces: bool = False
    runner_ms_by_customer: Any = None
    store_era: int = 0

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.record.name

    def reaches(self, service: str) -> bool:
        """Return whether the node reaches a service, as far as it has announced."""
        return service not in (self.unreachable_services or ())

    @property
    def boot(self) -> str:
        """Return the identifier of this run of the node's process."""
        return self.record.boot


@attrs.frozen(slots=True)
class WorkDelta:
    """The changes of a node's work in progress, for the holders of cell leases.

    :param work_by_server: the new total at each server where it has changed; an empty total where
        no work is left.
    """

    name: str
    boot: str
    sequence: int
    work_by_server: dict[ServerLife, ServerWork]


@attrs.frozen(slots=True)
class UsageDelta:
    """The changes of what a node has used of shared quotas and limits, for peers with callers."""

    name: str
    boot: str
    usage_by_customer: dict[str, QuotaUsage] = attrs.Factory(dict)
    limit_by_server: dict[ServerLife, AnnouncedLimit] = attrs.Factory(dict)
    usage_by_limited_server: dict[ServerLife, QuotaUsage] = attrs.Factory(dict)
    rejections_by_brittle_server: dict[ServerLife, AnnouncedRejection] = attrs.Factory(dict)


@attrs.frozen(slots=True)
class BegunStreams:
    """The software versions at which streams of a node began, for the peers that keep them.

    :param streams: the keys of the streams, by service and software version.
    """

    name: str
    streams: dict[str, dict[str, tuple[str, ...]]]


@attrs.frozen(slots=True)
class ShortHeartbeat:
    """The part of a heartbeat for peers that only need to know that the node is alive.

    :param retry_usage_by_service: only of services with retries, since requests without retries
        hardly change the budget.
    :param record: included for a while after the node's start. Later peers know it, or request a
        full heartbeat.
    """

    name: str
    boot: str
    sequence: int
    is_ready: bool
    is_leaving: bool
    is_store_reachable: bool
    is_active: bool
    config_version: int
    lag_ms: int = 0
    claims: tuple[CellLeaseClaim, ...] = ()
    acks: tuple[HeartbeatAck, ...] = ()
    retry_usage_by_service: dict[str, RetryUsage] = attrs.Factory(dict)
    record: NodeRecord | None = None
    quarantined_fingerprints: tuple[str, ...] = ()
    unreachable_services: tuple[str, ...] | None = ()
    keeps_stream_versions: bool = False
    store_era: int = 0

    @classmethod
    def from_heartbeat(cls, heartbeat: Heartbeat, with_record: bool) -> ShortHeartbeat:
        """Return the short form of a heartbeat."""
        return cls(
            heartbeat.name,
            heartbeat.boot,
            heartbeat.sequence,
            heartbeat.is_ready,
            heartbeat.is_leaving,
            heartbeat.is_store_reachable,
            heartbeat.is_active,
            heartbeat.config_version,
            heartbeat.lag_ms,
            heartbeat.claims,
            heartbeat.acks,
            {
                name: spent
                for name, spent in heartbeat.retry_usage_by_service.items()
                if spent.retries
            },
            heartbeat.record if with_record else None,
            heartbeat.quarantined_fingerprints,
            heartbeat.unreachable_services,
            heartbeat.keeps_stream_versions,
            heartbeat.store_era,
        )

    def to_heartbeat(self, previous: Heartbeat | None, record: NodeRecord) -> Heartbeat:
        """Return the node's state as far as it is known now, as a full heartbeat.

        The work in progress of an active node is kept from its previous heartbeat; a node that is
        not active has none.

        :param previous: the node's last heartbeat of the same boot.
        """
        keeps_previous = previous is not None and self.is_active
        return Heartbeat(
            record=record,
            sequence=self.sequence,
            is_ready=self.is_ready,
            is_leaving=self.is_leaving,
            config_version=self.config_version,
            is_store_reachable=self.is_store_reachable,
            work_by_server=previous.work_by_server if keeps_previous else {},
            retry_usage_by_service=(
                previous.retry_usage_by_service if keeps_previous else self.retry_usage_by_service
            ),
            claims=self.claims,
            residency=None,
            acks=self.acks,
            overloaded_runners=previous.overloaded_runners if keeps_previous else None,
            lag_ms=self.lag_ms,
            is_active=self.is_active,
            retry_history=previous.retry_history if keeps_previous else RetryHistory(),
            quarantined_fingerprints=self.quarantined_fingerprints,
            quota_usage_by_customer=previous.quota_usage_by_customer if keeps_previous else {},
            usage_by_limited_server=previous.usage_by_limited_server if keeps_previous else {},
            unreachable_services=self.unreachable_services,
            keeps_stream_versions=self.keeps_stream_versions,
            store_era=self.store_era,
        )
