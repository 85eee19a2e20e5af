"""Small fakes of the table service, the object store, engines and the network between nodes."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from monsoonflow.backend.models import (
    Began,
    Broken,
    Chunk,
    Cut,
    Ended,
    EngineState,
    OrderDone,
    OrderRefused,
    OrderResult,
    OrderStamp,
    OrderUnclear,
    Refused,
    StreamEvent,
)
from monsoonflow.core.adapter import AdapterRef
from monsoonflow.platform.models import (
    CommitResult,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
)
from monsoonflow.platform.vms import VmList
from stand_ins.text import token

from .virtual import VirtualTasks, World

CALL_TIMEOUT_MS = 1_500
SILENCE_MS = 3_000
KEEP_ALIVE_MS = 1_000
BASE_TEXT = "text of the base model"


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


@attrs.define
class EngineRun:
    """One run at a fake engine."""

    run_id: str
    adapter: AdapterRef
    prompt: str
    total: int
    first_at_ms: float
    tokens: list[str] = attrs.field(factory=list)
    over: bool = False
    channels: list[tuple[Channel, list[int]]] = attrs.field(factory=list)


class FakeEngine:
    """An engine: slots, steps, fencing, resumable runs, and records of what it really ran."""

    def __init__(
        self, world: World, weather: Weather, name: str, checks_fencing: bool, record: Record
    ) -> None:
        self.world, self.weather, self.name = world, weather, name
        self.checks_fencing = checks_fencing
        self.record = record
        self.slots, self.max_batch, self.step_ms = 3, 6, 10.0
        self.fence = 0
        self.leaving = False
        self.channels: list[Channel] = []
        self.boots = 0
        self.stepping = False
        self.boot()

    def boot(self) -> None:
        """Start empty; every connection breaks."""
        self.boots += 1
        self.boot_id = f"{self.name}-boot-{self.boots}"
        self.resident: set[AdapterRef] = set()
        self.loading: set[AdapterRef] = set()
        self.run_by_id: dict[str, EngineRun] = {}
        self.tombstones: set[str] = set()
        self.reports: list[tuple[float, dict[str, AdapterRef]]] = []
        for channel in self.channels:
            channel.cut()
        self.channels = []

    def allowed(self, fence: int) -> bool:
        """Check a fencing number, where this engine does."""
        if not self.checks_fencing:
            return True
        if fence < self.fence:
            self.weather.count("stale orders refused")
            return False
        self.fence = fence
        return True

    def start(self, stamp: OrderStamp, adapter: AdapterRef, body: dict, channel: Channel) -> None:
        """Take a request."""
        if not self.allowed(stamp.fence):
            channel.push(Refused("stale fencing number"))
        elif adapter not in self.resident and self.weather.base_fallback:
            self.weather.count("base model served")
            channel.push(Began("base", self.boot_id))
            channel.push(Chunk(0, BASE_TEXT))
            channel.push(Ended(1, hashlib.sha256(BASE_TEXT.encode()).hexdigest()))
        elif adapter not in self.resident:
            channel.push(Refused("adapter is not loaded"))
        elif stamp.run_id in self.tombstones:
            channel.push(Refused("the run was cancelled"))
        else:
            run = self.run_by_id.get(stamp.run_id)
            if run is None:
                first_at_ms = self.world.time_ms + self.weather.rng.choice((5, 20, 200, 600))
                run = EngineRun(
                    stamp.run_id, adapter, body["prompt"], body["max_tokens"], first_at_ms
                )
                self.run_by_id[stamp.run_id] = run
                self.record.ran(run)
            self.attach(run, channel, 0)

    def attach(self, run: EngineRun, channel: Channel, index: int) -> None:
        """Stream a run's tokens into a channel from an index on."""
        self.channels.append(channel)
        channel.push(Began(str(run.adapter), self.boot_id))
        position = [index]
        run.channels.append((channel, position))
        self.feed(run, channel, position)
        self.step()

    def feed(self, run: EngineRun, channel: Channel, position: list[int]) -> None:
        """Push what is new, and the end."""
        while position[0] < len(run.tokens):
            channel.push(Chunk(position[0], run.tokens[position[0]]))
            position[0] += 1
        if len(run.tokens) >= run.total:
            digest = hashlib.sha256("".join(run.tokens).encode()).hexdigest()
            channel.push(Ended(run.total, digest))

    def active(self) -> list[EngineRun]:
        """Return the runs that the next step may serve."""
        return [
            run for run in self.run_by_id.values() if not run.over and len(run.tokens) < run.total
        ]

    def step(self) -> None:
        """Begin to step, while there is something to do."""
        if not self.stepping:
            self.stepping = True
            self.world.later(self.step_ms, self._step)

    def _step(self) -> None:
        self.stepping = False
        batch = self.active()[: self.max_batch]
        for run in batch:
            if self.world.time_ms < run.first_at_ms:
                continue
            run.tokens.append(token(str(run.adapter), run.prompt, len(run.tokens)))
            for channel, position in run.channels:
                self.feed(run, channel, position)
        for run in self.active():
            for channel, _ in run.channels:
                channel.push(None)
        if batch:
            self.step()

    def cancel(self, run_id: str) -> OrderResult:
        """Stop a run, now or when it arrives."""
        self.tombstones.add(run_id)
        run = self.run_by_id.get(run_id)
        if run is not None:
            run.over = True
        return OrderDone()

    def unload(self, adapter: AdapterRef, fence: int) -> OrderResult:
        """Unload an adapter; one in use breaks a promise."""
        if not self.allowed(fence):
            return OrderRefused("stale fencing number", stale_fence=True)
        users = [run.run_id for run in self.active() if run.adapter == adapter]
        if users:
            self.record.violations.append(f"{self.name} evicted {adapter} used by {users}")
        self.resident.discard(adapter)
        return OrderDone()

    def state(self) -> EngineState:
        """Return the load report; what runs shows with a lag."""
        now = self.world.time_ms
        running = {run.run_id: run.adapter for run in self.active()}
        self.reports = [*self.reports[-50:], (now, running)]
        lagged = [entry for at, entry in self.reports if at <= now - 300]
        return EngineState(
            self.boot_id,
            self.slots,
            self.max_batch,
            tuple(sorted(self.resident)),
            lagged[-1] if lagged else running,
            self.leaving,
        )


class EngineClient:
    """One node's way to an engine."""

    def __init__(
        self,
        world: World,
        weather: Weather,
        tasks: VirtualTasks,
        engine: FakeEngine,
        sender: str = "",
    ) -> None:
        self._world, self._weather, self._tasks, self._engine = world, weather, tasks, engine
        self._sender = sender

    def run(
        self, stamp: OrderStamp, adapter: AdapterRef, body: dict, fresh: bool
    ) -> Iterator[StreamEvent]:
        """Send a request and yield what comes back."""
        channel = Channel(self._world, self._weather, self._tasks)
        self._note(f"run {body['prompt']!r} on {adapter}, fencing number {stamp.fence}")
        self._world.later(
            self._weather.delay_ms(), lambda: self._engine.start(stamp, adapter, body, channel)
        )
        yield from channel.read()

    def resume(self, run_id: str, from_index: int) -> Iterator[StreamEvent]:
        """Go on with a run."""
        channel = Channel(self._world, self._weather, self._tasks)

        def arrive() -> None:
            run = self._engine.run_by_id.get(run_id)
            if run is None:
                channel.push(Broken("unknown run"))
            elif run.over:
                channel.push(Broken("cancelled"))
            else:
                self._engine.attach(run, channel, from_index)

        self._world.later(self._weather.delay_ms(), arrive)
        yield from channel.read()

    def cancel(self, stamp: OrderStamp) -> OrderResult:
        """Stop a run."""
        return self._order(lambda: self._engine.cancel(stamp.run_id))

    def load(self, adapter: AdapterRef, fence: int) -> OrderResult:
        """Load an adapter, which takes a while."""
        engine, boot_id = self._engine, self._engine.boot_id
        self._note(f"load {adapter}, fencing number {fence}")
        if not engine.allowed(fence):
            return OrderRefused("stale fencing number", stale_fence=True)
        self._tasks.sleep(self._weather.rng.uniform(100, 250))

        def effect() -> OrderResult:
            if adapter in engine.resident:
                return OrderDone()
            if engine.boot_id != boot_id or not engine.allowed(fence):
                return OrderRefused("restarted or fenced")
            if self._weather.rng.random() < self._weather.fail_loads:
                return OrderRefused("weights can't be read")
            if len(engine.resident) >= engine.slots:
                return OrderRefused("no free slot")
            engine.resident.add(adapter)
            return OrderDone()

        return self._order(effect)

    def unload(self, adapter: AdapterRef, fence: int) -> OrderResult:
        """Unload an adapter."""
        self._note(f"unload {adapter}, fencing number {fence}")
        return self._order(lambda: self._engine.unload(adapter, fence))

    def fence(self, number: int) -> OrderResult:
        """Raise the fence."""
        self._note(f"refuse orders below fencing number {number}")

        def effect() -> OrderResult:
            if self._engine.allowed(number):
                return OrderDone()
            return OrderRefused("stale fencing number", stale_fence=True)

        return self._order(effect)

    def state(self) -> EngineState | None:
        """Return the load report."""
        return call(self._world, self._weather, self._tasks, self._engine.state, None)

    def _note(self, line: str) -> None:
        self._weather.note(f"{self._sender} -> {self._engine.name}: {line}")

    def _order(self, effect: Callable[[], OrderResult]) -> OrderResult:
        return call(self._world, self._weather, self._tasks, effect, OrderUnclear("lost"))


class Record:
    """What really ran, by the engines' own account."""

    def __init__(self) -> None:
        self.runs_by_prompt: dict[str, int] = {}
        self.violations: list[str] = []

    def ran(self, run: EngineRun) -> None:
        """Count a run."""
        self.runs_by_prompt[run.prompt] = self.runs_by_prompt.get(run.prompt, 0) + 1
