"""What a node accepts from peers that forward requests of callers."""

from __future__ import annotations

import pytest

from monsoonflow.entry.daemon import peer_message_limits
from monsoonflow.gateway.models import Handover
from monsoonflow.platform.headers import HeaderDialect
from monsoonflow.transport.models import MessageLimits
from monsoonflow.transport.request_reader import RequestReader

START = b"GET /a/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"


@pytest.mark.parametrize("head_bytes", [8_192, 16_384, 65_536])
@pytest.mark.parametrize("line", [b"a:\r\n", b"a:b\r\n", b"name:" + b"v" * 90 + b"\r\n"])
def test_a_peer_accepts_any_head_that_a_caller_may_send(head_bytes, line):
    """Forwarded lines have a space each, so that heads of short lines got 431 from the peer."""
    limits = MessageLimits(head_bytes=head_bytes)
    head = START + line * ((head_bytes - len(START) - 2) // len(line)) + b"\r\n"
    caller = RequestReader(limits)
    caller.feed(head, 0)
    forwarded = HeaderDialect().peer_head(caller.take_request(), Handover(1, 1, "v1"), b"12")
    peer = RequestReader(peer_message_limits(limits))
    peer.feed(forwarded, 0)
    assert peer.has_request
