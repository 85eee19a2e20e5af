"""Tests that an answer of the table service, object store or VM list counts only when whole."""

from __future__ import annotations

import pytest

from monsoonflow.storage.models import Transaction, Unavailable
from monsoonflow.storage.object_store import HttpObjectStore
from monsoonflow.storage.table import HttpTable
from monsoonflow.storage.vm_list import HttpVmList
from tests.raw_server import HEAD, WITH_CHUNKS, WITHOUT_LENGTH, chunk, invalid_answers, with_length

BROKEN_OBJECTS = {
    **invalid_answers(b"whole"),
    "shorter than its length": with_length(b"half", 9),
    "closed inside a chunk": WITH_CHUNKS + b"9\r\nhalf",
    "closed between two chunks": WITH_CHUNKS + chunk(b"half"),
    "closed inside the size of a chunk": WITH_CHUNKS + chunk(b"half") + b"1",
    "neither length nor chunks": WITHOUT_LENGTH + b"half",
    "HTTP/1.0 without a length": b"HTTP/1.0 200 OK\r\n\r\nhalf",
    "closed after the head": WITHOUT_LENGTH,
    "closed inside the head": HEAD,
}


@pytest.mark.parametrize("name", BROKEN_OBJECTS)
def test_a_part_of_an_object_is_never_returned_as_the_object(serve_raw, name):
    """The store closes the connection inside an object; its first bytes look like an object."""
    store = HttpObjectStore(serve_raw(BROKEN_OBJECTS[name]).url)
    assert isinstance(store.get("k"), Unavailable)


def test_a_part_of_an_object_before_a_reset_is_never_returned(serve_raw):
    store = HttpObjectStore(serve_raw(WITHOUT_LENGTH + b"half", has_reset=True).url)
    assert isinstance(store.get("k"), Unavailable)


@pytest.mark.parametrize(
    "answer", [with_length(b"whole"), WITH_CHUNKS + chunk(b"whole") + b"0\r\n\r\n"]
)
def test_an_object_with_a_stated_end_is_returned(serve_raw, answer):
    assert HttpObjectStore(serve_raw(answer).url).get("k") == b"whole"


def test_an_empty_object_is_returned(serve_raw):
    assert HttpObjectStore(serve_raw(with_length(b"")).url).get("k") == b""


ROW = b'{"key": "a", "version": 12, "value": {"n": 1}}'
ROWS = b'{"rows": [%s, %s], "version": 12}' % (ROW, ROW)
VMS = b'{"live": ["i-1", "i-2"], "leaving": ["i-1"]}'


def parts_of(body: bytes) -> list[bytes]:
    """Return the body cut short: nothing of it, inside it and before its last byte."""
    return [b"", body[: len(body) // 2], body[:-1]]


@pytest.mark.parametrize("part", parts_of(ROW))
def test_a_part_of_a_row_is_no_row(serve_raw, part):
    """The read raised ``TypeError`` into the loop that follows the configuration."""
    table = HttpTable(serve_raw(WITHOUT_LENGTH + part).url)
    assert isinstance(table.get("a"), Unavailable)


@pytest.mark.parametrize("part", parts_of(ROWS))
def test_a_part_of_a_list_of_rows_is_no_list(serve_raw, part):
    """Rows that are missing at the end of a list would count as removed."""
    table = HttpTable(serve_raw(WITHOUT_LENGTH + part).url)
    assert isinstance(table.scan("a"), Unavailable)


@pytest.mark.parametrize("part", parts_of(b'{"version": 12}'))
def test_a_commit_whose_answer_broke_off_is_ambiguous(serve_raw, part):
    """The commit raised ``TypeError``: nobody looked whether it had been done."""
    table = HttpTable(serve_raw(WITHOUT_LENGTH + part).url)
    result = table.commit_once(Transaction("t-1", {"a": 0}, {"a": {"n": 1}}))
    assert isinstance(result, Unavailable) and result.ambiguous


@pytest.mark.parametrize("part", parts_of(VMS))
def test_a_part_of_the_vm_list_is_no_list(serve_raw, part):
    """The read raised ``TypeError`` into the loop that reads the list."""
    assert isinstance(HttpVmList(serve_raw(WITHOUT_LENGTH + part).url).read(), Unavailable)
