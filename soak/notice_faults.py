"""Faults of servers that say in their answers that they leave, or ask for rest."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .const import SERVES_MS

if TYPE_CHECKING:
    from .faults import FaultInjector

RESTS_S: Final = ("0.8", "1.5", "3", "3.25")
SHEDS_S: Final = (2.0, 8.0)
"""Least and longest time for which a server turns everything away."""

ALL_SHED_SHARE: Final = 0.3
"""How often all servers of a service shed at once."""

ALWAYS: Final = 1_000_000


def leaves_by_word(injector: FaultInjector) -> None:
    """A server says in its answers that it leaves, and in the store that it is ready."""
    injector.fleet.leave(injector.a_server(), SERVES_MS, by_word=True)


def servers_rest(injector: FaultInjector) -> None:
    """One server, or all of its service, turn everything away and ask for rest."""
    fleet, rng, server = injector.fleet, injector.rng, injector.a_server()
    servers = [server]
    if rng.random() < ALL_SHED_SHARE:
        service = fleet.service_by_server[server]
        servers = [name for name in fleet.servers if fleet.service_by_server[name] == service]
    rest_s = rng.choice(RESTS_S)
    for name in servers:
        fleet.misbehave(name, shed=ALWAYS, rest=rest_s)
    injector.later(rng.uniform(*SHEDS_S), lambda: _end_rests(injector, servers))


def _end_rests(injector: FaultInjector, servers: list[str]) -> None:
    for name in servers:
        injector.fleet.misbehave(name, shed=0, rest=None)
