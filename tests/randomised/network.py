"""The network between nodes and from callers, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import attrs
import orjson

from monsoonflow.address.node_order import order_nodes
from monsoonflow.backend.models import (
    Began,
    Broken,
    Chunk,
    Cut,
    Ended,
    Refused,
    StreamEvent,
    Unclear,
)
from monsoonflow.client.models import Address
from monsoonflow.client.transport import Found
from monsoonflow.core.adapter import parse_model
from monsoonflow.core.outcome import Done, NotRun, Outcome, Unknown
from monsoonflow.node.assembly import Node
from monsoonflow.node.context import home_of
from monsoonflow.node.intake import Arrival, Rejected
from monsoonflow.node.router import owner_for
from monsoonflow.node.served import Served
from monsoonflow.request.models import Terms
from monsoonflow.request.parse import Completion, parse_completion, parse_terms
from monsoonflow.rpc import control_pb2 as pb

from .fakes import CALL_TIMEOUT_MS, KEEP_ALIVE_MS, Channel, Weather
from .virtual import VirtualTasks, World


@attrs.define(eq=False)
class Process:
    """One node process in the world."""

    name: str
    tasks: VirtualTasks
    node: Node = None  # type: ignore[assignment]
    stopped: bool = False


class Network:
    """Finds processes by address and carries what is sent to them."""

    def __init__(self, world: World, weather: Weather) -> None:
        self.world, self.weather = world, weather
        self.process_by_address: dict[str, Process] = {}
        self.channels: list[Channel] = []

    def reach(self, sender: str, address: str) -> Process | None:
        """Return the live process at an address, if the sender reaches it."""
        process = self.process_by_address.get(address)
        if process is None or process.tasks.dead:
            return None
        if frozenset((sender, process.name)) in self.weather.cut_pairs:
            return None
        return process

    def call(self, tasks: VirtualTasks, sender: str, address: str, handle: Any) -> Any:
        """Call a process and wait for its answer; ``None`` when none comes."""
        box: list[Any] = []
        flag = tasks.flag()

        def answer(process: Process) -> None:
            result = handle(process)
            if not self.weather.loses():
                delay = self.weather.delay_ms()
                self.world.later(delay, lambda: (box.append(result), flag.set()))

        def arrive() -> None:
            process = self.reach(sender, address)
            if process is not None:
                process.tasks.deliver(lambda: answer(process))

        self.world.later(self.weather.delay_ms(), arrive)
        flag.wait(CALL_TIMEOUT_MS)
        return box[0] if box else None

    def stream(
        self, tasks: VirtualTasks, sender: str, address: str, serve: Any
    ) -> Iterator[StreamEvent]:
        """Open a stream to a process and yield its events."""
        if self.reach(sender, address) is None:
            tasks.sleep(5)
            yield Cut("refused", sent=False)
            return
        channel = Channel(self.world, self.weather, tasks)
        self.channels = [entry for entry in self.channels if not entry.closed] + [channel]

        def arrive() -> None:
            process = self.reach(sender, address)
            if process is None:
                channel.cut()
            else:
                process.tasks.deliver(lambda: process.tasks.spawn(serve, process, channel))

        self.world.later(self.weather.delay_ms(), arrive)
        yield from channel.read()


def end_event(outcome: Outcome | None) -> StreamEvent:
    """Return the event that tells an outcome."""
    match outcome:
        case Done(chunks=count, digest=digest):
            return Ended(count, digest)
        case NotRun(reason=reason, retry_after_ms=retry_after_ms, status=status):
            return Refused(reason, retry_after_ms, status)
        case Unknown(reason=reason):
            return Unclear(reason)
        case _:
            return Broken(getattr(outcome, "reason", ""))


def serve_completion(process: Process, channel: Channel, arrival: Arrival) -> None:
    """Do what the HTTP surface does with a completion."""
    admitted = process.node.intake.admit(arrival)
    if isinstance(admitted, Rejected):
        channel.push(end_event(admitted.outcome))
    else:
        send_answer(process, channel, admitted, 0)


def send_answer(process: Process, channel: Channel, served: Served, index: int) -> None:
    """Stream an answer from an index on."""
    while served.awaits_version() and not served.life.ended:
        served.signal.wait(KEEP_ALIVE_MS)
        channel.push(None)
    if not served.life.chunks and served.life.ended and not isinstance(served.outcome, Done):
        channel.push(end_event(served.outcome))
        return
    channel.push(Began(str(served.life.terms.adapter), "", served.request_id))
    for item in served.read(index, process.node.context.clock, KEEP_ALIVE_MS):
        if channel.closed:
            return
        channel.push(Chunk(*item) if item is not None else None)
    channel.push(end_event(served.outcome))


class ControlFake:
    """One node's control calls."""

    def __init__(self, network: Network, tasks: VirtualTasks, sender: str) -> None:
        self._network, self._tasks, self._sender = network, tasks, sender

    def heartbeat(self, address: str, report: pb.NodeReport) -> pb.NodeReport | None:
        """Exchange reports with a node."""
        return self._call(address, lambda process: process.node.control.on_heartbeat(report))

    def promise(self, address: str, holder: str, for_ms: int) -> bool:
        """Ask for a promise."""
        return bool(
            self._call(address, lambda process: process.node.control.on_promise(holder, for_ms))
        )

    def hand_over(self, address: str, request: pb.HandOverRequest) -> bool:
        """Hand a runner over."""
        return bool(self._call(address, lambda process: process.node.control.on_hand_over(request)))

    def grant_load(self, address: str, request: pb.GrantRequest) -> pb.GrantReply | None:
        """Ask for a load."""

        def handle(process: Process) -> pb.GrantReply:
            wish = process.node.control.on_grant(request)
            return pb.GrantReply(granted=wish is not None, wish=wish or 0)

        return self._call(address, handle)

    def changes(self, address: str, after_version: int) -> pb.ChangesReply | None:
        """Fetch configuration changes."""
        return self._call(address, lambda process: process.node.control.on_changes(after_version))

    def _call(self, address: str, handle: Any) -> Any:
        return self._network.call(self._tasks, self._sender, address, handle)


class RelayFake:
    """One node's relayed requests."""

    def __init__(self, network: Network, tasks: VirtualTasks, sender: str) -> None:
        self._network, self._tasks, self._sender = network, tasks, sender

    def run(
        self,
        address: str,
        terms: Terms,
        data: dict,
        attempt: int,
        time_left_ms: int,
        keyed: dict[str, str] | None = None,
    ) -> Iterator[StreamEvent]:
        """Send a request to another node."""
        headers = {
            **{name.lower(): value for name, value in (keyed or {}).items()},
            "x-monsoonflow-repeatable": "true" if terms.repeatable else "false",
            "x-monsoonflow-deadline-ms": str(time_left_ms),
        }
        model = str(terms.adapter) if keyed is None else data["model"]
        arrival = Arrival(
            terms.customer,
            _completion(data, model),
            parse_terms(headers),
            relayed_id=f"{terms.request_id}.{attempt}",
            hop=keyed is None,
        )
        yield from self._network.stream(
            self._tasks,
            self._sender,
            address,
            lambda process, channel: serve_completion(process, channel, arrival),
        )

    def resume(
        self, address: str, customer: str, request_id: str, from_index: int
    ) -> Iterator[StreamEvent]:
        """Go on with a relayed request."""
        yield from resume(self._network, self._tasks, self._sender, address, request_id, from_index)


class CallerTransport:
    """One caller's calls."""

    def __init__(self, network: Network, tasks: VirtualTasks, customer: str) -> None:
        self._network, self._tasks, self._customer = network, tasks, customer

    def lookup(self, seed: str, model: str) -> Found | None:
        """Ask a node which nodes to use."""
        address = seed.removeprefix("http://")
        return self._network.call(
            self._tasks, "caller", address, lambda process: self._found(process, model)
        )

    def send(
        self, address: str, headers: dict[str, str], body: dict[str, Any], fresh: bool
    ) -> Iterator[StreamEvent]:
        """Send a completion request."""
        terms = parse_terms({name.lower(): value for name, value in headers.items()})
        arrival = Arrival(self._customer, _completion(body, body["model"]), terms)
        yield from self._network.stream(
            self._tasks,
            "caller",
            address,
            lambda process, channel: serve_completion(process, channel, arrival),
        )

    def resume(self, address: str, request_id: str, from_index: int) -> Iterator[StreamEvent]:
        """Go on with a cut answer."""
        yield from resume(self._network, self._tasks, "caller", address, request_id, from_index)

    def sleep(self, wait_ms: int) -> None:
        """Let a time pass."""
        self._tasks.sleep(wait_ms)

    def _found(self, process: Process, model: str) -> Found | None:
        context = process.node.context
        adapter = context.config.resolve(self._customer, *(parse_model(model) or ("", None)))
        preferred = None if isinstance(adapter, str) else owner_for(context, adapter)
        nodes = order_nodes(context.serving_nodes(), preferred, model)
        addresses = [Address(node.http, home_of(node.incarnation)) for node in nodes]
        return Found(addresses, 3_000) if addresses else None


def resume(
    network: Network,
    tasks: VirtualTasks,
    sender: str,
    address: str,
    request_id: str,
    from_index: int,
) -> Iterator[StreamEvent]:
    """Go on with a request that a node drives."""

    def serve(process: Process, channel: Channel) -> None:
        served = process.node.context.served_by_id.get(request_id)
        if served is None:
            channel.push(Unclear("unknown request"))
        else:
            send_answer(process, channel, served, from_index)

    yield from network.stream(tasks, sender, address, serve)


def _completion(data: dict, model: str) -> Completion:
    parsed = parse_completion(orjson.dumps({**data, "model": model, "stream": True}), chat=False)
    assert isinstance(parsed, Completion)
    return parsed
