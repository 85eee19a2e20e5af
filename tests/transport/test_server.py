"""Tests of the HTTP server with raw sockets: strict parsing, limits and closed connections."""

from __future__ import annotations

import logging
import subprocess
import sys
import time

import gevent
import pytest
from gevent import socket
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.logs.sampling import MAX_LINES_PER_SECOND
from monsoonflow.transport.models import BadMessage, CallerLeft, MessageLimits, Request
from monsoonflow.transport.reply import Reply
from monsoonflow.transport.request_reader import RequestReader
from script.ports import free_port

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
SECOND_REQUEST = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

REJECTED_REQUESTS = {
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


@pytest.mark.parametrize("name", REJECTED_REQUESTS)
def test_ambiguous_or_malformed_requests_are_rejected(listen, name):
    """A request smuggled inside another one would run in the name of a caller who never sent it.

    The server answers 400 and closes; neither the request nor what follows reaches the handler.
    """
    running = listen()
    answer = running.exchange(REJECTED_REQUESTS[name] + SECOND_REQUEST)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"Connection: close" in answer
    assert running.requests == []


def test_target_headers_and_body_reach_the_handler_as_sent(listen):
    running = listen()
    running.exchange(
        b"POST /a%2Fb//c/%e2?x=%20 HTTP/1.1\r\nHost: h\r\nX-B: 1\r\nx-a: 2\r\nX-B: 3\r\n"
        b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer-X: 1\r\n\r\n"
    )
    request = running.requests[0]
    assert request.target == b"/a%2Fb//c/%e2?x=%20"
    assert request.values(b"x-b") == [b"1", b"3"]
    assert [name for name, _ in request.headers][:4] == [b"Host", b"X-B", b"x-a", b"X-B"]
    assert request.body == b"abcde"
    assert request.values(b"trailer-x") == []


def test_pipelined_requests_are_answered_in_order(listen):
    running = listen()
    two = (
        b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    answer = running.exchange(two)
    assert answer.index(b"/1|") < answer.index(b"/2|")


def test_a_head_that_is_too_large_is_rejected(listen):
    running = listen(limits=MessageLimits(head_bytes=500))
    assert running.exchange(HEAD + b"X: " + b"a" * 600 + b"\r\n\r\n").startswith(b"HTTP/1.1 431")
    assert running.exchange(HEAD + b"X: " + b"a" * 600).startswith(b"HTTP/1.1 431")
    assert running.requests == []


def test_a_body_that_is_too_large_is_rejected_before_it_is_received(listen):
    running = listen(limits=MessageLimits(body_bytes=10))
    head = HEAD + b"Expect: 100-continue\r\nContent-Length: 11\r\n\r\n"
    assert running.exchange(head).startswith(b"HTTP/1.1 413")
    chunks = HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\nabcdef\r\n0\r\n\r\n"
    assert running.exchange(chunks).startswith(b"HTTP/1.1 413")
    assert running.requests == []


def test_a_caller_that_expects_100_continue_gets_it(listen):
    running = listen()
    sock = running.connect()
    sock.sendall(HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\nConnection: close\r\n\r\n")
    assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
    sock.sendall(b"abc")
    assert b"/a|abc" in sock.recv(1_000)


def test_a_head_that_never_ends_times_out(listen):
    running = listen(limits=MessageLimits(head_ms=150))
    assert running.exchange(b"GET / HTTP/1.1\r\nHo").startswith(b"HTTP/1.1 408")


def test_a_handler_ends_within_100_ms_when_its_caller_closes_the_connection(listen):
    """A caller closes its connection while its request waits for a runner.

    The handler ends within 100 ms, so that it closes the connection to the runner, which then stops
    working on the request.
    """
    ended_after_s = []

    def wait(request: Request, reply: Reply) -> None:
        try:
            gevent.sleep(5)
        except CallerLeft:
            ended_after_s.append(time.monotonic() - started)
            raise

    running = listen(wait)
    sock = running.connect()
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    gevent.sleep(0.05)
    started = time.monotonic()
    sock.close()
    gevent.sleep(0.15)
    assert ended_after_s
    assert ended_after_s[0] < 0.1


def test_an_unfinished_answer_does_not_look_complete(listen):
    def answer_partly(request: Request, reply: Reply) -> None:
        reply.begin(200, [], None, body=b"part")

    answer = listen(answer_partly).exchange(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"part" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_a_stopping_server_announces_it_and_closes_connections(listen):
    running = listen()
    sock = running.connect()
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"Keep-Alive" in sock.recv(1_000)
    running.server.stop_keep_alive()
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"Connection: close" in sock.recv(1_000)
    assert sock.recv(1_000) == b""


@given(st.binary(max_size=400), st.integers(1, 40))
@settings(max_examples=300, derandomize=True, suppress_health_check=list(HealthCheck))
def test_arbitrary_bytes_raise_only_bad_message(data, piece_bytes):
    reader = RequestReader(MessageLimits())
    try:
        for start in range(0, len(data), piece_bytes):
            reader.feed(data[start : start + piece_bytes], 0)
            while reader.has_request:
                reader.take_request()
                reader.release_request()
                reader.feed(b"", 0)
    except BadMessage as error:
        assert 400 <= error.status < 500


@given(st.integers(1, 30), st.sampled_from(sorted(REJECTED_REQUESTS)))
@settings(max_examples=200, derandomize=True)
def test_ambiguous_or_malformed_requests_are_rejected_when_received_in_pieces(piece_bytes, name):
    reader = RequestReader(MessageLimits())
    data = REJECTED_REQUESTS[name]
    with pytest.raises(BadMessage):
        for start in range(0, len(data), piece_bytes):
            reader.feed(data[start : start + piece_bytes], MonotonicClock().now_ms())
            assert not reader.has_request
        raise BadMessage(400, "incomplete")


def test_a_request_behind_another_one_is_parsed_after_its_answer():
    """Parsed ahead, 60 KB of small requests took ten times their size while the first waited."""
    reader = RequestReader(MessageLimits())
    first = (
        b"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\n\r\n\r\n\r\n0\r\n\r\n"
    )
    second = b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
    third = b"GET /3 HTTP/1.1\r\nHost: h\r\n\r\n"
    received = first + second + third
    reader.feed(received, 0)
    taken = []
    for behind in (second + third, third, b""):
        request = reader.take_request()
        assert reader.unparsed_bytes == len(behind)
        assert reader.held_bytes == request.size + len(behind)
        reader.release_request()
        reader.feed(b"", 0)
        taken.append((request.target, request.body))
    assert taken == [(b"/1", b"\r\n\r\n"), (b"/2", b"ab"), (b"/3", b"")]
    assert not reader.has_request
    assert reader.held_bytes == 0


BODIES = st.lists(
    st.lists(st.sampled_from([b"\r\n", b"0", b"a", b"\r\n0\r\n\r\n", b"\r\n\r\n"]), max_size=8),
    min_size=1,
    max_size=4,
)


def encode_request(number, pieces, is_chunked):
    head = b"POST /%d HTTP/1.1\r\nHost: h\r\n" % number
    if not is_chunked:
        body = b"".join(pieces)
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


@given(BODIES, st.lists(st.booleans(), min_size=4, max_size=4), st.integers(1, 60))
@settings(max_examples=400, derandomize=True)
def test_requests_behind_one_another_are_told_apart(bodies, are_chunked, piece_bytes):
    """Bodies that look like the end of a request, or like another one, in reads of any size."""
    data = b"".join(
        encode_request(number, pieces, are_chunked[number]) for number, pieces in enumerate(bodies)
    )
    reader = RequestReader(MessageLimits())
    taken = []
    for start in range(0, len(data), piece_bytes):
        reader.feed(data[start : start + piece_bytes], 0)
        while reader.has_request:
            request = reader.take_request()
            taken.append((request.target, request.body))
            reader.release_request()
            reader.feed(b"", 0)
    assert taken == [(b"/%d" % number, b"".join(body)) for number, body in enumerate(bodies)]


def test_blank_lines_in_a_body_do_not_divide_what_is_parsed(monkeypatch):
    """A body of blank lines was parsed four bytes at a time: 93 ms for 64 KB."""
    parts = []
    parse = RequestReader._parse  # noqa: SLF001
    monkeypatch.setattr(
        RequestReader,
        "_parse",
        lambda self, data, now: (parts.append(data), parse(self, data, now)),
    )
    reader = RequestReader(MessageLimits())
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader.feed(head + b"10000\r\n" + b"\r\n" * 32_768 + b"\r\n0\r\n\r\n", 0)
    assert len(reader.take_request().body) == 65_536
    assert len(parts) < 10


def test_an_unexpected_exception_is_logged_and_answered_with_500(listen, caplog):
    """A handler raises an unexpected exception.

    The caller gets a 500, the error is logged, and the server continues to serve.
    """

    def fail(request: Request, reply: Reply) -> None:
        raise KeyError("a fault")

    running = listen(fail)
    for _ in range(2):
        answer = running.exchange(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 500 ")
    assert "event=handler_failed" in caplog.text


ENDS_WITH_CONNECTION = """
import gevent
from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.models import MessageLimits
from monsoonflow.transport.server import HttpServer

def answer(request, reply):
    reply.begin(200, [], None, None, b"half", ends_with_connection=True)
    gevent.sleep(10)

HttpServer("{address}", answer, MessageLimits, MonotonicClock()).start()
gevent.sleep(10)
"""


def test_an_answer_that_ends_with_its_connection_has_neither_a_length_nor_chunks(listen):
    running = listen(lambda _, reply: reply.send_whole(200, [], b"all", ends_with_connection=True))
    received = running.exchange(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    head, _, body = received.partition(b"\r\n\r\n")
    assert body == b"all"
    assert b"Connection: close" in head
    assert b"content-length" not in head.lower()
    assert b"transfer-encoding" not in head.lower()


@pytest.mark.parametrize("size", [100_000, 6_000_000])
def test_a_slow_caller_gets_all_of_an_answer_that_ends_with_its_connection(listen, size):
    """The close after a complete answer discarded what the caller had not read yet."""
    running = listen(
        lambda _, reply: reply.send_whole(200, [], b"x" * size, ends_with_connection=True)
    )
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect(("127.0.0.1", running.port))
    sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    gevent.sleep(1.2)
    received = b""
    while piece := sock.recv(65_536):
        received += piece
    assert len(received.partition(b"\r\n\r\n")[2]) == size


def test_an_unfinished_answer_that_ends_with_its_connection_is_reset(listen):
    """An orderly close would make it look complete."""

    def fail(_, reply):
        reply.begin(200, [], None, None, b"half", ends_with_connection=True)

    sock = listen(fail).connect()
    sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    with pytest.raises(ConnectionResetError):
        while sock.recv(65_536):
            pass


def test_an_answer_that_ends_with_its_connection_is_reset_when_the_process_is_killed():
    """The kernel closes the connections of a killed process in order, which looked complete."""
    port = free_port()
    code = ENDS_WITH_CONNECTION.format(address=f"127.0.0.1:{port}")
    process = subprocess.Popen([sys.executable, "-c", code])
    try:
        sock = _connect_when_listening(port)
        sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        received = b""
        while not received.endswith(b"half"):
            received += sock.recv(65_536)
        process.kill()
        with pytest.raises(ConnectionResetError):
            sock.recv(65_536)
    finally:
        process.kill()
        process.wait()


def _connect_when_listening(port):
    for _ in range(200):
        try:
            return socket.create_connection(("127.0.0.1", port), timeout=5)
        except ConnectionRefusedError:
            gevent.sleep(0.05)
    raise TimeoutError


def answer_in_pieces(_request, reply):
    reply.begin(200, [], None)
    reply.write(b"piece")
    reply.finish()


@pytest.mark.parametrize(
    "handler",
    [
        lambda _request, reply: reply.send_whole(404, [], b"no route"),
        lambda _request, reply: reply.send_whole(503, [(b"Retry-After", b"1")], b"stopping"),
        lambda _request, reply: reply.send_whole(200, [], b"body"),
        answer_in_pieces,
    ],
)
def test_an_answer_to_a_head_request_has_no_body(listen, handler):
    """Its bytes were taken for the next answer on the connection."""
    running = listen(handler)
    requests = b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" * 2
    received = running.exchange(
        requests + b"HEAD /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    heads = received.split(b"\r\n\r\n")
    assert len(heads) == 4
    assert heads.pop() == b""
    assert all(head.startswith(b"HTTP/1.1 ") for head in heads)


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_whose_status_allows_no_body_has_none(listen, status):
    running = listen(lambda _request, reply: reply.send_whole(status, [], b"body"))
    received = running.exchange(b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    assert received.partition(b"\r\n\r\n")[2] == b""
    assert b"Content-Length" not in received


@pytest.mark.parametrize(("before", "after", "status"), [(10, 1_000, b"200"), (1_000, 10, b"413")])
def test_changed_limits_hold_on_kept_connections(listen, before, after, status):
    """A kept connection went on with the limits of the configuration under which it was opened."""
    limits = [MessageLimits(body_bytes=before)]
    running = listen(limits=limits)
    sock = running.connect()
    sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert sock.recv(1_000).startswith(b"HTTP/1.1 200")
    gevent.sleep(0.05)
    limits[0] = MessageLimits(body_bytes=after)
    sock.sendall(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + b"x" * 100)
    assert sock.recv(1_000).startswith(b"HTTP/1.1 " + status)


def test_a_crowd_of_rejected_messages_writes_a_bounded_number_of_lines(listen, caplog):
    """Each refusal wrote a line: callers that nobody controls filled the log."""
    caplog.set_level(logging.INFO)
    running = listen()
    for _ in range(10 * MAX_LINES_PER_SECOND):
        assert running.exchange(b"GET / HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 400")
    seconds = len({int(record.created) for record in caplog.records}) + 1
    lines = [record for record in caplog.records if "event=bad_message" in record.getMessage()]
    assert MAX_LINES_PER_SECOND <= len(lines) <= MAX_LINES_PER_SECOND * seconds
