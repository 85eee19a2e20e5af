"""Runs a backend server as a process: it registers, notes what reaches it, and leaves when told."""

from __future__ import annotations

import argparse
import os
import time
from typing import Any, Final

import gevent
import orjson
from gevent import config

config.resolver = "block"

from monsoonflow.core.clock import MonotonicClock  # noqa: E402
from monsoonflow.transport.client import Answer, ConnectionPools, call  # noqa: E402
from monsoonflow.transport.models import Request  # noqa: E402
from monsoonflow.transport.reply import Reply  # noqa: E402
from stand_ins.commands import follow, record  # noqa: E402
from stand_ins.platform_runner import (  # noqa: E402
    FIRST_VERSION,
    PlatformRunner,
    PlatformServer,
    earlier_parts,
)
from stand_ins.raw_answers import BreakPlace  # noqa: E402

REGISTER_TIMEOUT_MS: Final = 1_000
AGAIN_S: Final = 0.1
UNRUN: Final = frozenset({421, 503})
"""Statuses with which these servers turn a request away unrun."""

EVENTS: Final = 20
EVENT_MS: Final = 30
"""How many events a stream has, and the pause after each."""

CRASH_WAIT_S: Final = 0.3
"""How long a server that is to crash waits until an answer is in progress."""

CRASH_CHECK_S: Final = 0.005


class NotesArrivals:
    """Notes each request that reaches a server, those that it turns away, and limits it names."""

    _named_limit: str | None = None

    def _run(self, request: Request, reply: Reply) -> None:
        name = (request.value(b"x-request-id") or b"").decode()
        customer = request.value(b"x-tenant")
        record(
            "reached",
            request=name,
            customer=None if customer is None else customer.decode(),
            has_key=bool(request.values(b"authorization")),
            parts=[part.decode() for part in earlier_parts(request)],
        )
        try:
            super()._run(request, reply)
        finally:
            if reply.status in UNRUN:
                record("unrun", request=name, status=reply.status)

    def _headers(
        self, request: Request, signed: bool, request_id: bytes | None = None
    ) -> list[tuple[bytes, bytes]]:
        if self.faults.limit != self._named_limit:
            self._named_limit = self.faults.limit
            record("named", limit=self._named_limit)
        return super()._headers(request, signed, request_id)

    def _leaving_headers(self, request: Request) -> list[tuple[bytes, bytes]]:
        headers = super()._leaving_headers(request)
        if headers:
            record("said_leaving", request=self.said[-1].request_id)
        return headers

    def _rest_headers(self, request: Request) -> list[tuple[bytes, bytes]]:
        headers = super()._rest_headers(request)
        if headers:
            said = self.said[-1]
            record("said_rest", request=said.request_id, rest_ms=round(said.rest_s * 1_000))
        return headers

    def _answers_raw(self, *arguments: Any) -> bool:
        breaks_head = self.faults.break_off > 0 and self.faults.break_place == BreakPlace.HEAD
        is_answered = super()._answers_raw(*arguments)
        if is_answered and breaks_head and self._named_limit is not None:
            # Nobody can read a limit in a head that was broken off.
            self._named_limit = None
            record("named", limit=None)
        return is_answered

    def fell(self) -> None:
        """Note that the server fell over."""
        record("fell")


class PlainProcess(NotesArrivals, PlatformServer):
    """A server of a plain service."""


class RunnerProcess(NotesArrivals, PlatformRunner):
    """A model runner; notes of each stream how many events a whole one has."""

    def _order(self, data: dict[str, Any]) -> int:
        status = super()._order(data)
        record("ordered", holder=data["dutyHolder"], fence=data["fenceToken"], status=status)
        return status

    def _answer(self, request: Request, reply: Reply) -> None:
        name = (request.value(b"x-request-id") or b"").decode()
        record("generates", request=name, events=self.events)
        super()._answer(request, reply)

    def crash(self) -> None:
        """End the process, in the middle of its answers."""
        record("crashed_by_parts", parts=[part.decode() for part in self.faults.poison_parts])
        self.break_off_answers()
        os._exit(1)


class Registration:
    """Keeps a server's entry in the store.

    :param told_address: where others reach the server.
    """

    def __init__(
        self, server: PlatformServer, told_address: str, zone: str, store: str, heartbeat_ms: int
    ) -> None:
        self._server = server
        self._told_address = told_address
        self._zone = zone
        self._store = store
        self._heartbeat_s = heartbeat_ms / 1000
        self._pools = ConnectionPools(MonotonicClock(), max_idle=2)
        self._sequence = 0
        self._state = "ready"
        self._registers = True

    def keep(self) -> None:
        """Write the entry again and again."""
        while True:
            written = self._write() if self._registers else True
            gevent.sleep(self._heartbeat_s if written else AGAIN_S)

    def lapse(self, for_ms: int) -> None:
        """Serve without writing the entry, which lapses; then write it again."""
        gevent.spawn(self._lapse, for_ms)

    def _lapse(self, for_ms: int) -> None:
        self._registers = False
        gevent.sleep(for_ms / 1000)
        self._registers = self._state == "ready"

    def leave(self, serves_ms: int, without_word: bool = False, by_word: bool = False) -> None:
        """Leave: say so or remove the entry, serve on for a while, and end.

        :param by_word: whether only the answers say so; the entry stays ``ready`` until the end.
        """
        gevent.spawn(self._leave, serves_ms, without_word, by_word)

    def _leave(self, serves_ms: int, without_word: bool, by_word: bool) -> None:
        if by_word:
            self._server.faults.leaving = True
        elif without_word:
            self._registers, self._state = False, "removed"
            self._until_written(removed=True)
        else:
            self._state = "draining"
            self._until_written(removed=False)
        gevent.sleep(serves_ms / 1000)
        self._server.break_off_answers()
        os._exit(0)

    def _until_written(self, removed: bool) -> None:
        while not self._write(removed):
            gevent.sleep(AGAIN_S)

    def _write(self, removed: bool = False) -> bool:
        self._sequence += 1
        entry: dict[str, Any] | None = None
        if not removed:
            entry = self._server.entry(
                address=self._told_address,
                zone=self._zone,
                state=self._state,
                sequence=self._sequence,
            )
        body = orjson.dumps({"server": self._server.server_id, "entry": entry})
        answer = call(self._pools, self._store, "POST", "/register", body, REGISTER_TIMEOUT_MS)
        return isinstance(answer, Answer) and answer.head.status == 200


def main() -> None:
    """Serve until the commands end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--listen", required=True, help="IP:PORT")
    parser.add_argument("--told-address", required=True, help="IP:PORT where others reach it")
    parser.add_argument("--service", required=True)
    parser.add_argument("--model", help="of a model runner")
    parser.add_argument("--version", default=FIRST_VERSION, help="of its software")
    parser.add_argument("--zone", required=True)
    parser.add_argument("--store", required=True, help="IP:PORT")
    parser.add_argument("--heartbeat-ms", type=int, required=True)
    parser.add_argument("--work-ms", type=int, required=True, help="what a request takes")
    given = parser.parse_args()
    if given.model is None:
        server: PlatformServer = PlainProcess(given.id, given.listen, given.service)
    else:
        server = RunnerProcess(given.id, given.listen, given.service, given.model)
        server.events, server.event_ms = EVENTS, EVENT_MS
    server.software_version = given.version
    server.born = time.time_ns() // 1_000_000
    server.faults.slow_ms = given.work_ms
    server.start()
    registration = Registration(
        server, given.told_address, given.zone, given.store, given.heartbeat_ms
    )
    gevent.spawn(registration.keep)
    record("started")

    def misbehave(**faults: Any) -> None:
        parts = faults.pop("poison_parts", None)
        if parts is not None:
            server.faults.poison_parts = frozenset(part.encode() for part in parts)
        for name, value in faults.items():
            setattr(server.faults, name, value)

    def crash() -> None:
        until = time.monotonic() + CRASH_WAIT_S
        while not server.sends_raw_answers() and time.monotonic() < until:
            gevent.sleep(CRASH_CHECK_S)
        server.break_off_answers()
        os._exit(1)

    follow(
        {
            "leave": registration.leave,
            "lapse": registration.lapse,
            "misbehave": misbehave,
            "crash": crash,
        }
    )


if __name__ == "__main__":
    main()
