"""What a node makes of datagrams that are no reports."""

from __future__ import annotations

import logging
import socket

import attrs
import gevent
import pytest
from gevent import socket as green

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.fleet import codec
from monsoonflow.fleet.gossip import Gossip
from monsoonflow.fleet.models import Heartbeat, NodeRecord, ShortHeartbeat, WorkDelta
from monsoonflow.fleet.view import FleetView
from monsoonflow.helpers.gevent_tasks import GeventTasks
from monsoonflow.transport.sockets import split_address
from script.ports import free_port

REPORT = Heartbeat(NodeRecord("n1", "b", "dc", "1:1", "1:2", "1:3"), 1, True, False, 1, True)


@pytest.fixture
def heard():
    return []


@pytest.fixture
def address(heard):
    found = f"127.0.0.1:{free_port()}"
    gossip = Gossip(
        found,
        FleetView("me"),
        lambda: REPORT,
        heard.append,
        GeventTasks(),
        MonotonicClock(),
        lambda: WorkDelta("me", "b", 1, {}),
    )
    gossip.start()
    yield found
    gossip.close()


def test_a_cut_report_changes_nothing_and_is_logged_once(address, heard, caplog):
    """A datagram is cut on its way, again and again; the next whole one counts."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    whole = codec.encode_heartbeat(REPORT)
    with caplog.at_level(logging.WARNING):
        for size in (0, 1, 10, len(whole) - 5):
            sender.sendto(whole[:size], split_address(address))
        gevent.sleep(0.1)
        assert heard == []
        sender.sendto(whole, split_address(address))
        gevent.sleep(0.1)
    sender.close()
    assert [report.name for report in heard] == ["n1"]
    lines = [r.getMessage() for r in caplog.records if "unreadable_datagram" in r.getMessage()]
    assert len(lines) == 1


@pytest.mark.parametrize(
    ("news", "whole"),
    [
        ({}, False),
        ({"departed_servers": (ServerLife("i-1"),)}, True),
        ({"added_servers": (ServerLife("i-1"),)}, True),
    ],
)
def test_servers_that_come_and_leave_are_told_to_nodes_without_callers(news, whole):
    """Thirty nodes without callers; a server of a plain service came before they had read of it.

    Told by signs of life alone they did not ask the store for minutes, and answered 98 of 2,346
    checks and some callers with "no server takes work".
    """
    view, listener = FleetView("me"), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(("127.0.0.1", 0))
    listener.settimeout(5)
    where = f"127.0.0.1:{listener.getsockname()[1]}"
    for number in range(30):
        card = NodeRecord(f"n{number}", "b", "dc", "1:1", "1:2", where)
        view.receive(Heartbeat(card, 1, True, False, 1, True, is_active=False), 0)
    own = NodeRecord("me", "b", "dc", "1:1", "1:2", "127.0.0.1:9")
    report = Heartbeat(own, 1, True, False, 1, True, **news)
    nothing = WorkDelta("me", "b", 1, {})
    gossip = Gossip(
        "127.0.0.1:9",
        view,
        lambda: report,
        lambda _: None,
        GeventTasks(),
        MonotonicClock(),
        lambda: nothing,
    )
    gossip.send_round()
    told = codec.decode(listener.recv(60_000))
    gossip.close()
    listener.close()
    assert isinstance(told, Heartbeat) == whole


def test_a_node_known_by_a_sign_of_life_only_is_asked_for_its_report(address, heard):
    """A datagram with a node's address is lost; later ones tell no more than that it lives.

    It is asked once a second, not once for each sign; and who asks is told all in the same way.
    """
    sender = green.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind(("127.0.0.1", 0))
    sender.settimeout(2)
    sign = ShortHeartbeat.from_heartbeat(REPORT, False)
    for sequence in range(2, 7):
        sender.sendto(
            codec.encode_short_heartbeat(attrs.evolve(sign, sequence=sequence)),
            split_address(address),
        )
    assert sender.recv(100) == codec.HEARTBEAT_REQUEST
    sender.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sender.recv(100)
    assert heard == []
    sender.sendto(codec.encode_heartbeat(attrs.evolve(REPORT, sequence=7)), split_address(address))
    sender.sendto(
        codec.encode_short_heartbeat(attrs.evolve(sign, sequence=8)), split_address(address)
    )
    gevent.sleep(0.1)
    assert [report.sequence for report in heard] == [7, 8]
    sender.settimeout(2)
    for _ in range(5):
        sender.sendto(codec.HEARTBEAT_REQUEST, split_address(address))
    assert codec.decode(sender.recv(60_000)) == REPORT
    sender.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sender.recv(100)
    sender.close()
