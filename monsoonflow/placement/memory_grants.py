"""The KV cache of the runners of a cell, with slots that were granted and are in no report yet."""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..routing.in_flight import ServerWork
from ..routing.memory_room import MemoryUse, has_room
from .request_queue import QueuedRequest

GRANT_EXPIRY_MS: Final = 1_000
"""How long a grant counts that no report shows: reports of 90 nodes are up to 0.8 s old. After
that, its node has probably not sent the request."""


@attrs.define(slots=True)
class _AdapterGrants:
    """The grants for one adapter at one runner.

    :param reported_requests: requests for the adapter in the last report.
    :param pending: time and tokens of the grants that no report shows, oldest first.
    """

    reported_requests: int
    pending: deque[tuple[int, int]] = attrs.Factory(deque)

    def update(self, reported_requests: int, now_ms: int) -> None:
        """Drop the grants that a report shows, and expired ones."""
        for _ in range(min(len(self.pending), reported_requests - self.reported_requests)):
            self.pending.popleft()
        self.reported_requests = reported_requests
        while self.pending and now_ms - self.pending[0][0] > GRANT_EXPIRY_MS:
            self.pending.popleft()


class MemoryGrants:
    """Tells which runners of a cell have room for a request.

    A grant counts until the reported requests for its adapter at the runner have grown. If it
    counted for a fixed time, a burst would be counted twice for that time, and would fill only half
    of the cache.

    :param capacity_tokens: KV cache of one runner; 0 or less if unknown.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._grants_by_life: dict[ServerLife, dict[str, _AdapterGrants]] = {}

    def has_room(
        self,
        request: QueuedRequest,
        life: ServerLife,
        work: ServerWork,
        now_ms: int,
    ) -> bool:
        """Return whether a runner has room for a request; count it at the request if not.

        :param work: requests of all nodes in progress at the runner.
        """
        if self._capacity_tokens <= 0 or request.memory_tokens <= 0:
            return True
        use = MemoryUse(work.memory_tokens, self._unreported_tokens(life, work, now_ms))
        if has_room(request.memory_tokens, use, self._capacity_tokens):
            return True
        request.full_runner_count += 1
        return False

    def add(
        self,
        request: QueuedRequest,
        life: ServerLife,
        work: ServerWork,
        now_ms: int,
    ) -> None:
        """Count a granted slot.

        A node of an earlier release does not tell what its request needs: its prompt counts.
        """
        tokens = request.memory_tokens or request.prompt_tokens
        if self._capacity_tokens <= 0 or tokens <= 0:
            return
        reported = work.requests_by_adapter.get(request.adapter_name, 0)
        grants_by_adapter = self._grants_by_life.setdefault(life, {})
        grants = grants_by_adapter.setdefault(request.adapter_name, _AdapterGrants(reported))
        grants.update(reported, now_ms)
        grants.pending.append((now_ms, min(tokens, self._capacity_tokens)))

    def forget(self, life: ServerLife) -> None:
        """Drop the grants at a removed runner."""
        self._grants_by_life.pop(life, None)

    def _unreported_tokens(self, life: ServerLife, work: ServerWork, now_ms: int) -> int:
        grants_by_adapter = self._grants_by_life.get(life)
        if not grants_by_adapter:
            return 0
        total = 0
        for name, grants in list(grants_by_adapter.items()):
            grants.update(work.requests_by_adapter.get(name, 0), now_ms)
            if not grants.pending:
                del grants_by_adapter[name]
            total += sum(tokens for _, tokens in grants.pending)
        return total
