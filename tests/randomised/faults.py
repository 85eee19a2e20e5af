"""The faults of a randomised run; several run side by side."""

from __future__ import annotations

import random
from collections.abc import Callable

from .engines import FakeEngine, Record
from .fakes import Weather
from .network import Network, Process
from .virtual import VirtualTasks, World


class Faults:
    """Brings faults about, now and then."""

    rng: random.Random
    world: World
    weather: Weather
    network: Network
    record: Record
    outside: VirtualTasks
    processes: dict[str, Process]
    engine_by_address: dict[str, FakeEngine]
    faults_on: bool
    intensity: float

    def start_node(self, name: str) -> Process:
        """Start a node process."""
        raise NotImplementedError

    def _faults(self) -> list[Callable[[], None]]:
        return [
            self._kill,
            self._freeze,
            self._stop,
            self._table_down,
            self._cut_from_table,
            self._cut_pair,
            self._lose_answers,
            self._restart_engine,
            self._silence,
            self._cut_streams,
            self._fail_loads,
            self._leave_engine,
            self._garble,
            self._base_fallback,
        ]

    def _repeat(self, fault: Callable[[], None]) -> None:
        """Bring a fault about now and then; several run side by side."""
        while True:
            self.outside.sleep(self.rng.uniform(2_000, 28_000) / self.intensity)
            if not self.faults_on:
                return
            self.weather.count(f"fault {fault.__name__.strip('_')}")
            fault()

    def _some_process(self) -> Process:
        return self.processes[self.rng.choice(sorted(self.processes))]

    def _kill(self) -> None:
        process = self._some_process()
        process.tasks.kill()
        self.outside.sleep(self.rng.uniform(100, 3_000))
        self._replace(process)

    def _replace(self, process: Process) -> None:
        if self.processes[process.name] is process:
            self.start_node(process.name)

    def _freeze(self) -> None:
        process = self._some_process()
        process.tasks.freeze()
        self.outside.sleep(self.rng.uniform(500, 9_000))
        process.tasks.thaw()

    def _stop(self) -> None:
        process = self._some_process()
        if process.stopped or process.tasks.dead:
            return
        process.stopped = True
        process.tasks.deliver(lambda: process.tasks.spawn(self._stop_now, process))

    def _stop_now(self, process: Process) -> None:
        process.node.stopper.run()
        left = [
            served.request_id
            for served in process.node.context.served_by_id.values()
            if not served.life.ended
        ]
        if left:
            self.record.violations.append(f"graceful stop of {process.name} cut {left}")
        self.weather.count("graceful stops ended")
        process.tasks.kill()
        self.world.later(500, lambda: self._replace(process))

    def _table_down(self) -> None:
        self.weather.table_down = True
        self.outside.sleep(self.rng.choice((500, 2_000, 9_000)))
        self.weather.table_down = False

    def _cut_from_table(self) -> None:
        name = self._some_process().name
        self.weather.cut_from_table.add(name)
        self.outside.sleep(self.rng.uniform(1_000, 8_000))
        self.weather.cut_from_table.discard(name)

    def _cut_pair(self) -> None:
        pair = frozenset(self.rng.sample(sorted(self.processes), 2))
        self.weather.cut_pairs.add(pair)
        self.outside.sleep(self.rng.uniform(1_000, 8_000))
        self.weather.cut_pairs.discard(pair)

    def _lose_answers(self) -> None:
        self.weather.lose = 0.15
        self.outside.sleep(3_000)
        self.weather.lose = 0.0

    def _some_engine(self) -> FakeEngine:
        return self.engine_by_address[self.rng.choice(sorted(self.engine_by_address))]

    def _restart_engine(self) -> None:
        self._some_engine().boot()

    def _silence(self) -> None:
        """Open connections fall silent for good; new ones work."""
        for channel in self.network.channels + self._some_engine().channels:
            if self.rng.random() < 0.5:
                channel.silent = True

    def _cut_streams(self) -> None:
        for channel in self.network.channels + self._some_engine().channels:
            if self.rng.random() < 0.5:
                channel.cut()

    def _fail_loads(self) -> None:
        self.weather.fail_loads = 0.3
        self.outside.sleep(4_000)
        self.weather.fail_loads = 0.0

    def _leave_engine(self) -> None:
        engine = self._some_engine()
        engine.leaving = True
        self.outside.sleep(self.rng.uniform(3_000, 8_000))
        engine.leaving = False
        engine.boot()

    def _garble(self) -> None:
        """Chunks get lost and doubled while connections stay up."""
        self.weather.garble = 0.02
        self.outside.sleep(4_000)
        self.weather.garble = 0.0

    def _base_fallback(self) -> None:
        """Engines restart empty and answer with their base model under the adapters' names."""
        self.weather.base_fallback = True
        self._some_engine().boot()
        self.outside.sleep(3_000)
        self.weather.base_fallback = False

    def _heal(self) -> None:
        self.faults_on = False
        self.weather.table_down = False
        self.weather.cut_from_table.clear()
        self.weather.cut_pairs.clear()
        self.weather.lose = self.weather.fail_loads = self.weather.garble = 0.0
        self.weather.base_fallback = False
        for engine in self.engine_by_address.values():
            if engine.leaving:
                engine.leaving = False
                engine.boot()
        for process in self.processes.values():
            if process.tasks.frozen:
                process.tasks.thaw()
