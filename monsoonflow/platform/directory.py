"""Handlers for readiness checks and for callers that look up addresses of nodes."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs

import orjson

from ..transport.models import Request
from ..transport.reply import Reply

JSON_HEADERS = [(b"Content-Type", b"application/json")]

MAX_QUERY_FIELDS = 16
"""A query with more fields is answered as one without a zone."""


def readiness_handler(is_ready: Callable[[], bool]) -> Callable[[Request, Reply], None]:
    """Return the handler of readiness checks: it answers 200 or 503."""

    def handle(request: Request, reply: Reply) -> None:
        if request.target.partition(b"?")[0] != b"/v1/readiness":
            reply.send_whole(404, [])
            return
        reply.send_whole(200 if is_ready() else 503, [])

    return handle


def directory_handler(
    choose_addresses: Callable[[str | None], tuple[list[str], float]],
) -> Callable[[Request, Reply], None]:
    """Return the handler of address lookups.

    :param choose_addresses: returns the addresses that callers in a data centre should use, and for
        how many seconds; its argument is ``None`` if a caller does not name its data centre.
    """

    def handle(request: Request, reply: Reply) -> None:
        path, _, query = request.target.partition(b"?")
        if path != b"/v1/resolve":
            reply.send_whole(404, [])
            return
        addresses, ttl_s = choose_addresses(_zone_of_query(query))
        if not addresses:
            reply.send_whole(503, [(b"Retry-After", b"0.3")])
            return
        reply.send_whole(200, JSON_HEADERS, orjson.dumps({"addresses": addresses, "ttlS": ttl_s}))

    return handle


def _zone_of_query(query: bytes) -> str | None:
    """Return the zone (data centre) of a query; ``None`` if it has none or can't be parsed."""
    try:
        return parse_qs(query.decode("latin-1"), max_num_fields=MAX_QUERY_FIELDS).get(
            "zone", [None]
        )[0]
    except ValueError:
        return None
