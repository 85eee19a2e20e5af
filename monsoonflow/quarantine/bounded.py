"""Limits the size of tables in which the oldest entries matter least."""

from __future__ import annotations

from collections import OrderedDict


def trim(table: OrderedDict, max_size: int) -> None:
    """Remove the oldest entries of a table that is too large."""
    while len(table) > max_size:
        table.popitem(last=False)
