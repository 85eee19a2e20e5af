"""Starts a small deployment for the cases 4 to 8: nodes, store, servers, each a process.

The nodes are started with the command of ``deploy/system.toml`` from the repository's root, with a
settings file as DEPLOY.md shows it, on loopback addresses and the real clock. The store and the
servers are the project's own stand-ins.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import socket
import subprocess
import tempfile
import time
import urllib.request
from pathlib import Path
from types import TracebackType
from typing import IO, Any

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_MS = 1_200
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = ("hall-a", "hall-b", "hall-c")
HOST = "ficu95.example"
MODEL = "daka510000"
PLAIN, ENGINES = "campo-api", "lluvia-llm"
READY_WITHIN_S = 30.0
PORTS = range(15_000, 30_000)

SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control","directory"]
bindIp = "{ip}"
zone = "{zone}"
region = "cr-central"
portRange = [{reports},{reports}]
seedNodes = {seeds}
bootstrap = {bootstrap}
heartbeatMs = 1200
[listenAddrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[contractParams]
contactMs = 3000
drainMs = 2000
graceS = 8
configMs = 2000
budgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 54
requireFence = {fenced}
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOvershoot = 1.1
version_ms = 5000
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
"""


def free_port() -> int:
    """Return a port that is free now, below those that the kernel gives to outgoing channels."""
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no port is free")


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 1_500,
        "targetLatencyMs": 300,
        "attempts": 2,
    }
    return {**fields, **changes}


def manifest(routes: list[dict[str, Any]], version: int = 1) -> dict[str, Any]:
    """Return a manifest of the operator with the services of the small sheet."""
    model = {"name": MODEL, "weightsMb": 34_300, "loadS": 2.0, "adapterMb": 40, "adapters": 3_000}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": PLAIN, "healthPath": "/health", "maxConnections": 100},
            {
                "name": ENGINES,
                "healthPath": "/health",
                "maxConnections": 360,
                "engineKind": {
                    "slots": 64,
                    "kvCapacity": 151_047,
                    "weightsMb": 35_000,
                    "adapterSlots": 3,
                    "loadPerS": 2.2,
                    "models": [model],
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


class Lab:
    """Processes of one run; all that were started end when it is closed."""

    def __init__(self, case: Path, fenced: bool = True) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = f"127.0.0.1:{free_port()}"
        self.nodes: dict[str, str] = {}
        self.ports = dict(
            zip(
                ("front", "ready", "control", "directory", "reports", "metrics"),
                (free_port() for _ in range(6)),
                strict=True,
            )
        )
        self._fenced = fenced
        self._case = case
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._began = time.monotonic()
        self._record: IO[str] = (case / "record.txt").open("w")

    def __enter__(self) -> Lab:
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def now_s(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write a line to the record, with the time since the start."""
        self._record.write(f"{self.now_s():8.3f} {text}\n")
        self._record.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.note(text)
        print(text, flush=True)

    def start_store(self) -> None:
        """Start the stand-in of the platform's store."""
        self._stand_in(
            "store",
            "stand_ins.store_process",
            "--listen",
            self.store,
            "--heartbeat-ms",
            str(HEARTBEAT_MS),
        )
        self._await_port(self.store)

    def start_server(self, server_id: str, service: str, zone: str, work_ms: int) -> str:
        """Start a stand-in server; return its address."""
        address = f"127.0.0.1:{free_port()}"
        model = ("--model", MODEL) if service == ENGINES else ()
        self._stand_in(
            server_id,
            "review.runner_2" if service == ENGINES else "stand_ins.server_process",
            *("--id", server_id, "--listen", address, "--told-address", address),
            *("--service", service, "--zone", zone, "--store", self.store),
            *("--heartbeat-ms", str(HEARTBEAT_MS), "--work-ms", str(work_ms), *model),
        )
        return address

    def start_node(self, number: int, bootstrap: bool = True, store: str | None = None) -> str:
        """Start a node as the deploy file does; return its name.

        :param store: where it reaches the store, if not at the store's own address.
        """
        name, ip = f"front-{number}", f"127.0.0.{10 + number}"
        self.nodes[name] = ip
        path = self.folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name,
            ip=ip,
            zone=ZONES[number % len(ZONES)],
            seeds=json.dumps([f"127.0.0.{10 + n}:{self.ports['control']}" for n in (1, 2, 3)]),
            bootstrap=str(bootstrap).lower(),
            fenced=str(self._fenced).lower(),
            store=store or self.store,
            **self.ports,
        )
        path.write_text(text)
        environment = {
            "MONSOONFLOW_NODE_FILE": str(path),
            "MONSOONFLOW_METRICS_PORT": str(self.ports["metrics"]),
            "MONSOONFLOW_LOG_LEVEL": "info",
        }
        self._start(name, "monsoonflow.platform", (), str(DEPS), environment)
        return name

    def front(self, name: str) -> tuple[str, int]:
        """Return the address at which a node takes consumers."""
        return self.nodes[name], self.ports["front"]

    def process(self, name: str) -> subprocess.Popen[bytes]:
        """Return a process that was started."""
        return self._processes[name]

    def log_of(self, name: str) -> str:
        """Return what a process wrote."""
        return (self.folder / f"{name}.out").read_text(errors="replace") + (
            self.folder / f"{name}.err"
        ).read_text(errors="replace")

    def records(self, name: str) -> list[dict[str, Any]]:
        """Return what a stand-in wrote down."""
        lines = (self.folder / f"{name}.out").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def command(self, name: str, do: str, **fields: Any) -> None:
        """Give a stand-in a command."""
        pipe = self._processes[name].stdin
        assert pipe is not None
        pipe.write(json.dumps({"do": do, **fields}).encode() + b"\n")
        pipe.flush()

    def configure(self, value: dict[str, Any]) -> None:
        """Write a manifest to the store."""
        self.command("store", "configure", value=value)

    def publish(self, rows: dict[str, Any]) -> None:
        """Write rows of the operator in one transaction (at most 100 entries)."""
        keys = [
            {
                "table": "op",
                "part": "",
                "key": key,
                "value": base64.b64encode(json.dumps(value).encode()).decode(),
            }
            for key, value in rows.items()
        ]
        body = json.dumps({"expectedRev": [], "setKeys": keys, "remove": []}).encode()
        request = urllib.request.Request(f"http://{self.store}/v1/rows-tx", body, method="POST")
        request.add_header("Content-Type", "application/json")
        with urllib.request.urlopen(request, timeout=5) as answer:
            answer.read()

    def is_ready(self, name: str, timeout_s: float = 1.0) -> bool:
        """Return whether a node says that it is ready."""
        url = f"http://{self.nodes[name]}:{self.ports['ready']}/v1/readiness"
        try:
            with urllib.request.urlopen(url, timeout=timeout_s):
                return True
        except OSError:
            return False

    def await_ready(self, name: str) -> None:
        """Wait until a node is ready.

        :raises TimeoutError: when it is not in time.
        """
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            if self.is_ready(name):
                return
            time.sleep(0.05)
        raise TimeoutError(f"{name} is not ready")

    def _stand_in(self, name: str, module: str, *arguments: str) -> None:
        self._start(name, module, arguments, f"{DEPS}{os.pathsep}{ROOT}", {})

    def _start(
        self,
        name: str,
        module: str,
        arguments: tuple[str, ...],
        path: str,
        environment: dict[str, str],
    ) -> None:
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with (
            (self.folder / f"{name}.out").open("ab") as out,
            (self.folder / f"{name}.err").open("ab") as err,
        ):
            self._processes[name] = subprocess.Popen(
                ["python3", "-m", module, *arguments],
                cwd=ROOT,
                env={**kept, "PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1", **environment},
                stdin=subprocess.PIPE,
                stdout=out,
                stderr=err,
            )

    @staticmethod
    def _await_port(address: str) -> None:
        host, port = address.split(":")
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            try:
                socket.create_connection((host, int(port)), 1).close()
            except OSError:
                time.sleep(0.05)
            else:
                return
        raise TimeoutError(f"nothing listens at {address}")


class Link:
    """A link to an address that can be cut: its channels are reset, and new ones as well."""

    def __init__(self, target: str) -> None:
        host, port = target.split(":")
        self._target = (host, int(port))
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = f"127.0.0.1:{free_port()}"

    async def start(self) -> None:
        """Begin to pass channels on."""
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._pass_on, host, int(port))

    def cut(self) -> None:
        """Reset all channels, and each new one."""
        self._is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Pass channels on again."""
        self._is_cut = False

    async def close(self) -> None:
        """End all channels."""
        self.cut()
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(0.2)

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, other_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._copy(reader, other_writer),
                self._copy(other_reader, writer),
                return_exceptions=True,
            )
        finally:
            self._writers -= ends

    @staticmethod
    async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


async def ask(
    address: tuple[str, int],
    request_id: str,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    wait_s: float = 2.5,
) -> tuple[int | None, float, bytes]:
    """Send one request on a new channel; return status, seconds until the whole answer, body.

    The status is ``None`` if there was no whole answer within the time or the channel ended.
    """
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            answer = await _read_body(reader, head.lower())
            return status, time.monotonic() - began, answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, time.monotonic() - began, b""
    finally:
        if writer is not None:
            writer.close()


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    if b"transfer-encoding: chunked" in head:
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    for line in head.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return await reader.readexactly(int(line.partition(b":")[2]))
    return await reader.read()
