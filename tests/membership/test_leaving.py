"""Tests of the ways of learning that a backend server leaves."""

from __future__ import annotations

import pytest

from monsoonflow.membership.view import Leaving


@pytest.fixture
def leaving():
    return Leaving(failures_to_leave=3)


def test_each_way_alone_is_enough(leaving):
    assert leaving.takes_new_work("s")
    leaving.vm_list({"s"})
    assert not leaving.takes_new_work("s")
    leaving.vm_list(set())
    leaving.answered("s", "boot-1", leaving=True)
    assert not leaving.takes_new_work("s")
    other = Leaving(failures_to_leave=3)
    for _ in range(3):
        other.check_failed("s")
    assert not other.takes_new_work("s")


def test_server_that_said_it_leaves_can_not_take_it_back(leaving):
    leaving.answered("s", "boot-1", leaving=True)
    leaving.answered("s", "boot-1", leaving=False)
    assert not leaving.takes_new_work("s")


def test_server_back_under_the_same_address_starts_afresh(leaving):
    leaving.answered("s", "boot-1", leaving=True)
    leaving.answered("s", "boot-2", leaving=False)
    assert leaving.takes_new_work("s")


def test_one_good_answer_clears_failed_checks(leaving):
    for _ in range(5):
        leaving.check_failed("s")
    leaving.answered("s", "boot-1", leaving=False)
    assert leaving.takes_new_work("s")
