"""Streams go on only at servers of the software version that began them."""

from __future__ import annotations

import re

import gevent
import orjson
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.entry.peers import SLOT_REQUEST_PATH
from monsoonflow.gateway.models import Handover
from monsoonflow.platform.headers import HeaderDialect
from monsoonflow.transport.client import ConnectionPools, call
from tests.entry.conftest import CONFIG, MODEL, route, wait_for
from tests.entry.partition import Cut, make_partitionable, partition

ADAPTERS = ("a1", "a2", "a3")
ALL_EVENTS = [1, 2, 3, 4]
AT_ONCE_MS = 500
"""Far less than a request waits for a slot."""


def add_runners(fleet):
    """Add runners of two software versions; only the first holds the adapters."""
    first = fleet.runner("i-1")
    first.adapters.update(dict.fromkeys(ADAPTERS, 1))
    return [first, fleet.runner("i-2", 3, "v2"), fleet.runner("i-3", 3, "v2"), fleet.runner("i-4")]


@pytest.fixture
def runners(fleet):
    return add_runners(fleet)


@pytest.fixture
def entry_node(fleet, runners):
    node = fleet.node()
    fleet.holder()
    wait_for(lambda: node.daemon.cell_leases.residency.holders(f"{MODEL}/a1"))
    return node


@pytest.fixture
def partitionable(fleet, monkeypatch):
    """Return a node that can be partitioned, and the runners of a fleet of three nodes."""
    make_partitionable(monkeypatch)
    runners = add_runners(fleet)
    for _ in range(3):
        fleet.node()
    holder = fleet.holder()
    for node in fleet.nodes:
        wait_for(lambda node=node: node.daemon.cell_leases.residency.holders(f"{MODEL}/a1"))
    return next(node for node in fleet.nodes if node is not holder), runners


class EarlierRelease(HeaderDialect):
    """The headers of a release whose nodes do not know the software versions of servers."""

    def read_handover(self, request):
        """Return a handover that names no software version."""
        handover = super().read_handover(request)
        if handover is None:
            return None
        return Handover(handover.elapsed_ms, handover.possible_runs)

    def stream_version_headers(self, software_version):
        """Return no header."""
        return []


def event_ids(body: bytes) -> list[int]:
    return [int(number) for number in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]


def versions(body: bytes) -> set[str]:
    """Return the software versions that generated the events of an answer."""
    return {version.decode() for version in re.findall(rb"^data: .* (v\d+)$", body, re.MULTILINE)}


def stream(fleet, node, adapter, request_id, path="read", **headers):
    """Send a request for a stream with an adapter."""
    return fleet.ask(
        node,
        f"/{path}/x",
        request_id,
        request_id.encode(),
        deadline_ms=2_900,
        X_Model=f"{MODEL}/{adapter}",
        X_Token_Count="100,20",
        **headers,
    )


def go_on(fleet, node, adapter, request_id, resumes, **headers):
    """Take up a stream after its second event."""
    return stream(fleet, node, adapter, request_id, Last_Event_Id="2", Resumes=resumes, **headers)


def run_count(fleet, request_id):
    return sum(server.ran[request_id] for server in fleet.servers)


def drain(fleet, *servers):
    """Let servers announce that they leave; return when all nodes know it."""
    for server in servers:
        fleet.store.put("servers", server.server_id, server.entry(state="draining"))
    for node in fleet.nodes:
        registry = node.daemon.cluster_state.server_registry
        for server in servers:
            life = registry.life_of(server.server_id)
            wait_for(lambda life=life, known=registry: not known.is_accepting_work(life))


def begin_slowly(fleet, node, runner, adapter, request_id):
    """Begin a stream that its runner does not end in time; return its task after its first event.

    The events of other runners come at once.
    """
    runner.event_ms = 1_000
    task = gevent.spawn(stream, fleet, node, adapter, request_id)
    wait_for(lambda: runner.ran[request_id])
    gevent.sleep(0.1)
    return task


def lose_servers(node):
    """Partition a node from all servers, which it notices."""
    partition(node, Cut.RESET)
    wait_for(lambda: node.daemon.service_paths.check_is_lost("llm", 2))


def assert_refused_unrun(fleet, answer, request_id):
    assert answer.head.status == 503
    assert float(answer.head.value(b"retry-after")) > 0
    assert run_count(fleet, request_id) == 0


def test_an_answer_goes_on_at_the_version_that_began_it(fleet, entry_node, runners):
    """A node went on at any runner, and one answer held events of two versions.

    No other runner holds the adapter: it is loaded at one of the same version.
    """
    first, *_, same_version = runners
    first.faults.cut_after = 2
    for adapter in ADAPTERS:
        answer = stream(fleet, entry_node, adapter, f"r-{adapter}")
        assert first.ran[f"r-{adapter}"] == 1
        assert event_ids(answer.body) == ALL_EVENTS
        assert versions(answer.body) == {"v1"}
        assert same_version.ran[f"r-{adapter}"] == 1


def test_a_caller_goes_on_at_the_version_that_began_its_stream(fleet, entry_node, runners):
    """A node sent a stream that its caller takes up again to a runner of any version.

    The runner that began it has gone, and no runner that stays holds the adapter.
    """
    first, *_, same_version = runners
    for adapter in ADAPTERS:
        assert versions(stream(fleet, entry_node, adapter, f"r-{adapter}").body) == {"v1"}
    drain(fleet, first)
    for adapter in ADAPTERS:
        answer = go_on(fleet, entry_node, adapter, f"again-{adapter}", f"r-{adapter}")
        assert event_ids(answer.body) == [3, 4]
        assert versions(answer.body) == {"v1"}
        assert same_version.ran[f"again-{adapter}"] == 1


def test_a_caller_names_the_first_attempt_in_each_of_many_tries(fleet, entry_node, runners):
    """Only the attempt that began the stream is named, also by a caller that came back before."""
    first, *_ = runners
    stream(fleet, entry_node, "a1", "r-1")
    drain(fleet, first)
    for number in range(2, 6):
        answer = go_on(fleet, entry_node, "a1", f"r-{number}", "r-1")
        assert versions(answer.body) == {"v1"}


def test_an_answer_ends_when_no_server_of_its_version_is_left(fleet, entry_node, runners):
    """A node went on at a runner of another version when it had no other."""
    first, *_, same_version = runners
    task = begin_slowly(fleet, entry_node, first, "a1", "r-1")
    drain(fleet, first, same_version)
    first.faults.cut_after = 1
    with pytest.raises(AssertionError, match="ended inside"):
        task.get()
    assert run_count(fleet, "r-1") == 1


def test_a_caller_is_refused_at_once_when_no_server_of_its_version_is_left(
    fleet, entry_node, runners
):
    """Another version went on; a request that waits for a server in vain helps nobody either."""
    first, *_, same_version = runners
    stream(fleet, entry_node, "a1", "r-1")
    drain(fleet, first, same_version)
    began_ms = entry_node.daemon.clock.now_ms()
    answer = go_on(fleet, entry_node, "a1", "r-2", "r-1")
    assert_refused_unrun(fleet, answer, "r-2")
    assert entry_node.daemon.clock.now_ms() - began_ms < AT_ONCE_MS


@pytest.mark.parametrize("several_versions", [True, False])
def test_a_stream_of_an_unknown_version_is_refused_unrun(fleet, several_versions, caplog):
    """A node guessed the version of a stream that began elsewhere.

    That all servers it knows have one version proves nothing while its list is old.
    """
    caplog.set_level("INFO")
    fleet.runner("i-1")
    fleet.runner("i-2", 3, "v2" if several_versions else "v1")
    node = fleet.node()
    fleet.holder()
    if not several_versions:
        fleet.store.faults.down = True
        wait_for(lambda: not node.daemon.software_versions.is_list_current(), within_s=8)
    began_ms = node.daemon.clock.now_ms()
    answer = go_on(fleet, node, "a1", "r-2", "unknown")
    assert_refused_unrun(fleet, answer, "r-2")
    assert node.daemon.clock.now_ms() - began_ms < AT_ONCE_MS
    (ended,) = [line for line in caplog.messages if "event=request_ended" in line]
    assert "software version" in ended
    (accepted,) = [line for line in caplog.messages if "event=request_accepted" in line]
    assert "resumes=unknown" in accepted


def test_a_stream_without_the_attempt_that_began_it_is_refused_among_versions(fleet, entry_node):
    """A caller that does not name the attempt that began its stream got any version."""
    answer = stream(fleet, entry_node, "a1", "r-2", Last_Event_Id="2")
    assert_refused_unrun(fleet, answer, "r-2")


def test_a_stream_without_the_attempt_that_began_it_goes_on_at_a_single_version(fleet):
    """Callers that name no attempt must still be served where there is one version."""
    fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    answer = stream(fleet, node, "a1", "r-2", Last_Event_Id="2")
    assert event_ids(answer.body) == [3, 4]


def test_streams_of_a_split_route_go_on_at_their_service(fleet):
    """A service was drawn anew, and the other one knows nothing of the stream."""
    plain, engines = CONFIG["services"]
    split = [{"service": name, "weight": 1} for name in ("plain", "plain2")]
    fleet.configure(
        routes=[route("flow", "stream", "plain", resumable=True, trafficSplit=split)],
        services=[plain, {**plain, "name": "plain2"}, engines],
    )
    for service in ("plain", "plain2"):
        fleet.runner(f"{service}-1", 3, "v1", service=service)
        fleet.runner(f"{service}-2", 3, "v2", service=service)
    node = fleet.node()
    wait_for(lambda: len(node.daemon.cluster_state.server_registry.server_by_life) == 4)
    for number in range(16):
        begun = fleet.ask(node, "/flow/x", f"r-{number}", b"prompt")
        resumed = {"Last_Event_Id": "2", "Resumes": f"r-{number}"}
        answer = fleet.ask(node, "/flow/x", f"s-{number}", b"prompt", **resumed)
        assert (begun.head.status, answer.head.status) == (200, 200)
        assert versions(answer.body) == versions(begun.body)
        services = {
            found.head.value(b"x-instance-id").rpartition(b"-")[0] for found in (begun, answer)
        }
        assert len(services) == 1


@pytest.mark.parametrize("ending", ["crashes", "refuses"])
def test_a_stream_of_the_only_version_does_not_go_on_at_one_that_comes_while_it_waits(
    fleet, ending
):
    """With one version any server seemed to do, and the stream went on at a new server."""
    first = fleet.runner("i-1")
    first.adapters["a1"] = 1
    node = fleet.node()
    fleet.holder()
    wait_for(lambda: node.daemon.cell_leases.residency.holders(f"{MODEL}/a1"))
    first.faults.queue_ms = 2_500
    waiting = gevent.spawn(go_on, fleet, node, "a1", "r-2", "r-1")
    gevent.sleep(0.3)
    assert not waiting.ready()
    second = fleet.runner("i-2", 3, "v2")
    second.adapters["a1"] = 1
    fleet.store.put("servers", "i-2", second.entry())
    registry = node.daemon.cluster_state.server_registry
    wait_for(lambda: len(registry.servers_of("llm")) == 2)
    if ending == "crashes":
        first.crash()
    else:
        first.adapters.pop("a1")
    assert "v2" not in versions(waiting.get().body)


def test_a_server_that_restarts_under_its_id_does_not_keep_its_version(fleet):
    """The version of the process before was taken for that of the new one."""
    runner = fleet.runner("i-1")
    runner.adapters["a1"] = 1
    runner.born = 1_000
    fleet.store.put("servers", "i-1", runner.entry())
    node = fleet.node()
    fleet.holder()
    registry = node.daemon.cluster_state.server_registry
    wait_for(lambda: registry.life_of("i-1").born_ms == 1_000)
    runner.start_again(2_000, MODEL)
    runner.software_version = "v2"
    assert versions(stream(fleet, node, "a1", "r-1").body) == {"v2"}
    other = fleet.runner("i-2")
    other.adapters["a1"] = 1
    fleet.store.put("servers", "i-1", runner.entry())
    wait_for(lambda: {s.software_version for s in registry.servers_of("llm")} == {"v1", "v2"})
    assert "v1" not in versions(go_on(fleet, node, "a1", "r-2", "r-1").body)


def test_a_stream_that_its_caller_takes_up_goes_before_new_ones(fleet):
    """Half an answer waited behind whole ones."""
    routes = [{**r, "priority": 3} if r["name"] == "read" else r for r in CONFIG["routes"]]
    fleet.configure(routes=routes)
    runner = fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    stream(fleet, node, "a1", "r-1")
    go_on(fleet, node, "a1", "r-2", "r-1")
    ranks = {r.value(b"x-request-id"): r.value(b"x-request-priority") for r in runner.requests}
    assert ranks == {b"r-1": b"3", b"r-2": b"0"}


@pytest.mark.parametrize("changed", [{"software_version": ["v1"]}, {"adapter": ["a1"]}])
def test_a_malformed_slot_request_of_a_peer_is_refused(fleet, changed):
    """It ended the task that loads adapters, and no adapter was loaded any more."""
    fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    slot_request = {
        "cell": "llm",
        "adapter": f"{MODEL}/a1",
        "version": 1,
        "priority": 1,
        "wait_ms": 500,
        "on_time_ms": 500,
        "avoid": [],
        "session": None,
        "lacking": [],
        "rank": 1,
        "prompt_tokens": 10,
        "read_ms": None,
        "tokens_per_ms": 1.0,
        "waited_ms": 0,
        "tried_ms": 0,
        **changed,
    }
    answer = call(
        ConnectionPools(MonotonicClock()),
        node.daemon.settings.peer_address,
        "POST",
        SLOT_REQUEST_PATH,
        orjson.dumps(slot_request),
        2_000,
    )
    assert answer.head.status == 400
    assert event_ids(stream(fleet, node, "a2", "r-1").body) == ALL_EVENTS


def test_a_stream_without_events_may_begin_at_any_version(fleet, entry_node, runners):
    """A caller that has no event yet needs no version, although it names an earlier attempt."""
    first, *_, same_version = runners
    drain(fleet, first, same_version)
    answer = stream(fleet, entry_node, "a1", "r-2", Resumes="unknown")
    assert event_ids(answer.body) == ALL_EVENTS
    assert versions(answer.body) == {"v2"}


def test_a_stream_whose_first_server_names_no_version_does_not_go_on_elsewhere(fleet):
    """A server of an unknown version may be of any: no other server may add to its events."""
    first = fleet.runner("i-1", 3, "")
    first.adapters["a1"] = 1
    fleet.runner("i-2", 3, "v2")
    node = fleet.node()
    fleet.holder()
    wait_for(lambda: node.daemon.cell_leases.residency.holders(f"{MODEL}/a1"))
    first.faults.cut_after = 2
    with pytest.raises(AssertionError, match="ended inside"):
        stream(fleet, node, "a1", "r-1")
    assert {server.server_id for server in fleet.servers if server.ran["r-1"]} == {"i-1"}


def test_requests_to_a_service_without_streams_are_served_at_any_version(fleet):
    """The headers of streams mean nothing for other requests."""
    for name, version in (("p-1", "v1"), ("p-2", "v2")):
        server = fleet.plain(name)
        server.faults.slow_ms = 50
        fleet.store.put("servers", name, server.entry(version=version))
    node = fleet.node()
    wait_for(lambda: len(node.daemon.cluster_state.server_registry.servers_of("plain")) == 2)
    headers = {"Last_Event_Id": "2", "Resumes": "unknown"}
    tasks = [
        gevent.spawn(lambda name: fleet.ask(node, "/look/x", name, **headers), f"r-{number}")
        for number in range(8)
    ]
    assert [task.get().head.status for task in tasks] == [200] * 8
    assert all(server.requests for server in fleet.servers)


@pytest.fixture
def plain_streams(fleet):
    """Return a node before servers of two versions of a plain service with streams."""
    flow = route("flow", "stream", "plain", resumable=True, gapAimMs=400)
    fleet.configure(routes=[*CONFIG["routes"], flow])
    for name, version in (("p-1", "v1"), ("p-2", "v2"), ("p-3", "v1"), ("p-4", "v2")):
        fleet.runner(name, 3, version, "plain")
    node = fleet.node()
    wait_for(lambda: len(node.daemon.cluster_state.server_registry.servers_of("plain")) == 4)
    return node


def test_a_caller_goes_on_at_its_version_of_a_plain_service(fleet, plain_streams):
    """The servers of a plain service with streams were chosen by load alone."""
    for number in range(12):
        began = fleet.ask(plain_streams, "/flow/x", f"r-{number}", b"%d" % number)
        headers = {"Last_Event_Id": "2", "Resumes": f"r-{number}"}
        answer = fleet.ask(plain_streams, "/flow/x", f"again-{number}", b"%d" % number, **headers)
        assert event_ids(answer.body) == [3, 4]
        assert versions(answer.body) == versions(began.body)


def test_an_answer_goes_on_at_its_version_of_a_plain_service(fleet, plain_streams):
    """The servers of a plain service with streams were chosen by load alone."""
    for server in fleet.servers[:2]:
        server.faults.cut_after = 2
    for number in range(12):
        answer = fleet.ask(plain_streams, "/flow/x", f"r-{number}", b"%d" % number)
        assert event_ids(answer.body) == ALL_EVENTS
        assert len(versions(answer.body)) == 1


@pytest.mark.parametrize("adapter", ADAPTERS)
def test_an_answer_of_a_peer_goes_on_at_its_version_through_another_peer(
    fleet, partitionable, adapter
):
    """A node did not know which version had answered through a peer that is gone."""
    node, (first, *_, same_version) = partitionable
    lose_servers(node)
    task = begin_slowly(fleet, node, first, adapter, "r-1")
    drain(fleet, first)
    for connection in node.daemon.forwarding_pools.connections:
        connection.close()
    answer = task.get()
    assert event_ids(answer.body) == ALL_EVENTS
    assert versions(answer.body) == {"v1"}
    assert same_version.ran["r-1"] == 1
    names = {name.lower() for name, _ in answer.head.headers}
    assert not any(name.startswith(b"x-monsoonflow") for name in names)


@pytest.mark.parametrize("adapter", ADAPTERS)
def test_an_answer_of_a_server_goes_on_at_its_version_through_a_peer(fleet, partitionable, adapter):
    """A peer did not know which version had begun the stream that it was to go on with."""
    node, (first, *_, same_version) = partitionable
    task = begin_slowly(fleet, node, first, adapter, "r-1")
    drain(fleet, first)
    lose_servers(node)
    answer = task.get()
    assert event_ids(answer.body) == ALL_EVENTS
    assert versions(answer.body) == {"v1"}
    assert same_version.ran["r-1"] == 1


def test_an_answer_of_a_peer_of_an_earlier_release_does_not_go_on(fleet, partitionable):
    """Such a peer does not say which version began the stream."""
    node, (first, *_, same_version) = partitionable
    for peer in fleet.nodes:
        if peer is not node:
            peer.daemon.gateway._dialect = EarlierRelease()
    lose_servers(node)
    task = begin_slowly(fleet, node, first, "a1", "r-1")
    drain(fleet, first, same_version)
    for connection in node.daemon.forwarding_pools.connections:
        connection.close()
    with pytest.raises(AssertionError, match="ended inside"):
        task.get()


def test_events_of_a_peer_of_an_earlier_release_are_not_joined(fleet, partitionable):
    """Such a peer goes on at any version, whatever the node asks of it."""
    node, (first, *_, same_version) = partitionable
    for peer in fleet.nodes:
        if peer is not node:
            peer.daemon.gateway._dialect = EarlierRelease()
    task = begin_slowly(fleet, node, first, "a1", "r-1")
    drain(fleet, first, same_version)
    lose_servers(node)
    with pytest.raises(AssertionError, match="ended inside"):
        task.get()


def test_the_logs_name_the_software_versions_of_servers(fleet, caplog):
    """The logs could not show that a server of another version went on with a stream."""
    caplog.set_level("INFO")
    fleet.runner("i-1", 3, "v7")
    node = fleet.node()
    fleet.holder()
    stream(fleet, node, "a1", "r-1")
    for event in ("server_came", "request_sent"):
        line = next(line for line in caplog.messages if f"event={event}" in line)
        assert "software_version=v7" in line, line


@pytest.mark.parametrize("adapter", ADAPTERS)
def test_a_caller_of_a_node_without_servers_goes_on_at_the_version_that_began_its_stream(
    fleet, partitionable, adapter
):
    """Such a node never sees a server, only its peers' answers."""
    node, (first, *_) = partitionable
    lose_servers(node)
    assert versions(stream(fleet, node, adapter, "r-1").body) == {"v1"}
    drain(fleet, first)
    answer = go_on(fleet, node, adapter, "r-2", "r-1")
    assert event_ids(answer.body) == [3, 4]
    assert versions(answer.body) == {"v1"}


@pytest.mark.parametrize("adapter", ADAPTERS)
@pytest.mark.parametrize("is_earlier_release", [False, True])
def test_the_lease_holder_loads_an_adapter_at_the_version_that_began_a_stream(
    fleet, runners, adapter, is_earlier_release
):
    """A holder of an earlier release ignores the version that a slot request names."""
    nodes = [fleet.node(), fleet.node()]
    holder = fleet.holder()
    node = next(node for node in nodes if node is not holder)
    wait_for(lambda: node.daemon.cell_leases.residency.holders(f"{MODEL}/{adapter}"))
    if is_earlier_release:
        leases = holder.daemon.cell_leases
        request_slot = leases.request_slot
        leases.request_slot = lambda lease, slot_request: request_slot(
            lease, {**slot_request, "software_version": None}
        )
    first, *_, same_version = runners
    assert versions(stream(fleet, node, adapter, "r-1").body) == {"v1"}
    drain(fleet, first)
    answer = go_on(fleet, node, adapter, "r-2", "r-1")
    assert versions(answer.body) == {"v1"}
    assert same_version.ran["r-2"] == 1
    assert not any(adapter in runner.adapters for runner in runners[1:3])
