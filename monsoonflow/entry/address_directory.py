"""Chooses the addresses that callers should use."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection
from typing import Final

from ..address.advertised_nodes import CandidateNode, advertised_nodes
from ..core.clock import Clock
from ..fleet.view import FleetView
from ..logs import events, log

_LOGGER = logging.getLogger(__name__)
MAX_ADDRESSES: Final = 64
"""More than a caller needs: it picks one at random for each connection."""

MAX_TTL_MS: Final = 2_000
"""How long an answer may be cached: a node that stops is no longer used a few seconds later."""

MIN_LOG_INTERVAL_MS: Final = 10_000
"""Shortest interval between two log lines about changed nodes, for each data centre."""


class AddressDirectory:
    """The entry nodes that accept callers now.

    :param is_own_node_ready: returns whether this node accepts callers itself.
    :param max_ttl_ms: the longest time that an answer may be cached.
    :param data_centre: of this node; used for callers that name none or an unknown one.
    :param own_lag_ms: returns how late this node typically runs tasks that are due.
    :param own_lost_services: returns the services of which this node reaches no server.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        own_address: str,
        is_own_node_ready: Callable[[], bool],
        max_ttl_ms: int,
        data_centre: str,
        own_lag_ms: Callable[[], float] = lambda: 0.0,
        own_lost_services: Callable[[], Collection[str]] = tuple,
    ) -> None:
        self._view = view
        self._clock = clock
        self._own_address = own_address
        self._is_own_node_ready = is_own_node_ready
        self._ttl_s = min(MAX_TTL_MS, max_ttl_ms) / 1000
        self._data_centre = data_centre
        self._own_lag_ms = own_lag_ms
        self._own_lost_services = own_lost_services
        self._advertised_by_data_centre: dict[str, frozenset[str]] = {}
        self._logged_ms_by_data_centre: dict[str, int] = {}

    def choose(self, data_centre: str | None = None) -> tuple[list[str], float]:
        """Return addresses and for how many seconds they may be cached.

        :param data_centre: where the caller says it is; any text is accepted.
        """
        now_ms = self._clock.now_ms()
        candidates = self._candidates(now_ms)
        known = {candidate.data_centre for candidate in candidates}
        near_data_centre = data_centre if data_centre in known else self._data_centre
        chosen_nodes = advertised_nodes(candidates, near_data_centre)
        self._log_changes(near_data_centre, chosen_nodes, len(candidates), now_ms)
        return [candidate.address for candidate in chosen_nodes[:MAX_ADDRESSES]], self._ttl_s

    def advertised_counts(self) -> dict[str, int]:
        """Return how many nodes were last advertised, by data centre."""
        return {
            data_centre: len(names)
            for data_centre, names in self._advertised_by_data_centre.items()
        }

    def _candidates(self, now_ms: int) -> list[CandidateNode]:
        """Return the nodes that accept callers, without those that reach fewer services."""
        view = self._view
        holders = view.holder_names()
        candidates = []
        if self._is_own_node_ready():
            candidates.append(
                CandidateNode(
                    view.name,
                    self._data_centre,
                    self._own_address,
                    view.cores,
                    self._own_lag_ms(),
                    view.name in holders,
                    len(self._own_lost_services()),
                )
            )
        for heartbeat in view.heartbeats(now_ms):
            record = view.record_by_name.get(heartbeat.name)
            if record is None or not heartbeat.is_ready or heartbeat.is_leaving:
                continue
            candidates.append(
                CandidateNode(
                    record.name,
                    record.data_centre,
                    record.callers_address,
                    record.cores,
                    heartbeat.lag_ms,
                    record.name in holders,
                    len(heartbeat.unreachable_services or ()),
                )
            )
        fewest_lost = min((candidate.lost_services for candidate in candidates), default=0)
        return [c for c in candidates if c.lost_services == fewest_lost]

    def _log_changes(
        self,
        near_data_centre: str,
        chosen_nodes: list[CandidateNode],
        candidate_count: int,
        now_ms: int,
    ) -> None:
        """Log a change of the advertised nodes, unless another was logged shortly before."""
        names = frozenset(candidate.name for candidate in chosen_nodes)
        previous_names = self._advertised_by_data_centre.get(near_data_centre)
        if names == previous_names:
            return
        logged_ms = self._logged_ms_by_data_centre.get(near_data_centre)
        if logged_ms is not None and now_ms - logged_ms < MIN_LOG_INTERVAL_MS:
            return
        self._logged_ms_by_data_centre[near_data_centre] = now_ms
        self._advertised_by_data_centre[near_data_centre] = names
        log(
            _LOGGER,
            events.CallersNamed(
                data_centre=near_data_centre,
                named=len(names),
                of=candidate_count,
                came=len(names - (previous_names or frozenset())),
                gone=len((previous_names or frozenset()) - names),
            ),
        )
