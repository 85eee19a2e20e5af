"""Chooses a server of a plain service from load reports that come late."""

from __future__ import annotations

import random

import attrs


@attrs.define(slots=True)
class ServerLoad:
    """A server's load as reported, with what we sent and saw end since."""

    address: str
    reported: int = 0
    sent_since: int = 0
    ended_since: int = 0

    def expected(self) -> int:
        """Return the expected queue: last report, plus own sends since, less own ends since.

        The idea of routing by the queue expected from delayed reports and own actions is Kuri and
        Kumar's ("Optimal Control of Arrivals to Queues with Delayed Queue Length Information").
        """
        return max(0, self.reported + self.sent_since - self.ended_since)


class ServerChoice:
    """Picks the less loaded of two random servers, by expected queue."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._load_by_address: dict[str, ServerLoad] = {}

    def pick(self, addresses: list[str]) -> str | None:
        """Return a server among those that take new work."""
        if not addresses:
            return None
        pair = addresses if len(addresses) < 3 else self._rng.sample(addresses, 2)
        chosen = min(pair, key=lambda address: (self._load(address).expected(), address))
        self._load(chosen).sent_since += 1
        return chosen

    def ended(self, address: str) -> None:
        """Count the end of a call."""
        self._load(address).ended_since += 1

    def reported(self, address: str, active: int) -> None:
        """Take a server's load report."""
        load = self._load(address)
        load.reported = active
        load.sent_since = 0
        load.ended_since = 0

    def _load(self, address: str) -> ServerLoad:
        return self._load_by_address.setdefault(address, ServerLoad(address))
