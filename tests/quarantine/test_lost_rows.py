"""Rows of the quarantine that the store has lost, or of which it holds an older copy."""

from __future__ import annotations

from monsoonflow.quarantine.manager import (
    MIN_REWRITE_DELAY_MS,
    REWRITE_DELAY_SPREAD_MS,
    ROW_PREFIX,
)
from monsoonflow.quarantine.parts import KEY_PREFIX
from monsoonflow.storage.models import ChangedRow, Row
from tests.quarantine.conftest import put, read


def return_from(table, manager, rows):
    """Have the store return from a copy with some rows."""
    table.version += 1_000
    table.rows = {key: Row(key, table.version, value) for key, value in rows.items()}
    manager.handle_rows_lost()
    read(table, manager)


def test_a_row_whose_finder_is_gone_is_written_again(manager, table, clock):
    """Nodes that started later sent the request to servers again."""
    put(table, manager, "f1")
    return_from(table, manager, {})
    manager.sync_rows()
    assert not table.rows
    clock.advance(MIN_REWRITE_DELAY_MS + REWRITE_DELAY_SPREAD_MS)
    manager.sync_rows()
    assert table.rows[ROW_PREFIX + "f1"].value["lives"] == ["i-1"]
    assert manager.suspects.is_quarantined("f1")


def test_a_row_that_another_node_has_written_again_is_left_alone(manager, table, clock):
    put(table, manager, "f1")
    return_from(table, manager, {})
    put(table, manager, "f1")
    version = table.version
    clock.advance(MIN_REWRITE_DELAY_MS + REWRITE_DELAY_SPREAD_MS)
    manager.sync_rows()
    assert table.version == version


def test_trials_that_a_copy_lacks_are_counted(manager, table):
    """Requests were tried that had been tried before: servers crashed again."""
    key = KEY_PREFIX + "p1"
    put(table, manager, key, trials=3)
    copied = {**table.rows[ROW_PREFIX + key].value, "trials": 1}
    return_from(table, manager, {ROW_PREFIX + key: copied})
    assert manager.parts.trials(key) == 3


def test_trials_of_a_lost_row_are_written_again(manager, table, clock):
    key = KEY_PREFIX + "p1"
    put(table, manager, key, trials=3)
    return_from(table, manager, {})
    clock.advance(MIN_REWRITE_DELAY_MS + REWRITE_DELAY_SPREAD_MS)
    manager.sync_rows()
    assert table.rows[ROW_PREFIX + key].value["trials"] == 3


def test_a_row_whose_removal_the_store_has_forgotten_is_removed_again(manager, table):
    """A request that was allowed again was refused."""
    put(table, manager, "f1")
    copied = {ROW_PREFIX + "f1": table.rows.pop(ROW_PREFIX + "f1").value}
    manager.apply_row(ChangedRow(ROW_PREFIX + "f1", table.version + 1, None))
    assert not manager.suspects.is_quarantined("f1")
    return_from(table, manager, copied)
    assert not manager.suspects.is_quarantined("f1")
    manager.sync_rows()
    assert not table.rows


def test_a_row_that_is_written_later_than_the_copy_was_read_is_no_forgotten_removal(manager, table):
    """A part that crashed servers again was allowed at once."""
    key = KEY_PREFIX + "p1"
    put(table, manager, key)
    del table.rows[ROW_PREFIX + key]
    manager.apply_row(ChangedRow(ROW_PREFIX + key, table.version + 1, None))
    return_from(table, manager, {})
    manager.sync_rows()
    put(table, manager, key)
    manager.sync_rows()
    assert ROW_PREFIX + key in table.rows
