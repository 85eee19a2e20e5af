"""Counts requests and retries together with the other nodes."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock
from ..fleet.models import NodeReport, RetryMemory
from ..fleet.rounds import EVERY_MS
from ..fleet.view import FleetView, Word
from ..routing.budget import FleetRetryBudget, Headroom, OthersSpent, Spent


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
        self._budget.first(service, self._clock.now_ms())

    def may_retry(self, service: str) -> Headroom:
        """Return whether the budget allows one more arrival, and keep a place for it if so."""
        now_ms = self._clock.now_ms()
        headroom = self._budget.headroom(service, self.others(service), now_ms)
        if headroom.allowed:
            self._budget.granted(service, now_ms)
        return headroom

    def sent(self, service: str) -> None:
        """Count a further try that was allowed: it goes to a server now."""
        self._budget.sent(service, self._clock.now_ms())

    def unused(self, service: str) -> None:
        """Give back a further try that was allowed and will not be sent."""
        self._budget.unused(service)

    def others(self, service: str) -> OthersSpent:
        """Return what the other nodes have spent of a service's budget."""
        view, now_ms = self._view, self._clock.now_ms()
        window_ms = self._budget.allowance.window_ms
        words = view.words(now_ms, max(window_ms, view.word_fades_ms(active=False)))
        counted = [word.report for word in words if self._counts(word)]
        active = [report for report in counted if report.active]
        silent = [w.report for w in words if w.age_ms <= window_ms and not self._counts(w)]
        ended = view.ended(window_ms, now_ms)
        past = _retries(service, ended)
        memories = [report.retries for report in active if report.retries.counts_ms >= window_ms]
        told_past = [memory.past_by_service.get(service, 0) for memory in memories]
        return OthersSpent(
            told=tuple([report.spent_by_service.get(service, Spent()) for report in counted]),
            sharers=self._sharers(words, counted),
            counted=1 + len(active),
            past=_retries(service, silent) + max([past, *told_past]),
            ended=max([len(_cut_short(ended)), *(memory.ended for memory in memories)]),
            entitled=self._active()
            and (self._budget.counts_ms(now_ms) >= window_ms or bool(memories)),
            age_ms=view.word_fades_ms(active=True) + EVERY_MS,
        )

    def memory(self) -> RetryMemory:
        """Return what this node tells the others of what it remembers."""
        view, now_ms = self._view, self._clock.now_ms()
        window_ms = self._budget.allowance.window_ms
        words = view.words(now_ms, view.word_fades_ms(active=True))
        ended = view.ended(window_ms, now_ms)
        services = {service for report in ended for service in report.spent_by_service}
        return RetryMemory(
            counts_ms=self._budget.counts_ms(now_ms),
            hears=frozenset(word.report.name for word in words if word.report.active),
            past_by_service={service: _retries(service, ended) for service in services},
            ended=len(_cut_short(ended)),
        )

    def _counts(self, word: Word) -> bool:
        """Tell whether a node's word counts: it is fresh, and that node hears this one.

        One that does not hear this node spends by its last word, and keeps its own share.
        """
        report = word.report
        if word.age_ms > self._view.word_fades_ms(report.active):
            return False
        return not report.active or self._view.name in report.retries.hears

    def _sharers(self, words: list[Word], counted: list[NodeReport]) -> int:
        """Return how many nodes share the budget: all but those known to have no callers."""
        idle = {report.name for report in counted if not report.active}
        heard = {word.report.name for word in words}
        return len({self._view.name, *self._view.card_by_name, *heard} - idle)


def _retries(service: str, reports: list[NodeReport]) -> int:
    return sum(report.spent_by_service.get(service, Spent()).retries for report in reports)


def _cut_short(ended: list[NodeReport]) -> list[NodeReport]:
    """Return the processes that may have spent something after their last report."""
    return [report for report in ended if not report.leaving]
