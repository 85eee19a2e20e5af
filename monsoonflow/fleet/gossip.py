"""Sends this node's report or a sign of life to the others and takes theirs, in single datagrams.

A datagram has no connection that could go silent, needs no answer, and a lost one is replaced by
the next: for reports of which only the newest counts, that is all that is needed.
"""

from __future__ import annotations

import logging
import socket as native
from collections.abc import Callable
from typing import Final

import attrs
from gevent import socket

from ..core.clock import Clock
from ..core.tasks import Tasks
from ..logs import events, log
from ..transport.sockets import split_address
from . import codec
from .models import LifeSign, NodeReport, WorkChange
from .rounds import EVERY_MS, PEERS_A_ROUND, Rounds
from .view import FleetView

_LOGGER = logging.getLogger(__name__)
SOON_MS: Final = 15
"""How long news for a holder waits for more of it."""

RESIDENCY_ROUNDS: Final = 5
"""In a large fleet a holder tells what its runners hold in each of so many rounds only, once a
second: for 45 runners that is most of its report. Who does not know asks the holder."""

EAGER_MS: Final = 6_000
"""So long after its start a node without callers speaks as often as one with callers: nobody knows
yet who there is, and duties are claimed by who is heard."""

YOUNG_MS: Final = 60_000
"""So long after its start a node's signs of life tell how it is reached: nobody knows it yet."""

ASK_EVERY_MS: Final = 1_000
"""How often a node that is known by signs of life only is asked for its report, and how often one
that asks is answered."""

MOST_ASKED: Final = 64
"""Addresses that are asked, or answered, in that time."""

MAX_DATAGRAM_BYTES: Final = 60_000


class Gossip:
    """Exchanges reports with the other nodes.

    :param report: returns this node's report as of now.
    :param on_report: takes each report that is news.
    :param change: returns what has changed of this node's work since it was last asked.
    """

    def __init__(
        self,
        address: str,
        view: FleetView,
        report: Callable[[], NodeReport],
        on_report: Callable[[NodeReport], None],
        tasks: Tasks,
        clock: Clock,
        change: Callable[[], WorkChange],
    ) -> None:
        self._change = change
        self._view = view
        self._report = report
        self._on_report = on_report
        self._tasks = tasks
        self._clock = clock
        self._address = address
        self._rounds = Rounds(view.name)
        self._rounds_until_residency = 0
        self._socket = socket.socket(native.AF_INET, native.SOCK_DGRAM)
        self._soon: set[str] = set()
        self._telling = False
        self._telling_all = False
        self.sent_bytes = 0
        self._closed = False
        self._unreadable_from: set[str] = set()
        self._started_ms = clock.now_ms()
        self._asked_ms_by_address: dict[str, int] = {}
        self._answered_ms_by_address: dict[str, int] = {}

    def start(self) -> None:
        """Begin to send and to receive."""
        self._socket.bind(split_address(self._address))
        self._tasks.spawn(self._receive)
        self._tasks.spawn(self._send_for_good)

    def close(self) -> None:
        """Send and receive no more."""
        self._closed = True
        self._socket.close()

    def send_now(self) -> None:
        """Tell the others at once, as many as in any round."""
        report = self._report()
        others = self._others()
        view = self._view
        eager = self._clock.now_ms() - self._started_ms < EAGER_MS
        told = self._rounds.next(
            others,
            view.duty_names(),
            view.holds_duty(),
            self._choosing(others) if report.active else (),
            not report.active and not eager,
        )
        # Servers that come and leave must be known to everybody: a node without callers that had
        # missed one answered its first with "no server takes work".
        news = report.left_servers or report.came_servers
        whole = told if news else view.need_whole(told)
        self._send(report, [others[name] for name in whole])
        signs = set(told).difference(whole)
        if signs:
            self._send_sign(report, [others[name] for name in told if name in signs])

    def send_to_all(self) -> None:
        """Tell all others within a moment what none of them may learn too late.

        What comes meanwhile goes with it: 22 servers that crash are read in one answer, and a
        report to 88 nodes for each would take a slow link of 10 Mbit/s for two seconds.
        """
        if not self._telling_all:
            self._telling_all = True
            self._tasks.spawn(self._tell_all)

    def _tell_all(self) -> None:
        self._tasks.sleep(SOON_MS)
        self._telling_all = False
        self._send(self._report(), list(self._others().values()))

    def _choosing(self, others: dict[str, str]) -> list[str]:
        """Return the others that choose by this node's work."""
        return [name for name in self._view.active_names() if name in others]

    def _send_sign(self, report: NodeReport, addresses: list[str]) -> None:
        young = self._clock.now_ms() - self._started_ms < YOUNG_MS
        self._send_data(codec.encode_sign(LifeSign.of(report, young)), addresses)

    def _send(self, report: NodeReport, addresses: list[str]) -> None:
        if not addresses:
            return
        if report.residency and len(self._others()) > PEERS_A_ROUND:
            self._rounds_until_residency = (self._rounds_until_residency + 1) % RESIDENCY_ROUNDS
            if self._rounds_until_residency:
                report = attrs.evolve(report, residency=None)
        data = codec.encode(report)
        if len(data) > MAX_DATAGRAM_BYTES:
            log(_LOGGER, events.ReportTooLarge(bytes=len(data)))
            return
        self._send_data(data, addresses)

    def _send_data(self, data: bytes, addresses: list[str]) -> None:
        for address in addresses:
            try:
                self._socket.sendto(data, split_address(address))
                self.sent_bytes += len(data)
            except OSError as error:
                log(_LOGGER, events.ReportUnsent(to=address, cause=error))

    def tell_soon(self, names: list[str]) -> None:
        """Tell some nodes within a moment what changes of this node's work.

        What comes meanwhile goes with it. A whole report each time was most of what a holder reads.
        """
        self._soon.update(names)
        if not self._telling:
            self._telling = True
            self._tasks.spawn(self._tell)

    def _tell(self) -> None:
        self._tasks.sleep(SOON_MS)
        self._telling = False
        names, self._soon = self._soon, set()
        cards = [self._view.card_by_name.get(name) for name in names]
        addresses = [card.report_address for card in cards if card is not None]
        self._send_data(codec.encode_change(self._change()), addresses)

    def _others(self) -> dict[str, str]:
        """Return where the other nodes take reports, by name."""
        return {
            name: card.report_address
            for name, card in self._view.card_by_name.items()
            if card.report_address != self._address
        }

    def _send_for_good(self) -> None:
        while not self._closed:
            self.send_now()
            self._tasks.sleep(EVERY_MS)

    def _receive(self) -> None:
        # A closed socket fails at once each time: the loop would never give way again.
        while not self._closed:
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log(_LOGGER, events.ReportUnread(cause=error))
                continue
            if data == codec.ASK:
                self._answer(f"{host}:{port}")
            else:
                self._take(codec.decode(data), host, port, len(data))

    def _take(
        self, told: NodeReport | LifeSign | WorkChange | None, host: str, port: int, size: int
    ) -> None:
        now_ms = self._clock.now_ms()
        match told:
            case None:
                if host not in self._unreadable_from:
                    self._unreadable_from.add(host)
                    log(_LOGGER, events.UnreadableDatagram(sender=host, bytes=size))
            case LifeSign():
                if self._view.lacks(told):
                    self._ask(f"{host}:{port}", now_ms)
                report = self._view.heard_sign(told, now_ms)
                if report is not None:
                    self._on_report(report)
            case WorkChange():
                self._view.heard_change(told, now_ms)
            case NodeReport():
                if self._view.heard(told, now_ms):
                    self._on_report(told)

    def _ask(self, address: str, now_ms: int) -> None:
        """Ask a node of which only a sign of life is known for its whole report."""
        if _due(self._asked_ms_by_address, address, now_ms):
            self._send_data(codec.ASK, [address])

    def _answer(self, address: str) -> None:
        """Tell all to a node that asks, if it is one of the fleet or may be about to be."""
        if _due(self._answered_ms_by_address, address, self._clock.now_ms()):
            self._send(self._report(), [address])


def _due(at_ms_by_address: dict[str, int], address: str, now_ms: int) -> bool:
    """Tell whether an address may be sent to again, and note that it is."""
    for known, at_ms in list(at_ms_by_address.items()):
        if now_ms - at_ms >= ASK_EVERY_MS:
            del at_ms_by_address[known]
    if address in at_ms_by_address or len(at_ms_by_address) >= MOST_ASKED:
        return False
    at_ms_by_address[address] = now_ms
    return True
