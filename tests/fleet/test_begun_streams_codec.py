"""Messages about the software versions of streams, between nodes of the same and other releases."""

from __future__ import annotations

import attrs
import orjson
import pytest

from monsoonflow.fleet import codec
from monsoonflow.fleet.models import BegunStreams, Heartbeat, NodeRecord, ShortHeartbeat

RECORD = NodeRecord("n1", "b1", "z", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3")
HEARTBEAT = Heartbeat(RECORD, 1, True, False, 1, True, keeps_stream_versions=True)
BEGUN = BegunStreams("n1", {"llm": {"v1": ("r1", "r2"), "v1.1": ("r3",)}})


def test_begun_streams_are_decoded_as_they_were_encoded():
    assert codec.decode(codec.encode_begun_streams(BEGUN)) == BEGUN


def test_a_node_of_an_earlier_release_ignores_begun_streams(monkeypatch):
    """Taken for a message that it knows, begun streams would spoil what it knows of its peer."""
    data = codec.encode_begun_streams(BEGUN)
    monkeypatch.setattr(codec, "BEGUN_STREAMS_FORMAT", "unknown")
    assert codec.decode(data) is None


def test_a_message_about_streams_is_small():
    """A node with callers sends three of them for each stream while a service has two versions."""
    ids = tuple(f"{number:016x}" for number in range(50))
    sizes = [
        len(
            codec.encode_begun_streams(
                BegunStreams("front-andina-1-2", {"engine-main": by_version})
            )
        )
        for by_version in ({"v1.1": ids[:1]}, {"v1.1": ids})
    ]
    assert sizes == [71, 71 + 49 * 19]


@pytest.mark.parametrize(
    "fields",
    [
        ["b1"],
        ["b1", "n1"],
        ["b1", "n1", None],
        ["b1", "n1", []],
        ["b1", "n1", {"llm": ["r1"]}],
        ["b1", "n1", {"llm": {"v1": 3}}],
    ],
)
def test_malformed_begun_streams_are_ignored(fields):
    """An exception in the receiving task would end the exchange of heartbeats."""
    assert codec.decode(orjson.dumps(fields)) is None


def test_heartbeats_tell_that_a_node_keeps_versions_of_streams():
    short = ShortHeartbeat.from_heartbeat(HEARTBEAT, with_record=True)
    assert codec.decode(codec.encode_heartbeat(HEARTBEAT)).keeps_stream_versions
    assert codec.decode(codec.encode_short_heartbeat(short)).keeps_stream_versions
    assert short.to_heartbeat(None, RECORD).keeps_stream_versions


def test_a_node_of_an_earlier_release_is_not_taken_for_a_keeper():
    """It sends neither field; told of a stream, it would drop the message."""
    fields = orjson.loads(codec._heartbeat_json(HEARTBEAT))[:26]
    assert not codec._heartbeat_from_fields(fields).keeps_stream_versions
    short = codec.encode_short_heartbeat(ShortHeartbeat.from_heartbeat(HEARTBEAT, True))
    earlier = orjson.dumps(orjson.loads(short)[:13])
    assert codec.decode(earlier) == attrs.evolve(codec.decode(short), keeps_stream_versions=False)
