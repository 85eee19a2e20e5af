"""Tests of the bounds on what a node holds for callers and servers that read slowly."""

from __future__ import annotations

import gc
import tracemalloc
from pathlib import Path

import attrs
import gevent
import pytest
from gevent import socket

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.answer_reader import AnswerReader
from monsoonflow.transport.client import ConnectionPools, _read_body
from monsoonflow.transport.held_bytes import (
    SMALL_REQUEST_BYTES,
    AnswerBytes,
    HeldBytes,
    RequestBytes,
)
from monsoonflow.transport.models import MessageLimits, Request
from monsoonflow.transport.reply import Reply
from monsoonflow.transport.server import HttpServer
from script.ports import free_port

PIECE = b"x" * 65_536
LIMIT_BYTES = 1 << 20
SLOW_CALLERS = 60
READ_PIECES = 200


@attrs.define(eq=False)
class RecordedSender:
    """A connection that records whether its send was ended."""

    ended: bool = False

    def end_slow_send(self) -> None:
        """Record it."""
        self.ended = True


@pytest.fixture
def senders() -> list[RecordedSender]:
    """Return five connections."""
    return [RecordedSender() for _ in range(5)]


def test_the_sends_that_are_in_progress_for_the_longest_are_ended_first(senders):
    """A caller that reads has a send in progress for a moment only, and must lose nothing."""
    answers = AnswerBytes(max_bytes=300)
    for sender in senders[:3]:
        answers.begin_send(sender, 100)
    answers.end_send(senders[0])
    answers.begin_send(senders[0], 100)
    answers.begin_send(senders[3], 100)
    assert [sender.ended for sender in senders] == [False, True, False, False, False]
    assert (answers.total, answers.ended_count) == (300, 1)
    answers.end_send(senders[1])
    assert answers.total == 300


def test_a_single_large_send_is_not_ended(senders):
    """The configuration of a peer may be larger than the limit; it is held for one connection."""
    answers = AnswerBytes(max_bytes=300)
    answers.begin_send(senders[0], 1_000)
    assert not senders[0].ended


def test_what_is_kept_counts_until_it_is_released(senders):
    """An incomplete event of 1 MB for each of hundreds of streams would use up the memory."""
    answers = AnswerBytes(max_bytes=300)
    assert answers.keep(senders[0], 200)
    assert answers.keep(senders[0], 250)
    assert not answers.keep(senders[1], 100)
    assert answers.keep(senders[0], 50)
    assert answers.keep(senders[1], 100)
    answers.begin_send(senders[2], 100)
    answers.begin_send(senders[3], 100)
    assert [sender.ended for sender in senders[:4]] == [False, False, True, False]
    for sender in senders:
        answers.release(sender)
        answers.end_send(sender)
    assert answers.total == 0


def test_large_bodies_do_not_keep_out_small_ones():
    """Large bodies for a server that reads slowly must not refuse typical requests for others."""
    requests = RequestBytes(max_bytes=10 * SMALL_REQUEST_BYTES)
    held = [requests.hold(number, 2 * SMALL_REQUEST_BYTES) for number in range(50)]
    assert sum(held) == 5
    small = [requests.hold(f"small{number}", SMALL_REQUEST_BYTES) for number in range(50)]
    assert sum(small) == 10
    assert requests.total == requests.peak == 20 * SMALL_REQUEST_BYTES
    for number in range(50):
        requests.hold(number, 0)
        requests.hold(f"small{number}", 0)
    assert requests.total == 0


def test_a_body_that_grows_becomes_a_large_one():
    """A body is received in pieces: its size is not known in advance if it is sent in chunks."""
    requests = RequestBytes(max_bytes=3 * SMALL_REQUEST_BYTES)
    assert requests.hold("a", 3 * SMALL_REQUEST_BYTES)
    assert [requests.hold("b", size * SMALL_REQUEST_BYTES) for size in (1, 2, 1)] == [
        True,
        False,
        True,
    ]
    assert requests.total == 4 * SMALL_REQUEST_BYTES


def test_one_body_is_held_whatever_its_size():
    """The operator may allow bodies that are larger than the limit for all together."""
    requests = RequestBytes(max_bytes=100)
    assert requests.hold("a", 10 * SMALL_REQUEST_BYTES)
    assert not requests.hold("b", 2 * SMALL_REQUEST_BYTES)


@attrs.define(eq=False)
class RecordedReceiver:
    """A connection that records whether its incomplete request was ended."""

    ended: bool = False

    def end_receive(self) -> None:
        """Record it."""
        self.ended = True


def test_the_requests_that_are_incomplete_for_the_longest_make_room():
    """Callers that stopped just short of the end of their bodies kept out all others."""
    requests = RequestBytes(max_bytes=1_000)
    receivers = [RecordedReceiver() for _ in range(4)]
    assert requests.hold("complete", 100)
    for receiver in receivers[:3]:
        requests.begin_receive(receiver)
        assert requests.hold(receiver, 300)
    requests.end_receive(receivers[0])
    requests.begin_receive(receivers[3])
    assert requests.hold(receivers[3], 200)
    assert [receiver.ended for receiver in receivers] == [False, True, False, False]
    assert requests.total == 900
    assert requests.ended_count == 1


def test_a_request_without_an_older_incomplete_one_is_refused():
    """What is complete may be at a server, and the newest must not be ended for an older one."""
    requests = RequestBytes(max_bytes=1_000)
    older, newer = RecordedReceiver(), RecordedReceiver()
    assert requests.hold("complete", 800)
    requests.begin_receive(older)
    requests.begin_receive(newer)
    assert requests.hold(newer, 100)
    assert not requests.hold(older, 300)
    assert not newer.ended
    assert requests.total == 900


def test_small_incomplete_requests_make_no_room_for_large_ones():
    requests = RequestBytes(max_bytes=3 * SMALL_REQUEST_BYTES)
    small = RecordedReceiver()
    requests.begin_receive(small)
    assert requests.hold(small, 100)
    assert requests.hold("a", 2 * SMALL_REQUEST_BYTES)
    assert not requests.hold("b", 2 * SMALL_REQUEST_BYTES)
    assert not small.ended


@attrs.define
class LimitedServer:
    """A server with small bounds."""

    server: HttpServer
    held: HeldBytes
    port: int

    def connect(self, data: bytes) -> socket.socket:
        """Return a connection over which a request was sent."""
        connection = socket.create_connection(("127.0.0.1", self.port), timeout=10)
        connection.sendall(data)
        return connection


@pytest.fixture
def listen_limited():
    """Return a function that starts a server with small bounds."""
    servers: list[HttpServer] = []

    def start(handler) -> LimitedServer:
        held = HeldBytes(AnswerBytes(LIMIT_BYTES), RequestBytes(LIMIT_BYTES))
        port = free_port()
        server = HttpServer(
            f"127.0.0.1:{port}", handler, MessageLimits, MonotonicClock(), held=held
        )
        assert server.start()
        servers.append(server)
        return LimitedServer(server, held, port)

    with gevent.Timeout(30):
        yield start
    for server in servers:
        server.stop_listening()


def read_all(connection: socket.socket) -> bytes:
    """Return all that is received until the connection ends."""
    received = []
    while piece := connection.recv(1 << 20):
        received.append(piece)
    return b"".join(received)


def send_pieces(_request: Request, reply: Reply) -> None:
    """Send a large answer in pieces, as a stream is forwarded."""
    reply.begin(200, [], None)
    for _ in range(READ_PIECES):
        reply.write(PIECE)
    reply.finish()


def test_with_all_callers_slow_at_once_the_node_holds_a_bounded_number_of_bytes(listen_limited):
    """Sixty callers do not read; without a bound, 64 KB and more were held for each of them."""
    running = listen_limited(send_pieces)
    slow = [running.connect(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n") for _ in range(SLOW_CALLERS)]
    gevent.sleep(1.0)
    answers = running.held.answers
    assert LIMIT_BYTES // 2 < answers.peak <= LIMIT_BYTES + len(PIECE) + 100
    assert answers.ended_count >= SLOW_CALLERS - LIMIT_BYTES // len(PIECE) - 1
    assert running.server.active_count <= LIMIT_BYTES // len(PIECE) + 1
    for connection in slow:
        connection.close()
    gevent.sleep(0.2)
    assert answers.total == 0


def test_callers_that_read_lose_nothing_by_those_that_do_not(listen_limited):
    """While the bound is reached all the time, five callers that read get all of their answers."""
    running = listen_limited(send_pieces)
    request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    slow = [running.connect(request) for _ in range(SLOW_CALLERS)]
    gevent.sleep(0.3)
    reading = [gevent.spawn(read_all, running.connect(request)) for _ in range(5)]
    slow += [running.connect(request) for _ in range(SLOW_CALLERS)]
    gevent.joinall(reading, timeout=20)
    framed_bytes = READ_PIECES * (len(PIECE) + len(b"10000\r\n\r\n"))
    for task in reading:
        assert task.value.endswith(b"0\r\n\r\n")
        assert len(task.value) > framed_bytes
    assert running.held.answers.ended_count > 0
    for connection in slow:
        connection.close()


def test_a_slow_callers_connection_is_closed_and_the_answer_does_not_look_complete(listen_limited):
    """A caller that was cut off must notice: its answer ends without the last chunk."""
    running = listen_limited(send_pieces)
    request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    slow = [running.connect(request) for _ in range(SLOW_CALLERS)]
    gevent.sleep(0.5)
    received = []
    for connection in slow:
        try:
            received.append(read_all(connection))
        except OSError:
            received.append(b"")
    complete = sum(data.endswith(b"\r\n0\r\n\r\n") for data in received)
    assert complete == SLOW_CALLERS - running.held.answers.ended_count


def test_bodies_for_a_server_that_reads_slowly_are_bounded_and_small_requests_are_served(
    listen_limited,
):
    """A node holds the bodies of requests in progress; a server that hangs keeps them there."""
    release = gevent.event.Event()

    def hang_if_large(request: Request, reply: Reply) -> None:
        if len(request.body) > SMALL_REQUEST_BYTES:
            release.wait(10)
        reply.send_whole(200, [], b"ok")

    running = listen_limited(hang_if_large)
    body = b"x" * 300_000
    head = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    large = [running.connect(head % len(body) + body) for _ in range(10)]
    gevent.sleep(0.5)
    assert running.server.active_count == LIMIT_BYTES // len(body)
    small = [running.connect(head % 10_000 + b"x" * 10_000) for _ in range(20)]
    assert all(read_all(connection).startswith(b"HTTP/1.1 200") for connection in small)
    release.set()
    answers = sorted(read_all(connection)[:12] for connection in large)
    assert answers == [b"HTTP/1.1 200"] * 3 + [b"HTTP/1.1 503"] * 7
    gevent.sleep(0.1)
    assert running.held.requests.total == 0
    assert running.held.requests.peak <= 2 * LIMIT_BYTES


def test_requests_that_stop_short_of_their_end_do_not_keep_out_others(listen_limited):
    """Forty bodies that lack their last byte, then ordinary ones: those got 503 for seconds."""
    running = listen_limited(lambda _request, reply: reply.send_whole(200, [], b"ok"))
    head = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    body = b"x" * 60_000
    short = [running.connect(head % len(body) + body[1:]) for _ in range(40)]
    gevent.sleep(0.5)
    ordinary = [running.connect(head % len(body) + body) for _ in range(5)]
    assert all(read_all(connection).startswith(b"HTTP/1.1 200") for connection in ordinary)
    ended = running.held.requests.ended_count
    assert ended >= 40 - LIMIT_BYTES // len(body)
    answers = [read_all(connection) for connection in short[:ended]]
    assert all(answer.startswith(b"HTTP/1.1 503") for answer in answers)
    assert all(b"Retry-After: 1\r\n" in answer for answer in answers)
    for connection in short[ended:]:
        connection.sendall(b"x")
        assert read_all(connection).startswith(b"HTTP/1.1 200")


def test_a_refused_body_is_answered_with_the_time_of_a_retry(listen_limited):
    """Nothing ran, and the caller may retry."""
    running = listen_limited(lambda _request, reply: reply.send_whole(200, []))
    running.held.requests.hold("other", LIMIT_BYTES)
    body = b"x" * (2 * SMALL_REQUEST_BYTES)
    connection = running.connect(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    answer = read_all(connection)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1\r\n" in answer


def test_bodies_are_released_between_requests_of_one_connection(listen_limited):
    """A connection is kept open for long; what earlier requests held must not add up."""
    running = listen_limited(lambda request, reply: reply.send_whole(200, [], b"ok"))
    request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + b"x" * 200_000
    connection = running.connect(b"")
    for _ in range(20):
        connection.sendall(request)
        assert connection.recv(1_000).startswith(b"HTTP/1.1 200")
        assert running.held.requests.total == 0


def test_what_a_closed_connection_has_sent_is_freed_without_a_garbage_collection(listen_limited):
    """Memory grew with each wave of callers that closed in the middle of their requests."""
    running = listen_limited(lambda _request, reply: reply.send_whole(200, []))
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n"
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(20):
            running.connect(head + b"x" * 40_000).close()
        gevent.sleep(0.2)
        left_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert left_bytes < 200_000


def test_a_body_is_not_copied_for_a_server_that_reads_slowly():
    """The body was joined with the head, so that the node held it twice during the send."""
    listener = socket.create_server(("127.0.0.1", 0))
    pools = ConnectionPools(MonotonicClock())
    connection = pools.open(f"127.0.0.1:{listener.getsockname()[1]}")
    body = b"x" * (16 << 20)
    tracemalloc.start()
    try:
        connection.send(b"POST / HTTP/1.1\r\nHost: h\r\n\r\n", body)
        gevent.sleep(0.1)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        connection.close()
        listener.close()
    assert held_bytes < len(body) / 4


def test_heads_of_answers_take_their_size_whatever_the_length_of_their_lines():
    """Several servers that each send a head of 60 KB in short lines took megabytes each."""
    count, size = 20, 60_000
    data = b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * (size // 4)
    incomplete = [AnswerReader() for _ in range(count)]
    complete = [AnswerReader() for _ in range(count)]
    tracemalloc.start()
    try:
        for reader in incomplete:
            reader.feed(data)
        for reader in complete:
            reader.feed(data + b"Content-Length: 2\r\n\r\n")
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < 2 * 2 * count * size
    assert sum(1 for _ in complete[0].answers[0].head.headers) == size // 4 + 1


@attrs.define
class TinyPieces:
    """A connection whose answer arrives in pieces of two bytes."""

    left: int

    def read_piece(self, _deadline_ms: int) -> bytes | None:
        """Return the next piece."""
        self.left -= 1
        return None if self.left < 0 else b"%02d" % (self.left % 90)

    def check_size(self, *_arguments: object) -> None:
        """Allow any size."""


def test_an_answer_that_is_read_whole_takes_its_size_whatever_the_size_of_its_pieces():
    """An object for each piece of two bytes takes twenty times their size."""
    count = 100_000
    connection = TinyPieces(count)
    tracemalloc.start()
    try:
        body = _read_body(connection, 0, None, MonotonicClock(), count)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(body) == 2 * count
    assert peak_bytes < 3 * len(body)


def test_the_kernel_keeps_little_of_what_is_sent_behind_a_request_that_waits(listen_limited):
    """Its buffer had grown with the requests before, to 1.9 MB for each such caller."""

    def wait_or_answer(request: Request, reply: Reply) -> None:
        if request.target == b"/wait":
            gevent.sleep(10)
        reply.send_whole(200, [], b"")

    running = listen_limited(wait_or_answer)
    post = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + b"x" * 4_000_000
    connection = running.connect(b"")
    for _ in range(3):
        connection.sendall(post)
        assert connection.recv(1_000).startswith(b"HTTP/1.1 200")
    connection.settimeout(0.5)
    with pytest.raises(TimeoutError):
        connection.sendall(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n" + 3 * post)
    port = f":{running.port:04X}"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    unread = [int(row[4].partition(":")[2], 16) for row in rows if row[1].endswith(port)]
    assert 0 < max(unread) <= 200_000
