"""Tells whether each request was handled by a configuration that was new enough.

The store's record says when a configuration was confirmed, the nodes' logs by which one they
accepted a request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from monsoonflow.report.timeline import LogEntry

from .processes import Record

IN_FORCE_MS: Final = 2_000
"""Within this time a confirmed configuration is in force."""


def outdated_requests(
    store: Iterable[Record], logs: Iterable[LogEntry], counts_from: Callable[[str, int], int]
) -> list[str]:
    """Return a line for each request that was handled by an older configuration than it must.

    :param counts_from: returns from when on a confirmation counts for a node: neither the node nor
        the store is disturbed then.
    """
    confirmed_ms: dict[int, int] = {}
    for record in store:
        if record.event == "configured":
            confirmed_ms.setdefault(record.fields["version"], record.at_ms)
    newest_by_node: dict[str, int] = {}
    found = []
    for entry in sorted(logs, key=lambda entry: entry.at_ms):
        if entry.event == "started":
            newest_by_node.pop(entry.node, None)
        if entry.event != "request_accepted":
            continue
        version = int(entry.fields["config"])
        newest = newest_by_node.get(entry.node, 0)
        if version < newest:
            found.append(f"{_request(entry)} by {version} after {newest}")
        newest_by_node[entry.node] = max(newest, version)
        found += [
            f"{_request(entry)} by {version}, {entry.at_ms - at_ms} ms after {newer} was confirmed"
            for newer, at_ms in confirmed_ms.items()
            if newer > version
            and entry.at_ms - counts_from(entry.node, at_ms) > IN_FORCE_MS
            and entry.at_ms - counts_from(entry.node, entry.at_ms) >= 0
        ]
    return found


def _request(entry: LogEntry) -> str:
    return f"{entry.fields['request']} was handled at {entry.node}"
