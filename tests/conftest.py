"""Fixtures that all tests share."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from hypothesis import settings

from tests.raw_server import RawServer

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=150, database=None)
settings.load_profile("ci")


@pytest.fixture
def fleet(tmp_path):
    """Give a fleet of real processes on loopback that ends with the test."""
    from script.fleet import Fleet

    running = Fleet(tmp_path / "logs")
    yield running
    running.close()


@pytest.fixture
def serve_raw() -> Iterator[Callable[..., RawServer]]:
    """Return a function that starts a server which sends given bytes and closes."""
    servers: list[RawServer] = []

    def start(data: bytes, has_reset: bool = False) -> RawServer:
        servers.append(RawServer(data, has_reset))
        return servers[-1]

    yield start
    for server in servers:
        server.close()
