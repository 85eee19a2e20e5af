"""Replays of customers that compete for slots, and tests of the parts that decide among them."""

from __future__ import annotations

from collections import Counter

import attrs
import pytest

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.server_life import ServerLife
from monsoonflow.fleet import codec
from monsoonflow.fleet.models import Heartbeat, NodeRecord, ShortHeartbeat
from monsoonflow.placement.fair_share import TIME_CONSTANT_MS, FairShares
from monsoonflow.placement.idle_slots import IdleSlots
from monsoonflow.placement.queue_policy import QueuePolicy
from monsoonflow.placement.request_queue import QueuedRequest
from monsoonflow.placement.slot_draining import SlotDraining
from monsoonflow.placement.slots import RunnerSlots, Slot, SlotState
from monsoonflow.placement.usage_reports import UsageReports, valid_customer
from monsoonflow.placement.usage_scores import UsageScores
from monsoonflow.routing.customer_usage import MAX_ANNOUNCED_CUSTOMERS, CustomerUsage
from monsoonflow.routing.in_flight import ServerWork
from tests.placement.load_replay import WARM_UP_MS, LoadReplay, Stream, zipf

SEEDS = (1, 2, 3)
FOR_MS = 16_000
BEFORE = QueuePolicy(fair_shares=False, drains_slots=False)
RECORD = NodeRecord("n2", "b", "zone-1", "a:1", "a:2", "a:3")


def stream(customer, rate_per_s, **changes):
    return Stream(customer, rate_per_s, customer, **changes)


SMALL = [stream(f"small{number}", 2) for number in range(3)]
MANY_ADAPTERS = stream("hot", 50)
FEW_ADAPTERS = stream("hot", 50, weights=(1.0,) * 10)


def of_small(tallies):
    """Return the served share of all small customers, and the 95th percentile of their waits."""
    small = [tally for name, tally in tallies.items() if name.startswith("small")]
    waits_ms = sorted(wait_ms for tally in small for wait_ms in tally.waits_ms)
    share = sum(tally.served for tally in small) / sum(tally.sent for tally in small)
    return share, waits_ms[int(len(waits_ms) * 0.95)]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("hot", [MANY_ADAPTERS, FEW_ADAPTERS], ids=["40 adapters", "10 adapters"])
def test_small_customers_are_served_beside_a_hot_one(hot, seed):
    """The hot customer's requests keep its adapters resident, and fill the queue."""
    _, alone_ms = of_small(LoadReplay(SMALL, seed).run(FOR_MS))
    replay = LoadReplay([*SMALL, hot], seed)
    tallies = replay.run(FOR_MS)
    share, beside_ms = of_small(tallies)
    assert share >= 0.95
    assert beside_ms <= alone_ms + 500
    assert tallies["hot"].served >= 8 * FOR_MS / 1000
    assert not replay.refused_with_free_slot


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("rate_per_s", [15, 40])
@pytest.mark.parametrize("weights", [(1.0,) * 40, zipf(40)], ids=["flat", "zipf"])
def test_equal_customers_are_served_equally(weights, rate_per_s, seed):
    customers = [stream(f"c{number}", rate_per_s, weights=weights) for number in range(4)]
    shares = [tally.share for tally in LoadReplay(customers, seed).run(FOR_MS).values()]
    assert min(shares) >= 0.7 * max(shares)


@pytest.mark.parametrize("seed", SEEDS)
def test_small_customers_are_served_beside_two_hot_ones(seed):
    hot = [stream("hot0", 50), stream("hot1", 50)]
    tallies = LoadReplay([*SMALL[:2], *hot], seed).run(FOR_MS)
    assert of_small(tallies)[0] >= 0.9
    assert 0.7 <= tallies["hot0"].served / tallies["hot1"].served <= 1 / 0.7


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_is_held_back_for_a_customer_that_stops(seed):
    """The other customers get what they get without it, as soon as its requests have ended."""
    steady = [stream(f"c{number}", 12) for number in range(2)]
    stopping = stream("hot", 50, until_ms=4_000)
    with_hot = LoadReplay([*steady, stopping], seed).run(FOR_MS)
    without = LoadReplay(steady, seed).run(FOR_MS)
    served = sum(with_hot[customer.name].served for customer in steady)
    assert served >= 0.75 * sum(tally.served for tally in without.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_two_hundred_customers_with_about_one_request_each(seed):
    """At 50 requests per second, three times the capacity; no customer has any usage before."""
    customers = [
        stream(f"c{number}", 1_000, from_ms=at_ms, until_ms=at_ms + 1)
        for number, at_ms in enumerate(range(WARM_UP_MS, WARM_UP_MS + 4_000, 20))
    ]
    total = [
        sum(
            tally.served for tally in LoadReplay(customers, seed, policy=policy).run(6_000).values()
        )
        for policy in (QueuePolicy(), BEFORE)
    ]
    assert total[0] >= 0.97 * total[1]


@pytest.mark.parametrize("customer", [None, "only"])
def test_without_customers_or_with_one_all_decisions_are_as_before(customer):
    streams = [
        Stream("urgent", 15, customer, 0, 1_000, 2_500),
        Stream("patient", 25, customer, 1, 2_000, 10_000, zipf(200)),
    ]
    replays = [LoadReplay(streams, 1, policy=policy) for policy in (QueuePolicy(), BEFORE)]
    tallies = [replay.run(FOR_MS) for replay in replays]
    assert tallies[0] == tallies[1]
    assert replays[0].cell.steps == replays[1].cell.steps


def test_draining_slots_are_in_normal_use_again_when_the_need_ends(make_cell):
    cell = make_cell(slot_count=6)
    cell.scheduler._fair_shares.record_usage({"hot": 60_000, "small": 100}, cell.now_ms)
    for number in range(6):
        cell.request(f"a{number}", customer="hot")
        cell.run(300)
        cell.start_requests("i-0", f"a{number}")
    cell.scheduler._fair_shares.record_usage({"hot": 60_000, "small": 100}, cell.now_ms)
    waiting = cell.request("b", customer="small")
    cell.run(30)
    slots = cell.scheduler.runners["i-0"].slots.values()
    draining = [slot.ref.name for slot in slots if slot.draining_level is not None]
    assert len(draining) == 1
    cell.request(draining[0].partition("/")[2], "hot again", customer="hot")
    assert "hot again" not in cell.results
    cell.request(draining[0].partition("/")[2], "shared", customer="small")
    assert cell.runner_of("shared") == "i-0"
    cell.scheduler.remove_request(waiting, cell.now_ms)
    cell.run(30)
    assert not any(slot.draining_level for slot in slots)
    assert cell.runner_of("hot again") == "i-0"


def test_slots_that_a_customer_below_its_share_uses_too_do_not_drain(make_cell):
    cell = make_cell(slot_count=6)
    for number in range(6):
        cell.request(f"a{number}", f"small{number}", customer="small")
        cell.request(f"a{number}", customer="hot")
        cell.run(300)
        cell.start_requests("i-0", f"a{number}")
    cell.scheduler._fair_shares.record_usage({"hot": 60_000, "small": 100}, cell.now_ms)
    cell.request("b", customer="small")
    cell.run(50)
    slots = cell.scheduler.runners["i-0"].slots.values()
    assert not any(slot.draining_level for slot in slots)


def test_shares_follow_quotas_only_if_every_customer_has_one():
    rates = {"large": 900.0, "small": 100.0}
    shares = FairShares(rates.get)
    shares.record_usage({"large": 9_000, "small": 1_000}, 0)
    shares.update_levels([], 0)
    assert [shares.level_of(name) for name in ("large", "small")] == [0, 0]
    shares.update_levels(["without"], 100)
    assert [shares.level_of(name) for name in ("large", "small", "without")] == [2, 0, 0]


def test_a_customer_that_stops_has_level_0_after_a_few_seconds():
    shares = FairShares()
    shares.record_usage({"hot": 18_000}, 0)
    for now_ms in range(0, 4 * TIME_CONSTANT_MS, 200):
        shares.record_usage({"other": 400}, now_ms)
    shares.update_levels(["hot"], 4 * TIME_CONSTANT_MS)
    assert shares.level_of("hot") == 0


def test_a_lost_heartbeat_loses_no_usage():
    reports = UsageReports()
    totals = [{"alpha": 100 * number} for number in range(5)]
    used = [reports.apply("n2", "b", totals[number], 200 * number) for number in (0, 1, 3, 4)]
    assert sum(usage.get("alpha", 0) for usage in used) == 400


def test_a_successor_that_hears_a_node_for_the_first_time_counts_no_earlier_usage():
    """A node that has run for a day would otherwise seem to have used all of that at once."""
    reports = UsageReports()
    assert not reports.apply("n2", "b", {"alpha": 80_000_000}, 0)
    assert reports.apply("n2", "b", {"alpha": 80_000_400}, 200) == {"alpha": 400}


def test_a_total_that_falls_or_a_new_process_counts_from_zero():
    reports = UsageReports()
    reports.apply("n2", "b", {"alpha": 5_000}, 0)
    assert reports.apply("n2", "b", {"alpha": 300}, 200) == {"alpha": 300}
    assert reports.apply("n2", "c", {"alpha": 400}, 400) == {"alpha": 400}


@pytest.mark.parametrize(
    "value",
    [-1, 1.5, float("inf"), "7", None, True, [1], 10**30, 1 << 52],
)
def test_an_invalid_or_impossible_value_is_ignored_and_the_others_count(value):
    reports = UsageReports()
    reports.apply("n2", "b", {"alpha": 100, "beta": 100}, 0)
    used = reports.apply("n2", "b", {"alpha": value, "beta": 300}, 200)
    assert used == {"beta": 200}
    assert reports.is_faulty("n2")


@pytest.mark.parametrize("totals", [3, "x", [], {f"c{n}": 1 for n in range(200)}])
def test_an_invalid_report_is_ignored(totals):
    reports = UsageReports()
    reports.apply("n2", "b", {"alpha": 100}, 0)
    assert not reports.apply("n2", "b", totals, 200)
    assert reports.apply("n2", "b", {"alpha": 150}, 400) == {"alpha": 50}


@pytest.mark.parametrize("value", [None, "", 5, True, ["alpha"], "x" * 201])
def test_an_invalid_customer_of_a_slot_request_counts_as_none(value):
    assert valid_customer(value) is None


def test_a_node_announces_the_customers_with_requests_first():
    usage = CustomerUsage()
    for number in range(200):
        usage.begin(f"c{number}", number)
        if number != 7:
            usage.end(f"c{number}", number + 10)
    totals = usage.totals_ms(1_000)
    assert len(totals) == MAX_ANNOUNCED_CUSTOMERS
    assert totals["c7"] == 993


def test_heartbeats_of_both_releases_are_understood():
    heartbeat = Heartbeat(RECORD, 1, True, False, 1, True, runner_ms_by_customer={"alpha": 70})
    assert codec.decode(codec.encode_heartbeat(heartbeat)).runner_ms_by_customer == {"alpha": 70}
    fields = codec.orjson.loads(codec._heartbeat_json(heartbeat))
    earlier = codec._heartbeat_from_fields(fields[:29])
    assert earlier.runner_ms_by_customer is None
    assert attrs.evolve(earlier, runner_ms_by_customer={"alpha": 70}) == heartbeat


def test_a_short_heartbeat_does_not_reset_the_totals():
    """Otherwise the next full one would count all usage since the node's start again."""
    heartbeat = Heartbeat(RECORD, 1, True, False, 1, True, runner_ms_by_customer={"alpha": 70})
    short = ShortHeartbeat.from_heartbeat(heartbeat, with_record=True)
    reports = UsageReports()
    reports.apply("n2", "b", heartbeat.runner_ms_by_customer, 0)
    reports.apply("n2", "b", short.to_heartbeat(heartbeat, RECORD).runner_ms_by_customer, 200)
    assert reports.apply("n2", "b", {"alpha": 90}, 400) == {"alpha": 20}


@pytest.mark.parametrize("seed", SEEDS)
def test_returning_callers_of_a_hot_customer_do_not_displace_others(seed):
    """Its refused callers return when they were told to, which triples its requests."""
    streams = [attrs.evolve(stream, attempts=3) for stream in (*SMALL, MANY_ADAPTERS)]
    tallies = LoadReplay(streams, seed).run(FOR_MS)
    assert of_small(tallies)[0] >= 0.95
    assert tallies["hot"].served >= 8 * FOR_MS / 1000


@pytest.mark.parametrize("requested_ms_ago", [29_000, 31_000, None])
def test_slots_drain_whose_customers_the_holder_has_not_heard_of_lately(requested_ms_ago):
    """Requests for a resident adapter do not pass the holder, and a new holder has heard of none.

    After 30 s nothing drained, and one customer kept all slots.
    """
    now_ms = 100_000
    shares = FairShares()
    shares.record_usage({"hot": 60_000, "small": 100}, now_ms)
    shares.update_levels(["small"], now_ms)
    runner = RunnerSlots(ServerLife("r"), 1)
    runner.slots["m/h"] = slot = Slot(AdapterRef("m/h", 1), SlotState.READY, 0)
    work = {runner.life: ServerWork(requests=1, requests_by_adapter=Counter({"m/h": 1}))}
    draining = SlotDraining(IdleSlots({runner.life: runner}, UsageScores(), {}), shares)
    if requested_ms_ago is not None:
        draining.customers.record("m/h", "hot", now_ms - requested_ms_ago)
    request = queued("m/s", "small")
    request.level = shares.level_of_request(request)
    draining.update([request], now_ms, work)
    assert slot.draining_level


def test_customers_that_wait_in_another_cell_count():
    """The cells of a holder are checked one after the other; the second one had no levels."""
    shares = FairShares()
    shares.record_usage({"hot": 60_000}, 1_000)
    shares.assign_levels([queued("m/a", "hot")], 1_000)
    waiting = queued("m/b", "small")
    shares.assign_levels([waiting], 1_001)
    assert shares.level_of("hot") > shares.level_of("small") == 0


def test_a_stream_that_is_resumed_never_waits_for_its_customers_share():
    """It waited for three seconds behind a request of another customer."""
    shares = FairShares()
    shares.record_usage({"hot": 60_000, "small": 100}, 1_000)
    resumed = queued("m/a", "hot")
    resumed.priority = -1
    shares.assign_levels([resumed, queued("m/b", "small")], 1_000)
    assert resumed.level == 0 < shares.level_of("hot")


def test_usage_over_a_long_gap_does_not_count_as_recent():
    """A standby that hears a node again after ten minutes counted all of them as just now."""
    reports = UsageReports()
    reports.apply("n1", "b", {"alpha": 0}, 0)
    assert reports.apply("n1", "b", {"alpha": 600_000}, 600_000) == {}
    assert reports.apply("n1", "b", {"alpha": 600_200}, 600_200) == {"alpha": 200}


def queued(adapter, customer):
    return QueuedRequest(
        adapter, 1, 0, 0, 200_000, 200_000, frozenset(), lambda _: None, customer=customer
    )
