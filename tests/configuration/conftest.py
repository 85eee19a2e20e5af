"""Fixtures of the configuration tests."""

from __future__ import annotations

import pytest

from monsoonflow.configuration.store import ConfigurationStore
from monsoonflow.storage.models import Committed, Row, Unavailable
from tests.randomised.fakes import FakeObjects, FakeTable


class LocalTable:
    """The fake table without a network; the next commits can lose their answers."""

    def __init__(self) -> None:
        self.table = FakeTable()
        self.lose_answers = 0

    def get(self, key):
        """Return a row."""
        found = self.table.rows.get(key)
        return Row(key, *found) if found else None

    def scan(self, prefix, after=""):
        """Return the rows under a prefix, after a key."""
        keys = sorted(key for key in self.table.rows if key.startswith(prefix) and key > after)
        return [Row(key, *self.table.rows[key]) for key in keys]

    def commit(self, transaction):
        """Apply a transaction; the answer may be lost."""
        result = self.table.commit(transaction)
        if isinstance(result, Committed) and self.lose_answers:
            self.lose_answers -= 1
            return Unavailable("lost", ambiguous=True)
        return result


@pytest.fixture
def table():
    return LocalTable()


@pytest.fixture
def store(table):
    return ConfigurationStore(table, FakeObjects())
