"""Tests of the ways of learning that a backend server leaves."""

from __future__ import annotations

import pytest

from monsoonflow.membership.view import LeavingServers


@pytest.fixture
def leaving():
    return LeavingServers(max_failed_checks=3)


def test_each_way_alone_is_enough(leaving):
    assert leaving.takes_new_work("s")
    leaving.update_vm_list({"s"})
    assert not leaving.takes_new_work("s")
    leaving.update_vm_list(set())
    leaving.record_answer("s", "boot-1", is_leaving=True)
    assert not leaving.takes_new_work("s")
    other = LeavingServers(max_failed_checks=3)
    for _ in range(3):
        other.record_failed_check("s")
    assert not other.takes_new_work("s")


def test_server_that_said_it_leaves_can_not_take_it_back(leaving):
    leaving.record_answer("s", "boot-1", is_leaving=True)
    leaving.record_answer("s", "boot-1", is_leaving=False)
    assert not leaving.takes_new_work("s")


def test_server_back_under_the_same_address_starts_afresh(leaving):
    leaving.record_answer("s", "boot-1", is_leaving=True)
    leaving.record_answer("s", "boot-2", is_leaving=False)
    assert leaving.takes_new_work("s")


def test_one_good_answer_clears_failed_checks(leaving):
    for _ in range(5):
        leaving.record_failed_check("s")
    leaving.record_answer("s", "boot-1", is_leaving=False)
    assert leaving.takes_new_work("s")
