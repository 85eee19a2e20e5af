"""Counts requests and retries together with the other nodes."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock
from ..fleet.models import NodeReport, RetryMemory
from ..fleet.rounds import EVERY_MS
from ..fleet.view import FleetView, Word
from ..routing.budget import FleetRetryBudget, Headroom, PeerRetryUsage, RetryUsage


class SharedRetries:
    """The retry budget of all nodes, as this one knows it.

    :param active: tells whether this node has told the others that it has callers.
    """

    def __init__(
        self,
        budget: FleetRetryBudget,
        view: FleetView,
        clock: Clock,
        active: Callable[[], bool] = lambda: True,
    ) -> None:
        self._budget = budget
        self._view = view
        self._clock = clock
        self._active = active

    def first(self, service: str) -> None:
        """Count a request for a service."""
        self._budget.record_first_attempt(service, self._clock.now_ms())

    def may_retry(self, service: str) -> Headroom:
        """Return whether the budget allows one more arrival, and keep a place for it if so."""
        now_ms = self._clock.now_ms()
        headroom = self._budget.headroom(service, self.others(service), now_ms)
        if headroom.is_allowed:
            self._budget.grant_retry(service, now_ms)
        return headroom

    def sent(self, service: str) -> None:
        """Count a further try that was allowed: it goes to a server now."""
        self._budget.record_sent_retry(service, self._clock.now_ms())

    def unused(self, service: str) -> None:
        """Give back a further try that was allowed and will not be sent."""
        self._budget.cancel_retry(service)

    def others(self, service: str) -> PeerRetryUsage:
        """Return what the other nodes have spent of a service's budget."""
        view, now_ms = self._view, self._clock.now_ms()
        window_ms = self._budget.allowance.window_ms
        active_ms, idle_ms = view.word_fades_ms(active=True), view.word_fades_ms(active=False)
        words = view.words(now_ms, max(window_ms, idle_ms))
        active = [word.report for word in words if self._shares(word, active_ms)]
        idle = [w.report for w in words if not w.report.active and w.age_ms <= idle_ms]
        counted = {report.name for report in (*active, *idle)}
        silent = [
            word.report
            for word in words
            if word.age_ms <= window_ms and word.report.name not in counted
        ]
        ended = view.ended(window_ms, now_ms)
        memories = [report.retries for report in active if report.retries.counts_ms >= window_ms]
        told_past = [memory.past_by_service.get(service, 0) for memory in memories]
        heard = {word.report.name for word in words}
        sharers = {view.name, *view.card_by_name, *heard} - {report.name for report in idle}
        return PeerRetryUsage(
            reported=tuple(
                [report.spent_by_service.get(service, RetryUsage()) for report in (*active, *idle)]
            ),
            sharing_nodes=len(sharers),
            connected_nodes=1 + len(active),
            past_retries=_retries(service, silent) + max([_retries(service, ended), *told_past]),
            ended_processes=max([len(_cut_short(ended)), *(memory.ended for memory in memories)]),
            is_entitled=self._active()
            and (self._budget.counted_ms(now_ms) >= window_ms or bool(memories)),
            max_heartbeat_age_ms=active_ms + EVERY_MS,
        )

    def memory(self) -> RetryMemory:
        """Return what this node tells the others of what it remembers.

        One that has no callers shares with nobody, and nobody asks for its memory.
        """
        if not self._active():
            return RetryMemory()
        view, now_ms = self._view, self._clock.now_ms()
        window_ms = self._budget.allowance.window_ms
        ended = view.ended(window_ms, now_ms)
        services = {service for report in ended for service in report.spent_by_service}
        return RetryMemory(
            counts_ms=self._budget.counted_ms(now_ms),
            hears=frozenset(view.active_within(view.word_fades_ms(active=True), now_ms)),
            past_by_service={service: _retries(service, ended) for service in services},
            ended=len(_cut_short(ended)),
        )

    def _shares(self, word: Word, fades_ms: int) -> bool:
        """Tell whether a node shares with this one by its word: both hear each other.

        One that does not hear this node spends by its last word, and keeps its own share.
        """
        report = word.report
        fresh = report.active and word.age_ms <= fades_ms
        return fresh and self._view.name in report.retries.hears


def _retries(service: str, reports: list[NodeReport]) -> int:
    return sum(report.spent_by_service.get(service, RetryUsage()).retries for report in reports)


def _cut_short(ended: list[NodeReport]) -> list[NodeReport]:
    """Return the processes that may have spent their share after their last report.

    One that stopped in order has told all, and one without callers had no share.
    """
    return [report for report in ended if report.active and not report.leaving]
