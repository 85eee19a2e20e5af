"""Tests of the indications that a backend server is leaving."""

from __future__ import annotations

import pytest

from monsoonflow.membership.view import LeavingServers


@pytest.fixture
def leaving():
    return LeavingServers(max_failed_checks=3)


def test_each_indication_alone_is_enough(leaving):
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


def test_server_that_reported_leaving_stays_so_for_its_boot(leaving):
    leaving.record_answer("s", "boot-1", is_leaving=True)
    leaving.record_answer("s", "boot-1", is_leaving=False)
    assert not leaving.takes_new_work("s")


def test_restarted_server_with_the_same_address_gets_new_work(leaving):
    leaving.record_answer("s", "boot-1", is_leaving=True)
    leaving.record_answer("s", "boot-2", is_leaving=False)
    assert leaving.takes_new_work("s")


def test_successful_check_clears_failed_checks(leaving):
    for _ in range(5):
        leaving.record_failed_check("s")
    leaving.record_answer("s", "boot-1", is_leaving=False)
    assert leaving.takes_new_work("s")
