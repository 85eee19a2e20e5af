"""Servers that say in their answers that they leave or need rest, judged by what reaches them."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterable
from typing import Final

import attrs
import gevent

from stand_ins.platform_runner import PlatformServer
from tests.entry.conftest import Fleet, Node

DRAIN_S: Final = 2.0
"""How long after a node has passed on the word of a leaving server requests may still reach it."""

REST_GRACE_S: Final = 0.5
"""Requests that were under way when a server asked for rest arrive within this time."""

MAX_IN_REST: Final = 2
PAUSE_S: Final = 0.03

Ask = Callable[[Fleet, Node, str], object]


def look(fleet: Fleet, node: Node, request_id: str):
    """Send a request to the plain service."""
    return fleet.ask(node, "/look/x", request_id, b"body", deadline_ms=1_500)


def generate(fleet: Fleet, node: Node, request_id: str):
    """Send a request for a generation with an adapter."""
    return fleet.generate(node, "a1", request_id)


@attrs.frozen
class Asked:
    """A caller's request and how it ended.

    :param took_s: until the answer.
    """

    request_id: str
    sent_s: float
    took_s: float
    status: int
    retry_after_s: float | None


def send_for(fleet: Fleet, ask: Ask, for_s: float, pause_s: float = PAUSE_S) -> list[Asked]:
    """Send requests to all nodes in turn for a time; return how they ended.

    Requests are named after their node, by which a server tells who has sent them.
    """
    callers = []

    def send(node: Node, request_id: str) -> Asked:
        sent_s = time.monotonic()
        answer = ask(fleet, node, request_id)
        retry_after = answer.head.value(b"retry-after")
        return Asked(
            request_id,
            sent_s,
            time.monotonic() - sent_s,
            answer.head.status,
            None if retry_after is None else float(retry_after),
        )

    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        node = fleet.nodes[len(callers) % len(fleet.nodes)]
        name = f"{node.daemon.settings.name}-{until_s:.0f}-{len(callers)}"
        callers.append(gevent.spawn(send, node, name))
        gevent.sleep(pause_s)
    gevent.joinall(callers, raise_error=True)
    return [caller.value for caller in callers]


def share_served(asked: Collection[Asked]) -> float:
    """Return the share of requests that were answered with success."""
    return sum(one.status == 200 for one in asked) / max(1, len(asked))


def node_of(request_id: str) -> str:
    """Return the node that a request was sent to."""
    return request_id.partition("-")[0]


def arrivals_by_node(server: PlatformServer) -> list[tuple[float, str]]:
    """Return when requests arrived at a server, and from which node."""
    return [
        (at_s, node_of(request.value(b"x-request-id").decode())) for at_s, request in server.arrived
    ]


def late_arrivals(server: PlatformServer) -> list[tuple[float, str]]:
    """Return the requests that a node sent long after the server had told it that it leaves."""
    told_s: dict[str, float] = {}
    for said in server.said:
        if said.rest_s is None and said.request_id is not None:
            told_s.setdefault(node_of(said.request_id), said.at_s)
    return [
        (at_s, node)
        for at_s, node in arrivals_by_node(server)
        if node in told_s and at_s > told_s[node] + DRAIN_S
    ]


def most_in_a_rest(servers: Iterable[PlatformServer]) -> int:
    """Return the most requests from one node that reached a server while it rested."""
    most = 0
    for server in servers:
        arrivals = arrivals_by_node(server)
        for said in server.said:
            if said.rest_s is None or said.request_id is None:
                continue
            begin_s, end_s = said.at_s + REST_GRACE_S, said.at_s + said.rest_s
            node = node_of(said.request_id)
            count = sum(begin_s < at_s < end_s and name == node for at_s, name in arrivals)
            most = max(most, count)
    return most


def told_rests(servers: Iterable[PlatformServer]) -> int:
    """Return how many rests servers have asked for."""
    return sum(said.rest_s is not None for server in servers for said in server.said)
