"""Tests of a holder that asks its runners late whether loads are complete."""

from __future__ import annotations

MORE_THAN_ANY_LIMIT_FOUND = 30


def test_a_holder_that_asks_late_does_not_take_the_store_for_slow(make_world):
    """A busy holder plans each 60 ms, and asks one after the other of four loads at a runner.

    The store sent 48 adapters at once in 250 ms each. The holder saw them complete after 300 to
    370 ms, took the store for slow, and let 10 come at once where 27 had come before: with 280
    waiting it gave 130 places a second instead of 230.
    """
    world = make_world(12)
    for number in range(400):
        world.ask(f"a{number}", until_ms=world.now_ms + 600_000, on_time_until_ms=10**9)
    at_once = []
    for _ in range(60):
        world.run(60, every_ms=60)
        at_once.append(sum(len(runner.coming) for runner in world.runners.values()))
    assert max(at_once[30:]) >= MORE_THAN_ANY_LIMIT_FOUND, at_once


def test_a_store_that_is_slow_is_seen_by_a_late_holder_too(make_world):
    """The store carries eight at full speed; what a late holder sees must still show it."""
    world = make_world(12, shared_store=8)
    for number in range(400):
        world.ask(f"a{number}", until_ms=world.now_ms + 600_000, on_time_until_ms=10**9)
    at_once = []
    for _ in range(100):
        world.run(60, every_ms=60)
        at_once.append(sum(len(runner.coming) for runner in world.runners.values()))
    assert max(at_once[60:]) <= 12, at_once
