"""Tests that an engine's answer is used only if it is whole."""

from __future__ import annotations

import pytest

from monsoonflow.backend.openai_http import OpenAiEngine
from tests.raw_server import WITH_CHUNKS, WITHOUT_LENGTH, chunk, with_length

SILENCE_MS = 1_000

BROKEN_CACHES = {
    "shorter than its length": with_length(b"half", 9),
    "closed between two chunks": WITH_CHUNKS + chunk(b"half"),
    "neither length nor chunks": WITHOUT_LENGTH + b"half",
    "HTTP/1.0 without a length": b"HTTP/1.0 200 OK\r\n\r\nhalf",
}


@pytest.mark.parametrize("name", BROKEN_CACHES)
def test_a_part_of_a_kv_cache_is_never_moved(serve_raw, name):
    """The engine dies as it sends a run's cache; given to another one, the run goes on wrongly."""
    engine = OpenAiEngine(serve_raw(BROKEN_CACHES[name]).url, SILENCE_MS)
    assert engine.export_kv("r.1") is None


def test_a_whole_kv_cache_is_returned(serve_raw):
    engine = OpenAiEngine(serve_raw(with_length(b"whole")).url, SILENCE_MS)
    assert engine.export_kv("r.1") == b"whole"


EVENTS = b'{"boot_id": "b", "events": [{"number": 1, "kind": "stored", "prefix": "p"}]}'
STATE = b'{"boot_id": "b", "slots": 2, "max_batch": 4, "resident": ["a@1"], "running": {}}'


@pytest.mark.parametrize("part", [b"", EVENTS[:40], EVENTS[:-1]])
def test_a_part_of_the_cache_events_is_no_answer(serve_raw, part):
    """The read raised ``TypeError`` to whoever asked."""
    engine = OpenAiEngine(serve_raw(WITHOUT_LENGTH + part).url, SILENCE_MS)
    assert engine.cache_events(0) is None


@pytest.mark.parametrize("part", [b"", STATE[:40], STATE[:-1]])
def test_a_part_of_an_engines_state_is_no_answer(serve_raw, part):
    """Adapters that are missing at the end of the state would count as not loaded."""
    engine = OpenAiEngine(serve_raw(WITHOUT_LENGTH + part).url, SILENCE_MS)
    assert engine.state() is None
