"""What a server says of itself in any of its answers."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.gateway.attempt import Attempt
from monsoonflow.gateway.event_splitter import EventSplitter
from monsoonflow.gateway.models import AnswerTerms, Call, Chosen
from monsoonflow.platform.headers import HeaderDialect
from monsoonflow.transport.const import REPLY_BUFFER_BYTES
from monsoonflow.transport.models import AnswerHead, BrokenAnswer, Request

LIFE = ServerLife("i-1")
OWN_ID = (b"X-Request-Id", b"r")
SIGNATURE = (b"X-Server-Signature", b"sig")
LEAVING = (b"Server-Leaving", b"1")
REST = (b"Retry-After", b"1.5")


@attrs.define
class Server:
    """A connection pool whose server gives prepared answers."""

    clock: ManualClock
    heads: list[AnswerHead]
    pieces: list[bytes]
    breaks_off: bool = False
    number: int = 1

    def acquire(self, key, address, timeout_ms, request_id=None):
        """Return the connection."""
        return self

    def release(self, key, connection, head):
        """Accept the connection back."""

    def send(self, head, body, is_head_request=False, request_id=None):
        """Accept the request."""

    def read_head(self, until_ms):
        """Return the next head."""
        return self.heads.pop(0)

    def read_piece(self, until_ms):
        """Return the next part of the body."""
        if self.pieces:
            return self.pieces.pop(0)
        if self.breaks_off:
            raise BrokenAnswer("broke off")
        return None

    def close(self):
        """Accept the end of the connection."""


class Caller:
    """A caller that reads everything."""

    started = False
    ends_with_connection = False

    def raise_if_caller_left(self):
        """Do nothing."""

    def begin(self, *_head):
        """Accept the head."""
        self.started = True

    def write(self, _data):
        """Accept a part of the body."""

    def finish(self):
        """Accept the end."""

    def keep(self, _size):
        """Allow any number of bytes to be kept."""
        return True


def answer(status, *headers):
    return AnswerHead(status, b"", [OWN_ID, *headers], None, True)


def notices(server, method=b"GET", splitter=None) -> list[AnswerTerms]:
    """Return what the node learns of a server from one attempt."""
    heard: list[AnswerTerms] = []
    attempt = Attempt(
        server,
        HeaderDialect(),
        Request(method, b"/a/", "1.1", [], b"", True, 0),
        Call("r", "h", "/a/"),
        4_000,
        4_000,
        on_server_notices=heard.append,
    )
    attempt.send(Chosen(LIFE, "10.0.0.1:80"), lambda: b"head", Caller(), splitter)
    return heard


@pytest.mark.parametrize("status", [200, 204, 404, 408, 429, 500, 502, 503, 504])
@pytest.mark.parametrize("breaks_off", [False, True])
def test_every_answer_may_say_that_its_server_leaves(status, breaks_off):
    server = Server(ManualClock(0), [answer(status, SIGNATURE, LEAVING)], [b"x"], breaks_off)
    assert [terms.is_leaving for terms in notices(server)] == [True]


@pytest.mark.parametrize(
    ("method", "splitter", "pieces"),
    [
        (b"HEAD", None, []),
        (b"GET", None, [b"x" * (REPLY_BUFFER_BYTES + 1)]),
        (b"POST", EventSplitter(None), [b"id: 1\ndata: x\n\n"]),
    ],
)
def test_the_word_comes_with_the_head(method, splitter, pieces):
    headers = (SIGNATURE, LEAVING, (b"Content-Type", b"text/event-stream"))
    server = Server(ManualClock(0), [answer(200, *headers)], pieces)
    assert [terms.is_leaving for terms in notices(server, method, splitter)] == [True]


def test_a_late_answer_to_another_request_speaks_for_its_server():
    late = AnswerHead(503, b"", [(b"X-Request-Id", b"earlier"), LEAVING, REST], None, True)
    server = Server(ManualClock(0), [late, answer(200, SIGNATURE)], [])
    heard = notices(server)
    assert [(terms.is_leaving, terms.rest_ms) for terms in heard] == [(True, 1_500), (False, 0)]


def test_another_server_at_the_address_speaks_for_itself_only():
    server = Server(ManualClock(0), [answer(421, LEAVING, REST)], [])
    assert [(terms.is_leaving, terms.rest_ms) for terms in notices(server)] == [(False, 0)]


@pytest.mark.parametrize("status", [200, 408, 429, 500, 502, 504])
def test_only_a_503_asks_for_rest(status):
    """After 429 the time may be meant for one customer only."""
    server = Server(ManualClock(0), [answer(status, SIGNATURE, REST)], [])
    assert [terms.rest_ms for terms in notices(server)] == [0]


@pytest.mark.parametrize("not_run", [(), ((b"X-Not-Executed", b"1"),)])
def test_a_503_asks_for_rest_whether_or_not_the_request_ran(not_run):
    server = Server(ManualClock(0), [answer(503, REST, *not_run)], [])
    assert [terms.rest_ms for terms in notices(server)] == [1_500]


@pytest.mark.parametrize(
    ("values", "rest_ms"),
    [
        ([b"3"], 3_000),
        ([b"0.25"], 250),
        ([b" 2 "], 2_000),
        ([b"1", b"2"], 2_000),
        ([b"0"], 0),
        ([b""], 0),
        ([b"-3"], 0),
        ([b"abc"], 0),
        ([b"nan"], 0),
        ([b"inf"], 0),
        ([b"1e999"], 0),
        ([b"Fri, 04 Dec 2026 01:00:00 GMT"], 0),
        ([b"\xff"], 0),
    ],
)
def test_a_time_of_rest_that_can_not_be_read_asks_for_none(values, rest_ms):
    headers = [(b"Retry-After", value) for value in values]
    server = Server(ManualClock(0), [answer(503, *headers)], [])
    assert [terms.rest_ms for terms in notices(server)] == [rest_ms]


@pytest.mark.parametrize("value", [b"", b"0", b"no", b"11", b"\xff"])
def test_a_server_is_not_given_up_for_a_word_that_does_not_say_that_it_leaves(value):
    server = Server(ManualClock(0), [answer(200, SIGNATURE, (b"Server-Leaving", value))], [])
    assert [terms.is_leaving for terms in notices(server)] == [False]
