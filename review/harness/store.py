"""Stands in for the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
from urllib.parse import parse_qs

from .http1 import Malformed, Message, encode_answer, read_body, read_head

ANSWER_S = 0.004
MAX_ROWS = 500


class Store:
    """Rows in tables, transactions under conditions, and a feed of changes."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[int, str | None]] = {}
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port of loopback."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def put(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Write a row as the operator or a server does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self._apply([((table, "", key), text)])

    async def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        await self._apply([((table, "", key), None)])

    def value_of(self, table: str, key: str) -> Any:
        """Return the value of a row; ``None`` without one."""
        _, text = self.rows.get((table, "", key), (0, None))
        return None if text is None else json.loads(base64.b64decode(text))

    async def _apply(self, changes: list[tuple[tuple[str, str, str], str | None]]) -> None:
        self.version += 1
        for address, text in changes:
            self.rows[address] = (self.version, text)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                status, data = await self._answer(request)
                data = {**data, "rowVersion": self.version, "nowMs": int(time.monotonic() * 1000)}
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, headers, json.dumps(data).encode()))
                await writer.drain()
        except (Malformed, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, Any]]:
        path, _, text = request.start[1].partition("?")
        query = {name: values[0] for name, values in parse_qs(text, True).items()}
        if path != "/v1/rows-feed":
            await asyncio.sleep(ANSWER_S)
        match path:
            case "/v1/rows-tx":
                return await self._transact(json.loads(request.body))
            case "/v1/rows-get":
                return 200, self._read(query)
            case "/v1/rows-feed":
                return 200, await self._feed(query)
        return 404, {}

    async def _transact(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for condition in data["expectedRev"]:
            version, text = self.rows.get(_address(condition), (0, None))
            if (version if text is not None else 0) != condition["rowVersion"]:
                return 412, {"rows": [self._row(_address(one)) for one in data["expectedRev"]]}
        changes: list[tuple[tuple[str, str, str], str | None]] = [
            (_address(row), row["value"]) for row in data["setKeys"]
        ]
        changes += [(_address(row), None) for row in data["remove"]]
        await self._apply(changes)
        return 200, {}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        start, end = query.get("from", ""), query.get("target")
        limit = min(MAX_ROWS, int(query.get("pageLimit", MAX_ROWS)))
        found = [
            self._row(address)
            for address, (_, text) in sorted(self.rows.items())
            if address[:2] == (query["table"], query.get("part", ""))
            and text is not None
            and address[2] >= start
            and (end is None or address[2] < end)
        ]
        return {"rows": found[:limit], "hasMore": len(found) > limit}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            has_changed = self._changed
            changed = sorted(
                (version, address)
                for address, (version, _) in self.rows.items()
                if address[0] == query["table"] and version > after
            )
            left = until - time.monotonic()
            if changed or left <= 0:
                await asyncio.sleep(ANSWER_S)
                return {"rows": [self._row(address) for _, address in changed]}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(has_changed.wait(), left)

    def _row(self, address: tuple[str, str, str]) -> dict[str, Any]:
        version, text = self.rows.get(address, (0, None))
        table, part, key = address
        row = {"table": table, "part": part, "key": key, "rowVersion": version}
        return {**row, "removed": True} if text is None else {**row, "value": text}


def _address(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]
