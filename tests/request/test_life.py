"""Tests of one request's life."""

from __future__ import annotations

import hashlib

import pytest

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.invariant import InvariantBroken
from monsoonflow.core.outcome import Done, Failed, NotRun, Unknown
from monsoonflow.request.life import RequestLife
from monsoonflow.request.models import ChunkVerdict, End, Resume, Retry, Terms

ADAPTER = AdapterRef("invoice-7", 3)


@pytest.fixture
def life():
    return RequestLife(Terms("r1", "acme", ADAPTER, True, 60_000))


@pytest.fixture
def once():
    return RequestLife(Terms("r2", "acme", ADAPTER, False, 60_000))


def digest(*texts):
    return hashlib.sha256("".join(texts).encode()).hexdigest()


def test_whole_answer_is_done(life):
    attempt = life.offer()
    assert life.begin(attempt, "invoice-7@3") is None
    assert life.chunk(attempt, 0, "a") is ChunkVerdict.ACCEPTED
    assert life.chunk(attempt, 1, "b") is ChunkVerdict.ACCEPTED
    assert life.finish(attempt, 2, digest("a", "b")) == End(Done(2, digest("a", "b")))


def test_unoffered_request_was_not_run(once):
    assert once.give_up("queue is full", 500) == NotRun("queue is full", 500)


def test_offered_request_is_unknown_until_refused(once):
    """The connection is lost after the first byte: the caller sees ``unknown``.

    The request is offered, no answer comes, and every resume fails. The engine may have run it, so
    ``not_run`` would invite the caller to run it twice.
    """
    attempt = once.offer()
    step = once.lost(attempt, "reset")
    while isinstance(step, Resume):
        step = once.lost(attempt, "reset")
    assert step == End(Unknown("reset"))


def test_positive_refusal_is_not_run(once):
    attempt = once.offer()
    assert once.refused(attempt, "stale fencing number") == End(NotRun("stale fencing number"))


def test_refusal_of_a_second_attempt_does_not_hide_the_first(life):
    """The first attempt is lost, the second refused: the caller must not read ``not_run``.

    The first may have run unseen; only its own refusal could have said otherwise.
    """
    first = life.offer()
    step = life.resume_refused(first, "unknown run")
    assert step == Retry(2)
    second = life.offer()
    life.refused(second, "full")
    assert isinstance(life.give_up("no retry"), Unknown)


def test_not_repeatable_is_offered_once(once):
    """A second offer of a request that may not be repeated stops the process.

    A match offered twice could pay an invoice twice; no later check could take that back.
    """
    attempt = once.offer()
    once.refused(attempt, "full")
    with pytest.raises(InvariantBroken):
        once.offer()


def test_wrong_adapter_is_never_passed_on(life):
    """An engine that restarted empty answers with its base model under the adapter's name.

    The head of the answer names what runs; it differs, so no chunk is accepted and the request is
    offered again.
    """
    attempt = life.offer()
    assert life.begin(attempt, "base") == Retry(2)
    assert life.chunk(attempt, 0, "wrong") is ChunkVerdict.DROPPED
    assert life.chunks == []


def test_wrong_adapter_of_not_repeatable_failed(once):
    attempt = once.offer()
    assert isinstance(once.begin(attempt, "base").outcome, Failed)


def test_late_crossed_and_doubled_chunks_are_dropped(life):
    """Chunks of an earlier attempt arrive during a later one, some twice.

    The caller's text must hold each chunk of the current attempt once and nothing else.
    """
    first = life.offer()
    life.resume_refused(first, "gone")
    second = life.offer()
    life.begin(second, str(ADAPTER))
    assert life.chunk(first, 0, "late") is ChunkVerdict.DROPPED
    assert life.chunk(second, 0, "a") is ChunkVerdict.ACCEPTED
    assert life.chunk(second, 0, "a") is ChunkVerdict.DROPPED
    assert life.chunk(second, 2, "c") is ChunkVerdict.GAP
    assert life.chunks == ["a"]


def test_answer_without_fitting_end_marker_is_not_done(life):
    attempt = life.offer()
    life.begin(attempt, str(ADAPTER))
    life.chunk(attempt, 0, "a")
    assert isinstance(life.finish(attempt, 1, digest("b")).outcome, Failed)


def test_missing_chunk_before_the_end_is_resumed(life):
    attempt = life.offer()
    life.begin(attempt, str(ADAPTER))
    life.chunk(attempt, 0, "a")
    assert life.finish(attempt, 3, "x") == Resume(1)


def test_no_new_text_begins_inside_an_answer(life):
    """The stream is lost for good after some text reached the caller.

    Starting again would glue two texts together; the request ends as failed instead.
    """
    attempt = life.offer()
    life.begin(attempt, str(ADAPTER))
    life.chunk(attempt, 0, "a")
    assert life.resume_refused(attempt, "unknown run") == End(Failed("unknown run"))


def test_outcome_never_changes(life):
    outcome = life.give_up("deadline", status=504)
    assert life.give_up("other") is outcome
