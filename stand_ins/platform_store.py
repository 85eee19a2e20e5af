"""Stands in for the platform's metadata store: rows, transactions under conditions, change feed."""

from __future__ import annotations

import base64
from typing import Any, Final
from urllib.parse import parse_qs

import attrs
import gevent
import orjson
from gevent.event import Event

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.storage.models import ChangedRow
from monsoonflow.transport.models import MessageLimits, Request
from monsoonflow.transport.reply import Reply
from monsoonflow.transport.server import HttpServer

JSON = [(b"Content-Type", b"application/json")]
MAX_PAGE_ROWS: Final = 500
CLOCK_OFFSET_MS = 7_000_000
"""How far the store's steady clock is from those of the nodes, which have another start."""


@attrs.frozen
class StoreCopy:
    """The store's state at one moment."""

    version: int
    rows: dict[tuple[str, str], tuple[int, str | None]]


@attrs.define
class StoreFaults:
    """How the store misbehaves.

    :param down: answers 503 to everything.
    :param silent: answers nothing.
    :param lose: how many transactions take effect without an answer.
    :param refused: callers' addresses that get 503.
    """

    down: bool = False
    silent: bool = False
    lose: int = 0


class PlatformStore:
    """Rows of any table with one counter of versions.

    :ivar era: rises with each return from a copy; ``None``: its answers state none.
    """

    def __init__(self, address: str, era: int | None = None) -> None:
        self.address = address
        self.era = era
        self.faults = StoreFaults()
        self.version = 0
        self.forgotten = 0
        self.rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.calls = 0
        self._changed = Event()
        self._clock = MonotonicClock()
        self._port = HttpServer(address, self._handle, MessageLimits, self._clock)

    def start(self) -> None:
        """Begin to serve."""
        assert self._port.start()

    def stop(self) -> None:
        """Stop to serve."""
        self._port.stop_listening()

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row, as the operator or a server does."""
        return self._apply([(table, key, base64.b64encode(orjson.dumps(value)).decode())])

    def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        return self._apply([(table, key, None)])

    def table_rows(self, table: str) -> list[ChangedRow]:
        """Return the rows of a table."""
        return [
            ChangedRow(key, version, base64.b64decode(value))
            for (name, key), (version, value) in self.rows.items()
            if name == table and value is not None
        ]

    def forget_history(self) -> None:
        """Drop what has changed so far."""
        self.forgotten = self.version
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        return StoreCopy(self.version, dict(self.rows))

    def return_from(self, copy: StoreCopy) -> None:
        """Forget all that was written after a copy; its versions are given out again."""
        self.version, self.rows = copy.version, dict(copy.rows)
        self.forgotten = min(self.forgotten, copy.version)
        self.era = (self.era or 0) + 1
        self._wake()

    def _apply(self, changes: list[tuple[str, str, str | None]]) -> int:
        self.version += 1
        for table, key, value in changes:
            self.rows[table, key] = (self.version, value)
        self._wake()
        return self.version

    def _wake(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _handle(self, request: Request, reply: Reply) -> None:
        self.calls += 1
        if self.faults.silent:
            gevent.sleep(60)
        if self.faults.down:
            self._refuse(reply, 503)
            return
        path, _, text = request.target.decode().partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        match path:
            case "/v1/rows-tx":
                self._transact(orjson.loads(request.body), reply)
            case "/v1/rows-get":
                rows = self._table(query["table"], query.get("from", ""))
                limit = min(MAX_PAGE_ROWS, int(query.get("pageLimit", MAX_PAGE_ROWS)))
                self._answer(reply, 200, {"rows": rows[:limit], "hasMore": len(rows) > limit})
            case "/v1/rows-feed":
                self._feed(query, reply)
            case _:
                self._refuse(reply, 404)

    def _table(self, table: str, start: str) -> list[dict[str, Any]]:
        return [
            self._row(name, key)
            for (name, key), (_, value) in sorted(self.rows.items())
            if name == table and key >= start and value is not None
        ]

    def _row(self, table: str, key: str) -> dict[str, Any]:
        version, value = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "rowVersion": version}
        return {**row, "removed": True} if value is None else {**row, "value": value}

    def _transact(self, data: dict[str, Any], reply: Reply) -> None:
        for condition in data["expectedRev"]:
            version, value = self.rows.get((condition["table"], condition["key"]), (0, None))
            if (version if value is not None else 0) != condition["rowVersion"]:
                self._answer(reply, 412, {"rows": []})
                return
        changes = [(row["table"], row["key"], row["value"]) for row in data["setKeys"]]
        changes += [(row["table"], row["key"], None) for row in data["remove"]]
        self._apply(changes)
        if self.faults.lose > 0:
            self.faults.lose -= 1
            gevent.sleep(60)
        self._answer(reply, 200, {})

    def _feed(self, query: dict[str, str], reply: Reply) -> None:
        after = int(query["after"])
        until = gevent.get_hub().loop.now() + int(query["waitMs"]) / 1000
        while True:
            if self.faults.down or not self.forgotten <= after <= self.version:
                self._refuse(reply, 503 if self.faults.down else 410)
                return
            rows = [
                self._row(table, key)
                for (table, key), (version, _) in sorted(
                    self.rows.items(), key=lambda item: item[1][0]
                )
                if table == query["table"] and version > after
            ]
            left = until - gevent.get_hub().loop.now()
            if rows or left <= 0:
                self._answer(reply, 200, {"rows": rows})
                return
            self._changed.wait(min(left, 0.2))
            gevent.get_hub().loop.update_now()

    def _answer(self, reply: Reply, status: int, data: dict[str, Any]) -> None:
        now_ms = self._clock.now_ms() + CLOCK_OFFSET_MS
        reply.send_whole(
            status,
            [*JSON, *self._era_header()],
            orjson.dumps({**data, "rowVersion": self.version, "nowMs": now_ms}),
        )

    def _refuse(self, reply: Reply, status: int) -> None:
        reply.send_whole(status, self._era_header())

    def _era_header(self) -> list[tuple[bytes, bytes]]:
        return [] if self.era is None else [(b"Store-Era", b"%d" % self.era)]
