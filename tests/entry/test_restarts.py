"""Runners that start again under their id, and spoilt entries, before real entry nodes."""

from __future__ import annotations

import attrs
import gevent
import pytest

from monsoonflow.core.server_life import ServerLife
from tests.entry.conftest import MODEL, wait_for


@pytest.fixture
def one(fleet):
    runner = fleet.runner("i-1")
    runner.start_again(1_000, MODEL)
    fleet.store.put("servers", "i-1", runner.entry())
    return fleet.node()


def register(fleet, runner):
    fleet.store.put("servers", runner.server_id, runner.entry())


def test_a_runner_that_starts_again_serves_what_it_is_ordered_anew(fleet, one):
    """The runner loses its adapters and keeps its id and address.

    Believed to hold them still, it would be sent requests that it refuses, for a minute.
    """
    (runner,) = fleet.servers
    assert fleet.generate(one, "a1", "r1").head.status == 200
    runner.start_again(2_000, MODEL)
    register(fleet, runner)
    wait_for(
        lambda: one.daemon.cluster_state.server_registry.is_accepting_work(
            ServerLife.of("i-1", 2_000)
        )
    )
    assert fleet.generate(one, "a1", "r2").head.status == 200
    assert runner.adapters == {"a1": 1}
    assert not runner.overfull


def test_a_runner_that_starts_again_is_known_before_its_entry_says_so(fleet, one):
    """The entry still names the life before: the runner's own report tells its new one."""
    (runner,) = fleet.servers
    assert fleet.generate(one, "a1", "r1").head.status == 200
    runner.start_again(2_000, MODEL)
    assert fleet.generate(one, "a1", "r2").head.status == 200
    assert one.daemon.cluster_state.server_registry.is_accepting_work(ServerLife.of("i-1", 2_000))


def test_a_runner_that_starts_again_and_again_goes_on_serving(fleet, one):
    (runner,) = fleet.servers
    for number in range(6):
        runner.start_again(2_000 + number, MODEL)
        register(fleet, runner)
        assert fleet.generate(one, f"a{number}", f"r{number}").head.status == 200
    assert not runner.overfull


def test_a_stream_that_a_restart_cuts_goes_on_at_another_runner(fleet, one):
    (first,) = fleet.servers
    second = fleet.runner("i-2")
    second.start_again(1_500, MODEL)
    register(fleet, second)
    wait_for(lambda: len(one.daemon.cluster_state.server_registry.servers_of("llm")) == 2)
    for runner in (first, second):
        runner.faults.cut_after = 2
    cut = gevent.spawn(fleet.generate, one, "a1", "r1")
    holder = wait_for(lambda: next((r for r in (first, second) if r.ran["r1"]), None))
    other = second if holder is first else first
    other.faults.cut_after = None
    holder.start_again(9_000, MODEL)
    register(fleet, holder)
    answer = cut.get()
    assert answer.head.status == 200
    assert [b"r1-%d" % n in answer.body for n in range(1, 5)] == [True] * 4
    assert answer.body.count(b"data:") == 4


def test_a_spoilt_entry_takes_its_runner_out_of_use_until_it_is_good_again(fleet, one):
    """Another writer spoils one entry; the other runner goes on, and nothing else changes."""
    (first,) = fleet.servers
    second = fleet.runner("i-2")
    second.start_again(1_500, MODEL)
    register(fleet, second)
    book = one.daemon.cluster_state.server_registry
    wait_for(lambda: len(book.servers_of("llm")) == 2)
    fleet.store.put("servers", "i-1", {**first.entry(), "slots": "96"})
    wait_for(lambda: len(book.servers_of("llm")) == 1)
    assert fleet.generate(one, "a1", "r1").head.status == 200
    assert second.ran["r1"] == 1
    register(fleet, first)
    wait_for(lambda: len(book.servers_of("llm")) == 2)


def test_three_versions_in_two_seconds_are_each_judged_by_their_own_naming(fleet, one):
    """Version 2, 3 and 4 are named before any of them is everywhere.

    Counted from the newest, the bound on version 1 would begin anew with each: a request could
    begin on it long after version 2 was confirmed.
    """
    fleet.generate(one, "a1", "r0")
    beliefs, clock = one.daemon.cluster_state, one.daemon.clock
    placement = one.daemon.gateway._runner_chooser.placement
    for version in (2, 3, 4):
        fleet.servers[0].newest["a1"] = version
        body = {"model": MODEL, "adapter": "a1", "version": version}
        fleet.store.put("op", f"version/{MODEL}.a1", body)
        wait_for(lambda version=version: beliefs.version_by_adapter.get("m/a1") == version)
        gevent.sleep(0.3)
    until_ms = [placement.start_deadline_ms("m/a1", version) for version in (1, 2, 3)]
    assert until_ms == sorted(until_ms)
    assert until_ms[2] - until_ms[0] >= 500
    assert until_ms[0] <= clock.now_ms() - 600 + one.daemon.settings.bounds.version_ms
    assert placement.start_deadline_ms("m/a1", 4) is None
    assert fleet.generate(one, "a1", "r1").head.status == 200


def test_a_request_that_waits_at_a_runner_is_taken_back_before_it_begins_too_late(fleet, one):
    """A runner's own queue is seconds long; a newer version is named while a request waits there.

    Left there, the request would begin on the older version after the bound.
    """
    (runner,) = fleet.servers
    fleet.generate(one, "a1", "r0")
    runner.faults.slow_ms = 2_500
    settings = one.daemon.settings
    bounds = attrs.evolve(settings.bounds, version_ms=1_000)
    one.daemon.settings = attrs.evolve(settings, bounds=bounds)
    waiting = gevent.spawn(fleet.generate, one, "a1", "r1")
    wait_for(lambda: runner.ran["r1"])
    runner.faults.slow_ms = 5
    runner.newest["a1"] = 2
    fleet.store.put("op", f"version/{MODEL}.a1", {"model": MODEL, "adapter": "a1", "version": 2})
    assert waiting.get().head.status == 200
    assert runner.left == 1
    assert runner.requests[-1].value(b"x-expect-version") == b"2"
