"""Answers that are broken off: none of them may look complete to its caller."""

from __future__ import annotations

import re

import pytest

from monsoonflow.transport.const import REPLY_BUFFER_BYTES
from monsoonflow.transport.models import Framing
from tests.entry.conftest import wait_for
from tests.entry.partition import Cut, make_partitionable, partition
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

CHUNKED = (
    (b"Content-Type", b"text/event-stream"),
    (b"Transfer-Encoding", b"chunked"),
)
HALF_EVENTS = {
    "in the data": b"id: 3\ndata: r",
    "in the name of a field": b"id",
    "after the id": b"id: 3\n",
    "before the blank line": b"id: 3\ndata: r-3\n",
    "before the blank line, with CRLF": b"id: 3\r\ndata: r-3\r\n",
    "in the middle of the blank line": b"id: 3\r\ndata: r-3\r\n\r",
    "after a comment": b": comment\nid: 3\n",
}


def chunks(*pieces: bytes, ends: bool = True) -> bytes:
    framed = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces if piece)
    return framed + (b"0\r\n\r\n" if ends else b"")


def event_ids(body: bytes) -> list[int]:
    return [int(number) for number in re.findall(rb"^id: (\d+)\r?\ndata: ", body, re.MULTILINE)]


@pytest.fixture
def runners(fleet):
    return [add_raw_runner(fleet, "i-1"), add_raw_runner(fleet, "i-2")]


@pytest.fixture
def entry_node(fleet, runners):
    node = fleet.node()
    fleet.holder()
    return node


@pytest.mark.parametrize("end", [End.CLOSE, End.RESET])
@pytest.mark.parametrize("half", HALF_EVENTS)
def test_a_stream_without_length_that_ends_inside_an_event_goes_on_at_another_runner(
    entry_node, runners, half, end
):
    """Such a stream reached its caller as complete."""
    answer_in_order(runners, RawAnswer(events(1, 2) + HALF_EVENTS[half], end))
    received = generate_raw(entry_node, "r")
    assert received.is_complete
    assert event_ids(received.body) == [1, 2, 3, 4]
    assert received.body == events(1, 2, 3, 4)


@pytest.mark.parametrize("end", [End.CLOSE, End.RESET])
@pytest.mark.parametrize("half", HALF_EVENTS)
def test_a_stream_without_length_that_ends_inside_an_event_does_not_look_complete(
    entry_node, runners, half, end
):
    """Such a stream reached its caller as complete, with a part of an event."""
    answer_in_order(runners, RawAnswer(events(1, 2) + HALF_EVENTS[half], end))
    received = generate_raw(entry_node, "r", "once")
    assert not received.is_complete
    assert events(1, 2).startswith(received.body)
    assert sum(runner.ran["r"] for runner in runners) == 1


@pytest.mark.parametrize("end", [End.CLOSE, End.KEEP])
@pytest.mark.parametrize("path", ["read", "once"])
def test_chunks_that_end_properly_inside_an_event_are_a_stream_that_was_broken_off(
    entry_node, runners, path, end
):
    """A runner whose engine fails may end its chunks properly in the middle of an event."""
    body = chunks(events(1, 2), b"id: 3\nda")
    answer_in_order(runners, RawAnswer(body, end, CHUNKED))
    received = generate_raw(entry_node, "r", path)
    assert received.is_complete == (path == "read")
    assert event_ids(received.body) == ([1, 2, 3, 4] if path == "read" else [1, 2])


@pytest.mark.parametrize("end", [End.CLOSE, End.RESET])
@pytest.mark.parametrize("body", [b"", b"id: 1\nda", None])
def test_a_stream_that_ends_before_its_first_event_is_a_failed_attempt(
    entry_node, runners, body, end
):
    """An answer without any event reached its caller as complete."""
    raw = RawAnswer(body or b"", end, sends_head=body is not None)
    answer_in_order(runners, raw)
    received = generate_raw(entry_node, "r")
    assert (received.status, received.is_complete) == (200, True)
    assert event_ids(received.body) == [1, 2, 3, 4]
    answer_in_order(runners, raw)
    refused = generate_raw(entry_node, "r2", "once")
    assert (refused.status, refused.is_complete) == (502, True)


@pytest.mark.parametrize("path", ["read", "once"])
@pytest.mark.parametrize("rest", [b"", b"\n", b": comment\n"])
def test_a_stream_that_ends_with_its_connection_is_passed_on_as_one(
    entry_node, runners, path, rest
):
    """The node ended chunks of its own after the last event, which claims that it was the last."""
    answer_in_order(runners, RawAnswer(events(1, 2) + rest))
    received = generate_raw(entry_node, "r", path)
    assert received.framing is Framing.CONNECTION
    assert received.is_complete
    assert received.body == events(1, 2) + rest
    assert not received.is_reusable


def test_chunks_are_not_ended_after_a_rest_that_ends_with_its_connection(entry_node, runners):
    """An answer begun with chunks goes on at a runner that marks no end: its end is not known."""
    begun = RawAnswer(chunks(events(1), ends=False), End.CLOSE, CHUNKED)
    answer_in_order(runners, begun, RawAnswer(events(2, 3)))
    received = generate_raw(entry_node, "r")
    assert received.framing is Framing.CHUNKED
    assert not received.is_complete
    assert received.body == events(1, 2, 3)


@pytest.mark.parametrize("path", ["look", "write"])
def test_a_plain_answer_that_ends_with_its_connection_is_passed_on_as_one(fleet, path):
    """The node gave it a length, which claims that nothing is missing."""
    server = add_raw_server(fleet, "p-1")
    node = fleet.node()
    server.raw_answers.append(RawAnswer(b"whole or not", headers=()))
    received = ask_raw(node, f"/{path}/x", "r")
    assert received.status == 200
    assert received.framing is Framing.CONNECTION
    assert (received.body, received.is_complete) == (b"whole or not", True)
    assert server.ran["r"] == 1


def test_a_plain_answer_without_length_that_is_reset_is_a_failed_attempt(fleet):
    """A reset in an answer that ends with its connection is no end."""
    servers = [add_raw_server(fleet, "p-1"), add_raw_server(fleet, "p-2")]
    node = fleet.node()
    answer_in_order(servers, RawAnswer(b"half", End.RESET, ()))
    received = ask_raw(node, "/look/x", "r1")
    assert (received.status, received.is_complete) == (200, True)
    answer_in_order(servers, RawAnswer(b"half", End.RESET, ()))
    refused = ask_raw(node, "/write/x", "r2")
    assert (refused.status, refused.is_complete) == (502, True)


@pytest.mark.parametrize("end", [End.CLOSE, End.RESET])
def test_a_large_answer_without_length_is_passed_on_with_the_end_that_it_has(fleet, end):
    """The node ended chunks of its own, also where only the connection had ended."""
    server = add_raw_server(fleet, "p-1")
    node = fleet.node()
    body = b"x" * (2 * REPLY_BUFFER_BYTES)
    server.raw_answers.append(RawAnswer(body, end, ()))
    received = ask_raw(node, "/write/x", "r")
    if end is End.CLOSE:
        assert received.framing is Framing.CONNECTION
        assert (received.is_complete, received.body) == (True, body)
    else:
        assert received is None or received.status == 502 or not received.is_complete


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_that_never_has_a_body_does_not_wait_for_its_connection(fleet, status):
    """Without a length, such an answer would be taken for one that ends with its connection."""
    server = add_raw_server(fleet, "p-1")
    node = fleet.node()
    server.raw_answers.append(RawAnswer(b"", End.KEEP, (), status))
    received = ask_raw(node, "/write/x", "r", deadline_ms=1_500)
    assert (received.status, received.is_complete, received.body) == (status, True, b"")
    assert received.is_reusable


def test_a_runner_that_ends_its_streams_early_is_a_failing_one(entry_node, runners):
    """Streams that were broken off counted in favour of the runner."""
    answer_in_order(runners, RawAnswer(events(1, 2) + b"id: 3"))
    generate_raw(entry_node, "r", "once")
    used = next(runner for runner in runners if runner.ran["r"])
    tracker = entry_node.daemon.health_tracker
    life = next(
        life
        for life in entry_node.daemon.cluster_state.server_registry.server_by_life
        if life.server_id == used.server_id
    )
    assert tracker.failure_share(life, entry_node.daemon.clock.now_ms()) > 0


@pytest.mark.parametrize("path", ["read", "once"])
def test_a_stream_that_a_peer_forwards_ends_as_at_the_peer(fleet, monkeypatch, path):
    """The end that a peer does not know must not become a known end on the way."""
    make_partitionable(monkeypatch)
    runners = [add_raw_runner(fleet, "i-1"), add_raw_runner(fleet, "i-2")]
    first, _ = fleet.node(), fleet.node()
    fleet.holder()
    partition(first, Cut.RESET)
    wait_for(lambda: _is_path_known_as_lost(first))
    answer_in_order(runners, RawAnswer(events(1, 2)))
    received = generate_raw(first, "r1", path)
    assert received.framing is Framing.CONNECTION
    assert (received.is_complete, received.body) == (True, events(1, 2))
    answer_in_order(runners, RawAnswer(events(1, 2) + b"id: 3\nda"))
    received = generate_raw(first, "r2", "once")
    assert not received.is_complete
    assert events(1, 2).startswith(received.body)


def _is_path_known_as_lost(node):
    generate_raw(node, "first")
    return node.daemon.gateway._forwarding.is_path_lost("llm")


@pytest.mark.parametrize(
    "broken",
    [
        RawAnswer(events(1, 2) + b"id: 3\nda"),
        RawAnswer(events(1, 2) + b"id: 3\nda", End.RESET),
        RawAnswer(events(1, 2), End.RESET),
    ],
)
def test_a_stream_that_is_resumed_and_ends_without_an_event_does_not_look_complete(
    entry_node, runners, broken
):
    """Events from before a break were taken for events of the answer that ended."""
    answer_in_order(runners, broken, RawAnswer(b""))
    received = generate_raw(entry_node, "r")
    assert not received.is_complete
    assert received.body == events(1, 2)


def test_a_stream_that_its_caller_resumes_and_that_ends_without_an_event_is_a_failed_attempt(
    entry_node, runners
):
    """The events that the caller has were taken for events of the answer."""
    answer_in_order(runners, RawAnswer(b""))
    received = generate_raw(entry_node, "r", Last_Event_Id="2")
    assert received.is_complete
    assert event_ids(received.body) == [3, 4]


@pytest.mark.parametrize("path", ["read", "once"])
@pytest.mark.parametrize("body", [b": ping\n\n", b"\n\n", b"retry: 100\n\n"])
def test_comments_are_no_events_of_a_stream(entry_node, runners, path, body):
    """A comment stood for the first event, so that a stream without any looked complete."""
    answer_in_order(runners, RawAnswer(body))
    received = generate_raw(entry_node, "r", path)
    assert event_ids(received.body) == [1, 2, 3, 4] if path == "read" else not received.is_complete


def test_a_comment_does_not_hide_that_a_stream_begins_anew(entry_node, runners):
    """The check of the first event after a resumption looked at the comment before it."""
    again = RawAnswer(b": ping\n\n" + events(1, 2, 3, 4), pause_after_bytes=8)
    answer_in_order(runners, RawAnswer(events(1, 2) + b"id: 3"), again)
    received = generate_raw(entry_node, "r")
    assert event_ids(received.body)[:2] == [1, 2]
    assert len(set(event_ids(received.body))) == len(event_ids(received.body))


def test_a_stream_without_ids_is_not_resumed(entry_node, runners):
    """It was resumed from its beginning, and the caller got events twice."""
    whole = b"data: a\n\ndata: b\n\ndata: c\n\n"
    answer_in_order(runners, RawAnswer(whole[:-4]), RawAnswer(whole))
    received = generate_raw(entry_node, "r")
    assert not received.is_complete
    assert received.body == b"data: a\n\ndata: b\n\n"


def test_a_runner_that_marks_no_end_of_a_resumed_stream_is_not_blamed(entry_node, runners):
    """It counted as failing, and the stream was sent to a third runner, for nothing."""
    begun = RawAnswer(chunks(events(1), ends=False), End.CLOSE, CHUNKED)
    answer_in_order(runners, begun, RawAnswer(events(2, 3, 4)), RawAnswer(b""))
    received = generate_raw(entry_node, "r")
    assert received.body == events(1, 2, 3, 4)
    assert sum(runner.ran["r"] for runner in runners) == 2
    tracker, now_ms = entry_node.daemon.health_tracker, entry_node.daemon.clock.now_ms()
    lives = entry_node.daemon.cluster_state.server_registry.server_by_life
    assert sorted(tracker.failure_share(life, now_ms) > 0 for life in lives) == [False, True]


@pytest.mark.parametrize(
    "body",
    [b"id: 1\rdata: a\r\r", b"id: 1\ndata: a\n\n: bye", b"id: 1\ndata: a\n\n\r"],
)
def test_a_stream_that_ends_properly_after_its_last_event_is_complete(entry_node, runners, body):
    """Bytes that belong to no event, or bare carriage returns, look like half an event."""
    answer_in_order(runners, RawAnswer(chunks(body), End.KEEP, CHUNKED))
    received = generate_raw(entry_node, "r", "once")
    assert (received.status, received.is_complete, received.body) == (200, True, body)


def test_a_large_answer_that_broke_off_is_not_sent_to_another_server(fleet):
    """A second answer can't be used once a part of the first has reached the caller."""
    servers = [add_raw_server(fleet, "p-1"), add_raw_server(fleet, "p-2")]
    node = fleet.node()
    half = RawAnswer(b"x" * 600_000, headers=((b"Content-Length", b"900000"),))
    answer_in_order(servers, half)
    received = ask_raw(node, "/look/x", "r")
    assert not received.is_complete
    assert sum(server.ran["r"] for server in servers) == 1
