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
from .heartbeat_rounds import HEARTBEAT_INTERVAL_MS, PEERS_PER_ROUND, HeartbeatRounds
from .models import Heartbeat, ShortHeartbeat, WorkDelta
from .view import FleetView

_LOGGER = logging.getLogger(__name__)
BATCH_DELAY_MS: Final = 15
"""How long news for a holder waits for more of it."""

ROUNDS_PER_RESIDENCY: Final = 5
"""In a large fleet a holder tells what its runners hold in each of so many rounds only, once a
second: for 45 runners that is most of its report. Who does not know asks the holder."""

STARTUP_FULL_RATE_MS: Final = 6_000
"""So long after its start a node without callers speaks as often as one with callers: nobody knows
yet who there is, and duties are claimed by who is heard."""

STARTUP_RECORD_MS: Final = 60_000
"""So long after its start a node's signs of life tell how it is reached: nobody knows it yet."""

REQUEST_INTERVAL_MS: Final = 1_000
"""How often a node that is known by signs of life only is asked for its report, and how often one
that asks is answered."""

MAX_RATE_LIMITED_ADDRESSES: Final = 64
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
        heartbeat: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        tasks: Tasks,
        clock: Clock,
        work_delta: Callable[[], WorkDelta],
    ) -> None:
        self._work_delta = work_delta
        self._view = view
        self._heartbeat = heartbeat
        self._on_heartbeat = on_heartbeat
        self._tasks = tasks
        self._clock = clock
        self._address = address
        self._rounds = HeartbeatRounds(view.name)
        self._rounds_since_residency = 0
        self._socket = socket.socket(native.AF_INET, native.SOCK_DGRAM)
        self._pending_delta_names: set[str] = set()
        self._is_delta_scheduled = False
        self._is_broadcast_scheduled = False
        self.sent_bytes = 0
        self._closed = False
        self._unreadable_senders: set[str] = set()
        self._started_ms = clock.now_ms()
        self._requested_ms_by_address: dict[str, int] = {}
        self._answered_ms_by_address: dict[str, int] = {}

    def start(self) -> None:
        """Begin to send and to receive."""
        self._socket.bind(split_address(self._address))
        self._tasks.spawn(self._receive_loop)
        self._tasks.spawn(self._send_loop)

    def close(self) -> None:
        """Send and receive no more."""
        self._closed = True
        self._socket.close()

    def send_round(self) -> None:
        """Tell the others at once, as many as in any round."""
        report = self._heartbeat()
        others = self._peer_addresses()
        view = self._view
        eager = self._clock.now_ms() - self._started_ms < STARTUP_FULL_RATE_MS
        told = self._rounds.next_peers(
            others,
            view.holder_and_standby_names(),
            view.holds_cell_lease(),
            self._active_peer_names(others) if report.is_active else (),
            not report.is_active and not eager,
        )
        # Servers that come and leave must be known to everybody: a node without callers that had
        # missed one answered its first with "no server takes work".
        news = report.departed_servers or report.added_servers
        whole = told if news else view.full_heartbeat_recipients(told)
        self._send_heartbeat(report, [others[name] for name in whole])
        signs = set(told).difference(whole)
        if signs:
            self._send_short_heartbeat(report, [others[name] for name in told if name in signs])

    def schedule_broadcast(self) -> None:
        """Tell all others within a moment what none of them may learn too late.

        What comes meanwhile goes with it: 22 servers that crash are read in one answer, and a
        report to 88 nodes for each would take a slow link of 10 Mbit/s for two seconds.
        """
        if not self._is_broadcast_scheduled:
            self._is_broadcast_scheduled = True
            self._tasks.spawn(self._broadcast)

    def _broadcast(self) -> None:
        self._tasks.sleep(BATCH_DELAY_MS)
        self._is_broadcast_scheduled = False
        self._send_heartbeat(self._heartbeat(), list(self._peer_addresses().values()))

    def _active_peer_names(self, addresses: dict[str, str]) -> list[str]:
        """Return the others that choose by this node's work."""
        return [name for name in self._view.active_peer_names() if name in addresses]

    def _send_short_heartbeat(self, heartbeat: Heartbeat, addresses: list[str]) -> None:
        young = self._clock.now_ms() - self._started_ms < STARTUP_RECORD_MS
        self._send_data(
            codec.encode_short_heartbeat(ShortHeartbeat.from_heartbeat(heartbeat, young)), addresses
        )

    def _send_heartbeat(self, heartbeat: Heartbeat, addresses: list[str]) -> None:
        if not addresses:
            return
        if heartbeat.residency and len(self._peer_addresses()) > PEERS_PER_ROUND:
            self._rounds_since_residency = (self._rounds_since_residency + 1) % ROUNDS_PER_RESIDENCY
            if self._rounds_since_residency:
                heartbeat = attrs.evolve(heartbeat, residency=None)
        data = codec.encode_heartbeat(heartbeat)
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

    def schedule_work_delta(self, names: list[str]) -> None:
        """Tell some nodes within a moment what changes of this node's work.

        What comes meanwhile goes with it. A whole report each time was most of what a holder reads.
        """
        self._pending_delta_names.update(names)
        if not self._is_delta_scheduled:
            self._is_delta_scheduled = True
            self._tasks.spawn(self._send_work_delta)

    def _send_work_delta(self) -> None:
        self._tasks.sleep(BATCH_DELAY_MS)
        self._is_delta_scheduled = False
        names, self._pending_delta_names = self._pending_delta_names, set()
        cards = [self._view.record_by_name.get(name) for name in names]
        addresses = [card.report_address for card in cards if card is not None]
        self._send_data(codec.encode_work_delta(self._work_delta()), addresses)

    def _peer_addresses(self) -> dict[str, str]:
        """Return where the other nodes take reports, by name."""
        return {
            name: card.report_address
            for name, card in self._view.record_by_name.items()
            if card.report_address != self._address
        }

    def _send_loop(self) -> None:
        while not self._closed:
            self.send_round()
            self._tasks.sleep(HEARTBEAT_INTERVAL_MS)

    def _receive_loop(self) -> None:
        # A closed socket fails at once each time: the loop would never give way again.
        while not self._closed:
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log(_LOGGER, events.ReportUnread(cause=error))
                continue
            if data == codec.HEARTBEAT_REQUEST:
                self._answer_request(f"{host}:{port}")
            else:
                self._handle(codec.decode(data), host, port, len(data))

    def _handle(
        self,
        message: Heartbeat | ShortHeartbeat | WorkDelta | None,
        host: str,
        port: int,
        size_bytes: int,
    ) -> None:
        now_ms = self._clock.now_ms()
        match message:
            case None:
                if host not in self._unreadable_senders:
                    self._unreadable_senders.add(host)
                    log(_LOGGER, events.UnreadableDatagram(sender=host, bytes=size_bytes))
            case ShortHeartbeat():
                if self._view.needs_full_heartbeat(message):
                    self._request_heartbeat(f"{host}:{port}", now_ms)
                report = self._view.receive_short(message, now_ms)
                if report is not None:
                    self._on_heartbeat(report)
            case WorkDelta():
                self._view.receive_work_delta(message, now_ms)
            case Heartbeat():
                if self._view.receive(message, now_ms):
                    self._on_heartbeat(message)

    def _request_heartbeat(self, address: str, now_ms: int) -> None:
        """Ask a node of which only a sign of life is known for its whole report."""
        if _passes_rate_limit(self._requested_ms_by_address, address, now_ms):
            self._send_data(codec.HEARTBEAT_REQUEST, [address])

    def _answer_request(self, address: str) -> None:
        """Tell all to a node that asks, if it is one of the fleet or may be about to be."""
        if _passes_rate_limit(self._answered_ms_by_address, address, self._clock.now_ms()):
            self._send_heartbeat(self._heartbeat(), [address])


def _passes_rate_limit(at_ms_by_address: dict[str, int], address: str, now_ms: int) -> bool:
    """Tell whether an address may be sent to again, and note that it is."""
    for known, at_ms in list(at_ms_by_address.items()):
        if now_ms - at_ms >= REQUEST_INTERVAL_MS:
            del at_ms_by_address[known]
    if address in at_ms_by_address or len(at_ms_by_address) >= MAX_RATE_LIMITED_ADDRESSES:
        return False
    at_ms_by_address[address] = now_ms
    return True
