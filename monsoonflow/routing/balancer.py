"""Chooses a server of a plain service by what this node itself has in flight there."""

from __future__ import annotations

import random


class LeastCallsBalancer:
    """Picks the server with the fewest calls of this node in progress.

    That number is known without delay. Load reports are as old as the last health check, and every
    node has the same ones: following them, all nodes send to whichever server was least loaded
    then, and from about 250 ms of age on that is worse than choosing at random. The figures, also
    for the queue expected from reports and own actions, are in ``docs/design/services.md``.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight_by_address: dict[str, int] = {}

    def pick(self, addresses: list[str]) -> str | None:
        """Return a server among those that take new work, and count the call."""
        if not addresses:
            return None
        least = min(self._in_flight(address) for address in addresses)
        chosen = self._rng.choice(
            [address for address in addresses if self._in_flight(address) == least]
        )
        self._in_flight_by_address[chosen] = least + 1
        return chosen

    def record_end(self, address: str) -> None:
        """Count the end of a call."""
        left = self._in_flight(address) - 1
        if left > 0:
            self._in_flight_by_address[address] = left
        else:
            self._in_flight_by_address.pop(address, None)

    def _in_flight(self, address: str) -> int:
        return self._in_flight_by_address.get(address, 0)
