"""Compares ways to choose a plain server from late load reports, seven nodes deciding at once."""

from __future__ import annotations

import heapq
import random
import statistics
import sys
from collections import deque
from collections.abc import Callable

import attrs

from monsoonflow.routing.balancer import LeastCallsBalancer

NODES = 7
SERVERS = 3
SERVICE_MS = 20.0
LOAD = 0.8
SECONDS = 300
LAGS_MS = (50, 100, 250, 500, 1_000, 2_000)


@attrs.define
class ServerLoad:
    """A server's load as a node sees it.

    :param reported: the queue at the last report.
    :param in_flight: the node's own calls there.
    """

    address: str
    reported: int = 0
    sent_since: int = 0
    ended_since: int = 0
    in_flight: int = 0

    def expected(self) -> int:
        """Return the queue expected from the last report and own actions since.

        After Kuri and Kumar, "Optimal Control of Arrivals to Queues with Delayed Queue Length
        Information": join the shortest expected queue, optimal there for a delay of one step.
        """
        return max(0, self.reported + self.sent_since - self.ended_since)


class World:
    """Servers with one queue each, and nodes that see them late."""

    def __init__(self, lag_ms: int, choose: Callable[..., int], seed: int = 3) -> None:
        self.rng = random.Random(seed)
        self.lag_ms, self.choose = lag_ms, choose
        self.queues: list[deque[tuple[float, int]]] = [deque() for _ in range(SERVERS)]
        self.loads = [[ServerLoad(str(n)) for n in range(SERVERS)] for _ in range(NODES)]
        self.waits: list[float] = []
        self.heap: list[tuple[float, int, str, int]] = []
        self.sequence = 0

    def at(self, when: float, kind: str, number: int) -> None:
        """Plan an event."""
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, kind, number))

    def run(self) -> list[float]:
        """Run and return every waiting time."""
        rate = LOAD * SERVERS / SERVICE_MS
        at = 0.0
        while at < SECONDS * 1000:
            at += self.rng.expovariate(rate)
            self.at(at, "arrive", self.rng.randrange(NODES))
        for report in range(int(SECONDS * 1000 / self.lag_ms)):
            self.at(report * self.lag_ms, "report", 0)
        while self.heap:
            now, _, kind, number = heapq.heappop(self.heap)
            getattr(self, "_" + kind)(now, number)
        return self.waits

    def _arrive(self, now: float, node: int) -> None:
        server = self.choose(self.loads[node], self.rng)
        self.loads[node][server].sent_since += 1
        self.loads[node][server].in_flight += 1
        self.queues[server].append((now, node))
        if len(self.queues[server]) == 1:
            self._start(now, server)

    def _start(self, now: float, server: int) -> None:
        self.waits.append(now - self.queues[server][0][0])
        self.at(now + self.rng.expovariate(1 / SERVICE_MS), "end", server)

    def _end(self, now: float, server: int) -> None:
        _, node = self.queues[server].popleft()
        self.loads[node][server].ended_since += 1
        self.loads[node][server].in_flight -= 1
        if self.queues[server]:
            self._start(now, server)

    def _report(self, _now: float, _number: int) -> None:
        for loads in self.loads:
            for server, load in enumerate(loads):
                load.reported = len(self.queues[server])
                load.sent_since = load.ended_since = 0


def least(loads: list[ServerLoad], rng: random.Random, key: Callable[[ServerLoad], int]) -> int:
    """Return one of the servers with the least key."""
    low = min(key(load) for load in loads)
    return rng.choice([number for number, load in enumerate(loads) if key(load) == low])


def of_two(loads: list[ServerLoad], rng: random.Random, key: Callable[[ServerLoad], int]) -> int:
    """Return the lesser of two random servers."""
    pair = rng.sample(range(len(loads)), 2)
    return min(pair, key=lambda number: key(loads[number]))


def as_the_product(loads: list[ServerLoad], rng: random.Random) -> int:
    """Choose with the product's own code."""
    choice = LeastCallsBalancer(rng)
    choice._in_flight_by_address = {
        load.address: load.in_flight for load in loads if load.in_flight
    }
    return int(choice.pick([load.address for load in loads]) or 0)


WAYS: dict[str, Callable[..., int]] = {
    "random": lambda loads, rng: rng.randrange(len(loads)),
    "least reported": lambda loads, rng: least(loads, rng, lambda load: load.reported),
    "least expected": lambda loads, rng: least(loads, rng, ServerLoad.expected),
    "two random, reported": lambda loads, rng: of_two(loads, rng, lambda load: load.reported),
    "least in flight": lambda loads, rng: least(loads, rng, lambda load: load.in_flight),
    "two random, in flight": lambda loads, rng: of_two(loads, rng, lambda load: load.in_flight),
    "two random, expected": lambda loads, rng: of_two(loads, rng, ServerLoad.expected),
    "the product": as_the_product,
}


def main() -> int:
    """Print mean and 95th percentile of the wait per way and lag."""
    print(f"| wait in ms, mean / 95 % | {' | '.join(f'{lag} ms late' for lag in LAGS_MS)} |")
    print("| --- |" + " --- |" * len(LAGS_MS))
    for name, choose in WAYS.items():
        cells = []
        for lag_ms in LAGS_MS:
            waits = sorted(World(lag_ms, choose).run())
            cells.append(f"{statistics.fmean(waits):.0f} / {waits[int(len(waits) * 0.95)]:.0f}")
        print(f"| {name} | {' | '.join(cells)} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
