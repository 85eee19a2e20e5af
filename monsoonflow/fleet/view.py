"""What a node knows of its peers from their heartbeats, and how old that knowledge is."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..logs import events, log
from ..routing.in_flight import ServerWork
from ..routing.overload import OverloadedRunners
from .ended_processes import EndedProcesses
from .heartbeat_rounds import (
    HEARTBEAT_INTERVAL_MS,
    SILENT_AFTER_MISSED,
    active_rounds_per_cycle,
    holder_silence_timeout_ms,
    idle_silence_timeout_ms,
    rounds_per_cycle,
    silence_timeout_ms,
)
from .models import (
    DEFAULT_CORES,
    CellLeaseClaim,
    Heartbeat,
    HeartbeatAck,
    NodeRecord,
    ResidentAdapters,
    ShortHeartbeat,
    UsageDelta,
    WorkDelta,
)
from .work_totals import WorkTotals

_LOGGER = logging.getLogger(__name__)
ALIVE_TIMEOUT_MS: Final = 1_200
"""A peer counts as down when nothing was received from it for this long: six consecutive heartbeats
were lost or never sent. Longer in a large fleet, where nodes send to each peer less often."""

MIN_WORK_EXPIRY_MS: Final = 2_000
"""A silent peer's work in progress is counted for at least this long, then it is dropped: if the
peer is down, its requests have ended."""

OVERLOAD_EXPIRY_MS: Final = 700
"""What a lease holder announces of its runners' queues is used for this long, three of its rounds.
After that it is no better than what the other peers announced of their own work."""

MAX_SENT_HEARTBEATS: Final = 512
"""The number of this node's heartbeats whose send time is remembered: those of a few seconds of a
busy lease holder."""

LONG_AGO_MS: Final = -1_000_000_000


@attrs.define(slots=True)
class _PeerState:
    """What is known of a peer.

    :param heartbeat: its state as of the last message.
    :param received_ms: when its last message of any kind was received.
    :param has_refused: whether its port has refused connections since then.
    :param residency: what its runners hold, if it is a lease holder.
    """

    heartbeat: Heartbeat
    received_ms: int
    is_alive: bool = True
    has_refused: bool = False
    residency: tuple[ResidentAdapters, ...] = ()
    full_heartbeat_ms: int = 0
    """When its complete state was last received; a short heartbeat of an active peer has only a
    part of it."""
    residency_ms: int = LONG_AGO_MS
    """When ``residency`` was received."""
    delta_sequence: int = 0
    """The sequence number of the last work delta received since its last heartbeat."""


@attrs.frozen(slots=True)
class _SentHeartbeat:
    """When a heartbeat of this node was sent, and which cells it claimed."""

    sent_ms: int
    claimed_cells: frozenset[str]


@attrs.frozen(slots=True)
class ReceivedHeartbeat:
    """A peer's last heartbeat, and how long ago its complete state was received."""

    heartbeat: Heartbeat
    age_ms: int


@attrs.frozen(slots=True)
class ReceivedClaim:
    """When a lease holder's claim was received.

    :param first_received_ms: when a claim with this counter was first received.
    :param last_received_ms: when any claim of the holder was last received.
    """

    epoch: int
    counter: int
    first_received_ms: int
    last_received_ms: int


class FleetView:
    """The heartbeats and node records of the peers.

    :param name: of this node.
    :param cores: of this node, as in its record.
    """

    def __init__(self, name: str, cores: float = DEFAULT_CORES) -> None:
        self.name = name
        self.cores = cores
        self._peer_by_name: dict[str, _PeerState] = {}
        self._last_received_ms = LONG_AGO_MS
        self.record_by_name: dict[str, NodeRecord] = {}
        self._claim_by_cell: dict[str, CellLeaseClaim] = {}
        self._received_claim_by_cell: dict[str, ReceivedClaim] = {}
        self._sent_by_sequence: OrderedDict[int, _SentHeartbeat] = OrderedDict()
        self._work_totals = WorkTotals()
        self._work_expiry_ms = MIN_WORK_EXPIRY_MS
        self._ended_processes = EndedProcesses()

    def add_record(self, record: NodeRecord) -> None:
        """Store how a node can be reached."""
        self.record_by_name[record.name] = record

    def cores_of(self, name: str) -> float:
        """Return a node's processor capacity, or the default if it is unknown."""
        if name == self.name:
            return self.cores
        record = self.record_by_name.get(name)
        return DEFAULT_CORES if record is None else record.cores

    def remove_record(self, name: str) -> None:
        """Forget how a node can be reached."""
        self.record_by_name.pop(name, None)

    def receive(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Apply a peer's heartbeat, unless a newer message of the peer was received before.

        :returns: whether it was applied.
        """
        known = self._peer_by_name.get(heartbeat.name)
        if heartbeat.name == self.name or _is_outdated(known, heartbeat.boot, heartbeat.sequence):
            return False
        self._apply_heartbeat(heartbeat, known, now_ms, now_ms)
        self._work_totals.replace(heartbeat.name, heartbeat.work_by_server, now_ms)
        return True

    def needs_full_heartbeat(self, heartbeat: ShortHeartbeat) -> bool:
        """Return whether a short heartbeat is from a node whose record is unknown."""
        return heartbeat.name != self.name and self._record_of(heartbeat) is None

    def receive_short(self, short: ShortHeartbeat, now_ms: int) -> Heartbeat | None:
        """Apply a short heartbeat of a peer.

        The work in progress of an active peer stays as last announced, until it expires. For a peer
        that is not active, the short heartbeat is the complete state.

        :returns: the peer's state as far as it is known now; ``None`` if its record is unknown or a
            newer message of it was received before.
        """
        record = self._record_of(short)
        known = self._peer_by_name.get(short.name)
        if (
            short.name == self.name
            or record is None
            or _is_outdated(known, short.boot, short.sequence)
        ):
            return None
        is_same_boot = known is not None and known.heartbeat.boot == short.boot
        heartbeat = short.to_heartbeat(known.heartbeat if is_same_boot else None, record)
        full_heartbeat_ms = (
            known.full_heartbeat_ms
            if is_same_boot and short.is_active
            else now_ms if not short.is_active else 0
        )
        self._apply_heartbeat(heartbeat, known, now_ms, full_heartbeat_ms)
        if not (is_same_boot and short.is_active):
            self._work_totals.drop(short.name)
        return heartbeat

    def receive_work_delta(self, delta: WorkDelta, now_ms: int) -> None:
        """Apply a work delta of a peer; ignored without an earlier heartbeat of the same boot."""
        known = self._peer_by_name.get(delta.name)
        if known is None or known.heartbeat.boot != delta.boot:
            return
        if _is_outdated(known, delta.boot, delta.sequence):
            return
        known.delta_sequence = delta.sequence
        known.received_ms = self._last_received_ms = now_ms
        work = self._work_totals.apply_delta(delta.name, delta.work_by_server, now_ms)
        known.heartbeat = attrs.evolve(known.heartbeat, work_by_server=work)

    def receive_usage_delta(self, delta: UsageDelta, now_ms: int) -> bool:
        """Record that a peer was heard; return whether it is the run of its process that is known.

        A delta may overtake the first heartbeat of a run, or be one of an ended run.
        """
        known = self._peer_by_name.get(delta.name)
        if known is None or known.heartbeat.boot != delta.boot:
            return False
        known.received_ms = self._last_received_ms = now_ms
        return True

    def _record_of(self, heartbeat: ShortHeartbeat) -> NodeRecord | None:
        known = self._peer_by_name.get(heartbeat.name)
        if heartbeat.record is not None:
            return heartbeat.record
        if known is not None and known.heartbeat.boot == heartbeat.boot:
            return known.heartbeat.record
        record = self.record_by_name.get(heartbeat.name)
        return record if record is not None and record.boot == heartbeat.boot else None

    def _apply_heartbeat(
        self, heartbeat: Heartbeat, known: _PeerState | None, now_ms: int, full_heartbeat_ms: int
    ) -> None:
        if known is None or not known.is_alive:
            log(_LOGGER, events.PeerHeard(peer=heartbeat.name, boot=heartbeat.boot))
        if known is not None and known.heartbeat.boot != heartbeat.boot:
            self._ended_processes.add(known.heartbeat, now_ms)
        peer = _PeerState(heartbeat, now_ms, full_heartbeat_ms=full_heartbeat_ms)
        if heartbeat.residency is not None:
            peer.residency, peer.residency_ms = heartbeat.residency, now_ms
        elif known is not None:
            peer.residency, peer.residency_ms = known.residency, known.residency_ms
        self._peer_by_name[heartbeat.name] = peer
        self._last_received_ms = now_ms
        self.add_record(heartbeat.record)
        for claim in heartbeat.claims:
            self.apply_claim(claim)
            if claim.holder == heartbeat.name:
                self._record_received_claim(claim, now_ms)

    def _record_received_claim(self, claim: CellLeaseClaim, now_ms: int) -> None:
        known = self._received_claim_by_cell.get(claim.cell)
        received = (claim.epoch, claim.counter)
        if known is not None and received < (known.epoch, known.counter):
            return
        is_same = known is not None and received == (known.epoch, known.counter)
        first_received_ms = known.first_received_ms if is_same else now_ms
        self._received_claim_by_cell[claim.cell] = ReceivedClaim(
            *received, first_received_ms, now_ms
        )

    def received_claim(self, cell: str) -> ReceivedClaim | None:
        """Return when the claim of the newest lease holder of a cell was received."""
        return self._received_claim_by_cell.get(cell)

    def record_sent(self, sequence: int, claims: tuple[CellLeaseClaim, ...], now_ms: int) -> None:
        """Record that a heartbeat of this node is being sent, with these claims."""
        self._sent_by_sequence[sequence] = _SentHeartbeat(
            now_ms, frozenset(claim.cell for claim in claims)
        )
        while len(self._sent_by_sequence) > MAX_SENT_HEARTBEATS:
            self._sent_by_sequence.popitem(last=False)

    def holder_acks(self) -> tuple[HeartbeatAck, ...]:
        """Return acknowledgements of the newest heartbeats of lease holders."""
        holders = {claim.holder for claim in self._claim_by_cell.values()}
        heartbeats = [peer.heartbeat for name in holders if (peer := self._peer_by_name.get(name))]
        return tuple(
            HeartbeatAck(heartbeat.name, heartbeat.boot, heartbeat.sequence)
            for heartbeat in heartbeats
        )

    def acked_claim_sent_ms(self, name: str, boot: str, cell: str) -> int | None:
        """Return when the last heartbeat of this node that a peer has acknowledged was sent.

        :param name: of the peer.
        :param boot: of this node's process.
        :param cell: the claimed cell. ``None`` is returned if that heartbeat did not claim it: a
            peer that has not received the claim has made no promise.
        """
        heartbeat = self.heartbeat_of(name)
        for ack in heartbeat.acks if heartbeat is not None else ():
            if (ack.name, ack.boot) == (self.name, boot):
                sent = self._sent_by_sequence.get(ack.sequence)
                return sent.sent_ms if sent is not None and cell in sent.claimed_cells else None
        return None

    def apply_claim(self, claim: CellLeaseClaim) -> None:
        """Record who holds a cell's lease, unless a claim with a higher epoch is known."""
        known = self._claim_by_cell.get(claim.cell)
        has_more_standbys = known is not None and (
            claim.epoch == known.epoch and len(claim.standbys) > len(known.standbys)
        )
        if known is None or claim.epoch > known.epoch or has_more_standbys:
            self._claim_by_cell[claim.cell] = claim

    def claim_of(self, cell: str) -> CellLeaseClaim | None:
        """Return the newest known claim of a cell."""
        return self._claim_by_cell.get(cell)

    def holder_and_standby_names(self) -> set[str]:
        """Return the holders of cell leases and their standbys."""
        claims = self._claim_by_cell.values()
        return {name for claim in claims for name in (claim.holder, *claim.standbys)}

    def holder_names(self) -> set[str]:
        """Return the holders of cell leases."""
        return {claim.holder for claim in self._claim_by_cell.values()}

    def holds_cell_lease(self) -> bool:
        """Return whether the newest known claim of any cell is this node's."""
        return any(claim.holder == self.name for claim in self._claim_by_cell.values())

    def holder_silence_timeout_ms(self, min_ms: int) -> int:
        """Return after how long a lease holder counts as silent in a fleet of this size."""
        return holder_silence_timeout_ms(self.node_count() - 1, min_ms)

    def is_alive(self, name: str, now_ms: int, within_ms: int | None = None) -> bool:
        """Return whether a peer's last message was received recently.

        :param within_ms: a timeout shorter than the default.
        """
        peer = self._peer_by_name.get(name)
        if peer is None:
            return False
        if within_ms is not None and now_ms - peer.received_ms > within_ms:
            return False
        is_alive = now_ms - peer.received_ms <= self._alive_timeout_ms(peer.heartbeat.is_active)
        if peer.is_alive and not is_alive:
            peer.is_alive = False
            age_ms = None if peer.has_refused else now_ms - peer.received_ms
            log(_LOGGER, events.PeerSilent(peer=name, age_ms=age_ms))
        return is_alive

    def mark_refused(self, name: str) -> None:
        """Record that a peer's port refuses connections, so that its process has ended.

        This is noticed sooner than silence, and what the peer held can be taken over at once. The
        next message of the peer marks it as alive.
        """
        peer = self._peer_by_name.get(name)
        if peer is not None:
            peer.received_ms = LONG_AGO_MS
            peer.has_refused = True
            self._work_totals.drop(name)

    def has_refused(self, name: str) -> bool:
        """Return whether a peer's port has refused connections since its last message."""
        peer = self._peer_by_name.get(name)
        return peer is not None and peer.has_refused

    def heartbeat_age_ms(self, name: str, now_ms: int) -> int | None:
        """Return how long ago the last message of a peer was received; ``None`` if never."""
        peer = self._peer_by_name.get(name)
        return None if peer is None else now_ms - peer.received_ms

    def has_received_within(self, now_ms: int, within_ms: int) -> bool:
        """Return whether a message of any peer was received within a time."""
        return now_ms - self._last_received_ms <= within_ms

    def heartbeats(self, now_ms: int, within_ms: int = ALIVE_TIMEOUT_MS) -> list[Heartbeat]:
        """Return the heartbeats of the peers whose last message was received recently.

        :param within_ms: the longest time since then in a small fleet; longer in a large fleet.
        """
        limit_ms = max(within_ms, self._alive_timeout_ms())
        idle_limit_ms = max(within_ms, self._alive_timeout_ms(is_active=False))
        return [
            peer.heartbeat
            for peer in self._peer_by_name.values()
            if now_ms - peer.received_ms
            <= (limit_ms if peer.heartbeat.is_active else idle_limit_ms)
        ]

    def active_peer_names(self) -> list[str]:
        """Return the peers that last announced callers or a part in a cell lease."""
        return [name for name, peer in self._peer_by_name.items() if peer.heartbeat.is_active]

    def full_heartbeat_recipients(self, names: Iterable[str]) -> list[str]:
        """Return the peers that need a full heartbeat of this node rather than a short one.

        In a small fleet these are all peers, in a large one those that choose servers by it.
        """
        if self.is_small():
            return list(names)
        choosing_names = {*self.active_peer_names(), *self.holder_and_standby_names()}
        return [name for name in names if name in choosing_names]

    def residency_age_ms(self, name: str, now_ms: int) -> int | None:
        """Return how long ago a lease holder announced the residency of its runners."""
        peer = self._peer_by_name.get(name)
        return None if peer is None else now_ms - peer.residency_ms

    def heartbeat_of(self, name: str) -> Heartbeat | None:
        """Return a peer's last heartbeat."""
        peer = self._peer_by_name.get(name)
        return None if peer is None else peer.heartbeat

    def work_by_server(self, now_ms: int) -> Mapping[ServerLife, ServerWork]:
        """Return the peers' work in progress, by server.

        The result is the running total itself, which changes with the next message.
        """
        expiry_ms = max(MIN_WORK_EXPIRY_MS, self._alive_timeout_ms())
        if expiry_ms > self._work_expiry_ms:
            # The fleet has grown, so nodes send to each peer less often: work that had expired by
            # the shorter time counts again.
            self._rebuild_work_totals()
        self._work_expiry_ms = expiry_ms
        self._work_totals.drop_before(now_ms - expiry_ms)
        return self._work_totals.by_server

    def _rebuild_work_totals(self) -> None:
        self._work_totals = WorkTotals()
        for name, peer in sorted(self._peer_by_name.items(), key=lambda item: item[1].received_ms):
            self._work_totals.replace(name, peer.heartbeat.work_by_server, peer.received_ms)

    def work_at(self, life: ServerLife, now_ms: int) -> ServerWork:
        """Return the peers' work in progress at a server; callers must not modify it."""
        return self.work_by_server(now_ms).get(life) or ServerWork()

    def overloaded_runners(self, cell: str, now_ms: int) -> OverloadedRunners | None:
        """Return the runners with long queues, as recently announced by the cell's lease holder.

        ``None`` if its last announcement is too old.
        """
        claim = self._claim_by_cell.get(cell)
        peer = self._peer_by_name.get(claim.holder) if claim is not None else None
        if peer is None or now_ms - peer.full_heartbeat_ms > OVERLOAD_EXPIRY_MS:
            return None
        return peer.heartbeat.overloaded_runners

    def received_heartbeats(self, now_ms: int, within_ms: int) -> list[ReceivedHeartbeat]:
        """Return the peers whose complete state was received within a time, each with its age.

        A short heartbeat of a peer with callers does not contain its complete state.
        """
        return [
            ReceivedHeartbeat(peer.heartbeat, now_ms - peer.full_heartbeat_ms)
            for peer in self._peer_by_name.values()
            if now_ms - peer.full_heartbeat_ms <= within_ms
        ]

    def active_peer_names_within(self, within_ms: int, now_ms: int) -> list[str]:
        """Return the active peers whose complete state was received within a time."""
        return [
            name
            for name, peer in self._peer_by_name.items()
            if peer.heartbeat.is_active and now_ms - peer.full_heartbeat_ms <= within_ms
        ]

    def max_age_ms(self, is_active: bool) -> int:
        """Return the age up to which a peer's complete state counts as fresh.

        :param is_active: whether the peer is active.
        """
        if not is_active:
            return self._alive_timeout_ms(is_active=False)
        return (
            SILENT_AFTER_MISSED
            * active_rounds_per_cycle(len(self.active_peer_names()))
            * HEARTBEAT_INTERVAL_MS
        )

    def ended_process_heartbeats(self, window_ms: int, now_ms: int) -> list[Heartbeat]:
        """Return the last heartbeats of the processes that ended within a window."""
        return self._ended_processes.last_heartbeats(window_ms, now_ms)

    def node_count(self) -> int:
        """Return the number of nodes, including this one."""
        return len({self.name, *self.record_by_name, *self._peer_by_name})

    def is_small(self) -> bool:
        """Return whether the fleet is so small that each node sends to all peers in each round."""
        return rounds_per_cycle(self.node_count() - 1) == 1

    def _alive_timeout_ms(self, is_active: bool = True) -> int:
        peers = len(self._peer_by_name)
        return (
            silence_timeout_ms(peers, ALIVE_TIMEOUT_MS)
            if is_active
            else idle_silence_timeout_ms(peers, ALIVE_TIMEOUT_MS)
        )

    def residency(self, cell: str, now_ms: int) -> tuple[ResidentAdapters, ...] | None:
        """Return the residency that the lease holder of a cell last announced."""
        claim = self._claim_by_cell.get(cell)
        peer = self._peer_by_name.get(claim.holder) if claim is not None else None
        return None if peer is None else peer.residency

    def forget_silent(self, now_ms: int, after_ms: int) -> None:
        """Forget the peers without a node record that have been silent for a time."""
        for name, peer in list(self._peer_by_name.items()):
            if now_ms - peer.received_ms > after_ms and name not in self.record_by_name:
                del self._peer_by_name[name]
                self._work_totals.drop(name)


def _is_outdated(known: _PeerState | None, boot: str, sequence: int) -> bool:
    """Return whether a message of a peer is older than what is known of it."""
    is_same_boot = known is not None and known.heartbeat.boot == boot
    return is_same_boot and sequence <= max(known.heartbeat.sequence, known.delta_sequence)
