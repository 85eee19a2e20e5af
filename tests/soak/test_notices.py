"""Tests of judging what servers got after they had said that they leave or rest."""

from __future__ import annotations

import pytest

from soak.notices import after_leave, in_rests
from soak.processes import Record

SAID_MS = 10_000


def reached(at_ms, request="r-n1"):
    return Record("i-1", at_ms, "reached", {"request": request})


def node_of(_server, request):
    """Tell a node by the end of a request's name."""
    return None if request is None else request.rpartition("-")[2]


def late(*arrivals, excused=()):
    """Return what is late after a word to n1; requests are sent 5 ms before they arrive."""
    records = [Record("i-1", SAID_MS, "said_leaving", {"request": "r0-n1"}), *arrivals]
    sent_ms = {record.fields["request"]: record.at_ms - 5 for record in arrivals}
    return after_leave(records, sent_ms, node_of, lambda node, _: node in excused)


def test_a_request_later_than_the_bound_is_late():
    assert not late(reached(SAID_MS + 2_000))
    assert late(reached(SAID_MS + 2_010)) == ["r-n1 from n1 reached i-1 2010 ms after a word"]


def test_a_request_that_was_sent_in_time_is_not_late():
    assert not late(reached(SAID_MS + 2_004))


@pytest.mark.parametrize(("request_id", "excused"), [("r-n2", ()), ("r-n1", ("n1",))])
def test_the_word_binds_the_node_that_heard_it_unless_it_was_disturbed(request_id, excused):
    assert not late(reached(SAID_MS + 5_000, request_id), excused=excused)


def rests(*arrivals, excused=()):
    """Return the rests of 3 s, asked of n1, in which too many requests arrived."""
    said = Record("i-1", SAID_MS, "said_rest", {"request": "r0-n1", "rest_ms": 3_000})
    return in_rests([said, *arrivals], node_of, lambda node, _: node in excused)


def test_more_than_two_requests_in_a_rest_are_too_many():
    arrivals = [reached(SAID_MS + 1_000 + number) for number in range(3)]
    assert not rests(*arrivals[:2])
    assert rests(*arrivals) == [
        f"3 requests from n1 reached i-1 in a rest of 3000 ms from {SAID_MS}"
    ]


def test_requests_under_way_and_those_after_the_rest_do_not_count():
    before = [reached(SAID_MS + number) for number in range(500)]
    after = [reached(SAID_MS + 3_000 + number) for number in range(10)]
    assert not rests(*before, *after)


@pytest.mark.parametrize(("request_id", "excused"), [("r-n2", ()), ("r-n1", ("n1",))])
def test_a_rest_is_asked_of_one_node_unless_it_was_disturbed(request_id, excused):
    arrivals = [reached(SAID_MS + 1_000 + number, request_id) for number in range(9)]
    assert not rests(*arrivals, excused=excused)
