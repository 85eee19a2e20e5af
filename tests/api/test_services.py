"""Tests that callers of plain services see how the end of a server's answer is known."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum, auto
from types import SimpleNamespace

import attrs
import bottle
import gevent
import pytest
from gevent import socket

from monsoonflow.api.services import ServiceApi
from monsoonflow.core.clock import MonotonicClock
from monsoonflow.node.relay import HEADER_CUSTOMER, HEADER_NODE_TOKEN
from monsoonflow.transport.server import HttpServer
from monsoonflow.transport.wsgi import start_server
from script.ports import free_port
from tests.raw_server import HEAD, WITH_CHUNKS, WITHOUT_LENGTH, chunk, with_length

BODY = b"so far"
LAST_CHUNK = b"0\r\n\r\n"


class End(Enum):
    """What a caller can know of the end of an answer."""

    STATED = auto()
    CLOSED = auto()
    BROKEN = auto()


@attrs.frozen
class Received:
    """What a caller received."""

    head: bytes
    body: bytes
    has_reset: bool

    @property
    def end(self) -> End:
        """Return what the framing and the end of the connection say of the answer's end."""
        fields = self.head.lower()
        if b"transfer-encoding: chunked" in fields:
            return End.STATED if self.body.endswith(LAST_CHUNK) else End.BROKEN
        if b"content-length: " in fields:
            length = int(fields.partition(b"content-length: ")[2].split(b"\r\n")[0])
            return End.STATED if len(self.body) == length else End.BROKEN
        return End.BROKEN if self.has_reset or not self.head else End.CLOSED


def node_with(service_address: str) -> SimpleNamespace:
    """Return what the interface needs of a node that knows one service with one server."""
    customer = SimpleNamespace(name="acme")
    service = SimpleNamespace(addresses=(service_address,), customers=())
    return SimpleNamespace(
        clock=MonotonicClock(),
        settings={"silence-ms": 1_000, "node-token": "t"},
        config=SimpleNamespace(
            customer_by_name={"acme": customer}, service_by_name={"cases": service}
        ),
        takes_new_work=lambda: True,
        leaving=SimpleNamespace(takes_new_work=lambda _: True, record_failed_check=lambda _: None),
        server_choice=SimpleNamespace(pick=lambda left: left[0], record_end=lambda _: None),
        service_calls=0,
    )


@pytest.fixture
def call(serve_raw) -> Iterator[Callable[..., Received]]:
    """Return a function that calls a service whose server sends given bytes and closes."""
    servers: list[HttpServer] = []

    def run(data: bytes, has_reset: bool = False, method: bytes = b"GET") -> Received:
        node = node_with(serve_raw(data, has_reset).url)
        app = bottle.Bottle()
        ServiceApi(node).register(app)
        address = f"127.0.0.1:{free_port()}"
        server = start_server(address, app)
        servers.append(server)
        received = exchange(address, method)
        assert node.service_calls == 0
        return received

    with gevent.Timeout(20):
        yield run
    for server in servers:
        server.stop_listening()


def exchange(address: str, method: bytes) -> Received:
    """Send one call and receive until the connection ends."""
    host, _, port = address.partition(":")
    sock = socket.create_connection((host, int(port)), timeout=3)
    fields = f"{HEADER_NODE_TOKEN}: t\r\n{HEADER_CUSTOMER}: acme\r\nConnection: close\r\n".encode()
    sock.sendall(method + b" /services/cases/7 HTTP/1.1\r\nHost: h\r\n" + fields + b"\r\n")
    received = b""
    has_reset = False
    try:
        while piece := sock.recv(65_536):
            received += piece
    except ConnectionResetError:
        has_reset = True
    sock.close()
    head, _, body = received.partition(b"\r\n\r\n")
    return Received(head, body, has_reset)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (with_length(BODY), BODY),
        (with_length(b""), b""),
        (WITH_CHUNKS + chunk(BODY) + LAST_CHUNK, chunk(BODY) + LAST_CHUNK),
    ],
)
def test_an_answer_whose_end_is_stated_has_a_stated_end(call, answer, expected):
    received = call(answer)
    assert received.end is End.STATED
    assert received.body == expected


@pytest.mark.parametrize("head", [HEAD, b"HTTP/1.0 200 OK\r\n"])
@pytest.mark.parametrize("body", [BODY, b""])
def test_an_answer_that_ends_with_its_connection_is_passed_on_as_one(call, head, body):
    """A server that dies closes its connection in order: what came looked like the whole answer.

    The node ended chunks of its own, or stated a length of zero, and so claimed more than it knew.
    """
    received = call(head + b"\r\n" + body)
    assert received.end is End.CLOSED
    assert received.body == body


BROKEN_ANSWERS = {
    "shorter than its length": with_length(BODY, 99),
    "inside a chunk": WITH_CHUNKS + chunk(BODY)[:-4],
    "between two chunks": WITH_CHUNKS + chunk(BODY),
    "inside the size of a chunk": WITH_CHUNKS + chunk(BODY) + b"0",
}


@pytest.mark.parametrize("has_reset", [False, True])
@pytest.mark.parametrize("name", BROKEN_ANSWERS)
def test_an_answer_that_broke_off_looks_broken(call, name, has_reset):
    """The caller would take a part of an answer for the whole."""
    assert call(BROKEN_ANSWERS[name], has_reset).end is End.BROKEN


def test_an_answer_without_a_length_that_ends_in_a_reset_looks_broken(call):
    """Passed on as an orderly close, the reset would be the end of a whole answer."""
    assert call(WITHOUT_LENGTH + BODY, has_reset=True).end is End.BROKEN


def test_an_answer_to_head_has_no_body(call):
    received = call(HEAD + b"\r\n", method=b"HEAD")
    assert received.head.startswith(b"HTTP/1.1 200 ")
    assert received.body == b""


@pytest.mark.parametrize("has_reset", [False, True])
@pytest.mark.parametrize("answer", [with_length(b"", 9), WITH_CHUNKS])
def test_an_answer_that_broke_off_after_its_head_is_not_whole(call, answer, has_reset):
    """The caller got a 500 with a page that did not say whether the call may have run."""
    received = call(answer, has_reset)
    assert received.end is End.BROKEN or b'"outcome":"unknown"' in received.body
