"""How soon all nodes learn of changes after the store has answered no requests for a time."""

from __future__ import annotations

import pytest

from tests.entry.silent_store import (
    Fleet,
    has_adapter_version,
    has_configuration,
    has_node_record,
    has_stopped_using,
)

DRAIN_MS = 2_000
CONFIG_MS = 2_000
VERSION_MS = 5_000
LEASE_MS = 3_000
ENTRIES_BACK_MS = 1_990
"""Entries of living servers are back two seconds after an outage of the store."""

RECOVERY_MS = 3_000
"""Time after the end of a silence until the bounds hold again."""


@pytest.mark.parametrize("drops_waiting", [False, True])
@pytest.mark.parametrize("phase_ms", range(0, 1_100, 100))
def test_a_server_that_drains_after_a_silence_is_known_in_time(phase_ms: int, drops_waiting: bool):
    """Requests reached a server 2,101 ms after it had announced to leave, another 2,003 ms after.

    The store was silent for six seconds. Each of seven nodes had requested server changes in its
    first second, and waited for the answer as for any request that may wait 20 s for changes: all
    of them logged ``store_lost collection=servers answered_ago_ms=22501``, 16 s after the store was
    back. No node logged ``server_leaves``, and requests were sent until the server was gone.
    """
    fleet = Fleet(7, DRAIN_MS, drops_waiting=drops_waiting)
    fleet.run(5_000 + phase_ms)
    fleet.store.fall_silent(6_000)
    fleet.run(6_000 + RECOVERY_MS)
    assert fleet.drain("i-1")
    assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) < DRAIN_MS


@pytest.mark.parametrize("silence_ms", [700, 1_500, 3_000, 9_000, 20_000, 25_000])
def test_a_server_that_drains_after_a_silence_of_any_length_is_known_in_time(silence_ms: int):
    """The same after a silence of any length, and again after a second one."""
    fleet = Fleet(7, DRAIN_MS)
    for server_id in ("i-1", "i-2"):
        fleet.run(5_000)
        fleet.store.fall_silent(silence_ms)
        fleet.run(silence_ms + RECOVERY_MS)
        assert fleet.drain(server_id)
        assert fleet.until_all_know_ms(has_stopped_using(server_id), 30_000) < DRAIN_MS


@pytest.mark.parametrize("drops_waiting", [False, True])
@pytest.mark.parametrize("count", [7, 90])
def test_a_configuration_after_a_silence_is_in_force_in_time(count: int, drops_waiting: bool):
    """The store falls silent when all nodes have read a configuration and request the next.

    Routes that change after the silence, and adapter versions that are published then, must be in
    force within their bounds. Each request sent during the silence was waited for until the end of
    its 21.5 s: routes were known 12.5 s after they were confirmed, at all nodes at once.
    """
    fleet = Fleet(count, DRAIN_MS, drops_waiting=drops_waiting)
    fleet.run(10_000)
    assert fleet.configure()
    fleet.world.later(2, lambda: fleet.store.fall_silent(6_000))
    fleet.run(6_000 + RECOVERY_MS)
    assert fleet.configure()
    assert fleet.until_all_know_ms(has_configuration(fleet.config_version), 30_000) < CONFIG_MS
    assert fleet.publish_version(2)
    assert fleet.until_all_know_ms(has_adapter_version(2), 30_000) < VERSION_MS


@pytest.mark.parametrize("answers_to_lose", range(1, 8))
def test_lost_answers_do_not_make_a_draining_server_known_late(answers_to_lose: int):
    """The store works, but some nodes' next requests get no answer: they repeat them soon."""
    fleet = Fleet(7, DRAIN_MS)
    fleet.run(5_000)
    fleet.store.answers_to_lose = answers_to_lose
    fleet.run(300)
    assert fleet.drain("i-1")
    assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) < DRAIN_MS


@pytest.mark.parametrize("answers_to_lose", [0, 7])
def test_lost_answers_do_not_keep_a_removed_entry_in_use(answers_to_lose: int):
    """After an outage missing entries stay in use for a while, since entries lapse during it.

    One lost answer is an outage in which no entry lapses, so a removed server must not be used.
    """
    fleet = Fleet(7, DRAIN_MS)
    fleet.run(5_000)
    fleet.store.answers_to_lose = answers_to_lose
    fleet.run(1_300)
    fleet.remove("i-1")
    assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) < DRAIN_MS


@pytest.mark.parametrize("silence_ms", [1_500, 3_000, 9_000])
def test_an_entry_removed_after_a_silence_is_known_in_time(silence_ms: int):
    """Nodes that wait longer and longer for an answer notice the end of a silence late."""
    for phase_ms in range(0, 1_000, 200):
        fleet = Fleet(7, DRAIN_MS)
        fleet.run(5_000 + phase_ms)
        fleet.store.fall_silent(silence_ms)
        fleet.run(silence_ms + RECOVERY_MS)
        fleet.remove("i-1")
        assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) < DRAIN_MS


@pytest.mark.parametrize("answer_delay_ms", [240, 400, 800])
def test_answers_of_a_store_that_has_become_slow_are_still_received(answer_delay_ms: int):
    """With a timeout that suits a fast store, every answer of a slow one would arrive too late."""
    fleet = Fleet(7, DRAIN_MS)
    fleet.run(5_000)
    fleet.store.answer_delay_ms = answer_delay_ms
    fleet.run(10_000)
    assert fleet.drain("i-1")
    assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) < 2 * DRAIN_MS


@pytest.mark.parametrize("silence_ms", [1_500, 6_000])
def test_a_node_that_starts_after_a_silence_is_known_in_time(silence_ms: int):
    """A cell lease moves to a node within its duration; the node record says how to reach it."""
    fleet = Fleet(7, DRAIN_MS)
    fleet.run(7_000)
    fleet.store.fall_silent(silence_ms)
    fleet.run(silence_ms + RECOVERY_MS)
    assert fleet.add_node_record("n9")
    assert fleet.until_all_know_ms(has_node_record("n9"), 30_000) < LEASE_MS


def test_nodes_that_poll_seldom_learn_of_a_silence_from_the_server_watchers():
    """Six of ninety nodes watch servers; the others may miss a silence between two requests."""
    fleet = Fleet(90, DRAIN_MS, drops_waiting=True)
    fleet.run(30_000)
    fleet.store.fall_silent(2_500)
    fleet.run(2_500 + RECOVERY_MS)
    assert fleet.configure()
    assert fleet.until_all_know_ms(has_configuration(fleet.config_version), 30_000) < CONFIG_MS


@pytest.mark.parametrize("after_ms", [20, 400, 1_200])
@pytest.mark.parametrize("silence_ms", [700, 1_500, 3_000, 6_000])
@pytest.mark.parametrize("drops_waiting", [False, True])
def test_an_entry_removed_as_a_silence_ends_is_not_used_once_bounds_hold(
    after_ms: int, silence_ms: int, drops_waiting: bool
):
    """Guards against a grace period for missing entries that starts when the return is noticed."""
    for phase_ms in range(0, 1_000, 100):
        fleet = Fleet(7, DRAIN_MS, drops_waiting=drops_waiting)
        fleet.run(5_000 + phase_ms)
        fleet.store.fall_silent(silence_ms)
        fleet.run(silence_ms + after_ms)
        fleet.remove("i-1")
        max_ms = max(DRAIN_MS, RECOVERY_MS - after_ms)
        assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) <= max_ms, phase_ms


@pytest.mark.parametrize("silence_ms", [1_500, 3_000, 6_000])
def test_a_living_server_whose_entry_is_back_two_seconds_after_a_silence_stays_in_use(
    silence_ms: int,
):
    """Guards against a grace period so short that no server is left at the end of an outage."""
    for phase_ms in range(0, 1_000, 100):
        fleet = Fleet(7, DRAIN_MS)
        fleet.run(5_000 + phase_ms)
        fleet.store.fall_silent(silence_ms)
        fleet.run(silence_ms + 10)
        fleet.remove("i-1")
        fleet.run(ENTRIES_BACK_MS)
        fleet.removed_servers.discard("i-1")
        fleet.start("i-1")
        for _ in range(30):
            fleet.run(100)
            assert not any(has_stopped_using("i-1")(node) for node in fleet.nodes), phase_ms


@pytest.mark.parametrize("recovery_ms", [0, RECOVERY_MS])
@pytest.mark.parametrize("count", [7, 90])
def test_a_server_that_drains_after_a_return_from_a_copy_is_known_in_time(
    count: int, recovery_ms: int
):
    """Requests that wait for changes are never answered, and versions are given out again."""
    fleet = Fleet(count, DRAIN_MS)
    fleet.run(8_000)
    copy = fleet.store.copy()
    fleet.run(4_000)
    fleet.store.return_from(copy)
    fleet.run(recovery_ms)
    assert fleet.drain("i-1")
    assert fleet.until_all_know_ms(has_stopped_using("i-1"), 30_000) < DRAIN_MS
    assert not has_stopped_using("i-2")(fleet.nodes[0])
