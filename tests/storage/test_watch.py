"""Tests of following rows through outages, lost history and stale reads."""

from __future__ import annotations

from collections import deque

import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.storage.models import ChangedRow, Changes, HistoryLost, Unavailable
from monsoonflow.storage.watch import DEFAULT_WAIT_MS, MIN_PAUSE_MS, CollectionWatch


class Feed:
    """Gives prepared answers, in turn."""

    def __init__(self):
        self.answers = deque()
        self.asked_after = []

    def read_all(self, collection):
        """Return the next answer."""
        return self.answers.popleft()

    def changes(self, collection, after, wait_ms, answer_timeout_ms):
        """Return the next answer and note the question."""
        self.asked_after.append(after)
        return self.answers.popleft()


@pytest.fixture
def feed():
    return Feed()


@pytest.fixture
def seen():
    return []


@pytest.fixture
def returned():
    return []


@pytest.fixture
def watch(feed, seen, returned):
    return CollectionWatch(
        feed, "t", None, ManualClock(), seen.append, lambda: returned.append(True)
    )


def rows(version, *changed):
    return Changes(tuple(ChangedRow(key, at, body) for key, at, body in changed), version)


def play(watch, feed, *answers):
    feed.answers.extend(answers)
    return [watch.request_once() for _ in answers]


def test_everything_is_read_then_changes_follow(watch, feed, seen):
    play(watch, feed, rows(5, ("a", 3, b"1")), rows(6, ("a", 6, b"2")), rows(7, ("a", 7, None)))
    assert [row.body for row in seen] == [b"1", b"2", None]
    assert feed.asked_after == [5, 6]


def test_a_stale_read_after_lost_history_is_not_taken(watch, feed, seen):
    """The history is dropped; the next read comes from a copy that is seconds behind.

    Taken, it would bring back a server that has left and a configuration that was replaced.
    """
    play(watch, feed, rows(5, ("a", 3, b"old")), rows(9, ("a", 9, b"new")), HistoryLost())
    assert play(watch, feed, rows(6, ("a", 3, b"old")))[0] > 0
    assert [row.body for row in seen] == [b"old", b"new"]
    play(watch, feed, rows(11, ("a", 9, b"new"), ("b", 11, b"x")))
    assert [row.body for row in seen] == [b"old", b"new", b"x"]


def test_what_is_missing_after_lost_history_is_gone(watch, feed, seen):
    play(watch, feed, rows(5, ("a", 3, b"1"), ("b", 4, b"1")), HistoryLost())
    play(watch, feed, rows(9, ("a", 3, b"1")))
    assert (seen[-1].key, seen[-1].body) == ("b", None)


def test_an_outage_is_told_once_and_its_end_before_the_rows(watch, feed, seen, returned):
    lost = Unavailable("down")
    pauses = play(watch, feed, rows(5, ("a", 3, b"1")), lost, lost)
    assert pauses[1] > 0
    assert watch.lost_since_ms is not None
    play(watch, feed, rows(6, ("a", 6, b"2")))
    assert returned == [True]
    assert watch.lost_since_ms is None


def test_pauses_grow_through_an_outage(watch, feed):
    """Seven nodes ask three times each, every 250 ms of an outage: each refused call costs."""
    pauses = play(watch, feed, *[Unavailable("down")] * 8)
    assert pauses[0] < pauses[-1] <= 1_000


def test_rows_are_never_taken_backwards(watch, feed, seen):
    play(watch, feed, rows(5, ("a", 4, b"4")), rows(6, ("a", 3, b"3")))
    assert [row.body for row in seen] == [b"4"]


class Waiting(Feed):
    """A feed whose question waits until it is given up."""

    def __init__(self):
        super().__init__()
        self.waits = []
        self.meanwhile = lambda: None
        self.hung_up = False

    def changes(self, collection, after, wait_ms, answer_timeout_ms):
        """Let something happen while the question waits."""
        self.waits.append(wait_ms)
        self.meanwhile()
        if self.hung_up:
            self.hung_up = False
            return Unavailable("given up")
        return super().changes(collection, after, wait_ms, answer_timeout_ms)

    def cancel_request(self):
        """Give the question up."""
        self.hung_up = True


def test_a_question_that_is_doubted_is_asked_anew_without_a_wait(seen, returned):
    """Another watch finds the service silent: what this one waits for may be lost for 20 s.

    That it was given up is no outage: nothing is told of one, and the next question waits again.
    """
    feed = Waiting()
    watch = CollectionWatch(
        feed, "t", None, ManualClock(), seen.append, lambda: returned.append(True)
    )
    play(watch, feed, rows(5, ("a", 3, b"1")))
    feed.meanwhile = watch.restart_waiting_request
    assert watch.request_once() == 0
    feed.meanwhile = lambda: None
    play(watch, feed, rows(6, ("a", 6, b"2")), rows(7))
    assert feed.waits == [DEFAULT_WAIT_MS, 0, DEFAULT_WAIT_MS]
    assert [row.body for row in seen] == [b"1", b"2"]
    assert not returned and watch.lost_since_ms is None


def test_a_question_that_does_not_wait_is_not_given_up(seen):
    feed = Waiting()
    watch = CollectionWatch(feed, "t", None, ManualClock(), seen.append)
    watch.restart_waiting_request()
    feed.answers.append(rows(5))
    feed.meanwhile = watch.restart_waiting_request
    watch.request_once()
    assert not feed.hung_up


class Flag:
    """A flag that notes how long it was waited for."""

    def __init__(self, waits):
        self.waits = waits
        self.raised = False

    def set(self):
        """Raise the flag."""
        self.raised = True

    def clear(self):
        """Lower the flag."""
        self.raised = False

    def wait(self, timeout_ms=None):
        """Note the time, unless the flag is up."""
        self.waits.append(0 if self.raised else timeout_ms)
        return self.raised


class Ended(Exception):
    """The watch has run as long as it should."""


class Tasks:
    """Tasks whose time is only noted."""

    def __init__(self, sleeps, waits, on_sleep):
        self.sleeps = sleeps
        self.on_sleep = on_sleep
        self.made = Flag(waits)

    def flag(self):
        """Return the flag."""
        return self.made

    def sleep(self, wait_ms):
        """Note a time."""
        self.sleeps.append(wait_ms)
        self.on_sleep()


def test_a_poke_ends_a_long_pause_and_never_the_least_one(feed, seen):
    """A peer tells that there is news; many such words must not make a question each."""
    sleeps, waits = [], []
    feed.answers.extend([rows(1), rows(2), rows(3), rows(4)])

    def on_sleep():
        if len(sleeps) == 2:
            watch.request_soon()
        if len(sleeps) == 3:
            raise Ended

    tasks = Tasks(sleeps, waits, on_sleep)
    watch = CollectionWatch(feed, "t", tasks, ManualClock(), seen.append, pause_ms=lambda: 9_000)
    with pytest.raises(Ended):
        watch.run()
    assert sleeps == [MIN_PAUSE_MS] * 3
    assert waits == [9_000 - MIN_PAUSE_MS, 0]
