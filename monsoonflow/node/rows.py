"""Turns lease and ownership rows into data and back."""

from __future__ import annotations

import cattrs

from ..ownership.const import LEASE_PREFIX, OWNER_PREFIX
from ..ownership.models import LeaseRow, OwnerRow
from ..storage.models import Row

_converter = cattrs.Converter()


def lease_key(incarnation: str) -> str:
    """Return the table key of a lease."""
    return LEASE_PREFIX + incarnation


def owner_key(runner_id: str) -> str:
    """Return the table key of a runner's ownership."""
    return OWNER_PREFIX + runner_id


def to_value(row: LeaseRow | OwnerRow) -> dict:
    """Return a row as plain data."""
    return _converter.unstructure(row)


def to_lease(row: Row) -> LeaseRow:
    """Return a lease as read from the table."""
    return _converter.structure(row.value, LeaseRow)


def to_owner(row: Row) -> OwnerRow:
    """Return an ownership as read from the table."""
    return _converter.structure(row.value, OwnerRow)
