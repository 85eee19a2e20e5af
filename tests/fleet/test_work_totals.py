"""Tests of the running totals of the peers' work in progress."""

from __future__ import annotations

import random
import zlib
from collections import Counter

import attrs
import orjson
import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.fleet import codec
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.fleet.view import MIN_WORK_EXPIRY_MS, FleetView
from monsoonflow.fleet.work_totals import WorkTotals
from monsoonflow.routing.in_flight import ServerWork, sum_work

SERVERS = 12
ADAPTERS = 6
STEPS = 1_500


def _work(rng: random.Random) -> dict[ServerLife, ServerWork]:
    lives = rng.sample(range(SERVERS), rng.randint(0, 5))
    return {ServerLife(f"i-{life}"): _work_at_one_server(rng) for life in lives}


def _work_at_one_server(rng: random.Random) -> ServerWork:
    used = Counter(f"m/a{rng.randrange(ADAPTERS)}" for _ in range(rng.randint(1, 4)))
    return ServerWork(used.total(), rng.randrange(5_000), rng.randrange(9_000), used)


def _comparable(work: ServerWork) -> tuple:
    adapters = {name: count for name, count in work.requests_by_adapter.items() if count}
    return (work.requests, work.pending_prefill_tokens, work.memory_tokens, adapters)


def _expected(view: FleetView, now_ms: int) -> dict[str, tuple]:
    """Return the sum over the newest heartbeats of all peers that were heard from recently."""
    totals: dict[str, ServerWork] = {}
    for heartbeat in view.heartbeats(now_ms, MIN_WORK_EXPIRY_MS):
        for life, work in heartbeat.work_by_server.items():
            totals.setdefault(life, ServerWork()).add(work)
    return {life: _comparable(work) for life, work in totals.items()}


@attrs.define
class _Node:
    name: str
    boot: int = 1
    sequence: int = 0

    def next_heartbeat(self, rng: random.Random) -> Heartbeat:
        self.sequence += 1
        record = NodeRecord(self.name, f"b{self.boot}", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3")
        work = _work(rng)
        return Heartbeat(record, self.sequence, True, False, 1, True, work_by_server=work)

    def restart(self) -> None:
        self.boot += 1
        self.sequence = 0


@pytest.mark.parametrize(("seed", "nodes"), [(1, 6), (2, 6), (3, 30), (4, 89), (5, 89)])
def test_running_totals_equal_the_sum_of_the_newest_heartbeats(seed, nodes):
    """Nodes send heartbeats, some late, fall silent, return, restart and are forgotten.

    Work that is subtracted twice, or never, would distort the total permanently: a server would
    seem idle, or busy, that is not.
    """
    rng = random.Random(seed)
    view = FleetView("own")
    known = [_Node(f"n{number}") for number in range(nodes)]
    now_ms = 1_000
    for _ in range(STEPS):
        now_ms += rng.choice((0, 1, 5, 20, 60, 700 if rng.random() < 0.1 else 3))
        node = rng.choice(known[: max(3, rng.randint(1, nodes))])
        draw = rng.random()
        if draw < 0.02:
            view.mark_refused(node.name)
        elif draw < 0.04:
            node.restart()
        elif draw < 0.05:
            view.remove_record(node.name)
            view.forget_silent(now_ms, rng.choice((1_000, 3_000, 6_000)))
        elif draw < 0.08:
            late = node.next_heartbeat(rng)
            view.receive(node.next_heartbeat(rng), now_ms)
            assert not view.receive(late, now_ms)
        else:
            view.receive(node.next_heartbeat(rng), now_ms)
        totals = view.work_by_server(now_ms)
        assert {life: _comparable(work) for life, work in totals.items()} == _expected(view, now_ms)


def test_peer_work_and_own_work_are_summed_without_changing_either():
    life, other, third = map(ServerLife, ("i-1", "i-2", "i-3"))
    peer_work = {life: ServerWork(2, 10, 20, Counter(a=2)), other: ServerWork(1)}
    own_work = {life: ServerWork(1, 5, 5, Counter(a=1)), third: ServerWork(4)}
    total = sum_work(peer_work, own_work)
    assert _comparable(total[life]) == (3, 15, 25, {"a": 3})
    assert (total[other].requests, total[third].requests) == (1, 4)
    assert (peer_work[life].requests, own_work[life].requests) == (2, 1)


@pytest.mark.parametrize(
    "work", [["2", [], 3, {}], [2, 3, None, {}], [2, 3, 4, {"m/a": "x"}], [2, 3, 4, {"m/a": None}]]
)
def test_heartbeat_with_counts_that_are_not_numbers_is_rejected(work):
    """A datagram from an unknown sender contains counts that are not numbers.

    Added to the running totals it would end the task that receives all messages, and the node would
    receive no heartbeat any more.
    """
    data = codec.encode_heartbeat(_Node("n1").next_heartbeat(random.Random(1)))
    fields = orjson.loads(zlib.decompress(data))
    assert codec.decode(zlib.compress(orjson.dumps(fields))) is not None
    fields[5] = {"i-1": work}
    assert codec.decode(zlib.compress(orjson.dumps(fields))) is None


def test_announced_server_without_work_is_dropped_without_an_error():
    """The node announces no work at the server; the peer with work there is dropped first."""
    totals = WorkTotals()
    life = ServerLife("i-1")
    totals.replace("a", {life: ServerWork()}, 0)
    totals.replace("b", {life: ServerWork(1, 10)}, 0)
    totals.drop("b")
    totals.replace("a", {}, 5)
    assert totals.by_server == {}
