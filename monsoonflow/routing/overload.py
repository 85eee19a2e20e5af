"""Lists runners with long queues, for nodes that receive heartbeats of their peers too rarely."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, TypeAlias

from ..core.server_life import ServerLife
from .in_flight import ServerWork

OVERLOAD_PREFILL_MS: Final = 1_000
"""A runner is overloaded when the prefill of its queue takes at least this long: a quarter of the
shortest time that callers of a stream wait. Shorter queues lose no callers, and each runner listed
costs bytes in the heartbeats to all nodes."""

OverloadedRunners: TypeAlias = dict[ServerLife, dict[int, int]]
"""Pending prefill tokens by priority rank, by runner."""


def overloaded_runners(
    work: Mapping[ServerLife, ServerWork], tokens_per_ms: float
) -> OverloadedRunners:
    """Return the runners whose pending prefill takes at least ``OVERLOAD_PREFILL_MS``.

    >>> busy = ServerWork(9, 30_000, 0, pending_prefill_by_rank={1: 30_000})
    >>> work = {"i-1": busy, "i-2": ServerWork(1)}
    >>> overloaded_runners(work, 20.0)
    {'i-1': {1: 30000}}
    """
    min_tokens = OVERLOAD_PREFILL_MS * tokens_per_ms
    return {
        life: dict(at_runner.pending_prefill_by_rank)
        for life, at_runner in work.items()
        if at_runner.pending_prefill_tokens >= min_tokens
    }


def apply_holder_report(
    known_work: ServerWork,
    own_work: ServerWork,
    reported_by_rank: Mapping[int, int] | None,
    recently_sent_tokens: int,
    tokens_per_ms: float,
) -> ServerWork:
    """Return the work at a runner, corrected by the lease holder's list of overloaded runners.

    That list is newer than most heartbeats of peers. The tokens that this node itself has pending
    at the runner are the lower bound in any case.

    :param known_work: sum of the work of all nodes from their heartbeats, including ``own_work``.
    :param reported_by_rank: pending prefill tokens that the lease holder reports for the runner;
        ``None`` if the runner is not in its list, so that its queue is below the overload limit.
    :param recently_sent_tokens: tokens that this node sent there too recently for the holder to
        have counted them.
    """
    if reported_by_rank is None:
        ranks = known_work.pending_prefill_by_rank
        pending_tokens = min(
            known_work.pending_prefill_tokens, int(OVERLOAD_PREFILL_MS * tokens_per_ms)
        )
    else:
        ranks = dict(reported_by_rank)
        first_rank = min(ranks, default=0)
        ranks[first_rank] = ranks.get(first_rank, 0) + recently_sent_tokens
        pending_tokens = sum(ranks.values())
    if pending_tokens < own_work.pending_prefill_tokens:
        ranks, pending_tokens = own_work.pending_prefill_by_rank, own_work.pending_prefill_tokens
    elif reported_by_rank is None and pending_tokens < known_work.pending_prefill_tokens:
        ranks = {}
    return ServerWork(
        known_work.requests,
        pending_tokens,
        known_work.memory_tokens,
        known_work.requests_by_adapter,
        ranks,
    )
