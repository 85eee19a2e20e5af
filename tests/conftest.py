"""Fixtures that all tests share."""

from __future__ import annotations

import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=150, database=None)
settings.load_profile("ci")


@pytest.fixture
def fleet(tmp_path):
    """Give a fleet of real processes on loopback that ends with the test."""
    from script.fleet import Fleet

    running = Fleet(tmp_path / "logs")
    yield running
    running.close()
