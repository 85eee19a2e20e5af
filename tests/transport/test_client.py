"""Tests of the HTTP client: only a complete answer to the request counts as its answer."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.client import (
    MAX_REQUESTS_PER_CONNECTION,
    Answer,
    ConnectionPools,
    call,
)
from monsoonflow.transport.models import BrokenAnswer, Lost
from monsoonflow.transport.sockets import is_readable

ANSWER_WITH_CODING = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
COMPLETE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def serve() -> Iterator[Callable[[Callable], str]]:
    """Return a function that starts a server with a given connection handler."""
    servers: list[StreamServer] = []

    def start(handle: Callable[[socket.socket], None]) -> str:
        server = StreamServer(("127.0.0.1", 0), lambda sock, _: handle(sock))
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    with gevent.Timeout(20):
        yield start
    for server in servers:
        server.close()


def answer_with(*answers: bytes, close_after: bool = False) -> Callable[[socket.socket], None]:
    """Return a connection handler that sends the next of the answers to each request."""

    def handle(sock: socket.socket) -> None:
        for answer in answers:
            if not sock.recv(65_536):
                return
            sock.sendall(answer)
        if not close_after:
            gevent.sleep(5)

    return handle


def request(
    pools: ConnectionPools, address: str, body: bytes = b"", timeout_ms: int = 500
) -> Answer | Lost:
    return call(pools, address, "POST", "/x", body, timeout_ms)


BROKEN_ANSWERS = {
    "bytes that are no answer": b"garbage\r\n\r\n",
    "a body that ends early": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
    "chunks that end early": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
    "length and chunks": ANSWER_WITH_CODING + b"chunked\r\nContent-Length: 2\r\n\r\n",
    "a coding besides chunked": ANSWER_WITH_CODING + b"gzip, chunked\r\n\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", BROKEN_ANSWERS)
def test_a_broken_answer_never_counts_as_complete(serve, name):
    result = request(
        ConnectionPools(MonotonicClock()),
        serve(answer_with(BROKEN_ANSWERS[name], close_after=True)),
    )
    assert isinstance(result, Lost)
    assert result.sent


def test_an_answer_without_length_ends_when_the_connection_closes(serve):
    address = serve(answer_with(b"HTTP/1.1 200 OK\r\n\r\nall of it", close_after=True))
    result = request(ConnectionPools(MonotonicClock()), address)
    assert isinstance(result, Answer)
    assert result.body == b"all of it"


def test_an_answer_without_length_is_incomplete_after_a_reset(serve):
    """The server's process dies in the middle of an answer that has no length.

    The kernel resets the connection. Treated as an orderly close, this would make half an answer
    look complete.
    """

    def handle(sock: socket.socket) -> None:
        sock.recv(10)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        gevent.sleep(0.05)
        sock.close()  # unread bytes: the kernel sends a reset

    result = request(ConnectionPools(MonotonicClock()), serve(handle), b"a body that is never read")
    assert isinstance(result, Lost)


def test_a_connection_with_unread_bytes_is_not_reused(serve):
    """A faulty server sends a second answer after the first.

    If the connection were reused, the next caller would get that answer.
    """
    pools = ConnectionPools(MonotonicClock())
    address = serve(
        answer_with(
            COMPLETE_ANSWER + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", COMPLETE_ANSWER
        )
    )
    assert request(pools, address).body == b"ok"
    assert request(pools, address).body == b"ok"
    assert pools.opened_count == 2


def test_a_connection_that_received_bytes_while_idle_is_not_reused(serve):
    def handle(sock: socket.socket) -> None:
        sock.recv(65_536)
        sock.sendall(COMPLETE_ANSWER)
        gevent.sleep(0.05)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
        gevent.sleep(5)

    pools = ConnectionPools(MonotonicClock())
    address = serve(handle)
    assert request(pools, address).body == b"ok"
    gevent.sleep(0.1)
    assert request(pools, address).body == b"ok"
    assert pools.opened_count == 2


def test_informational_answers_are_skipped(serve):
    interim = b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"
    assert (
        request(
            ConnectionPools(MonotonicClock()), serve(answer_with(interim * 2 + COMPLETE_ANSWER))
        ).body
        == b"ok"
    )


def test_a_server_may_answer_before_it_has_read_a_long_body(serve):
    """The server refuses a long body after its first bytes and keeps the connection.

    The answer is read immediately, and the rest of the body is not sent as part of the next
    request.
    """

    def handle(sock: socket.socket) -> None:
        sock.recv(1_000)
        sock.sendall(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
        gevent.sleep(3)

    pools = ConnectionPools(MonotonicClock())
    address = serve(handle)
    result = request(pools, address, b"x" * 8_000_000, 2_000)
    assert isinstance(result, Answer)
    assert result.head.status == 413
    request(pools, address, b"", 200)
    assert pools.opened_count == 2


def test_a_request_is_never_retried_by_the_client(serve):
    """The server receives a request on a reused connection and closes without an answer.

    Whether the request ran is unknown; only the caller may decide to retry it.
    """
    received = []

    def handle(sock: socket.socket) -> None:
        while data := sock.recv(65_536):
            received.append(data)
            if len(received) == 2:
                sock.close()
                return
            sock.sendall(COMPLETE_ANSWER)

    pools = ConnectionPools(MonotonicClock())
    address = serve(handle)
    request(pools, address)
    result = request(pools, address)
    assert isinstance(result, Lost)
    assert result.sent
    assert len(received) == 2


def test_a_request_without_a_connection_counts_as_not_sent():
    result = request(ConnectionPools(MonotonicClock()), "127.0.0.1:1")
    assert isinstance(result, Lost)
    assert not result.sent


def test_answers_to_head_and_with_status_204_end_with_their_head(serve):
    pools = ConnectionPools(MonotonicClock())
    address = serve(answer_with(b"HTTP/1.1 204 No Content\r\n\r\n"))
    assert request(pools, address).head.status == 204
    head_address = serve(answer_with(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"))
    connection = pools.acquire(head_address, head_address)
    connection.send(b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", b"", is_head_request=True)
    deadline_ms = MonotonicClock().now_ms() + 500
    assert connection.read_head(deadline_ms).status == 200
    assert connection.read_piece(deadline_ms) is None
    assert not connection.is_reusable()


def test_an_idle_connection_is_readable_only_after_the_server_closes_it(serve):
    address = serve(lambda sock: gevent.sleep(0.1))
    sock = socket.create_connection(("127.0.0.1", int(address.rpartition(":")[2])))
    assert not is_readable(sock)
    gevent.sleep(0.2)
    assert is_readable(sock)


def test_a_call_times_out_when_the_server_does_not_answer(serve):
    result = request(
        ConnectionPools(MonotonicClock()), serve(lambda sock: gevent.sleep(5)), timeout_ms=100
    )
    assert isinstance(result, Lost)
    assert result.sent
    assert not isinstance(result, BrokenAnswer)


def test_a_large_answer_that_is_still_arriving_is_read_beyond_the_timeout(serve):
    """A configuration on a slow link was given up after the timeout and never received."""

    def handle(sock: socket.socket) -> None:
        sock.recv(65_536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
        for _ in range(10):
            gevent.sleep(0.05)
            sock.sendall(b"x")

    pools = ConnectionPools(MonotonicClock())
    answer = call(pools, serve(handle), "GET", "/x", b"", 200, body_gap_ms=200)
    assert isinstance(answer, Answer)
    assert answer.body == b"x" * 10


@pytest.mark.parametrize(("gap_ms", "within_ms"), [(100, 600), (None, 400)])
def test_an_answer_that_stops_in_its_body_is_given_up(serve, gap_ms, within_ms):
    """A connection that has gone silent must not hold up the next request for changes."""

    def handle(sock: socket.socket) -> None:
        sock.recv(65_536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nx")
        gevent.sleep(5)

    pools, started_ms = ConnectionPools(MonotonicClock()), MonotonicClock().now_ms()
    answer = call(pools, serve(handle), "GET", "/x", b"", 300, body_gap_ms=gap_ms)
    assert isinstance(answer, Lost)
    assert MonotonicClock().now_ms() - started_ms < within_ms


def test_a_request_is_not_sent_twice_on_one_connection(serve):
    """Its first answer could come once more, and be taken for the answer to the second attempt."""
    pools = ConnectionPools(MonotonicClock())
    address = serve(lambda _: gevent.sleep(5))
    first = pools.acquire("s", address, request_id="r")
    first.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"", request_id="r")
    second = pools.acquire("s", address, request_id="other")
    for connection in (second, first):
        pools.add_idle("s", connection)
    assert pools.acquire("s", address, request_id="r") is second
    assert pools.acquire("s", address, request_id="r") not in (first, second)
    assert pools.acquire("s", address, request_id="next") is first


def test_a_connection_is_replaced_before_it_has_too_many_requests_to_remember(serve):
    connection = ConnectionPools(MonotonicClock()).acquire("s", serve(lambda _: gevent.sleep(5)))
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    connection._reader.feed(answer)  # noqa: SLF001
    connection.read_piece(0)
    for number in range(MAX_REQUESTS_PER_CONNECTION):
        assert connection.is_reusable()
        connection.send(b"", b"", request_id=f"r{number}")
    assert not connection.is_reusable()


def test_a_keep_alive_timeout_of_thousands_of_digits_is_ignored(serve_raw):
    """The request's task failed at it after a complete answer."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=%s\r\n\r\n" % (
        b"9" * 5_000
    )
    server = serve_raw(head + b"ok")
    answer = call(ConnectionPools(MonotonicClock()), server.address, "GET", "/", b"", 1_000)
    assert isinstance(answer, Answer)
    assert answer.body == b"ok"
