"""Which software version began a stream is known at every node, or reported as unknown."""

from __future__ import annotations

import attrs
import pytest

from monsoonflow.entry.software_versions import NoConclusion, OneVersion
from monsoonflow.entry.stream_memory import MAX_STREAMS
from monsoonflow.entry.stream_versions import FIND_TIMEOUT_MS, KEEPERS
from monsoonflow.gateway.models import KnownVersion, UnknownVersion
from tests.entry.stream_fleet import LIFE_MS, MAX_GAP_MS, SERVICE, StreamFleet

BATCH_MS = 100
"""Longer than it takes to tell peers of a stream."""

NOTICE_MS = 3_000
"""Longer than it takes all nodes to read a changed list of servers."""


@pytest.fixture
def fleet():
    """Seven nodes that have followed one version for longer than a stream lives."""
    seven = StreamFleet(7, is_first_start=False)
    seven.run(LIFE_MS + NOTICE_MS)
    return seven


@pytest.fixture
def upgraded(fleet):
    """The same nodes, with servers of two versions."""
    fleet.add_server("v1.1")
    fleet.run(NOTICE_MS)
    return fleet


def results(fleet, nodes, request_ids):
    return [node.find(request_id) for node in nodes for request_id in request_ids]


def test_a_stream_is_known_at_every_node_after_its_first_node_was_killed(upgraded):
    """Only the first node knew which server began it, and that node has gone."""
    first = upgraded[0]
    for number in range(20):
        first.begin(f"r{number}", "v1.1" if number % 2 else "v1")
    upgraded.run(BATCH_MS)
    upgraded.kill(first)
    for number in range(20):
        expected = KnownVersion("v1.1" if number % 2 else "v1")
        assert results(upgraded, upgraded.live(), [f"r{number}"]) == [expected] * 6
    assert upgraded.longest_search_ms < FIND_TIMEOUT_MS


def test_a_stream_of_a_partitioned_node_is_known_at_its_peers(upgraded):
    """The first node does not answer; a call to it must not delay the answers of others."""
    first = upgraded[0]
    first.begin("r1", "v1")
    upgraded.run(BATCH_MS)
    upgraded.cut_off = {first.name}
    assert results(upgraded, upgraded.live()[1:], ["r1"]) == [KnownVersion("v1")] * 6
    assert upgraded.longest_search_ms < BATCH_MS
    assert first.find("r1") == KnownVersion("v1")


def test_a_partitioned_node_does_not_guess_the_versions_of_other_streams(upgraded):
    """It reaches none of the nodes that know."""
    upgraded[1].begin("r1", "v1")
    upgraded.run(BATCH_MS)
    upgraded.cut_off = {upgraded[0].name}
    keeps = upgraded[0].streams.memory.find(SERVICE, "r1", upgraded.world.now_ms()) is not None
    found = upgraded[0].find("r1")
    assert found == KnownVersion("v1") if keeps else isinstance(found, UnknownVersion)
    assert isinstance(upgraded[0].find("other"), UnknownVersion)
    assert upgraded.longest_search_ms <= FIND_TIMEOUT_MS + 10


def test_streams_are_known_although_datagrams_are_lost(upgraded):
    """With one keeper each, one in ten streams would be unknown after its node's end."""
    upgraded.lost_share = 0.1
    first, count = upgraded[0], 1_000
    for number in range(count):
        first.begin(f"r{number}", "v1")
        upgraded.run(5)
    upgraded.run(BATCH_MS)
    upgraded.kill(first)
    found = results(upgraded, [upgraded[3]], [f"r{number}" for number in range(count)])
    assert sum(isinstance(one, UnknownVersion) for one in found) <= 10
    assert {one.software_version for one in found if isinstance(one, KnownVersion)} == {"v1"}


def test_streams_in_progress_are_known_when_a_second_version_comes(fleet):
    """While there was one version no peer was told of them; their nodes end after the change."""
    for node in fleet.live():
        for number in range(80):
            node.begin(f"{node.name}-{number}", "v1")
    fleet.run(5_000)
    assert fleet.datagrams == 0
    fleet.add_server("v1.1")
    fleet.run(NOTICE_MS)
    fleet.kill(fleet[0], fleet[1])
    ids = [f"n{node}-{number}" for node in range(7) for number in range(80)]
    for node in fleet.live():
        assert results(fleet, [node], ids) == [KnownVersion("v1")] * len(ids)


def test_streams_of_a_node_that_has_heard_no_peer_yet_are_told_later(upgraded):
    """A node that starts has callers before it has received the first heartbeat."""
    upgraded.kill(upgraded[0])
    node = upgraded.start("n0")
    upgraded.cut_off = {"n0"}
    upgraded.run(1)
    for number in range(20):
        node.begin(f"r{number}", "v1.1")
    upgraded.run(BATCH_MS)
    upgraded.cut_off = set()
    upgraded.run(1_000)
    upgraded.kill(node)
    found = results(upgraded, [upgraded[4]], [f"r{number}" for number in range(20)])
    assert found == [KnownVersion("v1.1")] * 20


def test_nothing_is_sent_while_a_service_has_one_version(fleet):
    """In most deployments there is never another one: messages would cost and tell nothing."""
    for number in range(100):
        fleet[number % 7].begin(f"r{number}", "v1")
    fleet.run(LIFE_MS)
    assert results(fleet, fleet.live(), ["r1"]) == [KnownVersion("v1")] * 7
    assert (fleet.datagrams, fleet.questions, fleet.longest_search_ms) == (0, 0, 1)


def test_any_version_will_do_again_once_streams_of_the_other_have_ended(upgraded):
    left = next(key for key, version in upgraded.store.servers.items() if version == "v1.1")
    upgraded[0].begin("r1", "v1.1")
    del upgraded.store.servers[left]
    upgraded.run(LIFE_MS - 1_000)
    assert isinstance(upgraded[1].find("other"), UnknownVersion)
    upgraded.run(2 * NOTICE_MS)
    assert results(upgraded, upgraded.live(), ["other"]) == [KnownVersion("v1")] * 7


def test_a_node_that_has_just_started_takes_the_conclusion_of_a_peer(fleet):
    """Its own list says nothing of the past: for thirty seconds it would know of no stream."""
    fleet.store.rows.clear()
    fleet.kill(fleet[0])
    node = fleet.start("n0")
    fleet.run(1_000)
    fleet.store.reads = 0
    assert node.find("r1") == KnownVersion("v1")
    assert node.found == ["any_of_peer"]
    assert fleet.store.reads == 0


def test_a_node_that_has_just_started_finds_streams_at_its_peers(upgraded):
    upgraded[1].begin("r1", "v1.1")
    upgraded.run(BATCH_MS)
    upgraded.kill(upgraded[0], upgraded[1])
    node = upgraded.start("n0")
    upgraded.run(1_000)
    assert node.find("r1") == KnownVersion("v1.1")
    assert isinstance(node.find("other"), UnknownVersion)


def test_after_all_processes_were_killed_streams_of_the_one_version_go_on(fleet):
    """All memory is gone: each stream taken up again would be unknown for thirty seconds."""
    fleet.restart_all()
    fleet.run(1_000)
    assert results(fleet, fleet.live(), ["r1"]) == [KnownVersion("v1")] * 7
    assert {source for node in fleet.live() for source in node.found} == {"any_of_store"}


def test_after_all_processes_were_killed_nodes_with_an_old_list_read_it_again(fleet):
    """In a large fleet most nodes rely on peers, which know nothing of the past either."""
    fleet.restart_all()
    for node in fleet.live():
        node.polls_servers = False
    fleet.run(2 * MAX_GAP_MS)
    assert results(fleet, fleet.live(), ["r1"]) == [KnownVersion("v1")] * 7
    assert fleet.longest_search_ms < FIND_TIMEOUT_MS
    fleet.add_server("v1.1")
    fleet.run(2 * MAX_GAP_MS)
    assert isinstance(fleet[2].find("r1"), UnknownVersion)


def test_after_all_processes_were_killed_streams_of_two_versions_are_unknown(upgraded):
    """Nobody knows at which version they began; a guess would join what does not fit together."""
    upgraded[0].begin("r1", "v1.1")
    upgraded.run(BATCH_MS)
    upgraded.restart_all()
    upgraded.run(1_000)
    found = results(upgraded, upgraded.live(), ["r1"])
    assert [type(one) for one in found] == [UnknownVersion] * 7
    assert "v1,v1.1" in found[0].reason
    assert upgraded.longest_search_ms <= FIND_TIMEOUT_MS
    upgraded[0].begin("r2", "v1.1")
    upgraded.run(BATCH_MS)
    assert results(upgraded, upgraded.live(), ["r2"]) == [KnownVersion("v1.1")] * 7


def test_a_version_that_left_while_all_processes_were_down_is_not_forgotten(upgraded):
    """The list that the new processes read names one version only."""
    upgraded.kill(*upgraded.live())
    upgraded.set_versions("v1", "v1")
    for number in range(7):
        upgraded.start(f"n{number}")
    upgraded.run(100)
    assert isinstance(upgraded[3].find("r1"), UnknownVersion)
    upgraded.run(NOTICE_MS)
    found = results(upgraded, upgraded.live(), ["r1"])
    assert [type(one) for one in found] == [UnknownVersion] * 7
    upgraded.run(LIFE_MS)
    assert results(upgraded, upgraded.live(), ["r1"]) == [KnownVersion("v1")] * 7


def test_a_version_that_left_before_all_processes_were_killed_is_not_forgotten(upgraded):
    """Its streams may live on for as long as their callers wait."""
    upgraded.set_versions("v1", "v1")
    upgraded.run(LIFE_MS // 2)
    upgraded.restart_all()
    upgraded.run(1_000)
    assert isinstance(upgraded[2].find("r1"), UnknownVersion)
    upgraded.run(LIFE_MS // 2 + NOTICE_MS)
    assert upgraded[2].find("r1") == KnownVersion("v1")


def test_the_store_is_written_only_when_versions_change(fleet):
    """One write for each renewal or stream would use up what all nodes may write."""
    assert fleet.store.writes == 1
    fleet.add_server("v1")
    fleet.run(2 * LIFE_MS)
    assert fleet.store.writes == 1
    left = fleet.add_server("v1.1")
    fleet.run(NOTICE_MS)
    assert fleet.store.writes == 2
    del fleet.store.servers[left]
    fleet.run(2 * LIFE_MS)
    assert fleet.store.writes == 3


def test_without_a_record_a_restarted_fleet_does_not_conclude_from_the_list_alone(fleet):
    """The list says nothing of the versions that left before the processes started."""
    fleet.restart_all()
    fleet.store.rows.clear()
    fleet.run(1_000)
    assert isinstance(fleet[3].find("r1"), UnknownVersion)


def test_an_old_list_of_servers_never_yields_one_version(fleet):
    """A node that is cut off from the store still lists the servers of one version only."""
    node = fleet[0]
    node.reaches_store = False
    fleet.cut_off = {node.name}
    fleet.run(MAX_GAP_MS + 1)
    for _ in range(20):
        fleet.run(2_000)
        assert isinstance(node.find("r1"), UnknownVersion)
    fleet.add_server("v1.1")
    fleet.run(NOTICE_MS)
    fleet.cut_off = set()
    fleet.run(1_000)
    assert isinstance(node.find("r1"), UnknownVersion)


def test_streams_of_the_one_version_are_known_while_the_store_is_lost(fleet):
    """No node can conclude from its list any more: each stream would be unknown in the outage."""
    for node in fleet.live():
        node.begin(f"before-{node.name}", "v1")
        node.reaches_store = False
    fleet.run(MAX_GAP_MS + NOTICE_MS)
    for node in fleet.live():
        node.begin(f"during-{node.name}", "v1")
    fleet.run(BATCH_MS)
    fleet.kill(fleet[0], fleet[1])
    ids = [f"{when}-n{number}" for when in ("before", "during") for number in range(7)]
    for node in fleet.live():
        assert results(fleet, [node], ids) == [KnownVersion("v1")] * 14
    assert isinstance(fleet[2].find("other"), UnknownVersion)


def test_a_list_that_was_old_says_nothing_of_that_time(fleet):
    """A server of another version came and went while the node was cut off."""
    node = fleet[0]
    node.reaches_store = False
    fleet.cut_off = {node.name}
    added = fleet.add_server("v1.1")
    fleet.run(10_000)
    fleet[1].begin("r1", "v1.1")
    del fleet.store.servers[added]
    fleet.run(1_000)
    node.reaches_store = True
    fleet.run(NOTICE_MS)
    assert isinstance(node.find("r1"), UnknownVersion)
    fleet.cut_off = set()
    fleet.run(1_000)
    assert node.find("r1") == KnownVersion("v1.1")


def test_a_node_that_has_heard_of_a_second_version_rejects_a_peers_conclusion(fleet):
    """A peer whose list is a second behind still answers that there is one version."""
    node = fleet[0]
    for peer in fleet.live()[1:]:
        peer.poll_store()
    fleet.store.servers["i-90"] = "v1.1"
    node.poll_store()
    assert isinstance(node.find("r1"), UnknownVersion)


def test_a_slower_peer_that_knows_better_wins_over_a_fast_conclusion(fleet):
    """The fast one has read the list of servers just before a second version came."""
    fleet.kill(fleet[0])
    node = fleet.start("n0")
    fleet.run(500)
    fleet.store.servers["i-90"] = "v1.1"
    fleet[2].poll_store()
    fleet.delay_ms_by_name = {"n2": 30}
    assert isinstance(node.find("other"), UnknownVersion)
    fleet[2].streams.memory.add(SERVICE, "r1", "v1.1", True, fleet.world.now_ms())
    assert node.find("r1") == KnownVersion("v1.1")


def test_a_record_says_nothing_of_the_time_between_its_reading_and_that_of_the_list(fleet):
    """Both were read at the start, the list again after a long pause: a version has come and gone.

    In a large fleet most nodes read rows of the nodes more than a minute apart.
    """
    node = fleet[3]
    record = node.records.record_of(SERVICE)
    now_ms = fleet.world.now_ms()
    assert isinstance(node.versions.conclude_with_record(SERVICE, record), OneVersion)
    old = attrs.evolve(record, read_ms=now_ms - 10_000)
    node.server_coverage.since_ms = now_ms - 5_000
    assert isinstance(node.versions.conclude_with_record(SERVICE, old), NoConclusion)
    node.server_coverage.since_ms = now_ms - 10_000
    assert isinstance(node.versions.conclude_with_record(SERVICE, old), OneVersion)


def test_memory_is_bounded_and_what_has_expired_is_dropped(upgraded):
    """Callers send as many streams as they like; a node must not run out of memory."""
    node = upgraded[0]
    for number in range(MAX_STREAMS + 1_000):
        node.begin(f"r{number}", "v1")
    assert len(node.streams.memory) == MAX_STREAMS
    assert node.find(f"r{MAX_STREAMS}") == KnownVersion("v1")
    # Peers keep a stream for as long from when they are told, which is later in such a burst.
    upgraded.run(2 * LIFE_MS)
    assert [len(one.streams.memory) for one in upgraded.live()] == [0] * 7
    assert node.streams.memory.untold_services() == []


def test_streams_of_the_first_start_are_free_to_go_anywhere():
    """Nothing began before the first start: there is no past that a node would have to know."""
    fleet = StreamFleet(7)
    fleet.run(2_000)
    assert results(fleet, fleet.live(), ["r1"]) == [KnownVersion("v1")] * 7


def test_a_large_fleet_with_differing_views_finds_its_streams():
    """Nodes that choose keepers by differing views ask peers that were not told."""
    fleet = StreamFleet(60, is_first_start=False)
    fleet.add_server("v1.1")
    fleet.run(NOTICE_MS)
    for number in range(100):
        fleet[number % 60].begin(f"r{number}", "v1.1")
    fleet.run(BATCH_MS)
    # A seventh of the nodes is gone, and others have joined.
    fleet.kill(*(fleet[number] for number in range(0, 60, 7)))
    for number in range(60, 66):
        fleet.start(f"n{number}")
    fleet.run(1_500)
    askers = [node for node in fleet.live() if int(node.name[1:]) % 5 == 1]
    found = [askers[number % len(askers)].find(f"r{number}") for number in range(100)]
    assert sum(one == KnownVersion("v1.1") for one in found) >= 98
    assert fleet.questions <= 100 * 8


def test_nodes_that_leave_the_list_to_watchers_take_their_conclusion():
    """In a large fleet most nodes read the list rarely, and can't conclude by themselves."""
    fleet = StreamFleet(12, is_first_start=False)
    for node in fleet.live()[6:]:
        node.polls_servers = False
    fleet.run(LIFE_MS + NOTICE_MS)
    assert results(fleet, fleet.live(), ["r1"]) == [KnownVersion("v1")] * 12
    fleet.datagrams = 0
    for node in fleet.live():
        node.begin(f"r-{node.name}", "v1")
    fleet.run(1_000)
    assert fleet.datagrams == 0


def test_peers_are_asked_also_when_little_time_is_left():
    """What is left for the store was more than all of the time, and no peer was waited for."""
    fleet = StreamFleet(12, is_first_start=False)
    for node in fleet.live()[6:]:
        node.polls_servers = False
    fleet.run(LIFE_MS + NOTICE_MS)
    asking = fleet.live()[6:]
    for node in asking:
        node.reaches_store = False
    assert [node.find("r1", timeout_ms=100) for node in asking] == [KnownVersion("v1")] * 6


def test_nodes_of_an_earlier_release_are_neither_told_nor_asked(upgraded):
    """They ignore the message: a stream that only they were told of would be lost."""
    upgraded.kill(*upgraded.live()[3:])
    for number in range(3, 7):
        upgraded.start(f"n{number}", keeps=False)
    upgraded.run(2_000)
    for number in range(30):
        upgraded[0].begin(f"r{number}", "v1.1")
    upgraded.questions = upgraded.datagrams = 0
    upgraded.run(BATCH_MS)
    assert upgraded.datagrams == 2
    upgraded.kill(upgraded[0])
    found = results(upgraded, [upgraded[1], upgraded[2]], [f"r{number}" for number in range(30)])
    assert found == [KnownVersion("v1.1")] * 60


def test_streams_are_told_in_batches_to_three_peers(upgraded):
    """A message for each stream and peer would be most of what a busy node sends."""
    upgraded.datagrams = 0
    for number in range(40):
        upgraded[0].begin(f"{number:016x}", "v1")
    upgraded.run(BATCH_MS)
    assert KEEPERS <= upgraded.datagrams <= 6
    now_ms = upgraded.world.now_ms()
    for number in range(40):
        kept = [
            node.streams.memory.find(SERVICE, f"{number:016x}", now_ms) for node in upgraded.live()
        ]
        assert kept.count("v1") == 1 + KEEPERS
