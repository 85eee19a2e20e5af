"""Nodes whose store comes back from an older copy of its rows and counts on from there."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs
import gevent
import orjson
import pytest

from monsoonflow.entry.cell_lease_row import CELL_LEASE_PREFIX, decode_cell_lease
from monsoonflow.entry.store_follower import MISSING_GRACE_MS, NODE_RECORD_PREFIX
from monsoonflow.entry.version_record import VERSION_RECORD_PREFIX, VersionRecord, merged
from monsoonflow.fleet import codec
from monsoonflow.fleet.models import ShortHeartbeat
from monsoonflow.platform.store import OWN_TABLE
from monsoonflow.storage.models import Unavailable
from monsoonflow.storage.watch import CollectionWatch
from stand_ins.platform_runner import PlatformServer
from stand_ins.platform_store import StoreCopy
from tests.entry.conftest import CONFIG, Fleet, Node, route, wait_for
from tests.entry.test_lease_loop import HEARTBEAT

LOST_WRITES = 12
"""Versions that were given out after the copy."""

ADDED = {"version": 3, "routes": [*CONFIG["routes"], route("added", "idempotent", "plain")]}
NO_STORE = "127.0.0.1:1"
IN_FORCE_S = 2.0
"""Within this time a confirmed change is in force."""


@pytest.fixture
def store(fleet):
    """Return the fleet's store; its answers state an era."""
    fleet.store.era = 1
    return fleet.store


@pytest.fixture(params=["old numbers unknown", "old numbers given out again"])
def return_from(request, store) -> Callable[..., None]:
    """Return a function that has the store return from a copy, and then writes something.

    Requests for changes after an old number get 410, or it has been given out again before, and so
    have those of the writes.
    """

    def return_from_copy(copy: StoreCopy, write: Callable[[], None] = lambda: None) -> None:
        last = store.version
        store.return_from(copy)
        write()
        while request.param == "old numbers given out again" and store.version <= last:
            store.put("other", "row", {})

    return return_from_copy


@pytest.fixture
def versions_seen() -> Iterator[Callable[[Node], list[int]]]:
    """Return a function that records the configurations in force at a node from now on."""
    tasks = []

    def follow(node: Node, versions: list[int]) -> None:
        while True:
            versions.append(node.daemon.config_version())
            gevent.sleep(0.005)

    def start(node: Node) -> list[int]:
        versions: list[int] = []
        tasks.append(gevent.spawn(follow, node, versions))
        return versions

    yield start
    gevent.killall(tasks)


def write_more(fleet: Fleet) -> None:
    for number in range(LOST_WRITES):
        fleet.store.put("other", f"row {number}", {})


def serve_second_configuration(fleet: Fleet, node: Node) -> None:
    write_more(fleet)
    fleet.configure(version=2)
    wait_for(lambda: node.daemon.config_version() == 2)


def takes_work(node: Node, server: PlatformServer) -> bool:
    registry = node.daemon.cluster_state.server_registry
    life = registry.life_of(server.server_id)
    return life is not None and registry.is_accepting_work(life)


def write_again(fleet: Fleet, server: PlatformServer, **changes: str) -> None:
    fleet.store.put("servers", server.server_id, server.entry(**changes))


def stored_epoch(fleet: Fleet) -> int:
    """Return the epoch of the stored cell lease; 0 without one."""
    row = next(
        (row for row in fleet.store.table_rows(OWN_TABLE) if row.key == CELL_LEASE_PREFIX + "llm"),
        None,
    )
    lease_row = decode_cell_lease("llm", row.body if row is not None else None)
    return lease_row.epoch if lease_row is not None else 0


def test_a_configuration_confirmed_after_the_return_is_in_force_in_time(
    fleet, store, return_from, versions_seen
):
    """Callers got 404 for a route seconds after its configuration was confirmed."""
    node = fleet.node()
    copy = store.copy()
    serve_second_configuration(fleet, node)
    seen = versions_seen(node)

    def write() -> None:
        fleet.configure(version=2)
        fleet.configure(**ADDED)

    return_from(copy, write)
    wait_for(lambda: node.daemon.config_version() == 3, within_s=IN_FORCE_S)
    assert min(seen) == 2


def test_a_node_that_asks_the_store_seldom_reads_it_when_a_peer_has_heard_of_a_return(
    fleet, store, monkeypatch
):
    """Its request could wait for 20 s on a connection that had fallen silent."""
    node = fleet.node()
    restarts = []
    monkeypatch.setattr(
        CollectionWatch, "restart_waiting_request", lambda watch: restarts.append(watch)
    )
    heartbeat = attrs.evolve(HEARTBEAT, store_era=store.era)
    node.daemon._handle_heartbeat(heartbeat)
    assert not restarts
    for _ in range(2):
        node.daemon._handle_heartbeat(attrs.evolve(heartbeat, store_era=store.era + 1))
    assert len(restarts) == 3


def test_heartbeats_state_the_era_and_those_of_an_earlier_release_none(fleet, store):
    node = fleet.node()
    wait_for(lambda: node.daemon.store_table.era() == store.era)
    heartbeat = node.daemon.heartbeat()
    assert codec.decode(codec.encode_heartbeat(heartbeat)).store_era == store.era
    short = codec.encode_short_heartbeat(ShortHeartbeat.from_heartbeat(heartbeat, True))
    assert codec.decode(short).store_era == store.era
    assert codec.decode(short).to_heartbeat(None, heartbeat.record).store_era == store.era
    assert codec.decode(orjson.dumps(orjson.loads(short)[:14])).store_era == 0


def test_a_configuration_that_the_store_forgot_stays_in_force(
    fleet, store, return_from, versions_seen
):
    node = fleet.node()
    copy = store.copy()
    serve_second_configuration(fleet, node)
    seen = versions_seen(node)
    return_from(copy)
    gevent.sleep(1.5)
    assert set(seen) == {2}


def test_a_server_that_leaves_after_the_return_gets_no_requests_in_time(fleet, store, return_from):
    """Requests reached a server seconds after its leaving was confirmed."""
    server = fleet.plain("i-1")
    fleet.plain("i-2")
    node = fleet.node()
    copy = store.copy()
    write_more(fleet)
    write_again(fleet, server)
    gevent.sleep(1.2)
    return_from(copy, lambda: write_again(fleet, server, state="draining"))
    wait_for(lambda: not takes_work(node, server), within_s=IN_FORCE_S)


def test_a_server_whose_leaving_the_store_forgot_gets_no_requests(fleet, store, return_from):
    server = fleet.plain("i-1")
    node = fleet.node()
    copy = store.copy()
    write_more(fleet)
    write_again(fleet, server, state="draining")
    wait_for(lambda: not takes_work(node, server))
    return_from(copy)
    for _ in range(15):
        gevent.sleep(0.1)
        assert not takes_work(node, server)


def test_a_server_that_the_store_forgot_stays_in_use_until_it_has_registered_again(
    fleet, store, return_from
):
    """A server that had registered after the copy counted as gone, although it served."""
    fleet.plain("i-1")
    node = fleet.node()
    copy = store.copy()
    write_more(fleet)
    server = fleet.plain("i-2")
    wait_for(lambda: takes_work(node, server))
    return_from(copy)
    for step in range(40):
        gevent.sleep(0.1)
        assert takes_work(node, server), step
        if step in (15, 25):
            write_again(fleet, server)


def test_a_server_that_does_not_register_again_gets_no_requests(fleet, store, return_from):
    fleet.plain("i-1")
    node = fleet.node()
    copy = store.copy()
    write_more(fleet)
    server = fleet.plain("i-2")
    wait_for(lambda: takes_work(node, server))
    return_from(copy)
    wait_for(lambda: not takes_work(node, server), within_s=MISSING_GRACE_MS / 1000 + 1.0)


def test_a_node_stays_ready_when_the_store_is_lost_again_before_all_rows_were_read(fleet, store):
    """All nodes were taken out of use at once, although they knew all servers."""
    fleet.plain("i-1")
    node = fleet.node()
    read_all = node.daemon.store_watches.servers._feed.read_all
    node.daemon.store_watches.servers._feed.read_all = lambda _: Unavailable("down")
    store.return_from(store.copy())
    for _ in range(20):
        gevent.sleep(0.1)
        assert node.daemon.is_ready()
    node.daemon.store_watches.servers._feed.read_all = read_all


def test_the_lease_holder_goes_on_after_the_return(fleet, store, return_from):
    """No node held the lease for more than a minute: no adapter was loaded."""
    fleet.runner("i-1")
    fleet.node()
    fleet.node()
    holder = fleet.holder()
    scheduler = holder.daemon.cell_leases.lease_of("llm").scheduler
    lease_loop = holder.daemon.cell_leases.lease_of("llm").lease_loop
    copy = store.copy()
    write_more(fleet)
    first_epoch = stored_epoch(fleet)
    gevent.sleep(1.0)
    return_from(copy)
    gevent.sleep(3.0)
    assert lease_loop.holds(holder.daemon.clock.now_ms())
    assert holder.daemon.cell_leases.lease_of("llm").scheduler is scheduler
    assert stored_epoch(fleet) > first_epoch


def test_fencing_numbers_do_not_repeat_when_the_store_forgot_a_claim(fleet, store, return_from):
    """All nodes end with the store, so that only runners remember the numbers given out."""
    fleet.runner("i-1")
    fleet.node()
    fleet.holder()
    copy = store.copy()
    epochs = [stored_epoch(fleet)]
    for _ in range(2):
        fleet.nodes[-1].kill()
        fleet.node()
        wait_for(lambda: stored_epoch(fleet) > epochs[-1])
        epochs.append(stored_epoch(fleet))
    fleet.nodes[-1].kill()
    return_from(copy)
    fleet.node()
    wait_for(lambda: stored_epoch(fleet) != epochs[0])
    assert stored_epoch(fleet) > max(epochs)


def test_a_record_of_software_versions_that_the_store_forgot_is_written_again(
    fleet, store, return_from
):
    """After a restart of all nodes streams would have been refused: no version was known."""
    copy = store.copy()
    fleet.runner("i-1")
    fleet.node()
    key = VERSION_RECORD_PREFIX + "llm"

    def is_stored() -> bool:
        return any(row.key == key for row in store.table_rows(OWN_TABLE))

    wait_for(is_stored)
    write_more(fleet)
    return_from(copy, lambda: write_again(fleet, fleet.servers[0]))
    assert not is_stored()
    wait_for(is_stored, within_s=5.0)


def test_a_record_keeps_the_versions_that_a_copy_of_it_lacks():
    """A version that had left was unknown again, and its streams went on at another one."""
    known = VersionRecord(70, 5, 1_000, frozenset({"v2", "v3"}), {"v1": 4_000, "v0": 3_000})
    stored = VersionRecord(10**12 + 60, 9, 1_000, frozenset({"v1", "v2"}), {"v0": 3_500})
    assert merged(stored, known) == VersionRecord(
        10**12 + 60, 9, 1_000, frozenset({"v1", "v2", "v3"}), {"v0": 3_500}
    )


def test_node_records_that_the_store_forgot_are_written_again(fleet, store, return_from):
    """Peers and callers did not learn of a node that had started after the copy."""
    first = fleet.node()
    copy = store.copy()
    write_more(fleet)
    second = fleet.node()
    name = second.daemon.settings.name
    wait_for(lambda: name in first.daemon.view.record_by_name)
    return_from(copy)
    key = NODE_RECORD_PREFIX + name

    def is_stored() -> bool:
        assert name in first.daemon.view.record_by_name
        return any(row.key == key for row in store.table_rows(OWN_TABLE))

    wait_for(is_stored, within_s=4.0)
    third = fleet.node()
    wait_for(lambda: name in third.daemon.view.record_by_name, within_s=1.0)


def test_a_node_that_starts_on_the_copy_has_the_configuration_of_its_peers(
    fleet, store, return_from
):
    """It would refuse a route that its peers serve."""
    fleet.node()
    copy = store.copy()
    write_more(fleet)
    fleet.configure(**ADDED)
    wait_for(lambda: fleet.nodes[0].daemon.config_version() == 3)
    return_from(copy)
    late = fleet.node()
    wait_for(lambda: late.daemon.config_version() == 3, within_s=IN_FORCE_S)


def test_a_node_that_starts_without_the_store_gets_nothing_older_from_its_peers(
    fleet, store, return_from
):
    """The peers' copies of the rows were those that they had just refused."""
    server = fleet.plain("i-1")
    fleet.plain("i-2")
    first = fleet.node()
    copy = store.copy()
    write_more(fleet)
    fleet.configure(**ADDED)
    write_again(fleet, server, state="draining")
    wait_for(lambda: first.daemon.config_version() == 3 and not takes_work(first, server))
    return_from(copy)
    gevent.sleep(1.5)
    late = fleet.node(seeds=(first.daemon.settings.peer_address,), store_address=NO_STORE)
    assert late.daemon.config_version() == 3
    assert not takes_work(late, server)
    assert len(late.daemon.cluster_state.server_registry.server_by_life) == 2


def test_a_node_that_starts_on_a_copy_denies_no_route_that_its_peers_serve(
    fleet, store, return_from
):
    """It took the copy for the whole configuration, and answered 404 for a confirmed route."""
    fleet.plain("i-1")
    first = fleet.node()
    write_more(fleet)
    copy = store.copy()
    fleet.configure(**ADDED)
    wait_for(lambda: first.daemon.config_version() == ADDED["version"])
    peer = fleet.node()
    wait_for(lambda: peer.daemon.config_version() == ADDED["version"])
    return_from(copy)
    fleet.first_start = False
    late = fleet.node(seeds=(first.daemon.settings.peer_address,))
    statuses = []
    for number in range(40):
        answer = fleet.ask(late, "/added/x", f"r{number}", method="GET")
        statuses.append(answer.head.status)
        gevent.sleep(0.05)
    assert 404 not in statuses
    assert statuses[-1] == 200
