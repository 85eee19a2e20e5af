"""Plays a short session without chance and writes down its messages."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.randomised.engines import FakeEngine
from tests.randomised.fakes import Weather
from tests.randomised.judge import Asked
from tests.randomised.scenario import Scenario


class CalmWeather(Weather):
    """Weather in which every message takes the same time."""

    def delay_ms(self) -> float:
        """Return how long a message takes."""
        return 2.0


class Session(Scenario):
    """Two nodes, one engine of two slots, and one customer."""

    def __init__(self) -> None:
        super().__init__(seed=7)
        self.lines: list[str] = []
        self.weather = CalmWeather(random.Random(7))
        self.network.weather = self.weather
        engine = FakeEngine(self.world, self.weather, "engine", True, self.record)
        engine.slots = 2
        self.engine_by_address = {"engine": engine}
        self.rng.choice = lambda options: options[0]

    def begin(self) -> None:
        """Start both nodes and wait until the engine has an owner."""
        for name in ("node-0", "node-1"):
            self.start_node(name)
        self.outside.spawn(self._configure)
        self.world.run(8_000)
        self.weather.note = self._note

    def say(self, text: str) -> None:
        """Write a heading into the session."""
        self.lines.append(f"# {text}")

    def ask(self, model: str, prompt: str, tokens: int = 3, repeatable: bool = True) -> Asked:
        """Send one request."""
        asked = Asked(model, prompt, tokens, repeatable)
        self.asked.append(asked)
        self.outside.spawn(self._ask, asked, model.partition("-")[0])
        return asked

    def let(self, wait_ms: int) -> None:
        """Let a time pass."""
        self.world.run(self.world.time_ms + wait_ms)

    def operate(self, name: str, intent: dict) -> None:
        """Let an operator state and confirm an intent."""

        def work() -> None:
            accepted = self._apply(name, intent)
            self._note(f"operator: {intent['kind']} is {'accepted' if accepted else 'refused'}")

        self.outside.spawn(work)

    def owner(self) -> str:
        """Return the node that owns the engine."""
        return next(
            name
            for name, process in self.processes.items()
            if process.node.context.core.owned_by_runner and not process.tasks.dead
        )

    def _note(self, line: str) -> None:
        at = round(self.world.time_ms - 8_000, -1) / 1000
        self.lines.append(f"{at:>7.2f} s  {line}")


def play(script: Callable[[Session], None]) -> str:
    """Return the messages of a session."""
    session = Session()
    session.begin()
    script(session)
    return "\n".join(session.lines) + "\n"
