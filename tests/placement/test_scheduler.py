"""Tests of the scheduler: which runner loads which adapter, when and for which request."""

from __future__ import annotations

import attrs

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.helpers.hashing import weight
from monsoonflow.orders.models import Gone, Operation, Superseded, Unusable
from monsoonflow.placement.load_target import LoadTargetSelector
from monsoonflow.placement.request_queue import NoSlot
from tests.placement.conftest import MODEL, TRAITS, FakeRunner


def test_an_adapter_is_loaded_for_a_request(make_cell):
    cell = make_cell()
    cell.request("a1")
    cell.run(240)
    assert "a1" not in cell.results
    cell.run(60)
    assert cell.runner_of("a1") == "i-0"


def test_requests_for_one_adapter_share_one_load(make_cell):
    cell = make_cell(3)
    for number in range(10):
        cell.request("a1", f"r{number}")
    cell.run(400)
    assert len({cell.runner_of(f"r{number}") for number in range(10)}) == 1
    assert cell.scheduler.load_count == 1


def test_an_adapter_goes_back_to_the_runner_that_held_it(make_cell):
    """A rare adapter is requested, evicted by others and requested again.

    Its runner keeps a cached copy: loading it takes 25 ms instead of 250 and no fetch from the
    weight store.
    """
    cell = make_cell(3)
    cell.request("a1")
    cell.run(400)
    home = cell.runner_of("a1")
    for number in range(40):
        cell.request(f"b{number}")
        cell.run(400)
    assert not any(runner.held.get(f"{MODEL}/a1") for runner in cell.runners.values())
    cold_load_count = cell.scheduler.cold_load_count
    cell.request("a1", "again")
    cell.run(80)
    assert cell.runner_of("again") == home
    assert cell.scheduler.cold_load_count == cold_load_count


def test_an_adapter_in_use_is_never_unloaded_to_make_room(make_cell):
    """All slots are in use by running requests, and more adapters are requested.

    None of the adapters may be unloaded; the new requests wait.
    """
    cell = make_cell()
    for number in range(6):
        cell.request(f"a{number}")
        cell.run(300)
        cell.start_requests("i-0", f"a{number}")
    cell.request("b")
    cell.run(1_000)
    assert not [step for step in cell.steps if step.operation is Operation.UNLOAD]
    cell.end_requests("i-0", "a3")
    cell.run(500)
    assert cell.runner_of("b") == "i-0"
    unloaded = [s.name for s in cell.steps if s.operation is Operation.UNLOAD]
    assert set(unloaded) == {f"{MODEL}/a3"}


def test_a_slot_that_was_just_granted_is_kept_for_its_request(make_cell):
    """A request was granted a slot, and its node's heartbeat does not report the use yet.

    If the adapter were unloaded in between, it would be fetched again for the same request.
    """
    cell = make_cell(slot_count=6)
    for number in range(6):
        cell.request(f"a{number}")
    cell.run(400)
    cell.request("b")
    cell.run(300)
    assert cell.runner_of("b") is None
    cell.run(700)
    assert cell.runner_of("b") == "i-0"


def test_requests_that_can_be_on_time_come_before_late_ones(make_cell):
    """All slots are in use, and one becomes free.

    In order of arrival the oldest request, which is already late, would get the slot.
    """
    cell = make_cell()
    for number in range(5):
        cell.request(f"a{number}")
        cell.run(300)
        cell.start_requests("i-0", f"a{number}")
    cell.request("held")
    cell.run(300)
    cell.start_requests("i-0", "held")
    cell.request("late", on_time_until_ms=cell.now_ms - 1)
    cell.run(50)
    cell.request("fresh")
    cell.end_requests("i-0", "held")
    cell.run(700)
    assert cell.runner_of("fresh") == "i-0"
    assert cell.runner_of("late") is None


def test_requests_with_more_urgent_priority_come_first(make_cell):
    cell = make_cell()
    for number in range(6):
        cell.request(f"a{number}")
        cell.run(300)
        cell.start_requests("i-0", f"a{number}")
    cell.request("bulk", priority=2)
    cell.request("urgent", priority=0)
    cell.end_requests("i-0", "a0")
    cell.run(500)
    assert cell.runner_of("urgent") == "i-0"
    assert cell.runner_of("bulk") is None


def test_requests_without_a_chance_are_refused_concurrent_loads_with_a_retry_time(make_cell):
    """No request ends for seconds, and fifty new ones arrive.

    If they were held until their deadlines, their callers would lose the time in which to retry.
    """
    cell = make_cell()
    for number in range(6):
        cell.request(f"a{number}")
        cell.run(300)
        cell.start_requests("i-0", f"a{number}")
    cell.run(3_000)
    for number in range(50):
        cell.request(f"b{number}")
    refused = [r for r in cell.results.values() if isinstance(r, NoSlot)]
    assert len(refused) >= 40
    assert all(r.retry_after_ms >= 250 for r in refused)


def test_a_few_adapters_may_always_wait(make_cell):
    cell = make_cell()
    for number in range(6):
        cell.request(f"a{number}")
        cell.run(300)
        cell.start_requests("i-0", f"a{number}")
    cell.run(3_000)
    cell.request("b")
    assert "b" not in cell.results


def test_no_more_concurrent_cold_loads_than_the_store_carries(make_cell):
    """Sixty rare adapters are requested at once; the store sends eight at full speed.

    Beyond eight concurrent loads each takes proportionally longer: all would be late, also the
    urgent ones. The store's limit is not published; a limit higher by half is tried once, and then
    the limit is kept.
    """
    cell = make_cell(6, shared_store=8)
    for number in range(60):
        cell.request(f"a{number}", deadline_ms=cell.now_ms + 60_000)
    concurrent_loads = []
    for _ in range(200):
        cell.run(10)
        concurrent_loads.append(sum(len(runner.loading) for runner in cell.runners.values()))
    assert max(concurrent_loads[:50]) == 8
    assert max(concurrent_loads) <= 12
    assert max(concurrent_loads[140:]) <= 8


def test_an_order_without_response_is_repeated_under_the_same_condition(make_cell):
    """The response to an order is lost, and the order is carried out three seconds later.

    Its slot stays reserved. The order is repeated under the same condition, so that only one of the
    two takes effect, however late the other arrives. The runner would crash if it held one adapter
    too many.
    """
    cell = make_cell()
    cell.orders_to_lose = 3
    for number in range(14):
        cell.request(f"a{number}", deadline_ms=cell.now_ms + 20_000)
    cell.run(8_000)
    assert sum(cell.runner_of(f"a{number}") is not None for number in range(14)) == 14
    assert cell.delayed_orders == []


def test_a_runner_that_accepted_other_orders_is_examined_a_report(make_cell):
    cell = make_cell()
    cell.request("a1")
    cell.run(400)
    runner = cell.runners["i-0"]
    runner.held[f"{MODEL}/other"] = 1
    runner.sequence += 1
    cell.request("a2")
    cell.run(600)
    assert cell.runner_of("a2") == "i-0"
    assert cell.scheduler.runners["i-0"].ready_slot(f"{MODEL}/other") is not None


def test_a_runner_without_a_base_model_loads_it(make_cell):
    cell = make_cell(model=None)
    cell.request("a1", deadline_ms=10_000)
    cell.run(3_500)
    assert cell.runners["i-0"].model == MODEL
    assert cell.runner_of("a1") == "i-0"


def test_base_models_are_loaded_no_faster_than_the_store_allows(make_cell):
    """All runners crash together.

    The weight store limits the rate over all runners, and an earlier lease holder may have used a
    part of it.
    """
    cell = make_cell(40, model=None)
    cell.run(300)
    started = [step for step in cell.steps if not step.is_confirmation]
    assert 1 <= len(started) <= TRAITS.loads_per_s * 5


def test_a_new_version_replaces_an_idle_old_one(make_cell):
    cell = make_cell()
    cell.request("a1")
    cell.run(400)
    cell.newest[f"{MODEL}/a1"] = 2
    cell.request("a1", "new", min_version=2)
    cell.run(600)
    assert cell.runner_of("new") == "i-0"
    assert cell.results["new"].version == 2


def test_a_new_version_is_loaded_elsewhere_while_the_old_one_is_in_use(make_cell):
    """A new version is set while requests run on the old one.

    Replacing it at the same runner would wait for their end, and all new requests with it.
    """
    cell = make_cell(2)
    cell.request("a1")
    cell.run(400)
    old = cell.runner_of("a1")
    cell.start_requests(old, "a1")
    cell.newest[f"{MODEL}/a1"] = 2
    cell.request("a1", "new", min_version=2)
    cell.run(600)
    assert cell.runner_of("new") not in (None, old)


def test_a_retired_version_is_unloaded_even_while_in_use(make_cell):
    """Requests run and wait at a runner on version 1, which is retired; no further ones arrive.

    Running requests end. The runner refuses the ones that have not started, once it is ordered to
    unload the version. A lost order is repeated.
    """
    cell = make_cell()
    cell.request("a1")
    cell.run(400)
    life = cell.runner_of("a1")
    cell.start_requests(life, "a1", requests=3)
    cell.run(1_000)
    assert not any(step.operation is Operation.UNLOAD for step in cell.steps)
    cell.scheduler._is_retired = lambda ref: ref.version < 2
    cell.orders_to_lose = 1
    cell.run(100)
    assert cell.runners[life].held == {}
    assert not cell.scheduler.runners[life].slots


def test_late_loads_do_not_delay_the_unload_of_a_retired_version(make_cell):
    """Four loads take seconds, and their runner is asked about each in turn, every 20 ms.

    Guards against delaying the unload, since a runner gets one order at a time: it was ordered
    2.4 s after the version was retired.
    """
    cell = make_cell()
    cell.request("a1")
    cell.run(400)
    life = cell.runner_of("a1")
    for number in range(4):
        cell.request(f"b{number}")
    cell.run(20)
    loading = cell.runners[life].loading
    loading.update({name: (version, 10**9) for name, (version, _) in loading.items()})
    cell.run(400)
    cell.scheduler._is_retired = lambda ref: ref.name == f"{MODEL}/a1"
    cell.run(60, every_ms=20)
    assert f"{MODEL}/a1" not in cell.runners[life].held


def test_no_slot_with_a_retired_version_is_granted(make_cell):
    """Its load ended after it was retired, for a node that does not know the new version yet."""
    cell = make_cell()
    cell.request("a1", deadline_ms=cell.now_ms + 5_000)
    cell.run(100)
    cell.scheduler._is_retired = lambda ref: ref.version < 2
    cell.run(400)
    assert cell.runner_of("a1") is None


def test_a_pending_unload_is_confirmed_at_growing_intervals(make_cell):
    """A long answer uses an old version for three seconds; each confirmation calls its runner."""
    cell = make_cell()
    cell.request("a1")
    cell.run(400)
    life = cell.runner_of("a1")
    runner = cell.runners[life]
    runner.has_pending_unloads = True
    cell.scheduler._is_retired = lambda ref: ref.version < 2
    steps_before = len(cell.steps)
    cell.run(3_000)
    assert 5 < len(cell.steps) - steps_before < 40
    runner.has_pending_unloads = False
    cell.run(1_000)
    assert not cell.scheduler.runners[life].slots


def test_the_number_of_slots_is_also_limited_by_memory_for_weights(make_cell):
    traits = attrs.evolve(TRAITS, weights_mb=34_300 + 100)
    cell = make_cell(traits=traits, slot_count=2)
    for number in range(10):
        cell.request(f"a{number}", deadline_ms=cell.now_ms + 20_000)
    cell.run(8_000)
    assert max(len(r.held) + len(r.loading) for r in cell.runners.values()) <= 2


def test_a_superseded_order_ends_the_cell_lease(make_cell):
    cell = make_cell()
    cell.run(50)
    cell.request("a1")
    step = cell.scheduler.plan(cell.now_ms, {})[0]
    assert not cell.scheduler.handle_order_result(step, Superseded(), cell.now_ms)


def test_queued_requests_are_sent_to_another_node_when_the_lease_ends(make_cell):
    cell = make_cell()
    cell.request("a1")
    cell.scheduler.close()
    assert cell.results == {"a1": None}


def test_unusable_orders_do_not_use_up_the_loads_of_base_models(make_cell):
    """Two runners crash, and orders are sent to an old address, where a new runner answers.

    If these orders counted, they would delay the load of the new runner's base model for seconds.
    """
    cell = make_cell(1, model=None)
    cell.run(30)
    runner = cell.scheduler.runners["i-0"]
    for _ in range(20):
        step = cell.scheduler.plan(cell.now_ms, {})
        if step:
            cell.scheduler.handle_order_result(step[0], Unusable("no connection"), cell.now_ms)
        cell.run(100)
        cell.runners["i-0"].model_loaded_at_ms = cell.runners["i-0"].model = None
    cell.run(3_000)
    assert runner.model == MODEL


def test_a_runner_whose_address_belongs_to_another_server_is_removed(make_cell):
    cell = make_cell(2)
    cell.run(50)
    cell.request("a1")
    step = cell.scheduler.plan(cell.now_ms, {})[0]
    assert cell.scheduler.handle_order_result(step, Gone(), cell.now_ms)
    assert step.life not in cell.scheduler.runners


def test_a_new_holder_knows_what_runners_held_before(make_cell):
    """The lease holder is replaced, and the new one knows from heartbeats what the runners held.

    Otherwise any runner would fetch an adapter of which one of them has a cached copy.
    """
    cell = make_cell(0)
    for number in range(3):
        life = f"i-{number}"
        cell.runners[life] = FakeRunner(life)
    ref = AdapterRef(f"{MODEL}/a1", 1)
    farthest = min(cell.runners, key=lambda life: weight(ref.name, life))
    cell.runners[farthest].cached.add((ref.name, 1))
    for life in cell.runners:
        cell.scheduler.add_runner(life, [ref] if life == farthest else [])
    cell.run(20)
    cell.request("a1")
    cell.run(80)
    assert cell.runner_of("a1") == farthest


def test_a_runner_with_a_cached_copy_is_waited_for_during_another_order(make_cell):
    """An order takes 3 ms. Another runner would need 250 ms and a fetch from the weight store."""
    cell = make_cell(2)
    cell.request("a1")
    cell.run(400)
    home = cell.runner_of("a1")
    cell.runners[home].held.clear()
    cell.scheduler.runners[home].slots.clear()
    cell.scheduler.runners[home].has_call_in_progress = True
    cell.request("a1", "again")
    assert cell.scheduler.plan(cell.now_ms, {}) == []
    cell.scheduler.runners[home].has_call_in_progress = False
    assert [step.life for step in cell.scheduler.plan(cell.now_ms, {})] == [home]


def test_the_capacity_of_a_larger_store_is_used_in_full(make_cell):
    """The weight store beside 45 runners sends 48 adapters concurrently at full speed.

    With a limit of 8, a rush for rare adapters would wait six times as long as necessary.
    """
    cell = make_cell(12)
    for number in range(72):
        cell.request(f"a{number}", deadline_ms=cell.now_ms + 60_000)
    cell.run(2_000)
    assert sum(cell.runner_of(f"a{number}") is not None for number in range(72)) == 72


def test_a_plan_examines_only_the_most_urgent_adapters(make_cell, monkeypatch):
    """Guards against plans that examine hundreds of queued requests and delay their own orders.

    The most urgent adapters are examined, each once, and the others in later plans.
    """
    examined: list[str] = []
    select = LoadTargetSelector.select

    def recording_select(self, request, *rest):
        examined.append(request.adapter_name)
        return select(self, request, *rest)

    monkeypatch.setattr(LoadTargetSelector, "select", recording_select)
    cell = make_cell(2)
    for number in range(300):
        cell.request(f"a{number}", deadline_ms=cell.now_ms + 600_000, on_time_until_ms=10**9)
    cell.run_plan()
    assert examined[:64] == [f"{MODEL}/a{number}" for number in range(64)]
    assert len(examined) <= 64
    cell.run(30_000)
    assert sum(cell.runner_of(f"a{number}") is not None for number in range(300)) > 100


def _request_with_prefill_deadline(cell, tag, prefill_within_ms=4_000):
    """Return a request for an adapter in high demand, with a deadline for its prefill."""
    return cell.request(
        "a1",
        tag,
        rank=1,
        prompt_tokens=2_000,
        read_by_ms=cell.now_ms + prefill_within_ms,
        tokens_per_ms=20.0,
    )


def test_no_request_is_placed_behind_a_queue_longer_than_its_caller_waits(make_cell):
    """A runner that holds the adapter has 10 s of pending prefill, and callers leave after 4 s.

    Guards against sending all requests there because the adapter is there; a replica elsewhere is
    ready in a quarter of a second.
    """
    cell = make_cell(2)
    cell.request("a1")
    cell.run(400)
    first = cell.runner_of("a1")
    cell.start_requests(first, "a1", requests=90, pending_prefill_tokens=200_000)
    _request_with_prefill_deadline(cell, "next")
    assert "next" not in cell.results
    cell.run(400)
    assert cell.runner_of("next") not in (None, first)
    assert cell.scheduler.load_count == 2


def test_grants_between_two_heartbeats_do_not_overload_a_runner(make_cell):
    """Sixty requests for one adapter arrive at once; its runner can prefill about forty in time.

    By the last heartbeat alone, the runner would seem idle to each of them.
    """
    cell = make_cell(1)
    cell.request("a1")
    cell.run(400)
    for number in range(60):
        _request_with_prefill_deadline(cell, f"r{number}")
    granted = [number for number in range(60) if cell.runner_of(f"r{number}")]
    assert len(granted) == 39


def test_requests_that_no_runner_can_prefill_in_time_get_the_drain_time(make_cell):
    """All runners have 10 s of pending prefill; a retry 6 s later can be served in time."""
    cell = make_cell(2)
    for life in ("i-0", "i-1"):
        cell.start_requests(life, "z", requests=90, pending_prefill_tokens=200_000)
    _request_with_prefill_deadline(cell, "r")
    refusal = cell.results["r"]
    assert isinstance(refusal, NoSlot)
    assert 6_000 <= refusal.retry_after_ms <= 6_300


def test_an_adapter_is_not_ordered_again_where_only_the_queue_is_long(make_cell):
    """The only runner with a slot for the adapter already holds it, behind a long queue."""
    cell = make_cell(2, attrs.evolve(TRAITS, adapter_slots=1), slot_count=1)
    cell.request("a1")
    cell.run(400)
    first = cell.runner_of("a1")
    other = next(life for life in cell.runners if life != first)
    cell.request("b1", excluded_runners=frozenset({first}))
    cell.run(400)
    cell.start_requests(other, "b1", requests=2, pending_prefill_tokens=4_000)
    cell.start_requests(first, "a1", requests=90, pending_prefill_tokens=200_000)
    load_count = cell.scheduler.load_count
    _request_with_prefill_deadline(cell, "r")
    cell.run(300)
    assert cell.scheduler.load_count == load_count
