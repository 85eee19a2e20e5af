"""Starts entry nodes with the command of the deploy file, each at a loopback address of its own."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
from pathlib import Path
from typing import Any

from .http1 import encode_request, read_body, read_head

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = ["python3", "-m", "monsoonflow.platform"]
START_WITHIN_S = 20.0
SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control","directory"]
bindIp = "{ip}"
zone = "{zone}"
region = "r"
portRange = [{p[4]},{p[4]}]
seedNodes = [{seeds}]
bootstrap = {bootstrap}
countsTowardLoss = false
discoverySource = "platform"
entryKind = "directory"
heartbeatMs = 1200
activeContracts = [{contracts}]
[zones]
zone-a = "r"
zone-b = "r"
zone-c = "r"
[listenAddrs]
front = "{ip}:{p[0]}"
ready = "{ip}:{p[1]}"
control = "{ip}:{p[2]}"
directory = "{ip}:{p[3]}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machineLosses = 1
zones = 0
regionLosses = 0
[contractParams]
{bounds}
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesPerS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
"""
CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "fleet",
    "stream",
    "engine",
    "platform",
)
BOUNDS: dict[str, Any] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lostSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraRetries": 54,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "requireFence": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "ceilingWindowS": 5,
    "ceilingOvershoot": 1.1,
    "version_ms": 5000,
    "ttl_max_s": 5,
}
"""The bounds of the small sites."""


class Node:
    """One entry node.

    :param number: from 1; gives the node its address.
    """

    def __init__(self, number: int, ports: list[int], folder: Path) -> None:
        self.name = f"node-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.zone = f"zone-{'abc'[(number - 1) % 3]}"
        self.ports = ports
        self.front, self.ready, self.directory = (
            f"{self.ip}:{ports[index]}" for index in (0, 1, 3)
        )
        self._folder = folder
        self.process: subprocess.Popen | None = None

    def write_settings(self, store: str, seeds: list[str], bootstrap: bool = True) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            p=self.ports,
            seeds=",".join(f'"{seed}"' for seed in seeds),
            bootstrap=str(bootstrap).lower(),
            contracts=",".join(f'"{name}"' for name in CONTRACTS),
            bounds="\n".join(f"{name} = {_toml(value)}" for name, value in BOUNDS.items()),
            store=store,
        )
        (self._folder / f"{self.name}.toml").write_text(text)

    def start(self) -> None:
        """Start the process."""
        known = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in known if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MONSOONFLOW_NODE_FILE": str(self._folder / f"{self.name}.toml"),
            "MONSOONFLOW_METRICS_PORT": str(self.ports[5]),
            "MONSOONFLOW_LOG_LEVEL": "info",
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def log_text(self) -> str:
        """Return what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def runs(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End the process, whatever state it is in."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.process.kill() if self.process.poll() is None else None
            self.process.wait()

    async def until_ready(self) -> bool:
        """Wait until the node says that it is ready; return whether it does."""
        until = asyncio.get_running_loop().time() + START_WITHIN_S
        while asyncio.get_running_loop().time() < until:
            if await self._is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def _is_ready(self) -> bool:
        ip, _, port = self.ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        try:
            writer.write(encode_request("GET", "/v1/readiness", {"Host": self.ready}))
            answer = await asyncio.wait_for(read_head(reader), 1.0)
            if answer is None:
                return False
            await read_body(reader, answer)
            return answer.status == 200
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()


def create_nodes(count: int, folder: Path) -> list[Node]:
    """Return nodes that share free ports, each at an address of its own."""
    ips = [f"127.0.0.{10 + number}" for number in range(1, count + 1)]
    ports = _free_ports(ips, 6)
    return [Node(number, ports, folder) for number in range(1, count + 1)]


def _free_ports(ips: list[str], count: int) -> list[int]:
    found: list[int] = []
    candidates = list(range(20_000, 30_000))
    random.shuffle(candidates)
    for port in candidates:
        if all(_is_free(ip, port) for ip in ips):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def _toml(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
