"""Measures the slopes that the capacity page is computed from, and seven real nodes."""

from __future__ import annotations

import argparse
import gc
import os
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any

from monsoonflow.configuration.aggregate import Configuration
from monsoonflow.configuration.models import Adapter, MoveVersion, PutAdapters, RunnerEntry
from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.clock import ManualClock
from monsoonflow.core.journal import Journal
from monsoonflow.helpers.gevent_tasks import GeventTasks
from monsoonflow.membership.view import Membership, Peer
from monsoonflow.node.served import Served
from monsoonflow.ownership.models import LeaseRow
from monsoonflow.placement.models import PlacementTuning, RunnerView
from monsoonflow.placement.runner_selection import choose_runner
from monsoonflow.request.life import RequestLife
from monsoonflow.request.models import Terms
from monsoonflow.rpc import control_pb2 as pb
from monsoonflow.runner.aggregate import Runner
from monsoonflow.runner.const import Permission
from monsoonflow.runner.models import LoadWeights, RunnerLimits, WaitingRequest
from script.fleet import Fleet

from .forwarder import CountingForwarder
from .output import show

NODES = 7
RUNNERS = 6
IDLE_SECONDS = 20


def bytes_each(count: int, build: Callable[[int], Any]) -> float:
    """Return the memory that one more object takes."""
    build(10)
    gc.collect()
    tracemalloc.start()
    kept = build(count)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / count


def micros_each(count: int, action: Callable[[int], Any]) -> float:
    """Return the processor time of one action in microseconds; the best of three rounds."""
    rounds = []
    for _ in range(3):
        started = time.process_time()
        for number in range(count):
            action(number)
        rounds.append((time.process_time() - started) / count * 1e6)
    return min(rounds)


def adapters(count: int) -> Configuration:
    """Return a configuration with adapters."""
    config = Configuration()
    rows = tuple(
        Adapter(f"customer-{number % 500}-adapter-{number}", f"c{number % 500}", "base", (1, 2), 2)
        for number in range(count)
    )
    config.apply(1, (PutAdapters(rows),))
    return config


def runner_entries(count: int) -> Configuration:
    """Return a configuration with runners."""
    config = Configuration()
    for number in range(count):
        entry = RunnerEntry(f"m{number}", f"http://10.0.0.1:{number}", "base", "dc", True)
        config.runner_by_id[entry.runner_id] = entry
    return config


def owned_runners(count: int) -> list[Runner]:
    """Return runner aggregates with eight adapters and heat for fifty."""
    made = []
    for number in range(count):
        runner = Runner(f"m{number}", RunnerLimits(8, 32), LoadWeights(), "boot")
        runner.adopt({AdapterRef(f"a{number}-{slot}", 1): set() for slot in range(8)}, 0)
        for other in range(50):
            waiting = WaitingRequest(f"r{number}.{other}", AdapterRef(f"b{other}", 1), "c", 0)
            runner.enqueue(waiting)
            runner.withdraw(waiting.request_id)
        made.append(runner)
    return made


def streams(count: int) -> list[Served]:
    """Return requests in progress with 150 chunks each."""
    tasks = GeventTasks()
    made = []
    for number in range(count):
        terms = Terms(f"r-{number:016x}", "c", AdapterRef("adapter-1", 1), True, 60_000)
        life = RequestLife(terms)
        attempt = life.offer()
        life.begin(attempt, str(terms.adapter))
        for index in range(150):
            life.chunk(attempt, index, f"token{index} ")
        made.append(Served(life, {"prompt": "p" * 200, "model": "adapter-1"}, 0, tasks))
    return made


def peers(count: int) -> Membership:
    """Return a view of other nodes."""
    rows = [
        LeaseRow(
            f"n{number}", f"n{number}-0123456789abcdef.1", 1, "10.0.0.1:80", "10.0.0.1:81", "d"
        )
        for number in range(count)
    ]
    view = Membership(LeaseRow("me", "me.1", 0, "a", "b", "d"), 4_000)
    for row in rows:
        view.peer_by_incarnation[row.incarnation] = Peer(row, 0)
    return view


def journal(count: int) -> Journal:
    """Return a journal with requests of six events."""
    kept = Journal(ManualClock(), max_subjects=count + 1)
    for number in range(count):
        for event in range(6):
            kept.record(f"r-{number:016x}", "event", runner=f"m{event}", waited_ms=event)
    return kept


def report(runners: int, slots: int = 8) -> pb.NodeReport:
    """Return a heartbeat."""
    message = pb.NodeReport(node="node-1", incarnation="node-1-0123456789abcdef.1")
    for number in range(runners):
        message.runners.add(
            runner_id=f"runner-{number}",
            fence=3,
            queued=4,
            running=9,
            slots=slots,
            max_batch=32,
            resident=[number * 1_000_003 + slot for slot in range(slots)],
            takes_new_work=True,
            ready=2,
            stall_total_ms=100.5,
            stall_weight=20.5,
        )
    return message


def memory_slopes() -> dict[str, float]:
    """Return bytes per object."""
    return {
        "adapter row": bytes_each(20_000, adapters),
        "runner row": bytes_each(5_000, runner_entries),
        "owned runner (8 slots, heat of 50 adapters)": bytes_each(100, owned_runners),
        "stream (150 chunks)": bytes_each(400, streams),
        "peer": bytes_each(1_000, peers),
        "journal entry (6 events)": bytes_each(2_000, journal),
    }


def processor_slopes() -> dict[str, float]:
    """Return microseconds per action."""
    config = adapters(2_000)
    versions = iter(range(2, 10**9))
    move = MoveVersion("customer-1-adapter-1", 2, False)
    views = {f"m{n}": RunnerView(f"m{n}", "base", 8, 32) for n in range(24)}
    tuning = PlacementTuning()
    refs = [AdapterRef(f"a{n}", 1) for n in range(500)]
    runner = owned_runners(1)[0]
    resident = runner.resident()[0]
    encoded = report(11).SerializeToString()

    def decide(number: int) -> None:
        runner.enqueue(WaitingRequest(f"q{number}.1", resident, "c", number))
        runner.dispatch_ready(number, Permission.ALL)
        runner.handle_run_end(f"q{number}.1", number)

    life = streams(1)[0].life
    base = len(life.chunks)

    def chunk(_number: int) -> None:
        life.chunk(1, len(life.chunks), "token ")

    figures = {
        "delta applied": micros_each(5_000, lambda _: config.apply(next(versions), (move,))),
        "runner chosen among 24": micros_each(
            5_000, lambda n: choose_runner(refs[n % 500], "base", views, tuning)
        ),
        "request queued, dispatched, ended": micros_each(5_000, decide),
        "chunk taken": micros_each(20_000, chunk),
        "heartbeat encoded (11 runners)": micros_each(
            500, lambda _: report(11).SerializeToString()
        ),
        "heartbeat decoded (11 runners)": micros_each(
            2_000, lambda _: pb.NodeReport.FromString(encoded)
        ),
    }
    del life.chunks[base:]
    return figures


def message_sizes() -> dict[str, int]:
    """Return bytes per message, without framing."""
    return {
        "heartbeat, no runner": report(0).ByteSize(),
        "heartbeat, 1 runner of 8 slots": report(1).ByteSize(),
        "heartbeat, 11 runners of 8 slots": report(11).ByteSize(),
        "heartbeat, 11 runners, nothing resident": report(11, 0).ByteSize(),
    }


def seconds_of(pid: int) -> float:
    """Return the processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def seven_nodes() -> dict[str, float]:
    """Run seven nodes and six runners without requests; return what control costs a node."""
    with tempfile.TemporaryDirectory(prefix="monsoonflow-capacity-") as folder:
        fleet = Fleet(Path(folder))
        try:
            return _seven_nodes(fleet)
        finally:
            fleet.close()


def _seven_nodes(fleet: Fleet) -> dict[str, float]:
    defaults = {
        "poll_ms": 1000,
        "heartbeat_ms": 2000,
        "lease_ms": 5000,
        "lease_margin_ms": 500,
        "silence_ms": 4000,
        "report_lag_ms": 2000,
        "address_ttl_ms": 5000,
    }
    names = [f"n{number}" for number in range(NODES)]
    fleet.start_platform()
    forwarder = CountingForwarder(fleet.address_by_name["table"])
    fleet.address_by_name["table-direct"] = fleet.address_by_name["table"]
    fleet.address_by_name["table"] = forwarder.address
    for number in range(RUNNERS):
        fleet.start_runner(f"m{number}")
    for name in names:
        fleet.start_node(name, **defaults)
    fleet.await_nodes(*names)
    fleet.apply_runners("n0")
    fleet.bring_in("n0", "acme", 3_000)
    fleet.await_in_force(*names)
    fleet.await_owned()
    time.sleep(10)
    processes = [fleet.pid(name) for name in names]
    before = [seconds_of(pid) for pid in processes]
    counts = fleet.get("table-direct", "/_counts")
    passed, started = forwarder.passed, time.monotonic()
    time.sleep(IDLE_SECONDS)
    took = time.monotonic() - started
    after = [seconds_of(pid) for pid in processes]
    done = fleet.get("table-direct", "/_counts")
    table_bytes = (forwarder.passed - passed) / took / NODES
    spent = [(b - a) / took * 100 for a, b in zip(before, after, strict=True)]
    in_force = _in_force_times(fleet, names)
    return {
        "processor per node, mean (% of a core)": statistics.fmean(spent),
        "processor per node, worst (% of a core)": max(spent),
        "resident memory per node, least (MB)": min(resident_mb(pid) for pid in processes),
        "resident memory per node, worst (MB)": max(resident_mb(pid) for pid in processes),
        "table reads, all nodes (1/s)": (done["reads"] - counts["reads"]) / took,
        "table writes, all nodes (1/s)": (done["writes"] - counts["writes"]) / took,
        "table bytes per node (B/s)": table_bytes,
        "change in force in all nodes, median (ms)": statistics.median(in_force),
        "change in force in all nodes, worst (ms)": max(in_force),
    }


def _in_force_times(fleet: Fleet, names: list[str]) -> list[float]:
    """Confirm changes at changing nodes; return the times from first to last node by the logs."""
    for number in range(100):
        node = names[number % len(names)]
        intent = {
            "kind": "move_version",
            "adapter": f"acme-{number}",
            "version": 1,
            "close_previous": False,
        }
        made = fleet.post(node, "/v1/intents", intent).json()
        fleet.post(node, f"/v1/plans/{made['plan_id']}/confirm")
    last = fleet.await_in_force(*names)
    seen: dict[int, list[float]] = {}
    for name in names:
        for line in fleet.log(name).splitlines():
            if "event=config_in_force" in line:
                version = int(line.rpartition("version=")[2])
                at = datetime.fromisoformat(line.split()[0].removeprefix("time=")).timestamp()
                seen.setdefault(version, []).append(at * 1000)
    return [max(at) - min(at) for version, at in seen.items() if last - 99 <= version <= last]


def heartbeat_on_the_wire() -> dict[str, float]:
    """Exchange heartbeats over gRPC through a counting forwarder; return bytes and time each."""
    from monsoonflow.rpc.client import ControlClient
    from monsoonflow.rpc.server import serve
    from script.ports import free_port

    class Handler:
        def on_heartbeat(self, _report: pb.NodeReport) -> pb.NodeReport:
            return report(1)

    address = f"127.0.0.1:{free_port()}"
    server = serve(address, Handler(), "t" * 24)  # type: ignore[arg-type]
    assert server is not None
    forwarder = CountingForwarder(address)
    client = ControlClient("t" * 24)
    client.heartbeat(forwarder.address, report(1))
    passed = forwarder.passed
    for _ in range(200):
        client.heartbeat(forwarder.address, report(1))
    exchanged = (forwarder.passed - passed) / 200
    started = time.process_time()
    for _ in range(500):
        client.heartbeat(address, report(1))
    micros = (time.process_time() - started) / 500 * 1e6
    server.stop(0)
    return {
        "bytes of an exchange, both directions, framing included": exchanged,
        "processor time of an exchange, both ends (us)": micros,
    }


def main() -> int:
    """Print every slope."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-nodes", action="store_true", help="leave the real nodes out")
    given = parser.parse_args()
    sections: dict[str, dict[str, Any]] = {
        "memory, bytes each": memory_slopes(),
        "processor time, microseconds each": processor_slopes(),
        "message, bytes each": message_sizes(),
        "heartbeat over gRPC, 1 runner each way": heartbeat_on_the_wire(),
    }
    if not given.no_nodes:
        sections["seven nodes, six runners, 3,000 adapters, no requests"] = seven_nodes()
    for title, figures in sections.items():
        show(title, figures)
    return 0


if __name__ == "__main__":
    sys.exit(main())
