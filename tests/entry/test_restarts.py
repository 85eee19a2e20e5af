"""Runners that restart under the same id, and corrupted entries, with real entry nodes."""

from __future__ import annotations

import attrs
import gevent
import pytest

from monsoonflow.core.server_life import ServerLife
from tests.entry.conftest import MODEL, wait_for


@pytest.fixture
def entry_node(fleet):
    runner = fleet.runner("i-1")
    runner.start_again(1_000, MODEL)
    fleet.store.put("servers", "i-1", runner.entry())
    return fleet.node()


def write_entry(fleet, runner):
    fleet.store.put("servers", runner.server_id, runner.entry())


def test_a_restarted_runner_is_ordered_to_load_its_adapters_again(fleet, entry_node):
    """The runner loses its adapters and keeps its id and address.

    A node that believes it still holds them would send it requests that it refuses, for a minute.
    """
    (runner,) = fleet.servers
    assert fleet.generate(entry_node, "a1", "r1").head.status == 200
    runner.start_again(2_000, MODEL)
    write_entry(fleet, runner)
    wait_for(
        lambda: entry_node.daemon.cluster_state.server_registry.is_accepting_work(
            ServerLife.of("i-1", 2_000)
        )
    )
    assert fleet.generate(entry_node, "a1", "r2").head.status == 200
    assert runner.adapters == {"a1": 1}
    assert not runner.overfull


def test_a_restart_is_known_before_the_entry_shows_it(fleet, entry_node):
    """The entry still names the previous life; the runner's own report names the new one."""
    (runner,) = fleet.servers
    assert fleet.generate(entry_node, "a1", "r1").head.status == 200
    runner.start_again(2_000, MODEL)
    assert fleet.generate(entry_node, "a1", "r2").head.status == 200
    assert entry_node.daemon.cluster_state.server_registry.is_accepting_work(
        ServerLife.of("i-1", 2_000)
    )


def test_a_runner_that_restarts_repeatedly_keeps_serving(fleet, entry_node):
    (runner,) = fleet.servers
    for number in range(6):
        runner.start_again(2_000 + number, MODEL)
        write_entry(fleet, runner)
        assert fleet.generate(entry_node, f"a{number}", f"r{number}").head.status == 200
    assert not runner.overfull


def test_a_stream_cut_by_a_restart_continues_at_another_runner(fleet, entry_node):
    (first,) = fleet.servers
    second = fleet.runner("i-2")
    second.start_again(1_500, MODEL)
    write_entry(fleet, second)
    wait_for(lambda: len(entry_node.daemon.cluster_state.server_registry.servers_of("llm")) == 2)
    for runner in (first, second):
        runner.faults.cut_after = 2
    stream = gevent.spawn(fleet.generate, entry_node, "a1", "r1")
    serving_runner = wait_for(lambda: next((r for r in (first, second) if r.ran["r1"]), None))
    other_runner = second if serving_runner is first else first
    other_runner.faults.cut_after = None
    serving_runner.start_again(9_000, MODEL)
    write_entry(fleet, serving_runner)
    answer = stream.get()
    assert answer.head.status == 200
    assert [b"r1-%d" % n in answer.body for n in range(1, 5)] == [True] * 4
    assert answer.body.count(b"data:") == 4


def test_a_runner_is_not_used_while_its_entry_is_corrupted(fleet, entry_node):
    """Another writer corrupts one entry; the other runner keeps serving, nothing else changes."""
    (first,) = fleet.servers
    second = fleet.runner("i-2")
    second.start_again(1_500, MODEL)
    write_entry(fleet, second)
    registry = entry_node.daemon.cluster_state.server_registry
    wait_for(lambda: len(registry.servers_of("llm")) == 2)
    fleet.store.put("servers", "i-1", {**first.entry(), "slots": "96"})
    wait_for(lambda: len(registry.servers_of("llm")) == 1)
    assert fleet.generate(entry_node, "a1", "r1").head.status == 200
    assert second.ran["r1"] == 1
    write_entry(fleet, first)
    wait_for(lambda: len(registry.servers_of("llm")) == 2)


def test_each_version_is_bounded_from_the_publication_of_the_next(fleet, entry_node):
    """Versions 2, 3 and 4 are published before any of them is loaded everywhere.

    Counted from the newest one, the bound on version 1 would start again with each: a request could
    start on it long after version 2 was confirmed.
    """
    fleet.generate(entry_node, "a1", "r0")
    cluster_state, clock = entry_node.daemon.cluster_state, entry_node.daemon.clock
    placement = entry_node.daemon.gateway._runner_chooser.placement
    for version in (2, 3, 4):
        fleet.servers[0].newest["a1"] = version
        row = {"model": MODEL, "adapter": "a1", "version": version}
        fleet.store.put("op", f"version/{MODEL}.a1", row)
        wait_for(lambda version=version: cluster_state.version_by_adapter.get("m/a1") == version)
        gevent.sleep(0.3)
    start_deadlines_ms = [placement.start_deadline_ms("m/a1", version) for version in (1, 2, 3)]
    assert start_deadlines_ms == sorted(start_deadlines_ms)
    assert start_deadlines_ms[2] - start_deadlines_ms[0] >= 500
    assert (
        start_deadlines_ms[0] <= clock.now_ms() - 600 + entry_node.daemon.settings.bounds.version_ms
    )
    assert placement.start_deadline_ms("m/a1", 4) is None
    assert fleet.generate(entry_node, "a1", "r1").head.status == 200


def test_a_request_queued_at_a_runner_is_recalled_before_it_starts_too_late(fleet, entry_node):
    """A newer version is published while a request waits in its runner's queue of some seconds.

    Left there, the request would start on the older version after the bound.
    """
    (runner,) = fleet.servers
    fleet.generate(entry_node, "a1", "r0")
    runner.faults.slow_ms = 2_500
    settings = entry_node.daemon.settings
    bounds = attrs.evolve(settings.bounds, version_ms=1_000)
    entry_node.daemon.settings = attrs.evolve(settings, bounds=bounds)
    request = gevent.spawn(fleet.generate, entry_node, "a1", "r1")
    wait_for(lambda: runner.ran["r1"])
    runner.faults.slow_ms = 5
    runner.newest["a1"] = 2
    fleet.store.put("op", f"version/{MODEL}.a1", {"model": MODEL, "adapter": "a1", "version": 2})
    assert request.get().head.status == 200
    assert runner.left == 1
    assert runner.requests[-1].value(b"x-expect-version") == b"2"


@pytest.mark.parametrize("kind", ["plain", "runner"])
def test_servers_that_lost_the_store_for_some_seconds_get_requests_again(fleet, kind):
    """The entries of both servers lapse, one after the other, and are written again."""
    servers = [
        fleet.plain(name) if kind == "plain" else fleet.runner(name) for name in ("i-1", "i-2")
    ]
    nodes = [fleet.node(), fleet.node()]
    registries = [node.daemon.cluster_state.server_registry for node in nodes]
    for server in servers:
        fleet.store.remove("servers", server.server_id)
        wait_for(lambda: all(len(registry.server_by_life) == 1 for registry in registries))
        fleet.store.put("servers", server.server_id, server.entry())
        wait_for(lambda: all(len(registry.server_by_life) == 2 for registry in registries))
    for node in nodes:
        answer = (
            fleet.ask(node, "/look/x", f"r-{node.address}", method="GET")
            if kind == "plain"
            else fleet.generate(node, "a1", f"r-{node.address}")
        )
        assert answer.head.status == 200
    lives = [ServerLife(server.server_id) for server in servers]
    wait_for(
        lambda: all(
            len(registry.servers_of(servers[0].service)) == 2
            and all(map(registry.is_accepting_work, lives))
            for registry in registries
        ),
        within_s=8,
    )
