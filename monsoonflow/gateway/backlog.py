"""Estimates the queue of each model runner, over all nodes, and the time until it is processed."""

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
from ..routing.runner_pace import RunnerPace
from .job import Job
from .models import Chosen, QueueAhead

MAX_QUEUE_SHARE: Final = 0.8
"""Share of the time until a request is cancelled that its queue may take: this node doesn't know
yet what other nodes are sending to the runner meanwhile."""

UNREPORTED_MS: Final = 400
"""Time after which the lease holder's heartbeats include a request of this node: this node's next
heartbeat to the holder takes 200 ms at most, and the holder's next heartbeat as long again."""


@attrs.define(slots=True)
class Backlog:
    """The queues at the runners, as far as this node knows them.

    :param in_flight: the requests of this node.
    :param view: the requests of the peers.
    :param pace: the relative pace of runners; ``None`` to treat all as equal.
    """

    in_flight: InFlight
    view: FleetView
    prefill_rate: PrefillRate = attrs.Factory(PrefillRate)
    recently_sent: RecentlySent = attrs.Factory(lambda: RecentlySent(UNREPORTED_MS))
    pace: RunnerPace | None = attrs.Factory(RunnerPace)

    def work_at(self, life: ServerLife, cell: str, now_ms: int) -> ServerWork:
        """Return what all nodes together have in progress at a runner of a cell."""
        total = ServerWork()
        total.add(self.view.work_at(life, now_ms))
        own = self.in_flight.work_at(life)
        total.add(own)
        overloaded = self.view.overloaded_runners(cell, now_ms)
        if overloaded is None:
            return total
        tokens_per_ms = self.prefill_rate.tokens_per_ms(None, now_ms)
        recent_tokens = self.recently_sent.tokens(life, now_ms)
        return apply_holder_report(total, own, overloaded.get(life), recent_tokens, tokens_per_ms)

    def memory_tokens_at(self, life: ServerLife, now_ms: int) -> int:
        """Return the KV cache that the requests of all nodes at a runner need.

        The requests of this node are counted from the moment at which they are sent.
        """
        peers = self.view.work_by_server(now_ms).get(life)
        own = self.in_flight.work_by_server.get(life)
        return sum(max(0, work.memory_tokens) for work in (peers, own) if work is not None)

    def reports_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the oldest report of a peer that counts; ``None`` without peers."""
        ages_ms = (
            self.view.heartbeat_age_ms(heartbeat.name, now_ms)
            for heartbeat in self.view.heartbeats(now_ms)
        )
        return max((age_ms for age_ms in ages_ms if age_ms is not None), default=None)

    def record_sent(self, chosen: Chosen, now_ms: int) -> None:
        """Record that a request is being sent to a runner."""
        if chosen.queue is not None:
            self.recently_sent.add(chosen.life, chosen.prefill_tokens, now_ms)

    def queue_ahead(self, life: ServerLife, job: Job, now_ms: int) -> QueueAhead:
        """Return the queue that a request would have to wait for at a runner."""
        pending = self.work_at(life, job.service.name, now_ms).pending_prefill_ahead(
            job.rank_at(now_ms)
        )
        tokens = pending + job.call.prompt_tokens
        expected_ms = self.prefill_rate.expected_ms(life, tokens, now_ms)
        pace = self.pace_of(life, now_ms)
        if pace > 1.0:
            # The node's own rate of this runner may have too few observations to be lower.
            common_ms = self.prefill_rate.expected_ms(None, tokens, now_ms)
            expected_ms = max(expected_ms, round(common_ms * pace))
        return QueueAhead(pending, expected_ms, job.service.name)

    def pace_of(self, life: ServerLife, now_ms: int) -> float:
        """Return the relative pace of a runner; 1.0 is the median, larger is slower."""
        return self.pace.pace_of(life, now_ms) if self.pace is not None else 1.0

    def can_prefill_in_time(
        self, life: ServerLife, job: Job, now_ms: int, start_deadline_ms: int | None = None
    ) -> bool:
        """Return whether a runner will have processed a request's prompt before its caller leaves.

        Otherwise the request would use up its caller's time for nothing and delay all others behind
        it. A request that is being resumed has the first rank at every runner, so it is always in
        time unless the adapter version has a start deadline.

        :param start_deadline_ms: until when a request may begin on an old adapter version. It is
            checked in advance, because this node can't reliably keep a request that waits in a
            runner's queue from beginning.
        """
        if job.is_resuming() and start_deadline_ms is None:
            return True
        ahead = self.queue_ahead(life, job, now_ms)
        expected_ms = ahead.expected_ms
        # An idle runner is used even if the estimate says that it is too slow: without requests,
        # the estimate would never be corrected.
        is_idle = ahead.pending_prefill_tokens == 0
        if start_deadline_ms is not None and now_ms + expected_ms > start_deadline_ms:
            return False
        max_queue_ms = self.max_queue_ms(job, now_ms)
        return job.is_resuming() or expected_ms <= max_queue_ms or (is_idle and max_queue_ms > 0)

    @staticmethod
    def max_queue_ms(job: Job, now_ms: int) -> int:
        """Return how long a runner may take for the queue ahead of a request and its prompt.

        The limit counts until the request is cancelled, not until its caller leaves. With the later
        limit, one of seven requests in a rush was cancelled before its prompt had been processed,
        and had kept others waiting.
        """
        return int((job.cancel_at_ms() - now_ms) * MAX_QUEUE_SHARE)

    def queue_drain_ms(self, lives: Collection[ServerLife], job: Job, now_ms: int) -> int:
        """Return the time after which one of the runners could process such a request in time."""
        max_queue_ms = self.max_queue_ms(job, now_ms)
        waits_ms = [
            self.queue_ahead(life, job, now_ms).expected_ms - max_queue_ms for life in lives
        ]
        return max(MIN_DRAIN_MS, min(waits_ms, default=0))

    def record_first_event(self, chosen: Chosen, took_ms: int, now_ms: int) -> None:
        """Record how long a request waited for its first event."""
        if chosen.queue is not None:
            tokens = chosen.queue.pending_prefill_tokens + chosen.prefill_tokens
            self._record_pace(chosen, tokens, took_ms, now_ms)
            self.prefill_rate.record(chosen.life, tokens, chosen.prefill_tokens, took_ms, now_ms)

    def record_missing_first_event(self, chosen: Chosen, waited_ms: int, now_ms: int) -> None:
        """Record that a request has ended without a first event."""
        if chosen.queue is not None:
            tokens = chosen.queue.pending_prefill_tokens + chosen.prefill_tokens
            if waited_ms > chosen.queue.expected_ms:
                self._record_pace(chosen, tokens, waited_ms, now_ms)
            self.prefill_rate.record_overdue(
                chosen.life, tokens, chosen.prefill_tokens, waited_ms, now_ms
            )

    def record_gap(self, chosen: Chosen, gap_ms: float, now_ms: int) -> None:
        """Record the time between two events of a stream."""
        if self.pace is None or chosen.queue is None:
            return
        requests = (
            self.view.work_at(chosen.life, now_ms).requests
            + self.in_flight.work_at(chosen.life).requests
        )
        self.pace.record_gap(chosen.life, chosen.queue.cell, gap_ms, requests, now_ms)

    def _record_pace(self, chosen: Chosen, tokens: int, took_ms: int, now_ms: int) -> None:
        if self.pace is not None and chosen.queue is not None:
            common_ms = self.prefill_rate.expected_ms(None, tokens, now_ms)
            self.pace.record_first_event(chosen.life, chosen.queue.cell, common_ms, took_ms, now_ms)

    def forget(self, life: ServerLife) -> None:
        """Drop the estimates for a runner that was removed."""
        if self.pace is not None:
            self.pace.forget(life)
        self.prefill_rate.forget(life)
        self.recently_sent.forget(life)
