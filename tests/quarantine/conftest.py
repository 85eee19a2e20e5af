"""A table of rows, and managers of the quarantine that share it."""

from __future__ import annotations

import orjson
import pytest

from monsoonflow.core.clock import ManualClock
from monsoonflow.quarantine.manager import ROW_PREFIX, QuarantineManager
from monsoonflow.storage.models import ChangedRow, Committed, Conflict, Row


class Table:
    """A table of rows whose versions are never given out again."""

    def __init__(self):
        self.rows = {}
        self.version = 0

    def get(self, key):
        """Return a row."""
        return self.rows.get(key)

    def commit(self, transaction):
        """Write rows if their versions are still the expected ones."""
        for key, expected in transaction.conditions.items():
            row = self.rows.get(key)
            if (row.version if row is not None else 0) != expected:
                return Conflict()
        self.version += 1
        for key, value in transaction.puts.items():
            self.rows[key] = Row(key, self.version, value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Committed(self.version)


@pytest.fixture
def clock():
    return ManualClock(100_000)


@pytest.fixture
def table():
    return Table()


@pytest.fixture
def manager(table, clock):
    return QuarantineManager("a", None, table, None, clock, lambda: None)


def put(table, manager, fingerprint, **changes):
    """Write a row as another node does, and have it read."""
    value = {"fingerprint": fingerprint, "lives": ["i-1"], "source": "b", **changes}
    table.version += 1
    table.rows[ROW_PREFIX + fingerprint] = Row(ROW_PREFIX + fingerprint, table.version, value)
    read(table, manager)


def read(table, manager):
    for row in table.rows.values():
        manager.apply_row(ChangedRow(row.key, row.version, orjson.dumps(row.value)))
