"""Collects what a fleet that has ended wrote down, and judges it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from monsoonflow.report.timeline import read

from .fleet import STORE, Fleet
from .judge import Disturbance, Late, late_arrivals
from .processes import Record
from .promises import broken_promises


def late_of(fleet: Fleet, disturbances: Iterable[Disturbance]) -> list[Late]:
    """Return the requests that reached servers too late."""
    processes = fleet.processes
    arrivals = _of(fleet, fleet.service_by_server)
    logs = [
        entry for node in fleet.nodes for entry in read(processes.written(node).splitlines(), node)
    ]
    return late_arrivals(processes.records(STORE), arrivals, logs, disturbances, STORE)


def broken_of(fleet: Fleet) -> list[str]:
    """Return a line for each broken promise to a caller."""
    return broken_promises(_of(fleet, fleet.callers), _of(fleet, fleet.service_by_server))


def answers_of(fleet: Fleet) -> Counter[int]:
    """Return how often callers got each status; 0: no answer."""
    ended = _of(fleet, fleet.callers)
    return Counter(r.fields["status"] for r in ended if r.event == "ended")


def _of(fleet: Fleet, names: Iterable[str]) -> list[Record]:
    return [record for name in names for record in fleet.processes.records(name)]
