"""Tests of the callers of the soak: what they do when a stream breaks off."""

from __future__ import annotations

import gevent
import orjson
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.models import MessageLimits
from monsoonflow.transport.server import HttpServer
from script.ports import free_port
from stand_ins.callers import MAX_RESUMES, Callers
from stand_ins.raw_answers import BreakPlace
from tests.soak.conftest import EVENTS

ROUTE = {"path": "/read/x", "deadline_ms": 3_000, "headers": {}, "is_stream": True}


@pytest.fixture
def callers(runner):
    found = orjson.dumps({"addresses": [runner.address], "ttlS": 60})
    directory = HttpServer(
        f"127.0.0.1:{free_port()}",
        lambda request, reply: reply.send_whole(200, [], found),
        MessageLimits,
        MonotonicClock(),
    )
    assert directory.start()
    yield Callers("c", [directory.address], "z", "h", [ROUTE], {"key": "large"}, seed=1)
    directory.stop_listening()


def sent(callers, capfd, during=lambda: None):
    """Return what callers wrote down of one request and all that followed from it."""
    task = gevent.spawn(callers.send_one)
    during()
    task.get(timeout=10)
    return [orjson.loads(line) for line in capfd.readouterr().out.splitlines()]


def test_a_stream_that_broke_off_is_taken_up_after_its_last_whole_event(runner, callers, capfd):
    runner.faults.break_off, runner.faults.break_place = 1, BreakPlace.PIECE
    first, second = sent(callers, capfd)
    last = len(first["events"])
    assert (first["status"], first["ending"], first["last_whole"]) == (0, "cut", False)
    assert first["events"] + second["events"] == list(range(1, EVENTS + 1))
    assert (second["after"], second["status"], second["own"]) == (last, 200, True)
    assert second["first"] == first["request"] != second["request"]
    request = runner.requests[1]
    assert request.value(b"last-event-id") == b"%d" % last
    assert request.value(b"resumes") == first["request"].encode()
    assert request.value(b"x-request-id") == second["request"].encode()
    assert int(request.value(b"x-deadline-ms")) < ROUTE["deadline_ms"]
    assert request.body == runner.requests[0].body


def test_a_stream_that_keeps_breaking_off_is_taken_up_a_few_times(runner, callers, capfd):
    runner.faults.break_off, runner.faults.break_place = 100, BreakPlace.BETWEEN
    tries = sent(callers, capfd)
    assert len(tries) == 1 + MAX_RESUMES
    assert {record["first"] for record in tries} == {tries[0]["request"]}


def test_a_stream_of_which_no_event_came_is_not_taken_up(runner, callers, capfd):
    runner.faults.break_off, runner.faults.break_place = 100, BreakPlace.FIRST
    assert len(sent(callers, capfd)) == 1


def test_a_stream_whose_connection_is_reset_is_taken_up(runner, callers, capfd):
    runner.event_ms = 30

    def reset():
        gevent.sleep(0.15)
        callers.reset("127.0.0.1")

    first, second = sent(callers, capfd, reset)
    assert (first["status"], first["ending"]) == (0, "reset")
    assert 0 < len(first["events"]) < EVENTS
    assert first["events"] + second["events"] == list(range(1, EVENTS + 1))
