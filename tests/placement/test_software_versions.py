"""Tests of slots for streams that may go on only at runners of one software version."""

from __future__ import annotations

import pytest


@pytest.fixture
def cell(make_cell):
    """Return a cell with a runner of each of two software versions."""
    cell = make_cell(2)
    cell.run(50)
    for life, software_version in (("i-0", "v1"), ("i-1", "v2")):
        cell.scheduler.runners[life].software_version = software_version
    return cell


def fill(cell, life):
    """Let a runner have all its slots in use."""
    other_lives = frozenset(cell.runners) - {life}
    for number in range(cell.runners[life].slot_count):
        cell.request(f"{life}-{number}", excluded_runners=other_lives)
        cell.run(300)
        cell.start_requests(life, f"{life}-{number}")


@pytest.mark.parametrize(("software_version", "life"), [("v1", "i-0"), ("v2", "i-1")])
def test_a_slot_at_another_software_version_is_not_granted(cell, software_version, life):
    """A stream that one version began got the slot that was ready at the other."""
    other_lives = frozenset({life})
    cell.request("a1", "begins", excluded_runners=other_lives)
    cell.run(400)
    assert cell.runner_of("begins") not in (None, life)
    cell.request("a1", "goes on", software_version=software_version)
    cell.run(400)
    assert cell.runner_of("goes on") == life


@pytest.mark.parametrize("first", ["v1", None])
def test_requests_for_one_adapter_at_two_software_versions_do_not_wait_for_each_other(cell, first):
    """One plan examined only the first request for an adapter, whose runners were all in use."""
    fill(cell, "i-0")
    excluded = frozenset() if first else frozenset({"i-1"})
    cell.request("a1", "first", software_version=first, excluded_runners=excluded, priority=0)
    cell.request("a1", "second", software_version="v2")
    cell.run(400)
    assert cell.runner_of("second") == "i-1"
    assert cell.runner_of("first") is None


@pytest.mark.parametrize("order", [("v1", None), (None, "v1")])
def test_one_load_serves_requests_with_and_without_a_software_version(cell, order):
    """Two loads of one adapter in one plan would take a slot from another."""
    cell.scheduler.runners["i-1"].software_version = "v1"
    for number, software_version in enumerate(order):
        cell.request("a1", f"r{number}", software_version=software_version)
    cell.run(400)
    assert cell.runner_of("r0") is not None
    assert cell.runner_of("r1") == cell.runner_of("r0")
    assert cell.scheduler.load_count == 1


def test_a_runner_of_a_new_software_version_is_not_used_by_a_request_that_waits(cell):
    """A runner that was added while a stream waited got it, since the stream did not exclude it."""
    fill(cell, "i-0")
    cell.scheduler.runners["i-1"].software_version = "v3"
    cell.request("a1", "waits", software_version="v1")
    cell.run(400)
    assert cell.runner_of("waits") is None
    cell.end_requests("i-0", "i-0-3")
    cell.run(700)
    assert cell.runner_of("waits") == "i-0"
