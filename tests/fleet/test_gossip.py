"""Tests of the exchange of heartbeats: unreadable datagrams, short heartbeats and requests."""

from __future__ import annotations

import logging
import socket

import attrs
import gevent
import pytest
from gevent import socket as green

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import DepartedServer
from monsoonflow.fleet import codec
from monsoonflow.fleet.gossip import Gossip
from monsoonflow.fleet.models import (
    CellLeaseClaim,
    Heartbeat,
    NodeRecord,
    ShortHeartbeat,
    WorkDelta,
)
from monsoonflow.fleet.view import FleetView
from monsoonflow.helpers.gevent_tasks import GeventTasks
from monsoonflow.transport.sockets import split_address
from script.ports import free_port

HEARTBEAT = Heartbeat(NodeRecord("n1", "b", "dc", "1:1", "1:2", "1:3"), 1, True, False, 1, True)


@pytest.fixture
def received():
    return []


@pytest.fixture
def address(received):
    found = f"127.0.0.1:{free_port()}"
    gossip = Gossip(
        found,
        FleetView("me"),
        lambda: HEARTBEAT,
        received.append,
        GeventTasks(),
        MonotonicClock(),
        lambda: WorkDelta("me", "b", 1, {}),
    )
    gossip.start()
    yield found
    gossip.close()


def test_truncated_heartbeat_is_ignored_and_logged_once(address, received, caplog):
    """Datagrams are truncated in transit, several times; the next complete one counts."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    whole = codec.encode_heartbeat(HEARTBEAT)
    with caplog.at_level(logging.WARNING):
        for size in (0, 1, 10, len(whole) - 5):
            sender.sendto(whole[:size], split_address(address))
        gevent.sleep(0.1)
        assert received == []
        sender.sendto(whole, split_address(address))
        gevent.sleep(0.1)
    sender.close()
    assert [heartbeat.name for heartbeat in received] == ["n1"]
    lines = [
        record.getMessage()
        for record in caplog.records
        if "unreadable_datagram" in record.getMessage()
    ]
    assert len(lines) == 1


@pytest.mark.parametrize(
    ("changes", "is_full"),
    [
        ({}, False),
        ({"departed_servers": (DepartedServer(ServerLife("i-1"), False),)}, True),
        ({"added_servers": (ServerLife("i-1"),)}, True),
    ],
)
def test_added_and_departed_servers_are_announced_to_nodes_without_callers(changes, is_full):
    """A server of a plain service was added; thirty nodes without callers had not read its row yet.

    With short heartbeats alone they did not ask the store for minutes, and answered 98 of 2,346
    checks and some callers with "no server takes work".
    """
    view, listener = FleetView("me"), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(("127.0.0.1", 0))
    listener.settimeout(5)
    listener_address = f"127.0.0.1:{listener.getsockname()[1]}"
    for number in range(30):
        record = NodeRecord(f"n{number}", "b", "dc", "1:1", "1:2", listener_address)
        view.receive(Heartbeat(record, 1, True, False, 1, True, is_active=False), 0)
    own_record = NodeRecord("me", "b", "dc", "1:1", "1:2", "127.0.0.1:9")
    heartbeat = Heartbeat(own_record, 1, True, False, 1, True, **changes)
    empty_delta = WorkDelta("me", "b", 1, {})
    gossip = Gossip(
        "127.0.0.1:9",
        view,
        lambda: heartbeat,
        lambda _: None,
        GeventTasks(),
        MonotonicClock(),
        lambda: empty_delta,
    )
    gossip.send_round()
    message = codec.decode(listener.recv(60_000))
    gossip.close()
    listener.close()
    assert isinstance(message, Heartbeat) == is_full


def test_in_a_large_fleet_only_lease_holders_receive_the_usage_of_customers():
    """Sent to all peers with callers it would be 6 kB a second of each of 1,100 nodes."""
    view = FleetView("me")
    listeners = {name: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for name in ("n1", "n2")}
    for name, listener in listeners.items():
        listener.bind(("127.0.0.1", 0))
        listener.settimeout(5)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        claims = (CellLeaseClaim("llm", "n1", 1),) if name == "n1" else ()
        record = NodeRecord(name, "b", "dc", "1:1", "1:2", address)
        view.receive(Heartbeat(record, 1, True, False, 1, True, claims=claims), 0)
    for number in range(3, 30):
        record = NodeRecord(f"n{number}", "b", "dc", "1:1", "1:2", "127.0.0.1:9")
        view.receive(Heartbeat(record, 1, True, False, 1, True, is_active=False), 0)
    own_record = NodeRecord("me", "b", "dc", "1:1", "1:2", "127.0.0.1:9")
    heartbeat = Heartbeat(own_record, 1, True, False, 1, True, runner_ms_by_customer={"alpha": 7})
    delta = WorkDelta("me", "b", 1, {})
    gossip = Gossip(
        "127.0.0.1:9",
        view,
        lambda: heartbeat,
        lambda _: None,
        GeventTasks(),
        MonotonicClock(),
        lambda: delta,
    )
    gossip.send_round()
    received = {
        name: codec.decode(listener.recv(60_000)).runner_ms_by_customer
        for name, listener in listeners.items()
    }
    gossip.close()
    for listener in listeners.values():
        listener.close()
    assert received == {"n1": {"alpha": 7}, "n2": None}


def test_full_heartbeats_are_requested_and_answered_at_a_limited_rate(address, received):
    """A datagram with a node's record is lost; later ones are short heartbeats without it.

    A full heartbeat is requested once a second, not for each short one, and requests of one address
    are answered as often.
    """
    sender = green.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind(("127.0.0.1", 0))
    sender.settimeout(2)
    short = ShortHeartbeat.from_heartbeat(HEARTBEAT, False)
    for sequence in range(2, 7):
        sender.sendto(
            codec.encode_short_heartbeat(attrs.evolve(short, sequence=sequence)),
            split_address(address),
        )
    assert sender.recv(100) == codec.HEARTBEAT_REQUEST
    sender.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sender.recv(100)
    assert received == []
    sender.sendto(
        codec.encode_heartbeat(attrs.evolve(HEARTBEAT, sequence=7)), split_address(address)
    )
    sender.sendto(
        codec.encode_short_heartbeat(attrs.evolve(short, sequence=8)), split_address(address)
    )
    gevent.sleep(0.1)
    assert [heartbeat.sequence for heartbeat in received] == [7, 8]
    sender.settimeout(2)
    for _ in range(5):
        sender.sendto(codec.HEARTBEAT_REQUEST, split_address(address))
    assert codec.decode(sender.recv(60_000)) == HEARTBEAT
    sender.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sender.recv(100)
    sender.close()
