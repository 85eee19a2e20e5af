"""Tests that invalid rows of other writers are refused as a whole and that no field is coerced."""

from __future__ import annotations

import copy
import json
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonflow.discovery.models import BackendServer
from monsoonflow.entry.cell_lease_row import decode_cell_lease
from monsoonflow.entry.store_follower import decode_node_record, encode_node_record
from monsoonflow.fleet.models import NodeRecord
from monsoonflow.ownership.cell_lease import CellLeaseRow
from monsoonflow.platform.configuration import decode_adapter_version, decode_route_table
from monsoonflow.platform.servers import decode_server
from monsoonflow.routing.routes import RouteTable
from tests.entry.conftest import CONFIG

SERVER_ROW: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 3,
    "born": 1_764_718_000_123,
    "models": [{"name": "m", "version": 1, "adapters": ["a1@2"]}],
}
REQUIRED_FIELDS = tuple(key for key in SERVER_ROW if key not in ("born", "models"))
WRONG_VALUES = [None, True, -1, 1.5, "", "x", [], {}, [1], {"a": 1}, 2**70]


def decode(row: Any) -> Any:
    return decode_server("i-1", json.dumps(row).encode())


def row_with_raw_values(**changes: str) -> bytes:
    """Return a server row's bytes, some fields replaced by given JSON text."""
    fields = {key: orjson.dumps(value).decode() for key, value in SERVER_ROW.items()} | changes
    return ("{" + ",".join(f'"{key}":{value}' for key, value in fields.items()) + "}").encode()


def test_valid_server_row_is_decoded():
    server = decode(SERVER_ROW)
    assert isinstance(server, BackendServer)
    assert (server.life.server_id, server.life.born_ms) == ("i-1", SERVER_ROW["born"])


@pytest.mark.parametrize(
    ("version", "software_version"),
    [("v1.1", "v1.1"), ("", None), ("x" * 101, None), ("a\nb", None), ("\ud800", None)],
)
def test_unusable_software_version_is_unknown_and_the_server_is_kept(version, software_version):
    """A version that nodes can't tell each other must not pass for one that they know."""
    server = decode({**SERVER_ROW, "version": version})
    assert server.software_version == software_version


@pytest.mark.parametrize("name", REQUIRED_FIELDS)
def test_server_row_without_a_required_field_is_invalid(name):
    assert isinstance(decode({k: v for k, v in SERVER_ROW.items() if k != name}), str)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("address", 5),
        ("address", "10.0.0.1"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:70000"),
        ("address", "10.0.0.256:80"),
        ("address", "name.example:80"),
        ("address", "10.0.0.1:80\n"),
        ("slots", "96"),
        ("slots", 0),
        ("slots", -1),
        ("slots", 1.5),
        ("slots", True),
        ("service", ["s"]),
        ("service", ""),
        ("state", "gone"),
        ("state", None),
        ("sequence", "3"),
        ("born", True),
        ("born", "1764718000123"),
        ("born", 1.5),
        ("born", None),
        ("born", -1),
        ("born", 2**64 - 1),
        ("models", "m"),
        ("models", [{"name": ["m"]}]),
        ("models", [{"name": "m", "adapters": "a1"}]),
        ("models", [{"name": "m", "adapters": ["a1@x"]}]),
    ],
)
def test_server_row_with_an_invalid_field_is_invalid(name, value):
    """Coerced, 5 would become the address "5", and the text "96" a capacity of 96 requests."""
    assert isinstance(decode({**SERVER_ROW, name: value}), str)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b'"text"',
        b"\xff\xfe{}",
        b"[" * 100_000,
        b'{"a":' * 50_000,
        row_with_raw_values(slots="NaN"),
        row_with_raw_values(slots="1e400"),
        row_with_raw_values(slots="9" * 5_000),
        row_with_raw_values(born="1764718000123.0"),
        row_with_raw_values()[:-1] + b',"address":"10.0.0.9:80"}',
        row_with_raw_values(zone='"\xff"').decode("utf-8").encode("latin-1"),
    ],
)
def test_malformed_server_row_is_invalid(body):
    assert isinstance(decode_server("i-1", body), str)


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.sampled_from(sorted(SERVER_ROW)), ANY_JSON)
def test_server_row_is_never_coerced(name, value):
    server = decode({**SERVER_ROW, name: value})
    if isinstance(server, str):
        return
    decoded_fields = {
        "service": server.service,
        "address": server.address,
        "slots": server.max_concurrent_requests,
    }
    if name in decoded_fields:
        assert decoded_fields[name] == value
        assert type(decoded_fields[name]) is type(value)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_no_bytes_raise_in_a_row_decoder(body):
    assert isinstance(decode_server("i-1", body), str | BackendServer)
    assert isinstance(decode_route_table(body), str | RouteTable)
    assert isinstance(decode_adapter_version(body), str) or body
    assert isinstance(decode_node_record(body), str | NodeRecord)
    assert decode_cell_lease("c", body) is None or isinstance(
        decode_cell_lease("c", body), CellLeaseRow
    )


def paths(value: Any, prefix: tuple = ()) -> list[tuple]:
    """Return the path to each part of a value: its keys and indexes."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    result = []
    for key, part in items:
        result.append((*prefix, key))
        if isinstance(part, dict | list):
            result += paths(part, (*prefix, key))
    return result


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.sampled_from(paths(CONFIG)), st.sampled_from(WRONG_VALUES) | ANY_JSON)
def test_configuration_with_an_invalid_part_is_never_coerced(path, value):
    """The last valid configuration stays in use; no part of an invalid one may be guessed."""
    configuration = copy.deepcopy(CONFIG)
    part = configuration
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    route_table = decode_route_table(json.dumps(configuration).encode())
    if isinstance(route_table, str):
        return
    if path == ("version",):
        assert route_table.version == value
    for route in route_table.routes():
        assert isinstance(route.host, str)
        assert isinstance(route.max_attempts, int)


@pytest.mark.parametrize("version", ["2", True, 1.5, 0, -1, None, [], 2**70])
def test_adapter_version_that_is_not_a_positive_number_is_invalid(version):
    body = json.dumps({"model": "m", "adapter": "a", "version": version}).encode()
    assert isinstance(decode_adapter_version(body), str)


@pytest.mark.parametrize(
    "changes", [{"epoch": "5"}, {"epoch": True}, {"holder": 5}, {"heirs": "ab"}, {"released": 0}]
)
def test_cell_lease_row_with_an_invalid_field_is_ignored(changes):
    valid_row = {
        "holder": "n1",
        "boot": "b",
        "epoch": 5,
        "counter": 1,
        "heirs": [],
        "released": False,
    }
    assert decode_cell_lease("c", orjson.dumps(valid_row)).holder == "n1"
    assert decode_cell_lease("c", orjson.dumps({**valid_row, **changes})) is None


@pytest.mark.parametrize("changes", [{"peer": 5}, {"name": None}, {"callers": ["10.0.0.1:1"]}])
def test_node_record_with_an_invalid_field_is_invalid(changes):
    valid_row = {key: "x" for key in ("name", "boot", "data_centre", "callers", "peer", "report")}
    assert isinstance(decode_node_record(orjson.dumps(valid_row)), NodeRecord)
    assert isinstance(decode_node_record(orjson.dumps({**valid_row, **changes})), str)


@pytest.mark.parametrize(
    ("machine_fields", "cores"),
    [
        ({}, 1.0),
        ({"cores": 2.5}, 2.5),
        ({"cores": "4"}, 1.0),
        ({"cores": None}, 1.0),
        ({"cores": True}, 1.0),
        ({"cores": [4]}, 1.0),
        ({"cores": -4}, 1.0),
        ({"cores": 1e300}, 1_024.0),
        ({"cores": 1e-300}, 1 / 64),
    ],
)
def test_node_record_is_valid_with_any_value_for_cores(machine_fields, cores):
    """Records of nodes of an older version have no cores; others may have any value."""
    valid_row = {key: "x" for key in ("name", "boot", "data_centre", "callers", "peer", "report")}
    assert decode_node_record(orjson.dumps({**valid_row, **machine_fields})).cores == cores


def test_node_record_is_unchanged_after_encoding_and_decoding():
    node_record = NodeRecord("n", "b", "dc", "1:1", "1:2", "1:3", 2.151)
    assert decode_node_record(orjson.dumps(encode_node_record(node_record))) == node_record
