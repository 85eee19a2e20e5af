"""Selects peers that handle requests whose servers this node can't reach.

A peer decides and sends as if the caller had come to it, and this node carries the answer. A
forwarded request is never forwarded again: two nodes without a path can't pass it back and forth.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection
from typing import Final, Protocol

import attrs

from ..address.advertised_nodes import SLOW_LAG_MS
from ..core.clock import Clock
from ..fleet.models import Heartbeat, NodeRecord
from ..fleet.view import FleetView

MAX_HEARTBEAT_AGE_MS: Final = 700
"""A peer is preferred while at most three of its heartbeats are missing."""


class LostPaths(Protocol):
    """Knows the services that this node does not reach."""

    def is_lost(self, service: str) -> bool:
        """Return whether no server of a service could be reached at the last check."""


@attrs.define(slots=True)
class PeerForwarder:
    """Selects peers for requests that this node can't send to a server itself."""

    view: FleetView
    paths: LostPaths
    clock: Clock
    rng: random.Random
    data_centre: str
    _in_progress: Counter[str] = attrs.Factory(Counter)

    def is_path_lost(self, service: str) -> bool:
        """Return whether this node reaches no server of a service."""
        return self.paths.is_lost(service)

    def is_partitioned(self, service: str) -> bool:
        """Return whether a peer reaches a service that this node does not reach."""
        return self.paths.is_lost(service) and bool(self._peers_reaching(service))

    def has_peer(self, service: str) -> bool:
        """Return whether a peer reaches a service."""
        return bool(self._peers_reaching(service))

    def choose(
        self, service: str, config_version: int, tried: Collection[str]
    ) -> NodeRecord | None:
        """Return the peer that gets the next request for a service.

        :param config_version: of the configuration by which the request was routed.
        :param tried: names of peers that have not answered.
        """
        now_ms = self.clock.now_ms()
        candidates = [h for h in self._peers_reaching(service) if h.name not in tried]
        current = [h for h in candidates if h.config_version >= config_version]
        return min(
            (heartbeat.record for heartbeat in current or candidates),
            key=lambda record: self._preference(record, now_ms),
            default=None,
        )

    def begin(self, peer: str) -> None:
        """Count a request that is forwarded to a peer."""
        self._in_progress[peer] += 1

    def end(self, peer: str) -> None:
        """Count the end of a forwarded request."""
        self._in_progress[peer] -= 1

    def _peers_reaching(self, service: str) -> list[Heartbeat]:
        return [
            heartbeat
            for heartbeat in self.view.heartbeats(self.clock.now_ms())
            if heartbeat.is_ready and not heartbeat.is_leaving
            # A node of an earlier release announces nothing and takes no forwarded requests.
            and heartbeat.unreachable_services is not None and heartbeat.reaches(service)
        ]

    def _preference(self, record: NodeRecord, now_ms: int) -> tuple[bool, bool, int, bool, float]:
        heartbeat = self.view.heartbeat_of(record.name)
        return (
            (self.view.heartbeat_age_ms(record.name, now_ms) or 0) > MAX_HEARTBEAT_AGE_MS
            and self.view.is_small(),
            heartbeat is not None and heartbeat.lag_ms >= SLOW_LAG_MS,
            self._in_progress[record.name],
            record.data_centre != self.data_centre,
            self.rng.random(),
        )
