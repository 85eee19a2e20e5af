"""Tests that an answer of the table service, object store or VM list counts only when whole."""

from __future__ import annotations

import pytest

from monsoonflow.storage.models import Unavailable
from monsoonflow.storage.object_store import HttpObjectStore
from tests.raw_server import HEAD, WITH_CHUNKS, WITHOUT_LENGTH, chunk, with_length

BROKEN_OBJECTS = {
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
