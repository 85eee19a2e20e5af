"""Tests of one try at one server."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.gateway.models import Call, Chosen, Unsent
from monsoonflow.gateway.offer import Offer
from monsoonflow.platform.headers import HeaderDialect
from monsoonflow.transport.const import CONNECT_TIMEOUT_MS
from monsoonflow.transport.models import Lost, Request

REQUEST = Request(b"GET", b"/a/", "1.1", [], b"", True, 0)


@attrs.define
class NoConnection:
    """Connections to a machine without power: none is ever answered."""

    clock: ManualClock
    waited_ms: list[int] = attrs.Factory(list)

    def take(self, key: str, address: str, timeout_ms: int = CONNECT_TIMEOUT_MS) -> Lost:
        """Wait for a connection in vain."""
        self.waited_ms.append(timeout_ms)
        return Lost(False, "no connection")


@pytest.mark.parametrize(("left_ms", "waits_ms"), [(3_000, CONNECT_TIMEOUT_MS), (385, 385), (0, 1)])
def test_a_connection_is_not_waited_for_beyond_the_requests_time(left_ms, waits_ms):
    """A server's machine loses power; its entry is still listed, and 385 ms of a request are left.

    Waited for as long as for any connection, 500 ms, the caller was answered after its time.
    """
    pools = NoConnection(ManualClock(1_000))
    offer = Offer(
        pools, HeaderDialect(), REQUEST, Call("r", "h", "/a/"), 1_000 + left_ms, 1_000 + left_ms
    )
    assert isinstance(offer.send(Chosen("i", "127.0.0.1:1"), b"", None, None), Unsent)
    assert pools.waited_ms == [waits_ms]
