"""Collects what a fleet that has ended wrote down, and judges it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Final

from monsoonflow.core.server_life import ServerLife
from monsoonflow.report.timeline import read

from .configurations import outdated_requests
from .const import CONTACT_MS, ENGINES, LAPSE_S
from .customers import Rush, Share, shares_in_rushes
from .fleet import MEMORY_MB, STORE, Fleet
from .judge import Disturbance, Late, late_arrivals, leaves_by_server, stable_from
from .limits import exceeded_limits
from .notices import after_leave, in_rests
from .orders import shared_numbers
from .partitions import Partition, worse_served
from .parts import crash_times_ms, later_requests, refused_sound_requests, wrongly_refused
from .processes import Record
from .promises import broken_promises
from .streams import broken_streams, events_by_request
from .versions import MAX_MIXED, MixedStream, Resumptions, mixed_streams, resumptions

MAX_FALLS: Final = 2
MAX_FALLS_SHARE: Final = 0.1
"""How often brittle servers of a service may fall over, and which share of them in addition."""


def late_of(fleet: Fleet, disturbances: Iterable[Disturbance]) -> list[Late]:
    """Return the requests that reached servers too late."""
    processes = fleet.processes
    arrivals = _of(fleet, fleet.service_by_server)
    logs = [
        entry for node in fleet.nodes for entry in read(processes.written(node).splitlines(), node)
    ]
    return late_arrivals(processes.records(STORE), arrivals, logs, disturbances, STORE)


def broken_of(fleet: Fleet) -> list[str]:
    """Return a line for each broken promise to a caller."""
    return broken_promises(_of(fleet, fleet.callers), _of(fleet, fleet.service_by_server))


def overtaxed_of(fleet: Fleet) -> list[str]:
    """Return a line for each node that has ended by itself or has used too much memory."""
    lost = [f"{node} has ended by itself" for node in fleet.lost_nodes]
    return lost + [
        f"{node} has used {peak_mb} MB of {MEMORY_MB}"
        for node, peak_mb in sorted(fleet.peak_mb_by_node.items())
        if peak_mb > MEMORY_MB
    ]


def looking_complete_of(fleet: Fleet) -> list[str]:
    """Return a line for each answer that was broken off and looked complete."""
    return broken_streams(_of(fleet, fleet.callers), _of(fleet, fleet.service_by_server))


def mixed_of(fleet: Fleet) -> list[MixedStream]:
    """Return the streams with events of several software versions."""
    return mixed_streams(_of(fleet, fleet.callers))


def resumptions_of(
    fleet: Fleet, partitions: Iterable[Partition], disturbances: Iterable[Disturbance]
) -> Resumptions:
    """Return what became of streams that callers took up again at undisturbed nodes."""
    node_by_ip = {fleet.ip_of(node): node for node in fleet.nodes}
    partitioned = [Disturbance(p.node, p.from_ms, p.until_ms) for p in partitions]
    disturbed = [*disturbances, *partitioned, *_crashes_by_parts(fleet)]
    leaves = leaves_by_server(fleet.processes.records(STORE))

    def is_disturbed(name: str, at_ms: int) -> bool:
        return any(d.name == name and d.within_contact(at_ms) for d in disturbed)

    def runners_serving(version: str, at_ms: int) -> int:
        return sum(
            of_server == version
            and server in leaves
            and leaves[server].is_ready_since(at_ms - CONTACT_MS, at_ms)
            and not is_disturbed(server, at_ms)
            for server, of_server in fleet.version_by_server.items()
            if fleet.service_by_server[server] == ENGINES
        )

    return resumptions(
        _of(fleet, fleet.callers),
        events_by_request(_of(fleet, fleet.service_by_server)),
        lambda record, at_ms: not is_disturbed(node_by_ip[record.fields["node"]], at_ms),
        runners_serving,
    )


def _crashes_by_parts(fleet: Fleet) -> list[Disturbance]:
    """Return when model runners were gone after a bad part; the injector notices it later."""
    return [
        Disturbance(record.source, record.at_ms, record.at_ms + round(LAPSE_S * 1_000))
        for record in _of(fleet, fleet.service_by_server)
        if record.event == "crashed_by_parts"
    ]


def broken_at_releases_of(
    fleet: Fleet, partitions: Iterable[Partition], disturbances: Iterable[Disturbance]
) -> list[str]:
    """Return a line for each stream of two versions beyond what is tolerated, and for lost ones."""
    mixed = mixed_of(fleet)
    lost = resumptions_of(fleet, partitions, disturbances)
    return [
        *(stream.line() for stream in (mixed if len(mixed) > MAX_MIXED else ())),
        *([lost.line()] if lost.are_lost() else ()),
    ]


def endings_of(fleet: Fleet) -> Counter[str]:
    """Return how often answers with status 200 ended in which way, by their framing."""
    ended = (r.fields for r in _of(fleet, fleet.callers) if r.event == "ended")
    return Counter(fields["ending"] for fields in ended if fields["head_status"] == 200)


def exceeded_of(fleet: Fleet, disturbances: Iterable[Disturbance]) -> list[str]:
    """Return a line for each server that got more requests than the limit that it had named."""
    arrivals = _of(fleet, fleet.service_by_server)
    sends = _node_by_send(fleet)
    disturbed = [d for d in disturbances if d.is_process]

    def is_excused(arrival: Record) -> bool:
        excusing = {arrival.source, sends.get((arrival.source, arrival.fields["request"]))}
        return any(d.name in excusing and d.within_contact(arrival.at_ms) for d in disturbed)

    return [
        f"{server} got {requests} requests in 4 s where {allowed:.1f} were allowed, until {end_ms}"
        for server, allowed, requests, end_ms in exceeded_limits(arrivals, is_excused)
    ]


def outdated_of(fleet: Fleet, disturbances: Iterable[Disturbance]) -> list[str]:
    """Return a line for each request that an older configuration than it must has handled."""
    logs = [
        entry
        for node in fleet.nodes
        for entry in read(fleet.processes.written(node).splitlines(), node)
    ]
    disturbed = sorted(disturbances, key=lambda d: d.from_ms)

    def counts_from(node: str, at_ms: int) -> int:
        return stable_from(at_ms, [d for d in disturbed if d.name in (node, STORE)])

    return outdated_requests(fleet.processes.records(STORE), logs, counts_from)


def shared_numbers_of(fleet: Fleet) -> list[str]:
    """Return a line for each fencing number that two nodes have used."""
    return shared_numbers(_of(fleet, fleet.service_by_server))


def unheeded_of(fleet: Fleet, disturbances: Iterable[Disturbance]) -> list[str]:
    """Return a line for each server that got requests after it had said that it takes none."""
    arrivals = _of(fleet, fleet.service_by_server)
    node_by_send = _node_by_send(fleet)
    sent_ms_by_request = {
        record.fields["request"]: record.at_ms - record.fields["took_ms"]
        for record in _of(fleet, fleet.callers)
        if record.event == "ended"
    }
    # An outage of the store, or of a path to it, excuses nothing.
    disturbed = [d for d in disturbances if d.is_process and d.name != STORE]

    def node_of(server: str, request: str | None) -> str | None:
        return node_by_send.get((server, request))

    def is_excused(node: str, arrival: Record) -> bool:
        return any(
            d.name in (node, arrival.source) and d.within_contact(arrival.at_ms) for d in disturbed
        )

    return [
        *after_leave(arrivals, sent_ms_by_request, node_of, is_excused),
        *in_rests(arrivals, node_of, is_excused),
    ]


def _node_by_send(fleet: Fleet) -> dict[tuple[str, str], str]:
    """Return the node that sent a request to a server, by the server's id and the request."""
    return {
        (ServerLife(entry.fields["server"]).server_id, entry.fields["request"]): entry.node
        for node in fleet.nodes
        for entry in read(fleet.processes.written(node).splitlines(), node)
        if entry.event == "request_sent"
    }


def worse_served_of(
    fleet: Fleet, partitions: Iterable[Partition], disturbances: Iterable[Disturbance]
) -> list[str]:
    """Return a line for each partition in which callers of its nodes were served far worse."""
    node_by_ip = {fleet.ip_of(node): node for node in fleet.nodes}
    disturbed = [d for d in disturbances if d.is_process]
    return worse_served(
        _of(fleet, fleet.callers),
        partitions,
        fleet.nodes,
        lambda ip: node_by_ip.get(ip, ip),
        lambda node, at_ms: any(d.name == node and d.within_contact(at_ms) for d in disturbed),
    )


def shares_of(fleet: Fleet, rushes: Iterable[Rush], faults: Iterable[Disturbance]) -> list[Share]:
    """Return how the customers beside one in a rush were served outside of faults.

    :param faults: of any process, since each may concern each customer.
    """
    in_force = list(faults)

    def is_excused(from_ms: int, until_ms: int) -> bool:
        return any(d.overlaps(from_ms, until_ms) for d in in_force)

    return shares_in_rushes(_of(fleet, fleet.callers), rushes, is_excused)


def parts_of(
    fleet: Fleet, partitions: Iterable[Partition], disturbances: Iterable[Disturbance]
) -> list[str]:
    """Return a line for each part of prompts that was kept away from servers wrongly or not."""
    arrivals = _of(fleet, fleet.service_by_server)
    logs = [
        entry
        for node in fleet.nodes
        for entry in read(fleet.processes.written(node).splitlines(), node)
    ]
    nodes_by_request: dict[str, set[str]] = {}
    for entry in logs:
        if entry.event == "request_sent":
            nodes_by_request.setdefault(entry.fields["request"], set()).add(entry.node)
    partitioned = [Disturbance(p.node, p.from_ms, p.until_ms) for p in partitions]
    disturbed = [*disturbances, *partitioned]

    def is_excused(arrival: Record) -> bool:
        # A node that is out of touch, or any node beside a store that is, counts no more.
        excusing = {STORE, *nodes_by_request.get(arrival.fields["request"], ())}
        return any(d.name in excusing and d.within_contact(arrival.at_ms) for d in disturbed)

    return [
        *later_requests(arrivals, fleet.bad_parts, is_excused),
        *wrongly_refused(logs, fleet.bad_parts),
        *refused_sound_requests(logs, fleet.bad_parts),
    ]


def crashes_by_part(fleet: Fleet) -> dict[str, int]:
    """Return how many servers crashed under each bad part."""
    arrivals = _of(fleet, fleet.service_by_server)
    return {part: len(crash_times_ms(arrivals, part)) for part in fleet.bad_parts}


def falls_of(fleet: Fleet, brittle_services: Iterable[str]) -> list[str]:
    """Return a line for each service whose brittle servers fell over too often."""
    times = Counter(brittle_services)
    falls = Counter(
        fleet.service_by_server[record.source]
        for record in _of(fleet, fleet.service_by_server)
        if record.event == "fell"
    )
    servers = Counter(fleet.service_by_server.values())
    return [
        f"servers of {service} fell over {count} times"
        for service, count in falls.items()
        if count > times[service] * (MAX_FALLS + MAX_FALLS_SHARE * servers[service])
    ]


def answers_of(fleet: Fleet) -> Counter[int]:
    """Return how often callers got each status; 0: no answer."""
    ended = _of(fleet, fleet.callers)
    return Counter(r.fields["status"] for r in ended if r.event == "ended")


def _of(fleet: Fleet, names: Iterable[str]) -> list[Record]:
    return [record for name in names for record in fleet.processes.records(name)]
