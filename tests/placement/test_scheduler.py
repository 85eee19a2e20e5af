"""Tests of who loads which adapter, when and for whom."""

from __future__ import annotations

import attrs

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.helpers.hashing import weight
from monsoonflow.orders.models import Gone, Operation, Superseded, Unusable
from monsoonflow.placement.load_target import LoadTargetSelector
from monsoonflow.placement.request_queue import NoSlot
from tests.placement.conftest import MODEL, TRAITS, FakeRunner


def test_an_adapter_is_loaded_for_who_asks(make_world):
    world = make_world()
    world.ask("a1")
    world.run(240)
    assert "a1" not in world.settled
    world.run(60)
    assert world.placed("a1") == "i-0"


def test_requests_for_one_adapter_share_one_load(make_world):
    world = make_world(3)
    for number in range(10):
        world.ask("a1", f"r{number}")
    world.run(400)
    assert len({world.placed(f"r{number}") for number in range(10)}) == 1
    assert world.desk.load_count == 1


def test_an_adapter_goes_back_to_the_runner_that_held_it(make_world):
    """A rare adapter is asked for, pushed out by others, and asked for again.

    Its runner keeps a copy: 25 ms instead of 250, and nothing is fetched from the weight store.
    """
    world = make_world(3)
    world.ask("a1")
    world.run(400)
    home = world.placed("a1")
    for number in range(40):
        world.ask(f"b{number}")
        world.run(400)
    assert not any(runner.held.get(f"{MODEL}/a1") for runner in world.runners.values())
    cold = world.desk.cold_load_count
    world.ask("a1", "again")
    world.run(80)
    assert world.placed("again") == home
    assert world.desk.cold_load_count == cold


def test_what_is_in_use_is_never_unloaded(make_world):
    """All places are taken by running requests, and more adapters are asked for.

    None of them may make way; those who ask wait.
    """
    world = make_world()
    for number in range(6):
        world.ask(f"a{number}")
        world.run(300)
        world.use("i-0", f"a{number}")
    world.ask("b")
    world.run(1_000)
    assert not [step for step in world.steps if step.operation is Operation.UNLOAD]
    world.free("i-0", "a3")
    world.run(500)
    assert world.placed("b") == "i-0"
    dropped = [s.name for s in world.steps if s.operation is Operation.UNLOAD]
    assert set(dropped) == {f"{MODEL}/a3"}


def test_a_place_that_was_just_granted_is_kept_for_its_request(make_world):
    """A request is told where its adapter is; its node's report of the use is not here yet.

    Unloaded in between, the adapter would be fetched again for the same request.
    """
    world = make_world(slots=6)
    for number in range(6):
        world.ask(f"a{number}")
    world.run(400)
    world.ask("b")
    world.run(300)
    assert world.placed("b") is None
    world.run(700)
    assert world.placed("b") == "i-0"


def test_who_can_be_on_time_goes_before_who_is_late_already(make_world):
    """A rush: twenty rare adapters at once, and all places in use but one.

    In the order of arrival the oldest, whose answer is late already, would get the place.
    """
    world = make_world()
    for number in range(5):
        world.ask(f"a{number}")
        world.run(300)
        world.use("i-0", f"a{number}")
    world.ask("held")
    world.run(300)
    world.use("i-0", "held")
    world.ask("late", on_time_until_ms=world.now_ms - 1)
    world.run(50)
    world.ask("fresh")
    world.free("i-0", "held")
    world.run(700)
    assert world.placed("fresh") == "i-0"
    assert world.placed("late") is None


def test_more_urgent_requests_go_first(make_world):
    world = make_world()
    for number in range(6):
        world.ask(f"a{number}")
        world.run(300)
        world.use("i-0", f"a{number}")
    world.ask("bulk", priority=2)
    world.ask("urgent", priority=0)
    world.free("i-0", "a0")
    world.run(500)
    assert world.placed("urgent") == "i-0"
    assert world.placed("bulk") is None


def test_the_hopeless_are_refused_at_once_with_a_time_to_come_back(make_world):
    """Nothing ends for seconds and fifty requests come.

    Held until their time is over they would cost their callers the time in which to come back.
    """
    world = make_world()
    for number in range(6):
        world.ask(f"a{number}")
        world.run(300)
        world.use("i-0", f"a{number}")
    world.run(3_000)
    for number in range(50):
        world.ask(f"b{number}")
    refused = [r for r in world.settled.values() if isinstance(r, NoSlot)]
    assert len(refused) >= 40
    assert all(r.retry_after_ms >= 250 for r in refused)


def test_a_few_may_always_wait(make_world):
    world = make_world()
    for number in range(6):
        world.ask(f"a{number}")
        world.run(300)
        world.use("i-0", f"a{number}")
    world.run(3_000)
    world.ask("b")
    assert "b" not in world.settled


def test_no_more_cold_loads_at_once_than_the_store_carries(make_world):
    """Sixty rare adapters are asked for at the same moment; the store sends eight at full speed.

    Beyond eight at once each load takes longer in proportion: all would be late, the urgent ones as
    well. Where the bound lies is told nowhere; it is tried out once, by half, and then kept.
    """
    world = make_world(6, shared_store=8)
    for number in range(60):
        world.ask(f"a{number}", deadline_ms=world.now_ms + 60_000)
    at_once = []
    for _ in range(200):
        world.run(10)
        at_once.append(sum(len(runner.coming) for runner in world.runners.values()))
    assert max(at_once[:50]) == 8
    assert max(at_once) <= 12
    assert max(at_once[140:]) <= 8


def test_a_lost_answer_is_settled_by_the_same_order_again(make_world):
    """The answer to an order is lost, and the order is carried out three seconds later.

    Its place stays taken; the order is repeated under the same condition, so that only one of the
    two takes effect, however late the other comes. The runner would crash if it held one too many.
    """
    world = make_world()
    world.lose = 3
    for number in range(14):
        world.ask(f"a{number}", deadline_ms=world.now_ms + 20_000)
    world.run(8_000)
    assert sum(world.placed(f"a{number}") is not None for number in range(14)) == 14
    assert world.late == []


def test_a_runner_that_has_other_orders_is_asked_what_it_holds(make_world):
    world = make_world()
    world.ask("a1")
    world.run(400)
    runner = world.runners["i-0"]
    runner.held[f"{MODEL}/other"] = 1
    runner.sequence += 1
    world.ask("a2")
    world.run(600)
    assert world.placed("a2") == "i-0"
    assert world.desk.runners["i-0"].ready_slot(f"{MODEL}/other") is not None


def test_a_runner_that_lost_its_model_gets_it_again(make_world):
    world = make_world(model=None)
    world.ask("a1", deadline_ms=10_000)
    world.run(3_500)
    assert world.runners["i-0"].model == MODEL
    assert world.placed("a1") == "i-0"


def test_models_are_loaded_no_faster_than_the_store_allows(make_world):
    """All runners crash together.

    The weight store allows a rate over all runners; an older holder may have used part of it.
    """
    world = make_world(40, model=None)
    world.run(300)
    began = [step for step in world.steps if not step.is_confirmation]
    assert 1 <= len(began) <= TRAITS.loads_per_s * 5


def test_a_new_version_replaces_an_idle_old_one(make_world):
    world = make_world()
    world.ask("a1")
    world.run(400)
    world.newest[f"{MODEL}/a1"] = 2
    world.ask("a1", "new", min_version=2)
    world.run(600)
    assert world.placed("new") == "i-0"
    assert world.settled["new"].version == 2


def test_a_new_version_comes_beside_an_old_one_that_is_in_use(make_world):
    """A version is named while requests run on the old one.

    A replacement in place waits for their end, and all new requests would wait with it.
    """
    world = make_world(2)
    world.ask("a1")
    world.run(400)
    old = world.placed("a1")
    world.use(old, "a1")
    world.newest[f"{MODEL}/a1"] = 2
    world.ask("a1", "new", min_version=2)
    world.run(600)
    assert world.placed("new") not in (None, old)


def test_a_version_whose_time_is_over_is_dropped_while_it_is_used(make_world):
    """Requests run and wait at a runner on version 1, whose time is over; nobody asks for more.

    What runs there ends; what has not begun is refused by the runner, which has to be told. A lost
    order is given again.
    """
    world = make_world()
    world.ask("a1")
    world.run(400)
    life = world.placed("a1")
    world.use(life, "a1", requests=3)
    world.run(1_000)
    assert not any(step.operation is Operation.UNLOAD for step in world.steps)
    world.desk._is_retired = lambda ref: ref.version < 2
    world.lose = 1
    world.run(100)
    assert world.runners[life].held == {}
    assert not world.desk.runners[life].slots


def test_late_loads_do_not_hold_up_the_drop_of_an_old_version(make_world):
    """Four loads take seconds, and their runner is asked for each in turn, every 20 ms.

    A runner takes one order at a time: the drop was ordered 2.4 s after the term was over.
    """
    world = make_world()
    world.ask("a1")
    world.run(400)
    life = world.placed("a1")
    for number in range(4):
        world.ask(f"b{number}")
    world.run(20)
    coming = world.runners[life].coming
    coming.update({name: (version, 10**9) for name, (version, _) in coming.items()})
    world.run(400)
    world.desk._is_retired = lambda ref: ref.name == f"{MODEL}/a1"
    world.run(60, every_ms=20)
    assert f"{MODEL}/a1" not in world.runners[life].held


def test_a_version_whose_time_is_over_is_not_granted(make_world):
    """Its load ended after its term; a node that has not heard of the new version asks for it."""
    world = make_world()
    world.ask("a1", deadline_ms=world.now_ms + 5_000)
    world.run(100)
    world.desk._is_retired = lambda ref: ref.version < 2
    world.run(400)
    assert world.placed("a1") is None


def test_an_unload_that_waits_for_its_runs_is_asked_for_ever_more_seldom(make_world):
    """A long answer holds an old version for three seconds; each question goes to its runner."""
    world = make_world()
    world.ask("a1")
    world.run(400)
    life = world.placed("a1")
    runner = world.runners[life]
    runner.unloads_wait = True
    world.desk._is_retired = lambda ref: ref.version < 2
    before = len(world.steps)
    world.run(3_000)
    assert 5 < len(world.steps) - before < 40
    runner.unloads_wait = False
    world.run(1_000)
    assert not world.desk.runners[life].slots


def test_the_bound_on_adapters_follows_from_the_weights_too(make_world):
    traits = attrs.evolve(TRAITS, weights_mb=34_300 + 100)
    world = make_world(traits=traits, slots=2)
    for number in range(10):
        world.ask(f"a{number}", deadline_ms=world.now_ms + 20_000)
    world.run(8_000)
    assert max(len(r.held) + len(r.coming) for r in world.runners.values()) <= 2


def test_a_runner_that_knows_a_newer_holder_ends_the_duty(make_world):
    world = make_world()
    world.run(50)
    world.ask("a1")
    step = world.desk.plan(world.now_ms, {})[0]
    assert not world.desk.handle_order_result(step, Superseded(), world.now_ms)


def test_who_waits_is_sent_on_when_the_duty_ends(make_world):
    world = make_world()
    world.ask("a1")
    world.desk.close()
    assert world.settled == {"a1": None}


def test_refused_orders_do_not_use_up_the_loads_of_base_models(make_world):
    """Two runners crash; orders go to the dead one's address, where a new one answers.

    Counted, they would hold back the load of the new runner's model for seconds.
    """
    world = make_world(1, model=None)
    world.run(30)
    runner = world.desk.runners["i-0"]
    for _ in range(20):
        step = world.desk.plan(world.now_ms, {})
        if step:
            world.desk.handle_order_result(step[0], Unusable("no connection"), world.now_ms)
        world.run(100)
        world.runners["i-0"].model_at_ms = world.runners["i-0"].model = None
    world.run(3_000)
    assert runner.model == MODEL


def test_a_runner_whose_address_is_anothers_is_dropped(make_world):
    world = make_world(2)
    world.run(50)
    world.ask("a1")
    step = world.desk.plan(world.now_ms, {})[0]
    assert world.desk.handle_order_result(step, Gone(), world.now_ms)
    assert step.life not in world.desk.runners


def test_a_new_holder_knows_what_runners_held_before(make_world):
    """The holder is replaced; the new one has heard what the runners held.

    Without that it would fetch again, to any runner, what one of them has a copy of.
    """
    world = make_world(0)
    for number in range(3):
        life = f"i-{number}"
        world.runners[life] = FakeRunner(life)
    ref = AdapterRef(f"{MODEL}/a1", 1)
    away = min(world.runners, key=lambda life: weight(ref.name, life))
    world.runners[away].known.add((ref.name, 1))
    for life in world.runners:
        world.desk.add_runner(life, [ref] if life == away else [])
    world.run(20)
    world.ask("a1")
    world.run(80)
    assert world.placed("a1") == away


def test_the_runner_with_a_copy_is_waited_for_while_it_takes_another_order(make_world):
    """An order takes 3 ms. Another runner would need 250 ms and a fetch from the weight store."""
    world = make_world(2)
    world.ask("a1")
    world.run(400)
    home = world.placed("a1")
    world.runners[home].held.clear()
    world.desk.runners[home].slots.clear()
    world.desk.runners[home].has_call_in_progress = True
    world.ask("a1", "again")
    assert world.desk.plan(world.now_ms, {}) == []
    world.desk.runners[home].has_call_in_progress = False
    assert [step.life for step in world.desk.plan(world.now_ms, {})] == [home]


def test_a_store_that_sends_more_at_once_is_used_in_full(make_world):
    """Beside 45 runners the weight store sends 48 adapters at once.

    With a bound of 8 a rush for rare adapters would wait six times as long as it must.
    """
    world = make_world(12)
    for number in range(72):
        world.ask(f"a{number}", deadline_ms=world.now_ms + 60_000)
    world.run(2_000)
    assert sum(world.placed(f"a{number}") is not None for number in range(72)) == 72


def test_a_plan_looks_for_places_for_the_most_urgent_only(make_world, monkeypatch):
    """Hundreds wait before many runners: looked at one by one, each plan held up its own orders.

    The most urgent are looked at, each once; those behind them have their turn in later plans.
    """
    asked_for: list[str] = []
    best = LoadTargetSelector.select

    def noting(self, waiter, *rest):
        asked_for.append(waiter.adapter_name)
        return best(self, waiter, *rest)

    monkeypatch.setattr(LoadTargetSelector, "select", noting)
    world = make_world(2)
    for number in range(300):
        world.ask(f"a{number}", deadline_ms=world.now_ms + 600_000, on_time_until_ms=10**9)
    world.turn()
    assert asked_for[:64] == [f"{MODEL}/a{number}" for number in range(64)]
    assert len(asked_for) <= 64
    world.run(30_000)
    assert sum(world.placed(f"a{number}") is not None for number in range(300)) > 100


def _waits_for_reading(world, tag, read_ms=4_000):
    """Return a request for a hot adapter that must have been read in time."""
    return world.ask(
        "a1",
        tag,
        rank=1,
        prompt_tokens=2_000,
        read_by_ms=world.now_ms + read_ms,
        tokens_per_ms=20.0,
    )


def test_nobody_is_placed_behind_a_queue_that_outlasts_it(make_world):
    """A runner that holds the adapter has 10 s of reading before it, where callers leave after 4 s.

    The desk sent all who asked there, since the adapter was there; a second copy elsewhere is ready
    in a quarter of a second.
    """
    world = make_world(2)
    world.ask("a1")
    world.run(400)
    first = world.placed("a1")
    world.use(first, "a1", requests=90, unread=200_000)
    _waits_for_reading(world, "next")
    assert "next" not in world.settled
    world.run(400)
    assert world.placed("next") not in (None, first)
    assert world.desk.load_count == 2


def test_grants_between_two_reports_do_not_overrun_a_runner(make_world):
    """Sixty ask for one adapter within a moment; its runner can read forty of them in time.

    Judged by the last report alone, each finds it idle.
    """
    world = make_world(1)
    world.ask("a1")
    world.run(400)
    for number in range(60):
        _waits_for_reading(world, f"r{number}")
    granted = [number for number in range(60) if world.placed(f"r{number}")]
    assert len(granted) == 39


def test_who_can_be_read_nowhere_is_sent_away_with_the_time_of_the_drain(make_world):
    """All runners have 10 s of reading before them; 6 s later, one that comes can be read."""
    world = make_world(2)
    for life in ("i-0", "i-1"):
        world.use(life, "z", requests=90, unread=200_000)
    _waits_for_reading(world, "r")
    refusal = world.settled["r"]
    assert isinstance(refusal, NoSlot)
    assert 6_000 <= refusal.retry_after_ms <= 6_300


def test_an_adapter_is_not_ordered_again_where_only_the_queue_is_long(make_world):
    """The only runner with a place for the adapter holds it already, behind a long queue."""
    world = make_world(2, attrs.evolve(TRAITS, adapter_slots=1), slots=1)
    world.ask("a1")
    world.run(400)
    first = world.placed("a1")
    other = next(life for life in world.runners if life != first)
    world.ask("b1", excluded_runners=frozenset({first}))
    world.run(400)
    world.use(other, "b1", requests=2, unread=4_000)
    world.use(first, "a1", requests=90, unread=200_000)
    loads = world.desk.load_count
    _waits_for_reading(world, "r")
    world.run(300)
    assert world.desk.load_count == loads
