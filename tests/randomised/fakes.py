"""Small fakes of the platform, and the weather that they and the network stand in."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from monsoonflow.backend.models import (
    Began,
    Chunk,
    Cut,
)
from monsoonflow.storage.models import (
    CommitResult,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
)
from monsoonflow.storage.vm_list import VmList

from .virtual import VirtualTasks, World

CALL_TIMEOUT_MS = 1_500
SILENCE_MS = 3_000
KEEP_ALIVE_MS = 1_000


@attrs.define
class Weather:
    """What goes wrong at the moment, and how often messages are lost.

    :param lose: share of answers that are lost after their effect.
    :param garble: share of chunks that get lost or doubled on their way.
    :param note: takes a line for each message that a session's reader wants to see.
    :param base_fallback: whether engines serve their base model for adapters that they lack.
    """

    rng: random.Random
    table_down: bool = False
    cut_from_table: set[str] = attrs.field(factory=set)
    cut_pairs: set[frozenset[str]] = attrs.field(factory=set)
    lose: float = 0.0
    fail_loads: float = 0.0
    garble: float = 0.0
    base_fallback: bool = False
    counts: dict[str, int] = attrs.field(factory=dict)
    note: Callable[[str], None] = attrs.field(default=lambda _line: None)

    def count(self, name: str) -> None:
        """Count one fault or event."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def delay_ms(self) -> float:
        """Return how long a message takes; a few take long."""
        return self.rng.choice((1.5, 1.5, 2.0, 3.0, 8.0)) + (
            self.rng.uniform(0, 400) if self.rng.random() < 0.01 else 0
        )

    def loses(self) -> bool:
        """Tell whether an answer is lost."""
        return self.rng.random() < self.lose


def call(
    world: World, weather: Weather, tasks: VirtualTasks, effect: Callable[[], Any], lost: Any
) -> Any:
    """Send a message, let it take effect, and wait for the answer; ``lost`` when none comes."""
    box: list[Any] = []
    flag = tasks.flag()

    def arrive() -> None:
        answer = effect()
        if weather.loses():
            weather.count("answers lost")
            return
        world.later(weather.delay_ms(), lambda: (box.append(answer), flag.set()))

    world.later(weather.delay_ms(), arrive)
    flag.wait(CALL_TIMEOUT_MS)
    return box[0] if box else lost


class FakeTable:
    """The table's rows, shared by all nodes."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, dict]] = {}
        self.sequence = 0

    def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction if all its conditions hold."""
        for key, version in transaction.conditions.items():
            if self.rows.get(key, (0, {}))[0] != version:
                return Conflict()
        self.sequence += 1
        for key, value in transaction.puts.items():
            self.rows[key] = (self.sequence, {**value, "op": transaction.operation_id})
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Committed(self.sequence)


class TableClient:
    """One node's way to the table."""

    def __init__(
        self, world: World, weather: Weather, tasks: VirtualTasks, table: FakeTable, node: str
    ) -> None:
        self._world, self._weather, self._tasks = world, weather, tasks
        self._table, self._node = table, node

    def get(self, key: str) -> Row | None | Unavailable:
        """Return a row."""

        def effect() -> Row | None:
            found = self._table.rows.get(key)
            return Row(key, *found) if found else None

        return self._send(effect, Unavailable("lost"))

    def scan(self, prefix: str, after: str = "") -> list[Row] | Unavailable:
        """Return the rows under a prefix, after a key."""

        def effect() -> list[Row]:
            keys = sorted(key for key in self._table.rows if key.startswith(prefix) and key > after)
            return [Row(key, *self._table.rows[key]) for key in keys]

        return self._send(effect, Unavailable("lost"))

    def era(self) -> int:
        """Return that no rows are lost."""
        return 0

    def commit_once(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once."""
        lost = Unavailable("lost", ambiguous=True)
        result = self._send(lambda: self._table.commit(transaction), lost)
        keys = [key for key in transaction.puts if not key.startswith("lease/")]
        if keys:
            answer = type(result).__name__.lower()
            self._weather.note(f"{self._node} -> table: write {', '.join(keys)}: {answer}")
        return result

    def _send(self, effect: Callable[[], Any], lost: Any) -> Any:
        if self._weather.table_down or self._node in self._weather.cut_from_table:
            self._tasks.sleep(CALL_TIMEOUT_MS)
            return lost
        return call(self._world, self._weather, self._tasks, effect, lost)


class FakeObjects:
    """The object store, always there."""

    def __init__(self) -> None:
        self.body_by_key: dict[str, bytes] = {}

    def put(self, key: str, body: bytes) -> bool:
        """Store an object."""
        self.body_by_key[key] = body
        return True

    def get(self, key: str) -> bytes | None:
        """Return an object."""
        return self.body_by_key.get(key)


@attrs.define
class FakeVms:
    """The list of VMs."""

    leaving: set[str] = attrs.field(factory=set)

    def read(self) -> VmList:
        """Return the list."""
        return VmList(frozenset(), frozenset(self.leaving))


class Channel:
    """A connection that carries events in order, and can be cut or fall silent."""

    def __init__(self, world: World, weather: Weather, tasks: VirtualTasks) -> None:
        self._world, self._weather, self._tasks = world, weather, tasks
        self._events: list[Any] = []
        self._flag = tasks.flag()
        self._last_ms = 0.0
        self.silent = False
        self.closed = False

    def push(self, event: Any) -> None:
        """Send an event; ``None`` is a keep-alive."""
        if self.silent or self.closed:
            return
        if isinstance(event, Chunk) and self._weather.rng.random() < self._weather.garble:
            self._weather.count("chunks garbled")
            if self._weather.rng.random() < 0.5:
                return
            self._world.later(150, lambda: self._arrive(event))
        self._last_ms = max(self._last_ms, self._world.time_ms + self._weather.delay_ms())
        self._world.later(self._last_ms - self._world.time_ms, lambda: self._arrive(event))

    def cut(self) -> None:
        """Break the connection."""
        self.push(Cut("reset"))
        self.closed = True

    def read(self) -> Iterator[Any]:
        """Yield events until one ends the stream or the connection has been silent for long."""
        try:
            while True:
                while self._events:
                    event = self._events.pop(0)
                    if event is None:
                        continue
                    yield event
                    if not isinstance(event, Began | Chunk):
                        return
                self._flag.clear()
                if not self._flag.wait(SILENCE_MS):
                    yield Cut("silent")
                    return
        finally:
            self.closed = True

    def _arrive(self, event: Any) -> None:
        if not self.silent:
            self._events.append(event)
            self._flag.set()
