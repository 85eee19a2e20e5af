"""What servers answer: only a whole answer to this request is ever taken for one."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.client import Answer, ConnectionPools, call
from monsoonflow.transport.models import BrokenAnswer, Lost
from monsoonflow.transport.sockets import is_readable

CODED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def serve() -> Iterator[Callable[[Callable], str]]:
    """Return a function that starts a server from what it does with a connection."""
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


def answering(*answers: bytes, end: bool = False) -> Callable[[socket.socket], None]:
    """Return a server that sends one of the answers to each request."""

    def handle(sock: socket.socket) -> None:
        for answer in answers:
            if not sock.recv(65_536):
                return
            sock.sendall(answer)
        if not end:
            gevent.sleep(5)

    return handle


def ask(
    pools: ConnectionPools, address: str, body: bytes = b"", timeout_ms: int = 500
) -> Answer | Lost:
    return call(pools, address, "POST", "/x", body, timeout_ms)


BROKEN = {
    "bytes that are no answer": b"garbage\r\n\r\n",
    "a body that ends early": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
    "chunks that end early": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
    "length and chunks": CODED + b"chunked\r\nContent-Length: 2\r\n\r\n",
    "a coding besides chunked": CODED + b"gzip, chunked\r\n\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_answer_is_never_a_whole_one(serve, name):
    result = ask(ConnectionPools(MonotonicClock()), serve(answering(BROKEN[name], end=True)))
    assert isinstance(result, Lost)
    assert result.sent


def test_an_answer_without_length_ends_with_its_connection(serve):
    address = serve(answering(b"HTTP/1.1 200 OK\r\n\r\nall of it", end=True))
    result = ask(ConnectionPools(MonotonicClock()), address)
    assert isinstance(result, Answer)
    assert result.body == b"all of it"


def test_an_answer_without_length_that_is_reset_is_not_whole(serve):
    """The server's process dies in the middle of an answer that has no length.

    Its kernel resets the connection; taken for an end, half an answer would look whole.
    """

    def handle(sock: socket.socket) -> None:
        sock.recv(10)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        gevent.sleep(0.05)
        sock.close()  # unread bytes: the kernel sends a reset

    result = ask(ConnectionPools(MonotonicClock()), serve(handle), b"a body that is never read")
    assert isinstance(result, Lost)


def test_a_connection_with_bytes_left_over_is_not_used_again(serve):
    """A faulty server sends a second answer after the first.

    Used again, the connection would give it to the next caller.
    """
    pools = ConnectionPools(MonotonicClock())
    address = serve(answering(WHOLE + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", WHOLE))
    assert ask(pools, address).body == b"ok"
    assert ask(pools, address).body == b"ok"
    assert pools.opened_count == 2


def test_a_connection_on_which_something_came_while_it_rested_is_not_used_again(serve):
    def handle(sock: socket.socket) -> None:
        sock.recv(65_536)
        sock.sendall(WHOLE)
        gevent.sleep(0.05)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
        gevent.sleep(5)

    pools = ConnectionPools(MonotonicClock())
    address = serve(handle)
    assert ask(pools, address).body == b"ok"
    gevent.sleep(0.1)
    assert ask(pools, address).body == b"ok"
    assert pools.opened_count == 2


def test_informational_answers_are_passed_over(serve):
    interim = b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"
    assert (
        ask(ConnectionPools(MonotonicClock()), serve(answering(interim * 2 + WHOLE))).body == b"ok"
    )


def test_a_server_may_answer_before_it_has_read_a_long_body(serve):
    """The server refuses a long body after its first bytes and keeps the connection.

    The answer is read at once, and the rest of the body is not sent as the next request's bytes.
    """

    def handle(sock: socket.socket) -> None:
        sock.recv(1_000)
        sock.sendall(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
        gevent.sleep(3)

    pools = ConnectionPools(MonotonicClock())
    address = serve(handle)
    result = ask(pools, address, b"x" * 8_000_000, 2_000)
    assert isinstance(result, Answer)
    assert result.head.status == 413
    ask(pools, address, b"", 200)
    assert pools.opened_count == 2


def test_nothing_is_sent_twice(serve):
    """The server takes a request on a kept connection and closes without an answer.

    Whether it ran is unknown; only the caller may decide to send it again.
    """
    taken = []

    def handle(sock: socket.socket) -> None:
        while data := sock.recv(65_536):
            taken.append(data)
            if len(taken) == 2:
                sock.close()
                return
            sock.sendall(WHOLE)

    pools = ConnectionPools(MonotonicClock())
    address = serve(handle)
    ask(pools, address)
    result = ask(pools, address)
    assert isinstance(result, Lost)
    assert result.sent
    assert len(taken) == 2


def test_no_connection_means_nothing_was_sent():
    result = ask(ConnectionPools(MonotonicClock()), "127.0.0.1:1")
    assert isinstance(result, Lost)
    assert not result.sent


def test_head_and_bodiless_answers_end_with_their_head(serve):
    pools = ConnectionPools(MonotonicClock())
    address = serve(answering(b"HTTP/1.1 204 No Content\r\n\r\n"))
    assert ask(pools, address).head.status == 204
    head = serve(answering(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"))
    connection = pools.acquire(head, head)
    connection.send(b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", b"", is_head_request=True)
    until_ms = MonotonicClock().now_ms() + 500
    assert connection.read_head(until_ms).status == 200
    assert connection.read_piece(until_ms) is None
    assert not connection.is_reusable()


def test_a_quiet_connection_is_told_from_one_that_ended(serve):
    address = serve(lambda sock: gevent.sleep(0.1))
    sock = socket.create_connection(("127.0.0.1", int(address.rpartition(":")[2])))
    assert not is_readable(sock)
    gevent.sleep(0.2)
    assert is_readable(sock)


def test_silence_ends_a_call_in_time(serve):
    result = ask(
        ConnectionPools(MonotonicClock()), serve(lambda sock: gevent.sleep(5)), timeout_ms=100
    )
    assert isinstance(result, Lost)
    assert result.sent
    assert not isinstance(result, BrokenAnswer)
