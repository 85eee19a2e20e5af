"""Counts the requests that this node has in progress at each backend server."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

import attrs

from ..core.server_life import ServerLife


@attrs.define(slots=True)
class ServerWork:
    """The work in progress at one server.

    :param requests: number of requests in progress.
    :param pending_prefill_tokens: prompt tokens of the requests that have had no first event yet.
    :param memory_tokens: KV cache that the requests may need, in tokens.
    :param requests_by_adapter: number of requests by adapter name (model runners only).
    :param pending_prefill_by_rank: pending prefill tokens by the priority rank of their requests at
        the server; rank 0 is processed first.
    """

    requests: int = 0
    pending_prefill_tokens: int = 0
    memory_tokens: int = 0
    requests_by_adapter: Counter[str] = attrs.Factory(Counter)
    pending_prefill_by_rank: dict[int, int] = attrs.Factory(dict)

    def pending_prefill_ahead(self, rank: int) -> int:
        """Return the prompt tokens whose prefill comes before that of a new request.

        A runner processes the most urgent requests first. If the tokens of all requests counted, an
        urgent request would seem to wait behind 200,000 tokens, although it waits half a second.
        """
        if not self.pending_prefill_by_rank:
            return self.pending_prefill_tokens
        tokens_behind = sum(
            tokens for other, tokens in self.pending_prefill_by_rank.items() if other > rank
        )
        return max(0, self.pending_prefill_tokens - tokens_behind)

    def add(self, other: ServerWork) -> None:
        """Add another node's work at the same server."""
        self.requests += other.requests
        self.pending_prefill_tokens += other.pending_prefill_tokens
        self.memory_tokens += other.memory_tokens
        for name, requests in other.requests_by_adapter.items():
            self.requests_by_adapter[name] += requests
        ranks = self.pending_prefill_by_rank
        for rank, tokens in other.pending_prefill_by_rank.items():
            ranks[rank] = ranks.get(rank, 0) + tokens

    def subtract(self, other: ServerWork) -> None:
        """Subtract work that was added before."""
        self.requests -= other.requests
        self.pending_prefill_tokens -= other.pending_prefill_tokens
        self.memory_tokens -= other.memory_tokens
        for name, requests in other.requests_by_adapter.items():
            remaining = self.requests_by_adapter[name] - requests
            if remaining:
                self.requests_by_adapter[name] = remaining
            else:
                del self.requests_by_adapter[name]
        for rank, tokens in other.pending_prefill_by_rank.items():
            remaining = self.pending_prefill_by_rank.get(rank, 0) - tokens
            if remaining:
                self.pending_prefill_by_rank[rank] = remaining
            else:
                self.pending_prefill_by_rank.pop(rank, None)

    def is_empty(self) -> bool:
        """Return whether no work is left."""
        counts = (self.requests, self.pending_prefill_tokens, self.memory_tokens)
        return not any(counts) and not self.requests_by_adapter and not self.pending_prefill_by_rank


def sum_work(
    peers: Mapping[ServerLife, ServerWork], own: Mapping[ServerLife, ServerWork]
) -> dict[ServerLife, ServerWork]:
    """Return the sum of the work of this node and its peers, by server.

    Entries that only one of the tables has are not copied. Callers must use the result at once and
    must not change it.
    """
    total = dict(peers)
    for life, work in own.items():
        peer_work = total.get(life)
        if peer_work is None:
            total[life] = work
            continue
        both = total[life] = ServerWork()
        both.add(peer_work)
        both.add(work)
    return total


@attrs.define(slots=True)
class Ticket:
    """One request's part of a server's work.

    :param pending_prefill_tokens: prompt tokens that still count as pending.
    :param memory_tokens: KV cache that the request may need, in tokens.
    :param is_awaiting_first_event: whether the server has sent nothing of its answer yet.
    :param rank: priority rank of the request at the server; ``None`` for servers without ranks.
    """

    life: ServerLife
    adapter: str | None
    pending_prefill_tokens: int
    memory_tokens: int
    sent_ms: int
    is_awaiting_first_event: bool = True
    is_ended: bool = False
    rank: int | None = None


class InFlight:
    """The requests that this node has in progress, by server.

    :param on_adapter_change: called when the first request for an adapter starts at a runner and
        when the last one ends.
    :param on_change: called with the server at which a request starts or ends.
    """

    def __init__(
        self,
        on_adapter_change: Callable[[], None] = lambda: None,
        on_change: Callable[[ServerLife], None] = lambda _life: None,
    ) -> None:
        self._on_change = on_change
        self.work_by_server: dict[ServerLife, ServerWork] = {}
        self._on_adapter_change = on_adapter_change
        self._changed: set[ServerLife] = set()

    def pop_changed(self) -> dict[ServerLife, ServerWork]:
        """Return the work at the servers where it has changed since the last call."""
        changed, self._changed = self._changed, set()
        return {life: self.work_at(life) for life in changed}

    def begin(
        self,
        life: ServerLife,
        now_ms: int,
        adapter: str | None = None,
        pending_prefill_tokens: int = 0,
        memory_tokens: int = 0,
        rank: int | None = None,
    ) -> Ticket:
        """Count a request that is about to be sent."""
        self._changed.add(life)
        work = self.work_by_server.setdefault(life, ServerWork())
        work.requests += 1
        work.pending_prefill_tokens += pending_prefill_tokens
        if rank is not None and pending_prefill_tokens:
            work.pending_prefill_by_rank[rank] = (
                work.pending_prefill_by_rank.get(rank, 0) + pending_prefill_tokens
            )
        work.memory_tokens += memory_tokens
        if adapter is not None:
            work.requests_by_adapter[adapter] += 1
            if work.requests_by_adapter[adapter] == 1:
                self._on_adapter_change()
        self._on_change(life)
        return Ticket(life, adapter, pending_prefill_tokens, memory_tokens, now_ms, rank=rank)

    def record_first_event(self, ticket: Ticket) -> None:
        """Record that the prefill of a request is finished; further calls do nothing."""
        ticket.is_awaiting_first_event = False
        if ticket.is_ended or not ticket.pending_prefill_tokens:
            return
        self._changed.add(ticket.life)
        work = self.work_by_server[ticket.life]
        work.pending_prefill_tokens -= ticket.pending_prefill_tokens
        if ticket.rank is not None:
            work.pending_prefill_by_rank[ticket.rank] -= ticket.pending_prefill_tokens
            if not work.pending_prefill_by_rank[ticket.rank]:
                del work.pending_prefill_by_rank[ticket.rank]
        ticket.pending_prefill_tokens = 0

    def grow_memory(self, ticket: Ticket, memory_tokens: int) -> None:
        """Count a request in progress with more KV cache than at its begin."""
        if ticket.is_ended or memory_tokens <= ticket.memory_tokens:
            return
        self._changed.add(ticket.life)
        self.work_by_server[ticket.life].memory_tokens += memory_tokens - ticket.memory_tokens
        ticket.memory_tokens = memory_tokens

    def end(self, ticket: Ticket) -> None:
        """Count a request as ended; further calls do nothing."""
        if ticket.is_ended:
            return
        self.record_first_event(ticket)
        ticket.is_ended = True
        self._changed.add(ticket.life)
        work = self.work_by_server[ticket.life]
        work.requests -= 1
        work.memory_tokens -= ticket.memory_tokens
        if ticket.adapter is not None:
            work.requests_by_adapter[ticket.adapter] -= 1
            if work.requests_by_adapter[ticket.adapter] <= 0:
                del work.requests_by_adapter[ticket.adapter]
                self._on_adapter_change()
        if work.requests <= 0:
            del self.work_by_server[ticket.life]
        self._on_change(ticket.life)

    def work_at(self, life: ServerLife) -> ServerWork:
        """Return this node's work at a server."""
        return self.work_by_server.get(life) or ServerWork()
