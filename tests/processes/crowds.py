"""Callers that nobody controls, and an entry node as a process of its own on loopback."""

from __future__ import annotations

import contextlib
import os
import resource
import socket
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import attrs

from script.fleet import wait_until
from script.ports import free_port
from soak.const import DRAIN_MS
from soak.fleet import NODE_SETTINGS
from soak.processes import CommandedProcesses
from stand_ins.configuration import LIMITS, configuration, route

HOST: Final = "h.example"
MEMORY_MB: Final = 128
MAX_DESCRIPTORS: Final = 1_024
IP: Final = "127.0.0.1"
LISTENERS: Final = ("callers", "ready", "peers", "directory", "reports", "metrics")
SEND_TIMEOUT_S: Final = 10
ANSWER_TIMEOUT_S: Final = 30
SETTLE_TIMEOUT_S: Final = 60
QUIET_S: Final = 0.5
QUIET_TICKS: Final = 3
LONG_WORK_MS: Final = 15_000
ORDINARY: Final = (
    b"POST /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ordinary\r\n"
    b"X-Deadline-Ms: 20000\r\nContent-Length: 20000\r\n\r\n" + b"x" * 20_000
)


@attrs.define(eq=False, repr=False)
class CrowdedNode:
    """An entry node, a server behind it, and the connections of its callers."""

    processes: CommandedProcesses
    folder: Path
    memory_mb: int = MEMORY_MB
    max_descriptors: int = MAX_DESCRIPTORS
    port_by_name: dict[str, int] = attrs.Factory(lambda: {name: free_port() for name in LISTENERS})
    open_connections: list[socket.socket] = attrs.Factory(list)

    def start(self, **limits: int) -> None:
        """Start the store, a server and the node, and wait until the node is ready.

        :param limits: what callers may send, as in the operator's configuration.
        """
        store = f"{IP}:{free_port()}"
        self.processes.start(
            "store", "stand_ins.store_process", "--listen", store, "--heartbeat-ms", "500"
        )
        routes = [route("look", HOST, "idempotent", "plain", timeoutMs=20_000)]
        written: dict[str, Any] = configuration(routes, "m")
        written["limits"] = {**LIMITS, **limits}
        self.processes.command("store", "configure", value=written)
        server = f"{IP}:{free_port()}"
        self.processes.start(
            "server",
            "stand_ins.server_process",
            *("--id", "i-1", "--listen", server, "--told-address", server, "--service", "plain"),
            *("--zone", "zone-1", "--store", store, "--heartbeat-ms", "500"),
            *("--work-ms", "1"),
        )
        settings = self.folder / "n1.toml"
        settings.write_text(
            NODE_SETTINGS.format(
                name="n1",
                ip=IP,
                zone="zone-1",
                reports=self.port_by_name["reports"],
                seeds=[],
                front=self._address_of("callers"),
                ready=self._address_of("ready"),
                control=self._address_of("peers"),
                directory=self._address_of("directory"),
                drain_ms=DRAIN_MS,
                store=store,
                memory_mb=self.memory_mb,
                max_descriptors=self.max_descriptors,
            )
        )
        environment = {
            "MONSOONFLOW_NODE_FILE": str(settings),
            "MONSOONFLOW_METRICS_PORT": str(self.port_by_name["metrics"]),
        }
        self.processes.start("node", "monsoonflow.platform", environment=environment)
        resource.prlimit(
            self.process_id, resource.RLIMIT_NOFILE, (self.max_descriptors, self.max_descriptors)
        )
        wait_until(lambda: self.answers_ordinary_request(5), 30, "the node's first answer")

    def _address_of(self, listener: str) -> str:
        return f"{IP}:{self.port_by_name[listener]}"

    @property
    def process_id(self) -> int:
        """Return the process id of the node."""
        return self.processes.by_name["node"].pid

    def connect(self, listener: str = "callers") -> socket.socket:
        """Return a connection to one of the node's listeners."""
        return socket.create_connection((IP, self.port_by_name[listener]), timeout=SEND_TIMEOUT_S)

    def send(self, pieces: Iterable[bytes], listener: str = "callers") -> None:
        """Send what a caller sends, as far as the node takes it, and keep the connection open."""
        with contextlib.suppress(OSError):
            connection = self.connect(listener)
            self.open_connections.append(connection)
            for piece in pieces:
                connection.sendall(piece)

    def exchange(self, data: bytes, timeout_s: float = ANSWER_TIMEOUT_S) -> bytes:
        """Send a request over a new connection and return the first bytes of the answer."""
        with self.connect() as connection:
            connection.sendall(data)
            connection.settimeout(timeout_s)
            return connection.recv(65_536)

    def answers_ordinary_request(self, timeout_s: float = ANSWER_TIMEOUT_S) -> bool:
        """Return whether one request of an ordinary caller is served."""
        with contextlib.suppress(OSError):
            return self.exchange(ORDINARY, timeout_s).startswith(b"HTTP/1.1 200")
        return False

    def peak_mb(self) -> float:
        """Return the most memory that the node has used."""
        status = Path(f"/proc/{self.process_id}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if "VmHWM" in line) / 1024

    def descriptors(self) -> int:
        """Return how many descriptors the node has open."""
        return len(os.listdir(f"/proc/{self.process_id}/fd"))

    def processor_ticks(self) -> int:
        """Return how much processor time the node has used."""
        fields = Path(f"/proc/{self.process_id}/stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])

    def settle(self) -> None:
        """Wait until the node has taken what was sent: it uses hardly any processor time then."""
        wait_until(self._is_quiet, SETTLE_TIMEOUT_S, "a quiet node")

    def _is_quiet(self) -> bool:
        before = self.processor_ticks()
        time.sleep(QUIET_S)
        return self.processor_ticks() - before <= QUIET_TICKS

    def let_requests_wait(self) -> None:
        """Let the server work for long on each later request."""
        self.processes.command("server", "misbehave", slow_ms=LONG_WORK_MS)

    def let_requests_run(self) -> None:
        """Let the server answer at once, and wait until it has done so."""
        self.processes.command("server", "misbehave", slow_ms=1)
        wait_until(lambda: self.answers_ordinary_request(5), 60, "an answer of the server")

    def send_and_read(self, requests: list[bytes]) -> None:
        """Send requests over one connection and read the answer to each."""
        with contextlib.suppress(OSError), self.connect() as connection:
            for request in requests:
                connection.sendall(request)
                if not connection.recv(65_536):
                    return

    def close_all(self) -> None:
        """Let the crowd leave."""
        for connection in self.open_connections:
            connection.close()
        self.open_connections.clear()
