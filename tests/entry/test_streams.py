"""Generations through real entry nodes: adapters, streams, what happens when a runner breaks."""

from __future__ import annotations

import re

import attrs
import gevent
import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.entry import stopping
from tests.entry.conftest import MODEL, route, wait_for


@pytest.fixture
def runners(fleet):
    return [fleet.runner("i-1"), fleet.runner("i-2")]


@pytest.fixture
def one(fleet, runners):
    node = fleet.node()
    fleet.holder()
    return node


def event_ids(body: bytes) -> list[int]:
    return [int(number) for number in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]


def test_a_cold_adapter_is_loaded_and_serves(fleet, one, runners):
    answer = fleet.generate(one, "a1", "r1")
    assert answer.head.status == 200
    assert event_ids(answer.body) == [1, 2, 3, 4]
    assert sum("a1" in runner.adapters for runner in runners) == 1


def test_a_request_for_the_base_model_needs_no_adapter(fleet, one):
    answer = fleet.ask(one, "/read/x", "r1", X_Model="m", X_Token_Count="10,5")
    assert event_ids(answer.body) == [1, 2, 3, 4]


def test_more_adapters_than_places_are_served_in_turn(fleet, one, runners):
    for number in range(20):
        answer = fleet.generate(one, f"a{number}", f"r{number}")
        assert answer.head.status == 200, number
    assert not any(runner.overfull for runner in runners)


def test_a_broken_stream_goes_on_at_another_runner(fleet, one, runners):
    """A runner breaks off in the middle of an event; the route may be resumed.

    The caller gets each event once, in order, in one answer with the first runner's signature.
    """
    fleet.generate(one, "a1", "warm")
    holder = next(runner for runner in runners if "a1" in runner.adapters)
    holder.faults.cut_after = 2
    answer = fleet.generate(one, "a1", "r1")
    assert event_ids(answer.body) == [1, 2, 3, 4]
    assert answer.head.value(b"x-server-signature") == b"sig-" + holder.server_id.encode()
    assert len(re.findall(rb"data: r1-\d", answer.body)) == 4


def test_a_stream_that_may_not_be_resumed_is_cut_where_it_broke(fleet, one, runners):
    """The route may not be resumed: whether the rest ran is unknown.

    The caller sees whole events only, and that the answer is not complete.
    """
    fleet.generate(one, "a1", "warm")
    for runner in runners:
        runner.faults.cut_after = 2
    with pytest.raises(AssertionError, match="ended inside"):
        fleet.generate(one, "a1", "r1", path="once")
    assert sum(runner.ran["r1"] for runner in runners) == 1


def test_an_adapter_that_was_taken_away_is_found_or_loaded_again(fleet, one, runners):
    """A runner restarted or another holder unloaded the adapter; this node does not know it yet."""
    fleet.generate(one, "a1", "r1")
    for runner in runners:
        runner.adapters.clear()
    assert fleet.generate(one, "a1", "r2").head.status == 200


def test_a_new_version_answers_soon_after_it_is_named(fleet, one, runners):
    fleet.generate(one, "a1", "r1")
    for runner in runners:
        runner.newest["a1"] = 2
    fleet.store.put("op", "version/m.a1", {"model": "m", "adapter": "a1", "version": 2})
    wait_for(lambda: one.daemon.cluster_state.version_by_adapter.get("m/a1") == 2)
    named = one.daemon.cluster_state._published_by_adapter["m/a1"]
    named[:] = [attrs.evolve(entry, at_ms=entry.at_ms - 4_000) for entry in named]
    assert fleet.generate(one, "a1", "r2").head.status == 200
    request = next(
        r for runner in runners for r in runner.requests if r.value(b"x-request-id") == b"r2"
    )
    assert request.value(b"x-expect-version") == b"2"


def test_another_node_gets_its_adapter_from_the_holder(fleet, one, runners):
    other = fleet.node()
    holder = fleet.holder()
    asked = other if holder is one else one
    assert fleet.generate(asked, "a7", "r1").head.status == 200
    assert len({name for runner in runners for _, name in runner.holders}) == 1


def test_a_killed_holder_is_replaced_and_its_number_never_used_again(fleet, one, runners):
    """The node that gives orders is killed while adapters are asked for.

    Another takes over with a higher fencing number, and generations go on.
    """
    others = [fleet.node(), fleet.node()]
    holder = fleet.holder()
    fleet.generate(holder, "a1", "r1")
    holder.kill()
    fleet.nodes.remove(holder)
    left = fleet.nodes[0]
    assert len(others) == 2
    wait_for(lambda: fleet.generate(left, "a9", "r2").head.status == 200)
    for runner in runners:
        numbers = [fence for fence, _ in runner.holders]
        assert numbers == sorted(numbers)
        by_number = {(fence, name) for fence, name in runner.holders}
        assert len(by_number) == len({fence for fence, _ in by_number})


def test_generations_go_on_when_the_holder_is_killed_in_an_outage_of_the_store(fleet, one, runners):
    """The store is down, then the holder is killed; nobody can claim in the store.

    An heir named in the store before goes on with the number kept for it.
    """
    for _ in range(2):
        fleet.node()
    holder = fleet.holder()
    gevent.sleep(0.8)
    fleet.store.faults.down = True
    gevent.sleep(0.3)
    holder.kill()
    fleet.nodes.remove(holder)
    wait_for(lambda: fleet.generate(fleet.nodes[0], "a9", "r2").head.status == 200)
    fleet.store.faults.down = False
    gevent.sleep(1.5)
    assert fleet.generate(fleet.nodes[0], "a10", "r3").head.status == 200
    for runner in runners:
        numbers = [fence for fence, _ in runner.holders]
        assert numbers == sorted(numbers)


def test_a_node_that_starts_in_an_outage_learns_from_the_others(fleet, one):
    fleet.plain("p-1")
    wait_for(lambda: one.daemon.cluster_state.server_registry.servers_of("plain"))
    fleet.store.faults.down = True
    late = fleet.node(seeds=(one.daemon.settings.peer_address,))
    assert fleet.ask(late, "/look/x", "r1").head.status == 200


def test_a_node_cut_off_from_the_store_gets_a_newer_configuration_from_the_others(fleet, one):
    other = fleet.node()
    wait_for(lambda: other.daemon.view.is_alive("n1", other.daemon.clock.now_ms()))
    other.daemon.store_watches.operator._feed.changes = lambda *_: gevent.sleep(60)
    gevent.sleep(0.1)
    fleet.configure(version=7)
    wait_for(lambda: one.daemon.cluster_state.route_table.version == 7)
    other.daemon.cluster_state.route_table = attrs.evolve(
        one.daemon.cluster_state.route_table, version=1
    )
    wait_for(lambda: other.daemon.cluster_state.route_table.version == 7)


def test_a_stop_ends_no_request_and_hands_the_duty_on(fleet, one, runners):
    """A node gets the word to stop while a stream runs through it.

    The stream goes on to its end, the node is no longer named, and another gives the orders.
    """
    other = fleet.node()
    holder = fleet.holder()
    for runner in runners:
        runner.events, runner.event_ms = 20, 40
    fleet.generate(holder, "a1", "warm")
    answers = []
    gevent.spawn(lambda: answers.append(fleet.generate(holder, "a1", "r1")))
    gevent.sleep(0.2)
    stopping_now = gevent.spawn(stopping.stop_gracefully, holder.daemon)
    wait_for(lambda: answers)
    assert event_ids(answers[0].body) == list(range(1, 21))
    assert not holder.daemon.is_ready()
    rest = other if holder is one else one
    wait_for(lambda: rest.daemon.cell_leases.lease_of("llm").scheduler is not None)
    stopping_now.join(10)
    assert stopping_now.ready()


def test_a_resumed_stream_goes_before_those_that_wait(fleet, one, runners):
    """Places are full and many wait; a stream breaks off in its middle.

    Half an answer is worth nothing to its caller: the rest is asked for before all others.
    """
    asked = []
    duties = one.daemon.cell_leases
    desk = duties.lease_of("llm").scheduler
    ask = desk.request_slot
    desk.request_slot = lambda waiter, *rest: (asked.append(waiter.priority), ask(waiter, *rest))
    fleet.generate(one, "a1", "warm")
    holder = next(runner for runner in runners if "a1" in runner.adapters)
    holder.faults.cut_after = 2
    fleet.generate(one, "a1", "r1")
    assert asked == [0, -1]


def test_a_runner_that_hangs_is_given_up_for_another(fleet, one, runners):
    """A runner takes a request and never sends an event; nothing else waits there.

    The route may be resumed: after two latency objectives the request goes to another runner.
    """
    fleet.configure(
        version=2, routes=[route("read", "stream", "llm", resumable=True, targetLatencyMs=200)]
    )
    wait_for(lambda: one.daemon.cluster_state.route_table.version == 2)
    fleet.generate(one, "a1", "warm")
    hanging = next(runner for runner in runners if "a1" in runner.adapters)
    hanging.faults.slow_ms = 30_000
    answer = fleet.generate(one, "a1", "r1")
    assert event_ids(answer.body) == [1, 2, 3, 4]
    assert hanging.left == 1
    assert (
        one.daemon.health_tracker.failure_share(
            ServerLife(hanging.server_id), one.daemon.clock.now_ms()
        )
        > 0
    )


def test_a_request_waits_for_a_place_no_longer_than_its_caller_does(fleet, one, runners):
    """Callers of a stream leave after four latency objectives without an event, here 2.4 s of 8.

    Held for a share of its deadline, the request would be worked on for a caller that has left, and
    the caller would not be told when to come back.
    """
    quick = route("read", "stream", "llm", resumable=True, targetLatencyMs=600, gapAimMs=100)
    fleet.configure(version=2, routes=[{**quick, "timeoutMs": 8_000}])
    wait_for(lambda: one.daemon.cluster_state.route_table.version == 2)
    for runner in runners:
        runner.start_again(1_000)
    one.daemon.cell_leases.lease_of("llm").lease_loop.drop_lease()
    one.daemon.cell_leases.lease_of("llm").lease_loop._may_claim = lambda: False
    began_ms = one.daemon.clock.now_ms()
    told = {"X_Model": "m/a1", "X_Token_Count": "100,20"}
    answer = fleet.ask(one, "/read/x", "r1", b"prompt", deadline_ms=8_000, **told)
    took_ms = one.daemon.clock.now_ms() - began_ms
    assert answer.head.status == 503
    assert answer.head.value(b"retry-after") is not None
    assert 1_500 < took_ms < 2_400


def test_a_runner_that_lacks_an_adapter_is_not_asked_again_and_again(fleet, one, runners):
    """The holder believes that a runner has an adapter; an unload of before was carried out late.

    Sent back by the holder each time, one request reached the runner 41 times in 0.2 s.
    """
    other = fleet.node()
    assert fleet.generate(one, "a1", "r1").head.status == 200
    holder = next(runner for runner in runners if runner.ran["r1"])
    asked = []
    run = holder._run

    def count(request, reply):
        asked.append(request.value(b"x-request-id"))
        run(request, reply)

    holder._run = count
    holder.adapters.clear()
    holder.sequence += 1
    for node in (one, other):
        wait_for(lambda node=node: node.daemon.cell_leases.residency.holders("m/a1"))
    answer = fleet.generate(other if fleet.holder() is one else one, "a1", "r2")
    assert answer.head.status == 200
    assert asked.count(b"r2") <= 3


def test_the_line_of_a_sent_generation_tells_what_is_before_it(fleet, one, runners, caplog):
    """Where a request waited for seconds, its line tells what was known of the queue at the send.

    The version that the runner is believed to hold, what is to be read there and for how long, for
    a place that was asked for as well as for one that was known.
    """
    caplog.set_level("INFO")
    fleet.generate(one, "a1", "r1")
    wait_for(lambda: one.daemon.cell_leases.residency.holders("m/a1"))
    fleet.generate(one, "a1", "r2")
    lines = [line for line in caplog.messages if "event=request_sent" in line]
    assert [re.search(r"why=(\w+)", line)[1] for line in lines] == ["placed", "held"]
    for line in lines:
        assert " version=1 " in line and " unread_tokens=0 expected_ms=" in line, line


def test_a_request_without_a_first_event_is_given_up_before_its_caller_leaves(fleet, one, runners):
    """A runner has turned slow; its caller leaves after four seconds without a first event.

    Told at that moment, a runner that reads long prompts slowly goes on for 0.75 s with what nobody
    wants: 10 of 14 such requests on a loaded day. The caller is answered, and may ask again.
    """
    slow = route("read", "stream", "llm", resumable=True, gapAimMs=400, timeoutMs=9_000)
    fleet.configure(version=2, routes=[slow])
    wait_for(lambda: one.daemon.config_version() == 2)
    fleet.generate(one, "a1", "warm")
    for runner in runners:
        runner.faults.slow_ms = 8_000
    began_ms = one.daemon.clock.now_ms()
    answer = fleet.ask(
        one,
        "/read/x",
        "r1",
        b"prompt",
        deadline_ms=9_000,
        X_Model=f"{MODEL}/a1",
        X_Token_Count="100,20",
    )
    took_ms = one.daemon.clock.now_ms() - began_ms
    assert answer.head.status == 502
    assert took_ms < 4_000 - 500
