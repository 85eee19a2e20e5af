"""Measures how long it takes until the last node knows what it must know within a bound.

Nodes in virtual time before one store; three of a hundred reports between them are lost.
"""

from __future__ import annotations

import argparse
import logging
from collections.abc import Callable, Iterator
from typing import Final

from measure.output import show
from tests.entry.silent_store import (
    Fleet,
    Node,
    has_adapter_version,
    has_configuration,
    has_node_record,
    has_stopped_using,
)

DRAIN_MS: Final = 2_000
SETTLED_MS: Final = 12_000
SILENCE_MS: Final = 6_000
CALM_MS: Final = 3_000
MOST_MS: Final = 40_000
LOST: Final = 0.03


def settled(count: int, seed: int) -> Fleet:
    """Return a fleet that has found itself."""
    fleet = Fleet(count, DRAIN_MS, seed)
    fleet.loss_share = LOST
    fleet.run(SETTLED_MS + seed * 137)
    return fleet


def _leave(fleet: Fleet) -> int:
    assert fleet.drain("i-1")
    return fleet.until_all_know_ms(has_stopped_using("i-1"), MOST_MS)


def calm(fleet: Fleet) -> Iterator[tuple[str, int]]:
    """Measure without any trouble."""
    yield "leave", _leave(fleet)
    assert fleet.configure()
    yield "configuration", fleet.until_all_know_ms(has_configuration(fleet.config_version), MOST_MS)
    assert fleet.publish_version(2)
    yield "version", fleet.until_all_know_ms(has_adapter_version(2), MOST_MS)
    fleet.start("i-9")
    yield "a server's birth", fleet.until_all_know_ms(knows("i-9"), MOST_MS)
    assert fleet.add_node_record("n-new")
    yield "a new node's card, by the store alone", fleet.until_all_know_ms(
        has_node_record("n-new"), MOST_MS
    )


def gone(fleet: Fleet) -> Iterator[tuple[str, int]]:
    """Measure an entry that is removed without a word."""
    fleet.remove("i-1")
    yield "entry removed", fleet.until_all_know_ms(has_stopped_using("i-1"), MOST_MS)


def poked(fleet: Fleet) -> Iterator[tuple[str, int]]:
    """Measure a leave right after all have asked at once."""
    fleet.start("i-9")
    fleet.run(600)
    yield "leave, all having asked at once", _leave(fleet)


def silent(fleet: Fleet) -> Iterator[tuple[str, int]]:
    """Measure after a silence of the store."""
    fleet.store.fall_silent(SILENCE_MS)
    fleet.run(SILENCE_MS + CALM_MS)
    yield "leave, 3 s after a silence", _leave(fleet)
    assert fleet.configure()
    after_ms = fleet.until_all_know_ms(has_configuration(fleet.config_version), MOST_MS)
    yield "configuration, after a silence", after_ms


def untold(fleet: Fleet) -> Iterator[tuple[str, int]]:
    """Measure at nodes that hear nobody any more."""
    fleet.nodes_not_receiving = {node.record.name for node in fleet.nodes[len(fleet.nodes) // 2 :]}
    yield "leave, half of the nodes hear nobody", _leave(fleet)


def half_told(fleet: Fleet) -> Iterator[tuple[str, int]]:
    """Measure with half of all reports lost."""
    fleet.loss_share = 0.5
    yield "leave, half of all reports lost", _leave(fleet)


def joined(fleet: Fleet) -> Iterator[tuple[str, int]]:
    """Measure with a node that has just started."""
    fleet.add_node()
    fleet.run(500)
    yield "leave, a node has just started", _leave(fleet)


def knows(server_id: str) -> Callable[[Node], bool]:
    """Return what tells whether a node knows a server."""
    return lambda node: node.cluster_state.server_registry.life_of(server_id) is not None


CASES: Final = (calm, gone, poked, silent, untold, half_told, joined)


def main() -> None:
    """Print the worst times by size of fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[6, 90])
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for count in options.nodes:
        worst: dict[str, float] = {}
        for seed in range(1, options.seeds + 1):
            for case in CASES:
                for name, took_ms in case(settled(count, seed)):
                    worst[name] = max(worst.get(name, 0.0), took_ms)
        show(f"{count} nodes, worst of {options.seeds} seeds, ms", worst)


if __name__ == "__main__":
    main()
