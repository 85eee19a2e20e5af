"""Names the runners whose queues are long, for nodes that hear of each other too seldom."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, TypeAlias

from ..core.server_life import ServerLife
from .in_flight import ServerWork

CROWDED_MS: Final = 1_000
"""A runner is named when it reads for so long on what it has: a quarter of the time that callers
of a stream wait at least. Below it no caller is lost, and each name costs bytes to all nodes."""

CrowdedRunners: TypeAlias = dict[ServerLife, dict[int, int]]
"""Unread prompt tokens by rank, by runner."""


def crowded_runners(work: Mapping[ServerLife, ServerWork], tokens_per_ms: float) -> CrowdedRunners:
    """Return the runners that need long to read what they have.

    >>> work = {"i-1": ServerWork(9, 30_000, 0, unread_by_rank={1: 30_000}), "i-2": ServerWork(1)}
    >>> crowded_runners(work, 20.0)
    {'i-1': {1: 30000}}
    """
    least = CROWDED_MS * tokens_per_ms
    return {life: dict(at.unread_by_rank) for life, at in work.items() if at.unread_tokens >= least}


def as_told(
    heard: ServerWork,
    own: ServerWork,
    told: Mapping[int, int] | None,
    lately_sent: int,
    tokens_per_ms: float,
) -> ServerWork:
    """Return the work at a runner, where the holder's word on it is newer than the other nodes'.

    :param heard: what all nodes told of themselves, this one's ``own`` among it.
    :param told: what the holder tells of the runner; ``None`` where it does not name it.
    :param lately_sent: tokens that this node sent there and the holder can't have heard of.
    """
    if told is None:
        ranks = heard.unread_by_rank
        unread = min(heard.unread_tokens, int(CROWDED_MS * tokens_per_ms))
    else:
        ranks = dict(told)
        first = min(ranks, default=0)
        ranks[first] = ranks.get(first, 0) + lately_sent
        unread = sum(ranks.values())
    if unread < own.unread_tokens:
        ranks, unread = own.unread_by_rank, own.unread_tokens
    elif told is None and unread < heard.unread_tokens:
        ranks = {}
    return ServerWork(heard.requests, unread, heard.memory_tokens, heard.by_adapter, ranks)
