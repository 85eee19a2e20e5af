"""The caller's client."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs

from ..api.const import HEADER_HOME, HEADER_TRY
from ..backend.models import Began, Broken, Chunk, Cut, Ended, Refused, StreamEvent, Unclear
from ..core.clock import Clock, MonotonicClock
from ..core.outcome import Done, Failed, NotRun, Outcome, Unknown
from ..helpers.ids import new_id
from .models import Address, Reply, Transcript
from .transport import HttpTransport, Transport

SILENCE_MS: Final = 5_000
MAX_RESUMES: Final = 8
MAX_SENDS: Final = 20
MAX_KNOWN_NODES: Final = 64
PAUSE_MS: Final = 100


@attrs.define(slots=True)
class _Sending:
    """One request on its way: what may be sent again follows from it."""

    model: str
    body: dict[str, Any]
    repeatable: bool
    key: str | None
    priority: str
    deadline_ms: int
    started_ms: int
    transcript: Transcript = attrs.field(factory=Transcript)
    home: Address | None = None
    sends: int = 0
    resumes: int = 0
    may_have_run: bool = False
    first_text_ms: int | None = None
    on_text: Callable[[str], None] | None = None


class Client:
    """Sends completion requests to the fleet.

    It asks any node for the right address, keeps the answer while it is good, moves on when a node
    leaves, resumes a cut answer, and never runs a non-repeatable request twice on its own guess:
    every repetition carries the same key and the name of the process that took the first one.

    :param seeds: URLs of some nodes, tried in turn.
    :param key: the customer's bearer key.
    :param tls: a context that trusts the nodes' authority, where they speak TLS.
    :param transport: carries the calls; HTTP where none is given.
    """

    def __init__(
        self,
        seeds: list[str],
        key: str,
        clock: Clock | None = None,
        transport: Transport | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._seeds = [seed.rstrip("/") for seed in seeds]
        self._clock = clock or MonotonicClock()
        self._transport = transport or HttpTransport(key, SILENCE_MS, tls)
        self._found_by_model: dict[str, tuple[int, list[Address]]] = {}
        self._known_nodes: dict[str, None] = {}

    def complete(
        self,
        model: str,
        prompt: str,
        max_tokens: int = 16,
        repeatable: bool = True,
        key: str | None = None,
        deadline_ms: int = 60_000,
        priority: str = "normal",
        on_text: Callable[[str], None] | None = None,
    ) -> Reply:
        """Run a completion and return how it ended.

        :param model: ``ADAPTER`` or ``ADAPTER@VERSION``.
        :param repeatable: ``False`` for what must run at most once.
        :param key: an idempotency key of your own; made up where none is given.
        :param on_text: called with each piece of text as it arrives.
        """
        sending = _Sending(
            model=model,
            body={"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True},
            repeatable=repeatable,
            key=key or (None if repeatable else new_id("k")),
            priority=priority,
            deadline_ms=deadline_ms,
            started_ms=self._clock.now_ms(),
            on_text=on_text,
        )
        outcome = self._run(sending)
        if isinstance(outcome, NotRun) and sending.may_have_run:
            # Only the last sending was refused; an earlier one is unaccounted for.
            outcome = Unknown(outcome.reason)
        transcript = sending.transcript
        return Reply(
            outcome,
            transcript.text(),
            transcript.request_id,
            transcript.model,
            sending.first_text_ms,
        )

    def addresses(self, model: str) -> list[Address]:
        """Return the nodes to use for a model, best first; empty when no node answers."""
        now_ms = self._clock.now_ms()
        known = self._found_by_model.get(model)
        if known is not None and now_ms < known[0]:
            return known[1]
        # The seeds may all have been replaced since; nodes heard of later know the others, too.
        for seed in [*reversed(self._known_nodes), *self._seeds]:
            found = self._transport.lookup(seed, model)
            if found is not None:
                self._remember(found.addresses)
                self._found_by_model[model] = (now_ms + found.good_for_ms, found.addresses)
                return found.addresses
        return []

    def _remember(self, addresses: list[Address]) -> None:
        for entry in reversed(addresses):
            seed = f"http://{entry.address}"
            self._known_nodes.pop(seed, None)
            self._known_nodes[seed] = None
        while len(self._known_nodes) > MAX_KNOWN_NODES:
            del self._known_nodes[next(iter(self._known_nodes))]

    def _run(self, sending: _Sending) -> Outcome:
        outcome: Outcome = NotRun("no node answers", PAUSE_MS)
        skipped: set[str] = set()
        while self._left_ms(sending) > 0 and sending.sends < MAX_SENDS:
            target = self._target(sending, skipped)
            if target is None:
                skipped.clear()
                self._found_by_model.pop(sending.model, None)
                self._pause(PAUSE_MS, sending)
                continue
            outcome = self._send(sending, target)
            match outcome:
                case NotRun(retry_after_ms=None):
                    return outcome
                case NotRun(retry_after_ms=wait_ms):
                    if not sending.may_have_run:
                        # Nothing ran, so the next sending is a first one again, anywhere. After an
                        # unclear sending it is not: that one may still be on its way to its home.
                        sending.home = None
                    skipped.add(target.address)
                    self._found_by_model.pop(sending.model, None)
                    self._pause(wait_ms, sending)
                case Unknown() if self._may_repeat(sending):
                    sending.may_have_run = True
                    skipped.add(target.address)
                    self._pause(PAUSE_MS, sending)
                case _:
                    return outcome
        return outcome

    def _may_repeat(self, sending: _Sending) -> bool:
        """Tell whether sending again is no guess: repeatable, or protected by its key's home."""
        return not sending.transcript.chunks and (sending.repeatable or sending.key is not None)

    def _target(self, sending: _Sending, skipped: set[str]) -> Address | None:
        found = self.addresses(sending.model)
        usable = [entry for entry in found if entry.address not in skipped]
        if sending.home is not None and sending.sends < 3:
            return sending.home
        return usable[0] if usable else None

    def _send(self, sending: _Sending, target: Address) -> Outcome:
        sending.sends += 1
        first = sending.home is None
        if sending.key is not None and first:
            sending.home = target
        headers = self._headers(sending, first)
        fresh = not sending.repeatable
        events = self._transport.send(target.address, headers, sending.body, fresh)
        outcome = self._read(sending, events)
        while outcome is None:
            sending.resumes += 1
            if sending.resumes > MAX_RESUMES or self._left_ms(sending) <= 0:
                return Unknown("the answer was cut and could not be resumed")
            self._pause(PAUSE_MS * sending.resumes, sending)
            outcome = self._read(sending, self._resumed(sending, target))
        return outcome

    def _resumed(self, sending: _Sending, target: Address) -> Iterator[StreamEvent]:
        transcript = sending.transcript
        index = len(transcript.chunks)
        for event in self._transport.resume(target.address, transcript.request_id, index):
            match event:
                case Refused(reason=reason):
                    yield Unclear(reason)
                case Cut(reason=reason):
                    yield Cut(reason, sent=True)
                case _:
                    yield event

    def _read(self, sending: _Sending, events: Iterator[StreamEvent]) -> Outcome | None:
        """Return the outcome that a stream leads to; ``None`` where it can be resumed."""
        transcript = sending.transcript
        for event in events:
            match event:
                case Began():
                    transcript.request_id = event.request_id
                    transcript.model = event.served
                case Chunk(index=index, text=text):
                    known = len(transcript.chunks)
                    if not transcript.take(index, text):
                        return None
                    if len(transcript.chunks) > known:
                        self._note_text(sending, text)
                case Ended(count=count, digest=digest):
                    if transcript.is_whole(count, digest):
                        return Done(count, digest)
                    return Failed("the answer does not match its end marker")
                case _:
                    return self._ended_badly(sending, event)
        return self._ended_badly(sending, Cut("the stream ended"))

    def _ended_badly(self, sending: _Sending, event: StreamEvent) -> Outcome | None:
        match event:
            case Refused(reason=reason, retry_after_ms=retry_after_ms):
                return NotRun(reason, retry_after_ms)
            case Cut(sent=False, reason=reason):
                if sending.may_have_run:
                    return Unknown(reason)
                return NotRun(reason, PAUSE_MS)
            case Cut(reason=reason):
                return None if sending.transcript.request_id else Unknown(reason)
            case Unclear(reason=reason):
                return Unknown(reason)
            case Broken(reason=reason):
                return Failed(reason)
        return Failed("unexpected event")

    def _headers(self, sending: _Sending, first: bool) -> dict[str, str]:
        headers = {
            "X-Monsoonflow-Deadline-Ms": str(max(1, self._left_ms(sending))),
            "X-Monsoonflow-Repeatable": "true" if sending.repeatable else "false",
            "X-Monsoonflow-Priority": sending.priority,
        }
        if sending.key is not None and sending.home is not None:
            headers["Idempotency-Key"] = sending.key
            headers[HEADER_HOME] = sending.home.home
            headers[HEADER_TRY] = "1" if first else "2"
        return headers

    def _note_text(self, sending: _Sending, text: str) -> None:
        if sending.first_text_ms is None:
            sending.first_text_ms = self._clock.now_ms() - sending.started_ms
        if sending.on_text is not None:
            sending.on_text(text)

    def _left_ms(self, sending: _Sending) -> int:
        return sending.started_ms + sending.deadline_ms - self._clock.now_ms()

    def _pause(self, wait_ms: int, sending: _Sending) -> None:
        self._transport.sleep(max(0, min(wait_ms, self._left_ms(sending))))
