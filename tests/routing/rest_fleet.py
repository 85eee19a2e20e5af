"""Nodes before servers that shed load and ask for rest, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

import attrs

from monsoonflow.gateway.server_limits import RETURN_SPREAD_MS
from monsoonflow.routing.quota import MIN_RETRY_AFTER_MS
from monsoonflow.routing.server_rests import ServerRests

GRACE_MS: Final = 500
HOP_MS: Final = 2


@attrs.define
class Load:
    """What callers ask for.

    :param per_s: requests a second at all nodes, by time in seconds.
    """

    per_s: Callable[[float], float]
    run_s: float = 30.0
    deadline_ms: int = 4_000


@attrs.define
class Server:
    """A server that turns requests away while it is full, and asks for rest.

    :param sheds_all: returns whether it turns everything away, by time in seconds.
    """

    name: str
    slots: int
    max_waiting: int
    work_ms: int
    rest_ms: int
    sheds_all: Callable[[float], bool] = lambda _at_s: False
    work: int = 0
    sheds: int = 0


@attrs.define
class NoRests:
    """Knows nothing of rests: what a server asks for is kept on the request."""

    def record_rest(self, life, rest_ms, requests, now_ms):
        """Ignore a rest."""

    def may_send(self, life, requests, now_ms):
        """Return ``True``."""
        return True

    def record_sent(self, life, now_ms):
        """Ignore a request."""

    def record_answer(self, life, sent_ms):
        """Ignore an answer."""

    def ends_in_ms(self, life, now_ms):
        """Return 0."""
        return 0


class FullReturn(ServerRests):
    """Returns slowly, and then uses a server as much as before."""

    def may_send(self, life, requests, now_ms):
        """Return whether the steps of the return allow a request."""
        return super().may_send(life, 0, now_ms)


class SuddenReturn(ServerRests):
    """Uses a server as before as soon as its rest ends."""

    def record_rest(self, life, rest_ms, requests, now_ms):
        """Record the end of a rest."""
        known = self._rest_by_life.get(life)
        super().record_rest(life, rest_ms, requests, now_ms)
        until_ms = now_ms + rest_ms
        self._rest_by_life[life].until_ms = max(until_ms, known.until_ms if known else 0)

    def may_send(self, life, requests, now_ms):
        """Return whether the rest is over."""
        return self.ends_in_ms(life, now_ms) == 0


@attrs.define
class Result:
    """What came of a run.

    :param most_in_rest: most requests of a node that reached a server while it rested.
    """

    asked: int = 0
    served: int = 0
    refused: int = 0
    sheds: int = 0
    most_in_rest: int = 0
    busy_ms: float = 0.0


@attrs.define
class RestFleet:
    """Nodes, servers and callers.

    :param new_rests: creates what a node knows of rests.
    :param hold_ms: how long a request waits at a node for the end of a rest.
    """

    nodes: int
    servers: list[Server]
    load: Load
    seed: int
    new_rests: Callable[[random.Random], ServerRests | NoRests] = ServerRests
    hold_ms: int = 0
    result: Result = attrs.Factory(Result)
    _rng: random.Random = attrs.field(init=False)
    _rests: list[ServerRests | NoRests] = attrs.field(init=False)
    _work: list[dict[str, int]] = attrs.field(init=False)
    _asked_rest: list[tuple[int, str, int, int]] = attrs.field(init=False, factory=list)
    _arrivals: dict[tuple[int, str], list[int]] = attrs.field(init=False, factory=dict)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(init=False, factory=list)
    _order: itertools.count = attrs.field(init=False, factory=itertools.count)
    _now_ms: float = attrs.field(init=False, default=0.0)

    def run(self) -> Result:
        """Return what came of the load."""
        self._rng = random.Random(self.seed)
        self._rests = [self.new_rests(random.Random(self._rng.random())) for _ in range(self.nodes)]
        self._work = [dict.fromkeys((s.name for s in self.servers), 0) for _ in range(self.nodes)]
        self._after(0, self._next_caller)
        while self._events:
            self._now_ms, _, act = heapq.heappop(self._events)
            act()
        self.result.sheds = sum(server.sheds for server in self.servers)
        for node, name, at_ms, rest_ms in self._asked_rest:
            arrivals = self._arrivals.get((node, name), ())
            count = sum(at_ms + GRACE_MS < a < at_ms + rest_ms for a in arrivals)
            self.result.most_in_rest = max(self.result.most_in_rest, count)
        return self.result

    def _after(self, delay_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now_ms + delay_ms, next(self._order), act))

    def _next_caller(self) -> None:
        at_s = self._now_ms / 1000
        if at_s >= self.load.run_s:
            return
        self.result.asked += 1
        self._ask(self._now_ms + self.load.deadline_ms, returns=1)
        self._after(1000 * self._rng.expovariate(self.load.per_s(at_s)), self._next_caller)

    def _ask(self, deadline_ms: float, returns: int) -> None:
        self._choose(self._rng.randrange(self.nodes), deadline_ms, returns, 2, frozenset(), 0.0)

    def _choose(
        self,
        node: int,
        deadline_ms: float,
        returns: int,
        tries: int,
        tried: frozenset[str],
        held: float,
    ) -> None:
        now_ms, rests = int(self._now_ms), self._rests[node]
        usable = [s for s in self.servers if s.name not in tried]
        work = self._work[node]
        open_ = [s for s in usable if rests.may_send(s.name, work[s.name], now_ms)]
        if open_ and tries:
            server = min(open_, key=lambda s: (work[s.name], self._rng.random()))
            self._send(node, server, deadline_ms, returns, tries, tried)
            return
        waits = [rests.ends_in_ms(s.name, now_ms) for s in self.servers]
        wait_ms = max(1, min(waits))
        if tries and held + wait_ms <= self.hold_ms:
            self._after(
                wait_ms,
                lambda: self._choose(node, deadline_ms, returns, tries, tried, held + wait_ms),
            )
            return
        self._refuse(deadline_ms, returns, min(waits))

    def _refuse(self, deadline_ms: float, returns: int, rest_ms: int) -> None:
        left_ms = deadline_ms - self._now_ms
        told_ms = max(MIN_RETRY_AFTER_MS, rest_ms + self._rng.randrange(RETURN_SPREAD_MS))
        pause_ms = min(told_ms, left_ms / 3)
        if not returns or left_ms < 2 * MIN_RETRY_AFTER_MS:
            self.result.refused += 1
            return
        self._after(pause_ms, lambda: self._ask(deadline_ms, returns - 1))

    def _send(self, node, server, deadline_ms, returns, tries, tried) -> None:
        sent_ms, rests = int(self._now_ms), self._rests[node]
        rests.record_sent(server.name, sent_ms)
        self._work[node][server.name] += 1

        def arrive() -> None:
            self._arrivals.setdefault((node, server.name), []).append(int(self._now_ms))
            is_full = server.work >= server.slots + server.max_waiting
            if is_full or server.sheds_all(self._now_ms / 1000):
                server.sheds += 1
                self._asked_rest.append((node, server.name, int(self._now_ms), server.rest_ms))
                self._after(HOP_MS, shed)
                return
            ahead = max(0, server.work - server.slots + 1)
            server.work += 1
            took_ms = server.work_ms * (1 + ahead / server.slots)
            self._after(took_ms, end)

        def shed() -> None:
            requests = self._work[node][server.name]
            self._work[node][server.name] -= 1
            rests.record_rest(server.name, server.rest_ms, requests, int(self._now_ms))
            self._choose(node, deadline_ms, returns, tries - 1, tried | {server.name}, 0.0)

        def end() -> None:
            server.work -= 1
            self._work[node][server.name] -= 1
            rests.record_answer(server.name, sent_ms)
            self.result.served += self._now_ms <= deadline_ms
            self.result.busy_ms += server.work_ms

        self._after(HOP_MS, arrive)
