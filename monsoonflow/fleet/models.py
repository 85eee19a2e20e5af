"""What entry nodes tell each other."""

from __future__ import annotations

import math
from typing import Final

import attrs

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..quarantine.models import ServerCrash
from ..routing.budget import RetryUsage
from ..routing.in_flight import ServerWork
from ..routing.overload import OverloadedRunners

DEFAULT_CORES: Final = 1.0
"""Taken for a machine that tells nothing, or nothing that could be meant."""

MIN_CORES: Final = 1 / 64
MAX_CORES: Final = 1_024.0
"""Bounds of what is believed: beyond any machine that runs an entry node."""


def bounded_cores(value: object) -> float:
    """Return a machine's processor as somebody told it, within bounds.

    A wrong word only moves the node's place among the candidates for a duty: the rest of what was
    told with it is good all the same.

    >>> [bounded_cores(value) for value in (2.15, None, "4", -1, 10**400)]
    [2.15, 1.0, 1.0, 1.0, 1024.0]
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        return DEFAULT_CORES
    return float(min(max(value, MIN_CORES), MAX_CORES))


@attrs.frozen(slots=True)
class NodeRecord:
    """How to reach an entry node; kept in the store.

    :param boot: names one life of the node's process.
    :param peer_address: for calls; ``report_address`` for datagrams.
    :param cores: how much processor time the node has, in seconds of one usual core a second: its
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
    """Who gives orders to the runners of a cell, as a node knows it.

    :param epoch: rises with each holder; the fencing number of its orders.
    :param heirs: who may go on in its place without the store, in this order.
    :param counter: of the holder's last renewal.
    """

    cell: str
    holder: str
    epoch: int
    standbys: tuple[str, ...] = ()
    counter: int = 0


@attrs.frozen(slots=True)
class HeartbeatAck:
    """The newest report that a node has heard of a holder of a duty."""

    name: str
    boot: str
    sequence: int


@attrs.frozen(slots=True)
class ResidentAdapters:
    """The adapters that a runner can serve now, as the holder of its cell knows it."""

    life: ServerLife
    adapters: tuple[AdapterRef, ...]


@attrs.frozen(slots=True)
class RecentVersion:
    """A version of an adapter that was named lately.

    :param age_ms: how long before the report it was named, at least as far as its node knows.
    """

    ref: AdapterRef
    age_ms: int


@attrs.frozen(slots=True)
class RetryHistory:
    """What a node remembers of retries besides its own count.

    :param counts_ms: for how long its process has counted, at most the budget's window.
    :param hears: the nodes with callers whose word it takes for fresh.
    :param past_by_service: retries of processes that ended within the window.
    :param ended: how many such processes there were.
    """

    counted_ms: int = 0
    fresh_peers: frozenset[str] = frozenset()
    past_retries_by_service: dict[str, int] = attrs.Factory(dict)
    ended_processes: int = 0


@attrs.frozen(slots=True)
class Heartbeat:
    """One node's word about itself; a newer one replaces it whole.

    :param card: how to reach it: who hears a node need not have read its card in the store.
    :param sequence: rises with each report of one boot.
    :param store_heard: whether the node reaches the store.
    :param left_servers: servers that the node lately learnt are leaving.
    :param versions: adapter versions that the node lately learnt.
    :param residency: set by the holder of a cell; ``None`` where it is as told before.
    :param heard: the newest reports of holders that this node has heard: for a while after each it
        does not claim their duties.
    :param came_servers: servers that the node lately learnt of.
    :param crowded: set by the holder of a cell: its runners with long queues, newer than what other
        nodes hear of each other; ``None`` at others.
    :param lag_ms: how late the node usually runs what is due.
    :param active: whether the node has requests or a part in duties, so that others need its word
        fresh; of one that has not they need little more than that it lives.
    :param retries: what the node remembers of retries.
    :param endings: servers that the node has lately seen end, with the requests that they had.
    :param quarantined: requests that must reach no server.
    """

    record: NodeRecord
    sequence: int
    is_ready: bool
    is_leaving: bool
    config_version: int
    is_store_reachable: bool
    work_by_server: dict[ServerLife, ServerWork] = attrs.Factory(dict)
    retry_usage_by_service: dict[str, RetryUsage] = attrs.Factory(dict)
    departed_servers: tuple[ServerLife, ...] = ()
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

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.record.name

    @property
    def boot(self) -> str:
        """Return the name of this life of the node's process."""
        return self.record.boot


@attrs.frozen(slots=True)
class WorkDelta:
    """What has changed of a node's work in progress, for the holders of duties.

    :param work_by_server: at the servers where it has changed, whole; empty where none is left.
    """

    name: str
    boot: str
    sequence: int
    work_by_server: dict[ServerLife, ServerWork]


@attrs.frozen(slots=True)
class ShortHeartbeat:
    """The part of a node's report for those that need no more than to know that it lives.

    :param retry_usage_by_service: where it has retries: requests alone change little in the budget.
    :param card: told while the node is young; later it is known, or asked for.
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

    @classmethod
    def from_heartbeat(cls, heartbeat: Heartbeat, with_record: bool) -> ShortHeartbeat:
        """Return the sign that goes with a report."""
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
        )

    def to_heartbeat(self, previous: Heartbeat | None, record: NodeRecord) -> Heartbeat:
        """Return the node's report as far as it can be told now.

        What an active node has in progress stays as it was told last; one that is not active has
        nothing.

        :param known: its last report of the same boot.
        """
        keeps = previous is not None and self.is_active
        return Heartbeat(
            record=record,
            sequence=self.sequence,
            is_ready=self.is_ready,
            is_leaving=self.is_leaving,
            config_version=self.config_version,
            is_store_reachable=self.is_store_reachable,
            work_by_server=previous.work_by_server if keeps else {},
            retry_usage_by_service=(
                previous.retry_usage_by_service if keeps else self.retry_usage_by_service
            ),
            claims=self.claims,
            residency=None,
            acks=self.acks,
            overloaded_runners=previous.overloaded_runners if keeps else None,
            lag_ms=self.lag_ms,
            is_active=self.is_active,
            retry_history=previous.retry_history if keeps else RetryHistory(),
            quarantined_fingerprints=self.quarantined_fingerprints,
        )
