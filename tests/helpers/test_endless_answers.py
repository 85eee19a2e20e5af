"""A faulty engine or service sends bytes without end to the client of engines and nodes."""

from __future__ import annotations

import resource
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from monsoonflow.backend.openai_http import read_stream
from monsoonflow.helpers import http_connections
from monsoonflow.helpers.http import HttpClient, Lost
from stand_ins.endless_sender import START_BY_KIND

TIMEOUT_MS = 1_000
WAIT_S = 8.0
MAX_GROWTH_BYTES = 200 << 20
ENDLESS_KINDS = [kind for kind in START_BY_KIND if kind != "bytes after a complete answer"]


def resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


def run_bounded(function: Callable[[], object]) -> object | None:
    """Return a function's result; ``None`` as soon as it takes too long or too much memory."""
    results: list[object] = []
    thread = threading.Thread(target=lambda: results.append(function()), daemon=True)
    first_bytes, end_s = resident_bytes(), time.monotonic() + WAIT_S
    thread.start()
    while thread.is_alive() and time.monotonic() < end_s:
        if resident_bytes() - first_bytes > MAX_GROWTH_BYTES:
            return None
        thread.join(0.005)
    return results[0] if results else None


@pytest.mark.parametrize("kind", ENDLESS_KINDS)
def test_an_answer_without_end_is_given_up(start_sender, kind):
    """The process kept all of it until it ran out of memory, or read until the server ended."""
    url = f"http://{start_sender(kind)}/x"
    result = run_bounded(lambda: HttpClient(TIMEOUT_MS).call("GET", url))
    assert isinstance(result, Lost)
    assert result.sent


@pytest.mark.parametrize("kind", ENDLESS_KINDS)
def test_a_stream_without_end_is_given_up(start_sender, kind):
    """One chunk of any size was read before its events, and trailer fields without end."""
    url = f"http://{start_sender(kind)}/x"
    events = run_bounded(lambda: list(read_stream(HttpClient(TIMEOUT_MS).open("GET", url))))
    assert events is not None


def test_an_answer_up_to_the_bound_is_read(serve_raw, monkeypatch):
    monkeypatch.setattr(http_connections, "MAX_ANSWER_BYTES", 1 << 20)
    client = HttpClient(TIMEOUT_MS)
    for size, is_taken in ((1_000_000, True), (1 << 20, False)):
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)
        assert isinstance(client.call("GET", serve_raw(data).url), Lost) != is_taken
