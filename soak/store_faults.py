"""Faults of a store that comes back from an older copy of its rows."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from .fleet import STORE

if TYPE_CHECKING:
    from .faults import FaultInjector

AGE_S: Final = (0.5, 5.0)
"""Least and longest time before the outage at which the copy was taken."""

AWAY_S: Final = (0.0, 3.0)
WRITES_AGAIN_S: Final = 2.0
"""Within this time the operator and the servers write again what was lost."""

CALM_S: Final = 8.0
CALM_SHARE: Final = 0.5
"""How often, and for how long, no trouble follows: nodes are held to their bounds then."""

AGAIN_SHARE: Final = 0.3
"""How often a second return follows."""


def store_returns_from_copy(injector: FaultInjector) -> None:
    """The store goes away for a moment and has lost what was written in the seconds before."""
    rng, fleet = injector.rng, injector.fleet
    age_s, away_s = rng.uniform(*AGE_S), rng.uniform(*AWAY_S)
    fleet.processes.command(STORE, "copy")
    # In the lost time, during the outage and after it: what is confirmed then must be in force.
    for at_s in (age_s * rng.random(), age_s + away_s + rng.uniform(0.0, 3.0)):
        injector.later(at_s, fleet.change_configuration)
        injector.later(at_s * rng.uniform(0.7, 1.3), injector.server_leaves)
    if rng.random() < 0.5:
        # Its rows are newer than the copy.
        injector.later(age_s * rng.random(), injector.node_is_killed)
    if rng.random() < CALM_SHARE:
        injector.calm_until = time.monotonic() + age_s + away_s + CALM_S
    injector.later(age_s, lambda: _go_away(injector, away_s))
    injector.later(age_s + away_s, lambda: _return(injector))


def _go_away(injector: FaultInjector, away_s: float) -> None:
    injector.disturbed(STORE, away_s)
    if away_s:
        injector.fleet.processes.command(STORE, "misbehave", down=True)
    if injector.rng.random() < 0.5:
        for node in injector.fleet.nodes:
            injector.fleet.reset_link(node)


def _return(injector: FaultInjector) -> None:
    rng, fleet = injector.rng, injector.fleet
    injector.disturbed(STORE, 0)
    fleet.processes.command(STORE, "return_from_copy", overtakes=rng.random() < 0.5)
    fleet.processes.command(STORE, "misbehave", down=False)
    injector.later(rng.uniform(0.0, WRITES_AGAIN_S), fleet.write_configuration_again)
    if rng.random() < AGAIN_SHARE:
        injector.later(rng.uniform(0.2, 2.0), lambda: _return(injector))
