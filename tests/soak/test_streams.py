"""Tests of the judge of answers that were broken off and look complete."""

from __future__ import annotations

import pytest

from soak.processes import Record
from soak.streams import broken_streams
from stand_ins.event_streams import read_events

GENERATES = Record("i-1", 0, "generates", {"request": "r", "events": 3})
EVENTS = tuple(b"id: %d\ndata: r-%d\n\n" % (number, number) for number in range(1, 4))


def judged(body, status=200, servers=(GENERATES,), ending="chunks"):
    """Return what is found about a caller's answer that holds some bytes."""
    fields = {"request": "r", "status": status, "ending": ending, **read_events(body).fields()}
    return broken_streams([Record("callers", 0, "ended", fields)], servers)


def test_a_whole_stream_breaks_nothing():
    assert not judged(b"".join(EVENTS))


@pytest.mark.parametrize(
    ("body", "found"),
    [
        (EVENTS[0] + EVENTS[1], "lacks events: 2 of 3"),
        (b"", "lacks events: 0 of 3"),
        (EVENTS[0] + EVENTS[1][:-1], "ends inside an event, after 1 of 3"),
        (b"".join(EVENTS) + b"id: 4", "ends inside an event, after 3 of 3"),
        (EVENTS[0] + EVENTS[0] + EVENTS[1], "repeats or skips events: [1, 1, 2] of 3"),
        (EVENTS[0] + EVENTS[2], "repeats or skips events: [1, 3] of 3"),
        (EVENTS[0] + b"data: r-2\n\n" + EVENTS[2], "repeats or skips events: [1, None, 3] of 3"),
        (b"".join(EVENTS) + EVENTS[2], "repeats or skips events: [1, 2, 3, 3] of 3"),
    ],
)
@pytest.mark.parametrize("ending", ["chunks", "length", "close"])
def test_a_stream_that_looks_complete_and_is_not_whole_is_seen(body, found, ending):
    (line,) = judged(body, ending=ending)
    assert line == f"r looks complete ({ending}) and {found}"


def test_a_stream_that_no_runner_generated_is_seen():
    assert judged(b"".join(EVENTS), servers=())


@pytest.mark.parametrize("status", [0, 502])
def test_an_answer_that_shows_that_it_failed_breaks_nothing(status):
    assert not judged(EVENTS[0] + b"id: 2", status)


def test_an_answer_that_is_no_stream_is_not_judged_as_one():
    fields = {"request": "r", "status": 200, "ending": "length"}
    assert not broken_streams([Record("callers", 0, "ended", fields)], [])


@pytest.mark.parametrize(
    ("after", "numbers", "is_whole"),
    [(1, (2, 3), True), (3, (), True), (1, (1, 2, 3), False), (1, (3,), False), (1, (2,), False)],
)
def test_a_stream_that_was_taken_up_again_goes_on_after_its_last_event(after, numbers, is_whole):
    body = b"".join(EVENTS[number - 1] for number in numbers)
    fields = {"request": "r", "status": 200, "ending": "chunks", "after": after}
    record = Record("callers", 0, "ended", fields | read_events(body).fields())
    assert (not broken_streams([record], [GENERATES])) is is_whole
