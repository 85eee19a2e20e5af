"""Crowds of callers that send nothing, or never the end of their requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Final

from stand_ins.crowds import HEAD_START, POST_START, chunked_body, head_of_lines

if TYPE_CHECKING:
    from .faults import FaultInjector

CROWD: Final = (100, 400)
"""Least and most connections of a crowd."""

STAYS_S: Final = (0.5, 4.0)
"""Least and longest time for which a crowd keeps its connections."""

SHORT_REQUEST: Final = b"GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n"
PIECES_BY_KIND: Final[dict[str, Callable[[], Iterable[bytes]]]] = {
    "nothing": list,
    "heads of short lines": lambda: [head_of_lines(b"a:\r\n", 16_000)],
    "chunks of 2 bytes": lambda: chunked_body(20_000, 2),
    "chunks of 64 KB": lambda: chunked_body(99_999, 65_536),
    "bodies that lack a tenth": lambda: [
        POST_START + b"Content-Length: 64000\r\n\r\n" + b"x" * 57_600
    ],
    "requests behind one another": lambda: [HEAD_START + b"\r\n" + SHORT_REQUEST * 1_000],
}


def callers_crowd(injector: FaultInjector) -> None:
    """Many callers keep incomplete requests or idle connections at a node for a while."""
    rng, fleet = injector.rng, injector.fleet
    nodes = [node for node in fleet.nodes if node not in injector.ending]
    if not nodes:
        return
    pieces = PIECES_BY_KIND[rng.choice(sorted(PIECES_BY_KIND))]
    crowd = fleet.crowd(rng.choice(nodes), rng.randint(*CROWD), pieces)
    injector.later(rng.uniform(*STAYS_S), crowd.leave)
