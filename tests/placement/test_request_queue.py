"""Tests of the order in which requests are assigned slots in a rush."""

from __future__ import annotations

from monsoonflow.placement.request_queue import QueueAdmission, QueuedRequest


def queued_request(
    name: str, first_attempt_ms: int, on_time_until_ms: int, expected_load_ms: int = 250
) -> QueuedRequest:
    """Return a queued request."""
    return QueuedRequest(
        adapter_name=name,
        min_version=1,
        priority=1,
        first_attempt_ms=first_attempt_ms,
        on_time_until_ms=on_time_until_ms,
        deadline_ms=on_time_until_ms + 3_000,
        excluded_runners=frozenset(),
        on_result=lambda _: None,
        expected_load_ms=expected_load_ms,
    )


def test_requests_that_can_be_on_time_come_before_those_whose_load_takes_too_long():
    """Guards against a queue in order of arrival, which makes all requests late in a rush.

    The oldest request has 100 ms left, and its adapter takes 250 ms to load. If it got the next
    free slot, it would still be late, and so would the request behind it.
    """
    old = queued_request("old", first_attempt_ms=0, on_time_until_ms=600)
    young = queued_request("young", first_attempt_ms=400, on_time_until_ms=1_000)
    assert sorted([old, young], key=lambda r: r.sort_key(500)) == [young, old]
    cached = queued_request(
        "held before", first_attempt_ms=0, on_time_until_ms=600, expected_load_ms=25
    )
    assert sorted([young, cached], key=lambda r: r.sort_key(500)) == [cached, young]


def test_requests_late_because_of_their_load_are_queued_as_late_requests():
    """Requests on time get slots first; late ones get the slots left over or are refused early."""
    admission = QueueAdmission()
    on_time = [queued_request(f"a{i}", 0, 900) for i in range(60)]
    for assigned in on_time[:40]:
        admission.record_assignment(assigned, 500)
    late = [queued_request(f"b{i}", 0, 600) for i in range(30)]
    refused = {r.adapter_name for r, _ in admission.check_queue([*on_time[:20], *late], 12, 0, 500)}
    assert not refused & {r.adapter_name for r in on_time}
    assert refused
