"""Tests of a busy lease holder that asks its runners late whether loads are complete."""

from __future__ import annotations

import pytest

LATE_MS = 120


@pytest.fixture
def rush(make_cell):
    """Return a function that runs a rush at a lease holder that was idle and now asks late."""

    def run_rush(runners: int, store_capacity: int) -> list[int]:
        """Return the number of adapters being loaded concurrently, at each step."""
        cell = make_cell(runners, shared_store=store_capacity)
        for number in range(4):
            cell.request(f"calm{number}")
        cell.run(600)
        for number in range(900):
            cell.request(f"a{number}", deadline_ms=cell.now_ms + 600_000, on_time_until_ms=10**9)
        concurrent_loads = []
        for _ in range(66):
            cell.run(LATE_MS, every_ms=LATE_MS)
            concurrent_loads.append(sum(len(runner.loading) for runner in cell.runners.values()))
        return concurrent_loads

    return run_rush


def test_late_confirmations_do_not_make_the_store_seem_slow(rush):
    """Guards against a limit that falls because the lease holder itself is late.

    A holder was idle, then so busy that it asked for loads 110 ms after they were complete. The
    store sent 48 adapters concurrently in 250 ms each. The holder saw 360 ms, took the store for
    slow and allowed only 4 concurrent loads: after 8 s, 84 instead of 437 of 900 queued requests
    had a slot.
    """
    assert max(rush(runners=45, store_capacity=48)[33:]) >= 36


def test_a_slow_store_is_noticed_despite_late_confirmations(rush):
    """The store carries eight loads at full speed, and late confirmations must still show it."""
    assert max(rush(runners=45, store_capacity=8)[33:]) <= 12
