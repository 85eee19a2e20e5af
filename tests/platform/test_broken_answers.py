"""Tests that an answer of the platform's store counts only when it is whole."""

from __future__ import annotations

import base64
from collections.abc import Callable

import gevent
import orjson
import pytest

from monsoonflow.core.clock import MonotonicClock
from monsoonflow.platform.store import PlatformStore
from monsoonflow.storage.models import Committed, Transaction, Unavailable
from tests.raw_server import WITH_CHUNKS, WITHOUT_LENGTH, chunk, invalid_answers, with_length


@pytest.fixture
def store(serve_raw) -> Callable[..., PlatformStore]:
    """Return a function that returns the client of a store which sends given bytes and closes."""

    def connect(data: bytes, has_reset: bool = False) -> PlatformStore:
        return PlatformStore(serve_raw(data, has_reset).address, MonotonicClock())

    with gevent.Timeout(20):
        yield connect


def row(key: str, version: int) -> dict:
    value = base64.b64encode(orjson.dumps({"n": version})).decode()
    return {"table": "t", "part": "", "key": key, "rowVersion": version, "value": value}


ROWS = orjson.dumps(
    {"rows": [row("a", 1), row("b", 2)], "hasMore": False, "nowMs": 5, "rowVersion": 12}
)
COMMITTED = b'{"nowMs": 5, "rowVersion": 12}'
TRANSACTION = Transaction("t-1", {"a": 0}, {"a": {"n": 1}})


def broken_answers(body: bytes) -> dict[str, bytes]:
    """Return answers that break off in an orderly close, and whole ones with invalid heads."""
    return {
        **invalid_answers(body),
        "without a length, nothing of the body": WITHOUT_LENGTH,
        "without a length, inside the body": WITHOUT_LENGTH + body[: len(body) // 2],
        "without a length, before the last byte": WITHOUT_LENGTH + body[:-1],
        "HTTP/1.0, inside the body": b"HTTP/1.0 200 OK\r\n\r\n" + body[:-5],
        "shorter than its length": with_length(body[:-1], len(body)),
        "inside a chunk": WITH_CHUNKS + chunk(body)[:-9],
        "between two chunks": WITH_CHUNKS + chunk(body[:9]),
        "before the last chunk": WITH_CHUNKS + chunk(body),
    }


@pytest.mark.parametrize("name", broken_answers(ROWS))
def test_a_part_of_the_rows_is_no_list_of_rows(store, name):
    """Rows that are missing at the end of a list would count as removed."""
    data = broken_answers(ROWS)[name]
    assert isinstance(store(data).read_all("t"), Unavailable)
    assert isinstance(store(data).scan(""), Unavailable)
    assert isinstance(store(data).get("a"), Unavailable)
    assert isinstance(store(data).changes("t", 0, 0), Unavailable)


@pytest.mark.parametrize("name", broken_answers(COMMITTED))
def test_a_commit_whose_answer_broke_off_is_ambiguous(store, name):
    """It counted as done at version 0, under which the writer's next write is refused.

    A node that has renewed its lease would give it up, as if another node had written the row.
    """
    result = store(broken_answers(COMMITTED)[name]).commit_once(TRANSACTION)
    assert isinstance(result, Unavailable) and result.ambiguous


def test_a_commit_whose_answer_ends_in_a_reset_is_ambiguous(store):
    result = store(WITHOUT_LENGTH + COMMITTED[:9], has_reset=True).commit_once(TRANSACTION)
    assert isinstance(result, Unavailable) and result.ambiguous


def test_a_whole_answer_without_a_length_counts(store):
    """A JSON object proves its own end."""
    assert store(WITHOUT_LENGTH + COMMITTED).commit_once(TRANSACTION) == Committed(12)
    assert len(store(WITHOUT_LENGTH + ROWS).read_all("t").rows) == 2
