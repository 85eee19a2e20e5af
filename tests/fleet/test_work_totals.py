"""Tests of the running total of what other nodes have in progress."""

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
TURNS = 1_500


def _work(rng: random.Random) -> dict[ServerLife, ServerWork]:
    lives = rng.sample(range(SERVERS), rng.randint(0, 5))
    return {ServerLife(f"i-{life}"): _at_one(rng) for life in lives}


def _at_one(rng: random.Random) -> ServerWork:
    used = Counter(f"m/a{rng.randrange(ADAPTERS)}" for _ in range(rng.randint(1, 4)))
    return ServerWork(used.total(), rng.randrange(5_000), rng.randrange(9_000), used)


def _told(work: ServerWork) -> tuple:
    adapters = {name: count for name, count in work.requests_by_adapter.items() if count}
    return (work.requests, work.pending_prefill_tokens, work.memory_tokens, adapters)


def _expected(view: FleetView, now_ms: int) -> dict[str, tuple]:
    """Return the sum over the newest reports of all who were heard lately."""
    total: dict[str, ServerWork] = {}
    for report in view.heartbeats(now_ms, MIN_WORK_EXPIRY_MS):
        for life, work in report.work_by_server.items():
            total.setdefault(life, ServerWork()).add(work)
    return {life: _told(work) for life, work in total.items()}


@attrs.define
class _Node:
    name: str
    boot: int = 1
    sequence: int = 0

    def report(self, rng: random.Random) -> Heartbeat:
        self.sequence += 1
        card = NodeRecord(self.name, f"b{self.boot}", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3")
        work = _work(rng)
        return Heartbeat(card, self.sequence, True, False, 1, True, work_by_server=work)

    def start_again(self) -> None:
        self.boot += 1
        self.sequence = 0


@pytest.mark.parametrize(("seed", "nodes"), [(1, 6), (2, 6), (3, 30), (4, 89), (5, 89)])
def test_the_running_total_is_the_sum_of_the_newest_reports(seed, nodes):
    """Nodes report, fall silent, come back, start again, are overtaken and are forgotten.

    A report that is taken off twice, or not at all, would stay in the sum for good: a server would
    seem busy, or idle, that is not.
    """
    rng = random.Random(seed)
    view = FleetView("own")
    known = [_Node(f"n{number}") for number in range(nodes)]
    now_ms = 1_000
    for _ in range(TURNS):
        now_ms += rng.choice((0, 1, 5, 20, 60, 700 if rng.random() < 0.1 else 3))
        node = rng.choice(known[: max(3, rng.randint(1, nodes))])
        draw = rng.random()
        if draw < 0.02:
            view.mark_refused(node.name)
        elif draw < 0.04:
            node.start_again()
        elif draw < 0.05:
            view.remove_record(node.name)
            view.forget_silent(now_ms, rng.choice((1_000, 3_000, 6_000)))
        elif draw < 0.08:
            late = node.report(rng)
            view.receive(node.report(rng), now_ms)
            assert not view.receive(late, now_ms)
        else:
            view.receive(node.report(rng), now_ms)
        total = view.work_by_server(now_ms)
        assert {life: _told(work) for life, work in total.items()} == _expected(view, now_ms)


def test_a_total_and_a_nodes_own_work_are_joined_without_changing_either():
    life, other, third = map(ServerLife, ("i-1", "i-2", "i-3"))
    others = {life: ServerWork(2, 10, 20, Counter(a=2)), other: ServerWork(1)}
    own = {life: ServerWork(1, 5, 5, Counter(a=1)), third: ServerWork(4)}
    both = sum_work(others, own)
    assert _told(both[life]) == (3, 15, 25, {"a": 3})
    assert (both[other].requests, both[third].requests) == (1, 4)
    assert (others[life].requests, own[life].requests) == (2, 1)


@pytest.mark.parametrize(
    "told", [["2", [], 3, {}], [2, 3, None, {}], [2, 3, 4, {"m/a": "x"}], [2, 3, 4, {"m/a": None}]]
)
def test_work_that_can_not_be_added_up_is_no_report(told):
    """A datagram from elsewhere names counts that are none.

    Taken into the running total it would end the task that takes all reports: the node would hear
    nobody from then on.
    """
    data = codec.encode_heartbeat(_Node("n1").report(random.Random(1)))
    fields = orjson.loads(zlib.decompress(data))
    assert codec.decode(zlib.compress(orjson.dumps(fields))) is not None
    fields[5] = {"i-1": told}
    assert codec.decode(zlib.compress(orjson.dumps(fields))) is None


def test_a_share_without_work_is_dropped_like_any_other():
    """A node tells a server with nothing in progress; who else had work there is dropped first."""
    total = WorkTotals()
    life = ServerLife("i-1")
    total.replace("a", {life: ServerWork()}, 0)
    total.replace("b", {life: ServerWork(1, 10)}, 0)
    total.drop("b")
    total.replace("a", {}, 5)
    assert total.by_server == {}
