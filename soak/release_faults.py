"""Faults of releases: runners of another software version, and callers that are cut off."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .const import ENGINES, SERVES_MS

if TYPE_CHECKING:
    from .faults import FaultInjector

MAX_RUNNERS: Final = 8
"""No release begins beside so many model runners."""

OVERLAP_S: Final = (0.5, 5.0)
"""How long runners of the old version stay after those of the new one have started."""


def release(injector: FaultInjector) -> None:
    """Model runners of a new version start, and as many of the others leave one by one.

    At most half of the runners are replaced, so that two versions go on beside each other.
    """
    fleet, rng = injector.fleet, injector.rng
    runners = [name for name in fleet.servers if fleet.service_by_server[name] == ENGINES]
    if not runners or len(runners) >= MAX_RUNNERS:
        return
    version = fleet.new_version()
    leaving = rng.sample(runners, rng.choice((1, max(1, len(runners) // 2))))
    for _ in leaving:
        fleet.add_server(ENGINES, version)
    for name in leaving:
        injector.later(rng.uniform(*OVERLAP_S), lambda name=name: _leave(injector, name))


def _leave(injector: FaultInjector, server: str) -> None:
    if server in injector.fleet.servers:
        without_word = injector.rng.random() < 0.3
        injector.fleet.leave(server, SERVES_MS, without_word, is_replaced=False)


def callers_reset(injector: FaultInjector) -> None:
    """Connections of callers to half of the nodes, or to one, are reset amid their answers."""
    nodes, rng = injector.fleet.nodes, injector.rng
    for node in rng.sample(nodes, rng.choice((1, max(1, len(nodes) // 2)))):
        injector.disturbed(node, 0, is_process=False)
        injector.fleet.reset_callers_of(node)
