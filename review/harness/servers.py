"""Stand in for the platform's servers: model runners and servers of a plain service."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import Counter, OrderedDict, deque
from typing import Any

from .http1 import (
    Malformed,
    Message,
    encode_answer,
    encode_chunk,
    encode_head,
    read_body,
    read_head,
)
from .record import Record
from .store import Store

HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
REPORT_LAG_S = 0.1
COLD_LOAD_S, WARM_LOAD_S = 0.25, 0.025
MAX_LOADS = 4
KEPT_COPIES = 36


class Server:
    """A server that answers requests, notes what it ran, and keeps its entry in the store.

    :param work_s: how long a request takes.
    :ivar extra_share: share of the answers of which a second copy comes late, at the point where
        the next answer on the channel is expected.
    """

    def __init__(
        self, server_id: str, service: str, slots: int, work_s: float, store: Store, record: Record
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.address = ""
        self.state = "ready"
        self.extra_share = 0.0
        self.extras_sent = 0
        self.statuses: Counter[int] = Counter()
        self.record = record
        self._store = store
        self._rng = random.Random(server_id)
        self._sequence = 0
        self._is_cut_off = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen at a free port of loopback and register."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._keep(asyncio.get_running_loop().create_task(self._beat()))

    def _keep(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            if not self._is_cut_off:
                self._sequence += 1
                await self._store.put("servers", self.server_id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def cut_off(self, for_s: float) -> None:
        """Cut the server off from the store, which removes the entry of a silent server."""
        self.record.note(f"{self.server_id} is cut off from the store")
        self._is_cut_off = True
        await asyncio.sleep(HEARTBEAT_S * MISSED_HEARTBEATS)
        await self._store.remove("servers", self.server_id)
        self.record.note(f"the entry of {self.server_id} is removed")
        await asyncio.sleep(for_s - HEARTBEAT_S * MISSED_HEARTBEATS)
        self._is_cut_off = False
        self._sequence += 1
        await self._store.put("servers", self.server_id, self.entry())
        self.record.note(f"{self.server_id} is back and has written its entry again")

    def entry(self) -> dict[str, Any]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
        }

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late_copy = b""
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if late_copy:
                    self.extras_sent += 1
                    writer.write(late_copy)
                sent = await self._serve(request, reader, writer)
                is_copied = sent and self._rng.random() < self.extra_share
                late_copy = sent if is_copied else b""
        except (Malformed, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Answer a request; return the bytes of the answer, nothing for control calls."""
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.server_id:
            return await self._send(writer, request, 421)
        control = self._control(request)
        if control is not None:
            status, data = control
            writer.write(encode_answer(status, {}, json.dumps(data).encode()))
            await writer.drain()
            return b""
        if "x-request-id" not in request.headers:
            return await self._send(writer, request, 400, not_run=True)
        return await self._handle(request, reader, writer)

    def _control(self, request: Message) -> tuple[int, dict[str, Any]] | None:
        return None

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        self.note_run(request)
        if await closed_within(reader, self.work_s):
            raise ConnectionError
        body = f"{self.server_id} {request.start[1]}".encode()
        return await self._send(writer, request, 200, body, signed=True)

    def note_run(self, request: Message) -> None:
        """Note that a request begins to run."""
        self.record.ran(request.headers["x-request-id"], self.server_id)

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        request: Message,
        status: int,
        body: bytes = b"",
        signed: bool = False,
        not_run: bool = False,
    ) -> bytes:
        self.statuses[status] += 1
        headers = self.headers(request, signed)
        if not_run:
            headers["X-Not-Executed"] = "1"
        answer = encode_answer(status, headers, body)
        writer.write(answer)
        await writer.drain()
        self.record.answered_by_server(
            request.headers.get("x-request-id", "-"), self.server_id, status
        )
        return answer

    def headers(self, request: Message, signed: bool) -> dict[str, str]:
        """Return the headers of an answer."""
        headers = {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Instance-Id": self.server_id,
            "Keep-Alive": "timeout=10",
        }
        if signed:
            headers["X-Server-Signature"] = f"sig-{self.server_id}"
        return headers


class Runner(Server):
    """A model runner with places for adapters.

    :param places: adapters that it holds beside its base model.
    """

    def __init__(
        self, server_id: str, service: str, model: str, places: int, store: Store, record: Record
    ) -> None:
        super().__init__(server_id, service, 64, 0.02, store, record)
        self.model = model
        self.places = places
        self.sequence = 0
        self.fence = 0
        self.events, self.event_s = 8, 0.025
        self._held: dict[str, int] = {}
        self._loading: dict[str, int] = {}
        self._dropping: set[str] = set()
        self._in_use: Counter[str] = Counter()
        self._copies: OrderedDict[str, None] = OrderedDict()
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()

    def entry(self) -> dict[str, Any]:
        """Return the entry in the store."""
        return {**super().entry(), "stage": "colocated", "models": self._models()}

    def _models(self) -> list[dict[str, Any]]:
        adapters = [f"{name}@{version}" for name, version in self._held.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def _control(self, request: Message) -> tuple[int, dict[str, Any]] | None:
        if request.start[1] == "/v1/report":
            return 200, self._report()
        if request.start[1] == "/v1/order":
            data = json.loads(request.body)
            before = self.sequence
            status = self._order(data)
            self.record.ordered(self.server_id, data, status)
            if self.sequence != before:
                self._note_state()
            return status, {}
        return None

    def _note_state(self) -> None:
        incoming = [f"{self.model}/{name}@{version}" for name, version in self._loading.items()]
        report = {
            "stage": "colocated",
            "models": self._models(),
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "active": sum(self._in_use.values()),
            "kvUsed": 0,
            "kvTotal": 151_047,
            "handles": 0,
            "incoming": incoming,
        }
        self._reports.append((time.monotonic(), report))

    def _report(self) -> dict[str, Any]:
        """Return the state as of a moment ago."""
        if not self._reports:
            self._note_state()
        as_of = time.monotonic() - REPORT_LAG_S
        while len(self._reports) > 1 and self._reports[1][0] <= as_of:
            self._reports.popleft()
        return self._reports[0][1]

    def _order(self, data: dict[str, Any]) -> int:
        if "dutyHolder" not in data or "fenceToken" not in data:
            return 400
        if data["fenceToken"] < self.fence:
            return 412
        self.fence = data["fenceToken"]
        if data.get("expectedRev", self.sequence) != self.sequence:
            return 409
        adapter = data.get("adapter")
        if adapter is None:
            return 200 if data["operation"] == "load" else 409
        if data["operation"] == "load":
            return self._load(adapter, data.get("version", 1))
        return self._unload(adapter)

    def _load(self, name: str, version: int) -> int:
        if self._held.get(name) == version and name not in self._dropping:
            return 200
        if name in self._loading:
            return 202
        if name in self._dropping or len(self._loading) >= MAX_LOADS:
            return 409
        if len(self._held) + len(self._loading) >= self.places:
            self.record.broken("LIMIT", f"{self.server_id} was ordered to hold one adapter more")
            return 409
        self.sequence += 1
        self._loading[name] = version
        self._keep(asyncio.get_running_loop().create_task(self._fetch(name, version)))
        return 202

    async def _fetch(self, name: str, version: int) -> None:
        await asyncio.sleep(WARM_LOAD_S if name in self._copies else COLD_LOAD_S)
        del self._loading[name]
        self._held[name] = version
        self._copies[name] = None
        self._copies.move_to_end(name)
        while len(self._copies) > KEPT_COPIES:
            self._copies.popitem(last=False)
        self._note_state()

    def _unload(self, name: str) -> int:
        if name in self._loading:
            return 409
        if name not in self._held:
            return 200
        if name in self._dropping:
            return 202
        self.sequence += 1
        if self._in_use[name]:
            self._dropping.add(name)
            return 202
        del self._held[name]
        return 200

    def _release(self, name: str) -> None:
        self._in_use[name] -= 1
        if not self._in_use[name] and name in self._dropping:
            self._dropping.discard(name)
            del self._held[name]
            self._note_state()

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        name = request.headers.get("x-model", "").partition("/")[2]
        version = request.headers.get("x-expect-version")
        held = self._held.get(name)
        if held is None or (version is not None and int(version) != held):
            return await self._send(writer, request, 421)
        if name in self._dropping:
            return await self._send(writer, request, 503, not_run=True)
        self._in_use[name] += 1
        try:
            self.note_run(request)
            return await self._stream(request, reader, writer)
        finally:
            self._release(name)

    async def _stream(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        if await closed_within(reader, self.work_s):
            raise ConnectionError
        headers = {**self.headers(request, signed=True), "Content-Type": "text/event-stream"}
        pieces = [encode_head(200, {**headers, "Transfer-Encoding": "chunked"})]
        writer.write(pieces[0])
        request_id = request.headers["x-request-id"]
        for number in range(1, self.events + 1):
            piece = encode_chunk(f"id: {number}\ndata: {request_id}\n\n".encode())
            pieces.append(piece)
            writer.write(piece)
            if await closed_within(reader, self.event_s):
                raise ConnectionError
        pieces.append(encode_chunk(b""))
        writer.write(pieces[-1])
        await writer.drain()
        self.statuses[200] += 1
        self.record.answered_by_server(request_id, self.server_id, 200)
        return b"".join(pieces)


async def closed_within(reader: asyncio.StreamReader, wait_s: float) -> bool:
    """Wait; return at once with ``True`` if the other side closes its channel."""
    until = time.monotonic() + wait_s
    while (left_s := until - time.monotonic()) > 0:
        if reader.at_eof() or reader.exception() is not None:
            return True
        await asyncio.sleep(min(left_s, 0.01))
    return reader.at_eof()


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    """End tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task
