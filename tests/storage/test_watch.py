"""Tests that a watch reports changed rows despite outages, lost history and stale reads."""

from __future__ import annotations

from collections import deque

import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.storage.models import ChangedRow, Changes, HistoryLost, Unavailable
from monsoonflow.storage.watch import (
    DEFAULT_MAX_GAP_MS,
    DEFAULT_WAIT_MS,
    MIN_PAUSE_MS,
    CollectionWatch,
)


class Feed:
    """A change feed that returns prepared answers in order."""

    def __init__(self):
        self.answers = deque()
        self.requested_after = []

    def read_all(self, collection):
        """Return the next answer."""
        return self.answers.popleft()

    def changes(self, collection, after, wait_ms, answer_timeout_ms):
        """Record the request and return the next answer."""
        self.requested_after.append(after)
        return self.answers.popleft()


@pytest.fixture
def feed():
    return Feed()


@pytest.fixture
def changed_rows():
    return []


@pytest.fixture
def return_calls():
    return []


@pytest.fixture
def clock():
    return ManualClock(100_000)


@pytest.fixture
def watch(feed, changed_rows, return_calls, clock):
    return CollectionWatch(
        feed, "t", None, clock, changed_rows.append, lambda: return_calls.append(True)
    )


def rows(version, *changed):
    return Changes(
        tuple(ChangedRow(key, row_version, body) for key, row_version, body in changed), version
    )


def run_requests(watch, feed, *answers):
    feed.answers.extend(answers)
    return [watch.request_once() for _ in answers]


def test_all_rows_are_read_before_changes_are_requested(watch, feed, changed_rows):
    run_requests(
        watch, feed, rows(5, ("a", 3, b"1")), rows(6, ("a", 6, b"2")), rows(7, ("a", 7, None))
    )
    assert [row.body for row in changed_rows] == [b"1", b"2", None]
    assert feed.requested_after == [5, 6]


def test_a_stale_read_after_lost_history_is_not_applied(watch, feed, changed_rows):
    """After lost history the next read comes from a replica that is seconds behind.

    If it were applied, a departed server and a replaced configuration would be back.
    """
    run_requests(watch, feed, rows(5, ("a", 3, b"old")), rows(9, ("a", 9, b"new")), HistoryLost())
    assert run_requests(watch, feed, rows(6, ("a", 3, b"old")))[0] > 0
    assert [row.body for row in changed_rows] == [b"old", b"new"]
    run_requests(watch, feed, rows(11, ("a", 9, b"new"), ("b", 11, b"x")))
    assert [row.body for row in changed_rows] == [b"old", b"new", b"x"]


def test_a_row_missing_after_lost_history_is_reported_as_removed(watch, feed, changed_rows):
    run_requests(watch, feed, rows(5, ("a", 3, b"1"), ("b", 4, b"1")), HistoryLost())
    run_requests(watch, feed, rows(9, ("a", 3, b"1")))
    assert (changed_rows[-1].key, changed_rows[-1].body) == ("b", None)


def test_rows_that_a_service_has_lost_are_not_reported_as_removed(feed, changed_rows, clock):
    """All servers that had registered after the copy counted as gone."""
    calls = []
    watch = CollectionWatch(
        feed,
        "t",
        None,
        clock,
        changed_rows.append,
        on_rows_lost=lambda: calls.append("rows lost"),
        on_row_lost=calls.append,
    )
    after_return = Changes((ChangedRow("a", 102, b"1"),), 102, generation=1)
    run_requests(watch, feed, rows(5, ("a", 3, b"1"), ("b", 4, b"2")), HistoryLost())
    changed_rows.clear()
    run_requests(watch, feed, after_return)
    assert calls == ["rows lost", "b"]
    assert [(row.key, row.body) for row in changed_rows] == [("a", b"1")]
    run_requests(watch, feed, HistoryLost(), Changes((), 102, generation=1))
    assert [(row.key, row.body) for row in changed_rows[1:]] == [("a", None)]


def test_the_end_of_an_outage_is_reported_once(watch, feed, changed_rows, return_calls):
    lost = Unavailable("down")
    pauses = run_requests(watch, feed, rows(5, ("a", 3, b"1")), lost, lost)
    assert pauses[1] > 0
    assert watch.lost_since_ms is not None
    run_requests(watch, feed, rows(6, ("a", 6, b"2")))
    assert return_calls == [True]
    assert watch.lost_since_ms is None


def test_pauses_grow_during_an_outage(watch, feed):
    """Each refused call costs, and seven nodes send requests from three watches each.

    Without growing pauses each watch would send one every 250 ms of an outage.
    """
    pauses = run_requests(watch, feed, *[Unavailable("down")] * 8)
    assert pauses[0] < pauses[-1] <= 1_000


def test_an_older_version_of_a_row_is_not_applied(watch, feed, changed_rows):
    run_requests(watch, feed, rows(5, ("a", 4, b"4")), rows(6, ("a", 3, b"3")))
    assert [row.body for row in changed_rows] == [b"4"]


def test_rows_are_known_up_to_the_last_request_that_was_answered(watch, feed, clock):
    """A node whose list of servers is old would conclude that no other version has come."""
    run_requests(watch, feed, rows(5))
    first_ms = clock.now_ms()
    clock.advance(1_500)
    run_requests(watch, feed, Unavailable("down"))
    assert (watch.coverage.since_ms, watch.coverage.until_ms) == (first_ms, first_ms)
    clock.advance(400)
    run_requests(watch, feed, rows(6))
    assert (watch.coverage.since_ms, watch.coverage.until_ms) == (first_ms, clock.now_ms())
    assert watch.coverage.is_current(clock.now_ms() + DEFAULT_MAX_GAP_MS)
    assert not watch.coverage.is_current(clock.now_ms() + DEFAULT_MAX_GAP_MS + 1)


def test_the_time_before_a_long_pause_does_not_count_as_known(watch, feed, clock):
    """During an outage a server of another version may come and go without a trace."""
    run_requests(watch, feed, rows(5), Unavailable("down"))
    clock.advance(DEFAULT_MAX_GAP_MS + 1)
    run_requests(watch, feed, rows(6))
    assert watch.coverage.since_ms == clock.now_ms()
    assert watch.coverage.has_gap()


class WaitingFeed(Feed):
    """A feed that calls a function while a request waits, which may cancel the request."""

    def __init__(self):
        super().__init__()
        self.waits = []
        self.during_wait = lambda: None
        self.is_cancelled = False

    def changes(self, collection, after, wait_ms, answer_timeout_ms):
        """Call ``during_wait``; answer unless the request was cancelled."""
        self.waits.append(wait_ms)
        self.during_wait()
        if self.is_cancelled:
            self.is_cancelled = False
            return Unavailable("cancelled")
        return super().changes(collection, after, wait_ms, answer_timeout_ms)

    def cancel_request(self):
        """Cancel the request."""
        self.is_cancelled = True


def test_a_restarted_request_is_sent_again_without_a_wait(changed_rows, return_calls):
    """Another watch finds the service unresponsive: the answer to this one may be lost for 20 s.

    The cancelled request is not reported as an outage, and after its replacement the next request
    waits again.
    """
    feed = WaitingFeed()
    watch = CollectionWatch(
        feed, "t", None, ManualClock(), changed_rows.append, lambda: return_calls.append(True)
    )
    run_requests(watch, feed, rows(5, ("a", 3, b"1")))
    feed.during_wait = watch.restart_waiting_request
    assert watch.request_once() == 0
    feed.during_wait = lambda: None
    run_requests(watch, feed, rows(6, ("a", 6, b"2")), rows(7))
    assert feed.waits == [DEFAULT_WAIT_MS, 0, DEFAULT_WAIT_MS]
    assert [row.body for row in changed_rows] == [b"1", b"2"]
    assert not return_calls and watch.lost_since_ms is None


def test_a_request_that_does_not_wait_is_not_cancelled(changed_rows):
    feed = WaitingFeed()
    watch = CollectionWatch(feed, "t", None, ManualClock(), changed_rows.append)
    watch.restart_waiting_request()
    feed.answers.append(rows(5))
    feed.during_wait = watch.restart_waiting_request
    watch.request_once()
    assert not feed.is_cancelled


class Flag:
    """A flag that records the timeout of each wait."""

    def __init__(self, waits):
        self.waits = waits
        self.is_set = False

    def set(self):
        """Set the flag."""
        self.is_set = True

    def clear(self):
        """Clear the flag."""
        self.is_set = False

    def wait(self, timeout_ms=None):
        """Record the timeout, or 0 if the flag is set."""
        self.waits.append(0 if self.is_set else timeout_ms)
        return self.is_set


class StopRun(Exception):
    """Ends the loop of the watch."""


class Tasks:
    """Tasks that record sleeps instead of sleeping."""

    def __init__(self, sleeps, waits, on_sleep):
        self.sleeps = sleeps
        self.on_sleep = on_sleep
        self.created_flag = Flag(waits)

    def flag(self):
        """Return the flag."""
        return self.created_flag

    def sleep(self, wait_ms):
        """Record a sleep."""
        self.sleeps.append(wait_ms)
        self.on_sleep()


def test_request_soon_ends_a_long_pause_but_never_the_minimum_one(feed, changed_rows):
    """Peers announce changes; many announcements must not cause one request each."""
    sleeps, waits = [], []
    feed.answers.extend([rows(1), rows(2), rows(3), rows(4)])

    def on_sleep():
        if len(sleeps) == 2:
            watch.request_soon()
        if len(sleeps) == 3:
            raise StopRun

    tasks = Tasks(sleeps, waits, on_sleep)
    watch = CollectionWatch(
        feed, "t", tasks, ManualClock(), changed_rows.append, pause_ms=lambda: 9_000
    )
    with pytest.raises(StopRun):
        watch.run()
    assert sleeps == [MIN_PAUSE_MS] * 3
    assert waits == [9_000 - MIN_PAUSE_MS, 0]
