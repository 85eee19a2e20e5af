"""Tests of servers that break off answers, and of the client that tells how an answer ended."""

from __future__ import annotations

import gevent
import pytest

from monsoonflow.transport.answer_reader import AnswerReader
from monsoonflow.transport.models import BrokenAnswer, Request
from script.ports import free_port
from stand_ins import server_process
from stand_ins.event_streams import read_events
from stand_ins.platform_runner import PlatformServer
from stand_ins.raw_answers import INVALID_STARTS, START, BreakPlace, invalid_answer
from stand_ins.server_process import PlainProcess
from stand_ins.strict_client import Ending, StrictClient
from tests.soak.conftest import EVENTS


@pytest.fixture
def plain():
    server = PlatformServer("i-1", f"127.0.0.1:{free_port()}", "plain")
    server.start()
    yield server
    server.stop()


def ask(server, client=None):
    """Return a server's answer."""
    headers = (("Host", "h"), ("X-Request-Id", "r"))
    return (client or StrictClient()).call(server.address, "POST", "/x", headers, b"r", 2_000)


@pytest.mark.parametrize(("unframed", "ending"), [(0.0, Ending.CHUNKS), (1.0, Ending.CLOSE)])
def test_a_whole_stream_ends_as_its_framing_says(runner, unframed, ending):
    runner.faults.unframed = unframed
    client = StrictClient()
    for _ in range(2):
        answer = ask(runner, client)
        assert (answer.status, answer.ending) == (200, ending)
        events = read_events(answer.body)
        assert events.ids == list(range(1, EVENTS + 1))
        assert events.is_last_whole


@pytest.mark.parametrize(("unframed", "ending"), [(0.0, Ending.LENGTH), (1.0, Ending.CLOSE)])
def test_a_whole_answer_ends_as_its_framing_says(plain, unframed, ending):
    plain.faults.unframed = unframed
    answer = ask(plain)
    assert (answer.status, answer.ending, answer.body) == (200, ending, b"i-1 /x r")


@pytest.mark.parametrize(
    ("unframed", "place", "resets", "ending"),
    [
        (1.0, BreakPlace.PIECE, False, Ending.CLOSE),
        (0.0, BreakPlace.PIECE, False, Ending.CUT),
        (0.0, BreakPlace.BETWEEN, False, Ending.CUT),
        (0.0, BreakPlace.FIRST, False, Ending.CUT),
        (1.0, BreakPlace.HEAD, False, Ending.CUT),
        *((unframed, place, True, Ending.RESET) for unframed in (0.0, 1.0) for place in BreakPlace),
        (1.0, BreakPlace.BETWEEN, False, Ending.RESET),
        (1.0, BreakPlace.FIRST, False, Ending.RESET),
    ],
)
def test_a_stream_breaks_off_where_and_how_its_runner_is_told(
    runner, unframed, place, resets, ending
):
    """Guards against breaks that nobody could see: an orderly close between two events."""
    faults = runner.faults
    faults.break_off, faults.break_place, faults.break_resets = 1, place, resets
    faults.unframed = unframed
    answer = ask(runner)
    assert answer.ending is ending
    assert answer.status == (0 if place is BreakPlace.HEAD else 200)
    events = read_events(answer.body)
    assert len(events.ids) < EVENTS
    if ending is not Ending.RESET:
        assert events.is_last_whole is (place is not BreakPlace.PIECE)
    faults.unframed = 0.0
    assert ask(runner).is_complete


@pytest.mark.parametrize("place", list(BreakPlace))
@pytest.mark.parametrize("unframed", [0.0, 1.0])
def test_an_answer_that_is_no_stream_never_breaks_off_unseen(plain, place, unframed):
    plain.faults.break_off, plain.faults.break_place = 1, place
    plain.faults.unframed = unframed
    assert ask(plain).ending in (Ending.CUT, Ending.RESET)


def test_a_crash_between_two_events_leaves_half_an_event(runner):
    """Guards against a crash that nobody could tell from the end of the answer."""
    runner.faults.unframed = 1.0
    runner.event_ms = 500
    answer = gevent.spawn(ask, runner)
    gevent.sleep(0.1)
    runner.crash()
    found = answer.get()
    assert found.ending is Ending.CLOSE
    events = read_events(found.body)
    assert 0 < len(events.ids) < EVENTS
    assert not events.is_last_whole


@pytest.mark.parametrize("place", [BreakPlace.HEAD, BreakPlace.FIRST])
def test_a_server_does_not_name_a_limit_in_a_head_that_is_broken_off(monkeypatch, place):
    """Nodes were judged by a limit that they could not have read."""
    named = []
    monkeypatch.setattr(
        server_process,
        "record",
        lambda event, **fields: named.append(fields["limit"]) if event == "named" else None,
    )
    server = PlainProcess("i-1", f"127.0.0.1:{free_port()}", "plain")
    server.start()
    server.faults.limit, server.faults.break_off, server.faults.break_place = "2.5", 2, place
    ask(server)
    ask(server)
    assert (named[-1] is None) == (place is BreakPlace.HEAD)
    ask(server)
    assert named[-1] == "2.5"
    server.stop()


@pytest.mark.parametrize("kind", INVALID_STARTS)
def test_an_invalid_answer_lacks_nothing_but_a_valid_head(kind):
    """A fault beside the one that is played would hide that the latter is not noticed."""
    headers = [(b"X-Request-Id", b"r")]
    answer = invalid_answer(kind, headers, b"invalid")
    with pytest.raises(BrokenAnswer):
        AnswerReader().feed(answer)
    reader = AnswerReader()
    reader.feed(answer.replace(INVALID_STARTS[kind], START))
    assert reader.answers[0].is_complete


def test_a_server_gives_invalid_answers_until_the_fault_ends(plain, runner):
    for server in (plain, runner):
        server.faults.invalid = "status 000"
        assert ask(server).status == 0
        server.faults.invalid = None
        assert ask(server).status == 200


@pytest.mark.parametrize(("last", "number"), [(0, 1), (EVENTS - 1, EVENTS), (EVENTS, EVENTS)])
def test_a_stream_without_end_repeats_no_event_that_it_does_not_have(runner, last, number):
    """An event after the last one looked like one that its node had made up."""
    headers = [(b"Last-Event-Id", b"%d" % last)]
    request = Request(b"POST", b"/read/x", "1.1", headers, b"", True, 0)
    assert runner._next_event(request) == number
