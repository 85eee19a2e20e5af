"""Measures an entry node in one process with stand-ins: processor time and log bytes."""

from __future__ import annotations

import logging
import os
import time

import gevent
from gevent import config

config.resolver = "block"

from measure.output import show  # noqa: E402
from monsoonflow.helpers.logfmt import LineFormatter  # noqa: E402
from monsoonflow.logs.lines import QueueHandler  # noqa: E402
from stand_ins.platform_store import PlatformStore  # noqa: E402
from tests.entry.conftest import Fleet  # noqa: E402
from tests.transport.conftest import free_port  # noqa: E402

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

    def requests() -> None:
        for number in range(REQUESTS):
            fleet.ask(node, "/look/x", f"r{number}")

    def streams() -> None:
        for number in range(STREAMS):
            fleet.generate(node, "a1", f"s{number}")

    plain = _spent(requests) / REQUESTS
    handler_bytes = sum(map(len, handler.lines)) / REQUESTS
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
        "log bytes a plain request": handler_bytes,
        "idle node with store and runner, % of a core": idle * 100,
    }


def main() -> None:
    """Print the least of some runs, with and without logging in turn: other load only adds."""
    runs = [(_run(logging.INFO), _run(logging.ERROR)) for _ in range(ROUNDS)]
    for index, title in enumerate(("Entry node, logging", "Entry node, errors only")):
        figures = {name: min(run[index][name] for run in runs) for name in runs[0][index]}
        show(title, figures)
    os._exit(0)


if __name__ == "__main__":
    main()
