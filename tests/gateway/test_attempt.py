"""Tests of one try at one server."""

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
    """Connections to a machine without power: none is ever answered."""

    clock: ManualClock
    waited_ms: list[int] = attrs.Factory(list)

    def take(self, key: str, address: str, timeout_ms: int = CONNECT_TIMEOUT_MS) -> Lost:
        """Wait for a connection in vain."""
        self.waited_ms.append(timeout_ms)
        return Lost(False, "no connection")


@attrs.define
class SlowConnection:
    """A connection that is there after a while; notes what is sent over it."""

    clock: ManualClock
    meanwhile: Callable[[], None]
    sent: list[bytes] = attrs.Factory(list)
    closed: bool = False

    def take(self, key: str, address: str, timeout_ms: int = CONNECT_TIMEOUT_MS) -> SlowConnection:
        """Return the connection after a lost packet has been repeated."""
        self.clock.advance(450)
        self.meanwhile()
        return self

    def send(self, head: bytes, body: bytes, no_answer_body: bool = False) -> None:
        """Note what is sent."""
        self.sent.append(head)
        raise OSError("nothing more is needed")

    def close(self) -> None:
        """End the connection."""
        self.closed = True


class Caller:
    """A caller that stays."""

    started = False

    def check_caller(self) -> None:
        """Tell that the caller is there."""


def offer_over(pools: SlowConnection, book: ServerRegistry) -> Attempt:
    return Attempt(
        pools,
        HeaderDialect(),
        REQUEST,
        Call("r", "h", "/a/"),
        4_000,
        4_000,
        may_send=lambda: book.is_accepting_work(LIFE),
    )


def test_a_server_that_leaves_while_its_connection_is_waited_for_gets_nothing():
    """A node chooses a server and waits for a connection, up to 500 ms when a packet is lost.

    Meanwhile it learns that the server leaves. What was chosen 1.9 s after that word of the server
    reached it 2.4 s after, 0.4 s beyond the bound.
    """
    book = ServerRegistry()
    book.put(BackendServer(LIFE, "s", "10.0.0.1:80", "dc"), 0)
    pools = SlowConnection(ManualClock(1_000), lambda: book.mark_leaving(LIFE, 1_400, "said so"))
    result = offer_over(pools, book).send(
        Chosen(LIFE, "10.0.0.1:80"), lambda: b"head", Caller(), None
    )
    assert isinstance(result, Unsent)
    assert pools.sent == []
    assert pools.closed


def test_a_server_that_stays_gets_what_was_chosen_for_it():
    book = ServerRegistry()
    book.put(BackendServer(LIFE, "s", "10.0.0.1:80", "dc"), 0)
    pools = SlowConnection(ManualClock(1_000), lambda: None)
    offer_over(pools, book).send(Chosen(LIFE, "10.0.0.1:80"), lambda: b"head", Caller(), None)
    assert pools.sent == [b"head"]


def test_a_server_is_told_the_time_that_is_left_when_it_is_sent_to():
    """A connection takes 450 ms: told what was left before it, the server works for nobody."""
    clock = ManualClock(1_000)
    pools = SlowConnection(clock, lambda: None)
    offer = Attempt(pools, HeaderDialect(), REQUEST, Call("r", "h", "/a/"), 4_000, 4_000)
    chosen = Chosen(LIFE, "10.0.0.1:80")
    offer.send(chosen, lambda: b"%d" % (4_000 - clock.now_ms()), Caller(), None)
    assert pools.sent == [b"2550"]


@pytest.mark.parametrize(("left_ms", "waits_ms"), [(3_000, CONNECT_TIMEOUT_MS), (385, 385), (0, 1)])
def test_a_connection_is_not_waited_for_beyond_the_requests_time(left_ms, waits_ms):
    """A server's machine loses power; its entry is still listed, and 385 ms of a request are left.

    Waited for as long as for any connection, 500 ms, the caller was answered after its time.
    """
    pools = NoConnection(ManualClock(1_000))
    offer = Attempt(
        pools, HeaderDialect(), REQUEST, Call("r", "h", "/a/"), 1_000 + left_ms, 1_000 + left_ms
    )
    assert isinstance(offer.send(Chosen("i", "127.0.0.1:1"), lambda: b"", None, None), Unsent)
    assert pools.waited_ms == [waits_ms]
