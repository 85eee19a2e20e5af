"""Tests of the order in which requests get places in a rush."""

from __future__ import annotations

from monsoonflow.placement.request_queue import QueueAdmission, QueuedRequest


def waiter(name: str, since_ms: int, on_time_until_ms: int, load_ms: int = 250) -> QueuedRequest:
    """Return a request that waits."""
    return QueuedRequest(
        adapter_name=name,
        min_version=1,
        priority=1,
        first_attempt_ms=since_ms,
        on_time_until_ms=on_time_until_ms,
        deadline_ms=on_time_until_ms + 3_000,
        excluded_runners=frozenset(),
        on_result=lambda _: None,
        expected_load_ms=load_ms,
    )


def test_a_place_that_is_ready_too_late_goes_to_who_can_still_be_on_time():
    """In a rush the oldest request has 100 ms left for a place, and its adapter takes 250 to load.

    Given the next free place, its answer is late all the same, and so is the answer of the one
    behind it, which would have been on time: served in the order of age, a queue makes all late.
    """
    old = waiter("old", since_ms=0, on_time_until_ms=600)
    young = waiter("young", since_ms=400, on_time_until_ms=1_000)
    assert sorted([old, young], key=lambda w: w.sort_key(500)) == [young, old]
    held_before = waiter("held before", since_ms=0, on_time_until_ms=600, load_ms=25)
    assert sorted([young, held_before], key=lambda w: w.sort_key(500)) == [held_before, young]


def test_who_is_late_by_the_time_of_its_load_waits_in_the_queue_of_the_late():
    """Places go to those on time first; a late one gets what they leave, and is told so early."""
    pace = QueueAdmission()
    on_time = [waiter(f"a{i}", 0, 900) for i in range(60)]
    for one in on_time[:40]:
        pace.record_assignment(one, 500)
    late = [waiter(f"b{i}", 0, 600) for i in range(30)]
    refused = {w.adapter_name for w, _ in pace.check_queue([*on_time[:20], *late], 12, 0, 500)}
    assert not refused & {w.adapter_name for w in on_time}
    assert refused
