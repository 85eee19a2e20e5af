"""What all cases share: a store, servers, nodes and the exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .nodes import Node, create_nodes
from .record import Record
from .store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}


class NotRun(Exception):
    """The case could not run."""


class Case:
    """One run of a case.

    :ivar trouble: whether the disruption comes.
    """

    def __init__(self, folder: Path, scratch: Path) -> None:
        self.folder = folder
        self.scratch = scratch
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record()
        self.store = Store()
        self.nodes: list[Node] = []

    async def start_nodes(self, count: int, configuration: dict[str, Any]) -> None:
        """Write the first manifest, start nodes and wait until they are ready."""
        await self.store.put("op", "config", configuration)
        self.nodes = create_nodes(count, self.scratch)
        for node in self.nodes:
            node.write_settings(self.store.address, self._seeds())
            node.start()
        for node in self.nodes:
            if not await node.until_ready():
                raise NotRun(f"{node.name} is not ready")

    def start_again(self, node: Node) -> None:
        """Start a node whose process has ended."""
        node.write_settings(self.store.address, self._seeds(), bootstrap=False)
        node.start()

    def _seeds(self) -> list[str]:
        return [f"{node.ip}:{node.ports[2]}" for node in self.nodes][:3]

    def close(self) -> None:
        """End all nodes."""
        for node in self.nodes:
            node.end()


def engine_service(name: str, model: str, places: int) -> dict[str, Any]:
    """Return a service of model runners for a manifest."""
    models = [
        {
            "name": model,
            "weightsMb": 34_300.0,
            "loadS": 2.0,
            "adapters": 3_000,
            "adapterMb": 40.0,
            "warmS": 0.42,
            "diskS": 0.8,
        }
    ]
    kind = {
        "slots": 64,
        "kvCapacity": 151_047,
        "kvTokenBytes": 327_680,
        "linkMbps": 370_000.0,
        "moves": True,
        "backups": True,
        "stride": 3,
        "cap": 12,
        "hostMb": 130_000.0,
        "diskMb": 390_000.0,
        "pinMs": 4_000.0,
        "holdMs": 2_000.0,
        "handle_s": 5.0,
        "models": models,
        "weightsMb": 35_200.0,
        "adapterSlots": places,
        "loadPerS": 2.2,
    }
    return {**plain_service(name, 360), "engineKind": kind}


def plain_service(name: str, max_connections: int = 100) -> dict[str, Any]:
    """Return a plain service for a manifest."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": max_connections,
        "protocol": "h1",
        "tlsConfig": False,
    }


def run(main: Callable[[Case], Awaitable[None]], folder: Path) -> None:
    """Run a case, save its record and exit."""
    with tempfile.TemporaryDirectory() as scratch:
        case = Case(folder, Path(scratch))
        status = asyncio.run(_run(main, case))
    sys.exit(status)


async def _run(main: Callable[[Case], Awaitable[None]], case: Case) -> int:
    try:
        await main(case)
        status = BROKEN if case.record.breaks else HELD
    except Exception:
        case.record.note(f"could not run: {traceback.format_exc()}")
        status = NOT_RUN
    finally:
        case.close()
    # The stand-ins' tasks are cancelled at the end; that is no news.
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    case.record.note(f"exit status {status}")
    case.record.save(case.folder / "record.txt")
    for line in case.record.breaks[:10]:
        print(line)
    print(f"exit status {status}")
    return status
