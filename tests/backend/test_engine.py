"""Tests of the engine's interface against its stand-in, a process of its own."""

from __future__ import annotations

import pytest

from monsoonflow.backend.models import (
    Began,
    Broken,
    Chunk,
    Ended,
    OrderDone,
    OrderRefused,
    OrderStamp,
    Refused,
)
from monsoonflow.backend.openai_http import OpenAiEngine
from monsoonflow.core.adapter import AdapterRef
from script.fleet import Fleet
from stand_ins.text import expected_text

pytestmark = pytest.mark.processes
ADAPTER = AdapterRef("a", 1)


@pytest.fixture(scope="module")
def engines(tmp_path_factory):
    fleet = Fleet(tmp_path_factory.mktemp("logs"), loads_per_second=50)
    try:
        fleet.start_platform()
        for name in ("m0", "m1"):
            fleet.start_runner(name, "--slots", "2", "--step-ms", "5")
        made = [OpenAiEngine(fleet.url(name), 3_000) for name in ("m0", "m1")]
        for engine in made:
            assert engine.load(ADAPTER, 1) == OrderDone()
        yield fleet, *made
    finally:
        fleet.close()


def text_of(events):
    return "".join(event.text for event in events if isinstance(event, Chunk))


def test_run_streams_and_ends_with_its_marker(engines):
    _, engine, _ = engines
    body = {"prompt": "p", "max_tokens": 5}
    events = list(engine.run(OrderStamp("r1.1", 1), ADAPTER, body, fresh=True))
    assert isinstance(events[0], Began)
    assert events[0].served == "a@1"
    assert isinstance(events[-1], Ended)
    assert text_of(events) == expected_text("a@1", "p", 5)


def test_missing_adapter_and_unknown_run(engines):
    _, engine, _ = engines
    body = {"prompt": "p", "max_tokens": 5}
    other = AdapterRef("b", 1)
    refused = list(engine.run(OrderStamp("r2.1", 1), other, body, fresh=False))
    assert isinstance(refused[-1], Refused)
    assert isinstance(list(engine.resume("none.1", 0))[-1], Broken)


def test_old_fencing_number_is_refused(engines):
    _, engine, _ = engines
    assert engine.fence(5) == OrderDone()
    refused = engine.load(AdapterRef("c", 1), 4)
    assert isinstance(refused, OrderRefused)
    assert refused.stale_fence
    assert engine.load(AdapterRef("c", 1), 5) == OrderDone()


def test_run_moves_with_its_kv_cache(engines):
    _, first, second = engines
    body = {"prompt": "long", "max_tokens": 120}
    events = first.run(OrderStamp("r3.1", 9), ADAPTER, body, fresh=True)
    got = [event for event, _ in zip(events, range(10), strict=False)]
    cache = first.export_kv("r3.1")
    assert cache is not None
    assert first.cancel(OrderStamp("r3.1", 9)) == OrderDone()
    assert second.import_kv(OrderStamp("r3.1", 1), cache) == OrderDone()
    chunks = [event for event in got if isinstance(event, Chunk)]
    rest = list(second.resume("r3.1", len(chunks)))
    assert text_of(chunks + rest) == expected_text("a@1", "long", 120)
    assert isinstance(rest[-1], Ended)


def test_role_is_changed_or_refused(engines):
    _, _, engine = engines
    assert engine.set_role("decode", 1) == OrderDone()
    assert isinstance(engine.set_role("cook", 1), OrderRefused)


def test_gap_in_cache_events_is_seen(engines):
    _, _, engine = engines
    for number in range(70):
        body = {"prompt": f"p{number}", "max_tokens": 1}
        list(engine.run(OrderStamp(f"c{number}.1", 1), ADAPTER, body, fresh=False))
    whole = engine.cache_events(60)
    assert not whole.gap
    assert whole.events[-1].number >= 70
    assert engine.cache_events(0).gap
