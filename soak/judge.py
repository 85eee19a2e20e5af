"""Tells which requests reached a server too late after its leave, and why.

The store's record says when a leave was confirmed, the servers' records what reached them; nothing
else decides. The nodes' logs only tell what the sender knew.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from enum import StrEnum
from typing import Final

import attrs

from monsoonflow.core.server_life import ServerLife
from monsoonflow.report.timeline import LogEntry

from .const import CONTACT_MS, DRAIN_MS
from .processes import Record

MOVED: Final = 421
"""A request that is turned away so does not count as one that reached its server."""


class Cause(StrEnum):
    """What the sender knew when it sent."""

    UNKNOWN_THERE = "the sender did not know of the leave"
    KNOWN_THERE = "the sender knew of the leave and sent"
    SENT_IN_TIME = "sent before the bound, read after it"
    NOT_LOGGED = "no node has logged the send"


@attrs.frozen(slots=True)
class Late:
    """A request that reached a server later than the bound after its leave was confirmed.

    :param after_ms: from the confirmation to the server's read.
    :param sent_after_ms: from the confirmation to the send.
    :param known_after_ms: from the confirmation to when the sender learnt of it; ``None``: never.
    :param excused: the sender had been disturbed within the time of contact, or the store while the
        sender did not know of the leave.
    """

    server: str
    request: str
    node: str
    why_gone: str
    after_ms: int
    sent_after_ms: int | None
    known_after_ms: int | None
    cause: Cause
    excused: bool

    def line(self) -> str:
        """Return what there is to tell in a line."""
        return (
            f"{self.request} reached {self.server} ({self.why_gone}) after {self.after_ms} ms from "
            f"{self.node}: {self.cause}; sent after {self.sent_after_ms}, known after "
            f"{self.known_after_ms}{' (excused)' if self.excused else ''}"
        )


@attrs.frozen(slots=True)
class Disturbance:
    """A time in which a process or its links were harmed.

    :param is_process: whether the process itself was, rather than a link of it.
    """

    name: str
    from_ms: int
    until_ms: int
    is_process: bool = True

    def within_contact(self, at_ms: int) -> bool:
        """Tell whether it reaches into the time of contact before a moment."""
        return self.overlaps(at_ms, at_ms)

    def overlaps(self, from_ms: int, until_ms: int) -> bool:
        """Tell whether it, or the time of contact after it, overlaps a period."""
        return self.from_ms <= until_ms and from_ms < self.until_ms + CONTACT_MS


@attrs.define
class Leaves:
    """When a server was confirmed as leaving, and when it was ready or ready again."""

    changes: list[tuple[int, str]] = attrs.Factory(list)

    def since(self, at_ms: int) -> tuple[int, str] | None:
        """Return the confirmation that is in force at a moment."""
        before = self.changes[: bisect_right(self.changes, (at_ms, "~"))]
        left: tuple[int, str] | None = None
        for changed_ms, state in before:
            if state == "ready":
                left = None
            elif left is None:
                left = (changed_ms, state)
        return left

    def is_ready_since(self, from_ms: int, until_ms: int) -> bool:
        """Return whether the server was confirmed as ready, and as nothing else, all that time."""
        before = [state for at_ms, state in self.changes if at_ms <= from_ms]
        within = [state for at_ms, state in self.changes if from_ms < at_ms <= until_ms]
        return bool(before) and {before[-1], *within} == {"ready"}


def leaves_by_server(store: Iterable[Record]) -> dict[str, Leaves]:
    """Return what the store confirmed of each server."""
    leaves: dict[str, Leaves] = {}
    for record in store:
        if record.event in ("ready", "draining", "lapsed", "removed"):
            found = leaves.setdefault(record.fields["server"], Leaves())
            found.changes.append((record.at_ms, record.event))
    return leaves


def late_arrivals(
    store: Iterable[Record],
    servers: Iterable[Record],
    logs: Iterable[LogEntry],
    disturbances: Iterable[Disturbance],
    store_name: str,
) -> list[Late]:
    """Return the requests that reached servers too late.

    :param disturbances: of nodes by their names, and of the store.
    """
    leaves = leaves_by_server(store)
    sends, known = _of_nodes(logs)
    disturbed = sorted(disturbances, key=lambda d: d.from_ms)
    store_disturbed = [d for d in disturbed if d.name == store_name]
    arrivals = list(servers)
    moved = {
        (r.source, r.fields["request"])
        for r in arrivals
        if r.event == "unrun" and r.fields["status"] == MOVED
    }
    late = []
    for record in arrivals:
        request = record.fields.get("request")
        if record.event != "reached" or (record.source, request) in moved:
            continue
        left = leaves.get(record.source, Leaves()).since(record.at_ms)
        if left is None:
            continue
        counts_from_ms = stable_from(left[0], store_disturbed)
        if record.at_ms - counts_from_ms > DRAIN_MS:
            late.append(_late(record, left, counts_from_ms, sends, known, disturbed, store_name))
    return late


def stable_from(at_ms: int, disturbed: list[Disturbance]) -> int:
    """Return from when on a confirmation counts: a store that was disturbed binds nobody yet."""
    for disturbance in disturbed:
        if disturbance.within_contact(at_ms):
            at_ms = disturbance.until_ms + CONTACT_MS
    return at_ms


def _of_nodes(
    logs: Iterable[LogEntry],
) -> tuple[dict[tuple[str, str], list[LogEntry]], dict[tuple[str, str], list[int]]]:
    sends: dict[tuple[str, str], list[LogEntry]] = {}
    known: dict[tuple[str, str], list[int]] = {}
    for entry in logs:
        if entry.event == "request_sent":
            server = ServerLife(entry.fields["server"]).server_id
            sends.setdefault((server, entry.fields["request"]), []).append(entry)
        elif entry.event == "server_leaves":
            server = ServerLife(entry.fields["server"]).server_id
            known.setdefault((server, entry.node), []).append(entry.at_ms)
    return sends, known


def _late(
    record: Record,
    left: tuple[int, str],
    counts_from_ms: int,
    sends: dict[tuple[str, str], list[LogEntry]],
    known: dict[tuple[str, str], list[int]],
    disturbed: list[Disturbance],
    store_name: str,
) -> Late:
    left_ms, why_gone = left
    request = record.fields["request"]
    sent = [e for e in sends.get((record.source, request), ()) if e.at_ms <= record.at_ms]
    node = sent[-1].node if sent else "?"
    sent_ms = sent[-1].at_ms if sent else None
    learnt = [at_ms for at_ms in known.get((record.source, node), ()) if at_ms >= left_ms - 1]
    known_ms = min(learnt, default=None)
    cause = _cause(sent_ms, counts_from_ms, known_ms)
    # Who knows of a leave is bound by it, also while the store is in trouble.
    excusing = {node} if cause is Cause.KNOWN_THERE else {node, store_name}
    excused = any(d.within_contact(record.at_ms) for d in disturbed if d.name in excusing)
    return Late(
        server=record.source,
        request=request,
        node=node,
        why_gone=why_gone,
        after_ms=record.at_ms - left_ms,
        sent_after_ms=None if sent_ms is None else sent_ms - left_ms,
        known_after_ms=None if known_ms is None else known_ms - left_ms,
        cause=cause,
        excused=excused,
    )


def _cause(sent_ms: int | None, counts_from_ms: int, known_ms: int | None) -> Cause:
    if sent_ms is None:
        return Cause.NOT_LOGGED
    if sent_ms - counts_from_ms <= DRAIN_MS:
        return Cause.SENT_IN_TIME
    if known_ms is not None and known_ms < sent_ms:
        return Cause.KNOWN_THERE
    return Cause.UNKNOWN_THERE
