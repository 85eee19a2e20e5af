"""Rows that another writer spoilt: each is refused whole, and nothing in it is coerced."""

from __future__ import annotations

import copy
import json
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonflow.discovery.models import BackendServer
from monsoonflow.entry.lease_loop import decode_cell_lease
from monsoonflow.entry.store_follower import decode_node_record, encode_node_record
from monsoonflow.fleet.models import NodeRecord
from monsoonflow.ownership.cell_lease import CellLeaseRow
from monsoonflow.platform.configuration import decode_adapter_version, decode_route_table
from monsoonflow.platform.servers import decode_server
from monsoonflow.routing.routes import RouteTable
from tests.entry.conftest import CONFIG

ENTRY: dict[str, Any] = {
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
NEEDED = tuple(key for key in ENTRY if key not in ("born", "models"))
WRONG = [None, True, -1, 1.5, "", "x", [], {}, [1], {"a": 1}, 2**70]


def decoded(entry: Any) -> Any:
    return decode_server("i-1", json.dumps(entry).encode())


def raw(**changes: str) -> bytes:
    """Return an entry's bytes with some values written by hand."""
    fields = {key: orjson.dumps(value).decode() for key, value in ENTRY.items()} | changes
    return ("{" + ",".join(f'"{key}":{value}' for key, value in fields.items()) + "}").encode()


def test_a_good_entry_is_taken_whole():
    server = decoded(ENTRY)
    assert isinstance(server, BackendServer)
    assert (server.life.server_id, server.life.born_ms) == ("i-1", ENTRY["born"])


@pytest.mark.parametrize("name", NEEDED)
def test_an_entry_that_lacks_a_field_names_no_server(name):
    assert isinstance(decoded({k: v for k, v in ENTRY.items() if k != name}), str)


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
def test_an_entry_with_a_field_of_another_kind_names_no_server(name, value):
    """Coerced, the number 5 would be the address "5", and the text "96" slots for 96 requests."""
    assert isinstance(decoded({**ENTRY, name: value}), str)


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
        raw(slots="NaN"),
        raw(slots="1e400"),
        raw(slots="9" * 5_000),
        raw(born="1764718000123.0"),
        raw()[:-1] + b',"address":"10.0.0.9:80"}',
        raw(zone='"\xff"').decode("utf-8").encode("latin-1"),
    ],
)
def test_bytes_that_are_no_entry_name_no_server(body):
    assert isinstance(decode_server("i-1", body), str)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.sampled_from(sorted(ENTRY)), JSON)
def test_whatever_stands_in_an_entry_is_taken_as_it_is_or_not_at_all(name, value):
    server = decoded({**ENTRY, name: value})
    if isinstance(server, str):
        return
    kept = {
        "service": server.service,
        "address": server.address,
        "slots": server.max_concurrent_requests,
    }
    if name in kept:
        assert kept[name] == value
        assert type(kept[name]) is type(value)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_no_bytes_stop_a_reader_of_rows(body):
    assert isinstance(decode_server("i-1", body), str | BackendServer)
    assert isinstance(decode_route_table(body), str | RouteTable)
    assert isinstance(decode_adapter_version(body), str) or body
    assert isinstance(decode_node_record(body), str | NodeRecord)
    assert decode_cell_lease("c", body) is None or isinstance(
        decode_cell_lease("c", body), CellLeaseRow
    )


def paths(value: Any, at: tuple = ()) -> list[tuple]:
    """Return the way to each part of a value."""
    inner = value.items() if isinstance(value, dict) else enumerate(value)
    found = []
    for key, part in inner:
        found.append((*at, key))
        if isinstance(part, dict | list):
            found += paths(part, (*at, key))
    return found


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.sampled_from(paths(CONFIG)), st.sampled_from(WRONG) | JSON)
def test_a_spoilt_configuration_is_taken_as_it_is_or_not_at_all(path, value):
    """The last good one stays in force; no part of a spoilt one may be guessed."""
    spoilt = copy.deepcopy(CONFIG)
    part = spoilt
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    table = decode_route_table(json.dumps(spoilt).encode())
    if isinstance(table, str):
        return
    if path == ("version",):
        assert table.version == value
    for route in table.routes():
        assert isinstance(route.host, str)
        assert isinstance(route.max_attempts, int)


@pytest.mark.parametrize("version", ["2", True, 1.5, 0, -1, None, [], 2**70])
def test_a_version_that_is_no_number_is_none(version):
    body = json.dumps({"model": "m", "adapter": "a", "version": version}).encode()
    assert isinstance(decode_adapter_version(body), str)


@pytest.mark.parametrize(
    "changes", [{"epoch": "5"}, {"epoch": True}, {"holder": 5}, {"heirs": "ab"}, {"released": 0}]
)
def test_a_spoilt_duty_names_no_holder(changes):
    good = {"holder": "n1", "boot": "b", "epoch": 5, "counter": 1, "heirs": [], "released": False}
    assert decode_cell_lease("c", orjson.dumps(good)).holder == "n1"
    assert decode_cell_lease("c", orjson.dumps({**good, **changes})) is None


@pytest.mark.parametrize("changes", [{"peer": 5}, {"name": None}, {"callers": ["10.0.0.1:1"]}])
def test_a_spoilt_card_names_no_node(changes):
    good = {key: "x" for key in ("name", "boot", "data_centre", "callers", "peer", "report")}
    assert isinstance(decode_node_record(orjson.dumps(good)), NodeRecord)
    assert isinstance(decode_node_record(orjson.dumps({**good, **changes})), str)


@pytest.mark.parametrize(
    ("told", "cores"),
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
def test_a_card_is_good_whatever_it_tells_of_its_machine(told, cores):
    """Cards of nodes of an older version tell nothing of it; others may tell anything."""
    good = {key: "x" for key in ("name", "boot", "data_centre", "callers", "peer", "report")}
    assert decode_node_record(orjson.dumps({**good, **told})).cores == cores


def test_a_card_survives_its_row():
    card = NodeRecord("n", "b", "dc", "1:1", "1:2", "1:3", 2.151)
    assert decode_node_record(orjson.dumps(encode_node_record(card))) == card
