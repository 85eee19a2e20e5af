"""Collects what a fleet that has ended wrote down, and judges it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from monsoonflow.report.timeline import read

from .fleet import STORE, Fleet
from .judge import Disturbance, Late, late_arrivals


def late_of(fleet: Fleet, disturbances: Iterable[Disturbance]) -> list[Late]:
    """Return the requests that reached servers too late."""
    processes = fleet.processes
    arrivals = [r for server in fleet.service_by_server for r in processes.records(server)]
    logs = [entry for node in fleet.nodes for entry in read(processes.lines(node), node)]
    return late_arrivals(processes.records(STORE), arrivals, logs, disturbances, STORE)


def answers_of(fleet: Fleet) -> Counter[int]:
    """Return how often callers got each status; 0: no answer."""
    ended = [r for name in fleet.callers for r in fleet.processes.records(name)]
    return Counter(r.fields["status"] for r in ended if r.event == "ended")
