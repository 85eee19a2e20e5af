"""Tests of what a node does with a runner that it takes over."""

from __future__ import annotations

from types import SimpleNamespace

from monsoonflow.backend.models import EngineState
from monsoonflow.membership.view import LeavingServers
from monsoonflow.node.takeover import Takeover
from monsoonflow.ownership.models import OwnerRow

ADDRESS = "http://10.0.0.1:80"


def take(leaving: LeavingServers, is_leaving: bool = False):
    """Take a runner over and return what the node then knows of it."""
    taken = []
    state = EngineState("b-1", 2, 4, (), {}, is_leaving)
    entry = SimpleNamespace(address=ADDRESS, base_model="base", checks_fencing=True)
    context = SimpleNamespace(
        config=SimpleNamespace(runner_by_id={"m0": entry}),
        core=SimpleNamespace(owned_by_runner={}, add_runner=taken.append),
        leaving=leaving,
        weights=None,
        now_ms=lambda: 1_000,
    )
    takeover = Takeover(context, SimpleNamespace(kick=lambda: None))
    takeover._adopt(OwnerRow("m0", "n1", "n1.1", 3), state, {}, None)
    return taken[0]


def test_a_runner_on_the_vm_list_gets_no_new_work_from_a_new_owner():
    """A node that took over a leaving runner used it until its next health check."""
    leaving = LeavingServers(3)
    leaving.update_vm_list({ADDRESS})
    assert not take(leaving).takes_new_work


def test_a_runner_that_says_that_it_leaves_gets_no_new_work_from_a_new_owner():
    """The state that the node reads as it takes the runner over says so already."""
    assert not take(LeavingServers(3), is_leaving=True).takes_new_work


def test_a_runner_that_stays_gets_work_from_a_new_owner():
    assert take(LeavingServers(3)).takes_new_work
