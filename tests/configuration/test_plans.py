"""Tests of intents, plans and their confirmation."""

from __future__ import annotations

import pytest

from monsoonflow.configuration.models import Plan, PlanState, converter
from monsoonflow.configuration.planner import IntentError, PlanRequest, propose, propose_undo
from monsoonflow.configuration.store import StalePlan, WrongState
from monsoonflow.storage.models import Unavailable
from script.fleet import bring_in_intent

RUNNER = {
    "runner_id": "m1",
    "address": "http://10.0.0.1:80",
    "base_model": "base-1",
    "data_centre": "dc-1",
    "checks_fencing": True,
    "draining": False,
}
NOW = 1_000_000


class Operator:
    """Makes and confirms plans as one operator does."""

    def __init__(self, store):
        self.store = store
        self.made = 0

    def plan(self, intent, now=NOW):
        """Make a plan from an intent."""
        self.made += 1
        config = self.store.load()
        request = PlanRequest(f"p-{id(self)}-{self.made}", "op", now, 3.0)
        if intent.get("kind") == "undo":
            plan = propose_undo(self.store.plan(intent["plan_id"])[0], config, request)
        else:
            plan = propose(intent, config, request)
        if isinstance(plan, Plan):
            assert self.store.save_plan(plan, f"save-{plan.plan_id}")
        return plan

    def confirm(self, plan, now=NOW):
        """Confirm a plan."""
        return self.store.confirm(plan.plan_id, f"confirm-{plan.plan_id}", now)

    def apply(self, intent, now=NOW):
        """Make and confirm a plan and carry out what is due."""
        result = self.confirm(self.plan(intent, now), now)
        self.carry_on(result.plan_id, now)
        return result

    def carry_on(self, plan_id, now=NOW):
        """Carry out every step that is due."""
        for number in range(50):
            before = self.store.load().version
            self.store.advance(plan_id, f"step-{plan_id}-{now}-{number}", now)
            if self.store.load().version == before:
                return


@pytest.fixture
def operator(store):
    made = Operator(store)
    made.apply({"kind": "put_runner", "runner": RUNNER})
    return made


def test_nothing_changes_before_confirm(store, operator):
    before = store.load().version
    plan = operator.plan(bring_in_intent("acme", 3))
    assert isinstance(plan, Plan)
    assert store.load().version == before
    operator.confirm(plan)
    operator.carry_on(plan.plan_id)
    assert len(store.load().adapters_of("acme")) == 3


def test_second_of_two_racing_operators_is_told_that_its_plan_is_stale(store, operator):
    """Two operators make plans against the same version and confirm both.

    Both would seem accepted and one would undo the other unseen; the second gets "stale plan".
    """
    operator.apply(bring_in_intent("acme", 2))
    move = {"kind": "move_version", "adapter": "acme-0", "close_previous": False}
    first = operator.plan({**move, "version": 3})
    second = Operator(store).plan({**move, "version": 4})
    assert isinstance(operator.confirm(first), Plan)
    assert isinstance(operator.confirm(second), StalePlan)
    assert store.load().adapter_by_name["acme-0"].current == 3


def test_confirming_twice_is_answered_with_the_plan_and_changes_nothing(store, operator):
    plan = operator.plan({"kind": "drain_runner", "runner_id": "m1"})
    assert isinstance(plan, IntentError)
    plan = operator.plan(bring_in_intent("acme", 1))
    operator.confirm(plan)
    version = store.load().version
    again = operator.confirm(plan)
    assert isinstance(again, Plan)
    assert store.load().version == version


def test_confirm_whose_answer_was_lost_can_be_repeated(table, store, operator):
    """The confirm takes effect in the table and its answer is lost.

    The operator is told that it is unclear, asks again, and gets the accepted plan; it is applied
    once.
    """
    plan = operator.plan(bring_in_intent("acme", 1))
    version = store.load().version
    table.lose_answers = 1
    assert operator.confirm(plan) == Unavailable("lost", ambiguous=True)
    assert isinstance(operator.confirm(plan), Plan)
    assert store.load().version == version + 1


def test_steps_wait_for_their_time_and_each_is_done_once(store, operator):
    """A group is retired by a time: first closed to new requests, then removed."""
    operator.apply(bring_in_intent("acme", 2, group="summer"))
    plan = operator.plan({"kind": "retire_group", "group": "summer", "by_unix_ms": NOW + 600_000})
    operator.confirm(plan)
    assert store.load().resolve("acme", "acme-0", None) != "version is being retired"
    operator.carry_on(plan.plan_id, NOW + 545_000)
    assert store.load().resolve("acme", "acme-0", None) == "version is being retired"
    operator.carry_on(plan.plan_id, NOW + 600_000)
    assert "acme" not in store.load().customer_by_name
    assert store.plan(plan.plan_id)[0].state is PlanState.DONE
    assert isinstance(store.advance(plan.plan_id, "again", NOW + 700_000), WrongState)


def test_undo_stops_a_running_plan_and_takes_its_steps_back(store, operator):
    operator.apply(bring_in_intent("acme", 2, group="summer"))
    plan = operator.plan({"kind": "retire_group", "group": "summer", "by_unix_ms": NOW + 600_000})
    operator.confirm(plan)
    operator.carry_on(plan.plan_id, NOW + 545_000)
    operator.apply({"kind": "undo", "plan_id": plan.plan_id}, NOW + 546_000)
    operator.carry_on(plan.plan_id, NOW + 700_000)
    assert store.plan(plan.plan_id)[0].state is PlanState.UNDONE
    assert str(store.load().resolve("acme", "acme-0", None)) == "acme-0@2"


def test_two_carriers_do_each_step_once(store, operator):
    """Two nodes both think that they carry the plan; each step's write is conditional."""
    plan = operator.plan(bring_in_intent("acme", 1200))
    operator.confirm(plan)
    row = store.plan(plan.plan_id)
    stale = type(store)(store._table, store._objects)
    stale.plan = lambda _plan_id: row
    operator.carry_on(plan.plan_id)
    version = store.load().version
    stale.advance(plan.plan_id, "late", NOW)
    assert store.load().version == version
    assert len(store.load().adapters_of("acme")) == 1200


@pytest.mark.parametrize(
    ("intent", "reason"),
    [
        ([], "an intent is a JSON object"),
        ({}, "kind must be one of"),
        ({"kind": "bring_in"}, "missing 'customer'"),
        ({"kind": "retire_group", "group": "none", "by_unix_ms": NOW + 1}, "no customer"),
        ({"kind": "retire_group", "group": "x", "by_unix_ms": NOW - 1}, "a time to come"),
        ({"kind": "move_version", "adapter": "none", "version": 1}, "unknown adapter"),
        ({"kind": "drain_runner", "runner_id": "none"}, "unknown runner"),
    ],
)
def test_wrong_intents_get_a_clear_reason(store, operator, intent, reason):
    plan = propose(intent, store.load(), PlanRequest("p", "op", NOW, 3.0))
    assert isinstance(plan, IntentError)
    assert reason in plan.reason


def test_taken_names_and_unknown_base_models_are_refused(store, operator):
    operator.apply(bring_in_intent("acme", 1))
    thief = bring_in_intent("thief", 1)
    thief["adapters"][0]["name"] = "acme-0"
    assert "taken" in operator.plan(thief).reason
    strange = bring_in_intent("strange", 1)
    strange["adapters"][0]["base_model"] = "base-9"
    assert "no runner serves" in operator.plan(strange).reason


def test_configuration_never_goes_back(store, operator):
    """A poller is given an old row, and deltas arrive out of order."""
    operator.apply(bring_in_intent("acme", 1))
    config = store.load()
    version = config.version
    for old in store.deltas_after(0):
        assert not config.apply(old.version, old.changes)
    assert not config.apply(version + 2, ())
    assert config.version == version


def test_snapshot_gives_the_same_configuration(store, operator):
    operator.apply(bring_in_intent("acme", 5))
    config = store.load()
    copy = type(config).from_snapshot(config.snapshot())
    assert copy.snapshot() == config.snapshot()


def test_new_node_starts_from_the_snapshot(table, store, operator):
    """The oldest deltas can't be read any more; a snapshot was stored after them."""
    operator.apply(bring_in_intent("acme", 3))
    config = store.load()
    store.save_snapshot(config.version, config.snapshot())
    for key in [key for key in table.table.rows if key.startswith("config/delta/")]:
        del table.table.rows[key]
    assert store.load().snapshot() == config.snapshot()


def test_missing_snapshot_costs_time_only(store, operator):
    operator.apply(bring_in_intent("acme", 3))
    config = store.load()
    store.save_snapshot(config.version, config.snapshot())
    store._objects.body_by_key.clear()
    assert store.load().snapshot() == config.snapshot()


def test_plans_survive_their_encoding(operator):
    plan = operator.plan(bring_in_intent("acme", 2))
    assert converter.structure(converter.unstructure(plan), Plan) == plan
