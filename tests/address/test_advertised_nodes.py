"""Who is named to callers: few nodes near them, as many as the load needs."""

from __future__ import annotations

import random

import attrs
import pytest

from monsoonflow.address.advertised_nodes import (
    MAX_NODES_TO_ADVERTISE_ALL,
    MIN_ADVERTISED,
    CandidateNode,
    advertised_nodes,
)

ZONES = ("a", "b", "c", "d", "e")


def fleet(nodes: int) -> list[CandidateNode]:
    """Return nodes in five data centres; one in thirteen has four times the processor."""
    return [
        CandidateNode(
            f"n{i}", ZONES[i % 5], f"1.1.{i // 256}.{i % 256}:1", 2.1 if i % 13 == 0 else 0.5
        )
        for i in range(nodes)
    ]


def names(found: list[CandidateNode]) -> set[str]:
    return {candidate.name for candidate in found}


@pytest.mark.parametrize("nodes", [90, 195, 1_100])
def test_callers_of_a_data_centre_use_few_nodes_there(nodes: int):
    """Each of 195 nodes took two or three requests a second from all five data centres.

    Each opened connections to 83 servers (7,472 in a minute for 14,769 requests) and was told of
    all others' work every 3.4 s.
    """
    everybody = fleet(nodes)
    for zone in ZONES:
        found = advertised_nodes(everybody, zone)
        assert MIN_ADVERTISED <= len(found) <= max(MIN_ADVERTISED, nodes / 5 * 0.1 + 1)
        assert {candidate.data_centre for candidate in found} == {zone}


@pytest.mark.parametrize("nodes", [1, 6, 7, MAX_NODES_TO_ADVERTISE_ALL])
def test_a_small_fleet_names_all(nodes: int):
    everybody = fleet(nodes)
    assert names(advertised_nodes(everybody, "a")) == names(everybody)


def test_the_strongest_are_named_first():
    found = advertised_nodes(fleet(195), "a")
    assert [candidate.cores for candidate in found[:3]] == [2.1, 2.1, 2.1]


def test_a_lost_node_moves_only_its_own_place():
    """Callers leave the connections to an address that a new answer does not name."""
    everybody = fleet(195)
    before = names(advertised_nodes(everybody, "a"))
    for lost in sorted(before):
        after = names(advertised_nodes([c for c in everybody if c.name != lost], "a"))
        assert len(before - after) == 1
    others = [c for c in everybody if c.name not in before and c.data_centre != "b"]
    assert (
        names(advertised_nodes(others + [c for c in everybody if c.name in before], "a")) == before
    )


def test_nodes_that_hear_nearly_the_same_name_nearly_the_same():
    rng = random.Random(1)
    everybody = fleet(195)
    shared = [
        len(
            names(advertised_nodes(rng.sample(everybody, 185), "a"))
            & names(advertised_nodes(rng.sample(everybody, 185), "a"))
        )
        for _ in range(100)
    ]
    assert sum(shared) / len(shared) >= 0.85 * MIN_ADVERTISED


def test_half_of_the_fleet_lost_at_once_leaves_callers_a_node():
    """A third of a data centre's callers may still use the answer of six seconds ago."""
    rng = random.Random(2)
    everybody = fleet(195)
    left = [
        names(advertised_nodes(everybody, zone)) & names(rng.sample(everybody, 98))
        for _ in range(100)
        for zone in ZONES
    ]
    assert sum(not nodes for nodes in left) <= 0.05 * len(left)


def test_a_lost_data_centre_is_replaced_by_the_others():
    everybody = [c for c in fleet(195) if c.data_centre != "a"]
    found = advertised_nodes(everybody, "a")
    assert len(found) == MIN_ADVERTISED
    assert not any(candidate.data_centre == "a" for candidate in found)


def test_a_data_centre_with_two_nodes_left_gets_help():
    everybody = [c for c in fleet(195) if c.data_centre != "a"]
    two = [c for c in fleet(195) if c.data_centre == "a"][:2]
    found = advertised_nodes(everybody + two, "a")
    assert names(two) <= names(found)
    assert len(found) == MIN_ADVERTISED


def test_more_are_named_before_the_named_ones_are_busy():
    """A burst of three times comes within a second."""
    everybody = fleet(195)
    first = names(advertised_nodes(everybody, "a"))
    busy = [attrs.evolve(c, lag_ms=25.0) if c.name in first else c for c in everybody]
    found = advertised_nodes(busy, "a")
    assert first < names(found)
    assert len(found) >= 2 * len(first)


def test_slow_nodes_are_named_last():
    everybody = fleet(195)
    slow = sorted(names(advertised_nodes(everybody, "a")))[:2]
    after = [attrs.evolve(c, lag_ms=200.0) if c.name in slow else c for c in everybody]
    found = advertised_nodes(after, "a")
    assert not names(found) & set(slow)


def test_the_holder_of_a_duty_is_kept_for_it():
    everybody = fleet(195)
    first = advertised_nodes(everybody, "a")[0]
    after = [attrs.evolve(c, is_lease_holder=c.name == first.name) for c in everybody]
    assert first.name not in names(advertised_nodes(after, "a"))


def test_nobody_heard_yet_names_whoever_there_is():
    assert advertised_nodes([], "a") == []
    assert len(advertised_nodes(fleet(2), "z")) == 2
