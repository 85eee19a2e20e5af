"""Answers that are not valid HTTP: none of them may reach a caller."""

from __future__ import annotations

import pytest

from monsoonflow.transport.models import Framing
from tests.entry.conftest import wait_for
from tests.entry.raw_runner import (
    End,
    RawAnswer,
    add_raw_runner,
    add_raw_server,
    answer_in_order,
    ask_raw,
    events,
    generate_raw,
)

LENGTH = ((b"Content-Length", b"4"),)
EVENTS_HEADERS = (
    (b"Content-Type", b"text/event-stream"),
    (b"Content-Length", b"%d" % len(events(1, 2))),
)
STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 OK",
    "status 099": b"HTTP/1.1 099 OK",
    "status 600": b"HTTP/1.1 600 OK",
    "status 999": b"HTTP/1.1 999 OK",
    "HTTP/2.0": b"HTTP/2.0 200 OK",
    "another protocol": b"RTSP/1.0 200 OK",
    "a NUL in the reason": b"HTTP/1.1 200 O\x00K",
    "an escape in the reason": b"HTTP/1.1 200 \x1b[2J",
}
INVALID_HEADERS = {
    "a blank in a name": (b"X Name", b"x"),
    "a blank before the colon": (b"X-Name ", b"x"),
    "a tab in a name": (b"X\tName", b"x"),
    "a NUL in a name": (b"X\x00Name", b"x"),
    "a DEL in a name": (b"X\x7fName", b"x"),
    "a control byte before a name": (b"\x01X-Name", b"x"),
    "a byte above 127 in a name": (b"X-N\xe9", b"x"),
    "a delimiter in a name": (b"X(Name)", b"x"),
    "no name": (b"", b"x"),
    "a NUL in a value": (b"X-Name", b"a\x00b"),
    "a folded value": (b"X-Name", b"a\r\n b"),
    "another length": (b"Content-Length", b"3"),
    "chunks beside a length": (b"Transfer-Encoding", b"chunked"),
}


def plain_answer(status_line: bytes | None = None, *headers: tuple[bytes, bytes]) -> RawAnswer:
    return RawAnswer(b"body", End.KEEP, (*headers, *LENGTH), status_line=status_line)


def stream_answer(status_line: bytes | None = None, *headers: tuple[bytes, bytes]) -> RawAnswer:
    return RawAnswer(events(1, 2), End.KEEP, (*headers, *EVENTS_HEADERS), status_line=status_line)


@pytest.fixture
def servers(fleet):
    return [add_raw_server(fleet, "p-1"), add_raw_server(fleet, "p-2")]


@pytest.fixture
def runners(fleet):
    return [add_raw_runner(fleet, "i-1"), add_raw_runner(fleet, "i-2")]


@pytest.fixture
def node(fleet, servers, runners):
    entry_node = fleet.node()
    fleet.holder()
    wait_for(lambda: entry_node.daemon.cluster_state.server_registry.servers_of("plain"))
    return entry_node


def failing_lives(node):
    """Return the servers of which the node has seen failures."""
    tracker, now_ms = node.daemon.health_tracker, node.daemon.clock.now_ms()
    lives = node.daemon.cluster_state.server_registry.server_by_life
    return [life.server_id for life in lives if tracker.failure_share(life, now_ms) > 0]


def check_is_refused(node, servers, runners, plain: RawAnswer, stream: RawAnswer) -> None:
    """Check that an invalid answer is a failed attempt, for each kind of route."""
    answer_in_order(servers, plain)
    received = ask_raw(node, "/look/x", "r1")
    assert (received.status, received.is_complete) == (200, True)
    assert received.body != plain.body
    answer_in_order(servers, plain)
    received = ask_raw(node, "/write/x", "r2")
    assert (received.status, received.is_complete) == (502, True)
    answer_in_order(runners, stream)
    received = generate_raw(node, "r")
    assert (received.status, received.is_complete) == (200, True)
    assert received.body == events(1, 2, 3, 4)
    answer_in_order(runners, stream)
    received = generate_raw(node, "r4", "once")
    assert (received.status, received.is_complete) == (502, True)
    assert sum(server.ran["r2"] for server in servers) == 1
    assert sum(runner.ran["r4"] for runner in runners) == 1
    assert {life[:2] for life in failing_lives(node)} == {"p-", "i-"}


@pytest.mark.parametrize("name", STATUS_LINES)
def test_an_answer_with_an_invalid_status_line_is_a_failed_attempt(node, servers, runners, name):
    """Such an answer reached its caller, also with a status that no client can read."""
    line = STATUS_LINES[name]
    check_is_refused(node, servers, runners, plain_answer(line), stream_answer(line))


@pytest.mark.parametrize("name", INVALID_HEADERS)
def test_an_answer_with_an_invalid_header_is_a_failed_attempt(node, servers, runners, name):
    """Its caller would get the header, or a body that is not the server's."""
    header = INVALID_HEADERS[name]
    check_is_refused(
        node, servers, runners, plain_answer(None, header), stream_answer(None, header)
    )


def test_a_valid_answer_is_passed_on(node, servers, runners):
    """The answers of these tests are refused for what is invalid in them alone."""
    answer_in_order(servers, plain_answer())
    received = ask_raw(node, "/write/x", "r1")
    assert (received.status, received.body, received.framing) == (200, b"body", Framing.LENGTH)
    answer_in_order(runners, stream_answer())
    received = generate_raw(node, "r2", "once")
    assert (received.body, received.is_complete) == (events(1, 2), True)
    assert failing_lives(node) == []
