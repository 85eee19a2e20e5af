"""Tests of log lines: the queue is bounded, writing never blocks, repeated lines are limited."""

from __future__ import annotations

import inspect
import logging
import os
import subprocess
import sys
import time
from pathlib import Path

import attrs
import pytest

from monsoonflow.helpers.logfmt import LineFormatter
from monsoonflow.logs import events, log
from monsoonflow.logs.lines import MAX_QUEUED_BYTES, MAX_QUEUED_LINES, QueueHandler
from monsoonflow.logs.sampling import Sampler
from monsoonflow.logs.write import format_event

ROOT = Path(__file__).resolve().parents[2]


@pytest.fixture
def handler():
    queue_handler = QueueHandler()
    queue_handler.setFormatter(LineFormatter())
    return queue_handler


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def create_record(level=logging.INFO, text="event=x"):
    return logging.LogRecord("t", level, __file__, 1, text, (), None)


def test_stopped_reader_does_not_block_the_process(handler, pipe):
    """The log's reader stops and the pipe fills up: lines are queued, then dropped and counted.

    A blocking write would delay all requests of the process.
    """
    started_s = time.monotonic()
    for _ in range(MAX_QUEUED_LINES * 2):
        handler.emit(create_record(text="event=x " + "y" * 200))
    while handler.write_available(pipe[1]):
        pass
    assert not handler.write_available(pipe[1])
    assert time.monotonic() - started_s < 5
    assert handler.dropped_by_level["info"] >= MAX_QUEUED_LINES - 1_000


def test_errors_are_kept_when_lines_are_dropped(handler):
    for _ in range(MAX_QUEUED_LINES + 10):
        handler.emit(create_record())
    handler.emit(create_record(logging.ERROR, "event=broken"))
    assert b"event=broken" in handler.queued_lines[-1]


def test_the_queue_is_bounded_in_bytes_whatever_the_length_of_its_lines(handler, pipe):
    """Values of callers may have 16 KB: four thousand such lines took 64 MB."""
    for _ in range(MAX_QUEUED_LINES):
        handler.emit(create_record(text="event=x " + "y" * 16_000))
    assert sum(map(len, handler.queued_lines)) <= MAX_QUEUED_BYTES + 17_000
    assert handler.dropped_by_level["info"] > 0
    os.set_blocking(pipe[0], False)
    while not handler.write_available(pipe[1]):
        os.read(pipe[0], 65_536)
    handler.emit(create_record())
    assert len(handler.queued_lines) == 1


def test_long_values_are_cut():
    """An id of 16 KB stood in each of the lines of its request."""
    line = format_event(events.BadMessage(400, "x" * 16_000))
    assert len(line) < 2_000


def test_lines_arrive_complete_and_in_order(handler, pipe):
    for number in range(300):
        handler.emit(create_record(text=f"event=x number={number} " + "y" * 100))
    received = b""
    while not handler.write_available(pipe[1]) or handler.queued_lines:
        received += os.read(pipe[0], 65_536)
    received += os.read(pipe[0], 1 << 20)
    numbers = [int(part.split()[0]) for part in received.decode().split("number=")[1:]]
    assert numbers == list(range(300))


def test_first_lines_of_each_kind_and_cause_are_written_each_second():
    sampler = Sampler(max_lines_per_second=3)
    are_allowed = [sampler.allows("refused", "full", 5_000 + n) for n in range(100)]
    assert are_allowed.count(True) == 3
    assert sampler.allows("refused", "another cause", 5_050)
    assert sampler.left_out(5_900) == []
    assert sampler.left_out(6_000) == [("refused", "full", 97)]
    assert sampler.allows("refused", "full", 6_001)


def test_event_below_the_log_level_is_not_logged(caplog):
    logger = logging.getLogger("quiet")
    logger.setLevel(logging.WARNING)
    with caplog.at_level(logging.WARNING, "quiet"):
        log(logger, events.ServerCame("i", "s", "a"))
        log(logger, events.StoreLost("op", "reset"))
    assert [r.getMessage() for r in caplog.records] == [
        "event=store_lost collection=op cause=reset"
    ]


def test_every_event_has_a_docstring_and_fits_in_one_line():
    event_types = [
        event_type
        for _, event_type in inspect.getmembers(events, inspect.isclass)
        if issubclass(event_type, events.Event) and event_type is not events.Event
    ]
    assert len(event_types) > 30
    for event_type in event_types:
        assert event_type.__doc__.endswith(".")
        values = {field.name: "a\nb" for field in attrs.fields(event_type)}
        assert "\n" not in format_event(event_type(**values))


def test_lines_are_the_same_without_what_no_line_contains():
    # A formatter that needs the source line, thread or process of a record would write wrong lines.
    code = """
import logging, sys
from monsoonflow.logs import events, lines, log
handler = lines.start_logging("info")
logger = logging.getLogger("a.b")
log(logger, events.PeerSilent(peer="n 2", age_ms=-12))
try:
    1 / 0
except ZeroDivisionError:
    logger.exception("failed")
lines.flush(handler)
"""
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True)
    silent, failed = result.stdout.splitlines()
    assert result.stderr == ""
    assert silent.endswith('logger=a.b event=peer_silent peer="n 2" age_ms=-12')
    assert " level=error logger=a.b failed trace=" in failed
    assert "ZeroDivisionError: division by zero" in failed
