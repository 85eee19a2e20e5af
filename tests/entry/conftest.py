"""Fixtures: real entry daemons on loopback in one process, with stand-ins for all else."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import attrs
import gevent
import pytest
from gevent import config

config.resolver = "block"

import stand_ins.configuration  # noqa: E402
from monsoonflow.core.clock import MonotonicClock  # noqa: E402
from monsoonflow.entry.daemon import EntryDaemon  # noqa: E402
from monsoonflow.entry.settings import EntrySettings, PeerBounds  # noqa: E402
from monsoonflow.helpers.gevent_tasks import GeventTasks  # noqa: E402
from monsoonflow.platform.outside import PlatformOutside  # noqa: E402
from monsoonflow.transport.client import Answer, ConnectionPools, call  # noqa: E402
from script.ports import free_port  # noqa: E402
from stand_ins.platform_runner import PlatformRunner, PlatformServer  # noqa: E402
from stand_ins.platform_store import PlatformStore  # noqa: E402

HOST = "h.example"
MODEL = "m"
WAIT_S = 6.0


class KillableTasks(GeventTasks):
    """Tasks that can all be killed at once, as when their process is killed."""

    def __init__(self) -> None:
        self.spawned: list[gevent.Greenlet] = []

    def spawn(self, function: Callable, *arguments: Any) -> gevent.Greenlet:
        """Start a task and remember it for a kill."""
        greenlet = super().spawn(function, *arguments)
        self.spawned.append(greenlet)
        return greenlet


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return stand_ins.configuration.route(name, HOST, kind, service, **changes)


CONFIG: dict[str, Any] = stand_ins.configuration.configuration(
    [
        route("look", "idempotent", "plain"),
        route("write", "non_idempotent", "plain", attempts=1),
        route("read", "stream", "llm", resumable=True, gapAimMs=400),
        route("once", "stream", "llm", resumable=False, attempts=1, gapAimMs=400),
    ],
    MODEL,
)


def wait_for(condition: Callable[[], Any], within_s: float = WAIT_S) -> Any:
    """Wait until a condition holds, and return its value."""
    with gevent.Timeout(within_s):
        while not (value := condition()):
            gevent.sleep(0.01)
    return value


@attrs.define
class Node:
    """One entry daemon and its tasks."""

    daemon: EntryDaemon
    tasks: KillableTasks

    @property
    def address(self) -> str:
        """Return the address that callers connect to."""
        return self.daemon.settings.callers_address

    def kill(self) -> None:
        """End the node as a killed process ends: it announces nothing."""
        for port in self.daemon.ports.all():
            port.stop_listening()
        gevent.killall(self.tasks.spawned, block=False)
        self.daemon.gossip.close()


@attrs.define
class Fleet:
    """Entry nodes, and the stand-ins for the store and the backend servers."""

    store: PlatformStore
    bounds: PeerBounds = PeerBounds(lease_ms=900, fenced=True, retry_reserve=54)
    nodes: list[Node] = attrs.Factory(list)
    servers: list[PlatformServer] = attrs.Factory(list)
    first_start: bool = True
    ports: tuple[int, ...] = attrs.Factory(lambda: tuple(free_port() for _ in range(6)))
    nodes_started: int = 0

    def configure(self, **changes: Any) -> None:
        """Write the operator's configuration."""
        self.store.put("op", "config", {**CONFIG, **changes})

    def plain(self, name: str) -> PlatformServer:
        """Add a backend server of the plain service."""
        return self._add(PlatformServer(name, f"127.0.0.1:{free_port()}", "plain"))

    def runner(
        self, name: str, slots: int = 3, software_version: str = "v1", service: str = "llm"
    ) -> PlatformRunner:
        """Add a model runner, or a server of a plain service that answers with streams."""
        model = MODEL if service == "llm" else None
        runner = PlatformRunner(name, f"127.0.0.1:{free_port()}", service, model, slots)
        runner.software_version = software_version
        return self._add(runner)

    def _add(self, server: Any) -> Any:
        server.start()
        self.servers.append(server)
        self.store.put("servers", server.server_id, server.entry())
        return server

    def node(self, seeds: tuple[str, ...] = (), store_address: str | None = None) -> Node:
        """Add an entry node and wait until it is ready.

        :param store_address: where it reaches the store, if not directly.
        """
        self.nodes_started += 1
        ip = f"127.0.0.{10 + self.nodes_started}"
        callers, ready, directory, peers, reports, metrics = (f"{ip}:{port}" for port in self.ports)
        settings = EntrySettings(
            f"n{self.nodes_started}",
            ip,
            "zone-1",
            callers,
            ready,
            directory,
            peers,
            reports,
            metrics,
            store_address or self.store.address,
            self.bounds,
            seeds,
            first_start=self.first_start,
        )
        tasks = KillableTasks()
        daemon = EntryDaemon(settings, PlatformOutside(settings, MonotonicClock()), tasks=tasks)
        assert daemon.start()
        node = Node(daemon, tasks)
        self.nodes.append(node)
        wait_for(daemon.is_ready)
        return node

    def holder(self) -> Node:
        """Wait until a node holds the cell lease of the runners, and return that node."""

        def find_holder() -> Node | None:
            for node in self.nodes:
                lease = node.daemon.cell_leases.lease_of("llm")
                if lease is not None and lease.scheduler is not None:
                    return node
            return None

        return wait_for(find_holder)

    def ask(
        self,
        node: Node,
        target: str,
        request_id: str,
        body: bytes = b"",
        method: str = "POST",
        deadline_ms: int = 2_000,
        **headers: str,
    ) -> Answer:
        """Send a request to a node."""
        sent_headers = [
            (b"X-Request-Id", request_id.encode()),
            (b"X-Deadline-Ms", str(deadline_ms).encode()),
            *((name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()),
        ]
        pools = ConnectionPools(MonotonicClock())
        answer = call(
            pools,
            node.address,
            method,
            target,
            body,
            max(5_000, deadline_ms),
            tuple(sent_headers),
            host=HOST,
        )
        assert isinstance(answer, Answer), answer
        return answer

    def generate(
        self,
        node: Node,
        adapter: str,
        request_id: str,
        path: str = "read",
        deadline_ms: int = 2_000,
    ) -> Answer:
        """Send a request for a generation with an adapter."""
        return self.ask(
            node,
            f"/{path}/x",
            request_id,
            b"prompt",
            deadline_ms=deadline_ms,
            X_Model=f"{MODEL}/{adapter}",
            X_Token_Count="100,20",
        )

    def end(self) -> None:
        """Stop all nodes, servers and the store."""
        for node in self.nodes:
            node.kill()
        for server in self.servers:
            server.stop()
        self.store.stop()


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Yield a fleet with a store and the default configuration."""
    store = PlatformStore(f"127.0.0.1:{free_port()}")
    store.start()
    new_fleet = Fleet(store)
    new_fleet.configure()
    with gevent.Timeout(40):
        yield new_fleet
    new_fleet.end()
