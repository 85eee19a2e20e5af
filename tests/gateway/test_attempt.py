"""Tests of one attempt at one server."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer
from monsoonflow.discovery.registry import ServerRegistry
from monsoonflow.gateway.attempt import Attempt
from monsoonflow.gateway.models import Call, Chosen, Unsent
from monsoonflow.platform.headers import HeaderDialect
from monsoonflow.transport.const import CONNECT_TIMEOUT_MS
from monsoonflow.transport.models import Lost, Request

REQUEST = Request(b"GET", b"/a/", "1.1", [], b"", True, 0)
LIFE = ServerLife("i-1")


@attrs.define
class NoConnection:
    """A connection pool whose server's machine has no power: no connection is ever answered."""

    clock: ManualClock
    timeouts_ms: list[int] = attrs.Factory(list)

    def acquire(
        self,
        key: str,
        address: str,
        timeout_ms: int = CONNECT_TIMEOUT_MS,
        request_id: str | None = None,
    ) -> Lost:
        """Fail to connect, and record the timeout."""
        self.timeouts_ms.append(timeout_ms)
        return Lost(False, "no connection")


@attrs.define
class SlowConnection:
    """A connection that takes a while to open; records what is sent over it."""

    clock: ManualClock
    while_connecting: Callable[[], None]
    sent: list[bytes] = attrs.Factory(list)
    closed: bool = False

    def acquire(
        self,
        key: str,
        address: str,
        timeout_ms: int = CONNECT_TIMEOUT_MS,
        request_id: str | None = None,
    ) -> SlowConnection:
        """Return the connection as late as after one lost packet."""
        self.clock.advance(450)
        self.while_connecting()
        return self

    def send(
        self,
        head: bytes,
        body: bytes,
        is_head_request: bool = False,
        request_id: str | None = None,
    ) -> None:
        """Record what is sent."""
        self.sent.append(head)
        raise OSError("no answer is needed")

    def close(self) -> None:
        """Record that the connection was closed."""
        self.closed = True


class Caller:
    """A caller that stays connected."""

    started = False

    def raise_if_caller_left(self) -> None:
        """Do nothing: the caller is still connected."""


def attempt_over(pools: SlowConnection, registry: ServerRegistry) -> Attempt:
    return Attempt(
        pools,
        HeaderDialect(),
        REQUEST,
        Call("r", "h", "/a/"),
        4_000,
        4_000,
        may_send=lambda: registry.is_accepting_work(LIFE),
    )


def test_a_server_that_leaves_while_the_node_connects_gets_no_request():
    """A node chooses a server and waits for a connection, up to 500 ms if a packet is lost.

    Meanwhile it learns that the server is leaving. A request whose server was chosen 1.9 s after
    the server had announced that reached it after 2.4 s, 0.4 s after the limit.
    """
    registry = ServerRegistry()
    registry.put(BackendServer(LIFE, "s", "10.0.0.1:80", "dc"), 0)
    pools = SlowConnection(
        ManualClock(1_000), lambda: registry.mark_leaving(LIFE, 1_400, "said so")
    )
    result = attempt_over(pools, registry).send(
        Chosen(LIFE, "10.0.0.1:80"), lambda: b"head", Caller(), None
    )
    assert isinstance(result, Unsent)
    assert pools.sent == []
    assert pools.closed


def test_a_server_that_stays_gets_the_request():
    registry = ServerRegistry()
    registry.put(BackendServer(LIFE, "s", "10.0.0.1:80", "dc"), 0)
    pools = SlowConnection(ManualClock(1_000), lambda: None)
    attempt_over(pools, registry).send(Chosen(LIFE, "10.0.0.1:80"), lambda: b"head", Caller(), None)
    assert pools.sent == [b"head"]


def test_the_head_holds_the_remaining_time_as_of_the_send():
    """Connecting takes 450 ms: with the time from before it, the server would work for nobody."""
    clock = ManualClock(1_000)
    pools = SlowConnection(clock, lambda: None)
    attempt = Attempt(pools, HeaderDialect(), REQUEST, Call("r", "h", "/a/"), 4_000, 4_000)
    chosen = Chosen(LIFE, "10.0.0.1:80")
    attempt.send(chosen, lambda: b"%d" % (4_000 - clock.now_ms()), Caller(), None)
    assert pools.sent == [b"2550"]


@pytest.mark.parametrize(
    ("remaining_ms", "timeout_ms"), [(3_000, CONNECT_TIMEOUT_MS), (385, 385), (0, 1)]
)
def test_connecting_takes_no_longer_than_the_requests_time(remaining_ms, timeout_ms):
    """A server's machine loses power while the server is still registered; a request has 385 ms.

    With the usual timeout of 500 ms, the caller was answered too late.
    """
    pools = NoConnection(ManualClock(1_000))
    attempt = Attempt(
        pools,
        HeaderDialect(),
        REQUEST,
        Call("r", "h", "/a/"),
        1_000 + remaining_ms,
        1_000 + remaining_ms,
    )
    assert isinstance(attempt.send(Chosen("i", "127.0.0.1:1"), lambda: b"", None, None), Unsent)
    assert pools.timeouts_ms == [timeout_ms]
