"""How soon fleets of several sizes refuse a bad part, in virtual time, with late announcements."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import TypeAlias

import attrs
import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.quarantine.models import RequestTraits
from monsoonflow.quarantine.parts import PartQuarantine

CONTACT_MS = 3_000
COUNTED_CRASHES = 5
MAX_LATER = 3
BROADCAST_MS = 20
QUEUE_MS = (50, 900)
"""Least and longest time that a request waits at its runner."""

ANSWER_MS = (100, 900)
END_MS = 20_000
LIFTED_WITHIN_MS = 10_000
"""How long after its last crash a sound part may be refused."""

Sent: TypeAlias = tuple[PartQuarantine, RequestTraits, dict[str, tuple[ServerLife, ...]]]
"""A node, a request that it has sent, and what it knew of the request's parts then."""

WARM_UP_MS = 5_000


@attrs.define
class Simulation:
    """Nodes that hear each other's regular announcements late and urgent ones at once."""

    size: int
    heartbeat_ms: int
    bad_per_s: float
    sound_per_s: float
    rng: random.Random
    other_crashes_per_s: float = 0.0
    crashes_until_ms: int = END_MS
    end_ms: int = END_MS
    queue_ms: tuple[int, int] = QUEUE_MS
    first_parts: tuple[str, ...] = ("first",)
    refused_until_ms: int = 0
    now_ms: int = 0
    crashes_ms: list[int] = attrs.Factory(list)
    arrivals_ms: list[int] = attrs.Factory(list)
    sound_sent: int = 0
    sound_refused: int = 0
    nodes: list[PartQuarantine] = attrs.Factory(list)
    _events: list[tuple[int, int, Callable[[], None]]] = attrs.Factory(list)
    _numbers: itertools.count = attrs.Factory(itertools.count)

    def run(self) -> None:
        """Send requests until the end."""
        self.nodes = [PartQuarantine(f"n{number}") for number in range(self.size)]
        for node in self.nodes:
            self._at(self.rng.uniform(0, self.heartbeat_ms), lambda node=node: self._beat(node))
        if self.bad_per_s:
            self._at(WARM_UP_MS, self._send_bad)
        if self.other_crashes_per_s:
            self._at(WARM_UP_MS, self._crash_of_other_cause)
        self._at(1, self._send_sound)
        while self._events and self._events[0][0] < self.end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def later_requests(self) -> int:
        """Return the bad requests that reached runners too late after the fifth crash."""
        if len(self.crashes_ms) < COUNTED_CRASHES:
            return 0
        bound_ms = sorted(self.crashes_ms)[COUNTED_CRASHES - 1] + CONTACT_MS
        return sum(at_ms > bound_ms for at_ms in self.arrivals_ms)

    def _at(self, after_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_ms + int(after_ms), next(self._numbers), action))

    def _beat(self, node: PartQuarantine) -> None:
        self._announce(node)
        self._at(self.heartbeat_ms, lambda: self._beat(node))

    def _announce(self, node: PartQuarantine) -> None:
        crashes, sound = node.own_crashes(self.now_ms), node.own_sound_parts(self.now_ms)
        keys = [request.fingerprint for request in node.quarantined()]
        if not (crashes or sound or keys):
            return
        for peer in self.nodes:
            if peer is not node:
                peer.apply_announced(crashes, sound, self.now_ms)
                for key in keys:
                    peer.quarantine(key, (), "x", self.now_ms)

    def _urgently(self, node: PartQuarantine, findings) -> None:
        if findings.quarantined or findings.is_urgent:
            self._at(BROADCAST_MS, lambda: self._announce(node))

    def _send_bad(self) -> None:
        self._at(self.rng.expovariate(self.bad_per_s / 1_000), self._send_bad)
        traits = RequestTraits(f"b{next(self._numbers)}", ("first", "bad"))
        self._try_bad(self.rng.choice(self.nodes), traits, 2)

    def _try_bad(self, node: PartQuarantine, traits: RequestTraits, attempts: int) -> None:
        if not attempts or node.is_quarantined(traits.parts):
            return
        known = node.known_lives(traits.parts)
        self.arrivals_ms.append(self.now_ms)
        bystanders = self._send_bystanders()

        def crash() -> None:
            if node.is_quarantined(traits.parts):
                # Recalled from the runner's queue.
                return
            self._crash([(node, traits, known), *bystanders])
            self._try_bad(node, traits, attempts - 1)
            self._answer_bystanders(bystanders)

        self._at(self.rng.uniform(*self.queue_ms), crash)

    def _crash(self, lost: list[Sent]) -> None:
        life = ServerLife(f"i-{len(self.crashes_ms)}")
        self.crashes_ms.append(self.now_ms)
        for node, traits, known in lost:
            node.record_broken_connection(traits, life, known, self.now_ms)
            self._urgently(node, node.record_server_crash(life, self.now_ms))

    def _begin_trial(self, node: PartQuarantine, parts: tuple[str, ...]) -> bool:
        for key in node.due_for_trial(parts, self.now_ms):
            trials = node.trials(key) + 1
            for other in self.nodes:
                other.record_trial(key, trials, other is node, self.now_ms)
        return node.begin_trial(parts)

    def _crash_of_other_cause(self) -> None:
        if self.now_ms >= self.crashes_until_ms:
            return
        self._at(self.rng.expovariate(self.other_crashes_per_s / 1_000), self._crash_of_other_cause)
        lost = self._send_bystanders()

        def crash() -> None:
            self._crash(lost)
            self._answer_bystanders(lost)

        self._at(self.rng.uniform(*self.queue_ms), crash)

    def _send_bystanders(self) -> list[Sent]:
        return [
            (node, traits, node.known_lives(traits.parts)) for node, traits in self._some_sound(3)
        ]

    def _some_sound(self, count: int) -> list[tuple[PartQuarantine, RequestTraits]]:
        return [
            (
                self.rng.choice(self.nodes),
                RequestTraits(f"s{next(self._numbers)}", self._sound_parts()),
            )
            for _ in range(count)
        ]

    def _sound_parts(self) -> tuple[str, str]:
        first = self.first_parts[0]
        # Another draw would change what the seeds of a single first part bring.
        if len(self.first_parts) > 1:
            first = self.rng.choice(self.first_parts)
        return first, f"m{self.rng.randrange(40)}"

    def _send_sound(self) -> None:
        self._at(self.rng.expovariate(self.sound_per_s / 1_000), self._send_sound)
        ((node, traits),) = self._some_sound(1)
        self.sound_sent += 1
        if node.is_quarantined(traits.parts) and not self._begin_trial(node, traits.parts):
            self.sound_refused += 1
            self.refused_until_ms = self.now_ms
        else:
            self._answer(node, traits)

    def _answer_bystanders(self, lost: list[Sent]) -> None:
        """Let other runners answer the requests that a crash has broken off."""
        for node, traits, _ in lost:
            if not node.is_quarantined(traits.parts):
                self._answer(node, traits)

    def _answer(self, node: PartQuarantine, traits: RequestTraits) -> None:
        began_ms = self.now_ms + int(self.rng.uniform(*self.queue_ms))

        def answer() -> None:
            self._urgently(node, node.record_answered(traits.parts, began_ms, self.now_ms))

        self._at(began_ms - self.now_ms + self.rng.uniform(*ANSWER_MS), answer)


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize(
    ("size", "heartbeat_ms", "bad_per_s", "sound_per_s"),
    [
        (7, 200, 1.0, 17.0),
        (7, 200, 4.0, 17.0),
        (7, 200, 1.0, 1.0),
        (90, 1_600, 1.0, 60.0),
        (90, 1_600, 6.0, 60.0),
        (90, 1_600, 2.0, 5.0),
    ],
)
def test_a_bad_part_is_refused_in_time_and_sound_requests_go_on(
    size, heartbeat_ms, bad_per_s, sound_per_s, seed
):
    """In a fleet of ninety nodes each sees one crash or none, and hears of others late."""
    simulation = Simulation(size, heartbeat_ms, bad_per_s, sound_per_s, random.Random(seed))
    simulation.run()
    assert simulation.crashes_ms
    assert simulation.later_requests() <= MAX_LATER
    assert simulation.sound_refused <= simulation.sound_sent / 2


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize(("size", "heartbeat_ms"), [(7, 200), (90, 1_600)])
def test_crashes_of_other_causes_quarantine_nothing(size, heartbeat_ms, seed):
    """One runner a second crashes for fifteen seconds; popular parts are at each crash."""
    simulation = Simulation(size, heartbeat_ms, 0.0, 17.0, random.Random(seed), 1.0)
    simulation.run()
    assert len(simulation.crashes_ms) > 5
    assert not any(node.quarantined() for node in simulation.nodes)


@attrs.define
class CrashingRunners(Simulation):
    """A few runners that crash for reasons of their own, with all that waits for them."""

    _waiting_by_runner: list[list[Sent]] = attrs.Factory(lambda: [[] for _ in range(4)])

    def _answer(self, node: PartQuarantine, traits: RequestTraits, retries: int = 2) -> None:
        sent = node, traits, node.known_lives(traits.parts)
        waiting = self.rng.choice(self._waiting_by_runner)
        waiting.append(sent)
        began_ms = self.now_ms + int(self.rng.uniform(*self.queue_ms))

        def begin() -> None:
            if sent in waiting:
                waiting.remove(sent)
                self._at(self.rng.uniform(*ANSWER_MS), end)
            elif retries and not node.is_quarantined(traits.parts):
                self._answer(node, traits, retries - 1)

        def end() -> None:
            self._urgently(node, node.record_answered(traits.parts, began_ms, self.now_ms))

        self._at(began_ms - self.now_ms, begin)

    def _crash_of_other_cause(self) -> None:
        if self.now_ms < self.crashes_until_ms:
            wait_ms = self.rng.expovariate(self.other_crashes_per_s / 1_000)
            self._at(wait_ms, self._crash_of_other_cause)
            waiting = self.rng.choice(self._waiting_by_runner)
            self._crash(list(waiting))
            waiting.clear()
            # The next request finds the port closed.
            life = ServerLife(f"i-{len(self.crashes_ms) - 1}")
            self.rng.choice(self.nodes).record_server_crash(life, self.now_ms)


@pytest.mark.parametrize("seed", range(1, 21))
@pytest.mark.parametrize(("size", "heartbeat_ms"), [(7, 200), (90, 1_600)])
def test_a_sound_part_is_allowed_again_soon_after_crashes_of_other_causes(size, heartbeat_ms, seed):
    """Three of them in a row during slow answers had it refused for a minute."""
    crashes_until_ms = WARM_UP_MS + 18_000
    simulation = CrashingRunners(
        size,
        heartbeat_ms,
        bad_per_s=0.0,
        sound_per_s=6.0,
        rng=random.Random(seed),
        other_crashes_per_s=1.44,
        crashes_until_ms=crashes_until_ms,
        end_ms=crashes_until_ms + 70_000,
        queue_ms=(200, 2_000),
        first_parts=("f1", "f2", "f3", "f4"),
    )
    simulation.run()
    assert simulation.refused_until_ms <= max(simulation.crashes_ms) + LIFTED_WITHIN_MS


@pytest.mark.parametrize("seed", range(1, 11))
@pytest.mark.parametrize(("size", "heartbeat_ms"), [(7, 200), (90, 1_600)])
def test_a_bad_part_is_refused_in_time_beside_crashes_of_other_causes(size, heartbeat_ms, seed):
    """Early trials of doubtful parts must not let a bad one crash server after server."""
    simulation = Simulation(
        size,
        heartbeat_ms,
        bad_per_s=2.0,
        sound_per_s=17.0,
        rng=random.Random(seed),
        other_crashes_per_s=1.0,
        crashes_until_ms=WARM_UP_MS + 18_000,
        end_ms=WARM_UP_MS + 100_000,
    )
    simulation.run()
    assert simulation.later_requests() <= MAX_LATER
    assert simulation.sound_refused <= simulation.sound_sent / 2
