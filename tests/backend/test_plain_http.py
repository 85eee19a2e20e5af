"""What a plain service's server gets of a call, and what counts as its answer."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from monsoonflow.backend.plain_http import Onward, OpenAnswer, PlainClient
from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.models import BrokenAnswer, Lost
from tests.raw_server import invalid_answers

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def serve() -> Iterator[Callable[..., tuple[str, list[bytes]]]]:
    """Return a function that starts a server which sends one answer a request."""
    servers: list[StreamServer] = []

    def start(answer: bytes, end: bool = False) -> tuple[str, list[bytes]]:
        got: list[bytes] = []

        def handle(sock: socket.socket, _peer: object) -> None:
            while data := sock.recv(65_536):
                got.append(data)
                sock.sendall(answer)
                if end:
                    return

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return f"http://127.0.0.1:{server.server_port}", got

    with gevent.Timeout(20):
        yield start
    for server in servers:
        server.close()


@pytest.fixture
def client() -> PlainClient:
    """Return a client that gives a silent server up after 300 ms."""
    return PlainClient(MonotonicClock(), 300)


CALL = Onward(b"POST", b"/a%2Fb//c/%e2?x=%20", [(b"X-B", b"1"), (b"x-b", b"2")], b"abc", "s-1")


def test_a_call_goes_on_as_it_was_sent(serve, client):
    """Decoded or tidied, `/a%2Fb` would lead the server to another record than was asked for."""
    address, got = serve(WHOLE)
    answer = client.open(address, CALL, fresh=False)
    assert isinstance(answer, OpenAnswer)
    assert b"".join(answer.pieces()) == b"ok"
    answer.close()
    lines = got[0].split(b"\r\n")
    assert lines[0] == b"POST /a%2Fb//c/%e2?x=%20 HTTP/1.1"
    assert lines[2:4] == [b"X-B: 1", b"x-b: 2"]
    assert got[0].endswith(b"\r\n\r\nabc")


def test_a_connection_with_bytes_left_over_is_not_used_again(serve, client):
    """A faulty server sends a second answer; kept, it would answer the next caller's call."""
    address, got = serve(WHOLE + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
    for _ in range(2):
        answer = client.open(address, CALL, fresh=False)
        assert b"".join(answer.pieces()) == b"ok"
        answer.close()
    assert client.pools.opened_count == 2


def test_a_call_that_may_not_be_repeated_gets_a_new_connection(serve, client):
    address, _ = serve(WHOLE)
    for _ in range(2):
        answer = client.open(address, CALL, fresh=True)
        b"".join(answer.pieces())
        answer.close()
    assert client.pools.opened_count == 2


def test_an_answer_that_ends_early_is_not_whole(serve, client):
    address, _ = serve(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", end=True)
    answer = client.open(address, CALL, fresh=False)
    with pytest.raises(BrokenAnswer):
        list(answer.pieces())
    answer.close()


def test_a_silent_server_may_have_run_the_call(serve, client):
    address, _ = serve(b"")
    assert client.open(address, CALL, fresh=False) == Lost(True, "TimeoutError")


def test_without_a_connection_nothing_was_sent(client):
    found = client.open("http://127.0.0.1:1", CALL, fresh=False)
    assert isinstance(found, Lost) and not found.sent


@pytest.mark.parametrize("name", invalid_answers(b"ok"))
def test_an_answer_with_an_invalid_head_is_lost(serve, client, name):
    """The caller of a plain service got it as an answer."""
    address, _ = serve(invalid_answers(b"ok")[name])
    result = client.open(address, CALL, fresh=True)
    assert isinstance(result, Lost)
    assert result.sent
