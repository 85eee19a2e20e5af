"""Compares ways to treat servers that shed load and ask for rest, in virtual time.

For each: the share of callers that are served, how often servers shed, and the most requests of a
node in a rest that it was asked for.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable
from typing import Final

import attrs

from monsoonflow.routing.server_rests import ServerRests
from tests.routing.rest_fleet import FullReturn, Load, NoRests, RestFleet, Server, SuddenReturn

WORK_MS: Final = 150
MAX_WAITING: Final = 2
ALL_SHED: Final = "0.5, all refuse for 9 s"


@attrs.frozen
class Way:
    """A way to treat rests.

    :param hold_ms: how long a request waits for the end of a rest.
    """

    new_rests: Callable[[random.Random], ServerRests | NoRests]
    hold_ms: int = 0


WAYS: Final = {
    "kept on the request": Way(lambda _rng: NoRests()),
    "rest, sudden return": Way(SuddenReturn),
    "rest, slow return": Way(FullReturn),
    "the same with fewer at a time": Way(ServerRests),
    "the last, waits 100 ms": Way(ServerRests, 100),
}

LOADS: Final[dict[str, Callable[[float], float]]] = {
    "0.8": lambda _at_s: 0.8,
    "1.5 for 10 s": lambda at_s: 1.5 if 8 < at_s < 18 else 0.7,
    "3 for 4 s": lambda at_s: 3 if 8 < at_s < 12 else 0.7,
    ALL_SHED: lambda _at_s: 0.5,
}
"""Requests as a share of what the servers process, by time."""


def _sheds_all(load: str) -> Callable[[float], bool]:
    return lambda at_s: load == ALL_SHED and 8 < at_s < 17


def measure(
    way: Way, load: str, nodes: int, servers: int, slots: int, rest_ms: int, seeds: int
) -> str:
    """Return share served, rejections and the most requests in a rest, over all seeds."""
    asked = served = sheds = most_in_rest = 0
    capacity_per_s = servers * slots * 1000 / WORK_MS
    for seed in range(1, seeds + 1):
        fleet = RestFleet(
            nodes,
            [
                Server(f"i-{n}", slots, MAX_WAITING, WORK_MS, rest_ms, _sheds_all(load))
                for n in range(servers)
            ],
            Load(lambda at_s: LOADS[load](at_s) * capacity_per_s),
            seed,
            way.new_rests,
            way.hold_ms,
        )
        result = fleet.run()
        asked, served, sheds = asked + result.asked, served + result.served, sheds + result.sheds
        most_in_rest = max(most_in_rest, result.most_in_rest)
    return f"{100 * served / asked:.1f}%, {sheds}, {most_in_rest}"


def main() -> None:
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=7)
    parser.add_argument("--servers", type=int, default=3)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print("| rest, load |", " | ".join(WAYS), "|")
    for rest_ms in (500, 3_000):
        for load in LOADS:
            cells = [
                measure(
                    way,
                    load,
                    options.nodes,
                    options.servers,
                    options.slots,
                    rest_ms,
                    options.seeds,
                )
                for way in WAYS.values()
            ]
            print(f"| {rest_ms} ms, {load} |", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
