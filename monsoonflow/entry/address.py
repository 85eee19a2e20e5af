"""Chooses the addresses that callers should use."""

from __future__ import annotations

from ..core.clock import Clock
from ..fleet.view import FleetView

MAX_ADDRESSES = 64
"""More than a caller needs; it picks one at random for each connection."""

TTL_MS = 2_000
"""How long an answer may be kept: a node that stops is out of use a few seconds later."""


class AddressBook:
    """The entry nodes that take callers now.

    :param own_ready: tells whether this node takes callers itself.
    """

    def __init__(
        self, view: FleetView, clock: Clock, own_address: str, own_ready: object, ttl_ms: int
    ) -> None:
        self._view = view
        self._clock = clock
        self._own_address = own_address
        self._own_ready = own_ready
        self._ttl_s = min(TTL_MS, ttl_ms) / 1000

    def choose(self) -> tuple[list[str], float]:
        """Return addresses and for how many seconds they may be kept."""
        now_ms = self._clock.now_ms()
        addresses = [self._own_address] if self._own_ready() else []
        for report in self._view.reports(now_ms):
            card = self._view.card_by_name.get(report.name)
            if card is not None and report.ready and not report.leaving:
                addresses.append(card.callers_address)
        return addresses[:MAX_ADDRESSES], self._ttl_s
