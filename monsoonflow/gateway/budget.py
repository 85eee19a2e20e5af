"""Decides on retries inside a budget that this node shares with its peers."""

from __future__ import annotations

from collections.abc import Callable

from ..core.clock import Clock
from ..fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS
from ..fleet.models import Heartbeat, RetryHistory
from ..fleet.view import FleetView, ReceivedHeartbeat
from ..routing.budget import FleetRetryBudget, Headroom, PeerRetryUsage, RetryUsage


class SharedRetryBudget:
    """The retry budget that all nodes share, as far as this node knows it.

    :param is_active: returns whether this node has announced to its peers that it has callers.
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
        """Count a caller's request for a service."""
        self._budget.record_first_attempt(service, self._clock.now_ms())

    def reserve_retry(self, service: str) -> Headroom:
        """Return whether the budget allows one more retry, and reserve it if so."""
        now_ms = self._clock.now_ms()
        headroom = self._budget.headroom(service, self.peer_usage(service), now_ms)
        if headroom.is_allowed:
            self._budget.grant_retry(service, now_ms)
        return headroom

    def record_retry_sent(self, service: str) -> None:
        """Count a reserved retry that is sent to a server now."""
        self._budget.record_sent_retry(service, self._clock.now_ms())

    def release_retry(self, service: str) -> None:
        """Give back a reserved retry that will not be sent."""
        self._budget.cancel_retry(service)

    def peer_usage(self, service: str) -> PeerRetryUsage:
        """Return what the peers have spent of a service's budget.

        Active peers that receive this node's heartbeats, and idle peers, count with what they
        announce themselves. For all others, the last heartbeat counts as long as it is in the
        window. Retries of ended processes count as far as this node or a peer remembers them.
        """
        view, now_ms = self._view, self._clock.now_ms()
        window_ms = self._budget.allowance.window_ms
        active_max_age_ms, idle_max_age_ms = (
            view.max_age_ms(is_active=True),
            view.max_age_ms(is_active=False),
        )
        received = view.received_heartbeats(now_ms, max(window_ms, idle_max_age_ms))
        active = [one.heartbeat for one in received if self._shares_budget(one, active_max_age_ms)]
        idle = [
            one.heartbeat
            for one in received
            if not one.heartbeat.is_active and one.age_ms <= idle_max_age_ms
        ]
        counted = {heartbeat.name for heartbeat in (*active, *idle)}
        silent = [
            one.heartbeat
            for one in received
            if one.age_ms <= window_ms and one.heartbeat.name not in counted
        ]
        ended = view.ended_process_heartbeats(window_ms, now_ms)
        histories = [
            heartbeat.retry_history
            for heartbeat in active
            if heartbeat.retry_history.counted_ms >= window_ms
        ]
        announced_past = [history.past_retries_by_service.get(service, 0) for history in histories]
        received_names = {one.heartbeat.name for one in received}
        sharers = {view.name, *view.record_by_name, *received_names} - {
            heartbeat.name for heartbeat in idle
        }
        return PeerRetryUsage(
            reported=tuple(
                [
                    heartbeat.retry_usage_by_service.get(service, RetryUsage())
                    for heartbeat in (*active, *idle)
                ]
            ),
            sharing_nodes=len(sharers),
            connected_nodes=1 + len(active),
            past_retries=_count_retries(service, silent)
            + max([_count_retries(service, ended), *announced_past]),
            ended_processes=max(
                [len(_abrupt_exits(ended)), *(history.ended_processes for history in histories)]
            ),
            is_entitled=self._is_active()
            and (self._budget.counted_ms(now_ms) >= window_ms or bool(histories)),
            max_heartbeat_age_ms=active_max_age_ms + HEARTBEAT_INTERVAL_MS,
        )

    def retry_history(self) -> RetryHistory:
        """Return what this node announces about the recent retries of processes that have ended.

        A node without callers announces nothing: it shares the budget with no peer, and no peer
        uses what it remembers.
        """
        if not self._is_active():
            return RetryHistory()
        view, now_ms = self._view, self._clock.now_ms()
        window_ms = self._budget.allowance.window_ms
        ended = view.ended_process_heartbeats(window_ms, now_ms)
        services = {service for heartbeat in ended for service in heartbeat.retry_usage_by_service}
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

    def _shares_budget(self, received: ReceivedHeartbeat, max_age_ms: int) -> bool:
        """Return whether an active peer and this node receive each other's heartbeats.

        Only then do they share the rest of the budget. A peer that does not receive this node's
        heartbeats counts with its last heartbeat and keeps a share of its own.
        """
        heartbeat = received.heartbeat
        is_fresh = heartbeat.is_active and received.age_ms <= max_age_ms
        return is_fresh and self._view.name in heartbeat.retry_history.fresh_peers


def _count_retries(service: str, heartbeats: list[Heartbeat]) -> int:
    return sum(
        heartbeat.retry_usage_by_service.get(service, RetryUsage()).retries
        for heartbeat in heartbeats
    )


def _abrupt_exits(last_heartbeats: list[Heartbeat]) -> list[Heartbeat]:
    """Return the ended processes that may have spent their share after their last heartbeat.

    A process that stopped gracefully has announced all that it spent, and a process without callers
    had no share.
    """
    return [one for one in last_heartbeats if one.is_active and not one.is_leaving]
