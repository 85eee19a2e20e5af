"""Slot requests of peers: an invalid one must not stop the lease holder of a cell."""

from __future__ import annotations

import pytest

from monsoonflow.entry.slot_request import check_slot_request
from tests.entry.conftest import wait_for

VALID = {
    "cell": "llm",
    "adapter": "m/a1",
    "version": 1,
    "priority": 0,
    "wait_ms": 900,
    "on_time_ms": 800,
    "waited_ms": 0,
    "tried_ms": 0,
    "avoid": [],
    "lacking": [],
    "session": None,
    "rank": 0,
    "prompt_tokens": 100,
    "read_ms": 1_000,
    "tokens_per_ms": 10.0,
}
INVALID = [
    ("priority", "high"),
    ("priority", True),
    ("version", None),
    ("version", -1),
    ("prompt_tokens", "many"),
    ("prompt_tokens", -5),
    ("wait_ms", 1e300),
    ("on_time_ms", []),
    ("tokens_per_ms", 0),
    ("tokens_per_ms", -1.0),
    ("tokens_per_ms", float("nan")),
    ("tokens_per_ms", float("inf")),
    ("tokens_per_ms", "fast"),
    ("avoid", [1]),
    ("session", 7),
    ("adapter", None),
]


@pytest.mark.parametrize(("name", "value"), INVALID)
def test_a_slot_request_with_an_invalid_field_is_rejected(name, value):
    """A rate of 0 or a text in the queue made each later plan of the cell fail."""
    check_slot_request(VALID)
    with pytest.raises(ValueError):
        check_slot_request({**VALID, name: value})


def test_a_node_of_an_earlier_release_says_nothing_of_its_prompt():
    names = VALID.keys() - {"rank", "prompt_tokens", "read_ms", "tokens_per_ms"}
    check_slot_request({name: VALID[name] for name in names})


def test_a_holder_plans_again_after_a_plan_has_failed(fleet, monkeypatch):
    """The lease was renewed by a holder whose plan loop had ended."""
    fleet.runner("r-1")
    node = fleet.node()
    fleet.holder()
    scheduler = node.daemon.cell_leases.lease_of("llm").scheduler

    def fail(*_arguments):
        raise ZeroDivisionError

    monkeypatch.setattr(scheduler, "plan", fail)
    node.daemon.cell_leases.wake_planner()
    lease = node.daemon.cell_leases.lease_of("llm")
    wait_for(lambda: lease.scheduler not in (None, scheduler))
    assert fleet.generate(node, "a1", "r1").head.status == 200
