"""Tests of what a node remembers of the software versions that began streams."""

from __future__ import annotations

from monsoonflow.entry.stream_memory import StreamMemory

STREAM_LIFE_MS = 1_000


def test_a_stream_is_known_by_its_service_and_first_attempt():
    memory = StreamMemory(STREAM_LIFE_MS)
    memory.add("s", "r1", "v1", True, 0)
    assert memory.find("s", "r1", 0) == "v1"
    assert memory.find("other", "r1", 0) is None
    assert memory.find("s", "r2", 0) is None


def test_a_stream_is_forgotten_when_its_caller_no_longer_comes_back():
    """Streams of the past must not fill the memory, and one that goes on must stay known."""
    memory = StreamMemory(STREAM_LIFE_MS)
    memory.add("s", "ended", "v1", True, 0)
    memory.add("s", "goes on", "v1", True, 0)
    memory.add("s", "goes on", "v1", True, STREAM_LIFE_MS - 1)
    memory.drop_expired(STREAM_LIFE_MS + 1)
    assert memory.find("s", "ended", STREAM_LIFE_MS + 1) is None
    assert memory.find("s", "goes on", STREAM_LIFE_MS + 1) == "v1"
    assert len(memory) == 1


def test_the_number_of_streams_is_bounded():
    """A burst of short streams must not fill the memory."""
    memory = StreamMemory(STREAM_LIFE_MS, max_streams=3)
    for number in range(5):
        memory.add("s", f"r{number}", "v1", True, 0)
    found = [memory.find("s", f"r{number}", 0) for number in range(5)]
    assert found == [None] * 2 + ["v1"] * 3
