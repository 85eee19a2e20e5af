"""Starts stand-ins and nodes as separate processes on loopback; for the demo and the tests."""

from __future__ import annotations

import hashlib
import time
from pathlib import Path
from typing import Any

from monsoonflow.helpers.http import Answer, HttpClient
from script.ports import free_port
from script.processes import Processes

NODE_MODULE = "monsoonflow.cli.main"
OPERATOR_TOKEN = "operator-token-0123456789"
NODE_TOKEN = "node-token-0123456789abcd"
BASE_MODEL = "base-1"


def wait_until(condition: Any, seconds: float = 20, what: str = "condition") -> Any:
    """Return the condition's first true value; raise when it stays false."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise TimeoutError(f"{what} did not come true within {seconds} s")


class Fleet:
    """A platform, runners, services and nodes; everything ends with :meth:`close`."""

    def __init__(self, logs: Path, loads_per_second: float = 6.0) -> None:
        self.processes = Processes(logs)
        self.http = HttpClient(10_000)
        self.loads_per_second = loads_per_second
        self.address_by_name: dict[str, str] = {}
        self.runners: dict[str, dict[str, Any]] = {}
        self._node_names: set[str] = set()

    def start_platform(self, vm_lag_ms: int = 500) -> None:
        """Start the table service, the object store, the weight store and the VM list."""
        self._stand_in("table", "stand_ins.table")
        self._stand_in("objects", "stand_ins.objects")
        self._stand_in("vms", "stand_ins.vms", "--lag-ms", str(vm_lag_ms))
        rate = str(self.loads_per_second)
        self._stand_in("weights", "stand_ins.weights", "--loads-per-second", rate)
        for name in ("table", "objects", "vms", "weights"):
            self._await(name, "/_faults")

    def start_runner(self, name: str, *options: str, checks_fencing: bool = True) -> None:
        """Start a model runner."""
        extra = () if checks_fencing else ("--ignores-fencing",)
        weights = self.url("weights")
        self._stand_in(name, "stand_ins.runner", "--weights", weights, *options, *extra)
        self._await(name, "/health")
        self.runners[name] = {
            "runner_id": name,
            "address": self.url(name),
            "base_model": BASE_MODEL,
            "data_centre": "dc-1",
            "checks_fencing": checks_fencing,
            "draining": False,
        }

    def start_service(self, name: str) -> None:
        """Start a server of a plain service."""
        self._stand_in(name, "stand_ins.service")
        self._await(name, "/health")

    def start_node(self, name: str, data_centre: str = "dc-1", **settings: Any) -> None:
        """Start a node; settings are given as environment variables."""
        self._node_names.add(name)
        http = f"127.0.0.1:{free_port()}"
        self.address_by_name[name] = http
        given = {
            "node": name,
            "data-centre": data_centre,
            "http": http,
            "rpc": f"127.0.0.1:{free_port()}",
            "table": self.url("table"),
            "objects": self.url("objects"),
            "vms": self.url("vms"),
            "loads-per-second": self.loads_per_second,
            "operator-token": OPERATOR_TOKEN,
            "node-token": NODE_TOKEN,
            "poll-ms": 300,
            "heartbeat-ms": 250,
            "report-lag-ms": 400,
            "lease-ms": 2000,
            "lease-margin-ms": 400,
            "silence-ms": 3000,
            "address-ttl-ms": 1000,
            **{key.replace("_", "-"): value for key, value in settings.items()},
        }
        environment = {
            f"MONSOONFLOW_{key.upper().replace('-', '_')}": str(value)
            for key, value in given.items()
        }
        self.processes.start(name, NODE_MODULE, "node", environment=environment)

    def await_nodes(self, *names: str) -> None:
        """Wait until nodes take new work and know each other."""
        for name in names:
            wait_until(lambda name=name: self.get(name, "/readyz") is not None, 30, f"{name} ready")
            wait_until(lambda name=name: self._knows(name, len(names)), 30, f"{name} knows others")

    def await_owned(self) -> None:
        """Wait until every runner has an owner that reports it."""

        def owned() -> bool:
            nodes = [name for name in self.address_by_name if name in self._nodes()]
            rows = [row for name in nodes for row in self.status(name)["runners"]]
            return {row["runner"] for row in rows if "queued" in row} >= set(self.runners)

        wait_until(owned, 30, "all runners owned")
        time.sleep(0.6)

    def url(self, name: str) -> str:
        """Return the URL of a process."""
        return f"http://{self.address_by_name[name]}"

    def get(self, name: str, path: str, token: str = OPERATOR_TOKEN) -> Any | None:
        """Return a decoded answer, or ``None`` when it was not 200."""
        result = self.http.call(
            "GET", self.url(name) + path, headers={"Authorization": f"Bearer {token}"}
        )
        return result.json() if isinstance(result, Answer) and result.status == 200 else None

    def post(self, name: str, path: str, data: Any = None, token: str = OPERATOR_TOKEN) -> Any:
        """Return the result of a POST."""
        headers = {"Authorization": f"Bearer {token}"}
        return self.http.call("POST", self.url(name) + path, data or {}, headers)

    def status(self, name: str) -> Any:
        """Return a node's status."""
        return self.get(name, "/v1/status")

    def apply(self, node: str, intent: dict[str, Any]) -> dict[str, Any]:
        """Post an intent and confirm its plan."""
        made = self.post(node, "/v1/intents", intent)
        if made.status != 200:
            raise AssertionError(made.json())
        confirmed = self.post(node, f"/v1/plans/{made.json()['plan_id']}/confirm")
        if confirmed.status != 200:
            raise AssertionError(confirmed.json())
        plan_id = confirmed.json()["plan_id"]

        def done() -> Any:
            plan = self.get(node, f"/v1/plans/{plan_id}") or {"steps": [{}]}
            at_once = [step for step in plan["steps"] if not step.get("not_before_unix_ms")]
            return plan if all(step.get("done") for step in at_once) else None

        return wait_until(done, 15, f"the steps of plan {plan_id} that are due at once")

    def apply_runners(self, node: str) -> None:
        """Bring every started runner into the configuration."""
        for runner in self.runners.values():
            self.apply(node, {"kind": "put_runner", "runner": runner})

    def bring_in(self, node: str, customer: str, adapters: int, **extra: Any) -> dict[str, Any]:
        """Bring in a customer with adapters ``CUSTOMER-N`` at versions 1 and 2, 2 in force."""
        intent = bring_in_intent(customer, adapters, **extra)
        return self.apply(node, intent)

    def await_in_force(self, *nodes: str) -> int:
        """Wait until the newest version is in force in all the nodes."""

        def in_force() -> int | None:
            versions = [self.status(node)["config_version"] for node in nodes]
            return max(versions) if len(set(versions)) == 1 else None

        return wait_until(in_force, 15, "configuration in force")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this fleet started."""
        self.processes.signal(name, number)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes.end(name)

    def stop(self, name: str, seconds: float = 60) -> int:
        """Stop a process gracefully and return its exit code."""
        return self.processes.stop(name, seconds)

    def log(self, name: str) -> str:
        """Return what a process logged."""
        return self.processes.errors(name)

    def pid(self, name: str) -> int:
        """Return a process's number."""
        return self.processes.by_name[name].pid

    def close(self) -> None:
        """End every process that this fleet started."""
        self.processes.close()

    def _nodes(self) -> set[str]:
        return {name for name in self._node_names if self.processes.runs(name)}

    def _knows(self, name: str, count: int) -> bool:
        status = self.status(name)
        return status is not None and len(status["nodes"]) >= count

    def _stand_in(self, name: str, module: str, *options: str) -> None:
        address = f"127.0.0.1:{free_port()}"
        self.address_by_name[name] = address
        self.processes.start(name, module, "--listen", address, *options)

    def _await(self, name: str, path: str) -> None:
        def answers() -> bool:
            result = self.http.call("GET", self.url(name) + path)
            return isinstance(result, Answer)

        wait_until(answers, 20, f"{name} answers")


def bring_in_intent(customer: str, adapters: int, group: str = "") -> dict[str, Any]:
    """Return the intent that brings in a customer."""
    return {
        "kind": "bring_in",
        "customer": {
            "name": customer,
            "key_sha256": hashlib.sha256(customer_key(customer).encode()).hexdigest(),
            "weight": 1.0,
            "group": group,
        },
        "adapters": [
            {
                "name": f"{customer}-{number}",
                "base_model": BASE_MODEL,
                "versions": [1, 2],
                "current": 2,
                "closing": [],
            }
            for number in range(adapters)
        ],
    }


def customer_key(customer: str) -> str:
    """Return a customer's bearer key."""
    return f"key-of-{customer}-0123456789"
