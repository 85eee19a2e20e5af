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
from .ended import EndedProcesses
from .models import (
    USUAL_CORES,
    DutyClaim,
    Heard,
    HeldAdapters,
    LifeSign,
    NodeCard,
    NodeReport,
    WorkChange,
)
from .rounds import (
    EVERY_MS,
    MISSED,
    active_turns,
    holder_silence_ms,
    idle_silence_ms,
    silence_ms,
    turns,
)
from .work_sum import WorkSum

_LOGGER = logging.getLogger(__name__)
ALIVE_MS: Final = 1_200
"""A node unheard for so long counts as down: six reports in a row were lost or never sent. In a
large fleet, where each is told more seldom, it is longer."""

WORK_FADES_MS: Final = 2_000
"""A silent node's work in progress is counted for so long at least: its requests end with it."""

CROWDED_FADES_MS: Final = 700
"""A holder's word on its runners' queues is used for so long: three of its rounds. Older, it says
no more than what the other nodes told of themselves."""

MOST_SENT: Final = 512
"""Reports of this node whose time of sending is remembered: some seconds of a busy holder."""

LONG_AGO_MS: Final = -1_000_000_000


@attrs.define(slots=True)
class _Heard:
    report: NodeReport
    at_ms: int
    alive: bool = True
    refused: bool = False
    residency: tuple[HeldAdapters, ...] = ()
    told_ms: int = 0
    """When its whole word was heard last: ``at_ms`` may be that of a sign of life."""
    residency_ms: int = LONG_AGO_MS
    """When it last told what runners hold."""
    change_sequence: int = 0
    """Of the last change of its work that was heard since its report."""


@attrs.frozen(slots=True)
class _Sent:
    """When a report of this node was sent, and the cells that it claimed."""

    at_ms: int
    cells: frozenset[str]


@attrs.frozen(slots=True)
class Word:
    """What a node told of itself, and how long ago."""

    report: NodeReport
    age_ms: int


@attrs.frozen(slots=True)
class ClaimHeard:
    """When a holder was heard to claim its duty.

    :param first_ms: with this counter; ``last_ms`` at all.
    """

    epoch: int
    counter: int
    first_ms: int
    last_ms: int


class FleetView:
    """The reports and cards of the other nodes.

    :param name: of this node.
    :param cores: of this node, as its card tells it.
    """

    def __init__(self, name: str, cores: float = USUAL_CORES) -> None:
        self.name = name
        self.cores = cores
        self._heard_by_name: dict[str, _Heard] = {}
        self._newest_ms = LONG_AGO_MS
        self.card_by_name: dict[str, NodeCard] = {}
        self._epoch_by_cell: dict[str, DutyClaim] = {}
        self._claim_heard_by_cell: dict[str, ClaimHeard] = {}
        self._sent_by_sequence: OrderedDict[int, _Sent] = OrderedDict()
        self._work = WorkSum()
        self._work_within_ms = WORK_FADES_MS
        self._ended = EndedProcesses()

    def card(self, card: NodeCard) -> None:
        """Take how a node can be reached."""
        self.card_by_name[card.name] = card

    def cores_of(self, name: str) -> float:
        """Return how much processor time a node has, as far as it has told."""
        if name == self.name:
            return self.cores
        card = self.card_by_name.get(name)
        return USUAL_CORES if card is None else card.cores

    def card_gone(self, name: str) -> None:
        """Forget how a node can be reached."""
        self.card_by_name.pop(name, None)

    def heard(self, report: NodeReport, now_ms: int) -> bool:
        """Take a report; return whether it is news. An overtaken one is dropped."""
        known = self._heard_by_name.get(report.name)
        if report.name == self.name or _overtaken(known, report.boot, report.sequence):
            return False
        self._take(report, known, now_ms, now_ms)
        self._work.take(report.name, report.work_by_server, now_ms)
        return True

    def lacks(self, sign: LifeSign) -> bool:
        """Tell whether a sign of life is of a node of which nothing else is known."""
        return sign.name != self.name and self._card_of(sign) is None

    def heard_sign(self, sign: LifeSign, now_ms: int) -> NodeReport | None:
        """Take a sign of life; return what is known of its node now, or ``None`` if it is no news.

        What a node with callers has in progress is as it was told last, and fades; a node that has
        none needs no more words.
        """
        card = self._card_of(sign)
        known = self._heard_by_name.get(sign.name)
        if sign.name == self.name or card is None or _overtaken(known, sign.boot, sign.sequence):
            return None
        same = known is not None and known.report.boot == sign.boot
        report = sign.report(known.report if same else None, card)
        told_ms = known.told_ms if same and sign.active else now_ms if not sign.active else 0
        self._take(report, known, now_ms, told_ms)
        if not (same and sign.active):
            self._work.drop(sign.name)
        return report

    def heard_change(self, change: WorkChange, now_ms: int) -> None:
        """Take a change of a node's work; without its report before it says nothing."""
        known = self._heard_by_name.get(change.name)
        if known is None or known.report.boot != change.boot:
            return
        if _overtaken(known, change.boot, change.sequence):
            return
        known.change_sequence = change.sequence
        known.at_ms = self._newest_ms = now_ms
        work = self._work.change(change.name, change.work_by_server, now_ms)
        known.report = attrs.evolve(known.report, work_by_server=work)

    def _card_of(self, sign: LifeSign) -> NodeCard | None:
        known = self._heard_by_name.get(sign.name)
        if sign.card is not None:
            return sign.card
        if known is not None and known.report.boot == sign.boot:
            return known.report.card
        card = self.card_by_name.get(sign.name)
        return card if card is not None and card.boot == sign.boot else None

    def _take(self, report: NodeReport, known: _Heard | None, now_ms: int, told_ms: int) -> None:
        if known is None or not known.alive:
            log(_LOGGER, events.PeerHeard(peer=report.name, boot=report.boot))
        if known is not None and known.report.boot != report.boot:
            self._ended.add(known.report, now_ms)
        heard = _Heard(report, now_ms, told_ms=told_ms)
        if report.residency is not None:
            heard.residency, heard.residency_ms = report.residency, now_ms
        elif known is not None:
            heard.residency, heard.residency_ms = known.residency, known.residency_ms
        self._heard_by_name[report.name] = heard
        self._newest_ms = now_ms
        self.card(report.card)
        for claim in report.claims:
            self.claimed(claim)
            if claim.holder == report.name:
                self._heard_claim(claim, now_ms)

    def _heard_claim(self, claim: DutyClaim, now_ms: int) -> None:
        known = self._claim_heard_by_cell.get(claim.cell)
        told = (claim.epoch, claim.counter)
        if known is not None and told < (known.epoch, known.counter):
            return
        same = known is not None and told == (known.epoch, known.counter)
        first_ms = known.first_ms if same else now_ms
        self._claim_heard_by_cell[claim.cell] = ClaimHeard(*told, first_ms, now_ms)

    def claim_heard(self, cell: str) -> ClaimHeard | None:
        """Return when the newest holder of a cell was heard to claim it."""
        return self._claim_heard_by_cell.get(cell)

    def sent(self, sequence: int, claims: tuple[DutyClaim, ...], now_ms: int) -> None:
        """Note that a report of this node is being sent, with these claims."""
        self._sent_by_sequence[sequence] = _Sent(now_ms, frozenset(c.cell for c in claims))
        while len(self._sent_by_sequence) > MOST_SENT:
            self._sent_by_sequence.popitem(last=False)

    def heard_holders(self) -> tuple[Heard, ...]:
        """Return the newest reports of holders that this node has heard."""
        holders = {claim.holder for claim in self._epoch_by_cell.values()}
        found = [heard.report for name in holders if (heard := self._heard_by_name.get(name))]
        return tuple(Heard(report.name, report.boot, report.sequence) for report in found)

    def heard_claim_of_mine_ms(self, name: str, boot: str, cell: str) -> int | None:
        """Return when the report was sent that a node says it has heard newest of this one.

        :param boot: of this node's process.
        :param cell: ``None`` is returned where that report did not claim it: who heard no claim
            has promised nothing.
        """
        report = self.report_of(name)
        for heard in report.heard if report is not None else ():
            if (heard.name, heard.boot) == (self.name, boot):
                sent = self._sent_by_sequence.get(heard.sequence)
                return sent.at_ms if sent is not None and cell in sent.cells else None
        return None

    def claimed(self, claim: DutyClaim) -> None:
        """Take who holds a cell's duty; a lower epoch is old news."""
        known = self._epoch_by_cell.get(claim.cell)
        more_heirs = known is not None and (
            claim.epoch == known.epoch and len(claim.heirs) > len(known.heirs)
        )
        if known is None or claim.epoch > known.epoch or more_heirs:
            self._epoch_by_cell[claim.cell] = claim

    def claim_of(self, cell: str) -> DutyClaim | None:
        """Return the newest claim that is known of a cell."""
        return self._epoch_by_cell.get(cell)

    def duty_names(self) -> set[str]:
        """Return the holders of duties and their heirs."""
        claims = self._epoch_by_cell.values()
        return {name for claim in claims for name in (claim.holder, *claim.heirs)}

    def holder_names(self) -> set[str]:
        """Return the holders of duties."""
        return {claim.holder for claim in self._epoch_by_cell.values()}

    def holds_duty(self) -> bool:
        """Tell whether the newest claim that is known of some cell is this node's."""
        return any(claim.holder == self.name for claim in self._epoch_by_cell.values())

    def holder_silence_ms(self, least_ms: int) -> int:
        """Return after how long a holder of a duty counts as silent, by the size of the fleet."""
        return holder_silence_ms(self.nodes() - 1, least_ms)

    def alive(self, name: str, now_ms: int, within_ms: int | None = None) -> bool:
        """Tell whether a node was heard lately.

        :param within_ms: a shorter time than usual.
        """
        heard = self._heard_by_name.get(name)
        if heard is None:
            return False
        if within_ms is not None and now_ms - heard.at_ms > within_ms:
            return False
        alive = now_ms - heard.at_ms <= self._alive_ms(heard.report.active)
        if heard.alive and not alive:
            heard.alive = False
            age_ms = None if heard.refused else now_ms - heard.at_ms
            log(_LOGGER, events.PeerSilent(peer=name, age_ms=age_ms))
        return alive

    def refused(self, name: str) -> None:
        """Take that a node's port refuses connections: its process is gone.

        Faster than its silence: what it held can be taken over at once. Its next report shows that
        it lives.
        """
        heard = self._heard_by_name.get(name)
        if heard is not None:
            heard.at_ms = LONG_AGO_MS
            heard.refused = True
            self._work.drop(name)

    def has_refused(self, name: str) -> bool:
        """Tell whether a node's port refused connections since it was last heard."""
        heard = self._heard_by_name.get(name)
        return heard is not None and heard.refused

    def age_ms(self, name: str, now_ms: int) -> int | None:
        """Return how long ago a node was heard."""
        heard = self._heard_by_name.get(name)
        return None if heard is None else now_ms - heard.at_ms

    def heard_within(self, now_ms: int, within_ms: int) -> bool:
        """Tell whether any other node was heard lately."""
        return now_ms - self._newest_ms <= within_ms

    def reports(self, now_ms: int, within_ms: int = ALIVE_MS) -> list[NodeReport]:
        """Return the reports of nodes heard lately.

        :param within_ms: for a small fleet; in a large one it is longer.
        """
        limit_ms = max(within_ms, self._alive_ms())
        idle_limit_ms = max(within_ms, self._alive_ms(active=False))
        return [
            heard.report
            for heard in self._heard_by_name.values()
            if now_ms - heard.at_ms <= (limit_ms if heard.report.active else idle_limit_ms)
        ]

    def active_names(self) -> list[str]:
        """Return the others that have callers or a part in duties, as they told last."""
        return [name for name, heard in self._heard_by_name.items() if heard.report.active]

    def need_whole(self, names: Iterable[str]) -> list[str]:
        """Return the nodes that need this one's whole report rather than a sign of life.

        In a small fleet all do, in a large one those that choose by it.
        """
        if self.is_small():
            return list(names)
        choosing = {*self.active_names(), *self.duty_names()}
        return [name for name in names if name in choosing]

    def residency_age_ms(self, name: str, now_ms: int) -> int | None:
        """Return how long ago a holder told this node what runners hold."""
        heard = self._heard_by_name.get(name)
        return None if heard is None else now_ms - heard.residency_ms

    def report_of(self, name: str) -> NodeReport | None:
        """Return a node's last report."""
        heard = self._heard_by_name.get(name)
        return None if heard is None else heard.report

    def work_by_server(self, now_ms: int) -> Mapping[ServerLife, ServerWork]:
        """Return what the other nodes have in progress, by server.

        It is the running total itself, and changes with the next report.
        """
        within_ms = max(WORK_FADES_MS, self._alive_ms())
        if within_ms > self._work_within_ms:
            # Nodes of a fleet that has grown are told more seldom: who was too old may count again.
            self._add_up_anew()
        self._work_within_ms = within_ms
        self._work.drop_before(now_ms - within_ms)
        return self._work.by_server

    def _add_up_anew(self) -> None:
        self._work = WorkSum()
        for name, heard in sorted(self._heard_by_name.items(), key=lambda item: item[1].at_ms):
            self._work.take(name, heard.report.work_by_server, heard.at_ms)

    def work_at(self, life: ServerLife, now_ms: int) -> ServerWork:
        """Return what the other nodes have in progress at a server; it is not to be changed."""
        return self.work_by_server(now_ms).get(life) or ServerWork()

    def crowded(self, cell: str, now_ms: int) -> OverloadedRunners | None:
        """Return the runners with long queues, by the fresh word of their cell's holder."""
        claim = self._epoch_by_cell.get(cell)
        heard = self._heard_by_name.get(claim.holder) if claim is not None else None
        if heard is None or now_ms - heard.told_ms > CROWDED_FADES_MS:
            return None
        return heard.report.crowded

    def words(self, now_ms: int, within_ms: int) -> list[Word]:
        """Return what others told of themselves within a time, each with its age.

        What a node with callers tells in a sign of life only is not its whole word.
        """
        return [
            Word(heard.report, now_ms - heard.told_ms)
            for heard in self._heard_by_name.values()
            if now_ms - heard.told_ms <= within_ms
        ]

    def active_within(self, within_ms: int, now_ms: int) -> list[str]:
        """Return the others with callers that told of themselves within a time."""
        return [
            name
            for name, heard in self._heard_by_name.items()
            if heard.report.active and now_ms - heard.told_ms <= within_ms
        ]

    def word_fades_ms(self, active: bool) -> int:
        """Return how old a node's word may be so that it counts as fresh."""
        if not active:
            return self._alive_ms(active=False)
        return MISSED * active_turns(len(self.active_names())) * EVERY_MS

    def ended(self, window_ms: int, now_ms: int) -> list[NodeReport]:
        """Return the last reports of processes that ended within a window."""
        return self._ended.within(window_ms, now_ms)

    def nodes(self) -> int:
        """Return how many nodes there are, this one among them."""
        return len({self.name, *self.card_by_name, *self._heard_by_name})

    def is_small(self) -> bool:
        """Tell whether the fleet is so small that each node tells all others each time."""
        return turns(self.nodes() - 1) == 1

    def _alive_ms(self, active: bool = True) -> int:
        others = len(self._heard_by_name)
        return silence_ms(others, ALIVE_MS) if active else idle_silence_ms(others, ALIVE_MS)

    def residency(self, cell: str, now_ms: int) -> tuple[HeldAdapters, ...] | None:
        """Return what the holder of a cell last told of its runners."""
        claim = self._epoch_by_cell.get(cell)
        heard = self._heard_by_name.get(claim.holder) if claim is not None else None
        return None if heard is None else heard.residency

    def forget_silent(self, now_ms: int, after_ms: int) -> None:
        """Drop nodes that have been silent for long and have no card."""
        for name, heard in list(self._heard_by_name.items()):
            if now_ms - heard.at_ms > after_ms and name not in self.card_by_name:
                del self._heard_by_name[name]
                self._work.drop(name)


def _overtaken(known: _Heard | None, boot: str, sequence: int) -> bool:
    """Tell whether a word of a node is older than what is known of it."""
    same = known is not None and known.report.boot == boot
    return same and sequence <= max(known.report.sequence, known.change_sequence)
