"""Tells what waits at each model runner, from all nodes, and how long it takes to be read."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..fleet.view import FleetView
from ..routing.in_flight import InFlight, ServerWork
from ..routing.overload import apply_holder_report
from ..routing.prefill_rate import MIN_DRAIN_MS, PrefillRate
from ..routing.recently_sent import RecentlySent
from .job import Job
from .models import Chosen, QueueAhead

MAX_QUEUE_SHARE: Final = 0.8
"""Share of the time until a request is given up that a queue may take: what other nodes send
meanwhile is not heard of yet."""

UNREPORTED_MS: Final = 400
"""After so long the holder's word counts a request of this node: its report takes 200 ms at most,
and the holder's next one as long again."""


@attrs.define(slots=True)
class Backlog:
    """The queues at the runners, as this node knows them."""

    in_flight: InFlight
    view: FleetView
    prefill_rate: PrefillRate = attrs.Factory(PrefillRate)
    recently_sent: RecentlySent = attrs.Factory(lambda: RecentlySent(UNREPORTED_MS))

    def work_at(self, life: ServerLife, cell: str, now_ms: int) -> ServerWork:
        """Return what all nodes have in progress at a runner of a cell."""
        total = ServerWork()
        total.add(self.view.work_at(life, now_ms))
        own = self.in_flight.work_at(life)
        total.add(own)
        crowded = self.view.overloaded_runners(cell, now_ms)
        if crowded is None:
            return total
        pace = self.prefill_rate.tokens_per_ms(None, now_ms)
        lately_sent = self.recently_sent.tokens(life, now_ms)
        return apply_holder_report(total, own, crowded.get(life), lately_sent, pace)

    def record_sent(self, chosen: Chosen, now_ms: int) -> None:
        """Take that a request goes to a runner."""
        if chosen.queue is not None:
            self.recently_sent.add(chosen.life, chosen.prefill_tokens, now_ms)

    def queue_ahead(self, life: ServerLife, job: Job, now_ms: int) -> QueueAhead:
        """Return what a request would wait for at a runner."""
        unread = self.work_at(life, job.service.name, now_ms).pending_prefill_ahead(
            job.rank_at(now_ms)
        )
        expect_ms = self.prefill_rate.expected_ms(life, unread + job.call.prompt_tokens, now_ms)
        return QueueAhead(unread, expect_ms)

    def can_prefill_in_time(
        self, life: ServerLife, job: Job, now_ms: int, start_deadline_ms: int | None = None
    ) -> bool:
        """Tell whether a runner will have read a request before its caller leaves.

        One that will not have can't be served there: it uses up its caller's time, and all behind
        it wait longer. Who has had a part of its answer is read first everywhere.

        :param begins_until_ms: the end of the term of an old version. A request that waits beyond
            it at the runner is not ours any more to keep from beginning.
        """
        if job.is_resuming() and start_deadline_ms is None:
            return True
        ahead = self.queue_ahead(life, job, now_ms)
        expect_ms = ahead.expected_ms
        # Refused before an idle runner, nobody would ever show that it reads quicker than believed.
        idle = ahead.pending_prefill_tokens == 0
        if start_deadline_ms is not None and now_ms + expect_ms > start_deadline_ms:
            return False
        patience_ms = self.max_queue_ms(job, now_ms)
        return job.is_resuming() or expect_ms <= patience_ms or (idle and patience_ms > 0)

    @staticmethod
    def max_queue_ms(job: Job, now_ms: int) -> int:
        """Return how long a queue may take to be read before a request.

        Counted until it is given up, not until its caller leaves: what was sent with the time in
        between as its margin was given up unread, one of seven in a rush, and kept others waiting.
        """
        return int((job.cancel_at_ms() - now_ms) * MAX_QUEUE_SHARE)

    def queue_drain_ms(self, lives: Collection[ServerLife], job: Job, now_ms: int) -> int:
        """Return in how long one of some runners would read such a request in time."""
        left_ms = self.max_queue_ms(job, now_ms)
        waits = [self.queue_ahead(life, job, now_ms).expected_ms - left_ms for life in lives]
        return max(MIN_DRAIN_MS, min(waits, default=0))

    def record_first_event(self, chosen: Chosen, took_ms: int, now_ms: int) -> None:
        """Take how long a request waited for its first event."""
        if chosen.queue is not None:
            tokens = chosen.queue.pending_prefill_tokens + chosen.prefill_tokens
            self.prefill_rate.record(chosen.life, tokens, chosen.prefill_tokens, took_ms, now_ms)

    def record_missing_first_event(self, chosen: Chosen, waited_ms: int, now_ms: int) -> None:
        """Take that a request waited in vain for its first event."""
        if chosen.queue is not None:
            tokens = chosen.queue.pending_prefill_tokens + chosen.prefill_tokens
            self.prefill_rate.record_overdue(
                chosen.life, tokens, chosen.prefill_tokens, waited_ms, now_ms
            )

    def forget(self, life: ServerLife) -> None:
        """Drop a runner that is gone."""
        self.prefill_rate.forget(life)
        self.recently_sent.forget(life)
