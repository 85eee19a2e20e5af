"""Runners that crash and come back, and requests whose prompts share parts."""

from __future__ import annotations

import itertools
import random
import time
from typing import Final

import attrs
import gevent

from monsoonflow.transport.client import Answer
from stand_ins.platform_runner import PlatformServer, RunnerFaults, earlier_parts
from tests.entry.conftest import MODEL, Fleet, Node, wait_for

CONTACT_S: Final = 3.0
CRASHES_BEFORE_BOUND: Final = 5
MAX_LATER_REQUESTS: Final = 3
"""Requests with a part that may reach servers later than ``CONTACT_S`` after the fifth crash."""

FIRST_PART: Final = "f1"
BAD_PART: Final = "bad1"


class Supervisor:
    """Restarts runners that have crashed, each as another server at the same address.

    :param restart_delay_s: how long a crashed runner is gone.
    """

    def __init__(self, fleet: Fleet, restart_delay_s: float = 0.5) -> None:
        self._fleet = fleet
        self._restart_delay_s = restart_delay_s
        self.crashed: list[str] = []
        self.ended: list[PlatformServer] = []
        self.faults = RunnerFaults()
        self.event_ms = 5
        self._task = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            for server in list(self._fleet.servers):
                if server.crashes and server.server_id not in self.crashed:
                    self.crashed.append(server.server_id)
                    self.ended.append(server)
                    gevent.spawn_later(self._restart_delay_s, self._restart, server)
            gevent.sleep(0.01)

    def _restart(self, server: PlatformServer) -> None:
        self._fleet.store.remove("servers", server.server_id)
        self._fleet.servers.remove(server)
        runner = type(server)(f"{server.server_id}x", server.address, server.service, MODEL)
        runner.faults = self.faults
        runner.event_ms = self.event_ms
        runner.start()
        self._fleet.servers.append(runner)
        self._fleet.store.put("servers", runner.server_id, runner.entry())

    def add_runners(self, count: int) -> None:
        """Add runners that share this supervisor's faults."""
        for number in range(count):
            runner = self._fleet.runner(f"i-{number}")
            runner.faults = self.faults
            runner.event_ms = self.event_ms

    def wait_until_restarted(self, count: int) -> None:
        """Wait until a number of runners serve."""
        wait_for(lambda: sum(not server.crashes for server in self._fleet.servers) == count)

    def all_servers(self) -> list[PlatformServer]:
        """Return all servers, also those that have ended."""
        return [*self.ended, *(s for s in self._fleet.servers if s not in self.ended)]

    def crash_times_s(self) -> list[float]:
        """Return when servers crashed, in order."""
        return sorted(server.crashed_s for server in self.ended)

    def arrivals_after(self, part: str, after_s: float) -> int:
        """Return how many requests with a part have reached servers later than a moment."""
        return sum(
            at_s > after_s and part.encode() in earlier_parts(request)
            for server in self.all_servers()
            for at_s, request in server.arrived
        )

    def later_requests(self, part: str) -> int:
        """Return the requests with a part that servers got too late after the fifth crash."""
        crash_times_s = self.crash_times_s()
        if len(crash_times_s) < CRASHES_BEFORE_BOUND:
            return 0
        return self.arrivals_after(part, crash_times_s[CRASHES_BEFORE_BOUND - 1] + CONTACT_S)

    def stop(self) -> None:
        """Stop restarting runners."""
        self._task.kill()


@attrs.define
class Outcome:
    """A request of a caller and what came of it.

    :param sent_s: when it was sent, on the monotonic clock.
    """

    sent_s: float
    parts: tuple[str, ...]
    answer: Answer | None = None

    @property
    def is_served(self) -> bool:
        """Return whether it was answered completely."""
        return self.answer is not None and self.answer.head.status == 200


@attrs.define
class Callers:
    """Callers whose requests differ in id, body and last part, at any node."""

    fleet: Fleet
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    outcomes: list[Outcome] = attrs.Factory(list)
    _numbers: itertools.count = attrs.Factory(itertools.count)

    def send(self, *parts: str, node: Node | None = None) -> gevent.Greenlet:
        """Send a request whose prompt begins with some parts."""
        outcome = Outcome(time.monotonic(), parts)
        self.outcomes.append(outcome)
        chosen = node or self.rng.choice(self.fleet.nodes)
        return gevent.spawn(self._ask, outcome, chosen, next(self._numbers))

    def _ask(self, outcome: Outcome, node: Node, number: int) -> None:
        prefix = ",".join(f"{part}:40" for part in (*outcome.parts, f"own{number}"))
        try:
            outcome.answer = self.fleet.ask(
                node,
                "/read/x",
                f"q{number}",
                b"prompt %d" % number,
                X_Model=f"{MODEL}/a{self.rng.randint(1, 2)}",
                X_Token_Count="100,20",
                X_Prompt_Prefix=prefix,
            )
        except AssertionError:
            # The caller's connection broke off.
            outcome.answer = None

    def send_for(
        self,
        for_s: float,
        bad_parts: tuple[tuple[str, ...], ...],
        sound_parts: tuple[str, ...] = (FIRST_PART,),
        pause_s: float = 0.2,
        sound_per_bad: int = 2,
    ) -> None:
        """Send requests with bad parts in turn, and sound ones between them."""
        until_s = time.monotonic() + for_s
        bad = itertools.cycle(bad_parts)
        while time.monotonic() < until_s:
            if bad_parts:
                self.send(*next(bad))
            for _ in range(sound_per_bad):
                gevent.sleep(pause_s / sound_per_bad)
                self.send(*sound_parts, f"m{self.rng.randint(1, 40)}")

    def served_share(self, part: str, without: str, after_s: float, before_s: float) -> float:
        """Return the served share of the requests with a part and without another one."""
        chosen = [
            outcome
            for outcome in self.outcomes
            if part in outcome.parts
            and without not in outcome.parts
            and after_s <= outcome.sent_s < before_s
        ]
        return sum(outcome.is_served for outcome in chosen) / len(chosen)
