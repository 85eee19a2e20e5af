"""Stand in for consumers: they ask where to go, keep channels and send requests."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .http1 import Malformed, Message, encode_request, read_body, read_head
from .nodes import Node
from .record import Record

CONNECT_S = 1.0


@dataclass
class Answer:
    """What a consumer got; status 0: no whole answer.

    :param text: what went wrong, for the record.
    :param address: of the node.
    :param sent_at: when the request was sent, on the monotonic clock.
    :param ended_at: when its answer, or its channel, ended.
    """

    status: int
    message: Message | None = None
    text: str = ""
    address: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0


class Channel:
    """A channel to a node that carries one request at a time."""

    def __init__(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.address = address
        self.reader = reader
        self.writer = writer
        self.is_open = True
        self.idle_since = time.monotonic()
        self.idle_s = 10.0

    async def call(
        self, method: str, target: str, headers: dict[str, str], body: bytes, time_s: float
    ) -> Answer:
        """Send a request and read its answer."""
        self.writer.write(encode_request(method, target, headers, body))
        try:
            return await asyncio.wait_for(self._read(method), time_s)
        except TimeoutError:
            self.close()
            return Answer(0, None, "no answer in time")
        except (Malformed, OSError) as error:
            self.close()
            return Answer(0, None, f"{type(error).__name__}: {error}")

    async def _read(self, method: str) -> Answer:
        await self.writer.drain()
        message = await read_head(self.reader)
        if message is None:
            self.close()
            return Answer(0, None, "closed without an answer")
        if method != "HEAD":
            await read_body(self.reader, message, ends_with_connection=True)
        else:
            message.complete = True
        if not message.complete or message.headers.get("connection") == "close":
            self.close()
        self.idle_since = time.monotonic()
        keep_alive = message.headers.get("keep-alive", "").partition("timeout=")[2]
        if keep_alive.isdigit():
            self.idle_s = int(keep_alive) * 0.8
        if not message.complete:
            return Answer(0, message, "cut in the answer")
        return Answer(message.status, message)

    def is_usable(self) -> bool:
        """Return whether another request may be sent."""
        is_fresh = time.monotonic() - self.idle_since < self.idle_s
        return self.is_open and is_fresh and not self.reader.at_eof()

    def close(self) -> None:
        """Close the channel."""
        self.is_open = False
        self.writer.close()


async def connect(address: str) -> Channel | None:
    """Open a channel; ``None`` if that takes too long or fails."""
    ip, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), CONNECT_S)
    except (TimeoutError, OSError):
        return None
    return Channel(address, reader, writer)


@dataclass
class Sending:
    """A request to send.

    :param once: whether it may run at most once.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    deadline_ms: int = 4_000
    once: bool = True


@dataclass
class Consumers:
    """Consumers of one zone that send requests at a steady pace.

    :param create: returns the next request.
    :param keeps: how many times as long as it may they keep an answer of the directory.
    :ivar once: the requests that may run at most once.
    """

    name: str
    host: str
    nodes: list[Node]
    record: Record
    create: Callable[[random.Random], Sending]
    seed: int
    on_answer: Callable[[str, Sending, Answer], None] = lambda *_: None
    keeps: int = 1
    once: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._numbers = itertools.count(1)
        self._idle: dict[str, list[Channel]] = {}
        self._addresses: list[str] = []
        self._until = 0.0
        self._tasks: set[asyncio.Task] = set()

    async def run(self, per_s: float, for_s: float) -> None:
        """Send requests for a while, then wait for the answers."""
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            task = asyncio.get_running_loop().create_task(self._send_one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(per_s))
        await asyncio.gather(*self._tasks)

    async def _send_one(self) -> None:
        sending = self.create(self._rng)
        channel = await self._channel()
        if channel is None:
            return
        request = f"{self.name}-{next(self._numbers)}"
        if sending.once:
            self.once.add(request)
        headers = {
            "Host": self.host,
            "X-Request-Id": request,
            "X-Deadline-Ms": str(sending.deadline_ms),
            **sending.headers,
        }
        text = f"{sending.method} {sending.target} {sending.headers.get('X-Model', '')}"
        self.record.sent(request, f"to {channel.address} {text}")
        sent_at = time.monotonic()
        answer = await channel.call(
            sending.method, sending.target, headers, sending.body, sending.deadline_ms / 1000
        )
        answer.address, answer.sent_at, answer.ended_at = channel.address, sent_at, time.monotonic()
        self.record.answered(request, answer.status, answer.text)
        self.on_answer(request, sending, answer)
        if channel.is_usable():
            self._idle.setdefault(channel.address, []).append(channel)
        elif answer.status == 0:
            with contextlib.suppress(ValueError):
                self._addresses.remove(channel.address)

    async def _channel(self) -> Channel | None:
        if not self._addresses or time.monotonic() >= self._until:
            await self._resolve()
        if not self._addresses:
            return None
        address = self._rng.choice(self._addresses)
        idle = self._idle.get(address, [])
        while idle:
            channel = idle.pop()
            if channel.is_usable():
                return channel
            channel.close()
        return await connect(address)

    async def _resolve(self) -> None:
        target = f"/v1/resolve?name={self.host}&region=r&zone={self.nodes[0].zone}"
        for node in self._rng.sample(self.nodes, min(3, len(self.nodes))):
            channel = await connect(node.directory)
            if channel is None:
                continue
            answer = await channel.call("GET", target, {"Host": node.directory}, b"", 1.0)
            channel.close()
            if answer.status == 200 and answer.message is not None:
                found: dict[str, Any] = json.loads(answer.message.body)
                self._addresses = list(found["addresses"])
                self._until = time.monotonic() + self.keeps * min(5.0, found["ttlS"])
                return
