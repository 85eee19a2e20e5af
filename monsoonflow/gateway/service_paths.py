"""Finds out whether this node can open connections to the servers of a service.

A node may be partitioned from all servers while callers, the store and its peers still reach it. A
single request only shows that one server does not respond, so connections to several servers of the
service are tried as soon as there is a doubt.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterable
from typing import Final

import attrs
import gevent
from gevent.event import Event

from ..core.clock import Clock
from ..core.tasks import Tasks
from ..discovery.models import BackendServer
from ..logs import events, log
from ..transport.client import ConnectionPools
from ..transport.models import Lost

_LOGGER = logging.getLogger(__name__)
MAX_CHECKED_SERVERS: Final = 6
"""Servers to which a check connects; one of them is enough to show that there is a path."""

CHECK_TIMEOUT_MS: Final = 250
"""Longest wait for a connection of a check, which takes one round trip."""

CHECK_RESULT_TTL_MS: Final = 400
"""How long the result of a check is used. An unreachable service is checked this often."""

RESPONSE_TIMEOUT_MS: Final = 800
"""A service is checked if none of its servers has sent anything for this long after a request."""

RECENT_RESPONSE_MS: Final = 250
"""A server that responded within this time shows that there is a path."""

CHECK_WAIT_S: Final = 2 * CHECK_TIMEOUT_MS / 1000
"""Longest wait of a request for the result of a check."""

LOOP_INTERVAL_MS: Final = 100


@attrs.define(slots=True)
class _ServicePath:
    """What is known of the path to a service.

    :param lost_since_ms: since when no server of the service could be reached; ``None`` otherwise.
    :param checked_ms: when the last check has ended.
    :param is_checking: whether a check is running.
    :param checked: set when a check has ended.
    :param awaited_since_ms: when the first request was sent after the last response of any server.
    :param responded_ms: when any server last responded.
    """

    lost_since_ms: int | None = None
    checked_ms: int | None = None
    is_checking: bool = False
    checked: Event = attrs.Factory(Event)
    awaited_since_ms: int | None = None
    responded_ms: int | None = None


class ServicePaths:
    """The services that this node reaches.

    :param servers_of: returns the registered servers of a service.
    :param on_change: called with the name of a service that is unreachable now, or no longer.
    """

    def __init__(
        self,
        servers_of: Callable[[str], Iterable[BackendServer]],
        pools: ConnectionPools,
        tasks: Tasks,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[str], None] = lambda _service: None,
    ) -> None:
        self._servers_of = servers_of
        self._pools = pools
        self._tasks = tasks
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._path_by_service: dict[str, _ServicePath] = {}

    def is_lost(self, service: str) -> bool:
        """Return whether no server of a service could be reached at the last check."""
        return self.lost_for_ms(service) is not None

    def lost_for_ms(self, service: str) -> int | None:
        """Return for how long no server of a service could be reached; ``None`` if one can."""
        path = self._path_by_service.get(service)
        if path is None or path.lost_since_ms is None:
            return None
        return self._clock.now_ms() - path.lost_since_ms

    def lost_services(self) -> tuple[str, ...]:
        """Return the services of which no server could be reached at the last check."""
        return tuple(
            service
            for service, path in self._path_by_service.items()
            if path.lost_since_ms is not None
        )

    def has_open_connection(self, service: str) -> bool:
        """Return whether an idle connection to a server of a service is open."""
        return any(self._pools.has_idle(server.life) for server in self._servers_of(service))

    def record_sent(self, service: str) -> None:
        """Record that a request was sent to a server."""
        path = self._path(service)
        if path.awaited_since_ms is None:
            path.awaited_since_ms = self._clock.now_ms()

    def record_response(self, service: str) -> None:
        """Record that a server sent a part of an answer."""
        path = self._path(service)
        path.awaited_since_ms = None
        path.responded_ms = self._clock.now_ms()

    def record_unreachable(self, service: str, failures: int = 1) -> None:
        """Record that a server could not be reached; the service is checked.

        :param failures: servers that one request could not reach. A single one proves little while
            others respond.
        """
        path = self._path(service)
        if failures == 1 and self._has_responded_recently(path):
            return
        if not path.is_checking and not self._is_recently_checked(path, self._clock.now_ms()):
            self._start_check(service, path)

    def check_is_lost(self, service: str, failures: int) -> bool:
        """Return whether no server of a service can be reached now; waits for a running check.

        :param failures: servers that one request could not reach.
        """
        self.record_unreachable(service, failures)
        path = self._path(service)
        if path.is_checking:
            path.checked.wait(CHECK_WAIT_S)
        return path.lost_since_ms is not None

    def run(self) -> None:
        """Check services without a response, and unreachable ones, forever."""
        while True:
            self._tasks.sleep(LOOP_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            for service, path in list(self._path_by_service.items()):
                if self._is_check_due(path, now_ms):
                    self._start_check(service, path)

    def _path(self, service: str) -> _ServicePath:
        return self._path_by_service.setdefault(service, _ServicePath())

    def _has_responded_recently(self, path: _ServicePath) -> bool:
        return (
            path.responded_ms is not None
            and self._clock.now_ms() - path.responded_ms < RECENT_RESPONSE_MS
        )

    @staticmethod
    def _is_recently_checked(path: _ServicePath, now_ms: int) -> bool:
        return path.checked_ms is not None and now_ms - path.checked_ms < CHECK_RESULT_TTL_MS

    def _is_check_due(self, path: _ServicePath, now_ms: int) -> bool:
        if path.is_checking or self._is_recently_checked(path, now_ms):
            return False
        if path.lost_since_ms is not None:
            return True
        awaited_since_ms = path.awaited_since_ms
        return awaited_since_ms is not None and now_ms - awaited_since_ms >= RESPONSE_TIMEOUT_MS

    def _start_check(self, service: str, path: _ServicePath) -> None:
        path.is_checking = True
        path.checked.clear()
        self._tasks.spawn(self._check, service, path)

    def _check(self, service: str, path: _ServicePath) -> None:
        began_ms = self._clock.now_ms()
        servers = list(self._servers_of(service))
        if len(servers) > MAX_CHECKED_SERVERS:
            servers = self._rng.sample(servers, MAX_CHECKED_SERVERS)
        try:
            reached = any(self._connect_to_all(servers))
            now_ms = self._clock.now_ms()
            # Connections that were ready while this process did not run count as timed out.
            is_conclusive = now_ms - began_ms < 2 * CHECK_TIMEOUT_MS
            if reached or not servers:
                self._record_reached(service, path, now_ms)
            elif is_conclusive:
                self._record_lost(service, path, len(servers), now_ms)
            path.checked_ms = now_ms
        finally:
            path.is_checking = False
            path.checked.set()

    def _connect_to_all(self, servers: list[BackendServer]) -> Iterable[bool]:
        """Yield whether each server accepts a connection, in the order of their responses."""
        attempts = [gevent.spawn(self._connects, server) for server in servers]
        for attempt in gevent.iwait(attempts):
            yield bool(attempt.value)

    def _connects(self, server: BackendServer) -> bool:
        connection = self._pools.open(server.address, CHECK_TIMEOUT_MS)
        if isinstance(connection, Lost):
            return False
        self._pools.add_idle(server.life, connection)
        return True

    def _record_reached(self, service: str, path: _ServicePath, now_ms: int) -> None:
        path.awaited_since_ms = None
        if path.lost_since_ms is None:
            return
        lost_for_ms = now_ms - path.lost_since_ms
        path.lost_since_ms = None
        log(_LOGGER, events.ServiceReachable(service=service, after_ms=lost_for_ms))
        self._on_change(service)

    def _record_lost(
        self, service: str, path: _ServicePath, server_count: int, now_ms: int
    ) -> None:
        if path.lost_since_ms is not None:
            return
        path.lost_since_ms = now_ms
        log(_LOGGER, events.ServiceUnreachable(service=service, servers=server_count))
        self._on_change(service)
        # A partition usually affects all services, also those without requests at the moment.
        for other, other_path in self._path_by_service.items():
            if not other_path.is_checking and other_path.lost_since_ms is None:
                self._start_check(other, other_path)
