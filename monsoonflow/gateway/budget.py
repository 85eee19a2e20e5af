"""Counts requests and retries together with the other nodes."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock
from ..fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS
from ..fleet.models import Heartbeat, RetryHistory
from ..fleet.view import FleetView, ReceivedHeartbeat
from ..routing.budget import FleetRetryBudget, Headroom, PeerRetryUsage, RetryUsage


class SharedRetryBudget:
    """The retry budget of all nodes, as this one knows it.

    :param active: tells whether this node has told the others that it has callers.
    """

    def __init__(
        self,
        budget: FleetRetryBudget,
        view: FleetView,
        clock: Clock,
        is_active: Callable[[], bool] = lambda: True,
    ) -> None:
        self._budget = budget
        self._view = view
        self._clock = clock
        self._is_active = is_active

    def record_request(self, service: str) -> None:
        """Count a request for a service."""
        self._budget.record_first_attempt(service, self._clock.now_ms())

    def reserve_retry(self, service: str) -> Headroom:
        """Return whether the budget allows one more arrival, and keep a place for it if so."""
        now_ms = self._clock.now_ms()
        headroom = self._budget.headroom(service, self.peer_usage(service), now_ms)
        if headroom.is_allowed:
            self._budget.grant_retry(service, now_ms)
        return headroom

    def record_retry_sent(self, service: str) -> None:
        """Count a further try that was allowed: it goes to a server now."""
        self._budget.record_sent_retry(service, self._clock.now_ms())

    def release_retry(self, service: str) -> None:
        """Give back a further try that was allowed and will not be sent."""
        self._budget.cancel_retry(service)

    def peer_usage(self, service: str) -> PeerRetryUsage:
        """Return what the other nodes have spent of a service's budget."""
        view, now_ms = self._view, self._clock.now_ms()
        window_ms = self._budget.allowance.window_ms
        active_ms, idle_ms = view.max_age_ms(is_active=True), view.max_age_ms(is_active=False)
        words = view.received_heartbeats(now_ms, max(window_ms, idle_ms))
        active = [word.heartbeat for word in words if self._shares_budget(word, active_ms)]
        idle = [w.heartbeat for w in words if not w.heartbeat.is_active and w.age_ms <= idle_ms]
        counted = {report.name for report in (*active, *idle)}
        silent = [
            word.heartbeat
            for word in words
            if word.age_ms <= window_ms and word.heartbeat.name not in counted
        ]
        ended = view.ended_process_heartbeats(window_ms, now_ms)
        memories = [
            report.retry_history
            for report in active
            if report.retry_history.counted_ms >= window_ms
        ]
        told_past = [memory.past_retries_by_service.get(service, 0) for memory in memories]
        heard = {word.heartbeat.name for word in words}
        sharers = {view.name, *view.record_by_name, *heard} - {report.name for report in idle}
        return PeerRetryUsage(
            reported=tuple(
                [
                    report.retry_usage_by_service.get(service, RetryUsage())
                    for report in (*active, *idle)
                ]
            ),
            sharing_nodes=len(sharers),
            connected_nodes=1 + len(active),
            past_retries=_count_retries(service, silent)
            + max([_count_retries(service, ended), *told_past]),
            ended_processes=max(
                [len(_abrupt_exits(ended)), *(memory.ended_processes for memory in memories)]
            ),
            is_entitled=self._is_active()
            and (self._budget.counted_ms(now_ms) >= window_ms or bool(memories)),
            max_heartbeat_age_ms=active_ms + HEARTBEAT_INTERVAL_MS,
        )

    def retry_history(self) -> RetryHistory:
        """Return what this node tells the others of what it remembers.

        One that has no callers shares with nobody, and nobody asks for its memory.
        """
        if not self._is_active():
            return RetryHistory()
        view, now_ms = self._view, self._clock.now_ms()
        window_ms = self._budget.allowance.window_ms
        ended = view.ended_process_heartbeats(window_ms, now_ms)
        services = {service for report in ended for service in report.retry_usage_by_service}
        return RetryHistory(
            counted_ms=self._budget.counted_ms(now_ms),
            fresh_peers=frozenset(
                view.active_peer_names_within(view.max_age_ms(is_active=True), now_ms)
            ),
            past_retries_by_service={
                service: _count_retries(service, ended) for service in services
            },
            ended_processes=len(_abrupt_exits(ended)),
        )

    def _shares_budget(self, word: ReceivedHeartbeat, max_age_ms: int) -> bool:
        """Tell whether a node shares with this one by its word: both hear each other.

        One that does not hear this node spends by its last word, and keeps its own share.
        """
        report = word.heartbeat
        fresh = report.is_active and word.age_ms <= max_age_ms
        return fresh and self._view.name in report.retry_history.fresh_peers


def _count_retries(service: str, reports: list[Heartbeat]) -> int:
    return sum(
        report.retry_usage_by_service.get(service, RetryUsage()).retries for report in reports
    )


def _abrupt_exits(ended: list[Heartbeat]) -> list[Heartbeat]:
    """Return the processes that may have spent their share after their last report.

    One that stopped in order has told all, and one without callers had no share.
    """
    return [report for report in ended if report.is_active and not report.is_leaving]
