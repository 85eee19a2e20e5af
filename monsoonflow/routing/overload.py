"""Names the runners whose queues are long, for nodes that hear of each other too seldom."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, TypeAlias

from ..core.server_life import ServerLife
from .in_flight import ServerWork

OVERLOAD_PREFILL_MS: Final = 1_000
"""A runner is named when it reads for so long on what it has: a quarter of the time that callers
of a stream wait at least. Below it no caller is lost, and each name costs bytes to all nodes."""

OverloadedRunners: TypeAlias = dict[ServerLife, dict[int, int]]
"""Unread prompt tokens by rank, by runner."""


def overloaded_runners(
    work: Mapping[ServerLife, ServerWork], tokens_per_ms: float
) -> OverloadedRunners:
    """Return the runners that need long to read what they have.

    >>> busy = ServerWork(9, 30_000, 0, pending_prefill_by_rank={1: 30_000})
    >>> work = {"i-1": busy, "i-2": ServerWork(1)}
    >>> overloaded_runners(work, 20.0)
    {'i-1': {1: 30000}}
    """
    least = OVERLOAD_PREFILL_MS * tokens_per_ms
    return {
        life: dict(at.pending_prefill_by_rank)
        for life, at in work.items()
        if at.pending_prefill_tokens >= least
    }


def apply_holder_report(
    known_work: ServerWork,
    own_work: ServerWork,
    reported_by_rank: Mapping[int, int] | None,
    recently_sent_tokens: int,
    tokens_per_ms: float,
) -> ServerWork:
    """Return the work at a runner, where the holder's word on it is newer than the other nodes'.

    :param heard: what all nodes told of themselves, this one's ``own`` among it.
    :param told: what the holder tells of the runner; ``None`` where it does not name it.
    :param lately_sent: tokens that this node sent there and the holder can't have heard of.
    """
    if reported_by_rank is None:
        ranks = known_work.pending_prefill_by_rank
        unread = min(known_work.pending_prefill_tokens, int(OVERLOAD_PREFILL_MS * tokens_per_ms))
    else:
        ranks = dict(reported_by_rank)
        first = min(ranks, default=0)
        ranks[first] = ranks.get(first, 0) + recently_sent_tokens
        unread = sum(ranks.values())
    if unread < own_work.pending_prefill_tokens:
        ranks, unread = own_work.pending_prefill_by_rank, own_work.pending_prefill_tokens
    elif reported_by_rank is None and unread < known_work.pending_prefill_tokens:
        ranks = {}
    return ServerWork(
        known_work.requests, unread, known_work.memory_tokens, known_work.requests_by_adapter, ranks
    )
