"""Tests that a request's route is the one with the longest matching prefix."""

from __future__ import annotations

import pytest

from monsoonflow.routing.routes import Route, RouteKind, RouteTable, Target
from monsoonflow.transport.models import MessageLimits

PREFIXES = ("/", "/a/", "/a/b/", "/a/b/c/d/", "/long-name-of-a-route/")


@pytest.fixture
def table():
    routes = [
        Route(prefix, "h", prefix, RouteKind.IDEMPOTENT, (Target("s", 1),))
        for prefix in (*PREFIXES, "/a/")
    ]
    return RouteTable.build(1, routes, [], MessageLimits())


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/", "/"),
        ("/a", "/"),
        ("/a/", "/a/"),
        ("/a/x", "/a/"),
        ("/ab/x", "/"),
        ("/a/b/c/x", "/a/b/"),
        ("/a/b/c/d/e/f", "/a/b/c/d/"),
        ("/long-name-of-a-route/", "/long-name-of-a-route/"),
        ("/long-name-of-a-route", "/"),
        ("/a//b/", "/a/"),
        ("//", "/"),
    ],
)
def test_the_longest_matching_prefix_counts(table, path, prefix):
    assert table.match("h:80", path).prefix == prefix


@pytest.mark.parametrize("path", ["", "x", "a/b"])
def test_a_path_without_a_leading_slash_has_no_route(table, path):
    assert table.match("h", path) is None


def test_a_path_of_many_slashes_is_not_searched_beyond_the_longest_prefix(table):
    """Searching each part of a path of 16 kB would take the time of a hundred requests."""
    assert table.match("h", "/a/" + "x/" * 8_000).prefix == "/a/"
