"""A store table with one row, for tests of cell leases."""

from __future__ import annotations

from monsoonflow.storage.models import Committed, Conflict, Row, Unavailable


class OneRowTable:
    """A store table with one row that can be unavailable."""

    def __init__(self):
        self.row = None
        self.version = 0
        self.is_down = False
        self.stored_era = 0

    def era(self):
        """Return the era of the store."""
        return self.stored_era

    def return_from(self, row):
        """Come back from a copy with another row, or none; its version is not the one before."""
        self.stored_era += 1
        self.version += 1_000
        self.row = None if row is None else Row(row.key, self.version, row.value)

    def get(self, key):
        """Return the row."""
        return self.row

    def commit(self, transaction):
        """Write the row, if its version is as expected."""
        if self.is_down:
            return Unavailable("down")
        ((key, expected),) = transaction.conditions.items()
        if expected != (self.row.version if self.row else 0):
            return Conflict()
        self.version += 1
        self.row = Row(key, self.version, transaction.puts[key])
        return Committed(self.version)
