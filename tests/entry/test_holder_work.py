"""Tests of how much work the holder of a duty has with one question."""

from __future__ import annotations

import socket
import sys
import time

import gevent
import orjson
import pytest

from measure.desk_load import CELL, HolderLoad, Size
from monsoonflow.core.clock import ManualClock
from monsoonflow.entry.plan_pause import MAX_PAUSE_MS
from monsoonflow.transport.models import MessageLimits
from monsoonflow.transport.server import Port
from script.ports import free_port
from tests.placement.conftest import MODEL

RUNNERS = 45
PLACES = 5
FOREVER_MS = 600_000
SETTLED_WITHIN_TURNS = 300


class Answer:
    """Keeps the answer to a question."""

    status = 0

    def caller_left(self) -> bool:
        """Tell whether who asked has given up."""
        return False

    def whole(self, status: int, headers: list, body: bytes = b"") -> None:
        """Take the answer."""
        self.status = status


class Question:
    """One question as it came."""

    def __init__(self, body: bytes) -> None:
        self.body = body


class BusyHolder:
    """A holder whose places are all in use, with so many waiting for one."""

    def __init__(self, nodes: int, waiting: int) -> None:
        self.clock = ManualClock(100_000)
        self.load = HolderLoad(Size(nodes, RUNNERS, PLACES), clock=self.clock)
        self._fill_places()
        self.load.duties.start()
        self._until(self._all_known)
        for number in range(waiting):
            gevent.spawn(self.ask, f"{MODEL}/waits{number}", FOREVER_MS)
        self._until(lambda: len(self.load.duty.scheduler.queued_requests) == waiting)

    def _fill_places(self) -> None:
        askers = self.load.askers
        for number, runner in enumerate(self.load.runners.values()):
            for place in range(PLACES):
                name = f"{MODEL}/held{number}-{place}"
                runner.held[name] = 1
                user = askers[(number * PLACES + place) % len(askers)]
                user.in_flight.begin(runner.life, self.clock.now_ms(), name, 100, 100)
        for asker in askers:
            asker.tell()

    def _all_known(self) -> bool:
        duty = self.load.duty
        desk = duty.scheduler if duty is not None else None
        return desk is not None and all(runner.is_known() for runner in desk.runners.values())

    def _until(self, reached) -> None:
        for _ in range(SETTLED_WITHIN_TURNS):
            if reached():
                break
            gevent.sleep(0.01)
        assert reached()
        gevent.sleep(0.3)

    def ask(self, adapter: str, wait_ms: int) -> int:
        """Ask for an adapter; return the answer's status."""
        question = self.load.question(adapter)
        question |= {"wait_ms": wait_ms, "on_time_ms": wait_ms, "priority": 1}
        answer = Answer()
        self.load.duties.answer_slot_request(Question(orjson.dumps(question)), answer)
        return answer.status

    def end(self) -> None:
        """End all tasks."""
        self.load.stop()
        self.load.duty.scheduler.close()
        gevent.sleep(0)


def steps(work) -> int:
    """Return how many of Python's instructions a piece of work takes."""
    count = 0

    def traced(frame, event, _):
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return traced

    before = sys.gettrace()
    sys.settrace(traced)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


@pytest.fixture
def make_holder():
    made: list[BusyHolder] = []

    def make(nodes: int, waiting: int) -> BusyHolder:
        made.append(BusyHolder(nodes, waiting))
        return made[-1]

    yield make
    for holder in made:
        holder.end()


def test_a_question_that_is_granted_costs_the_same_in_any_fleet(make_holder):
    """89 nodes ask one holder, and 200 wait for a place.

    For each question it added up the reports of all nodes and looked at all who waited: 490 ms a
    second for settling and 140 for adding up, at 280 questions a second. So it used all of its
    processor, and questions waited 0.7 to 0.9 s at it.
    """
    small, large = make_holder(7, 20), make_holder(89, 200)
    taken = [steps(lambda h=h: h.ask(f"{MODEL}/held0-0", 2_000)) for h in (small, large)]
    assert taken[1] <= 1.2 * taken[0], taken


def test_a_question_that_is_refused_costs_the_same_in_any_fleet(make_holder):
    """200 wait for a place, and another comes for whom there will be none in time.

    It is told so at once, and by how many are before it, not by a look at each of them.
    """
    small, large = make_holder(7, 100), make_holder(89, 400)
    statuses: list[int] = []
    taken = [
        steps(lambda h=h: statuses.append(h.ask(f"{MODEL}/hopeless", 1_000)))
        for h in (small, large)
    ]
    assert statuses == [429, 429]
    assert taken[1] <= 1.2 * taken[0], taken


def test_news_that_comes_in_a_rush_is_planned_for_together(make_holder, monkeypatch):
    """Questions, answers to orders and ends of uses wake the plan some hundred times a second.

    Each plan looked at all runners and all who waited: one of 4 ms for each news took all of the
    processor, though the news of a few milliseconds can be planned for at once.
    """
    holder = make_holder(7, 20)
    desk = holder.load.duty.scheduler
    plan = desk.plan
    plans: list[int] = []

    def slow_plan(now_ms, work):
        holder.clock.advance(4)
        plans.append(now_ms)
        return plan(now_ms, work)

    monkeypatch.setattr(desk, "plan", slow_plan)
    began_s = time.monotonic()
    for _ in range(400):
        holder.load.duties.wake_planner()
        gevent.sleep(0.001)
    pauses = (time.monotonic() - began_s) * 1000 / MAX_PAUSE_MS
    assert 4 <= len(plans) <= pauses + 1, (len(plans), pauses)


def test_who_waits_for_what_comes_ready_is_told(make_holder):
    """A question waits and its adapter is there by other means; it is told within 30 ms."""
    holder = make_holder(7, 20)
    desk = holder.load.duty.scheduler
    waiter = gevent.spawn(holder.ask, f"{MODEL}/comes", FOREVER_MS)
    gevent.sleep(0.05)
    runner = desk.runners[next(iter(holder.load.runners))]
    runner.slots[f"{MODEL}/comes"] = runner.slots.pop(f"{MODEL}/held0-0")
    holder.clock.advance(30)
    holder.load.duties.wake_planner()
    gevent.sleep(0.2)
    assert waiter.value == 200
    assert holder.load.duties.lease_of(CELL).scheduler is desk


def test_who_waits_for_what_an_order_has_loaded_is_told_at_once(make_holder, monkeypatch):
    """All who wait are looked at now and then only; the answer to an order places its own at once.

    Both who wait for the adapter get it, though no look at all who wait comes in between.
    """
    holder = make_holder(7, 0)
    desk = holder.load.duty.scheduler
    runner = next(iter(holder.load.runners.values()))
    del runner.held[f"{MODEL}/held0-0"], desk.runners[runner.life].slots[f"{MODEL}/held0-0"]
    monkeypatch.setattr(desk, "process_queue", lambda *_: None)
    both = [gevent.spawn(holder.ask, f"{MODEL}/comes", FOREVER_MS) for _ in range(2)]
    for _ in range(60):
        holder.clock.advance(10)
        holder.load.duties.wake_planner()
        gevent.sleep(0.01)
    assert [one.value for one in both] == [200, 200]


def test_a_question_whose_node_has_given_up_takes_no_place(make_holder, monkeypatch):
    """A holder is busy for a second, and reads a question that its node no longer waits for.

    A node asks again after 0.8 s and closes the connection of the first question. Granted all the
    same, the place stayed taken for 0.6 s for nobody, and the adapter's own callers went without.
    """
    holder = make_holder(7, 0)
    desk = holder.load.duty.scheduler
    asked: list[str] = []
    ask = desk.request_slot

    def noting(waiter, *rest):
        asked.append(waiter.adapter_name)
        ask(waiter, *rest)

    monkeypatch.setattr(desk, "request_slot", noting)
    address = f"127.0.0.1:{free_port()}"
    port = Port(address, holder.load.duties.answer_slot_request, MessageLimits, holder.clock)
    assert port.start()
    body = orjson.dumps(holder.load.question(f"{MODEL}/held0-0"))
    head = f"POST /place HTTP/1.1\r\nHost: n0\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        # The holder's loop stands still from the connect to the close.
        host, number = address.split(":")
        with socket.create_connection((host, int(number))) as asking:
            asking.sendall(head.encode() + body)
        gevent.sleep(0.2)
        assert asked == []
        # One whose node still waits is answered.
        with socket.create_connection((host, int(number))) as asking:
            asking.sendall(head.encode() + body)
            gevent.sleep(0.2)
            assert asking.recv(1_000).startswith(b"HTTP/1.1 200")
        assert len(asked) == 1
    finally:
        port.stop_listening()
