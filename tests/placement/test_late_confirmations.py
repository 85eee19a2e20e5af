"""Tests of a holder that asks its runners late whether loads are complete."""

from __future__ import annotations

import pytest

LATE_MS = 120


@pytest.fixture
def rush(make_world):
    """Return a function that plays a rush before a holder that was calm and is late now."""

    def play(runners: int, store: int) -> list[int]:
        """Return how many adapters were on their way at once, over time."""
        world = make_world(runners, shared_store=store)
        for number in range(4):
            world.ask(f"calm{number}")
        world.run(600)
        for number in range(900):
            world.ask(f"a{number}", deadline_ms=world.now_ms + 600_000, on_time_until_ms=10**9)
        at_once = []
        for _ in range(66):
            world.run(LATE_MS, every_ms=LATE_MS)
            at_once.append(sum(len(runner.coming) for runner in world.runners.values()))
        return at_once

    return play


def test_a_holder_that_asks_late_does_not_take_the_store_for_slow(rush):
    """A holder is calm, then so busy that it asks for loads 110 ms after they are complete.

    The store sent 48 adapters at once in 250 ms each. The holder saw 360 ms, took the store for
    slow, and let 4 come at once from then on: of 900 who waited 84 had a place after 8 s, not 437.
    """
    assert max(rush(runners=45, store=48)[33:]) >= 36


def test_a_store_that_is_slow_is_seen_by_a_late_holder_too(rush):
    """The store carries eight at full speed; what a late holder sees must still show it."""
    assert max(rush(runners=45, store=8)[33:]) <= 12
