"""Faults of servers' answers: without length or end, broken off, sent twice, ended by a crash."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from stand_ins.endless_sender import START_BY_KIND
from stand_ins.raw_answers import INVALID_STARTS, BreakPlace

from .const import ENGINES, LAPSE_S

if TYPE_CHECKING:
    from .faults import FaultInjector

UNFRAMED_SHARES: Final = (0.3, 1.0)
UNFRAMED_S: Final = (2.0, 8.0)
"""Least and longest time for which servers answer so."""

BROKEN_OFF: Final = (3, 10, 40)
BROKEN_OFF_S: Final = (1.0, 4.0)
"""How many answers a server breaks off, and within how long."""

PLACES: Final = (*BreakPlace, BreakPlace.PIECE, BreakPlace.PIECE)
"""Half an event is the only sign of a break in an answer that ends with its connection."""

ENDLESS_KINDS: Final = sorted(START_BY_KIND.keys() - {"bytes after a complete answer"})
"""What comes before the bytes after an answer would look like another server's answer."""

ENDLESS_S: Final = (1.0, 5.0)
"""Least and longest time for which servers send without end."""

INVALID_KINDS: Final = sorted(INVALID_STARTS)
INVALID_S: Final = (1.0, 5.0)
"""Least and longest time for which servers give answers that are not valid."""

TWICE: Final = (5, 20, 80)
TWICE_S: Final = (2.0, 8.0)
"""How many answers a server sends twice, and within how long."""

CRASHES_AFTER_S: Final = (0.3, 1.5)
"""How long a server that will crash answers without length and chunks before."""


def answers_unframed(injector: FaultInjector) -> None:
    """Some servers send a share of their answers without length and chunks."""
    servers = _some_servers(injector)
    for name in servers:
        injector.fleet.misbehave(name, unframed=injector.rng.choice(UNFRAMED_SHARES))
    injector.later(injector.rng.uniform(*UNFRAMED_S), lambda: _end(injector, servers))


def answers_broken_off(injector: FaultInjector) -> None:
    """Some servers break off answers, all at the same place."""
    rng = injector.rng
    servers = _some_servers(injector)
    count, unframed = rng.choice(BROKEN_OFF), rng.choice((0.0, *UNFRAMED_SHARES))
    place, resets = rng.choice(PLACES), rng.random() < 0.5
    for name in servers:
        injector.fleet.misbehave(
            name, break_off=count, break_place=place, break_resets=resets, unframed=unframed
        )
    injector.later(rng.uniform(*BROKEN_OFF_S), lambda: _end(injector, servers))


def answers_without_end(injector: FaultInjector) -> None:
    """Some servers of a service send bytes until the caller closes; at least one stays sound."""
    _answer_falsely(injector, "endless", ENDLESS_KINDS, ENDLESS_S)


def answers_invalid(injector: FaultInjector) -> None:
    """Some servers of a service give answers that are not valid HTTP; at least one stays sound."""
    _answer_falsely(injector, "invalid", INVALID_KINDS, INVALID_S)


def answers_sent_twice(injector: FaultInjector) -> None:
    """Some servers send refusals, and answers to orders, once more with the next answer."""
    rng = injector.rng
    servers, count = _some_servers(injector), rng.choice(TWICE)
    for name in servers:
        injector.fleet.misbehave(name, second_answers=count, shed=count)
    after_s = rng.uniform(*TWICE_S)
    injector.later(after_s, lambda: _end(injector, servers, second_answers=0, shed=0))


def server_crashes(injector: FaultInjector) -> None:
    """A server ends in the middle of its answers, some of which have no length and no chunks."""
    server = _a_server(injector)
    injector.fleet.misbehave(server, unframed=injector.rng.choice(UNFRAMED_SHARES))
    injector.later(injector.rng.uniform(*CRASHES_AFTER_S), lambda: _crash(injector, server))


def _crash(injector: FaultInjector, server: str) -> None:
    fleet = injector.fleet
    if server in fleet.servers and server not in fleet.standing_still:
        injector.disturbed(server, LAPSE_S)
        fleet.crash(server)
    else:
        _end(injector, [server])


def _a_server(injector: FaultInjector) -> str:
    """Return a server, more often a model runner than another one."""
    fleet, rng = injector.fleet, injector.rng
    engines = [name for name in fleet.servers if fleet.service_by_server[name] == ENGINES]
    return rng.choice(engines) if engines and rng.random() < 0.5 else injector.a_server()


def _some_servers(injector: FaultInjector) -> list[str]:
    """Return a server or all of its service."""
    server = _a_server(injector)
    if injector.rng.random() < 0.5:
        return [server]
    service_by_server = injector.fleet.service_by_server
    service = service_by_server[server]
    return [name for name in injector.fleet.servers if service_by_server[name] == service]


def _answer_falsely(
    injector: FaultInjector, fault: str, kinds: list[str], time_s: tuple[float, float]
) -> None:
    """Let a server, or several of its service but not all, answer in one false way for a time."""
    rng = injector.rng
    servers = _some_servers(injector)
    if len(servers) > 1:
        servers = servers[: rng.randint(1, len(servers) - 1)]
    kind = rng.choice(kinds)
    for name in servers:
        injector.fleet.misbehave(name, **{fault: kind})
    injector.later(rng.uniform(*time_s), lambda: _end(injector, servers, **{fault: None}))


def _end(injector: FaultInjector, servers: list[str], **faults: Any) -> None:
    for name in servers:
        injector.fleet.misbehave(name, **(faults or {"unframed": 0.0, "break_off": 0}))
