"""Tests of what a node remembers of the software versions that began its streams."""

from __future__ import annotations

from monsoonflow.core.clock import ManualClock
from monsoonflow.gateway.models import KnownVersion, UnknownVersion
from monsoonflow.gateway.stream_versions import STREAM_LIFE_MS, LocalStreamVersions


def test_a_stream_is_known_by_its_service_and_first_attempt():
    versions = LocalStreamVersions(ManualClock(0))
    versions.record_begun("s", "r1", "v1")
    assert versions.find("s", "r1", 0) == KnownVersion("v1")
    assert isinstance(versions.find("other", "r1", 0), UnknownVersion)
    assert isinstance(versions.find("s", "r2", 0), UnknownVersion)


def test_a_stream_is_forgotten_when_its_caller_no_longer_comes_back():
    """Streams of the past must not fill the memory, and one that goes on must stay known."""
    clock = ManualClock(0)
    versions = LocalStreamVersions(clock)
    versions.record_begun("s", "ended", "v1")
    versions.record_begun("s", "goes on", "v1")
    clock.advance(STREAM_LIFE_MS)
    versions.record_begun("s", "goes on", "v1")
    clock.advance(1)
    assert isinstance(versions.find("s", "ended", 0), UnknownVersion)
    assert versions.find("s", "goes on", 0) == KnownVersion("v1")


def test_the_number_of_streams_is_bounded():
    """A burst of short streams must not fill the memory."""
    versions = LocalStreamVersions(ManualClock(0), max_streams=3)
    for number in range(5):
        versions.record_begun("s", f"r{number}", "v1")
    found = [versions.find("s", f"r{number}", 0) for number in range(5)]
    assert [isinstance(version, KnownVersion) for version in found] == [False] * 2 + [True] * 3
