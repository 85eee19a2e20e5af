"""Puts the log lines of several nodes together: what became of a request, and what was believed."""

from __future__ import annotations

import re
from collections.abc import Iterable
from datetime import datetime
from typing import Final

import attrs

from ..quarantine.parts import culprit_of

PAIR: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
HEAD: Final = re.compile(r"\btime=\S+ level=\w+ ")
BELIEFS: Final = frozenset(
    {
        "adapter_version",
        "configuration",
        "duty_inherited",
        "duty_lost",
        "duty_won",
        "history_lost",
        "learnt_from_peer",
        "peer_silent",
        "renewal_failed",
        "server_came",
        "server_ended",
        "server_answers",
        "server_leaves",
        "server_limited",
        "server_silent",
        "row_ignored",
        "started",
        "stopping",
        "store_era",
        "store_lost",
        "store_returned",
        "was_frozen",
    }
)
"""Events that change what a node takes to be true."""

AT_THAT_MOMENT: Final = ("configuration", "duty_won", "seats", "store_lost", "store_returned")
"""Of these the last one before a request is told beside it, with its age."""

AROUND_MS: Final = 2_000
"""How long before and after a request changes of beliefs are told."""


@attrs.frozen(slots=True)
class LogEntry:
    """One log line.

    :param at_ms: time of day in milliseconds; nodes' clocks may differ a little.
    """

    at_ms: int
    node: str
    event: str
    fields: dict[str, str]

    def text(self, from_ms: int) -> str:
        """Return the line, with its time counted from a moment."""
        told = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at_ms - from_ms:+7d} ms  {self.node:<18} {self.event:<18} {told}"


def read(lines: Iterable[str], node: str) -> list[LogEntry]:
    """Return the entries of one file; other lines are passed over.

    :param node: whose log it is; a name before the line's time goes first.
    """
    entries = []
    for text in lines:
        head = HEAD.search(text)
        if head is None:
            continue
        before = text[: head.start()].split()
        fields = {key: _plain(value) for key, value in PAIR.findall(text[head.start() :])}
        try:
            at_ms = int(datetime.fromisoformat(fields.pop("time")).timestamp() * 1000)
        except (KeyError, ValueError):
            continue
        for key in ("level", "logger"):
            fields.pop(key, None)
        event = fields.pop("event", "")
        entries.append(LogEntry(at_ms, before[-1] if before else node, event, fields))
    return entries


def _plain(value: str) -> str:
    if value.startswith('"'):
        return value[1:-1].replace('\\"', '"').replace("\\n", " ").replace("\\\\", "\\")
    return value


def of_request(entries: list[LogEntry], request: str) -> list[str]:
    """Return a request's timeline over all nodes, with what was believed at that moment."""
    ordered = sorted(entries, key=lambda entry: entry.at_ms)
    own = [entry for entry in ordered if entry.fields.get("request") == request]
    if not own:
        return []
    began_ms, ended_ms = own[0].at_ms, own[-1].at_ms
    nodes = {entry.node for entry in own}
    servers = {entry.fields["server"] for entry in own if "server" in entry.fields}
    lines = [f"request {request}, {ended_ms - began_ms} ms on {', '.join(sorted(nodes))}"]
    lines += ["", "believed when it came:"]
    lines += _beliefs(ordered, nodes, began_ms)
    lines += _quarantine(ordered, own, ended_ms)
    lines += ["", "what happened:"]
    lines += [
        entry.text(began_ms)
        for entry in ordered
        if entry in own or _touches(entry, nodes, servers, began_ms, ended_ms)
    ]
    return [*lines, "", f"cause: {cause(own)}"]


def _quarantine(ordered: list[LogEntry], own: list[LogEntry], until_ms: int) -> list[str]:
    """Return which servers ended before under what the request asks for, and what followed."""
    names = {entry.fields["fingerprint"] for entry in own if "fingerprint" in entry.fields}
    parts = {part for entry in own for part in _list(entry, "parts")}
    told = [
        entry
        for entry in ordered
        if entry.at_ms <= until_ms
        and entry.event in ("request_quarantined", "quarantine_lifted")
        and _names_request(entry, names, parts)
    ]
    servers = {server for entry in told for server in _list(entry, "servers")}
    ended = [
        entry
        for entry in ordered
        if entry.at_ms <= until_ms
        and entry.event == "server_ended"
        and (names & set(_list(entry, "requests")) or entry.fields.get("server") in servers)
    ]
    return [entry.text(own[0].at_ms) for entry in sorted([*told, *ended], key=lambda e: e.at_ms)]


def _names_request(entry: LogEntry, names: set[str], parts: set[str]) -> bool:
    """Return whether a quarantine is of a request, or of parts of its prompt."""
    key = entry.fields.get("fingerprint", "")
    culprit = culprit_of(key)
    return key in names if culprit is None else culprit <= parts


def _list(entry: LogEntry, field: str) -> list[str]:
    return [name for name in entry.fields.get(field, "").split(",") if name]


def around(entries: list[LogEntry], at_ms: int, server: str | None = None) -> list[str]:
    """Return what nodes learnt and decided around a moment, or about a server."""
    ordered = sorted(entries, key=lambda entry: entry.at_ms)
    return [
        entry.text(at_ms)
        for entry in ordered
        if abs(entry.at_ms - at_ms) <= AROUND_MS
        and (
            entry.fields.get("server") == server
            if server is not None
            else entry.event in BELIEFS or entry.event in ("seats", "order")
        )
    ]


def cause(own: list[LogEntry]) -> str:
    """Return in one sentence why a request ended as it did."""
    ends = [entry for entry in own if entry.event == "request_ended"]
    if not ends:
        return "its end is in none of these files"
    end = ends[-1].fields
    tries = [e for e in own if e.event in ("try_failed", "server_refused")]
    waits = [e for e in own if e.event == "request_waited"]
    parts = [f"{end.get('outcome')} after {end.get('took_ms')} ms"]
    if end.get("cause"):
        parts.append(end["cause"])
    parts += [f"{e.fields.get('server')}: {e.fields.get('cause')}" for e in tries]
    parts += [
        f"waited {e.fields.get('waited_ms')} ms for a place ({e.fields.get('result')})"
        for e in waits
    ]
    return "; ".join(dict.fromkeys(parts))


def failed_requests(entries: list[LogEntry]) -> list[str]:
    """Return the ids of the requests that did not end well."""
    good = ("answered", "passed", "caller_left")
    return [
        entry.fields["request"]
        for entry in entries
        if entry.event == "request_ended" and entry.fields.get("outcome") not in good
    ]


def _beliefs(ordered: list[LogEntry], nodes: set[str], at_ms: int) -> list[str]:
    last: dict[tuple[str, str], LogEntry] = {}
    for entry in ordered:
        if entry.at_ms > at_ms:
            break
        if entry.event in AT_THAT_MOMENT and (
            entry.node in nodes or entry.event != "configuration"
        ):
            whose = entry.node if entry.event in ("configuration", "store_lost") else "fleet"
            last[whose, entry.event] = entry
    return [entry.text(at_ms) for entry in sorted(last.values(), key=lambda entry: entry.at_ms)]


def _touches(
    entry: LogEntry, nodes: set[str], servers: set[str], began_ms: int, ended_ms: int
) -> bool:
    """Tell whether an entry that is not the request's own may explain it."""
    if not began_ms - AROUND_MS <= entry.at_ms <= ended_ms:
        return False
    if entry.fields.get("server") in servers and entry.event in BELIEFS:
        return entry.node in nodes
    fleet_wide = entry.event in ("duty_won", "duty_lost", "duty_inherited", "was_frozen")
    return fleet_wide or (entry.node in nodes and entry.event in BELIEFS)
