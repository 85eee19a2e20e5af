"""Paces of runners in heartbeats."""

from __future__ import annotations

import zlib

import orjson
import pytest

from monsoonflow.core.server_life import ServerLife
from monsoonflow.fleet import codec
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.routing.runner_pace import MAX_ANNOUNCED_PACES

RECORD = NodeRecord("n1", "b1", "dc", "1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3")
PACES = {ServerLife("i-1@1"): 2.43, ServerLife("i-2"): 0.5}
PACE_FIELD = 29


def with_pace_field(*fields):
    """Return the bytes of a heartbeat whose pace field, and those after it, are replaced."""
    data = codec.encode_heartbeat(Heartbeat(RECORD, 1, True, False, 1, True, pace_by_server=PACES))
    return zlib.compress(orjson.dumps([*orjson.loads(zlib.decompress(data))[:PACE_FIELD], *fields]))


def test_a_heartbeat_carries_paces():
    heartbeat = Heartbeat(RECORD, 1, True, False, 1, True, pace_by_server=PACES)
    assert codec.decode(codec.encode_heartbeat(heartbeat)) == heartbeat


def test_a_heartbeat_of_the_previous_release_has_no_paces():
    decoded = codec.decode(with_pace_field())
    assert decoded.pace_by_server is None
    assert not decoded.has_malformed_paces


@pytest.mark.parametrize("paces", [None, {}])
def test_nothing_new_differs_from_no_deviating_runner(paces):
    """A short heartbeat or a round without paces must not withdraw what was announced."""
    heartbeat = Heartbeat(RECORD, 1, True, False, 1, True, pace_by_server=paces)
    assert codec.decode(codec.encode_heartbeat(heartbeat)).pace_by_server == paces


def test_fields_of_a_later_release_are_ignored():
    assert codec.decode(with_pace_field({"i-2": 0.5}, {"more": 1})).pace_by_server == {"i-2": 0.5}


@pytest.mark.parametrize("value", [-1, 0, 0.05, 21, 10**18, 1e300, None, True, "2", [2], {}])
def test_malformed_pace_is_left_out_and_the_others_are_kept(value):
    """A wrong value of one peer must not change the order, nor cost its other announcements."""
    decoded = codec.decode(with_pace_field({"i-1": value, "i-2": 0.5}))
    assert decoded.pace_by_server == {"i-2": 0.5}
    assert decoded.has_malformed_paces


@pytest.mark.parametrize("field", [3, "x", [1], True])
def test_malformed_field_does_not_cost_the_heartbeat(field):
    decoded = codec.decode(with_pace_field(field))
    assert decoded.pace_by_server is None
    assert decoded.has_malformed_paces


def test_non_finite_pace_is_never_read():
    """JSON has no such numbers, so a heartbeat with them is not one of this release."""
    data = zlib.decompress(with_pace_field({"i-1": 1.5}))
    for text in (b"NaN", b"Infinity", b"1e999"):
        decoded = codec.decode(zlib.compress(data.replace(b"1.5", text)))
        assert decoded is None or decoded.pace_by_server == {}


def test_number_of_paces_is_bounded():
    decoded = codec.decode(with_pace_field({f"i-{number}": 2.0 for number in range(500)}))
    assert len(decoded.pace_by_server) == MAX_ANNOUNCED_PACES
    assert decoded.has_malformed_paces
