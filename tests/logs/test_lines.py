"""Tests of log lines: bounded, never blocking, typed."""

from __future__ import annotations

import inspect
import logging
import os
import time

import attrs
import pytest

from monsoonflow.helpers.logfmt import LineFormatter
from monsoonflow.logs import events, log
from monsoonflow.logs.lines import MAX_QUEUED_LINES, QueueHandler
from monsoonflow.logs.sampling import Sampler
from monsoonflow.logs.write import format_event


@pytest.fixture
def handler():
    found = QueueHandler()
    found.setFormatter(LineFormatter())
    return found


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def record(level=logging.INFO, text="event=x"):
    return logging.LogRecord("t", level, __file__, 1, text, (), None)


def test_a_reader_that_stops_delays_nothing(handler, pipe):
    """The log's reader stops; the pipe fills up.

    Writing would hold up every request of the process. Lines wait, then are dropped and counted.
    """
    began = time.monotonic()
    for _ in range(MAX_QUEUED_LINES * 2):
        handler.emit(record(text="event=x " + "y" * 200))
    while handler.write_available(pipe[1]):
        pass
    assert not handler.write_available(pipe[1])
    assert time.monotonic() - began < 5
    assert handler.dropped_by_level["info"] >= MAX_QUEUED_LINES - 1_000


def test_errors_are_kept_when_lines_are_dropped(handler):
    for _ in range(MAX_QUEUED_LINES + 10):
        handler.emit(record())
    handler.emit(record(logging.ERROR, "event=broken"))
    assert b"event=broken" in handler.queued_lines[-1]


def test_lines_arrive_whole_and_in_order(handler, pipe):
    for number in range(300):
        handler.emit(record(text=f"event=x number={number} " + "y" * 100))
    got = b""
    while not handler.write_available(pipe[1]) or handler.queued_lines:
        got += os.read(pipe[0], 65_536)
    got += os.read(pipe[0], 1 << 20)
    numbers = [int(part.split()[0]) for part in got.decode().split("number=")[1:]]
    assert numbers == list(range(300))


def test_the_first_lines_of_each_cause_are_kept():
    sampler = Sampler(max_lines_per_second=3)
    full = [sampler.allows("refused", "full", 5_000 + n) for n in range(100)]
    assert full.count(True) == 3
    assert sampler.allows("refused", "another cause", 5_050)
    assert sampler.left_out(5_900) == []
    assert sampler.left_out(6_000) == [("refused", "full", 97)]
    assert sampler.allows("refused", "full", 6_001)


def test_an_event_that_is_not_asked_for_costs_no_formatting(caplog):
    logger = logging.getLogger("quiet")
    logger.setLevel(logging.WARNING)
    with caplog.at_level(logging.WARNING, "quiet"):
        log(logger, events.ServerCame("i", "s", "a"))
        log(logger, events.StoreLost("op", "reset"))
    assert [r.getMessage() for r in caplog.records] == [
        "event=store_lost collection=op cause=reset"
    ]


def test_every_event_is_documented_and_fits_one_line():
    kinds = [
        kind
        for _, kind in inspect.getmembers(events, inspect.isclass)
        if issubclass(kind, events.Event) and kind is not events.Event
    ]
    assert len(kinds) > 30
    for kind in kinds:
        assert kind.__doc__.endswith(".")
        values = {field.name: "a\nb" for field in attrs.fields(kind)}
        assert "\n" not in format_event(kind(**values))
