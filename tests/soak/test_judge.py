"""Tests of the judge: it sees each way in which a request can reach a server too late."""

from __future__ import annotations

import pytest

from monsoonflow.report.timeline import LogEntry
from soak.const import CONTACT_MS, DRAIN_MS
from soak.judge import Cause, Disturbance, late_arrivals
from soak.processes import Record

LEFT_MS = 100_000
LATE_MS = LEFT_MS + DRAIN_MS + 500


def of_store(event: str, at_ms: int) -> Record:
    """Return the store's word of a server."""
    return Record("store", at_ms, event, {"server": "i-1"})


def reached(at_ms: int, status: int | None = None) -> Record:
    """Return the server's word that a request came, or that it turned it away unrun."""
    if status is None:
        return Record("i-1", at_ms, "reached", {"request": "r"})
    return Record("i-1", at_ms, "unrun", {"request": "r", "status": status})


def sent(at_ms: int) -> LogEntry:
    """Return a node's line of a send."""
    return LogEntry(at_ms, "node-1", "request_sent", {"request": "r", "server": "i-1@5"})


def leaves(at_ms: int) -> LogEntry:
    """Return a node's line of a leave."""
    return LogEntry(at_ms, "node-1", "server_leaves", {"server": "i-1@5"})


def judged(*logs: LogEntry, store=None, servers=None, disturbances=()):
    """Return what is late when one request reaches a server half a second after the bound."""
    store = store or [of_store("ready", 0), of_store("draining", LEFT_MS)]
    return late_arrivals(store, servers or [reached(LATE_MS)], logs, disturbances, "store")


@pytest.mark.parametrize(
    ("logs", "cause"),
    [
        ((sent(LATE_MS - 1),), Cause.UNKNOWN_THERE),
        ((leaves(LATE_MS), sent(LATE_MS - 1)), Cause.UNKNOWN_THERE),
        ((leaves(LEFT_MS + 300), sent(LATE_MS - 1)), Cause.KNOWN_THERE),
        ((leaves(LEFT_MS + 300), sent(LEFT_MS + 200)), Cause.SENT_IN_TIME),
        ((), Cause.NOT_LOGGED),
    ],
)
def test_a_late_request_is_told_by_what_its_sender_knew(logs, cause):
    (late,) = judged(*logs)
    assert late.cause is cause
    assert late.after_ms == DRAIN_MS + 500
    assert not late.excused


@pytest.mark.parametrize("word", ["draining", "removed", "lapsed"])
def test_each_way_to_leave_binds(word):
    assert judged(sent(LATE_MS), store=[of_store("ready", 0), of_store(word, LEFT_MS)])


def test_the_first_word_of_a_leave_binds():
    store = [of_store("ready", 0), of_store("draining", LEFT_MS), of_store("removed", LATE_MS)]
    (late,) = judged(sent(LATE_MS), store=store)
    assert late.after_ms == DRAIN_MS + 500


def test_a_request_within_the_bound_is_not_late():
    assert not judged(sent(LEFT_MS), servers=[reached(LEFT_MS + DRAIN_MS)])


def test_a_server_that_is_back_has_not_left():
    store = [of_store("lapsed", LEFT_MS), of_store("ready", LEFT_MS + 900)]
    assert not judged(sent(LATE_MS), store=store)


def test_a_request_that_the_server_says_is_not_its_own_is_not_late():
    assert not judged(sent(LATE_MS), servers=[reached(LATE_MS), reached(LATE_MS, 421)])
    assert judged(sent(LATE_MS), servers=[reached(LATE_MS), reached(LATE_MS, 503)])


def test_a_disturbed_store_binds_from_its_contact_on():
    harmed = [Disturbance("store", LEFT_MS - 900, LEFT_MS - 100)]
    assert not judged(sent(LATE_MS), disturbances=harmed)
    at_ms = LEFT_MS - 100 + CONTACT_MS + DRAIN_MS
    assert not judged(sent(at_ms), servers=[reached(at_ms)], disturbances=harmed)
    assert judged(sent(at_ms + 1), servers=[reached(at_ms + 1)], disturbances=harmed)


@pytest.mark.parametrize(
    ("learnt_ms", "excused"), [(None, True), (LEFT_MS + 100, False), (LATE_MS + 100, True)]
)
def test_a_store_that_falls_silent_after_the_leave_excuses_who_does_not_know(learnt_ms, excused):
    harmed = [Disturbance("store", LEFT_MS + 50, LEFT_MS + 4_600)]
    learnt = [] if learnt_ms is None else [leaves(learnt_ms)]
    (late,) = judged(*learnt, sent(LATE_MS), disturbances=harmed)
    assert late.excused is excused


@pytest.mark.parametrize(("ended_ms", "excused"), [(CONTACT_MS - 1, True), (CONTACT_MS, False)])
def test_a_disturbed_node_is_excused_until_its_contact(ended_ms, excused):
    harmed = [Disturbance("node-1", 0, LATE_MS - ended_ms)]
    (late,) = judged(sent(LATE_MS), disturbances=harmed)
    assert late.excused is excused
