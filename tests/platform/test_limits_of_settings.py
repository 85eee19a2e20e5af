"""The memory and the sockets that a process may use, as its settings file states them."""

from __future__ import annotations

import pytest

from monsoonflow.platform.settings import read_settings
from monsoonflow.transport.connection_limit import FILE_DESCRIPTORS, default_max_sockets
from monsoonflow.transport.held_bytes import DEFAULT_MEMORY_BYTES
from soak.fleet import NODE_SETTINGS

ADDRESSES = {"front": 8_001, "ready": 8_002, "control": 8_003, "directory": 8_004}


@pytest.fixture
def read(tmp_path):
    """Return a function that reads settings with some limits."""

    def read_with(memory_mb: str, max_descriptors: str):
        path = tmp_path / "n1.toml"
        path.write_text(
            NODE_SETTINGS.format(
                name="n1",
                ip="127.0.0.1",
                zone="z",
                reports=8_005,
                seeds=[],
                drain_ms=2_000,
                store="127.0.0.1:8006",
                memory_mb=memory_mb,
                max_descriptors=max_descriptors,
                **{name: f"127.0.0.1:{port}" for name, port in ADDRESSES.items()},
            )
        )
        return read_settings(str(path), 9_464)

    return read_with


@pytest.mark.parametrize(("memory_mb", "memory_bytes"), [("200", 200 << 20), ("0.5", 1 << 19)])
def test_the_memory_is_read(read, memory_mb, memory_bytes):
    assert read(memory_mb, "1000").memory_bytes == memory_bytes


@pytest.mark.parametrize("unusable", ["0", "-1", "true", '"many"', "[]", "nan", "inf"])
def test_an_unusable_limit_stands_for_the_default(read, unusable):
    settings = read(unusable, unusable)
    assert settings.memory_bytes == DEFAULT_MEMORY_BYTES
    assert settings.max_sockets == default_max_sockets()


def test_some_descriptors_are_left_for_files(read):
    assert read("200", "700").max_sockets == 700 - FILE_DESCRIPTORS
    assert read("200", "100000000").max_sockets == default_max_sockets()
