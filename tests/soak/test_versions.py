"""Tests of judging streams while runners of two software versions serve."""

from __future__ import annotations

import pytest

from soak.judge import Leaves
from soak.processes import Record
from soak.versions import MIN_TAKEN_UP, mixed_streams, resumptions
from stand_ins.event_streams import read_events

EVENTS = 4


def ended(request, events, first=None, after=0, at_ms=1_000, status=0, customer="large"):
    """Return a caller's word of a try; its events are named by their versions."""
    fields = {
        "request": request,
        "first": first or request,
        "after": after,
        "status": status,
        "customer": customer,
        "took_ms": 100,
        "events": list(range(after + 1, after + 1 + len(events))),
        "versions": list(events),
    }
    return Record("callers", at_ms, "ended", fields)


def test_the_version_of_an_event_is_the_second_word_of_its_data():
    events = read_events(b"id: 1\ndata: r-1 v1\n\nid: 2\ndata: r-2 v1.1\n\nid: 3\ndata: r-3\n\n")
    assert events.versions == ["v1", "v1.1", None]


def test_streams_of_one_version_are_not_mixed():
    records = [ended("r", ["a"]), ended("s", ["a"], "r", 1, 2_000), ended("t", ["b"])]
    assert not mixed_streams(records)


def test_two_versions_in_one_answer_are_mixed():
    (mixed,) = mixed_streams([ended("r", ["a", "a", "b"])])
    assert mixed.line() == "r got events of a, b in one answer"


def test_two_versions_over_the_tries_of_a_caller_are_mixed():
    tries = [ended("t", ["b"], "r", 1, 3_000), ended("s", [], "r", 1, 2_000), ended("r", ["a"])]
    (mixed,) = mixed_streams(tries)
    assert mixed.line() == "r, t got events of a, b over 2 tries"


def judged(taken_up, went_on, new=40, begun=40, serving=2, undisturbed=True, **changes):
    """Return what is found about streams that their callers took up again once."""
    records = [ended(f"n{number}", ["a"] * (number < begun)) for number in range(new)]
    for number in range(taken_up):
        events = ["a"] if number < went_on else []
        records.append(ended(f"s{number}", events, f"n{number}", 1, 2_000, **changes))
    return resumptions(
        records,
        {f"n{number}": EVENTS for number in range(new)},
        lambda record, at_ms: undisturbed or not record.fields["after"],
        lambda version, at_ms: serving if version == "a" else 0,
    )


@pytest.mark.parametrize(
    ("taken_up", "went_on", "begun", "lost"),
    [
        (MIN_TAKEN_UP, 6, 40, False),
        (MIN_TAKEN_UP, 5, 40, True),
        (MIN_TAKEN_UP, 3, 20, False),
        (MIN_TAKEN_UP, 2, 20, True),
        (MIN_TAKEN_UP - 1, 0, 40, False),
    ],
)
def test_streams_that_are_taken_up_go_on_half_as_often_as_new_ones_begin(
    taken_up, went_on, begun, lost
):
    found = judged(taken_up, went_on, begun=begun)
    assert (found.new, found.begun) == (40, begun)
    assert (found.taken_up, found.went_on) == (taken_up, went_on)
    assert found.are_lost() is lost


def test_streams_of_a_version_with_too_few_runners_do_not_count():
    assert judged(20, 0, serving=1).taken_up == 0


def test_streams_at_disturbed_nodes_do_not_count():
    assert judged(20, 0, undisturbed=False).taken_up == 0


def test_a_stream_of_which_nothing_was_left_went_on_if_its_end_came():
    new = ended("r", ["a"] * EVENTS)
    for status, went_on in ((200, 1), (0, 0)):
        again = ended("s", [], "r", EVENTS, 2_000, status)
        found = resumptions([new, again], {"r": EVENTS}, lambda *_: True, lambda *_: 2)
        assert (found.taken_up, found.went_on) == (1, went_on)


def test_new_streams_far_from_any_that_was_taken_up_do_not_count():
    records = [ended("r", ["a"]), ended("s", ["a"], "r", 1, 2_000), ended("t", [], at_ms=2_900)]
    far = ended("u", [], at_ms=3_001)
    found = resumptions([*records, far], {"r": EVENTS}, lambda *_: True, lambda *_: 2)
    assert (found.begun, found.new) == (1, 2)


def test_callers_without_a_valid_key_do_not_count():
    assert judged(20, 0, customer=None).taken_up == 0


@pytest.mark.parametrize(
    ("from_ms", "until_ms", "is_ready"),
    [(50, 90, False), (100, 190, True), (150, 200, False), (210, 240, False), (300, 900, True)],
)
def test_a_server_serves_while_the_store_holds_it_as_ready(from_ms, until_ms, is_ready):
    leaves = Leaves([(100, "ready"), (200, "draining"), (250, "lapsed"), (300, "ready")])
    assert leaves.is_ready_since(from_ms, until_ms) is is_ready
