"""Calls between entry nodes: a newer configuration, and an adapter asked for."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..fleet.view import FleetView
from ..logs import events, log
from ..routing.routes import RouteTable
from ..transport.client import Answer, Pools, call
from ..transport.models import Lost, Request
from ..transport.server import Reply
from .cluster_state import ClusterState
from .store_follower import StoreFollower

_LOGGER = logging.getLogger(__name__)
CONFIGURATION_PATH: Final = "/v1/peer/configuration"
SNAPSHOT_PATH: Final = "/v1/peer/state"
SLOT_REQUEST_PATH: Final = "/v1/peer/place"
FETCH_TIMEOUT_MS: Final = 1_000


class PeerClient:
    """Asks other entry nodes."""

    def __init__(
        self, view: FleetView, clock: Clock, decode: Callable[[bytes], RouteTable | str]
    ) -> None:
        self._view = view
        self._clock = clock
        self._pools = Pools(clock, max_idle=8)
        self._decode = decode
        self.has_snapshot = False

    def call(self, address: str, path: str, body: bytes, timeout_ms: int) -> Answer | Lost:
        """Make one call to another node."""
        method = "POST" if body else "GET"
        return call(self._pools, address, method, path, body, timeout_ms)

    def fetch_newer_configuration(self, cluster_state: ClusterState) -> None:
        """Fetch the configuration from a node that has a newer one.

        A node that can't reach the store would otherwise go on with the old one.
        """
        own = cluster_state.route_table.version if cluster_state.route_table is not None else 0
        now_ms = self._clock.now_ms()
        # Who was heard last first: a node that has just fallen silent still counts as heard, and an
        # answer is waited for in vain for a second.
        reports = sorted(
            self._view.heartbeats(now_ms),
            key=lambda report: self._view.heartbeat_age_ms(report.name, now_ms) or 0,
        )
        for report in reports:
            card = self._view.record_by_name.get(report.name)
            if report.config_version <= own or card is None:
                continue
            answer = self.call(card.peer_address, CONFIGURATION_PATH, b"", FETCH_TIMEOUT_MS)
            if isinstance(answer, Lost) or answer.head.status != 200:
                continue
            table = self._decode(answer.body)
            if isinstance(table, str):
                log(_LOGGER, events.UnusablePeerConfiguration(cause=table))
                continue
            cluster_state.apply_route_table(table, answer.body, report.name)
            return

    def fetch_snapshot(
        self, seeds: tuple[str, ...], own_address: str, store_follower: StoreFollower
    ) -> None:
        """Take what another node knows: a node that starts in an outage of the store knows nothing.

        :param seeds: addresses to try, in turn; some may be out of date.
        """
        known = [card.peer_address for card in self._view.record_by_name.values()]
        for address in dict.fromkeys([*seeds, *known]):
            if address == own_address:
                continue
            answer = self.call(address, SNAPSHOT_PATH, b"", FETCH_TIMEOUT_MS)
            if isinstance(answer, Lost) or answer.head.status != 200:
                continue
            if store_follower.apply_snapshot(answer.body):
                self.has_snapshot = True
                log(_LOGGER, events.LearntFromPeer(address=address))
                return


class PeerApi:
    """Answers other entry nodes.

    :param teach: returns all rows that this node has taken.
    :param answer_placement: answers a request for a place.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        snapshot: Callable[[], bytes],
        answer_slot_request: Callable[[Request, Reply], None],
    ) -> None:
        self._cluster_state = cluster_state
        self._snapshot = snapshot
        self._answer_slot_request = answer_slot_request

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer one call."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        beliefs = self._cluster_state
        if path == CONFIGURATION_PATH and beliefs.route_table is not None:
            reply.whole(200, [], beliefs.route_table_body)
        elif path == SNAPSHOT_PATH and beliefs.route_table is not None:
            reply.whole(200, [], self._snapshot())
        elif path == SLOT_REQUEST_PATH:
            self._answer_slot_request(request, reply)
        else:
            reply.whole(404, [])
