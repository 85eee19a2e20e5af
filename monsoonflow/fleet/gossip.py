"""Exchanges heartbeats between nodes, in single datagrams.

Only the newest heartbeat of a node matters, so datagrams are sufficient: they need no connection
that could become unresponsive and no answer, and the next one replaces one that was lost.
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
from .models import BegunStreams, Heartbeat, ShortHeartbeat, UsageDelta, WorkDelta
from .view import FleetView

_LOGGER = logging.getLogger(__name__)
BATCH_DELAY_MS: Final = 15
"""How long a message with changes is delayed, so that further changes are sent with it."""

ROUNDS_PER_RESIDENCY: Final = 5
"""In a large fleet a lease holder includes the residency of its runners in one of this many rounds,
once a second: for 45 runners it is most of the heartbeat. A node that does not know it asks the
holder."""

STARTUP_FULL_RATE_MS: Final = 6_000
"""For this long after its start, a node without callers sends as often as one with callers: its
peers do not know it yet, and who may claim a cell lease depends on whose heartbeats arrive."""

STARTUP_RECORD_MS: Final = 60_000
"""For this long after its start, a node's short heartbeats include its record, since peers do not
know it yet."""

REQUEST_INTERVAL_MS: Final = 1_000
"""How often a full heartbeat is requested from one address, and how often one is sent to an address
that requests it."""

MAX_RATE_LIMITED_ADDRESSES: Final = 64
"""How many addresses are sent requests, or answers, within that interval."""

MAX_DATAGRAM_BYTES: Final = 60_000


class Gossip:
    """Exchanges heartbeats with the peers.

    :param address: where this node receives datagrams.
    :param heartbeat: returns this node's current heartbeat.
    :param on_heartbeat: called with each received heartbeat that is newer than the last one.
    :param work_delta: returns the changes of this node's work since its last call.
    :param on_usage_delta: called with each usage delta of a peer's current process.
    :param on_begun_streams: called with the software versions of streams that peers began.
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
        on_usage_delta: Callable[[UsageDelta], None] = lambda _delta: None,
        on_begun_streams: Callable[[BegunStreams], None] = lambda _begun: None,
    ) -> None:
        self._work_delta = work_delta
        self._on_usage_delta = on_usage_delta
        self._on_begun_streams = on_begun_streams
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
        """Start to send and to receive."""
        self._socket.bind(split_address(self._address))
        self._tasks.spawn(self._receive_loop)
        self._tasks.spawn(self._send_loop)

    def close(self) -> None:
        """Stop sending and receiving."""
        self._closed = True
        self._socket.close()

    def send_round(self) -> None:
        """Send a heartbeat now to the peers of the next round."""
        heartbeat = self._heartbeat()
        addresses = self._peer_addresses()
        view = self._view
        is_starting = self._clock.now_ms() - self._started_ms < STARTUP_FULL_RATE_MS
        recipients = self._rounds.next_peers(
            addresses,
            view.holder_and_standby_names(),
            view.holds_cell_lease(),
            self._active_peer_names(addresses) if heartbeat.is_active else (),
            not heartbeat.is_active and not is_starting,
        )
        full = recipients
        if not _concerns_idle_peers(heartbeat):
            full = view.full_heartbeat_recipients(recipients)
        self._send_full_heartbeat(heartbeat, {name: addresses[name] for name in full})
        short = set(recipients).difference(full)
        if short:
            self._send_short_heartbeat(
                heartbeat, [addresses[name] for name in recipients if name in short]
            )

    def _send_full_heartbeat(self, heartbeat: Heartbeat, addresses: dict[str, str]) -> None:
        """Send a full heartbeat; in a large fleet only lease holders and standbys need all of it.

        The usage of 64 customers is 0.5 kB. With up to twenty peers in each round it would be most
        of what a node sends.

        :param addresses: of the recipients, by name.
        """
        if self._view.is_small() or not heartbeat.runner_ms_by_customer:
            self._send_heartbeat(heartbeat, list(addresses.values()))
            return
        deciding = self._view.holder_and_standby_names().intersection(addresses)
        self._send_heartbeat(heartbeat, [addresses[name] for name in deciding])
        self._send_heartbeat(
            attrs.evolve(heartbeat, runner_ms_by_customer=None),
            [address for name, address in addresses.items() if name not in deciding],
        )

    def schedule_broadcast(self) -> None:
        """Schedule a heartbeat to all peers, for changes that each must learn of without delay.

        Changes during the short delay are sent with it. 22 servers that crash are read in one
        answer of the store; a heartbeat to 88 nodes for each of them would occupy a link of
        10 Mbit/s for two seconds.
        """
        if not self._is_broadcast_scheduled:
            self._is_broadcast_scheduled = True
            self._tasks.spawn(self._broadcast)

    def _broadcast(self) -> None:
        self._tasks.sleep(BATCH_DELAY_MS)
        self._is_broadcast_scheduled = False
        self._send_heartbeat(self._heartbeat(), list(self._peer_addresses().values()))

    def _active_peer_names(self, addresses: dict[str, str]) -> list[str]:
        """Return the peers that choose servers by this node's work."""
        return [name for name in self._view.active_peer_names() if name in addresses]

    def _send_short_heartbeat(self, heartbeat: Heartbeat, addresses: list[str]) -> None:
        with_record = self._clock.now_ms() - self._started_ms < STARTUP_RECORD_MS
        self._send_data(
            codec.encode_short_heartbeat(ShortHeartbeat.from_heartbeat(heartbeat, with_record)),
            addresses,
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
        """Schedule a work delta to some peers, after a short delay that collects more changes.

        A full heartbeat for each change would be most of what a lease holder receives.
        """
        self._pending_delta_names.update(names)
        if not self._is_delta_scheduled:
            self._is_delta_scheduled = True
            self._tasks.spawn(self._send_work_delta)

    def _send_work_delta(self) -> None:
        self._tasks.sleep(BATCH_DELAY_MS)
        self._is_delta_scheduled = False
        names, self._pending_delta_names = self._pending_delta_names, set()
        records = [self._view.record_by_name.get(name) for name in names]
        addresses = [record.report_address for record in records if record is not None]
        self._send_data(codec.encode_work_delta(self._work_delta()), addresses)

    def send_usage_delta(self, delta: UsageDelta) -> None:
        """Send a usage delta to the peers with callers, and to all peers if it has a limit.

        Each idle peer would use a limit that it does not know with its first request.
        """
        addresses = self._peer_addresses()
        names = addresses if delta.limit_by_server else self._active_peer_names(addresses)
        self._send_data(codec.encode_usage_delta(delta), [addresses[name] for name in names])

    def send_begun_streams(self, begun: BegunStreams, address: str) -> None:
        """Send to one peer which software versions began streams."""
        self._send_data(codec.encode_begun_streams(begun), [address])

    def _peer_addresses(self) -> dict[str, str]:
        """Return where the peers receive heartbeats, by name."""
        return {
            name: record.report_address
            for name, record in self._view.record_by_name.items()
            if record.report_address != self._address
        }

    def _send_loop(self) -> None:
        while not self._closed:
            self.send_round()
            self._tasks.sleep(HEARTBEAT_INTERVAL_MS)

    def _receive_loop(self) -> None:
        # Reading a closed socket fails immediately: the loop would never yield to other tasks.
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
        message: Heartbeat | ShortHeartbeat | WorkDelta | UsageDelta | BegunStreams | None,
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
                heartbeat = self._view.receive_short(message, now_ms)
                if heartbeat is not None:
                    self._on_heartbeat(heartbeat)
            case WorkDelta():
                self._view.receive_work_delta(message, now_ms)
            case UsageDelta():
                if self._view.receive_usage_delta(message, now_ms):
                    self._on_usage_delta(message)
            case BegunStreams():
                # Also of a process that has ended: its streams are taken up again at other nodes.
                self._on_begun_streams(message)
            case Heartbeat():
                if self._view.receive(message, now_ms):
                    self._on_heartbeat(message)

    def _request_heartbeat(self, address: str, now_ms: int) -> None:
        """Request a full heartbeat from a node of which only a short one was received."""
        if _passes_rate_limit(self._requested_ms_by_address, address, now_ms):
            self._send_data(codec.HEARTBEAT_REQUEST, [address])

    def _answer_request(self, address: str) -> None:
        """Send a full heartbeat to a node that requests one; it may have joined only now."""
        if _passes_rate_limit(self._answered_ms_by_address, address, self._clock.now_ms()):
            self._send_heartbeat(self._heartbeat(), [address])


def _concerns_idle_peers(heartbeat: Heartbeat) -> bool:
    """Return whether peers without callers need the full heartbeat too.

    Every node must know of added and departed servers. A node without callers that had missed an
    added one would answer its first caller with "no server takes work". One that had missed the
    announcement of a limit would exceed it.
    """
    limits = heartbeat.limit_by_server.values()
    return bool(
        heartbeat.departed_servers
        or heartbeat.added_servers
        or any(limit.rate_per_s is not None for limit in limits)
    )


def _passes_rate_limit(sent_ms_by_address: dict[str, int], address: str, now_ms: int) -> bool:
    """Return whether a message may be sent to an address now, and if so record that it is."""
    for known, sent_ms in list(sent_ms_by_address.items()):
        if now_ms - sent_ms >= REQUEST_INTERVAL_MS:
            del sent_ms_by_address[known]
    if address in sent_ms_by_address or len(sent_ms_by_address) >= MAX_RATE_LIMITED_ADDRESSES:
        return False
    sent_ms_by_address[address] = now_ms
    return True
