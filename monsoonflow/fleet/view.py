"""What this node knows of the others, each with its age."""

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
    WorkDelta,
)
from .work_totals import WorkTotals

_LOGGER = logging.getLogger(__name__)
ALIVE_TIMEOUT_MS: Final = 1_200
"""A node unheard for so long counts as down: six reports in a row were lost or never sent. In a
large fleet, where each is told more seldom, it is longer."""

MIN_WORK_EXPIRY_MS: Final = 2_000
"""A silent node's work in progress is counted for so long at least: its requests end with it."""

OVERLOAD_EXPIRY_MS: Final = 700
"""A holder's word on its runners' queues is used for so long: three of its rounds. Older, it says
no more than what the other nodes told of themselves."""

MAX_SENT_HEARTBEATS: Final = 512
"""Reports of this node whose time of sending is remembered: some seconds of a busy holder."""

LONG_AGO_MS: Final = -1_000_000_000


@attrs.define(slots=True)
class _PeerState:
    heartbeat: Heartbeat
    received_ms: int
    is_alive: bool = True
    has_refused: bool = False
    residency: tuple[ResidentAdapters, ...] = ()
    full_heartbeat_ms: int = 0
    """When its whole word was heard last: ``at_ms`` may be that of a sign of life."""
    residency_ms: int = LONG_AGO_MS
    """When it last told what runners hold."""
    delta_sequence: int = 0
    """Of the last change of its work that was heard since its report."""


@attrs.frozen(slots=True)
class _SentHeartbeat:
    """When a report of this node was sent, and the cells that it claimed."""

    sent_ms: int
    claimed_cells: frozenset[str]


@attrs.frozen(slots=True)
class ReceivedHeartbeat:
    """What a node told of itself, and how long ago."""

    heartbeat: Heartbeat
    age_ms: int


@attrs.frozen(slots=True)
class ReceivedClaim:
    """When a holder was heard to claim its duty.

    :param first_ms: with this counter; ``last_ms`` at all.
    """

    epoch: int
    counter: int
    first_received_ms: int
    last_received_ms: int


class FleetView:
    """The reports and cards of the other nodes.

    :param name: of this node.
    :param cores: of this node, as its card tells it.
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
        """Take how a node can be reached."""
        self.record_by_name[record.name] = record

    def cores_of(self, name: str) -> float:
        """Return how much processor time a node has, as far as it has told."""
        if name == self.name:
            return self.cores
        card = self.record_by_name.get(name)
        return DEFAULT_CORES if card is None else card.cores

    def remove_record(self, name: str) -> None:
        """Forget how a node can be reached."""
        self.record_by_name.pop(name, None)

    def receive(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Take a report; return whether it is news. An overtaken one is dropped."""
        known = self._peer_by_name.get(heartbeat.name)
        if heartbeat.name == self.name or _is_outdated(known, heartbeat.boot, heartbeat.sequence):
            return False
        self._apply_heartbeat(heartbeat, known, now_ms, now_ms)
        self._work_totals.replace(heartbeat.name, heartbeat.work_by_server, now_ms)
        return True

    def needs_full_heartbeat(self, heartbeat: ShortHeartbeat) -> bool:
        """Tell whether a sign of life is of a node of which nothing else is known."""
        return heartbeat.name != self.name and self._record_of(heartbeat) is None

    def receive_short(self, short: ShortHeartbeat, now_ms: int) -> Heartbeat | None:
        """Take a sign of life; return what is known of its node now, or ``None`` if it is no news.

        What a node with callers has in progress is as it was told last, and fades; a node that has
        none needs no more words.
        """
        card = self._record_of(short)
        known = self._peer_by_name.get(short.name)
        if (
            short.name == self.name
            or card is None
            or _is_outdated(known, short.boot, short.sequence)
        ):
            return None
        same = known is not None and known.heartbeat.boot == short.boot
        report = short.to_heartbeat(known.heartbeat if same else None, card)
        told_ms = (
            known.full_heartbeat_ms
            if same and short.is_active
            else now_ms if not short.is_active else 0
        )
        self._apply_heartbeat(report, known, now_ms, told_ms)
        if not (same and short.is_active):
            self._work_totals.drop(short.name)
        return report

    def receive_work_delta(self, delta: WorkDelta, now_ms: int) -> None:
        """Take a change of a node's work; without its report before it says nothing."""
        known = self._peer_by_name.get(delta.name)
        if known is None or known.heartbeat.boot != delta.boot:
            return
        if _is_outdated(known, delta.boot, delta.sequence):
            return
        known.delta_sequence = delta.sequence
        known.received_ms = self._last_received_ms = now_ms
        work = self._work_totals.apply_delta(delta.name, delta.work_by_server, now_ms)
        known.heartbeat = attrs.evolve(known.heartbeat, work_by_server=work)

    def _record_of(self, heartbeat: ShortHeartbeat) -> NodeRecord | None:
        known = self._peer_by_name.get(heartbeat.name)
        if heartbeat.record is not None:
            return heartbeat.record
        if known is not None and known.heartbeat.boot == heartbeat.boot:
            return known.heartbeat.record
        card = self.record_by_name.get(heartbeat.name)
        return card if card is not None and card.boot == heartbeat.boot else None

    def _apply_heartbeat(
        self, heartbeat: Heartbeat, known: _PeerState | None, now_ms: int, full_heartbeat_ms: int
    ) -> None:
        if known is None or not known.is_alive:
            log(_LOGGER, events.PeerHeard(peer=heartbeat.name, boot=heartbeat.boot))
        if known is not None and known.heartbeat.boot != heartbeat.boot:
            self._ended_processes.add(known.heartbeat, now_ms)
        heard = _PeerState(heartbeat, now_ms, full_heartbeat_ms=full_heartbeat_ms)
        if heartbeat.residency is not None:
            heard.residency, heard.residency_ms = heartbeat.residency, now_ms
        elif known is not None:
            heard.residency, heard.residency_ms = known.residency, known.residency_ms
        self._peer_by_name[heartbeat.name] = heard
        self._last_received_ms = now_ms
        self.add_record(heartbeat.record)
        for claim in heartbeat.claims:
            self.apply_claim(claim)
            if claim.holder == heartbeat.name:
                self._record_received_claim(claim, now_ms)

    def _record_received_claim(self, claim: CellLeaseClaim, now_ms: int) -> None:
        known = self._received_claim_by_cell.get(claim.cell)
        told = (claim.epoch, claim.counter)
        if known is not None and told < (known.epoch, known.counter):
            return
        same = known is not None and told == (known.epoch, known.counter)
        first_ms = known.first_received_ms if same else now_ms
        self._received_claim_by_cell[claim.cell] = ReceivedClaim(*told, first_ms, now_ms)

    def received_claim(self, cell: str) -> ReceivedClaim | None:
        """Return when the newest holder of a cell was heard to claim it."""
        return self._received_claim_by_cell.get(cell)

    def record_sent(self, sequence: int, claims: tuple[CellLeaseClaim, ...], now_ms: int) -> None:
        """Note that a report of this node is being sent, with these claims."""
        self._sent_by_sequence[sequence] = _SentHeartbeat(now_ms, frozenset(c.cell for c in claims))
        while len(self._sent_by_sequence) > MAX_SENT_HEARTBEATS:
            self._sent_by_sequence.popitem(last=False)

    def holder_acks(self) -> tuple[HeartbeatAck, ...]:
        """Return the newest reports of holders that this node has heard."""
        holders = {claim.holder for claim in self._claim_by_cell.values()}
        found = [heard.heartbeat for name in holders if (heard := self._peer_by_name.get(name))]
        return tuple(HeartbeatAck(report.name, report.boot, report.sequence) for report in found)

    def acked_claim_sent_ms(self, name: str, boot: str, cell: str) -> int | None:
        """Return when the report was sent that a node says it has heard newest of this one.

        :param boot: of this node's process.
        :param cell: ``None`` is returned where that report did not claim it: who heard no claim
            has promised nothing.
        """
        report = self.heartbeat_of(name)
        for heard in report.acks if report is not None else ():
            if (heard.name, heard.boot) == (self.name, boot):
                sent = self._sent_by_sequence.get(heard.sequence)
                return sent.sent_ms if sent is not None and cell in sent.claimed_cells else None
        return None

    def apply_claim(self, claim: CellLeaseClaim) -> None:
        """Take who holds a cell's duty; a lower epoch is old news."""
        known = self._claim_by_cell.get(claim.cell)
        more_heirs = known is not None and (
            claim.epoch == known.epoch and len(claim.standbys) > len(known.standbys)
        )
        if known is None or claim.epoch > known.epoch or more_heirs:
            self._claim_by_cell[claim.cell] = claim

    def claim_of(self, cell: str) -> CellLeaseClaim | None:
        """Return the newest claim that is known of a cell."""
        return self._claim_by_cell.get(cell)

    def holder_and_standby_names(self) -> set[str]:
        """Return the holders of duties and their heirs."""
        claims = self._claim_by_cell.values()
        return {name for claim in claims for name in (claim.holder, *claim.standbys)}

    def holder_names(self) -> set[str]:
        """Return the holders of duties."""
        return {claim.holder for claim in self._claim_by_cell.values()}

    def holds_cell_lease(self) -> bool:
        """Tell whether the newest claim that is known of some cell is this node's."""
        return any(claim.holder == self.name for claim in self._claim_by_cell.values())

    def holder_silence_timeout_ms(self, min_ms: int) -> int:
        """Return after how long a holder of a duty counts as silent, by the size of the fleet."""
        return holder_silence_timeout_ms(self.node_count() - 1, min_ms)

    def is_alive(self, name: str, now_ms: int, within_ms: int | None = None) -> bool:
        """Tell whether a node was heard lately.

        :param within_ms: a shorter time than usual.
        """
        heard = self._peer_by_name.get(name)
        if heard is None:
            return False
        if within_ms is not None and now_ms - heard.received_ms > within_ms:
            return False
        alive = now_ms - heard.received_ms <= self._alive_timeout_ms(heard.heartbeat.is_active)
        if heard.is_alive and not alive:
            heard.is_alive = False
            age_ms = None if heard.has_refused else now_ms - heard.received_ms
            log(_LOGGER, events.PeerSilent(peer=name, age_ms=age_ms))
        return alive

    def mark_refused(self, name: str) -> None:
        """Take that a node's port refuses connections: its process is gone.

        Faster than its silence: what it held can be taken over at once. Its next report shows that
        it lives.
        """
        heard = self._peer_by_name.get(name)
        if heard is not None:
            heard.received_ms = LONG_AGO_MS
            heard.has_refused = True
            self._work_totals.drop(name)

    def has_refused(self, name: str) -> bool:
        """Tell whether a node's port refused connections since it was last heard."""
        heard = self._peer_by_name.get(name)
        return heard is not None and heard.has_refused

    def heartbeat_age_ms(self, name: str, now_ms: int) -> int | None:
        """Return how long ago a node was heard."""
        heard = self._peer_by_name.get(name)
        return None if heard is None else now_ms - heard.received_ms

    def has_received_within(self, now_ms: int, within_ms: int) -> bool:
        """Tell whether any other node was heard lately."""
        return now_ms - self._last_received_ms <= within_ms

    def heartbeats(self, now_ms: int, within_ms: int = ALIVE_TIMEOUT_MS) -> list[Heartbeat]:
        """Return the reports of nodes heard lately.

        :param within_ms: for a small fleet; in a large one it is longer.
        """
        limit_ms = max(within_ms, self._alive_timeout_ms())
        idle_limit_ms = max(within_ms, self._alive_timeout_ms(is_active=False))
        return [
            heard.heartbeat
            for heard in self._peer_by_name.values()
            if now_ms - heard.received_ms
            <= (limit_ms if heard.heartbeat.is_active else idle_limit_ms)
        ]

    def active_peer_names(self) -> list[str]:
        """Return the others that have callers or a part in duties, as they told last."""
        return [name for name, heard in self._peer_by_name.items() if heard.heartbeat.is_active]

    def full_heartbeat_recipients(self, names: Iterable[str]) -> list[str]:
        """Return the nodes that need this one's whole report rather than a sign of life.

        In a small fleet all do, in a large one those that choose by it.
        """
        if self.is_small():
            return list(names)
        choosing = {*self.active_peer_names(), *self.holder_and_standby_names()}
        return [name for name in names if name in choosing]

    def residency_age_ms(self, name: str, now_ms: int) -> int | None:
        """Return how long ago a holder told this node what runners hold."""
        heard = self._peer_by_name.get(name)
        return None if heard is None else now_ms - heard.residency_ms

    def heartbeat_of(self, name: str) -> Heartbeat | None:
        """Return a node's last report."""
        heard = self._peer_by_name.get(name)
        return None if heard is None else heard.heartbeat

    def work_by_server(self, now_ms: int) -> Mapping[ServerLife, ServerWork]:
        """Return what the other nodes have in progress, by server.

        It is the running total itself, and changes with the next report.
        """
        within_ms = max(MIN_WORK_EXPIRY_MS, self._alive_timeout_ms())
        if within_ms > self._work_expiry_ms:
            # Nodes of a fleet that has grown are told more seldom: who was too old may count again.
            self._rebuild_work_totals()
        self._work_expiry_ms = within_ms
        self._work_totals.drop_before(now_ms - within_ms)
        return self._work_totals.by_server

    def _rebuild_work_totals(self) -> None:
        self._work_totals = WorkTotals()
        for name, heard in sorted(self._peer_by_name.items(), key=lambda item: item[1].received_ms):
            self._work_totals.replace(name, heard.heartbeat.work_by_server, heard.received_ms)

    def work_at(self, life: ServerLife, now_ms: int) -> ServerWork:
        """Return what the other nodes have in progress at a server; it is not to be changed."""
        return self.work_by_server(now_ms).get(life) or ServerWork()

    def overloaded_runners(self, cell: str, now_ms: int) -> OverloadedRunners | None:
        """Return the runners with long queues, by the fresh word of their cell's holder."""
        claim = self._claim_by_cell.get(cell)
        heard = self._peer_by_name.get(claim.holder) if claim is not None else None
        if heard is None or now_ms - heard.full_heartbeat_ms > OVERLOAD_EXPIRY_MS:
            return None
        return heard.heartbeat.overloaded_runners

    def received_heartbeats(self, now_ms: int, within_ms: int) -> list[ReceivedHeartbeat]:
        """Return what others told of themselves within a time, each with its age.

        What a node with callers tells in a sign of life only is not its whole word.
        """
        return [
            ReceivedHeartbeat(heard.heartbeat, now_ms - heard.full_heartbeat_ms)
            for heard in self._peer_by_name.values()
            if now_ms - heard.full_heartbeat_ms <= within_ms
        ]

    def active_peer_names_within(self, within_ms: int, now_ms: int) -> list[str]:
        """Return the others with callers that told of themselves within a time."""
        return [
            name
            for name, heard in self._peer_by_name.items()
            if heard.heartbeat.is_active and now_ms - heard.full_heartbeat_ms <= within_ms
        ]

    def max_age_ms(self, is_active: bool) -> int:
        """Return how old a node's word may be so that it counts as fresh."""
        if not is_active:
            return self._alive_timeout_ms(is_active=False)
        return (
            SILENT_AFTER_MISSED
            * active_rounds_per_cycle(len(self.active_peer_names()))
            * HEARTBEAT_INTERVAL_MS
        )

    def ended_process_heartbeats(self, window_ms: int, now_ms: int) -> list[Heartbeat]:
        """Return the last reports of processes that ended within a window."""
        return self._ended_processes.last_heartbeats(window_ms, now_ms)

    def node_count(self) -> int:
        """Return how many nodes there are, this one among them."""
        return len({self.name, *self.record_by_name, *self._peer_by_name})

    def is_small(self) -> bool:
        """Tell whether the fleet is so small that each node tells all others each time."""
        return rounds_per_cycle(self.node_count() - 1) == 1

    def _alive_timeout_ms(self, is_active: bool = True) -> int:
        others = len(self._peer_by_name)
        return (
            silence_timeout_ms(others, ALIVE_TIMEOUT_MS)
            if is_active
            else idle_silence_timeout_ms(others, ALIVE_TIMEOUT_MS)
        )

    def residency(self, cell: str, now_ms: int) -> tuple[ResidentAdapters, ...] | None:
        """Return what the holder of a cell last told of its runners."""
        claim = self._claim_by_cell.get(cell)
        heard = self._peer_by_name.get(claim.holder) if claim is not None else None
        return None if heard is None else heard.residency

    def forget_silent(self, now_ms: int, after_ms: int) -> None:
        """Drop nodes that have been silent for long and have no card."""
        for name, heard in list(self._peer_by_name.items()):
            if now_ms - heard.received_ms > after_ms and name not in self.record_by_name:
                del self._peer_by_name[name]
                self._work_totals.drop(name)


def _is_outdated(known: _PeerState | None, boot: str, sequence: int) -> bool:
    """Tell whether a word of a node is older than what is known of it."""
    same = known is not None and known.heartbeat.boot == boot
    return same and sequence <= max(known.heartbeat.sequence, known.delta_sequence)
