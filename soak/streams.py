"""Tells which answers that had been broken off reached their callers as complete.

The runners' records say how many events a whole stream has. A stream that is ended by an orderly
close between two events, after a head with neither length nor chunks, can't be told from a whole
one; the servers of the soak send none that lacks events.
"""

from __future__ import annotations

from collections.abc import Iterable

from .processes import Record


def events_by_request(servers: Iterable[Record]) -> dict[str, int]:
    """Return how many events a whole stream has."""
    return {
        record.fields["request"]: record.fields["events"]
        for record in servers
        if record.event == "generates"
    }


def broken_streams(callers: Iterable[Record], servers: Iterable[Record]) -> list[str]:
    """Return a line for each stream that is complete by its framing and is not whole."""
    totals = events_by_request(servers)
    broken = []
    for record in callers:
        # A status other than 0 stands for an answer that is complete by its framing.
        if record.event != "ended" or record.fields["status"] != 200:
            continue
        if "events" not in record.fields:
            continue
        request = record.fields["request"]
        fault = _fault_of(record, totals.get(request))
        if fault is not None:
            broken.append(f"{request} looks complete ({record.fields['ending']}) and {fault}")
    return broken


def _fault_of(record: Record, total: int | None) -> str | None:
    ids, after = record.fields["events"], record.fields.get("after", 0)
    if total is None:
        return "no runner generated it"
    if not record.fields["last_whole"]:
        return f"ends inside an event, after {after + len(ids)} of {total}"
    if ids == list(range(after + 1, total + 1)):
        return None
    if after + len(ids) < total and ids == list(range(after + 1, after + len(ids) + 1)):
        return f"lacks events: {after + len(ids)} of {total}"
    return f"repeats or skips events: {ids} of {total}"
