"""Tests of the nodes advertised to callers: few and near, and as many as the load needs."""

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

DATA_CENTRES = ("a", "b", "c", "d", "e")


def fleet(nodes: int) -> list[CandidateNode]:
    """Return nodes in five data centres; one in thirteen has four times the processor time."""
    return [
        CandidateNode(
            f"n{i}", DATA_CENTRES[i % 5], f"1.1.{i // 256}.{i % 256}:1", 2.1 if i % 13 == 0 else 0.5
        )
        for i in range(nodes)
    ]


def names(nodes: list[CandidateNode]) -> set[str]:
    return {candidate.name for candidate in nodes}


@pytest.mark.parametrize("nodes", [90, 195, 1_100])
def test_callers_of_a_data_centre_get_few_nodes_of_it(nodes: int):
    """If callers used all 195 nodes, each would get two or three requests a second.

    Each node then opened connections to 83 servers (7,472 in a minute for 14,769 requests) and
    received the work of all its peers only every 3.4 s.
    """
    all_nodes = fleet(nodes)
    for data_centre in DATA_CENTRES:
        found = advertised_nodes(all_nodes, data_centre)
        assert MIN_ADVERTISED <= len(found) <= max(MIN_ADVERTISED, nodes / 5 * 0.1 + 1)
        assert {candidate.data_centre for candidate in found} == {data_centre}


@pytest.mark.parametrize("nodes", [1, 6, 7, MAX_NODES_TO_ADVERTISE_ALL])
def test_all_nodes_of_a_small_fleet_are_advertised(nodes: int):
    all_nodes = fleet(nodes)
    assert names(advertised_nodes(all_nodes, "a")) == names(all_nodes)


def test_fastest_nodes_are_advertised_first():
    found = advertised_nodes(fleet(195), "a")
    assert [candidate.cores for candidate in found[:3]] == [2.1, 2.1, 2.1]


def test_departed_node_changes_only_its_own_position():
    """Callers drop the connections to an address that is no longer advertised."""
    all_nodes = fleet(195)
    before = names(advertised_nodes(all_nodes, "a"))
    for lost in sorted(before):
        after = names(advertised_nodes([c for c in all_nodes if c.name != lost], "a"))
        assert len(before - after) == 1
    others = [c for c in all_nodes if c.name not in before and c.data_centre != "b"]
    assert (
        names(advertised_nodes(others + [c for c in all_nodes if c.name in before], "a")) == before
    )


def test_nodes_with_nearly_the_same_information_advertise_nearly_the_same_nodes():
    rng = random.Random(1)
    all_nodes = fleet(195)
    shared_counts = [
        len(
            names(advertised_nodes(rng.sample(all_nodes, 185), "a"))
            & names(advertised_nodes(rng.sample(all_nodes, 185), "a"))
        )
        for _ in range(100)
    ]
    assert sum(shared_counts) / len(shared_counts) >= 0.85 * MIN_ADVERTISED


def test_an_advertised_node_is_left_when_half_of_the_fleet_fails():
    """A third of a data centre's callers may still use addresses from six seconds ago."""
    rng = random.Random(2)
    all_nodes = fleet(195)
    remaining = [
        names(advertised_nodes(all_nodes, data_centre)) & names(rng.sample(all_nodes, 98))
        for _ in range(100)
        for data_centre in DATA_CENTRES
    ]
    assert sum(not nodes for nodes in remaining) <= 0.05 * len(remaining)


def test_nodes_of_other_data_centres_replace_a_failed_data_centre():
    all_nodes = [c for c in fleet(195) if c.data_centre != "a"]
    found = advertised_nodes(all_nodes, "a")
    assert len(found) == MIN_ADVERTISED
    assert not any(candidate.data_centre == "a" for candidate in found)


def test_nodes_of_other_data_centres_are_added_if_too_few_are_left():
    all_nodes = [c for c in fleet(195) if c.data_centre != "a"]
    two = [c for c in fleet(195) if c.data_centre == "a"][:2]
    found = advertised_nodes(all_nodes + two, "a")
    assert names(two) <= names(found)
    assert len(found) == MIN_ADVERTISED


def test_more_nodes_are_advertised_when_the_first_ones_are_delayed():
    """The load can triple within a second."""
    all_nodes = fleet(195)
    first = names(advertised_nodes(all_nodes, "a"))
    busy = [attrs.evolve(c, lag_ms=25.0) if c.name in first else c for c in all_nodes]
    found = advertised_nodes(busy, "a")
    assert first < names(found)
    assert len(found) >= 2 * len(first)


def test_slow_nodes_are_advertised_last():
    all_nodes = fleet(195)
    slow = sorted(names(advertised_nodes(all_nodes, "a")))[:2]
    after = [attrs.evolve(c, lag_ms=200.0) if c.name in slow else c for c in all_nodes]
    found = advertised_nodes(after, "a")
    assert not names(found) & set(slow)


def test_lease_holder_is_not_advertised_if_other_nodes_suffice():
    all_nodes = fleet(195)
    first = advertised_nodes(all_nodes, "a")[0]
    after = [attrs.evolve(c, is_lease_holder=c.name == first.name) for c in all_nodes]
    assert first.name not in names(advertised_nodes(after, "a"))


def test_too_few_known_nodes_are_all_advertised():
    assert advertised_nodes([], "a") == []
    assert len(advertised_nodes(fleet(2), "z")) == 2
