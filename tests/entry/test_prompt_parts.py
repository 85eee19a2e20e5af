"""Parts of prompts that crash runners, with real entry nodes; promises as seen from the runners."""

from __future__ import annotations

import time

import gevent
import pytest

from monsoonflow.quarantine import parts
from monsoonflow.transport.client import ConnectionPools
from tests.entry.conftest import MODEL, wait_for
from tests.entry.crashing_runners import (
    BAD_PART,
    CONTACT_S,
    FIRST_PART,
    MAX_LATER_REQUESTS,
    Callers,
    Supervisor,
)

RUNNERS = 6
QUIET_S = 2.0
TROUBLE_S = 10.0
BOTH = (FIRST_PART, BAD_PART)


@pytest.fixture
def supervisor(fleet):
    """Yield the supervisor of six runners that the bad part crashes, with three nodes."""
    supervisor = Supervisor(fleet, restart_delay_s=1.5)
    supervisor.faults.poison_parts = frozenset({BAD_PART.encode()})
    supervisor.add_runners(RUNNERS)
    for _ in range(3):
        fleet.node()
    fleet.holder()
    yield supervisor
    supervisor.stop()


@pytest.fixture
def callers(fleet):
    """Return callers of the fleet."""
    return Callers(fleet)


@pytest.mark.parametrize(
    "bad_parts",
    [
        pytest.param((BOTH,), id="second"),
        pytest.param(((FIRST_PART, "s1", BAD_PART),), id="third"),
        pytest.param(((BAD_PART, "s1"),), id="first"),
        pytest.param(((BAD_PART,),), id="only"),
        pytest.param(((FIRST_PART, BAD_PART, "s1"), ("f2", BAD_PART)), id="beside-different-parts"),
    ],
)
def test_requests_with_a_part_that_crashes_servers_reach_no_other(
    fleet, supervisor, callers, bad_parts
):
    """No two of them are alike, so their crashes did not add up and each crashed a runner."""
    callers.send_for(TROUBLE_S * 0.6, bad_parts)
    fleet.node()
    callers.send_for(TROUBLE_S * 0.4, bad_parts)
    gevent.sleep(0.5)
    assert supervisor.later_requests(BAD_PART) <= MAX_LATER_REQUESTS


def test_sound_requests_with_the_same_first_part_go_on(supervisor, callers):
    """Runners crashed under all of them, and a refusal of all of them would be no way out."""
    began_s = time.monotonic()
    callers.send_for(QUIET_S, ())
    trouble_s = time.monotonic()
    callers.send_for(TROUBLE_S, (BOTH,))
    gevent.sleep(0.5)
    crash_times_s = supervisor.crash_times_s()
    last_counted_s = crash_times_s[min(len(crash_times_s), 5) - 1]
    before = callers.served_share(FIRST_PART, BAD_PART, began_s, trouble_s)
    after = callers.served_share(
        FIRST_PART, BAD_PART, last_counted_s + 2 * CONTACT_S, time.monotonic()
    )
    assert after >= before / 2
    assert supervisor.later_requests(BAD_PART) <= MAX_LATER_REQUESTS


def test_two_bad_parts_are_found(supervisor, callers):
    """Each of them crashes runners between the crashes of the other."""
    supervisor.faults.poison_parts = frozenset({BAD_PART.encode(), b"bad2"})
    callers.send_for(TROUBLE_S * 1.2, (BOTH, (FIRST_PART, "bad2")))
    gevent.sleep(0.5)
    crash_count = len(supervisor.crashed)
    callers.send_for(1.0, (BOTH, (FIRST_PART, "bad2")))
    gevent.sleep(0.5)
    assert len(supervisor.crashed) == crash_count


def test_a_node_that_starts_knows_the_bad_parts(fleet, supervisor, callers):
    callers.send_for(TROUBLE_S, (BOTH,))
    gevent.sleep(1.0)
    newcomer = fleet.node()
    began_s = time.monotonic()
    for _ in range(4):
        callers.send(*BOTH, node=newcomer).join()
    assert supervisor.arrivals_after(BAD_PART, began_s) == 0


def test_bad_parts_are_known_after_all_nodes_were_killed(fleet, supervisor, callers):
    callers.send_for(TROUBLE_S, (BOTH,))
    gevent.sleep(1.0)
    for node in fleet.nodes:
        node.kill()
    fleet.nodes.clear()
    supervisor.wait_until_restarted(RUNNERS)
    newcomer = fleet.node()
    fleet.holder()
    began_s = time.monotonic()
    for _ in range(4):
        callers.send(*BOTH, node=newcomer).join()
    assert supervisor.arrivals_after(BAD_PART, began_s) == 0


def _crash(fleet, count):
    for server in [server for server in fleet.servers if not server.crashes][:count]:
        server.crash()


@pytest.mark.parametrize("at_once", [1, 3])
def test_crashes_of_other_causes_quarantine_no_part(fleet, supervisor, callers, at_once):
    """A popular part is at each crash, whether runners crash one by one or a rack at once."""
    load = gevent.spawn(callers.send_for, TROUBLE_S, (), (FIRST_PART,), 0.03, 1)
    for _ in range(6 // at_once):
        gevent.sleep(1.2 * at_once)
        _crash(fleet, at_once)
    load.join()
    assert not any(node.daemon.quarantine_manager.parts.quarantined() for node in fleet.nodes)
    supervisor.wait_until_restarted(RUNNERS)
    fleet.holder()
    began_s = time.monotonic()
    callers.send_for(2.0, (), (FIRST_PART,), 0.03, 1)
    gevent.sleep(0.5)
    assert callers.served_share(FIRST_PART, BAD_PART, began_s, time.monotonic()) == 1.0


def test_a_refused_part_is_answered_at_once_with_a_long_pause(fleet, supervisor, callers):
    callers.send_for(TROUBLE_S, (BOTH,))
    sent_s = time.monotonic()
    callers.send(*BOTH).join()
    outcome = callers.outcomes[-1]
    assert time.monotonic() - sent_s < 0.5
    assert outcome.answer.head.status == 503
    assert float(outcome.answer.head.value(b"retry-after")) >= 60


def test_answers_without_framing_clear_the_parts_of_their_prompts(fleet, supervisor, callers):
    """They end with their connection; a popular part would be refused after other crashes."""
    supervisor.faults.unframed = 1.0
    load = gevent.spawn(callers.send_for, TROUBLE_S, (), (FIRST_PART,), 0.03, 1)
    for _ in range(6):
        gevent.sleep(1.2)
        _crash(fleet, 1)
    load.join()
    assert not any(node.daemon.quarantine_manager.parts.quarantined() for node in fleet.nodes)


@pytest.mark.parametrize("unframed", [0.0, 1.0])
def test_a_bad_part_is_found_whatever_the_framing(supervisor, callers, unframed):
    """A crash in the middle of an answer that ends with its connection looks like its end."""
    supervisor.faults.unframed = unframed
    callers.send_for(TROUBLE_S, (BOTH,))
    gevent.sleep(0.5)
    assert supervisor.later_requests(BAD_PART) <= MAX_LATER_REQUESTS
    assert len(supervisor.crashed) <= 10


def test_a_refusal_at_the_send_is_no_failure_of_the_server(fleet, supervisor, monkeypatch):
    """Requests that wait for a connection at the decision marked sound servers as unreachable."""
    node = fleet.nodes[0]
    manager = node.daemon.quarantine_manager
    acquire = ConnectionPools.acquire

    def acquire_and_decide(pools, *arguments, **options):
        connection = acquire(pools, *arguments, **options)
        if pools is not node.daemon.connection_pools:
            return connection
        manager.parts.quarantine(f"part:{BAD_PART}", (), "n2", node.daemon.clock.now_ms())
        return connection

    monkeypatch.setattr(ConnectionPools, "acquire", acquire_and_decide)
    began_s = time.monotonic()
    answer = fleet.ask(
        node,
        "/read/x",
        "q",
        X_Model=f"{MODEL}/a1",
        X_Token_Count="100,20",
        X_Prompt_Prefix=f"{BAD_PART}:1,own:1",
    )
    assert answer.head.status == 503
    assert supervisor.arrivals_after(BAD_PART, began_s) == 0
    now_ms = node.daemon.clock.now_ms()
    assert not any(node.daemon.health_tracker.is_paused(s.server_id, now_ms) for s in fleet.servers)


def test_one_node_tries_one_request_after_a_while(fleet, supervisor, callers, monkeypatch):
    """If all nodes let requests through again, each of them would crash a runner."""
    monkeypatch.setattr(parts, "TRIALS_AFTER_MS", (4_000, 7_000))
    callers.send_for(5.0, (BOTH,))
    wait_for(lambda: all(n.daemon.quarantine_manager.parts.quarantined() for n in fleet.nodes))
    gevent.sleep(1.0)
    supervisor.wait_until_restarted(RUNNERS)
    began_s = time.monotonic()
    callers.send_for(5.0, (BOTH,), pause_s=0.1)
    gevent.sleep(0.5)
    assert supervisor.arrivals_after(BAD_PART, began_s) == 1
    supervisor.faults.poison_parts = frozenset()
    callers.send_for(6.0, (BOTH,), pause_s=0.1)
    assert not any(n.daemon.quarantine_manager.parts.quarantined() for n in fleet.nodes)
