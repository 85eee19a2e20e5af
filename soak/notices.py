"""Tells whether servers got requests after they had said that they leave, or while they rested.

The servers' records say what they told and what reached them, the callers' records when a request
was sent; the nodes' logs only tell through which node a request went.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final

from .const import DRAIN_MS
from .processes import Record

REST_GRACE_MS: Final = 500
"""Requests that were under way when a server asked for rest arrive within this time."""

MAX_IN_REST: Final = 2
"""Requests that a node may send to a server in one rest."""

IsExcused = Callable[[str, Record], bool]


def after_leave(
    servers: Iterable[Record],
    sent_ms_by_request: Mapping[str, int],
    node_of: Callable[[str, str], str | None],
    is_excused: IsExcused,
) -> list[str]:
    """Return a line for each request that a node sent to a server long after its word.

    :param sent_ms_by_request: when callers sent their requests.
    :param node_of: returns the node that sent a request to a server.
    :param is_excused: whether an arrival from a node does not count.
    """
    told_ms: dict[tuple[str, str], int] = {}
    found = []
    for record in sorted(servers, key=lambda r: r.at_ms):
        node = node_of(record.source, record.fields.get("request"))
        if node is None:
            continue
        if record.event == "said_leaving":
            told_ms.setdefault((record.source, node), record.at_ms)
        if record.event != "reached" or (record.source, node) not in told_ms:
            continue
        bound_ms = told_ms[record.source, node] + DRAIN_MS
        request = record.fields["request"]
        if sent_ms_by_request.get(request, 0) > bound_ms and not is_excused(node, record):
            late_ms = record.at_ms - bound_ms + DRAIN_MS
            found.append(f"{request} from {node} reached {record.source} {late_ms} ms after a word")
    return found


def in_rests(
    servers: Iterable[Record],
    node_of: Callable[[str, str], str | None],
    is_excused: IsExcused,
) -> list[str]:
    """Return a line for each rest in which a node sent a server too many requests."""
    records = list(servers)
    arrivals: dict[tuple[str, str], list[Record]] = {}
    for record in records:
        node = node_of(record.source, record.fields.get("request"))
        if record.event == "reached" and node is not None and not is_excused(node, record):
            arrivals.setdefault((record.source, node), []).append(record)
    found = []
    for record in records:
        if record.event != "said_rest":
            continue
        node = node_of(record.source, record.fields["request"])
        begin_ms = record.at_ms + REST_GRACE_MS
        end_ms = record.at_ms + record.fields["rest_ms"]
        within = [
            arrival
            for arrival in arrivals.get((record.source, node), ())
            if begin_ms < arrival.at_ms < end_ms
        ]
        if len(within) > MAX_IN_REST:
            found.append(
                f"{len(within)} requests from {node} reached {record.source} in a rest of "
                f"{record.fields['rest_ms']} ms from {record.at_ms}"
            )
    return found
