"""Fake engines, and a node's way to them."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator

import attrs

from monsoonflow.backend.models import (
    Began,
    Broken,
    Chunk,
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
from stand_ins.text import token

from .fakes import Channel, Weather, call
from .virtual import VirtualTasks, World

BASE_TEXT = "text of the base model"


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
