"""Kills, freezes, silent connections and rolling replacement, with real processes."""

from __future__ import annotations

import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from monsoonflow.client import Client
from monsoonflow.core.outcome import Done, NotRun, Unknown
from script.fleet import Fleet, customer_key, wait_until
from script.ports import free_port
from stand_ins.text import expected_text

pytestmark = pytest.mark.processes
NODES = ("n1", "n2", "n3")


def start(fleet: Fleet, nodes=NODES, runners=2, **options) -> None:
    """Start a platform, runners and nodes, and bring in a customer."""
    fleet.loads_per_second = 20
    fleet.start_platform()
    for number in range(runners):
        fleet.start_runner(f"m{number}", "--step-ms", "10", "--lag-ms", "200", **options)
    for name in nodes:
        fleet.start_node(name)
    fleet.await_nodes(*nodes)
    fleet.apply_runners(nodes[0])
    fleet.bring_in(nodes[0], "acme", 6)
    fleet.await_in_force(*nodes)
    fleet.await_owned()


def client_of(fleet: Fleet, nodes=NODES) -> Client:
    """Return a client that knows some nodes."""
    return Client([fleet.url(name) for name in nodes], customer_key("acme"))


def send_many(client, count, tokens, repeatable=True, spread_s=0.0):
    """Send requests side by side; return a function that waits for their replies."""
    pool = ThreadPoolExecutor(count)

    def one(number):
        time.sleep(spread_s * number / count)
        prompt = f"prompt {number}"
        model = f"acme-{number % 6}"
        return prompt, client.complete(model, prompt, tokens, repeatable, deadline_ms=30_000)

    futures = [pool.submit(one, number) for number in range(count)]
    return lambda: [future.result(60) for future in futures]


def runs_of(fleet: Fleet, runners=2) -> dict[str, int]:
    """Return how often each request ran, by the engines' own records."""
    runs: dict[str, int] = {}
    for number in range(runners):
        for name, count in fleet.get(f"m{number}", "/_records")["runs_by_request"].items():
            runs[name] = runs.get(name, 0) + count
    return runs


def owner_of(fleet: Fleet, runner: str) -> str:
    """Return the node that owns a runner."""
    return next(row["owner"] for row in fleet.status("n1")["runners"] if row["runner"] == runner)


def test_killed_node_loses_no_repeatable_request(fleet):
    """The owner of a runner is killed under load; callers see whole answers.

    The lease lapses, a named successor claims with a higher fencing number, waits out the report
    lag, adopts what still runs, and repeatable requests are sent again.
    """
    start(fleet)
    replies = send_many(client_of(fleet), 40, 60, spread_s=2.0)
    time.sleep(1.0)
    victim = owner_of(fleet, "m0")
    fleet.kill(victim)
    ended = replies()
    lost = [reply for _, reply in ended if not isinstance(reply.outcome, Done)]
    with_text = [reply for reply in lost if reply.text]
    assert lost == with_text, lost
    for prompt, reply in ended:
        if reply.done:
            assert reply.text == expected_text(reply.model, prompt, 60)
    assert all(fleet.get(f"m{n}", "/_records")["evicted_in_use"] == 0 for n in range(2))


def test_killed_node_doubles_nothing(fleet):
    """The owner of a runner is killed under load of requests that may run at most once.

    A caller whose first try reached the dead node is told ``unknown`` by the others: they can't
    know whether it ran. None runs twice; "not run" is said only of what has no run on record.
    """
    start(fleet)
    replies = send_many(client_of(fleet), 40, 60, repeatable=False, spread_s=2.0)
    time.sleep(1.0)
    fleet.kill(owner_of(fleet, "m0"))
    ended = replies()
    runs = runs_of(fleet)
    assert max(runs.values()) == 1
    for _, reply in ended:
        if isinstance(reply.outcome, NotRun):
            assert reply.request_id not in runs
    assert sum(1 for _, reply in ended if reply.done) >= 10
    assert any(isinstance(reply.outcome, Unknown) for _, reply in ended) or all(
        reply.done for _, reply in ended
    )


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_owner_frozen_past_its_lease_evicts_nothing_in_use(fleet, checks_fencing):
    """The owner of a runner is stopped (SIGSTOP) for longer than its lease and wakes under load.

    A successor owns the runner by then. The old owner looks at its clock before each send, finds
    its lease lapsed and sends nothing; an engine that checks fencing numbers would refuse it too.
    """
    start(fleet, checks_fencing=checks_fencing)
    frozen = owner_of(fleet, "m0")
    others = [name for name in NODES if name != frozen]
    client = client_of(fleet, others)
    send_many(client, 6, 5)()
    fleet.signal(frozen, signal.SIGSTOP)
    replies = send_many(client, 40, 40, spread_s=6.0)
    wait_until(
        lambda: any(
            row["runner"] == "m0" and row["owner"] not in (None, frozen) and "queued" in row
            for name in others
            for row in fleet.status(name)["runners"]
        ),
        20,
        "another node owns m0",
    )
    fleet.signal(frozen, signal.SIGCONT)
    ended = replies()
    assert all(reply.done for _, reply in ended), [r for _, r in ended if not r.done]
    assert all(fleet.get(f"m{n}", "/_records")["evicted_in_use"] == 0 for n in range(2))
    wait_until(lambda: fleet.status(frozen)["lease_held"], 10, "the woken node holds a new lease")


def test_table_outage_longer_than_the_lease_stops_nothing(fleet):
    """The table service is down for three leases while requests come.

    Renewals fail; each holder is carried by its successors' promises and goes on to load, evict and
    serve. Nobody claims, and no runner changes its owner.
    """
    start(fleet)
    before = {row["runner"]: row["owner"] for row in fleet.status("n1")["runners"]}
    fleet.post("table", "/_faults", {"down": True})
    ended = send_many(client_of(fleet), 30, 20, spread_s=6.0)()
    assert all(reply.done for _, reply in ended), [r for _, r in ended if not r.done]
    refused = fleet.post("n1", "/v1/intents", {"kind": "drain_runner", "runner_id": "m0"})
    assert refused.status == 503
    fleet.post("table", "/_faults", {"down": False})
    time.sleep(1.5)
    assert {row["runner"]: row["owner"] for row in fleet.status("n1")["runners"]} == before


def test_graceful_stop_under_load_cuts_nothing(fleet):
    """A node gets SIGTERM with streams in progress; two stop at once.

    New work goes elsewhere at once, ownership is handed over, the old streams end on the old nodes,
    which then leave with exit code 0.
    """
    start(fleet)
    replies = send_many(client_of(fleet), 60, 120, spread_s=1.0)
    time.sleep(1.2)
    for name in ("n1", "n2"):
        fleet.signal(name, signal.SIGTERM)
    codes = [fleet.processes.by_name[name].wait(40) for name in ("n1", "n2")]
    ended = replies()
    assert codes == [0, 0]
    assert all(reply.done for _, reply in ended), [r for _, r in ended if not r.done]
    for prompt, reply in ended:
        assert reply.text == expected_text(reply.model, prompt, 120)
    assert max(runs_of(fleet).values()) == 1


def test_all_nodes_replaced_one_after_the_other(fleet):
    """All nodes are replaced in turn under steady load of requests that run at most once.

    Each new node joins before the next old one stops; nothing is lost, doubled or cut.
    """
    start(fleet)
    nodes = list(NODES)
    client = client_of(fleet)
    replies = send_many(client, 90, 25, repeatable=False, spread_s=12.0)
    for number, name in enumerate(NODES):
        fresh = f"new{number}"
        fleet.start_node(fresh)
        nodes.append(fresh)
        fleet.await_nodes(fresh)
        assert fleet.stop(name, 40) == 0
        nodes.remove(name)
        time.sleep(0.5)
    ended = replies()
    assert all(reply.done for _, reply in ended), [r for _, r in ended if not r.done]
    assert max(runs_of(fleet).values()) == 1


class SilentForwarder:
    """Forwards bytes to an address until told to fall silent; then open connections hang."""

    def __init__(self, target: str) -> None:
        host, _, port = target.partition(":")
        self._target = (host, int(port))
        self.port = free_port()
        self._quiet: set[int] = set()
        self._open: list[int] = []
        self._listener = socket.create_server(("127.0.0.1", self.port))
        threading.Thread(target=self._accept, daemon=True).start()

    def fall_silent(self) -> None:
        """Let every connection that is open now pass nothing any more."""
        self._quiet |= set(self._open)

    def close(self) -> None:
        """Stop to listen."""
        self._listener.close()

    def _accept(self) -> None:
        number = 0
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            number += 1
            self._open.append(number)
            server = socket.create_connection(self._target)
            for source, sink in ((caller, server), (server, caller)):
                threading.Thread(
                    target=self._pump, args=(source, sink, number), daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket, number: int) -> None:
        try:
            while data := source.recv(65_536):
                if number in self._quiet:
                    continue
                sink.sendall(data)
            if number not in self._quiet:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


@pytest.mark.parametrize("between", ["caller and node", "node and runner"])
@pytest.mark.parametrize("repeatable", [True, False])
def test_connection_that_falls_silent_is_resumed(fleet, between, repeatable):
    """Something between two ends forgets open connections in the middle of an answer.

    Both sockets stay open for good and nothing arrives. The reader sees no byte, not even a
    keep-alive, for the bound, opens another connection and reads on: the text is the same.
    """
    fleet.loads_per_second = 20
    fleet.start_platform()
    fleet.start_runner("m0", "--step-ms", "20")
    forwarder = SilentForwarder(fleet.address_by_name["m0"])
    if between == "node and runner":
        fleet.runners["m0"]["address"] = f"http://127.0.0.1:{forwarder.port}"
    fleet.start_node("n1", silence_ms=1500)
    fleet.await_nodes("n1")
    fleet.apply_runners("n1")
    fleet.bring_in("n1", "acme", 1)
    fleet.await_owned()
    client = client_of(fleet, ("n1",))
    client.complete("acme-0", "warm", 2)
    if between == "caller and node":
        forwarder.close()
        forwarder = SilentForwarder(fleet.address_by_name["n1"])
        address = f"127.0.0.1:{forwarder.port}"
        lookup = client._transport.lookup
        client._transport.lookup = lambda seed, model: _renamed(lookup(seed, model), address)
        client._found_by_model.clear()
    pool = ThreadPoolExecutor(1)
    future = pool.submit(client.complete, "acme-0", "long", 150, repeatable, "key-1", 30_000)
    time.sleep(1.0)
    forwarder.fall_silent()
    reply = future.result(40)
    forwarder.close()
    assert isinstance(reply.outcome, Done), reply
    assert reply.text == expected_text("acme-0@2", "long", 150)
    assert max(runs_of(fleet, 1).values()) == 1


def _renamed(found, address):
    from monsoonflow.client.models import Address
    from monsoonflow.client.transport import Found

    entries = [Address(address, entry.home) for entry in found.addresses]
    return Found(entries, found.good_for_ms)


def test_leaving_runner_gets_no_new_work(fleet):
    """A runner says that it leaves, under load, and comes back later under another boot id.

    Within the time of a health check no new request reaches it; those that run there end; after it
    has come back it is used again.
    """
    start(fleet)
    client = client_of(fleet)
    send_many(client, 12, 5)()
    fleet.post("m0", "/_do", {"leave": True})
    time.sleep(2.0)
    before = sum(fleet.get("m0", "/_records")["runs_by_request"].values())
    ended = send_many(client, 30, 5, spread_s=2.0)()
    assert all(reply.done for _, reply in ended)
    assert sum(fleet.get("m0", "/_records")["runs_by_request"].values()) == before
    fleet.post("m0", "/_do", {"leave": False, "restart": True})
    time.sleep(2.0)
    send_many(client, 30, 5)()
    assert sum(fleet.get("m0", "/_records")["runs_by_request"].values()) > before


def test_runner_on_the_vm_list_gets_no_new_work(fleet):
    """Only the VM list, which lags, says that a runner's VM leaves."""
    start(fleet)
    client = client_of(fleet)
    leaving = fleet.runners["m0"]["address"]
    fleet.post("vms", "/_vms", {"live": [], "leaving": [leaving]})
    time.sleep(3.0)
    before = sum(fleet.get("m0", "/_records")["runs_by_request"].values())
    ended = send_many(client, 20, 5, spread_s=1.0)()
    assert all(reply.done for _, reply in ended)
    assert sum(fleet.get("m0", "/_records")["runs_by_request"].values()) == before


def test_engine_that_serves_its_base_model_is_caught(fleet):
    """An engine answers under an adapter's name with its base model, twice.

    The echo in the head of the answer gives it away before a chunk is taken; the request is offered
    again and the caller's text is the adapter's.
    """
    start(fleet, runners=1)
    client = client_of(fleet)
    client.complete("acme-0", "warm", 2)
    fleet.post("m0", "/_do", {"wrong_echo": 2})
    reply = client.complete("acme-0", "read this", 9)
    assert isinstance(reply.outcome, Done), reply
    assert reply.text == expected_text("acme-0@2", "read this", 9)
