"""Callers that nobody controls: a node lives, stays within its memory and serves others.

The bounds are the limits in the node's settings, which are lower than usual.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

import pytest

from soak.processes import CommandedProcesses
from stand_ins.crowds import HEAD_START, POST_START, chunked_body, head_of_lines
from tests.processes.crowds import CrowdedNode

pytestmark = pytest.mark.crowd

HEAD_BYTES = 16_384
BODY_BYTES = 100_000
OWN_DESCRIPTORS = 32
"""What a node must be able to open itself while callers take all they can."""

REQUEST = HEAD_START + b"\r\n"
SHORT_REQUEST = b"GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def start_node(tmp_path) -> Iterator[Callable[..., CrowdedNode]]:
    """Return a function that starts a node."""
    processes = CommandedProcesses(tmp_path)
    nodes: list[CrowdedNode] = []

    def start(limits: Mapping[str, int] | None = None, **settings: int) -> CrowdedNode:
        nodes.append(CrowdedNode(processes, tmp_path, **settings))
        nodes[-1].start(**(limits or {}))
        return nodes[-1]

    yield start
    for node in nodes:
        node.close_all()
    processes.close()


@pytest.fixture
def node(start_node) -> CrowdedNode:
    """Return a node that nobody has called yet."""
    return start_node()


def check_serves_within_bounds(node: CrowdedNode) -> None:
    """Check what must hold, also while the crowd's connections are still open."""
    node.settle()
    assert node.processes.runs("node")
    assert node.descriptors() <= node.max_descriptors - OWN_DESCRIPTORS
    assert node.answers_ordinary_request()
    assert node.processes.runs("node")
    assert node.peak_mb() <= node.memory_mb


INCOMPLETE: dict[str, tuple[int, Callable[[], Iterable[bytes]]]] = {
    "chunks of 1 byte": (300, lambda: chunked_body(BODY_BYTES - 1, 1)),
    "chunks of 2 bytes": (150, lambda: chunked_body(BODY_BYTES - 1, 2)),
    "chunks of 64 KB": (400, lambda: chunked_body(BODY_BYTES - 1, 65_536)),
    "bodies that lack a tenth": (
        400,
        lambda: [POST_START + b"Content-Length: 64000\r\n\r\n", b"x" * 57_600],
    ),
    "heads of short lines": (400, lambda: [head_of_lines(b"a:\r\n", HEAD_BYTES - 100)]),
    "heads of one long line": (400, lambda: [HEAD_START + b"a: " + b"b" * (HEAD_BYTES - 200)]),
    "trailers of short lines": (
        400,
        lambda: [*chunked_body(10, 10), b"0\r\n" + b"a:\r\n" * 4_000],
    ),
}


@pytest.mark.parametrize("kind", INCOMPLETE)
def test_requests_without_their_end_leave_a_node_its_memory_and_others_their_answers(node, kind):
    """A node ran out of memory, or its budget went to requests that never end."""
    count, pieces = INCOMPLETE[kind]
    for _ in range(count):
        node.send(pieces())
    check_serves_within_bounds(node)


WAITING: dict[str, tuple[int, bytes]] = {
    "heads of short lines": (400, head_of_lines(b"a:\r\n", HEAD_BYTES - 100, b"\r\n")),
    "many names": (
        400,
        HEAD_START + b"".join(b"n%d:\r\n" % number for number in range(1_900)) + b"\r\n",
    ),
    "requests behind one another": (300, REQUEST + SHORT_REQUEST * (60_000 // len(SHORT_REQUEST))),
}


@pytest.mark.parametrize("kind", WAITING)
def test_requests_that_wait_leave_a_node_its_memory_and_others_their_answers(node, kind):
    """A node ran out of memory by what it kept of requests that waited for a server."""
    node.let_requests_wait()
    count, request = WAITING[kind]
    for _ in range(count):
        node.send([request])
    node.settle()
    assert node.processes.runs("node")
    assert node.peak_mb() <= node.memory_mb
    node.close_all()
    node.let_requests_run()
    check_serves_within_bounds(node)


@pytest.mark.parametrize("listener", ["callers", "directory", "ready", "peers", "metrics"])
def test_connections_without_a_request_leave_a_node_its_descriptors(start_node, listener):
    """Idle callers took all descriptors: the node could reach neither servers nor the store."""
    node = start_node({"idleTimeoutMs": 60_000}, max_descriptors=256)
    for _ in range(300):
        node.send([], listener)
    check_serves_within_bounds(node)


def test_memory_does_not_step_up_with_each_wave(node):
    """What callers leave behind must not add up."""
    for _ in range(3):
        for count, pieces in INCOMPLETE.values():
            for _ in range(count // 5):
                node.send(pieces())
        node.settle()
        node.close_all()
    check_serves_within_bounds(node)


KEYS_BY_HEADER = {
    "request ids": b"X-Request-Id",
    "adapters": b"X-Model",
    "resumed requests": b"Resumes",
    "prompt parts": b"X-Prompt-Prefix",
    "keys": b"Authorization",
}


@pytest.mark.parametrize("kind", KEYS_BY_HEADER)
def test_values_that_differ_with_each_request_do_not_stay_in_memory(node, kind):
    """A value that becomes a key outlives its request."""
    name = KEYS_BY_HEADER[kind]
    id_line = b"" if name == b"X-Request-Id" else b"X-Request-Id: k\r\n"
    for first in range(0, 12_000, 200):
        requests = [
            b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 20000\r\n%s%s: %s\r\n\r\n"
            % (id_line, name, b"%08d" % number + b"k" * 8_000)
            for number in range(first, first + 200)
        ]
        node.send_and_read(requests)
    check_serves_within_bounds(node)


EDGES = {
    "the shortest lines": head_of_lines(b"a:\r\n", HEAD_BYTES, b"\r\n"),
    "many names": HEAD_START + b"".join(b"%d:\r\n" % n for n in range(1_000, 3_000)) + b"\r\n",
    "one long line": head_of_lines(b"a: " + b"b" * 16_000 + b"\r\n", HEAD_BYTES, b"\r\n"),
    "chunks of 1 byte": b"".join(chunked_body(BODY_BYTES, 1)) + b"0\r\n\r\n",
    "chunks of 2 bytes": b"".join(chunked_body(BODY_BYTES, 2)) + b"0\r\n\r\n",
    "one chunk": b"".join(chunked_body(BODY_BYTES, BODY_BYTES)) + b"0\r\n\r\n",
    "a body with a length": POST_START + b"Content-Length: 100000\r\n\r\n" + b"x" * BODY_BYTES,
    "many lines and a long body": (
        head_of_lines(b"a:\r\n", HEAD_BYTES, b"Content-Length: 100000\r\n\r\n").replace(
            b"GET", b"PUT", 1
        )
        + b"x" * BODY_BYTES
    ),
}


def test_a_single_request_at_the_edge_of_the_limits_is_served(node):
    """Heads within the limit were refused: each line was counted with a space that it lacked."""
    statuses = {kind: node.exchange(request)[9:12] for kind, request in EDGES.items()}
    assert statuses == dict.fromkeys(EDGES, b"200")
