"""A stand-in runner for the tests of the soak's partners."""

from __future__ import annotations

import pytest

from script.ports import free_port
from stand_ins.platform_runner import PlatformRunner

EVENTS = 12
"""Of each of its streams."""


@pytest.fixture
def runner():
    server = PlatformRunner("i-1", f"127.0.0.1:{free_port()}", "llm", "base")
    server.events = EVENTS
    server.start()
    yield server
    server.stop()
