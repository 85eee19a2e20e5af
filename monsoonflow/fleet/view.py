"""What this node knows of the others, each with its age."""

from __future__ import annotations

import logging
from typing import Final

import attrs

from ..logs import events, log
from ..routing.budget import Spent
from ..routing.in_flight import ServerWork
from .models import DutyClaim, HeldAdapters, NodeCard, NodeReport

_LOGGER = logging.getLogger(__name__)
ALIVE_MS: Final = 1_200
"""A node unheard for so long counts as down: six reports in a row were lost or never sent."""

WORK_FADES_MS: Final = 2_000
"""A silent node's work in progress is counted for so long: its requests end with it."""

SPENT_FADES_MS: Final = 12_000
"""A silent node's retries count until they have left the budget's window."""


@attrs.define(slots=True)
class _Heard:
    report: NodeReport
    at_ms: int
    alive: bool = True


class FleetView:
    """The reports and cards of the other nodes.

    :param name: of this node.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._heard_by_name: dict[str, _Heard] = {}
        self.card_by_name: dict[str, NodeCard] = {}
        self._epoch_by_cell: dict[str, DutyClaim] = {}

    def card(self, card: NodeCard) -> None:
        """Take how a node can be reached."""
        self.card_by_name[card.name] = card

    def card_gone(self, name: str) -> None:
        """Forget how a node can be reached."""
        self.card_by_name.pop(name, None)

    def heard(self, report: NodeReport, now_ms: int) -> bool:
        """Take a report; return whether it is news. An overtaken one is dropped."""
        if report.name == self._name:
            return False
        known = self._heard_by_name.get(report.name)
        if (
            known is not None
            and known.report.boot == report.boot
            and report.sequence <= known.report.sequence
        ):
            return False
        if known is None or not known.alive:
            log(_LOGGER, events.PeerHeard(peer=report.name, boot=report.boot))
        self._heard_by_name[report.name] = _Heard(report, now_ms)
        self.card(report.card)
        for claim in report.claims:
            self.claimed(claim)
        return True

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

    def alive(self, name: str, now_ms: int, within_ms: int = ALIVE_MS) -> bool:
        """Tell whether a node was heard lately."""
        heard = self._heard_by_name.get(name)
        if heard is None:
            return False
        if now_ms - heard.at_ms > within_ms and within_ms < ALIVE_MS:
            return False
        alive = now_ms - heard.at_ms <= ALIVE_MS
        if heard.alive and not alive:
            heard.alive = False
            log(_LOGGER, events.PeerSilent(peer=name, age_ms=now_ms - heard.at_ms))
        return alive

    def refused(self, name: str) -> None:
        """Take that a node's port refuses connections: its process is gone.

        Faster than its silence: what it held can be taken over at once. Its next report shows that
        it lives.
        """
        heard = self._heard_by_name.get(name)
        if heard is not None:
            heard.at_ms = -1_000_000_000

    def age_ms(self, name: str, now_ms: int) -> int | None:
        """Return how long ago a node was heard."""
        heard = self._heard_by_name.get(name)
        return None if heard is None else now_ms - heard.at_ms

    def reports(self, now_ms: int, within_ms: int = ALIVE_MS) -> list[NodeReport]:
        """Return the reports of nodes heard lately."""
        return [
            heard.report
            for heard in self._heard_by_name.values()
            if now_ms - heard.at_ms <= within_ms
        ]

    def report_of(self, name: str) -> NodeReport | None:
        """Return a node's last report."""
        heard = self._heard_by_name.get(name)
        return None if heard is None else heard.report

    def work_at(self, server_id: str, now_ms: int) -> ServerWork:
        """Return what the other nodes have in progress at a server."""
        total = ServerWork()
        for report in self.reports(now_ms, WORK_FADES_MS):
            work = report.work_by_server.get(server_id)
            if work is not None:
                total.add(work)
        return total

    def spent(self, service: str, now_ms: int) -> list[Spent]:
        """Return the others' requests and retries of a service."""
        return [
            report.spent_by_service.get(service, Spent())
            for report in self.reports(now_ms, SPENT_FADES_MS)
        ]

    def nodes(self) -> int:
        """Return how many nodes there are, this one among them."""
        return len({self._name, *self.card_by_name, *self._heard_by_name})

    def residency(self, cell: str, now_ms: int) -> tuple[HeldAdapters, ...] | None:
        """Return what the holder of a cell last told of its runners."""
        claim = self._epoch_by_cell.get(cell)
        heard = self._heard_by_name.get(claim.holder) if claim is not None else None
        return None if heard is None else heard.report.residency

    def forget_silent(self, now_ms: int, after_ms: int) -> None:
        """Drop nodes that have been silent for long and have no card."""
        for name, heard in list(self._heard_by_name.items()):
            if now_ms - heard.at_ms > after_ms and name not in self.card_by_name:
                del self._heard_by_name[name]
