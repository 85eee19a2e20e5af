"""Tests that an engine's answer is used only if it is whole."""

from __future__ import annotations

import pytest

from monsoonflow.backend.models import Cut, Ended, OrderStamp
from monsoonflow.backend.openai_http import OpenAiEngine
from monsoonflow.core.adapter import AdapterRef
from monsoonflow.helpers.sse import MAX_EVENT_BYTES
from tests.raw_server import WITH_CHUNKS, WITHOUT_LENGTH, chunk, invalid_answers, with_length

SILENCE_MS = 1_000
STAMP = OrderStamp("r.1", 1)
ADAPTER = AdapterRef("a", 1)

BROKEN_CACHES = {
    **invalid_answers(b"whole"),
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


EVENTS_OF_A_RUN = [
    b": keep-alive\n\n",
    b'id: 0\ndata: {"choices":[{"index":0,"text":"so "}]}\n\n',
    b'id: 1\ndata: {"choices":[{"index":0,"text":"far"}]}\n\n',
]
END = b'data: {"usage":{"completion_tokens":2},"digest":"d"}\n\n'
FINISH = b'data: {"choices":[{"index":0,"finish_reason":"stop","text":""}]}\n\n'
DONE = b"data: [DONE]\n\n"
ALL = b"".join(EVENTS_OF_A_RUN)
LAST_CHUNK = b"0\r\n\r\n"

BROKEN_STREAMS = {
    "chunks end properly without an end marker": WITH_CHUNKS + chunk(ALL) + LAST_CHUNK,
    "[DONE] without an end marker": WITH_CHUNKS + chunk(ALL + DONE) + LAST_CHUNK,
    "finish_reason without an end marker": WITH_CHUNKS + chunk(ALL + FINISH + DONE) + LAST_CHUNK,
    "no event at all": WITH_CHUNKS + LAST_CHUNK,
    "closed between two events": WITH_CHUNKS + chunk(ALL),
    "closed inside an event": WITH_CHUNKS + chunk(ALL[:-9]),
    "closed inside the end marker": WITH_CHUNKS + chunk(ALL + END[:-9]),
    "closed inside the line end of the end marker": WITH_CHUNKS + chunk(ALL + END[:-1]),
    "closed inside a chunk": WITH_CHUNKS + chunk(ALL)[:-9],
    "closed inside the size of a chunk": WITH_CHUNKS + chunk(ALL) + b"2",
    "a part of an event before the last chunk": WITH_CHUNKS + chunk(ALL[:-9]) + LAST_CHUNK,
    "as long as its length without an end marker": with_length(ALL),
    "shorter than its length": with_length(ALL, 500),
    "neither length nor chunks": WITHOUT_LENGTH + ALL,
    "neither length nor chunks, inside an event": WITHOUT_LENGTH + ALL[:-9],
    "HTTP/1.0 without a length": b"HTTP/1.0 200 OK\r\n\r\n" + ALL,
    "closed inside the head": b"HTTP/1.1 200 OK\r\nTransfer-Enc",
}


@pytest.mark.parametrize("has_reset", [False, True])
@pytest.mark.parametrize("name", BROKEN_STREAMS)
def test_a_stream_without_its_end_marker_is_cut(serve_raw, name, has_reset):
    """An engine's process dies in the middle of an answer; the caller would get half of it."""
    engine = OpenAiEngine(serve_raw(BROKEN_STREAMS[name], has_reset).url, SILENCE_MS)
    events = list(engine.run(STAMP, ADAPTER, {"prompt": "p"}, fresh=True))
    assert isinstance(events[-1], Cut) and events[-1].sent
    assert not any(isinstance(event, Ended) for event in events)
    resumed = list(engine.resume("r.1", 0))
    assert isinstance(resumed[-1], Cut)


def test_a_stream_with_its_end_marker_has_ended(serve_raw):
    data = WITH_CHUNKS + chunk(ALL + END + DONE) + LAST_CHUNK
    events = list(OpenAiEngine(serve_raw(data).url, SILENCE_MS).resume("r.1", 0))
    assert events[-1] == Ended(2, "d")


@pytest.mark.parametrize(
    "body",
    [b"", b'{"error": {"outcome": "not_run", "message": "full"'],
)
def test_a_refusal_that_broke_off_says_nothing(serve_raw, body):
    """Only a whole answer can say that nothing ran."""
    data = b"HTTP/1.1 503 Unavailable\r\n\r\n" + body
    engine = OpenAiEngine(serve_raw(data).url, SILENCE_MS)
    events = list(engine.run(STAMP, ADAPTER, {"prompt": "p"}, fresh=True))
    assert events == [Cut("status 503")]


def test_an_event_without_end_in_one_chunk_is_given_up(serve_raw):
    """The chunk was read to its end first, of whatever size the engine states it."""
    endless = WITH_CHUNKS + b"40000000\r\n" + b": x\n" * (MAX_EVENT_BYTES // 2)
    engine = OpenAiEngine(serve_raw(endless).url, SILENCE_MS)
    events = list(engine.run(STAMP, ADAPTER, {}, fresh=True))
    assert events[-1] == Cut("the stream ended without its end marker")
