"""Chooses the addresses that callers should use."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from ..address.advertised_nodes import CandidateNode, advertised_nodes
from ..core.clock import Clock
from ..fleet.view import FleetView
from ..logs import events, log

_LOGGER = logging.getLogger(__name__)
MAX_ADDRESSES: Final = 64
"""More than a caller needs; it picks one at random for each connection."""

MAX_TTL_MS: Final = 2_000
"""How long an answer may be kept: a node that stops is out of use a few seconds later."""

MIN_LOG_INTERVAL_MS: Final = 10_000
"""A change of the named nodes is logged so often at most, for each data centre."""


class AddressDirectory:
    """The entry nodes that take callers now.

    :param own_ready: tells whether this node takes callers itself.
    :param ttl_ms: the longest time that an answer may be kept.
    :param data_centre: of this node; taken for callers that name none that is known.
    :param own_lag_ms: returns how late this node usually runs what is due.
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
    ) -> None:
        self._view = view
        self._clock = clock
        self._own_address = own_address
        self._is_own_node_ready = is_own_node_ready
        self._ttl_s = min(MAX_TTL_MS, max_ttl_ms) / 1000
        self._data_centre = data_centre
        self._own_lag_ms = own_lag_ms
        self._advertised_by_data_centre: dict[str, frozenset[str]] = {}
        self._logged_ms_by_data_centre: dict[str, int] = {}

    def choose(self, data_centre: str | None = None) -> tuple[list[str], float]:
        """Return addresses and for how many seconds they may be kept.

        :param data_centre: where the caller says it is; anything is taken.
        """
        now_ms = self._clock.now_ms()
        candidates = self._candidates(now_ms)
        known = {candidate.data_centre for candidate in candidates}
        near = data_centre if data_centre in known else self._data_centre
        found = advertised_nodes(candidates, near)
        self._log_changes(near, found, len(candidates), now_ms)
        return [candidate.address for candidate in found[:MAX_ADDRESSES]], self._ttl_s

    def advertised_counts(self) -> dict[str, int]:
        """Return how many nodes were last named, by data centre."""
        return {where: len(names) for where, names in self._advertised_by_data_centre.items()}

    def _candidates(self, now_ms: int) -> list[CandidateNode]:
        view = self._view
        holders = view.holder_names()
        found = []
        if self._is_own_node_ready():
            found.append(
                CandidateNode(
                    view.name,
                    self._data_centre,
                    self._own_address,
                    view.cores,
                    self._own_lag_ms(),
                    view.name in holders,
                )
            )
        for report in view.heartbeats(now_ms):
            card = view.record_by_name.get(report.name)
            if card is None or not report.is_ready or report.is_leaving:
                continue
            found.append(
                CandidateNode(
                    card.name,
                    card.data_centre,
                    card.callers_address,
                    card.cores,
                    report.lag_ms,
                    card.name in holders,
                )
            )
        return found

    def _log_changes(self, near: str, found: list[CandidateNode], of: int, now_ms: int) -> None:
        """Log that other nodes are named than before, at times."""
        names = frozenset(candidate.name for candidate in found)
        before = self._advertised_by_data_centre.get(near)
        if names == before:
            return
        logged_ms = self._logged_ms_by_data_centre.get(near)
        if logged_ms is not None and now_ms - logged_ms < MIN_LOG_INTERVAL_MS:
            return
        self._logged_ms_by_data_centre[near] = now_ms
        self._advertised_by_data_centre[near] = names
        log(
            _LOGGER,
            events.CallersNamed(
                data_centre=near,
                named=len(names),
                of=of,
                came=len(names - (before or frozenset())),
                gone=len((before or frozenset()) - names),
            ),
        )
