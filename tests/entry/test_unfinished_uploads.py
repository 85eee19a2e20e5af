"""Servers that answer a long upload at once and end the connection while it is being sent."""

from __future__ import annotations

import re
import socket as native
from collections import Counter, deque

import attrs
import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from monsoonflow.transport.sockets import RESET_AT_CLOSE
from script.ports import free_port
from stand_ins.configuration import LIMITS
from stand_ins.platform_runner import PlatformServer
from tests.entry.conftest import route, wait_for
from tests.entry.raw_runner import ask_raw, events

UPLOAD = b"x" * 6_000_000
RESET_DELAY_S = 0.1
RECEIVE_BUFFER_BYTES = 65_536


@attrs.frozen
class EarlyAnswer:
    """A part of an answer that is sent before the body of its request is read.

    :param ends_in_order: whether the server ends its sending side before it resets the connection.
    """

    body: bytes
    ends_in_order: bool


class EarlyServer(PlatformServer):
    """Gives the next of the early answers, and answers as usual when none is left."""

    def __init__(self, name: str, early_answers: deque[EarlyAnswer]) -> None:
        super().__init__(name, f"127.0.0.1:{free_port()}", "plain")
        self.early_answers = early_answers
        self.received: Counter[str] = Counter()
        host, _, port = self.address.partition(":")
        self._listener = StreamServer((host, int(port)), lambda sock, _: self._serve(sock))

    def start(self) -> None:
        """Begin to serve."""
        self._listener.start()
        # Otherwise the kernel might receive a whole upload that nobody reads.
        self._listener.socket.setsockopt(native.SOL_SOCKET, native.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def stop(self) -> None:
        """Stop to serve."""
        self._listener.stop()

    def _serve(self, sock: socket.socket) -> None:
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            piece = sock.recv(1)
            if not piece:
                return
            head += piece
        request_id = re.search(rb"(?i)x-request-id: *([^\r]*)", head)[1]
        self.received[request_id.decode()] += 1
        lines = [
            b"HTTP/1.1 200 OK",
            b"X-Request-Id: " + request_id,
            b"X-Instance-Id: " + self.server_id.encode(),
            b"X-Server-Signature: s",
        ]
        if self.early_answers:
            early = self.early_answers.popleft()
            sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + early.body)
            if early.ends_in_order:
                sock.shutdown(native.SHUT_WR)
            gevent.sleep(RESET_DELAY_S)
            sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, RESET_AT_CLOSE)
        else:
            self._read_body(sock, head)
            sock.sendall(b"\r\n".join(lines) + b"\r\nContent-Length: 5\r\n\r\nwhole")
        sock.close()

    @staticmethod
    def _read_body(sock: socket.socket, head: bytes) -> None:
        left = int(re.search(rb"(?i)content-length: *(\d+)", head)[1])
        while left:
            left -= len(sock.recv(min(left, 65_536)))


@pytest.fixture
def servers(fleet):
    shared: deque[EarlyAnswer] = deque()
    return [fleet._add(EarlyServer(f"p-{number}", shared)) for number in range(2)]


@pytest.fixture
def node(fleet, servers):
    fleet.configure(
        routes=[
            route("look", "idempotent", "plain"),
            route("write", "non_idempotent", "plain", attempts=1),
            route("follow", "stream", "plain", resumable=False, attempts=1),
        ],
        limits={**LIMITS, "maxBodyBytes": len(UPLOAD)},
    )
    entry_node = fleet.node()
    registry = entry_node.daemon.cluster_state.server_registry
    wait_for(lambda: len(registry.servers_of("plain")) == len(servers))
    return entry_node


@pytest.mark.parametrize("ends_in_order", [False, True])
def test_a_part_of_an_answer_to_an_unfinished_upload_is_a_failed_attempt(
    node, servers, ends_in_order
):
    """Callers got the part as a complete answer."""
    servers[0].early_answers.append(EarlyAnswer(b"half", ends_in_order))
    received = ask_raw(node, "/look/x", "r1", body=UPLOAD)
    assert (received.status, received.body, received.is_complete) == (200, b"whole", True)
    servers[0].early_answers.append(EarlyAnswer(b"half", ends_in_order))
    received = ask_raw(node, "/write/x", "r2", body=UPLOAD)
    assert (received.status, received.is_complete) == (502, True)
    assert sum(server.received["r2"] for server in servers) == 1


@pytest.mark.parametrize("ends_in_order", [False, True])
def test_a_part_of_a_stream_to_an_unfinished_upload_does_not_look_complete(
    node, servers, ends_in_order
):
    """The end of the connection was taken for the end of the stream."""
    servers[0].early_answers.append(EarlyAnswer(events(1, 2), ends_in_order))
    received = ask_raw(node, "/follow/x", "r", body=UPLOAD)
    assert not received.is_complete
    assert events(1, 2).startswith(received.body)
    assert sum(server.received["r"] for server in servers) == 1
