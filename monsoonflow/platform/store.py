"""Client of the platform's store: rows and their changes."""

from __future__ import annotations

import base64
import binascii
import logging
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import urlencode

import attrs
import orjson

from ..core.clock import Clock
from ..logs import events, log
from ..storage.models import (
    ChangedRow,
    Changes,
    CommitResult,
    Committed,
    Conflict,
    HistoryLost,
    Outdated,
    Row,
    Transaction,
    Unavailable,
)
from ..transport.client import Answer, ConnectionPools, ServerConnection, call
from ..transport.const import MAX_LARGE_CALL_BYTES
from ..transport.models import Lost
from .store_era import StoreEra, generation_of, number_of, row_version

_LOGGER = logging.getLogger(__name__)
JSON_HEADERS: Final = ((b"Content-Type", b"application/json"),)
CALL_TIMEOUT_MS: Final = 1_500
MAX_PAGE_ROWS: Final = 500
"""Rows per page; the store returns no more."""

OWN_TABLE: Final = "monsoonflow"
"""The table with the rows of this project."""

RETURNED: Final = "the store has returned from a copy"


@attrs.frozen(slots=True)
class _Answer:
    """An answer of the store.

    :param generation: of the store's rows when it answered.
    """

    status: int
    data: dict[str, Any]
    generation: int

    def version(self) -> int | None:
        """Return the newest row version that it states; ``None`` without one."""
        number = self.data.get("rowVersion")
        return row_version(self.generation, number) if isinstance(number, int) else None

    def now_ms(self) -> int | None:
        """Return the store's steady clock as it states it; ``None`` if it does not."""
        now_ms = self.data.get("nowMs")
        return now_ms if isinstance(now_ms, int) and not isinstance(now_ms, bool) else None

    def changed_rows(self) -> tuple[ChangedRow, ...]:
        """Return the rows that it holds; malformed ones are skipped."""
        rows = (_decode_changed_row(entry, self.generation) for entry in self.data.get("rows", ()))
        return tuple(row for row in rows if row is not None)


class PlatformStore:
    """Implements the raw table and the change feed with calls to the store.

    All keys of this project are rows of one table with an empty ``part``, so that one transaction
    can change several of them.

    :param era: shared by all clients of the store.
    """

    def __init__(self, address: str, clock: Clock, era: StoreEra | None = None) -> None:
        self._address = address
        self._era = era or StoreEra(clock)
        self._pools = ConnectionPools(clock, max_idle=4)
        self.call_count = 0
        self._feed_connection: ServerConnection | None = None
        self._is_feed_cancelled = False

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row; ``None`` if the store answered that there is none."""
        page = self._read_page(OWN_TABLE, {"from": key, "pageLimit": 1})
        if isinstance(page, Unavailable):
            return page
        rows = (_decode_row(row) for row in page.changed_rows() if row.key == key)
        return next(rows, None)

    def scan(self, prefix: str, after: str = "") -> list[Row] | Unavailable:
        """Return the rows whose keys begin with a prefix, in key order, only those after a key."""
        table = self._read_table(OWN_TABLE)
        if isinstance(table, Unavailable):
            return table
        rows = [_decode_row(row) for row in table.rows if row.key.startswith(prefix)]
        return [row for row in rows if row is not None and row.key > after]

    def era(self) -> int:
        """Return the era that the store states; 0 if it states none."""
        return self._era.value

    def commit_once(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once, without retries.

        On the wire, ``expectedRev`` lists the row versions that must still be current. ``op`` in
        a row's value is the id of the transaction that wrote it.
        """
        conditions, generation = transaction.conditions, self._era.generation
        if any(version and generation_of(version) != generation for version in conditions.values()):
            return Outdated()
        operation_field = {"op": transaction.operation_id}
        body = {
            "expectedRev": [
                {**_row_address(key), "rowVersion": number_of(version)}
                for key, version in conditions.items()
            ],
            "setKeys": [
                {
                    **_row_address(key),
                    "value": _encode_value({**value, **operation_field}),
                }
                for key, value in transaction.puts.items()
            ],
            "remove": [_row_address(key) for key in transaction.deletes],
        }
        answer = self._call("POST", "/v1/rows-tx", orjson.dumps(body), CALL_TIMEOUT_MS)
        if isinstance(answer, Lost):
            return Unavailable(answer.reason, ambiguous=answer.sent)
        if conditions and answer.generation != generation:
            # The versions were given out again: a condition may have held by chance.
            return Outdated()
        match answer.status:
            case 200:
                version = answer.version()
                if version is None:
                    return Unavailable("unreadable answer", ambiguous=True)
                return Committed(version)
            case 412:
                return Conflict()
            case 429 | 503:
                return Unavailable(f"status {answer.status}")
            case _:
                return Unavailable(f"status {answer.status}", ambiguous=True)

    def read_all(self, collection: str) -> Changes | Unavailable:
        """Return all rows of a table."""
        return self._read_table(collection)

    def changes(
        self, collection: str, after: int, wait_ms: int, answer_timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Changes | HistoryLost | Unavailable:
        """Return the changes of a table after a version, as soon as there are any.

        :param wait_ms: how long the store waits for changes.
        :param answer_timeout_ms: how much longer its answer may take to begin, and how long nothing
            of it may be received then.
        """
        generation = generation_of(after)
        if generation != self._era.generation:
            return HistoryLost(RETURNED)
        self._is_feed_cancelled = False
        query = urlencode({"table": collection, "after": number_of(after), "waitMs": wait_ms})
        answer = self._call(
            "GET",
            f"/v1/rows-feed?{query}",
            b"",
            wait_ms + answer_timeout_ms,
            self._set_feed_connection,
            answer_timeout_ms,
        )
        self._feed_connection = None
        if isinstance(answer, Lost):
            return Unavailable(answer.reason)
        if answer.generation != generation:
            # What was written under versions that were given out again would be missing.
            return HistoryLost(RETURNED)
        if answer.status == 410:
            return HistoryLost()
        version = answer.version()
        if answer.status != 200 or version is None:
            return Unavailable(f"status {answer.status}")
        return Changes(answer.changed_rows(), version, answer.now_ms(), generation)

    def cancel_request(self) -> None:
        """Cancel the request for changes in progress, even if it still has no connection.

        An answer of which a part has been received is read to its end: the store answers, and on a
        slow link a large configuration would otherwise be sent again from its beginning.
        """
        if self.is_receiving_changes():
            return
        self._is_feed_cancelled = True
        if self._feed_connection is not None:
            self._feed_connection.close()

    def is_receiving_changes(self) -> bool:
        """Return whether a part of an answer with changes has been received."""
        return self._feed_connection is not None and self._feed_connection.has_answer_begun

    def _set_feed_connection(self, connection: ServerConnection) -> None:
        self._feed_connection = connection
        if self._is_feed_cancelled:
            connection.close()

    def _read_table(self, table: str) -> Changes | Unavailable:
        """Return all rows of a table, as of the oldest of its pages.

        Rows of an earlier page may change before a later one is read. Their changes are received
        only if the next request asks for what came after the oldest page.
        """
        pages: list[_Answer] = []
        start_key = ""
        while True:
            query = {"pageLimit": MAX_PAGE_ROWS, **({"from": start_key} if start_key else {})}
            page = self._read_page(table, query)
            if isinstance(page, Unavailable):
                return page
            if pages and page.generation != pages[0].generation:
                return Unavailable(RETURNED)
            pages.append(page)
            if not page.data.get("hasMore"):
                return Changes(
                    tuple(row for page in pages for row in page.changed_rows()),
                    min(page.version() for page in pages),
                    pages[0].now_ms(),
                    page.generation,
                )
            if not page.data["rows"]:
                return Unavailable("a page without rows is not the last one")
            # A page includes its start key: the next one starts with the next possible key.
            start_key = page.data["rows"][-1]["key"] + "\x00"

    def _read_page(self, table: str, query: dict[str, Any]) -> _Answer | Unavailable:
        encoded_query = urlencode({"table": table, "part": "", **query})
        answer = self._call(
            "GET",
            f"/v1/rows-get?{encoded_query}",
            b"",
            CALL_TIMEOUT_MS,
            body_gap_ms=CALL_TIMEOUT_MS,
        )
        if isinstance(answer, Lost):
            return Unavailable(answer.reason)
        if answer.status != 200 or answer.version() is None or "rows" not in answer.data:
            return Unavailable(f"status {answer.status}")
        return answer

    def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: int,
        on_connection: Callable[[ServerConnection], None] = lambda _: None,
        body_gap_ms: int | None = None,
    ) -> _Answer | Lost:
        self.call_count += 1
        headers = JSON_HEADERS if body else ()
        answer = call(
            self._pools,
            self._address,
            method,
            target,
            body,
            timeout_ms,
            headers,
            on_acquired=on_connection,
            body_gap_ms=body_gap_ms,
            max_bytes=MAX_LARGE_CALL_BYTES,
        )
        if isinstance(answer, Lost):
            return answer
        generation = self._era.record_answer(answer.head)
        if generation is None:
            return Lost(True, "an answer from before the store's return")
        return _Answer(answer.head.status, _decode_json_object(answer), generation)


def _encode_value(value: dict[str, Any]) -> str:
    return base64.b64encode(orjson.dumps(value)).decode()


def _row_address(key: str) -> dict[str, str]:
    return {"table": OWN_TABLE, "part": "", "key": key}


def _decode_json_object(answer: Answer) -> dict[str, Any]:
    try:
        data = orjson.loads(answer.body or b"{}")
    except orjson.JSONDecodeError:
        return {}
    return data if isinstance(data, dict) else {}


def _decode_changed_row(entry: Any, generation: int) -> ChangedRow | None:
    """Return a changed row; ``None`` for a malformed one, which is logged.

    A malformed row is skipped because it must never stop a process.
    """
    try:
        body = None if entry.get("removed") else base64.b64decode(entry["value"], validate=True)
        version = row_version(generation, int(entry["rowVersion"]))
        return ChangedRow(str(entry["key"]), version, body)
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error) as error:
        log(_LOGGER, events.MalformedRow(row=str(entry)[:120], cause=repr(error)))
        return None


def _decode_row(changed_row: ChangedRow) -> Row | None:
    try:
        value = orjson.loads(changed_row.body or b"null")
    except orjson.JSONDecodeError:
        return None
    return Row(changed_row.key, changed_row.version, value) if isinstance(value, dict) else None
