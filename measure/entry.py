"""Measures an entry node in one process with stand-ins: processor time and log bytes."""

from __future__ import annotations

import logging
import os
import time
from collections import Counter

import gevent
from gevent import config

config.resolver = "block"

from measure.output import show  # noqa: E402
from monsoonflow.core.adapter import AdapterRef  # noqa: E402
from monsoonflow.fleet import codec  # noqa: E402
from monsoonflow.fleet.models import (  # noqa: E402
    CellLeaseClaim,
    Heartbeat,
    NodeRecord,
    ResidentAdapters,
)
from monsoonflow.helpers.logfmt import LineFormatter  # noqa: E402
from monsoonflow.logs.lines import QueueHandler  # noqa: E402
from monsoonflow.routing.budget import RetryUsage  # noqa: E402
from monsoonflow.routing.in_flight import ServerWork  # noqa: E402
from script.ports import free_port  # noqa: E402
from stand_ins.platform_store import PlatformStore  # noqa: E402
from tests.entry.conftest import Fleet  # noqa: E402

REQUESTS = 400
STREAMS = 40
EVENTS = 200
ROUNDS = 4


def _spent(work: object) -> float:
    began = time.process_time()
    work()
    return time.process_time() - began


def _run(level: int) -> dict[str, float]:
    store = PlatformStore(f"127.0.0.1:{free_port()}")
    store.start()
    fleet = Fleet(store)
    fleet.configure()
    fleet.plain("i-1")
    runner = fleet.runner("i-2")
    runner.event_ms = 0
    handler = QueueHandler()
    handler.setFormatter(LineFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    node = fleet.node()
    fleet.holder()
    fleet.generate(node, "a1", "warm")
    runner.faults.slow_ms = fleet.servers[0].faults.slow_ms = 0

    log_bytes = 0

    def requests() -> None:
        nonlocal log_bytes
        for number in range(REQUESTS):
            fleet.ask(node, "/look/x", f"r{number}")
            # As the writer does: lines that are kept would be looked through by the collector.
            log_bytes += sum(map(len, handler.queued_lines))
            handler.queued_lines.clear()

    def streams() -> None:
        for number in range(STREAMS):
            fleet.generate(node, "a1", f"s{number}")

    plain = _spent(requests) / REQUESTS
    runner.events = 1
    short = _spent(streams) / STREAMS
    runner.events = EVENTS
    long = _spent(streams) / STREAMS
    began = time.process_time()
    gevent.sleep(2.0)
    idle = (time.process_time() - began) / 2.0
    fleet.end()
    return {
        "plain request, caller, node and server together, us": plain * 1e6,
        "stream event, runner, node and caller together, us": (long - short) / (EVENTS - 1) * 1e6,
        "log bytes a plain request": log_bytes / REQUESTS,
        "idle node with store and runner, % of a core": idle * 100,
    }


def _report(runners: int, adapters: int, uses: int) -> dict[str, float]:
    """Return bytes and processor time of one report between nodes."""
    refs = tuple(AdapterRef(f"model1a/a{number * 37 % 3_000}", 1) for number in range(adapters))
    report = Heartbeat(
        NodeRecord("front-zone-1-1", "b-0123456789abcdef", "zone-1", *(["10.1.0.38:8149"] * 3)),
        12_345,
        True,
        False,
        17,
        True,
        {
            f"i-{number:010x}": ServerWork(3, 2_400, 7_000, Counter({refs[0].name: 1}))
            for number in range(uses)
        },
        {f"s{number}": RetryUsage(80, 3) for number in range(2)},
        claims=(CellLeaseClaim("service1a", "front-zone-1-1", 9, ("n1", "n2", "n3")),),
        residency=tuple(ResidentAdapters(f"i-{number:010x}", refs) for number in range(runners)),
    )
    data = codec.encode_heartbeat(report)
    encode = _spent(lambda: [codec.encode_heartbeat(report) for _ in range(1_000)])
    decode = _spent(lambda: [codec.decode(data) for _ in range(1_000)])
    return {"bytes": len(data), "encode, us": encode * 1e3, "decode, us": decode * 1e3}


def main() -> None:
    """Print the least of some runs, with and without logging in turn: other load only adds."""
    runs = [(_run(logging.INFO), _run(logging.ERROR)) for _ in range(ROUNDS)]
    for index, title in enumerate(("Entry node, logging", "Entry node, errors only")):
        figures = {name: min(run[index][name] for run in runs) for name in runs[0][index]}
        show(title, figures)
    show("Report, 3 runners in use", _report(0, 1, 3))
    show("Report of a holder of 6 runners with 6 adapters each", _report(6, 6, 3))
    show("Report of a holder of 12 runners with 6 adapters each", _report(12, 6, 11))
    with open("/proc/self/status") as status:
        told = next(line for line in status if line.startswith("VmHWM"))
    show("Memory", {"peak of node, stand-ins and caller, MB": int(told.split()[1]) / 1024})
    os._exit(0)


if __name__ == "__main__":
    main()
