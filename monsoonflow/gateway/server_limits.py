"""Applies what servers state about their capacity, which this node shares with its peers.

A server in need names a limit for requests, a brittle one how many rejections it withstands. A
server that asks for rest asks only the node that it turns away.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Collection
from typing import Final

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..fleet.models import AnnouncedLimit, AnnouncedRejection, Heartbeat, UsageDelta
from ..logs import events, log
from ..routing.customers import Quota
from ..routing.full_servers import FullServers, Rejection
from ..routing.quota import (
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    FleetQuota,
    OverQuota,
    QuotaUsage,
    UsageAnnouncement,
)
from ..routing.server_limits import REQUEST_UNITS, LimitState, ServerLimits, to_quota
from ..routing.server_rests import ServerRests
from .models import AnswerTerms, AtLimit
from .quota_peers import QuotaPeerTracker
from .usage_announcer import UsageAnnouncer

_LOGGER = logging.getLogger(__name__)
RETURN_SPREAD_MS: Final = 1_000
"""Callers that were refused while all servers rested return within this time after the first rest:
by its end a node sends to a server as much as ever."""


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


class SharedServerLimits:
    """The limits of servers for requests of all nodes, and what all nodes have used of them.

    Only what is sent to a server uses its limit, so nothing is ever given back.

    :param name: of this node.
    :param full_servers: the brittle servers that have no room.
    :param rests: the servers that have asked this node for rest.
    :param own_requests_at: returns the requests of this node at a server.
    :param requests_at: returns the requests of all nodes at a server, as far as this node knows.
    :param slots_of: returns how many requests a server processes at once.
    """

    def __init__(
        self,
        limits: ServerLimits,
        usage: FleetQuota,
        peer_tracker: QuotaPeerTracker,
        announcer: UsageAnnouncer,
        clock: Clock,
        name: str,
        full_servers: FullServers,
        rests: ServerRests,
        rng: random.Random,
        own_requests_at: Callable[[ServerLife], int],
        requests_at: Callable[[ServerLife], int],
        slots_of: Callable[[ServerLife], int],
    ) -> None:
        self._name = name
        self._full_servers = full_servers
        self._rests = rests
        self._rng = rng
        self._own_requests_at = own_requests_at
        self._requests_at = requests_at
        self._slots_of = slots_of
        self._has_new_rejection = False
        self._limits = limits
        self._usage = usage
        self._peer_tracker = peer_tracker
        self._announcer = announcer
        self._clock = clock
        self._changed_lives: set[ServerLife] = set()
        self._last_return_ms_by_service: dict[str, int] = {}

    def record_answer(self, life: ServerLife, terms: AnswerTerms, sent_ms: int) -> None:
        """Record whether an answer names a limit; a refusal without one does not lift it.

        :param sent_ms: when the request was sent.
        """
        now_ms = self._clock.now_ms()
        self._record_brittle(life, terms, sent_ms, now_ms)
        if not terms.not_run:
            self._rests.record_answer(life, sent_ms)
        if self._limits.record_answer(life, terms.limit, not terms.not_run, sent_ms, now_ms):
            self._changed_lives.add(life)
            self._announcer.schedule(self._peer_tracker.peer_count())

    def record_rest(self, life: ServerLife, rest_ms: int) -> None:
        """Record that a server asks this node for no requests for a time."""
        requests = self._own_requests_at(life)
        if self._rests.record_rest(life, rest_ms, requests, self._clock.now_ms()):
            log(_LOGGER, events.ServerRests(server=life, rest_ms=rest_ms))

    def is_resting(self, life: ServerLife) -> bool:
        """Return whether a server has asked this node for no requests until later."""
        return self._rests.is_resting(life, self._clock.now_ms())

    def awaits_return(self, life: ServerLife) -> bool:
        """Return whether the rest of a server is over and it has got no request since."""
        return self._rests.awaits_return(life, self._clock.now_ms())

    def resting_count(self) -> int:
        """Return the number of servers that have asked this node for rest."""
        return self._rests.resting_count(self._clock.now_ms())

    def _record_brittle(
        self, life: ServerLife, terms: AnswerTerms, sent_ms: int, now_ms: int
    ) -> None:
        tolerated_per_s = terms.tolerated_rejections_per_s
        self._full_servers.record_brittle(life, tolerated_per_s, sent_ms, now_ms)
        if tolerated_per_s is None or not terms.is_full:
            return
        rejection = Rejection(now_ms, self._requests_at(life))
        if self._full_servers.record_rejection(life, rejection):
            log(
                _LOGGER,
                events.BrittleServerFull(
                    server=life, tolerated_per_s=tolerated_per_s, requests=rejection.requests
                ),
            )
            self._has_new_rejection = True
            self._announcer.schedule(self._peer_tracker.peers(now_ms).active)

    def _has_room_for_one(self, life: ServerLife, own_pending: int) -> bool:
        if not self._full_servers.is_brittle(life):
            return True
        now_ms = self._clock.now_ms()
        requests, slots = self._requests_at(life) - own_pending, self._slots_of(life)
        if not self._full_servers.has_room(life, requests, slots, now_ms):
            return False
        free = self._full_servers.free_slots(life, requests, slots, now_ms)
        nodes = [self._name, *self._peer_tracker.active_names()]
        return self._full_servers.has_turn(life, free, nodes, self._name, now_ms, _wall_ms())

    def is_brittle(self, life: ServerLife) -> bool:
        """Return whether a server is brittle: nodes must know at once what it has to do."""
        return self._full_servers.is_brittle(life)

    def limited_count(self) -> int:
        """Return the number of servers that name a limit."""
        return len(self._limits.limited_lives())

    def rate_per_s(self, life: ServerLife) -> float | None:
        """Return the limit that a server names; ``None`` without one."""
        return self._limits.rate_per_s(life)

    def has_room(self, life: ServerLife) -> bool:
        """Return whether a server takes one more request now."""
        if not self._rests.may_send(life, self._own_requests_at(life), self._clock.now_ms()):
            return False
        if not self._has_room_for_one(life, own_pending=0):
            return False
        quota = self._quota_of(life)
        if quota is None:
            return True
        now_ms = self._clock.now_ms()
        return self._usage.has_room(
            life, quota, REQUEST_UNITS, self._peer_tracker.peers(now_ms), now_ms
        )

    def admit(self, life: ServerLife) -> AtLimit | None:
        """Count a request that is sent now; return ``AtLimit`` if it must not be sent.

        The request itself is among those that the server has.
        """
        now_ms = self._clock.now_ms()
        if not self._rests.may_send(life, self._own_requests_at(life) - 1, now_ms):
            return AtLimit(None, 0, self._rests.ends_in_ms(life, now_ms))
        if not self._has_room_for_one(life, own_pending=1):
            return AtLimit(None, 0)
        self._full_servers.record_sent(life, _wall_ms())
        refusal = self._use_limit(life, now_ms)
        if refusal is None:
            self._rests.record_sent(life, now_ms)
        return refusal

    def _use_limit(self, life: ServerLife, now_ms: int) -> AtLimit | None:
        quota = self._quota_of(life)
        if quota is None:
            return None
        peers = self._peer_tracker.peers(now_ms)
        self._announcer.schedule(peers.active)
        match self._usage.admit(life, quota, REQUEST_UNITS, peers, now_ms):
            case OverQuota(left=left):
                return AtLimit(quota.rate_per_s / REQUEST_UNITS, left / REQUEST_UNITS)
        return None

    def retry_after_ms(self, service: str, lives: Collection[ServerLife]) -> int:
        """Return when a caller may retry that finds all servers of a service at their limits.

        Callers return one after the other, as fast as the servers take requests from this node: all
        at once, they would be refused again.
        """
        now_ms = self._clock.now_ms()
        peers = self._peer_tracker.peers(now_ms)
        quota_by_life = {life: self._quota_of(life) for life in lives}
        units_per_s, waits_ms = 0.0, []
        for life, quota in quota_by_life.items():
            rest_ms = self._rests.ends_in_ms(life, now_ms)
            if quota is not None:
                units_per_s += quota.rate_per_s
                wait_ms = self._usage.wait_ms(life, quota, REQUEST_UNITS, peers, now_ms)
                waits_ms.append(max(wait_ms, rest_ms))
            elif self._full_servers.is_brittle(life):
                units_per_s += self._slots_of(life) * REQUEST_UNITS
                waits_ms.append(max(self._full_servers.opens_in_ms(life, now_ms), rest_ms))
            elif rest_ms:
                waits_ms.append(rest_ms)
        if not units_per_s:
            wait_ms = min(waits_ms, default=0) + self._rng.randrange(RETURN_SPREAD_MS)
            return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        interval_ms = 1000 * (1 + peers.active) * REQUEST_UNITS / max(units_per_s, 1.0)
        last_return_ms = self._last_return_ms_by_service.get(service, now_ms)
        wait_ms = max(min(waits_ms, default=0), last_return_ms + interval_ms - now_ms)
        retry_after_ms = round(min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))
        self._last_return_ms_by_service[service] = now_ms + retry_after_ms
        return retry_after_ms

    def announced_limits(self) -> dict[ServerLife, AnnouncedLimit]:
        """Return the limits that this node announces: those that it has seen itself last."""
        now_ms = self._clock.now_ms()
        return {
            life: AnnouncedLimit(state.rate_per_s, now_ms - state.known_from_ms)
            for life, state in self._limits.own_states()
        }

    def announced_rejections(self) -> dict[ServerLife, AnnouncedRejection]:
        """Return the recent rejections by brittle servers, which keep all nodes away from them."""
        now_ms = self._clock.now_ms()
        return {
            life: AnnouncedRejection(rejection.requests, now_ms - rejection.at_ms)
            for life, rejection in self._full_servers.own_rejections(now_ms).items()
        }

    def pop_new_rejections(self) -> dict[ServerLife, AnnouncedRejection]:
        """Return the recent rejections if there was one since the last call."""
        has_new, self._has_new_rejection = self._has_new_rejection, False
        return self.announced_rejections() if has_new else {}

    def _receive_rejections(
        self, peer: str, rejections: dict[ServerLife, AnnouncedRejection]
    ) -> None:
        now_ms = self._clock.now_ms()
        for life, rejection in rejections.items():
            self._full_servers.record_rejection(
                life, Rejection(now_ms - rejection.age_ms, rejection.requests, peer)
            )

    def usage_by_server(self) -> dict[str, QuotaUsage]:
        """Return what this node has sent to servers with limits."""
        return self._usage.usage_by_key(self._clock.now_ms())

    def pop_changes(self) -> tuple[dict[ServerLife, AnnouncedLimit], dict[str, QuotaUsage]]:
        """Return the limits and the usage that have changed since the last call."""
        changed, self._changed_lives = self._changed_lives, set()
        limits = {life: at for life, at in self.announced_limits().items() if life in changed}
        return limits, self._usage.pop_changed_usage(self._clock.now_ms())

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the limits and the usage that a peer announces."""
        window_ms = self._usage.tolerance.window_ms
        is_older = heartbeat.retry_history.counted_ms >= window_ms
        usage = heartbeat.usage_by_limited_server
        self._receive_rejections(heartbeat.name, heartbeat.rejections_by_brittle_server)
        self._receive(
            heartbeat.limit_by_server,
            UsageAnnouncement(heartbeat.name, heartbeat.boot, usage, is_older=is_older),
        )

    def handle_delta(self, delta: UsageDelta) -> None:
        """Apply the limits and the usage that have changed at a peer."""
        usage = delta.usage_by_limited_server
        self._receive_rejections(delta.name, delta.rejections_by_brittle_server)
        self._receive(
            delta.limit_by_server,
            UsageAnnouncement(delta.name, delta.boot, usage, is_complete=False),
        )

    def _receive(
        self, limit_by_server: dict[ServerLife, AnnouncedLimit], announcement: UsageAnnouncement
    ) -> None:
        now_ms = self._clock.now_ms()
        for life, limit in limit_by_server.items():
            state = LimitState(limit.rate_per_s, now_ms - limit.age_ms, announcement.peer)
            self._limits.record(life, state)
        quotas = {life: self._quota_of(life) for life in self._limits.limited_lives()}
        peers = self._peer_tracker.peers_for(announcement.usage_by_key, quotas, now_ms)
        self._usage.receive(announcement, quotas, peers, now_ms)

    def forget_unused(self, lives: frozenset[ServerLife]) -> None:
        """Drop what is known of limits that no longer apply.

        :param lives: the servers that are registered.
        """
        for life in self._limits.forget_unused(lives, self._clock.now_ms()):
            self._usage.forget(life)
        self._full_servers.forget_unused(lives, self._clock.now_ms())
        self._rests.forget_unused(lives)

    def _quota_of(self, life: ServerLife) -> Quota | None:
        rate_per_s = self._limits.rate_per_s(life)
        return None if rate_per_s is None else to_quota(rate_per_s)
