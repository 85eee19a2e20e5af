"""How much work one slot request is for the holder of a cell lease."""

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
from monsoonflow.transport.server import HttpServer
from script.ports import free_port
from tests.placement.conftest import MODEL

RUNNERS = 45
SLOTS_PER_RUNNER = 5
LONG_WAIT_MS = 600_000
MAX_SETTLE_CHECKS = 300


class RecordedAnswer:
    """Keeps the status of the answer to a slot request."""

    status = 0

    def has_caller_left(self) -> bool:
        """Return whether the requesting node has disconnected."""
        return False

    def send_whole(self, status: int, headers: list, body: bytes = b"") -> None:
        """Record the answer."""
        self.status = status


class SlotRequest:
    """A slot request as received."""

    def __init__(self, body: bytes) -> None:
        self.body = body


class BusyHolder:
    """A lease holder whose slots are all in use, with some queued requests."""

    def __init__(self, nodes: int, queued: int) -> None:
        self.clock = ManualClock(100_000)
        self.load = HolderLoad(Size(nodes, RUNNERS, SLOTS_PER_RUNNER), clock=self.clock)
        self._fill_slots()
        self.load.duties.start()
        self._wait_until(self._are_all_runners_known)
        for number in range(queued):
            gevent.spawn(self.request_slot, f"{MODEL}/waits{number}", LONG_WAIT_MS)
        self._wait_until(lambda: len(self.load.duty.scheduler.queued_requests) == queued)

    def _fill_slots(self) -> None:
        peers = self.load.askers
        for number, runner in enumerate(self.load.runners.values()):
            for slot in range(SLOTS_PER_RUNNER):
                name = f"{MODEL}/held{number}-{slot}"
                runner.held[name] = 1
                using_peer = peers[(number * SLOTS_PER_RUNNER + slot) % len(peers)]
                using_peer.in_flight.begin(runner.life, self.clock.now_ms(), name, 100, 100)
        for peer in peers:
            peer.tell()

    def _are_all_runners_known(self) -> bool:
        lease = self.load.duty
        scheduler = lease.scheduler if lease is not None else None
        return scheduler is not None and all(
            runner.is_known() for runner in scheduler.runners.values()
        )

    def _wait_until(self, condition) -> None:
        for _ in range(MAX_SETTLE_CHECKS):
            if condition():
                break
            gevent.sleep(0.01)
        assert condition()
        gevent.sleep(0.3)

    def request_slot(self, adapter: str, wait_ms: int) -> int:
        """Request a slot for an adapter; return the answer's status."""
        slot_request = self.load.question(adapter)
        slot_request |= {"wait_ms": wait_ms, "on_time_ms": wait_ms, "priority": 1}
        answer = RecordedAnswer()
        self.load.duties.answer_slot_request(SlotRequest(orjson.dumps(slot_request)), answer)
        return answer.status

    def end(self) -> None:
        """End all tasks."""
        self.load.stop()
        self.load.duty.scheduler.close()
        gevent.sleep(0)


def executed_instructions(call) -> int:
    """Return how many Python instructions a call executes."""
    count = 0

    def count_opcode(frame, event, _):
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return count_opcode

    previous_trace = sys.gettrace()
    sys.settrace(count_opcode)
    try:
        call()
    finally:
        sys.settrace(previous_trace)
    return count


@pytest.fixture
def make_holder():
    holders: list[BusyHolder] = []

    def make(nodes: int, queued: int) -> BusyHolder:
        holders.append(BusyHolder(nodes, queued))
        return holders[-1]

    yield make
    for holder in holders:
        holder.end()


def test_a_granted_request_costs_the_same_in_any_fleet(make_holder):
    """89 nodes send requests to one holder, and 200 requests are queued there.

    For each request the holder added up the work in the heartbeats of all nodes and checked all
    queued requests: at 280 requests a second, 140 ms a second for adding up and 490 ms for the
    queue. It used all of its processor, and requests waited 0.7 to 0.9 s.
    """
    small, large = make_holder(7, 20), make_holder(89, 200)
    instructions = [
        executed_instructions(lambda h=h: h.request_slot(f"{MODEL}/held0-0", 2_000))
        for h in (small, large)
    ]
    assert instructions[1] <= 1.2 * instructions[0], instructions


def test_a_refused_request_costs_the_same_in_any_fleet(make_holder):
    """200 requests are queued, and another arrives for which there will be no slot in time.

    It is refused at once, by the number of requests before it and without a check of each.
    """
    small, large = make_holder(7, 100), make_holder(89, 400)
    statuses: list[int] = []
    instructions = [
        executed_instructions(
            lambda h=h: statuses.append(h.request_slot(f"{MODEL}/hopeless", 1_000))
        )
        for h in (small, large)
    ]
    assert statuses == [429, 429]
    assert instructions[1] <= 1.2 * instructions[0], instructions


def test_changes_in_quick_succession_are_planned_together(make_holder, monkeypatch):
    """Requests, answers to orders and ends of uses wake the planner some hundred times a second.

    Each plan checks all runners and all queued requests. A plan of 4 ms for each change used all of
    the processor, although one plan can cover the changes of a few milliseconds.
    """
    holder = make_holder(7, 20)
    scheduler = holder.load.duty.scheduler
    plan = scheduler.plan
    planned_ms: list[int] = []

    def slow_plan(now_ms, work):
        holder.clock.advance(4)
        planned_ms.append(now_ms)
        return plan(now_ms, work)

    monkeypatch.setattr(scheduler, "plan", slow_plan)
    started_s = time.monotonic()
    for _ in range(400):
        holder.load.duties.wake_planner()
        gevent.sleep(0.001)
    max_pauses = (time.monotonic() - started_s) * 1000 / MAX_PAUSE_MS
    assert 4 <= len(planned_ms) <= max_pauses + 1, (len(planned_ms), max_pauses)


def test_a_queued_request_is_answered_once_its_adapter_is_there(make_holder):
    """A request is queued and its adapter gets loaded by other means: answered within 30 ms."""
    holder = make_holder(7, 20)
    scheduler = holder.load.duty.scheduler
    task = gevent.spawn(holder.request_slot, f"{MODEL}/comes", LONG_WAIT_MS)
    gevent.sleep(0.05)
    runner = scheduler.runners[next(iter(holder.load.runners))]
    runner.slots[f"{MODEL}/comes"] = runner.slots.pop(f"{MODEL}/held0-0")
    holder.clock.advance(30)
    holder.load.duties.wake_planner()
    gevent.sleep(0.2)
    assert task.value == 200
    assert holder.load.duties.lease_of(CELL).scheduler is scheduler


def test_queued_requests_are_placed_by_the_answer_to_their_load_order(make_holder, monkeypatch):
    """The whole queue is checked only now and then; the answer to an order places its requests.

    Both requests for the loaded adapter get it although the queue is not checked in between.
    """
    holder = make_holder(7, 0)
    scheduler = holder.load.duty.scheduler
    runner = next(iter(holder.load.runners.values()))
    del runner.held[f"{MODEL}/held0-0"], scheduler.runners[runner.life].slots[f"{MODEL}/held0-0"]
    monkeypatch.setattr(scheduler, "process_queue", lambda *_: None)
    tasks = [gevent.spawn(holder.request_slot, f"{MODEL}/comes", LONG_WAIT_MS) for _ in range(2)]
    for _ in range(60):
        holder.clock.advance(10)
        holder.load.duties.wake_planner()
        gevent.sleep(0.01)
    assert [task.value for task in tasks] == [200, 200]


def test_a_request_whose_node_has_disconnected_gets_no_slot(make_holder, monkeypatch):
    """A holder is busy for a second, then reads a request whose node no longer waits for it.

    A node repeats its request after 0.8 s and closes the connection of the first one. When that one
    was granted all the same, its slot stayed taken for 0.6 s for nobody, and the adapter's own
    callers got none.
    """
    holder = make_holder(7, 0)
    scheduler = holder.load.duty.scheduler
    requested_adapters: list[str] = []
    request_slot = scheduler.request_slot

    def record_request(queued_request, *rest):
        requested_adapters.append(queued_request.adapter_name)
        request_slot(queued_request, *rest)

    monkeypatch.setattr(scheduler, "request_slot", record_request)
    address = f"127.0.0.1:{free_port()}"
    port = HttpServer(address, holder.load.duties.answer_slot_request, MessageLimits, holder.clock)
    assert port.start()
    body = orjson.dumps(holder.load.question(f"{MODEL}/held0-0"))
    head = f"POST /place HTTP/1.1\r\nHost: n0\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        # The holder's event loop does not run between the connect and the close.
        host, port_number = address.split(":")
        with socket.create_connection((host, int(port_number))) as connection:
            connection.sendall(head.encode() + body)
        gevent.sleep(0.2)
        assert requested_adapters == []
        # A request whose node still waits is answered.
        with socket.create_connection((host, int(port_number))) as connection:
            connection.sendall(head.encode() + body)
            gevent.sleep(0.2)
            assert connection.recv(1_000).startswith(b"HTTP/1.1 200")
        assert len(requested_adapters) == 1
    finally:
        port.stop_listening()
