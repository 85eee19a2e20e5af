"""Balances requests over the servers of a plain service by this node's own calls in progress."""

from __future__ import annotations

import random


class LeastCallsBalancer:
    """Picks the server with the fewest calls of this node in progress.

    This count has no delay. Load reports are as old as the last health check and the same on every
    node, so all nodes would send to the server that was least loaded at that time. From an age of
    about 250 ms on, that is worse than a random choice. ``docs/design/services.md`` has the
    figures, also for an estimate of the queue from reports and this node's own calls.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight_by_address: dict[str, int] = {}

    def pick(self, addresses: list[str]) -> str | None:
        """Return one of the given servers and count a call to it; ``None`` if none is given."""
        if not addresses:
            return None
        fewest = min(self._in_flight(address) for address in addresses)
        chosen = self._rng.choice(
            [address for address in addresses if self._in_flight(address) == fewest]
        )
        self._in_flight_by_address[chosen] = fewest + 1
        return chosen

    def record_end(self, address: str) -> None:
        """Count the end of a call."""
        remaining = self._in_flight(address) - 1
        if remaining > 0:
            self._in_flight_by_address[address] = remaining
        else:
            self._in_flight_by_address.pop(address, None)

    def _in_flight(self, address: str) -> int:
        return self._in_flight_by_address.get(address, 0)
