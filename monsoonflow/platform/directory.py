"""Answers the platform's questions: whether this process is ready, and which address to use."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from ..transport.models import Request
from ..transport.server import Reply

JSON = [(b"Content-Type", b"application/json")]


def readiness(ready: Callable[[], bool]) -> Callable[[Request, Reply], None]:
    """Return the handler of the readiness address."""

    def handle(request: Request, reply: Reply) -> None:
        if request.target.partition(b"?")[0] != b"/v1/readiness":
            reply.whole(404, [])
            return
        reply.whole(200 if ready() else 503, [])

    return handle


def directory(
    choose: Callable[[], tuple[list[str], float]],
) -> Callable[[Request, Reply], None]:
    """Return the handler of the directory address.

    :param choose: returns the addresses that callers should use and for how many seconds.
    """

    def handle(request: Request, reply: Reply) -> None:
        if request.target.partition(b"?")[0] != b"/v1/resolve":
            reply.whole(404, [])
            return
        addresses, ttl_s = choose()
        if not addresses:
            reply.whole(503, [(b"Retry-After", b"0.3")])
            return
        reply.whole(200, JSON, orjson.dumps({"addresses": addresses, "ttlS": ttl_s}))

    return handle
