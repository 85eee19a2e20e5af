"""The aggregate of one request: the only place where an outcome is decided."""

from __future__ import annotations

import hashlib

import attrs

from ..core.adapter import parse_ref
from ..core.invariant import require
from ..core.outcome import Done, Failed, NotRun, Outcome, Unknown
from .const import MAX_ATTEMPTS, MAX_RESUMES, State
from .models import ChunkVerdict, End, NextStep, Resume, Retry, Terms


class RequestLife:
    """Follows a request from admission to its one outcome.

    Rules kept here:

    * a request that may not be repeated is offered at most once;
    * ``NotRun`` is said only while no offer may have run;
    * a chunk counts only for the current attempt and in order;
    * ``Done`` needs an end marker that matches every chunk accepted.
    """

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.state = State.ADMITTED
        self.attempt = 0
        self.offers = 0
        self.resumes = 0
        self.chunks: list[str] = []
        self.outcome: Outcome | None = None
        self._unrefused_offers = 0
        self._digest = hashlib.sha256()

    @property
    def ended(self) -> bool:
        """Tell whether the outcome is decided."""
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        """Tell whether any offer was not positively refused."""
        return self._unrefused_offers > 0

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the text accepted so far, as hexadecimal digits."""
        return self._digest.hexdigest()

    def offer(self) -> int:
        """Record that the request is about to be sent to a backend server.

        Called before the first byte leaves: a crash in between leaves "may have run", never the
        opposite.

        :returns: the number of the attempt, which every message about it carries.
        """
        require(not self.ended, "an ended request is never offered")
        require(self.state is State.ADMITTED, "a request is offered to one runner at a time")
        require(
            self.terms.repeatable or self.offers == 0,
            "a request that may not be repeated is offered at most once",
        )
        require(not self.chunks, "a new attempt never starts inside an answer")
        self.offers += 1
        self.attempt += 1
        self.state = State.OFFERED
        self._unrefused_offers += 1
        return self.attempt

    def refused(
        self, attempt: int, reason: str, retry_after_ms: int | None = None, status: int = 503
    ) -> NextStep:
        """Take a positive refusal: the server says that it ran nothing of this attempt.

        It may come after the head of an answer (a node sends the head before it knows), but never
        after text: a server that refuses then contradicts itself, and the run counts as broken.
        """
        if attempt != self.attempt or self.state not in (State.OFFERED, State.STREAMING):
            return self._unchanged()
        if self.chunks:
            return self._after_loss(reason, ran=True)
        self._unrefused_offers -= 1
        if self.terms.repeatable and self.attempt < MAX_ATTEMPTS:
            self.state = State.ADMITTED
            return Retry(self.attempt + 1)
        return End(self.give_up(reason, retry_after_ms, status))

    def begin(self, attempt: int, served: str) -> NextStep | None:
        """Take the head of an answer and check which adapter the server says it runs.

        An engine that restarted empty, or that falls back to its base model, would otherwise answer
        under the adapter's name: the caller would get text of a wrong model. The check comes
        before the first chunk is accepted, so nothing wrong reaches a caller.

        :returns: ``None`` when the answer may go on.
        """
        if attempt != self.attempt or self.ended:
            return self._unchanged()
        if self.state is State.OFFERED and self._accepts_other_version(served):
            self.terms = attrs.evolve(self.terms, adapter=parse_ref(served))
        if served != str(self.terms.adapter):
            return self._after_loss(f"served {served} in place of {self.terms.adapter}", ran=True)
        self.state = State.STREAMING
        return None

    def chunk(self, attempt: int, index: int, text: str) -> ChunkVerdict:
        """Take one chunk; late, crossed and doubled ones are dropped.

        :param index: the position of the chunk in the answer, from 0.
        """
        if attempt != self.attempt or self.state is not State.STREAMING:
            return ChunkVerdict.DROPPED
        if index < len(self.chunks):
            return ChunkVerdict.DROPPED
        if index > len(self.chunks):
            return ChunkVerdict.GAP
        self.chunks.append(text)
        self._digest.update(text.encode())
        return ChunkVerdict.ACCEPTED

    def finish(self, attempt: int, count: int, digest: str) -> NextStep:
        """Take the end marker of an answer."""
        if attempt != self.attempt or self.state is not State.STREAMING:
            return self._unchanged()
        if count > len(self.chunks):
            return self.lost(attempt, "chunks are missing before the end marker")
        if count < len(self.chunks) or digest != self.digest:
            return End(self._end(Failed("the answer does not match its end marker")))
        return End(self._end(Done(count, digest)))

    def lost(self, attempt: int, reason: str) -> NextStep:
        """Take the loss of the connection, a timeout or a reset: the run may be going on."""
        if attempt != self.attempt or self.state not in (State.OFFERED, State.STREAMING):
            return self._unchanged()
        if self.resumes < MAX_RESUMES:
            self.resumes += 1
            return Resume(len(self.chunks))
        return self._after_loss(reason, ran=self.state is State.STREAMING)

    def resume_refused(self, attempt: int, reason: str) -> NextStep:
        """Take the server's answer that it can't continue this run."""
        if attempt != self.attempt or self.state not in (State.OFFERED, State.STREAMING):
            return self._unchanged()
        return self._after_loss(reason, ran=self.state is State.STREAMING)

    def unclear(self, attempt: int, reason: str) -> NextStep:
        """Take the server's answer that it can't tell whether the request ran."""
        if attempt != self.attempt or self.state not in (State.OFFERED, State.STREAMING):
            return self._unchanged()
        return self._after_loss(reason, ran=False)

    def give_up(self, reason: str, retry_after_ms: int | None = None, status: int = 503) -> Outcome:
        """End the request now; the outcome follows from what may have happened.

        :returns: the outcome, which a second call leaves unchanged.
        """
        if self.outcome is not None:
            return self.outcome
        if not self.may_have_run:
            return self._end(NotRun(reason, retry_after_ms, status))
        if self.state is State.STREAMING:
            return self._end(Failed(reason))
        return self._end(Unknown(reason))

    def _accepts_other_version(self, served: str) -> bool:
        """Tell whether another version may serve: the key's first try pinned one before a move."""
        adapter = parse_ref(served)
        return (
            self.terms.any_version
            and adapter is not None
            and adapter.name == self.terms.adapter.name
        )

    def _after_loss(self, reason: str, ran: bool) -> NextStep:
        may_retry = self.terms.repeatable and not self.chunks and self.attempt < MAX_ATTEMPTS
        if may_retry:
            self.state = State.ADMITTED
            self.resumes = 0
            return Retry(self.attempt + 1)
        return End(self._end(Failed(reason) if ran else Unknown(reason)))

    def _unchanged(self) -> NextStep:
        """Answer a message of an earlier attempt, which changes nothing."""
        if self.outcome is not None:
            return End(self.outcome)
        return Retry(self.attempt)

    def _end(self, outcome: Outcome) -> Outcome:
        require(self.outcome is None, "a request has one outcome")
        if isinstance(outcome, NotRun):
            require(not self.may_have_run, "not run is said only of what did not run")
        self.outcome = outcome
        self.state = State.ENDED
        return outcome
