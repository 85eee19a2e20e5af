"""Tests that a table which the store returns in several pages is read completely."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import pytest

from monsoonflow.core.clock import ManualClock, MonotonicClock
from monsoonflow.platform.store import MAX_PAGE_ROWS, PlatformStore
from monsoonflow.storage.models import ChangedRow, Unavailable
from monsoonflow.storage.watch import CollectionWatch
from script.ports import free_port
from stand_ins.platform_store import PlatformStore as StoreStandIn
from tests.raw_server import with_length

TABLE = "t"


@pytest.fixture
def stand_in() -> Iterator[StoreStandIn]:
    """Return a store on loopback with a table of two full pages and a row."""
    server = StoreStandIn(f"127.0.0.1:{free_port()}")
    for number in range(2 * MAX_PAGE_ROWS + 1):
        server.put(TABLE, key(number), {"n": number})
    server.start()
    with gevent.Timeout(20):
        yield server
    server.stop()


def key(number: int) -> str:
    return f"k{number:05d}"


class ChangingStore(PlatformStore):
    """A client whose store changes after each page."""

    def __init__(self, address: str, on_page: Callable[[], None]) -> None:
        super().__init__(address, MonotonicClock())
        self._on_page = on_page

    def _read_page(self, table, query):
        page = super()._read_page(table, query)
        self._on_page()
        return page


def test_all_pages_of_a_table_are_read(stand_in):
    found = PlatformStore(stand_in.address, MonotonicClock()).read_all(TABLE)
    assert len(found.rows) == 2 * MAX_PAGE_ROWS + 1


def test_a_change_between_two_pages_is_not_lost(stand_in):
    """A row of the first page changes, and another is removed, before the last page is read.

    If the table counted as read at the version of the last page, neither change would ever be
    received.
    """
    changes = [
        lambda: stand_in.put(TABLE, key(3), {"n": "new"}),
        lambda: stand_in.remove(TABLE, key(4)),
    ]
    store = ChangingStore(stand_in.address, lambda: changes and changes.pop(0)())
    rows: dict[str, bytes | None] = {}

    def record(row: ChangedRow) -> None:
        rows[row.key] = row.body

    watch = CollectionWatch(store, TABLE, None, ManualClock(), record, lambda: None, wait_ms=0)
    watch.request_once()
    watch.request_once()
    assert b"new" in rows[key(3)]
    assert rows[key(4)] is None


def test_a_page_without_rows_that_is_not_the_last_is_no_answer(serve_raw):
    """The store says that there is more but returns no row: what is missing counted as removed."""
    page = b'{"rows": [], "hasMore": true, "nowMs": 5, "rowVersion": 9}'
    store = PlatformStore(serve_raw(with_length(page)).address, MonotonicClock())
    assert isinstance(store.read_all(TABLE), Unavailable)
