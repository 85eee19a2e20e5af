"""Tests of what brings back a server that seemed to have left, and what does not."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.discovery.models import BackendServer, DepartedServer
from monsoonflow.discovery.registry import ServerRegistry
from monsoonflow.entry.cluster_state import ANNOUNCE_MS, ClusterState
from monsoonflow.fleet.models import Heartbeat, NodeRecord

LAPSE_MS = 4_200
SERVERS = [
    BackendServer(ServerLife("i-1"), "s", "10.0.0.1:80", "dc", 4),
    BackendServer(ServerLife.of("i-1", 1_764_718_000_123), "s", "10.0.0.1:80", "dc", 4),
]


@pytest.fixture(params=SERVERS, ids=["without birth time", "with birth time"])
def server(request):
    return request.param


OTHER = BackendServer(ServerLife.of("i-2", 500), "s", "10.0.0.2:80", "dc", 4)


@pytest.fixture
def registry(server):
    """Return a registry with another server of the service, which is sound."""
    registered = ServerRegistry()
    registered.put(server, 0, 1)
    registered.put(OTHER, 0, 2)
    return registered


def is_used(registry, server, known_until_ms):
    """Return whether a server is used when its entry was there until a given time."""
    registry.end_refuted_departures(known_until_ms, LAPSE_MS)
    return server in registry.servers_of("s") and registry.is_accepting_work(server.life)


def test_a_server_whose_entry_lapsed_is_used_again_once_its_new_entry_lasts(registry, server):
    """A server loses the store for some seconds: its entry lapses, and it writes it again."""
    registry.remove("i-1", 3_600)
    registry.put(server, 5_000, 10)
    assert not is_used(registry, server, 5_000 + LAPSE_MS)
    assert is_used(registry, server, 5_001 + LAPSE_MS)
    assert registry.recently_left(9_300, ANNOUNCE_MS) == []


def test_the_only_server_of_a_service_is_used_as_soon_as_its_entry_is_back(registry, server):
    """All servers of a service lose the store at the same moment."""
    for one in (server, OTHER):
        registry.remove(one.life.server_id, 3_600)
    assert registry.servers_of("s") == []
    registry.put(server, 5_000, 10)
    assert is_used(registry, server, 5_000)
    registry.put(OTHER, 5_200, 11)
    assert registry.servers_of("s") == [server, OTHER]


def test_a_server_whose_entry_lapses_repeatedly_is_used_each_time_it_is_back(registry, server):
    for row_version, lapsed_ms in enumerate((10_000, 20_000, 30_000), start=1):
        registry.remove("i-1", lapsed_ms)
        registry.put(server, lapsed_ms + 1_000, 100 * row_version)
        assert not is_used(registry, server, lapsed_ms + 1_000)
        assert is_used(registry, server, lapsed_ms + 1_001 + LAPSE_MS)


def test_a_server_that_another_one_answered_for_is_used_again_if_it_stays_registered(
    registry, server
):
    """Its entry is not written again, since nothing of it has changed."""
    registry.mark_leaving(server.life, 1_000, "another server at its address")
    assert not is_used(registry, server, 1_000 + LAPSE_MS)
    assert is_used(registry, server, 1_001 + LAPSE_MS)


def test_a_delayed_write_of_an_ended_server_does_not_bring_it_back(registry, server):
    """The store removes the entry that it wrote, since no heartbeat follows."""
    registry.remove("i-1", 1_000)
    for written_ms in (2_000, 8_000):
        registry.put(server, written_ms, written_ms)
        assert not is_used(registry, server, written_ms + 3_600)
        registry.remove("i-1", written_ms + 3_600)
    assert not is_used(registry, server, 60_000)


@pytest.mark.parametrize("is_alone", [False, True])
def test_rows_of_an_older_copy_of_the_store_do_not_bring_a_server_back(registry, server, is_alone):
    """The store returns from a copy twice; each time it has the entry that was removed before."""
    registry.remove("i-1", 1_000)
    if is_alone:
        registry.record_announced_leave(OTHER.life, 1_000, "its entry")
    for returned_ms in (3_000, 5_000):
        registry.handle_rows_lost(returned_ms)
        registry.put(server, returned_ms, 10_000 + returned_ms)
        assert not is_used(registry, server, returned_ms + 3_600)


def test_a_server_that_announced_its_end_is_not_brought_back_by_its_entry(registry, server):
    registry.record_announced_leave(server.life, 1_000, "an answer")
    for at_ms in range(2_000, 40_000, 1_200):
        registry.put(server, at_ms, at_ms)
        assert not is_used(registry, server, at_ms)
    registry.remove("i-1", 40_000)
    registry.put(server, 41_000, 41_000)
    assert not is_used(registry, server, 60_000)


def test_an_announced_end_is_final_although_the_entry_was_removed_before(registry, server):
    registry.mark_leaving(server.life, 1_000, "another server at its address")
    registry.record_announced_leave(server.life, 1_100, "an answer")
    registry.put(server, 2_000, 5)
    assert not is_used(registry, server, 20_000)
    assert registry.recently_left(11_000, ANNOUNCE_MS) == [DepartedServer(server.life, True, 9_900)]


def test_a_peers_snapshot_does_not_bring_a_server_back(registry, server):
    registry.remove("i-1", 1_000)
    registry.put(server, 2_000)
    assert not is_used(registry, server, 20_000)


@attrs.define
class Peer:
    """A node that hears of a server from the store and from its peers."""

    name: str
    clock: ManualClock
    row_version: int = 0
    state: ClusterState = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.state = ClusterState(self.clock)

    def heartbeat(self):
        """Return what the node announces."""
        record = NodeRecord(self.name, f"{self.name}-1", "dc", "1:1", "1:2", "1:3")
        departed = self.state.recently_departed_servers()
        return Heartbeat(record, 1, True, False, 1, True, departed_servers=departed)

    def read_entry(self, server):
        """Have the node read the server's entry after it was written again."""
        self.row_version += 1
        self.state.server_registry.put(server, self.clock.now_ms(), self.row_version)

    def maintain(self):
        """Have the node check servers that seemed to have left."""
        registry = self.state.server_registry
        registry.end_refuted_departures(self.clock.now_ms(), LAPSE_MS)

    def uses(self, server):
        """Return whether the node sends requests to a server."""
        return self.state.server_registry.is_accepting_work(server.life)


@pytest.fixture
def peers(server):
    clock = ManualClock(1_000)
    found = [Peer(f"n{number}", clock) for number in range(3)]
    for peer in found:
        peer.read_entry(server)
        peer.read_entry(OTHER)
    return found


def exchange_heartbeats(peers):
    for sender in peers:
        heartbeat = sender.heartbeat()
        for receiver in peers:
            if receiver is not sender:
                receiver.state.handle_heartbeat(heartbeat)


def test_nodes_do_not_renew_each_others_report_of_a_departure(peers, server):
    """Each node reads the entry at another moment, and hears the report of those that have not."""
    clock = peers[0].clock
    peers[0].state.server_registry.remove("i-1", clock.now_ms())
    exchange_heartbeats(peers)
    assert not any(peer.uses(server) for peer in peers)
    peers[0].read_entry(server)
    uses = []
    for _ in range(60):
        clock.advance(200)
        for peer in peers:
            peer.maintain()
            exchange_heartbeats(peers)
        uses.append(all(peer.uses(server) for peer in peers))
    assert uses.index(True) * 200 <= LAPSE_MS + 200
    assert uses == sorted(uses)


def test_an_announced_end_reaches_peers_that_took_the_server_back(peers, server):
    first, second, third = peers
    first.state.server_registry.remove("i-1", first.clock.now_ms())
    exchange_heartbeats(peers)
    first.clock.advance(LAPSE_MS + 1)
    second.maintain()
    third.maintain()
    assert second.uses(server)
    first.read_entry(server)
    first.state.server_registry.record_announced_leave(
        server.life, first.clock.now_ms(), "an answer"
    )
    exchange_heartbeats(peers)
    assert not any(peer.uses(server) for peer in peers)


def test_the_report_of_an_earlier_release_ends_when_the_server_stays_registered(peers, server):
    """A node of an earlier release repeats its report for ten seconds, and never takes it back."""
    peer, clock = peers[0], peers[0].clock
    record = NodeRecord("old", "old-1", "dc", "1:1", "1:2", "1:3")
    report = Heartbeat(
        record, 1, True, False, 1, True, departed_servers=(DepartedServer(server.life),)
    )
    uses = []
    for _ in range(ANNOUNCE_MS // 200):
        peer.state.handle_heartbeat(report)
        peer.maintain()
        uses.append(peer.uses(server))
        clock.advance(200)
    assert LAPSE_MS <= uses.count(False) * 200 <= LAPSE_MS + 400
    assert uses == sorted(uses)
