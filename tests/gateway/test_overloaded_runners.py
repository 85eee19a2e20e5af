"""Requests are not sent to a runner that can't read them before their callers leave."""

from __future__ import annotations

import attrs

from monsoonflow.core.server_life import ServerLife
from monsoonflow.gateway.models import Chosen, NoServer
from tests.gateway.runner_simulation import ROUTE, TOKENS_PER_MS, Crowd, NoPlaces

HOT, OTHER = ServerLife("i-1"), ServerLife("i-2")


def arrivals(crowd: Crowd, adapter: str, a_second: float):
    """Return what lets requests for an adapter arrive, each at some node."""

    def step(_now_ms: int) -> None:
        if crowd.rng.random() < a_second / 100:
            crowd.arrive(crowd.rng.choice(crowd.nodes), adapter)

    return step


def test_nobody_is_sent_behind_a_queue_that_outlasts_it():
    """Forty nodes get 30 requests a second for one adapter; its one runner reads eight of them.

    Each node sent all of its requests to the runner that held the adapter, however much waited
    there: the median of unread tokens at the send was 32,933, the 90th percentile 245,510, 12.8 s
    of reading, while callers leave after 4 s. Of 237 that met more than 100,000 only 13 got a first
    event, all others behind them waited longer, and nobody was told when to come back. Judged by
    the caller's leave, 0.7 s after a request is given up, one of seven was still sent in vain.
    """
    crowd = Crowd(NoPlaces({"a": {HOT: 1}}), 40, (HOT,))
    crowd.run(4_000, arrivals(crowd, "a", 30))
    before = (crowd.sent, crowd.read, crowd.lost)
    crowd.run(16_000, arrivals(crowd, "a", 30))
    sent, read, lost = (
        now - then for now, then in zip((crowd.sent, crowd.read, crowd.lost), before, strict=True)
    )
    assert lost <= sent * 0.1, (sent, read, lost)
    assert crowd.refused > 100
    # The runner itself is not left idle for it.
    assert read * 2_368 >= 16_000 * TOKENS_PER_MS * 0.85, (sent, read, lost)


def test_many_nodes_do_not_overrun_a_runner_between_two_reports():
    """Eighty-nine nodes get 60 requests a second for one adapter; its runner reads eight of them.

    Each node hears each other every 1.6 s. Judged by that alone, all of them find the room that is
    left at the same time: 62 of 139 sent were lost. The holder of the runners' duty hears all of
    them each 200 ms, and is heard by all as often.
    """
    crowd = Crowd(NoPlaces({"a": {HOT: 1}}), 89, (HOT,))
    crowd.run(4_000, arrivals(crowd, "a", 60))
    before = (crowd.sent, crowd.lost)
    crowd.run(12_000, arrivals(crowd, "a", 60))
    sent, lost = crowd.sent - before[0], crowd.lost - before[1]
    assert lost <= sent * 0.1, (sent, lost)


def test_another_holder_is_used_in_time():
    """Two runners hold the adapter: while one of them can read a request in time it is not lost."""
    crowd = Crowd(NoPlaces({"a": {HOT: 1, OTHER: 1}}), 12, (HOT, OTHER))
    crowd.run(10_000, arrivals(crowd, "a", 12))
    assert (crowd.lost, crowd.refused) == (0, 0)


def test_an_urgent_request_is_not_turned_away_for_less_urgent_ones():
    """Runners read the most urgent first, however much of others is unread there.

    With more than 200,000 tokens unread, 19 of 19 urgent requests got their first event, the median
    after 0.6 s. Counted as ahead of them, those tokens would send each of them away.
    """
    crowd = Crowd(NoPlaces({"a": {HOT: 1}}), 1, (HOT,))
    node = crowd.nodes[0]
    node.in_flight.begin(HOT, 0, "a", 300_000, 0, 1)
    assert isinstance(crowd.arrive(node, "a"), NoServer)
    urgent = crowd.arrive(node, "a", attrs.evolve(ROUTE, priority=0))
    assert isinstance(urgent, Chosen)
    assert urgent.queue.pending_prefill_tokens == 0


@attrs.define
class OldVersion(NoPlaces):
    """A placement whose adapter has an old version, with a bound on its beginnings."""

    until_ms: int = 0

    def start_deadline_ms(self, adapter: str, version: int) -> int | None:
        """Return the bound."""
        return self.until_ms


def test_nobody_is_sent_to_an_old_version_behind_a_queue_that_outlasts_its_term():
    """A runner holds version 1, version 2 was just named, and two seconds of reading wait there.

    Its caller would wait so long, but the term of version 1 is over in one second. Sent there, the
    request begins on it too late or has to be taken back: two nodes sent such requests 0.8 and 1.7
    s after version 2 was confirmed, and they began 5.1 and 5.7 s after it.
    """
    placement = OldVersion({"a": {HOT: 1}})
    crowd = Crowd(placement, 1, (HOT,))
    (node,) = crowd.nodes
    now_ms = crowd.clock.now_ms()
    node.in_flight.begin(HOT, now_ms, None, int(2_000 * TOKENS_PER_MS), rank=0)
    placement.until_ms = now_ms + 3_000
    assert isinstance(crowd.arrive(node, "a"), Chosen)
    placement.until_ms = now_ms + 1_000
    assert isinstance(crowd.arrive(node, "a"), NoServer)
    assert placement.asked == 1
