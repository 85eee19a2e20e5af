"""A fleet of entry nodes with everything around them, each a process of its own."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import time
import urllib.request
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, Final

import orjson

from script.ports import free_port
from script.processes import ROOT
from stand_ins.links import Mode
from stand_ins.platform_runner import FIRST_VERSION

from .const import (
    CALLER_ROUTES,
    CONFIGURATION,
    CUSTOMER_BY_KEY,
    DRAIN_MS,
    ENGINES,
    HEARTBEAT_MS,
    HOST,
    MODEL,
    PLAIN,
    RUSH_ADAPTERS,
    USUAL_WORK_MS,
    ZONES,
)
from .processes import CommandedProcesses

STORE: Final = "store"
NODE_START: Final = ROOT / "soak" / "node_start"
LINKS: Final = "links"
READY_WITHIN_S: Final = 20
CRASHES_WITHIN_S: Final = 5
MEMORY_MB: Final = 160
MAX_DESCRIPTORS: Final = 1_224
CROWD_TIMEOUT_S: Final = 0.05
"""How long a caller of a crowd waits for a node that takes no more."""

NODE_SETTINGS: Final = """
nodeName = "{name}"
role = "entry"
bindIp = "{ip}"
zone = "{zone}"
region = "r"
portRange = [{reports}, {reports}]
seedNodes = {seeds}
bootstrap = true
[listenAddrs]
front = "{front}"
ready = "{ready}"
control = "{control}"
directory = "{directory}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = {memory_mb}
maxFds = {max_descriptors}
[contractParams]
leaseMs = 3000
graceS = 8
drainMs = {drain_ms}
requireFence = true
budgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 54
version_ms = 5000
ttl_max_s = 5
ceilingWindowS = 5
thawMs = 300
[platform]
address = "{store}"
"""


class Crowd:
    """Connections of callers that nobody controls."""

    def __init__(self) -> None:
        self._connections: list[socket.socket] = []

    def join(self, address: tuple[str, int], pieces: Iterable[bytes]) -> None:
        """Connect and send, as far as the other end takes it."""
        with contextlib.suppress(OSError):
            connection = socket.create_connection(address, CROWD_TIMEOUT_S)
            self._connections.append(connection)
            for piece in pieces:
                connection.sendall(piece)

    def leave(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.close()


class Fleet:
    """Store, servers, callers, links and nodes.

    :param folder: takes logs, records and settings.
    :param node_root: the checkout whose code the nodes run.
    :ivar lost_nodes: nodes that have ended by themselves.
    :ivar peak_mb_by_node: the most memory that nodes have used.
    """

    def __init__(self, folder: Path, node_root: Path = ROOT) -> None:
        self.processes = CommandedProcesses(folder)
        self.nodes: list[str] = []
        self.servers: list[str] = []
        self.callers: list[str] = []
        self.standing_still: set[str] = set()
        self.service_by_server: dict[str, str] = {}
        self.version_by_server: dict[str, str] = {}
        self.bad_parts: list[str] = []
        self._versions = 0
        self._folder = folder
        self._node_root = node_root
        self._numbers = 0
        self._store_address = f"127.0.0.1:{free_port()}"
        self._ports = tuple(free_port() for _ in range(6))
        self._directories: list[str] = []
        self._store_ports: dict[str, int] = {}
        self._config_version = CONFIGURATION["version"]
        self._configuration: dict[str, Any] = CONFIGURATION
        self._per_s = 0.0
        self._told_to_end: set[str] = set()
        self.lost_nodes: list[str] = []
        self.peak_mb_by_node: dict[str, int] = {}

    def start(self, nodes: int, plain: int, engines: int, per_s: float, seed: int) -> None:
        """Start everything and wait until all nodes are ready."""
        self._per_s = per_s
        self.processes.start(LINKS, "stand_ins.links")
        self.processes.start(
            STORE,
            "stand_ins.store_process",
            *("--listen", self._store_address, "--heartbeat-ms", str(HEARTBEAT_MS)),
        )
        self.write_configuration_again()
        self._await_record(STORE, "started")
        for _ in range(plain):
            self.add_server(PLAIN)
        for _ in range(engines):
            self.add_server(ENGINES)
        for number in range(nodes):
            self._add_node(number)
        for node in self.nodes:
            self._await_ready(node)
        for zone in ZONES:
            self._add_callers(zone, per_s / len(ZONES), seed)

    def new_version(self) -> str:
        """Return a version of servers' software that no server has yet."""
        self._versions += 1
        return f"{FIRST_VERSION}.{self._versions}"

    def add_server(self, service: str, version: str = FIRST_VERSION) -> str:
        """Start a server behind a link of its own; return its id.

        :param version: of its software.
        """
        self._numbers += 1
        name = f"i-{service}-{self._numbers}"
        own, told = (f"127.0.0.1:{free_port()}" for _ in range(2))
        self.processes.command(LINKS, "add", name=name, listen=told, target=own)
        model = ("--model", MODEL) if service == ENGINES else ()
        self.processes.start(
            name,
            "stand_ins.server_process",
            *("--id", name, "--listen", own, "--told-address", told, "--service", service),
            *("--zone", ZONES[self._numbers % len(ZONES)], "--store", self._store_address),
            *("--heartbeat-ms", str(HEARTBEAT_MS), "--work-ms", str(USUAL_WORK_MS), *model),
            *("--version", version),
        )
        self.servers.append(name)
        self.service_by_server[name] = service
        self.version_by_server[name] = version
        if self.bad_parts and service == ENGINES:
            self._tell_bad_parts(name)
        return name

    def add_bad_part(self, part: str) -> None:
        """Let all model runners, also later ones, crash as they begin to answer on a part."""
        self.bad_parts.append(part)
        for name in self.servers:
            if self.service_by_server[name] == ENGINES:
                self._tell_bad_parts(name)

    def _tell_bad_parts(self, server: str) -> None:
        self.processes.command(server, "misbehave", poison_parts=self.bad_parts)

    def remove_crashed(self) -> list[str]:
        """Return the servers that have ended by themselves since the last call."""
        crashed = [name for name in self.servers if not self.processes.runs(name)]
        self.servers = [name for name in self.servers if name not in crashed]
        return crashed

    def leave(
        self,
        server: str,
        serves_ms: int,
        without_word: bool = False,
        is_replaced: bool = True,
        by_word: bool = False,
    ) -> None:
        """Let a server leave, and start another one of its service and version.

        :param is_replaced: whether another one starts.
        :param by_word: whether only its answers say that it leaves.
        """
        if server not in self.servers:
            return
        how = {"by_word": True} if by_word else {"without_word": without_word}
        self.processes.command(server, "leave", serves_ms=serves_ms, **how)
        self.servers.remove(server)
        if is_replaced:
            self.add_like(server)

    def crash(self, server: str) -> None:
        """Let a server end in the middle of its answers, and start another one of its service."""
        if server not in self.servers:
            return
        self.processes.command(server, "crash")
        self.processes.by_name[server].wait(CRASHES_WITHIN_S)
        self.servers.remove(server)
        self.add_like(server)

    def add_like(self, server: str) -> None:
        """Start another server of the service and version of one that has ended."""
        self.add_server(self.service_by_server[server], self.version_by_server[server])

    def reset_callers_of(self, node: str) -> None:
        """Reset the connections of callers to a node on which answers are due."""
        for callers in self.callers:
            self.processes.command(callers, "reset", ip=self.ip_of(node))

    def rush(self, customer: str, times: float, for_s: float) -> None:
        """Let a customer send so many times its usual requests in addition, for some seconds."""
        keys = list(CUSTOMER_BY_KEY.values())
        usual_per_s = self._per_s * keys.count(customer) / len(keys)
        for callers in self.callers:
            self.processes.command(
                callers,
                "rush",
                customer=customer,
                per_s=times * usual_per_s / len(self.callers),
                for_s=for_s,
                adapters=RUSH_ADAPTERS,
            )

    def stop(self, name: str) -> None:
        """Let a process stand still."""
        self.standing_still.add(name)
        self.processes.signal(name, signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        """Let a process that stands still go on."""
        self.standing_still.discard(name)
        self.processes.signal(name, signal.SIGCONT)

    def kill_node(self, node: str) -> None:
        """End a node without a word."""
        self._note_memory(node)
        self._told_to_end.add(node)
        self.processes.end(node)

    def end_node(self, node: str) -> None:
        """Tell a node to stop."""
        self._note_memory(node)
        self._told_to_end.add(node)
        self.processes.signal(node, signal.SIGTERM)

    def reload_node(self, node: str) -> None:
        """Tell a node that its settings may have changed, if it still runs."""
        if self.processes.runs(node):
            self.processes.signal(node, signal.SIGHUP)

    def change_configuration(self) -> None:
        """Write a new version of the configuration, which changes a timeout."""
        self._config_version += 1
        first, *others = CONFIGURATION["routes"]
        changed = {**first, "timeoutMs": first["timeoutMs"] + self._config_version % 2 * 50}
        self._configuration = {
            **CONFIGURATION,
            "version": self._config_version,
            "routes": [changed, *others],
        }
        self.write_configuration_again()

    def write_configuration_again(self) -> None:
        """Write the newest configuration, also if the store has forgotten it."""
        self.processes.command(STORE, "configure", value=self._configuration)

    def start_again(self, node: str) -> None:
        """Start a node that has ended, or end it first."""
        self.processes.end(node)
        self._told_to_end.discard(node)
        path = self._settings_of(node)
        path.write_text(path.read_text().replace("bootstrap = true", "bootstrap = false"))
        self._run_node(node)

    def misbehave(self, server: str, **faults: Any) -> None:
        """Set faults of a server by their names, if it still runs."""
        if self.processes.runs(server):
            self.processes.command(server, "misbehave", **faults)

    def lapse(self, server: str, for_ms: int) -> None:
        """Let a server serve without writing its entry."""
        if self.processes.runs(server):
            self.processes.command(server, "lapse", for_ms=for_ms)

    def set_link(self, name: str, mode: Mode) -> None:
        """Change what the link of a server, or of a node to the store, does."""
        self.processes.command(LINKS, "set", name=name, mode=mode)

    def reset_link(self, name: str) -> None:
        """Reset the open connections of a link."""
        self.processes.command(LINKS, "reset", name=name)

    def ip_of(self, node: str) -> str:
        """Return the address of a node."""
        return f"127.0.0.{10 + int(node.rpartition('-')[2])}"

    def partition(self, node: str, mode: Mode, resets_open: bool) -> None:
        """Partition a node from all servers.

        :param mode: ``SILENT`` leaves new connections without an answer, ``REFUSES`` refuses them.
        :param resets_open: whether open connections are reset, or silent in ``SILENT``; otherwise
            they live on.
        """
        self._partition_of(node).write_text(f"{mode.value} {self._store_ports[node]}")
        if resets_open or mode is Mode.SILENT:
            self.processes.command(
                LINKS, "cut", names=self.servers, caller_ip=self.ip_of(node), mode=mode
            )

    def heal(self, node: str) -> None:
        """End a partition."""
        self._partition_of(node).unlink(missing_ok=True)

    def crowd(self, node: str, count: int, pieces: Callable[[], Iterable[bytes]]) -> Crowd:
        """Let callers come to a node that each send some pieces and stay."""
        crowd = Crowd()
        for _ in range(count):
            crowd.join((self.ip_of(node), self._ports[0]), pieces())
        return crowd

    def _note_memory(self, node: str) -> None:
        status = Path(f"/proc/{self.processes.by_name[node].pid}/status")
        with contextlib.suppress(OSError):
            for line in status.read_text().splitlines():
                if line.startswith("VmHWM"):
                    peak_mb = int(line.split()[1]) >> 10
                    self.peak_mb_by_node[node] = max(self.peak_mb_by_node.get(node, 0), peak_mb)

    def _note_nodes(self) -> None:
        for node in self.nodes:
            if self.processes.runs(node):
                self._note_memory(node)
            elif node not in self._told_to_end:
                self.lost_nodes.append(node)

    def close(self) -> None:
        """End everything."""
        self._note_nodes()
        self.processes.close()

    def _add_node(self, number: int) -> None:
        name = f"node-{number + 1}"
        ip = f"127.0.0.{11 + number}"
        front, ready, control, directory, reports, _ = self._ports
        self._store_ports[name] = free_port()
        store = f"127.0.0.1:{self._store_ports[name]}"
        self.processes.command(LINKS, "add", name=name, listen=store, target=self._store_address)
        self._directories.append(f"{ip}:{directory}")
        settings = NODE_SETTINGS.format(
            name=name,
            ip=ip,
            zone=ZONES[number % len(ZONES)],
            reports=reports,
            seeds=orjson.dumps([f"127.0.0.{11 + n}:{control}" for n in range(3)]).decode(),
            front=f"{ip}:{front}",
            ready=f"{ip}:{ready}",
            control=f"{ip}:{control}",
            directory=f"{ip}:{directory}",
            drain_ms=DRAIN_MS,
            memory_mb=MEMORY_MB,
            max_descriptors=MAX_DESCRIPTORS,
            store=store,
        )
        self._settings_of(name).write_text(settings)
        self._run_node(name)
        self.nodes.append(name)

    def _run_node(self, name: str) -> None:
        self.processes.start(
            name,
            "monsoonflow.platform",
            root=self._node_root,
            environment={
                "MONSOONFLOW_NODE_FILE": str(self._settings_of(name)),
                "MONSOONFLOW_METRICS_PORT": str(self._ports[-1]),
                "PYTHONPATH": f"{self._node_root}{os.pathsep}{NODE_START}",
                "SOAK_NODE_ADDRESS": self.ip_of(name),
                "SOAK_PARTITION_FILE": str(self._partition_of(name)),
            },
        )

    def _partition_of(self, node: str) -> Path:
        return self._folder.resolve() / f"{node}.partition"

    def _settings_of(self, node: str) -> Path:
        return self._folder.resolve() / f"{node}.toml"

    def _add_callers(self, zone: str, per_s: float, seed: int) -> None:
        name = f"callers-{zone}"
        self.callers.append(name)
        self.processes.start(
            name,
            "stand_ins.callers",
            *("--name", name, "--zone", zone, "--host", HOST, "--seed", str(seed)),
            *("--directories", ",".join(self._directories), "--per-s", str(per_s)),
            *("--routes", orjson.dumps(CALLER_ROUTES).decode()),
            *("--keys", orjson.dumps(CUSTOMER_BY_KEY).decode()),
        )

    def _await_ready(self, node: str) -> None:
        url = f"http://127.0.0.{10 + int(node.rpartition('-')[2])}:{self._ports[1]}/v1/readiness"
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            try:
                with urllib.request.urlopen(url, timeout=1):
                    return
            except OSError:
                time.sleep(0.05)
        raise TimeoutError(f"{node} is not ready")

    def _await_record(self, name: str, event: str) -> None:
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            if any(found.event == event for found in self.processes.records(name)):
                return
            time.sleep(0.02)
        raise TimeoutError(f"{name} did not write {event}")
