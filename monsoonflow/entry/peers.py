"""Calls between entry nodes: newer configurations, snapshots and slot requests."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..fleet.view import FleetView
from ..logs import events, log
from ..routing.routes import RouteTable
from ..transport.client import Answer, ConnectionPools, call
from ..transport.const import MAX_LARGE_CALL_BYTES
from ..transport.models import Lost, Request
from ..transport.reply import Reply
from .cluster_state import ClusterState
from .store_follower import StoreFollower

_LOGGER = logging.getLogger(__name__)
CONFIGURATION_PATH: Final = "/v1/peer/configuration"
SNAPSHOT_PATH: Final = "/v1/peer/state"
SLOT_REQUEST_PATH: Final = "/v1/peer/place"
STREAM_VERSION_PATH: Final = "/v1/peer/stream-version"
FETCH_TIMEOUT_MS: Final = 1_000
"""How long a peer may take to begin its answer, and how long nothing of it may be received then."""

DEFLATE: Final = b"deflate"
ACCEPT_DEFLATE: Final = ((b"Accept-Encoding", DEFLATE),)
DEFLATE_LEVEL: Final = 1
"""Routes resemble each other: two thousand of them take 12 KB instead of 436 KB, in under a
millisecond. A node with a link of 10 Mbit/s that sends them to three peers needs a second without
compression."""

MAX_CONFIGURATION_BYTES: Final = 16 << 20
"""A configuration that decompresses to more is rejected."""

STORE_GRACE_MS: Final = 1_000
"""How long a node that reaches the store waits for a newer configuration to be received from there
before it also fetches it from a peer: on a slow link the two would delay each other."""


class PeerClient:
    """Sends calls to other entry nodes."""

    def __init__(
        self, view: FleetView, clock: Clock, decode: Callable[[bytes], RouteTable | str]
    ) -> None:
        self._view = view
        self._clock = clock
        self._pools = ConnectionPools(clock, max_idle=8)
        self._decode = decode
        self.has_snapshot = False
        self._announced_ms: int | None = None

    def call(self, address: str, path: str, body: bytes, timeout_ms: int) -> Answer | Lost:
        """Make one call to another node.

        Without a body it asks for what may be large: the answer may be compressed, and may take
        longer than the timeout while it is being received.
        """
        if body:
            return call(self._pools, address, "POST", path, body, timeout_ms)
        return call(
            self._pools,
            address,
            "GET",
            path,
            b"",
            timeout_ms,
            ACCEPT_DEFLATE,
            body_gap_ms=timeout_ms,
            max_bytes=MAX_LARGE_CALL_BYTES,
        )

    def _fetch(self, address: str, path: str) -> bytes | None:
        """Return what another node answers; ``None`` without a usable answer."""
        answer = self.call(address, path, b"", FETCH_TIMEOUT_MS)
        if isinstance(answer, Lost) or answer.head.status != 200:
            return None
        if answer.head.value(b"content-encoding") != DEFLATE:
            return answer.body
        return _inflate(answer.body)

    def fetch_newer_configuration(
        self, cluster_state: ClusterState, is_store_reachable: bool = False
    ) -> None:
        """Fetch the configuration from a peer that has a newer one.

        A node that can't reach the store would otherwise continue with the old one.

        :param is_store_reachable: whether the store answers this node.
        """
        own_version = (
            cluster_state.route_table.version if cluster_state.route_table is not None else 0
        )
        now_ms = self._clock.now_ms()
        if is_store_reachable and not self._is_overdue(own_version, now_ms):
            return
        # The peer with the most recent heartbeat comes first: a peer that has just failed still
        # counts as alive, and its answer would be waited for in vain for a second.
        heartbeats = sorted(
            self._view.heartbeats(now_ms),
            key=lambda heartbeat: self._view.heartbeat_age_ms(heartbeat.name, now_ms) or 0,
        )
        for heartbeat in heartbeats:
            record = self._view.record_by_name.get(heartbeat.name)
            if heartbeat.config_version <= own_version or record is None:
                continue
            body = self._fetch(record.peer_address, CONFIGURATION_PATH)
            if body is None:
                continue
            route_table = self._decode(body)
            if isinstance(route_table, str):
                log(_LOGGER, events.UnusablePeerConfiguration(cause=route_table))
                continue
            cluster_state.apply_route_table(route_table, body, heartbeat.name)
            return

    def _is_overdue(self, own_version: int, now_ms: int) -> bool:
        """Return whether peers have had a newer configuration for longer than the store needs."""
        newest = max(
            (heartbeat.config_version for heartbeat in self._view.heartbeats(now_ms)), default=0
        )
        if newest <= own_version:
            self._announced_ms = None
            return False
        if self._announced_ms is None:
            self._announced_ms = now_ms
        return now_ms - self._announced_ms >= STORE_GRACE_MS

    def fetch_snapshot(
        self, seeds: tuple[str, ...], own_address: str, store_follower: StoreFollower
    ) -> None:
        """Fetch and apply a peer's snapshot, for a node that starts while the store is lost.

        :param seeds: addresses to try, in this order; some may be out of date.
        """
        known_addresses = [record.peer_address for record in self._view.record_by_name.values()]
        for address in dict.fromkeys([*seeds, *known_addresses]):
            if address == own_address:
                continue
            body = self._fetch(address, SNAPSHOT_PATH)
            if body is not None and store_follower.apply_snapshot(body):
                self.has_snapshot = True
                log(_LOGGER, events.LearntFromPeer(address=address))
                return


class PeerApi:
    """Answers calls of other entry nodes.

    :param snapshot: returns all rows that this node has applied.
    :param answer_slot_request: answers a request for a slot.
    :param answer_stream_version: answers at which software version a stream began.
    :param handle_forwarded: answers a caller's request that a peer forwards; returns whether a
        request is one.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        snapshot: Callable[[], bytes],
        answer_slot_request: Callable[[Request, Reply], None],
        answer_stream_version: Callable[[Request, Reply], None],
        handle_forwarded: Callable[[Request, Reply], bool],
    ) -> None:
        self._cluster_state = cluster_state
        self._snapshot = snapshot
        self._answer_slot_request = answer_slot_request
        self._answer_stream_version = answer_stream_version
        self._handle_forwarded = handle_forwarded

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer one call."""
        if self._handle_forwarded(request, reply):
            return
        path = request.target.partition(b"?")[0].decode("latin-1")
        cluster_state = self._cluster_state
        if path == CONFIGURATION_PATH and cluster_state.route_table is not None:
            self._send_large(request, reply, cluster_state.route_table_body)
        elif path == SNAPSHOT_PATH and cluster_state.route_table is not None:
            self._send_large(request, reply, self._snapshot())
        elif path == SLOT_REQUEST_PATH:
            self._answer_slot_request(request, reply)
        elif path == STREAM_VERSION_PATH:
            self._answer_stream_version(request, reply)
        else:
            reply.send_whole(404, [])

    @staticmethod
    def _send_large(request: Request, reply: Reply, body: bytes) -> None:
        """Answer with a large body, compressed if the peer accepts that."""
        accepted = next(
            (value for name, value in request.headers if name.lower() == b"accept-encoding"), b""
        )
        if accepted == DEFLATE:
            body = zlib.compress(body, DEFLATE_LEVEL)
            reply.send_whole(200, [(b"Content-Encoding", DEFLATE)], body)
        else:
            reply.send_whole(200, [], body)


def _inflate(body: bytes) -> bytes | None:
    """Return decompressed bytes; ``None`` for invalid or too many ones."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_CONFIGURATION_BYTES)
    except zlib.error:
        return None
    return data if decompressor.eof else None
