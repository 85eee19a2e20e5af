"""Fixtures that all tests share."""

from __future__ import annotations

import gc
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from tests.raw_server import RawServer

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=150, database=None)
settings.load_profile("ci")
REPOSITORY = Path(__file__).resolve().parent.parent


def pytest_collection_finish():
    """Exempt what was collected from garbage collection, as a node exempts what its start created.

    Scanning thousands of tests held a worker for half a second in the middle of timed requests.
    """
    gc.collect()
    gc.freeze()


def pytest_runtest_setup():
    """Collect what earlier tests left, not in the middle of this one."""
    gc.collect()


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


@pytest.fixture
def start_sender():
    """Return a function that starts a sender of endless bytes and returns its address."""
    processes = []

    def start(kind: str, pause_s: float = 0.0) -> str:
        process = subprocess.Popen(
            [sys.executable, "-m", "stand_ins.endless_sender", kind, str(pause_s)],
            stdout=subprocess.PIPE,
            cwd=REPOSITORY,
            text=True,
        )
        processes.append(process)
        return f"127.0.0.1:{process.stdout.readline().strip()}"

    yield start
    for process in processes:
        process.kill()
        process.wait()
