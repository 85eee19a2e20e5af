"""What callers send: the strict reading of requests, against raw sockets."""

from __future__ import annotations

import time

import gevent
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.codec import RequestReader
from monsoonflow.transport.models import BadMessage, CallerLeft, MessageLimits, Request
from monsoonflow.transport.server import Reply

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
SECOND = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

REFUSED = {
    "length and chunks": HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunks and length": HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    "two lengths": HEAD + b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
    "the same length twice": HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "a list of lengths": HEAD + b"Content-Length: 3, 3\r\n\r\nabc",
    "a signed length": HEAD + b"Content-Length: +3\r\n\r\nabc",
    "a hexadecimal length": HEAD + b"Content-Length: 0x3\r\n\r\nabc",
    "a space before the colon": HEAD + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    "an unknown coding": HEAD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "two codings": HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "codings in two headers": HEAD
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    "chunks in HTTP/1.0": b"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n",
    "a folded header": HEAD + b"X-A: a\r\n b\r\n\r\n",
    "a bare line feed": b"GET / HTTP/1.1\nHost: h\n\n",
    "a bare carriage return": HEAD + b"X-A: a\rb\r\n\r\n",
    "a zero byte": HEAD + b"X-A: a\x00b\r\n\r\n",
    "a chunk that is too long": HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
    "a space in a chunk's size": HEAD + b"Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "an empty host": b"GET / HTTP/1.1\r\nHost:\r\n\r\n",
    "an absolute target": b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
    "a fragment": b"GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n",
    "an upgrade": b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n",
    "no protocol": b"GET /a\r\n\r\n",
    "an unknown method": b"FOO / HTTP/1.1\r\nHost: h\r\n\r\n",
}


@pytest.mark.parametrize("name", REFUSED)
def test_what_two_readers_could_understand_differently_is_refused(listen, name):
    """A request smuggled inside another would run under a caller's name who never sent it.

    The port answers 400 and closes; neither the request nor what follows is handed on.
    """
    port = listen()
    answer = port.exchange(REFUSED[name] + SECOND)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"Connection: close" in answer
    assert port.taken == []


def test_target_headers_and_body_are_handed_on_as_sent(listen):
    port = listen()
    port.exchange(
        b"POST /a%2Fb//c/%e2?x=%20 HTTP/1.1\r\nHost: h\r\nX-B: 1\r\nx-a: 2\r\nX-B: 3\r\n"
        b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer-X: 1\r\n\r\n"
    )
    request = port.taken[0]
    assert request.target == b"/a%2Fb//c/%e2?x=%20"
    assert request.values(b"x-b") == [b"1", b"3"]
    assert [name for name, _ in request.headers][:4] == [b"Host", b"X-B", b"x-a", b"X-B"]
    assert request.body == b"abcde"
    assert request.values(b"trailer-x") == []


def test_requests_sent_at_once_are_answered_in_order(listen):
    port = listen()
    two = (
        b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    answer = port.exchange(two)
    assert answer.index(b"/1|") < answer.index(b"/2|")


def test_a_head_that_is_too_large_is_refused(listen):
    port = listen(limits=MessageLimits(head_bytes=500))
    assert port.exchange(HEAD + b"X: " + b"a" * 600 + b"\r\n\r\n").startswith(b"HTTP/1.1 431")
    assert port.exchange(HEAD + b"X: " + b"a" * 600).startswith(b"HTTP/1.1 431")
    assert port.taken == []


def test_a_body_that_is_too_large_is_refused_before_it_comes(listen):
    port = listen(limits=MessageLimits(body_bytes=10))
    head = HEAD + b"Expect: 100-continue\r\nContent-Length: 11\r\n\r\n"
    assert port.exchange(head).startswith(b"HTTP/1.1 413")
    chunks = HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\nabcdef\r\n0\r\n\r\n"
    assert port.exchange(chunks).startswith(b"HTTP/1.1 413")
    assert port.taken == []


def test_a_caller_that_waits_for_the_word_to_go_on_gets_it(listen):
    port = listen()
    sock = port.connect()
    sock.sendall(HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\nConnection: close\r\n\r\n")
    assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
    sock.sendall(b"abc")
    assert b"/a|abc" in sock.recv(1_000)


def test_a_head_that_never_ends_is_given_up(listen):
    port = listen(limits=MessageLimits(head_ms=150))
    assert port.exchange(b"GET / HTTP/1.1\r\nHo").startswith(b"HTTP/1.1 408")


def test_a_caller_that_leaves_is_noticed_at_once(listen):
    """A caller closes while its request waits for a runner.

    The handler is woken within 100 ms, so that the runner's connection is closed and its work ends.
    """
    left_after = []

    def wait(request: Request, reply: Reply) -> None:
        try:
            gevent.sleep(5)
        except CallerLeft:
            left_after.append(time.monotonic() - started)
            raise

    port = listen(wait)
    sock = port.connect()
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    gevent.sleep(0.05)
    started = time.monotonic()
    sock.close()
    gevent.sleep(0.15)
    assert left_after
    assert left_after[0] < 0.1


def test_an_answer_that_was_not_finished_does_not_look_complete(listen):
    def cut(request: Request, reply: Reply) -> None:
        reply.begin(200, [], None, body=b"part")

    answer = listen(cut).exchange(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"part" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_a_port_that_stops_says_so_and_ends_idle_connections(listen):
    port = listen()
    kept = port.connect()
    kept.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"Keep-Alive" in kept.recv(1_000)
    port.port.stop_keep_alive()
    kept.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"Connection: close" in kept.recv(1_000)
    assert kept.recv(1_000) == b""


@given(st.binary(max_size=400), st.integers(1, 40))
@settings(max_examples=300, derandomize=True, suppress_health_check=list(HealthCheck))
def test_no_bytes_break_the_reader(data, step):
    reader = RequestReader(MessageLimits())
    try:
        for start in range(0, len(data), step):
            reader.feed(data[start : start + step], 0)
    except BadMessage as error:
        assert 400 <= error.status < 500


@given(st.integers(1, 30), st.sampled_from(sorted(REFUSED)))
@settings(max_examples=200, derandomize=True)
def test_what_is_refused_whole_is_refused_in_pieces(step, name):
    reader = RequestReader(MessageLimits())
    data = REFUSED[name]
    with pytest.raises(BadMessage):
        for start in range(0, len(data), step):
            reader.feed(data[start : start + step], MonotonicClock().now_ms())
            assert not reader.complete_requests
        raise BadMessage(400, "incomplete")


def test_a_fault_of_our_own_is_told_and_answered(listen, caplog):
    """A handler raises what nobody expects.

    The caller gets an answer that promises nothing, the log tells where, and the port goes on.
    """

    def faulty(request: Request, reply: Reply) -> None:
        raise KeyError("a fault")

    port = listen(faulty)
    for _ in range(2):
        answer = port.exchange(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 500 ")
    assert "event=handler_failed" in caplog.text
