"""Stands in for the platform's backend servers: model runners and servers of plain services."""

from __future__ import annotations

import random
import time
from collections import Counter
from typing import Any, Final
from weakref import WeakKeyDictionary

import attrs
import gevent
import orjson

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.transport.models import CallerLeft, Framing, Header, MessageLimits, Request
from monsoonflow.transport.reply import Reply
from monsoonflow.transport.server import HttpServer
from stand_ins.endless_sender import pieces as endless_pieces
from stand_ins.raw_answers import BreakPlace, RawAnswer, invalid_answer, reset_at_close


@attrs.define
class RunnerFaults:
    """How a server misbehaves.

    :param fail: how many requests run and end with 500.
    :param shed: how many requests are refused with the word that nothing ran.
    :param shed_silently: how many are refused without that word.
    :param lose: how many requests run and get no answer.
    :param cut_after: events after which streams break off.
    :param rot: how many answers carry no signature.
    :param foreign: how many answers name another request.
    :param slow_ms: time that a request takes.
    :param queue_ms: time that a request waits at a model runner before it begins.
    :param poison: a body under which the server ends as it begins to run it.
    :param poison_parts: parts of a prompt, in any place but the last, under which a model runner
        ends as it begins to answer.
    :param keeps_left: a model runner keeps what waits there when its caller has gone.
    :param limit: the limit for requests of all nodes that it names in its answers.
    :param brittle: rejections for want of room in a second that it says it withstands.
    :param max_waiting: requests that may wait beyond its slots; ``None`` for any number.
    :param unframed: share of the answers without length and chunks, which end with the connection.
    :param break_off: how many answers break off.
    :param break_place: where they break off.
    :param break_resets: whether that is a reset of the connection rather than a close.
    :param second_answers: how many refusals, and answers to orders, are sent once more when the
        next answer on their connection is due.
    :param endless: which bytes it sends without end for an answer, a key of ``START_BY_KIND``.
    :param invalid: what is not valid in the heads of its answers, a key of ``INVALID_STARTS``.
    :param leaving: says in all its answers that it is shutting down.
    :param rest: the delay that a refusal without work asks for, as text.
    """

    fail: int = 0
    shed: int = 0
    shed_silently: int = 0
    lose: int = 0
    cut_after: int | None = None
    rot: int = 0
    foreign: int = 0
    slow_ms: int = 5
    lose_orders: int = 0
    queue_ms: int = 0
    keeps_left: bool = False
    poison: bytes | None = None
    poison_parts: frozenset[bytes] = frozenset()
    limit: str | None = None
    brittle: int | None = None
    max_waiting: int | None = None
    unframed: float = 0.0
    break_off: int = 0
    break_place: BreakPlace = BreakPlace.PIECE
    break_resets: bool = False
    second_answers: int = 0
    endless: str | None = None
    invalid: str | None = None
    leaving: bool = False
    rest: str | None = None


FIRST_VERSION: Final = "v1"
"""The software of servers of which nothing else is said."""

ENDLESS_PAUSE_S: Final = 0.001
"""Lets the server do its other work beside an answer without end."""

POISON_DELAY_S: Final = 0.075
"""How long a model runner works on a part of a prompt under which it ends."""

MAX_HEAD_BYTES: Final = 65_536
"""Nodes add headers to those of a caller, which may already be as large as a caller's may be."""

OTHER_EVENT: Final = b"id: 1\ndata: invalid\n\n"
"""The body of an answer that is not valid, which nobody can take for its request's own."""

FALL_S: Final = 2.0
"""How long a brittle server that falls over is gone."""


@attrs.frozen
class Said:
    """What a server said of itself in an answer.

    :param at_s: when, on the monotonic clock.
    :param request_id: of the request that it answered; ``None`` for reports and orders.
    :param rest_s: how long it asked for no requests; ``None`` if it said that it leaves.
    """

    at_s: float
    request_id: str | None
    rest_s: float | None = None


def message_limits() -> MessageLimits:
    """Return the limits for what nodes send."""
    return MessageLimits(head_bytes=MAX_HEAD_BYTES)


class PlatformServer:
    """A server that notes what it ran."""

    def __init__(self, server_id: str, address: str, service: str, slots: int = 6) -> None:
        self.server_id = server_id
        self.address = address
        self.service = service
        self.slots = slots
        self.born: int | None = None
        self.software_version = FIRST_VERSION
        self.faults = RunnerFaults()
        self.ran: Counter[str] = Counter()
        self.requests: list[Request] = []
        self.left = 0
        self.crashes = 0
        self.crashed_s: float | None = None
        self.arrived: list[tuple[float, Request]] = []
        self.falls = 0
        self.said: list[Said] = []
        self._rejected_s: list[float] = []
        self._running: set[gevent.Greenlet] = set()
        self._raw_answers: set[RawAnswer] = set()
        self._second_answers: WeakKeyDictionary[Any, bytes] = WeakKeyDictionary()
        self._rng = random.Random(server_id)
        self._port = HttpServer(address, self._handle, message_limits, MonotonicClock())

    def start(self) -> None:
        """Begin to serve."""
        assert self._port.start()

    def stop(self) -> None:
        """Stop to serve."""
        self._port.stop_listening()

    def crash(self) -> None:
        """End without a word, with all that is in progress."""
        self.crashes += 1
        self.crashed_s = time.monotonic()
        self._port.stop_listening()
        self.break_off_answers()
        gevent.killall([task for task in self._running if task is not gevent.getcurrent()])

    def sends_raw_answers(self) -> bool:
        """Return whether an answer is in progress that has no framing or is to break off."""
        return bool(self._raw_answers)

    def break_off_answers(self) -> None:
        """Bring each answer that would end with its connection into the middle of a piece.

        The end of this process or its tasks closes their connections in an orderly way.
        """
        for answer in list(self._raw_answers):
            answer.send_half_a_piece()

    def _reject_for_want_of_room(self, request: Request, reply: Reply) -> None:
        reply.send_whole(503, [*self._headers(request, signed=False), (b"X-Not-Executed", b"1")])
        now_s = time.monotonic()
        self._rejected_s = [at_s for at_s in self._rejected_s if now_s - at_s < 1.0] + [now_s]
        if self.faults.brittle is not None and len(self._rejected_s) > self.faults.brittle:
            self._rejected_s = []
            self.falls += 1
            self.fell()
            self.crash()
            gevent.spawn_later(FALL_S, self._serve_again)
            raise CallerLeft("fell over")

    def fell(self) -> None:
        """Called when the server falls over."""

    def _serve_again(self) -> None:
        self._port = HttpServer(self.address, self._handle, message_limits, MonotonicClock())
        self.start()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-1",
            "slots": self.slots,
            "state": "ready",
            "version": self.software_version,
            "coldRemainingMs": 0,
            "sequence": 1,
            **self._born(),
            **changes,
        }

    def _born(self) -> dict[str, int]:
        return {} if self.born is None else {"born": self.born}

    def _refuse(self, request: Request, reply: Reply, status: int, *headers: Header) -> None:
        self._send_twice(reply, status, [*self._headers(request, signed=False), *headers])

    def _send_twice(self, reply: Reply, status: int, headers: list[Header]) -> None:
        """Send an answer without a body, and keep a second copy if there is such a fault."""
        reply.send_whole(status, headers)
        if self.faults.second_answers > 0:
            self.faults.second_answers -= 1
            head = b"HTTP/1.1 %d Again\r\n" % status
            lines = [*headers, (b"Content-Length", b"0"), (b"Keep-Alive", b"timeout=15")]
            copy = head + b"".join(b"%s: %s\r\n" % header for header in lines) + b"\r\n"
            self._second_answers[reply._connection] = copy  # noqa: SLF001

    def _handle(self, request: Request, reply: Reply) -> None:
        second_answer = self._second_answers.pop(reply._connection, b"")  # noqa: SLF001
        if second_answer:
            reply._connection.send(second_answer)  # noqa: SLF001
        expected = request.value(b"x-expect-instance")
        if expected is not None and expected.decode() != self.server_id:
            reply.send_whole(421, self._headers(request, signed=False))
            return
        if self._control(request, reply):
            return
        self.arrived.append((time.monotonic(), request))
        self._running.add(gevent.getcurrent())
        try:
            self._run(request, reply)
        finally:
            self._running.discard(gevent.getcurrent())

    def _control(self, request: Request, reply: Reply) -> bool:
        return False

    def _run(self, request: Request, reply: Reply) -> None:
        faults = self.faults
        if faults.shed > 0:
            faults.shed -= 1
            self._refuse(
                request, reply, 503, *self._rest_headers(request), (b"X-Not-Executed", b"1")
            )
            return
        if faults.shed_silently > 0:
            faults.shed_silently -= 1
            headers = self._headers(request, signed=True) + self._rest_headers(request)
            reply.send_whole(503, headers)
            return
        max_waiting = faults.max_waiting
        if max_waiting is not None and len(self._running) > self.slots + max_waiting:
            self._reject_for_want_of_room(request, reply)
            return
        if request.body == faults.poison:
            self.crash()
            raise CallerLeft("crashed")
        self.ran[request.value(b"x-request-id").decode()] += 1
        self.requests.append(request)
        try:
            gevent.sleep(faults.slow_ms / 1000)
            self._answer(request, reply)
        except CallerLeft:
            self.left += 1
            raise

    def _event(self, request: Request, number: int) -> bytes:
        name, version = request.value(b"x-request-id"), self.software_version.encode()
        return b"id: %d\ndata: %s-%d %s\n\n" % (number, name, number, version)

    def _next_event(self, request: Request) -> int:
        """Return the number of the event that comes after those that the caller has."""
        return int(request.value(b"last-event-id") or 0) + 1

    def _send_without_end(self, request: Request, reply: Reply) -> None:
        reply.started = True
        request_id = request.value(b"x-request-id") or b""
        event = self._event(request, self._next_event(request))
        for piece in endless_pieces(self.faults.endless, request_id, event=event):
            if self.faults.endless is None:
                # An orderly close would be the end of an answer without a length.
                reset_at_close(reply)
                return
            reply._connection.send(piece)  # noqa: SLF001
            gevent.sleep(ENDLESS_PAUSE_S)

    def _answer(self, request: Request, reply: Reply) -> None:
        faults = self.faults
        if faults.endless is not None:
            self._send_without_end(request, reply)
            return
        if faults.invalid is not None:
            headers = self._headers(request, signed=True)
            reply._connection.send(
                invalid_answer(faults.invalid, headers, b"invalid")
            )  # noqa: SLF001
            reply.started = reply.finished = True
            return
        if faults.lose > 0:
            faults.lose -= 1
            return
        if faults.fail > 0:
            faults.fail -= 1
            reply.send_whole(500, self._headers(request, signed=True), b"failed")
            return
        if faults.rot > 0:
            faults.rot -= 1
            reply.send_whole(200, self._headers(request, signed=False), b"rotten")
            return
        if faults.foreign > 0:
            faults.foreign -= 1
            reply.send_whole(
                200, self._headers(request, signed=True, request_id=b"other"), b"foreign"
            )
            return
        body = b"%s %s %s" % (self.server_id.encode(), request.target, request.body)
        headers = self._headers(request, signed=True)
        if not self._answers_raw(reply, headers, [body], Framing.LENGTH):
            reply.send_whole(200, headers, body)

    def _answers_raw(
        self,
        reply: Reply,
        headers: list[tuple[bytes, bytes]],
        pieces: list[bytes],
        framing: Framing,
        pause_s: float = 0.0,
    ) -> bool:
        """Answer without framing, or break the answer off; return whether a fault asks for it."""
        faults = self.faults
        is_unframed = self._rng.random() < faults.unframed
        if not pieces or not (is_unframed or faults.break_off > 0):
            return False
        is_stream = framing is Framing.CHUNKED
        answer = RawAnswer(reply, Framing.CONNECTION if is_unframed else framing, is_stream)
        self._raw_answers.add(answer)
        try:
            if faults.break_off > 0:
                faults.break_off -= 1
                place, resets = BreakPlace(faults.break_place), faults.break_resets
                answer.break_off(headers, pieces, place, resets, self._rng, pause_s)
            else:
                answer.send(headers, pieces, pause_s)
        finally:
            self._raw_answers.discard(answer)
        return True

    def _rest_headers(self, request: Request) -> list[tuple[bytes, bytes]]:
        if self.faults.rest is None:
            return []
        try:
            rest_s = float(self.faults.rest)
        except ValueError:
            rest_s = 0.0
        self.said.append(Said(time.monotonic(), _request_id(request), rest_s))
        return [(b"Retry-After", self.faults.rest.encode())]

    def _leaving_headers(self, request: Request) -> list[tuple[bytes, bytes]]:
        if not self.faults.leaving:
            return []
        self.said.append(Said(time.monotonic(), _request_id(request)))
        return [(b"Server-Leaving", b"1")]

    def _headers(
        self, request: Request, signed: bool, request_id: bytes | None = None
    ) -> list[tuple[bytes, bytes]]:
        told = request_id or request.value(b"x-request-id") or b""
        headers = [(b"X-Request-Id", told), (b"X-Instance-Id", self.server_id.encode())]
        if signed:
            headers.append((b"X-Server-Signature", b"sig-" + self.server_id.encode()))
        if self.faults.limit is not None:
            headers.append((b"Server-Limit", self.faults.limit.encode()))
        if self.faults.brittle is not None:
            headers.append((b"Server-Brittle", b"%d" % self.faults.brittle))
        return headers + self._leaving_headers(request)


class PlatformRunner(PlatformServer):
    """A model runner with a few places for adapters."""

    def __init__(
        self, server_id: str, address: str, service: str, model: str, places: int = 3
    ) -> None:
        super().__init__(server_id, address, service, 96)
        self.model: str | None = model
        self.places = places
        self.adapters: dict[str, int] = {}
        self.newest: dict[str, int] = {}
        self.sequence = 0
        self.fence = 0
        self.holders: list[tuple[int, str]] = []
        self.overfull = False
        self.events = 4
        self.event_ms = 5
        self.begun: list[tuple[str, int | None]] = []

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in the store."""
        return super().entry(models=self._models(), **changes)

    def start_again(self, born: int, model: str | None = None) -> None:
        """Begin another life under the same id: it holds and knows nothing of before."""
        self.born = born
        self.model = model
        self.adapters = {}
        self.sequence = 0
        self.fence = 0

    def _models(self) -> list[dict[str, Any]]:
        if self.model is None:
            return []
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def _control(self, request: Request, reply: Reply) -> bool:
        if request.target == b"/v1/report":
            data = {"models": self._models(), "busy": False, "sequence": self.sequence}
            data |= self._born()
            headers = self._leaving_headers(request)
            reply.send_whole(200, headers, orjson.dumps({**data, "incoming": []}))
            return True
        if request.target == b"/v1/order":
            status = self._order(orjson.loads(request.body))
            self._send_twice(reply, status, self._leaving_headers(request))
            return True
        return False

    def _order(self, data: dict[str, Any]) -> int:
        if data["fenceToken"] < self.fence:
            return 412
        self.fence = data["fenceToken"]
        self.holders.append((data["fenceToken"], data["dutyHolder"]))
        if data.get("expectedRev", self.sequence) != self.sequence:
            return 409
        name = data.get("adapter")
        if name is None:
            if self.model == data["model"]:
                return 200
            self.model = data["model"]
            self.sequence += 1
            return 202
        if data["operation"] == "unload":
            self.sequence += self.adapters.pop(name, None) is not None
            return 200
        version = data.get("version") or self.newest.get(name, 1)
        if self.adapters.get(name) == version:
            return 200
        self.adapters.pop(name, None)
        if len(self.adapters) >= self.places:
            self.overfull = True
        self.sequence += 1
        self.adapters[name] = version
        return 202

    def _run(self, request: Request, reply: Reply) -> None:
        _, _, adapter = (request.value(b"x-model") or b"").decode().partition("/")
        expected = request.value(b"x-expect-version")
        held = self.adapters.get(adapter)
        if adapter and (held is None or (expected is not None and int(expected) != held)):
            self._refuse(request, reply, 421)
            return
        if not self._waits_its_turn(request, adapter):
            self._refuse(request, reply, 503, (b"X-Not-Executed", b"1"))
            return
        super()._run(request, reply)

    def _waits_its_turn(self, request: Request, adapter: str) -> bool:
        """Wait in the runner's queue; return whether the request has begun.

        What has not begun is refused when its adapter is unloaded or replaced meanwhile.
        """
        waits = gevent.spawn(self._begin_later, request, adapter, self.adapters.get(adapter))
        try:
            return waits.get()
        except CallerLeft:
            self.left += 1
            if not self.faults.keeps_left:
                waits.kill(block=False)
            raise

    def _begin_later(self, request: Request, adapter: str, version: int | None) -> bool:
        gevent.sleep(self.faults.queue_ms / 1000)
        begins = self.adapters.get(adapter) == version
        if begins:
            name = (request.value(b"x-request-id") or b"").decode()
            self.begun.append((name, version))
        return begins

    def _next_event(self, request: Request) -> int:
        """Return the number of the next event, or of the last one: no stream has any after it."""
        return min(super()._next_event(request), self.events)

    def _answer(self, request: Request, reply: Reply) -> None:
        faults = self.faults
        is_false = faults.endless is not None or faults.invalid is not None
        if faults.fail or faults.rot or faults.foreign or faults.lose or is_false:
            super()._answer(request, reply)
            return
        if self.faults.poison_parts.intersection(earlier_parts(request)):
            gevent.sleep(POISON_DELAY_S)
            self.crash()
            raise CallerLeft("crashed")
        after = int(request.value(b"last-event-id") or 0)
        headers = [*self._headers(request, signed=True), (b"Content-Type", b"text/event-stream")]
        events = [self._event(request, number) for number in range(after + 1, self.events + 1)]
        if self._answers_raw(reply, headers, events, Framing.CHUNKED, self.event_ms / 1000):
            return
        reply.begin(200, headers, None)
        for number, event in enumerate(events, after + 1):
            if self.faults.cut_after is not None and number > self.faults.cut_after:
                reply.write(event[: len(event) // 2])
                return
            reply.write(event)
            gevent.sleep(self.event_ms / 1000)
        reply.finish()


def _request_id(request: Request) -> str | None:
    value = request.value(b"x-request-id")
    return None if value is None else value.decode()


def earlier_parts(request: Request) -> list[bytes]:
    """Return the parts of a request's prompt, without the last one, which is its own."""
    prefix = request.value(b"x-prompt-prefix") or b""
    return [part.partition(b":")[0] for part in prefix.split(b",")[:-1]]
